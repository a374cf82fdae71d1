#pragma once

#include "endpoint_call.h"
#include "gateway_state.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

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
  using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
  /// A request and the memory that its body takes.
  struct received_request
  {
    http_request mRequest;
    memory_reservation mBodyMemory;
  };
  struct received_body
  {
    explicit received_body(memory_budget& aBudget)
      : mMemory(aBudget)
    {
    }
    std::string mBytes;
    memory_reservation mMemory;
    bool mIsMemoryShort = false;
    boost::system::error_code mError;
  };

  auto ReadRequest() -> boost::asio::awaitable<std::optional<received_request>>;
  /// Reads the body in steps, and takes memory before each.
  auto ReadBody(request_parser& aParser) -> boost::asio::awaitable<received_body>;
  /// Takes memory, for which it waits a short time. The caller is not read meanwhile.
  auto Reserve(memory_reservation& aHeld, std::size_t aBytes) -> boost::asio::awaitable<bool>;
  auto ServeRequest(received_request aRequest) -> boost::asio::awaitable<bool>;
  /// Returns when the caller has closed the connection. Buffers pipelined requests meanwhile.
  auto AwaitDisconnect() -> boost::asio::awaitable<void>;
  /// Answers a request that the parser rejected; does nothing if the connection ended.
  auto RejectMalformed(boost::system::error_code aError) -> boost::asio::awaitable<void>;
  /// Answers with aStatus and ends the connection. The request has not been executed.
  auto Reject(unsigned aStatus, std::string_view aReason) -> boost::asio::awaitable<void>;
  auto LogRejection(unsigned aStatus, std::string_view aReason) -> void;
  /// Reads what the caller still sends, up to a bound, so that it gets the last response. Returns
  /// the number of bytes.
  auto Discard() -> boost::asio::awaitable<std::size_t>;
  /// Shuts the connection down gracefully, so that the caller receives the last response.
  auto Close() -> void;
  [[nodiscard]] auto Limits() const -> caller_limits;

  gateway_state& mState;
  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mInput;
  /// What mInput takes while pipelined requests are buffered.
  memory_reservation mInputMemory;
  boost::asio::steady_timer mIdleTimer;
  bool mIsIdle = false;
  /// The request in progress; null between requests.
  exchange* mExchange = nullptr;
};

} // namespace bronzering
