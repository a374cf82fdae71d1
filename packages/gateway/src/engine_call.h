#pragma once

#include "endpoint_connections.h"

#include <bronzering/base/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <optional>
#include <string>

namespace bronzering {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_fields = boost::beast::http::fields;

/// Sends one request to one endpoint and reads the response incrementally. The connection returns
/// to the pool if the response was complete and no bytes followed it; otherwise it is reset, at the
/// latest by the destructor. Control thread only.
class engine_call
{
public:
  /// aRequestId is the name of the header that carries the request id, aMaxKept the maximum number
  /// of pooled connections to the endpoint.
  engine_call(endpoint_connections& aConnections,
              std::string aEndpoint,
              std::string aRequestId,
              std::size_t aMaxKept);
  ~engine_call();
  engine_call(const engine_call&) = delete;
  auto operator=(const engine_call&) -> engine_call& = delete;

  /// Acquires a connection. False when the endpoint is unreachable.
  auto Open(const std::string& aAddress, duration aMaxIdle, duration aTimeout)
    -> boost::asio::awaitable<bool>;
  /// Sends the request and reads the response header. Responses to other requests are skipped.
  /// False when there is no response. Precondition: Open returned true.
  auto Send(const http_request& aRequest) -> boost::asio::awaitable<bool>;
  /// The next bytes of the body: an empty string at its end, no value when the response broke off.
  auto ReadSome() -> boost::asio::awaitable<std::optional<std::string>>;

  /// Calls aAction once after aPatience, unless the watch is replaced by a later one or the request
  /// ends before.
  auto WatchSilence(duration aPatience, std::function<void()> aAction) -> void;
  /// Resets the connection; reads in progress fail.
  auto Abort() -> void;

  /// Precondition: Send returned true.
  [[nodiscard]] auto Status() const -> unsigned { return mParser->get().result_int(); }
  [[nodiscard]] auto Fields() const -> const http_fields& { return mParser->get().base(); }

private:
  using response_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  auto ReadHead(const http_request& aRequest) -> boost::asio::awaitable<bool>;
  auto SkipBody() -> boost::asio::awaitable<bool>;
  auto Write(const http_request& aRequest) -> boost::asio::awaitable<bool>;
  auto Release() -> void;

  endpoint_connections& mConnections;
  std::string mEndpoint;
  std::string mRequestId;
  std::size_t mMaxKept;
  std::optional<boost::asio::ip::tcp::socket> mSocket;
  std::optional<boost::asio::steady_timer> mSilence;
  boost::beast::flat_buffer mInput;
  std::optional<response_parser> mParser;
  std::array<char, 8UL * 1024> mPart = {};
  bool mIsWritten = false;
};

} // namespace bronzering
