#pragma once

#include "endpoint_call.h"
#include "gateway_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>

namespace bronzering {

class exchange;

/// One connection of a caller: reads and serves requests one after another, and detects that the
/// caller disconnects. Control thread only; kept alive by its coroutine.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
  caller_session(gateway_state& aState, boost::asio::ip::tcp::socket aSocket);

  /// Serves the connection until it ends.
  auto Run() -> boost::asio::awaitable<void>;
  /// Closes the connection if no request is in progress on it.
  auto CloseIfIdle() -> void;
  /// Records that the process was asked to stop.
  auto OnStopRequested() -> void;

private:
  auto AwaitRequest() -> boost::asio::awaitable<bool>;
  auto ReadRequest() -> boost::asio::awaitable<std::optional<http_request>>;
  auto ServeRequest(http_request aRequest) -> boost::asio::awaitable<bool>;
  /// Returns when the caller has closed the connection. Buffers pipelined requests meanwhile.
  auto AwaitDisconnect() -> boost::asio::awaitable<void>;
  /// Answers a request that the parser rejected; does nothing if the connection ended.
  auto RejectMalformed(boost::system::error_code aError) -> boost::asio::awaitable<void>;
  auto Reject(unsigned aStatus) -> boost::asio::awaitable<void>;
  /// Shuts the connection down gracefully, so that the caller receives the last response.
  auto Close() -> void;
  [[nodiscard]] auto Limits() const -> caller_limits;

  gateway_state& mState;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mInput;
  boost::asio::steady_timer mIdleTimer;
  bool mIsIdle = false;
  /// The request in progress; null between requests.
  exchange* mExchange = nullptr;
};

} // namespace bronzering
