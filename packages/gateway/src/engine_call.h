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

/// One request to one endpoint and its answer as it arrives. The connection is kept for later
/// requests if the answer was whole and nothing followed it; it is closed with a reset when the
/// call is destroyed before. Control thread only.
class engine_call
{
public:
  /// aRequestId is the header by which answers name their request, aMaxKept how many idle
  /// connections the endpoint may have afterwards.
  engine_call(endpoint_connections& aConnections,
              std::string aEndpoint,
              std::string aRequestId,
              std::size_t aMaxKept);
  ~engine_call();
  engine_call(const engine_call&) = delete;
  auto operator=(const engine_call&) -> engine_call& = delete;

  /// Takes a connection; false when the endpoint cannot be reached.
  auto Open(const std::string& aAddress, duration aMaxIdle, duration aTimeout)
    -> boost::asio::awaitable<bool>;
  /// Sends the request and reads the head of its answer; an answer to another request is skipped.
  /// False when there is none. Precondition: opened.
  auto Send(const http_request& aRequest) -> boost::asio::awaitable<bool>;
  /// The next bytes of the body, empty at its end; no value when the answer broke off.
  auto ReadSome() -> boost::asio::awaitable<std::optional<std::string>>;

  /// Calls aAction once if nothing is received for aPatience from now on. Replaces the last watch.
  auto WatchSilence(duration aPatience, std::function<void()> aAction) -> void;
  /// Closes the connection: reads in progress fail.
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
