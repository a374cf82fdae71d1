#pragma once

#include "engine_call.h"
#include "gateway_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>

namespace bronzering {

/// One connection of a caller: reads requests one after another, has each served, and notices when
/// the caller leaves. Control thread only; kept alive by its coroutine.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
  caller_session(gateway_state& aState, boost::asio::ip::tcp::socket aSocket);

  /// Serves the connection until it ends.
  auto Run() -> boost::asio::awaitable<void>;
  /// Closes the connection now if it waits for a request.
  auto CloseIfIdle() -> void;

private:
  auto AwaitRequest() -> boost::asio::awaitable<bool>;
  auto ReadRequest() -> boost::asio::awaitable<std::optional<http_request>>;
  auto ServeRequest(http_request aRequest) -> boost::asio::awaitable<bool>;
  /// Returns when the caller has closed its connection.
  auto AwaitDeparture() -> boost::asio::awaitable<void>;
  /// Answers a request that the parser turned away; nothing if the connection ended.
  auto RejectMalformed(boost::system::error_code aError) -> boost::asio::awaitable<void>;
  auto Reject(unsigned aStatus) -> boost::asio::awaitable<void>;
  /// Closes in order, so that the caller reads the last answer.
  auto Close() -> void;
  [[nodiscard]] auto Limits() const -> caller_limits;

  gateway_state& mState;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mInput;
  boost::asio::steady_timer mIdleTimer;
  bool mIsIdle = false;
};

} // namespace bronzering
