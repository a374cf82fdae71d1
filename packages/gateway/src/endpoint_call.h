#pragma once

#include "endpoint_connection_pool.h"

#include <bronzering/base/time.h>
#include <bronzering/http.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bronzering {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
/// A request as it is sent to an endpoint; its body is a view of the caller's request.
using forwarded_request = boost::beast::http::request<boost::beast::http::span_body<const char>>;
using http_fields = boost::beast::http::fields;

/// Sends one request to one endpoint and reads the response incrementally. The connection returns
/// to the pool if the response was complete and no bytes followed it; otherwise it is reset, at the
/// latest by the destructor. Control thread only.
class endpoint_call
{
public:
  /// aRequestId is the name of the header that carries the request id, aMaxPooled the maximum
  /// number of pooled connections to the endpoint.
  endpoint_call(endpoint_connection_pool& aConnections,
                std::string aEndpoint,
                std::string aRequestId,
                std::size_t aMaxPooled);
  ~endpoint_call();
  endpoint_call(const endpoint_call&) = delete;
  auto operator=(const endpoint_call&) -> endpoint_call& = delete;

  /// Acquires a pooled connection that has been idle for at most aMaxIdle, or a new one. False when
  /// none was established within aTimeout.
  auto Open(const std::string& aAddress, duration aMaxIdle, duration aTimeout)
    -> boost::asio::awaitable<bool>;
  /// Sends the request and reads the response header. Responses to other requests are skipped. The
  /// request is sent to its end, unless the response is broken or refuses it. False when there is
  /// no response. Precondition: Open returned true.
  auto Send(const forwarded_request& aRequest) -> boost::asio::awaitable<bool>;
  /// The next bytes of the body: an empty string at its end, no value when the response broke off.
  auto ReadSome() -> boost::asio::awaitable<std::optional<std::string>>;

  /// Calls aAction once after aTimeout, unless it is armed again or the request
  /// ends before.
  auto ArmStallTimer(duration aTimeout, std::function<void()> aAction) -> void;
  /// Stops the stall timer until it is armed again.
  auto DisarmStallTimer() -> void;
  /// Resets the connection; reads in progress fail.
  auto Abort() -> void;

  /// Precondition: Send returned true.
  [[nodiscard]] auto Status() const -> unsigned { return mHead.result_int(); }
  [[nodiscard]] auto Fields() const -> const http_fields& { return mHead; }
  /// Length of the body, if the response names one.
  [[nodiscard]] auto ContentLength() const -> std::optional<std::uint64_t>
  {
    const auto length = mParser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
  }
  /// Whether a part of the response may still follow its header. Precondition: nothing of the body
  /// has been read.
  [[nodiscard]] auto HasBody() const -> bool { return !mParser->is_done(); }
  /// Whether the response has neither a length nor chunks, so that it ends with its connection.
  [[nodiscard]] auto EndsWithConnection() const -> bool { return mParser->need_eof(); }
  /// Records that the response is incomplete although its framing does not show it.
  auto MarkIncomplete() -> void { mReadError = boost::beast::http::error::partial_message; }
  /// Why the last read failed; no error if none has.
  [[nodiscard]] auto ReadError() const -> boost::system::error_code { return mReadError; }

private:
  /// Larger than a header may be, so that the header's own limit is reached first.
  static constexpr auto kMaxInputBytes = std::size_t{ 64 } * 1024;
  using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  auto ReadHead(const forwarded_request& aRequest) -> boost::asio::awaitable<bool>;
  auto SkipBody() -> boost::asio::awaitable<bool>;
  auto Write(const forwarded_request& aRequest) -> boost::asio::awaitable<void>;
  /// Reads on while the request is being written, if the response is an error or a redirection with
  /// a length. True when all of it is in mInput and the write still goes on. After a success the
  /// endpoint may use the rest of the request.
  auto HasWholeRefusal() -> boost::asio::awaitable<bool>;
  auto Release() -> void;

  endpoint_connection_pool& mConnections;
  std::string mEndpoint;
  /// Name of the header that carries the request id.
  std::string mRequestId;
  std::size_t mMaxPooled;
  std::optional<boost::asio::ip::tcp::socket> mSocket;
  std::optional<boost::asio::steady_timer> mStallTimer;
  /// Number of times that the stall timer has been armed or disarmed. Shared with its handlers,
  /// which may run after the call.
  std::shared_ptr<std::uint64_t> mStallArmings = std::make_shared<std::uint64_t>(0);
  /// Bytes that the parser has not consumed. Bounds what it asks for at once, such as a chunk
  /// header or a trailer.
  boost::beast::flat_buffer mInput{ kMaxInputBytes };
  std::optional<response_parser> mParser;
  /// Taken out of the parser, which adds the fields that follow a chunked body to its own.
  response_head mHead;
  std::array<char, 8UL * 1024> mPart = {};
  bool mIsWriting = false;
  bool mIsRequestWritten = false;
  boost::system::error_code mReadError;
};

} // namespace bronzering
