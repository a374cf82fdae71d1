#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/entry_node.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace bronzering {

class metrics_registry;

/// Listen address, resource limits and timeouts of a caller_server.
struct caller_server_settings
{
  /// Numeric "address:port"; port 0 selects a free port.
  std::string mListen = "127.0.0.1:0";
  std::size_t mThreads = 1;
  /// Limit over all threads; connections above it are closed on accept.
  std::size_t mMaxConnections = 20'000;
  std::size_t mMaxHeaderBytes = 16UL * 1024;
  std::size_t mMaxBodyBytes = 4UL * 1024 * 1024;
  /// A keep-alive connection without a request is closed after this time.
  duration mIdleTimeout = std::chrono::seconds(75);
  /// Time from the first byte of a request to its last.
  duration mReadTimeout = std::chrono::seconds(20);
  /// A connection that accepts no bytes of a pending write for this time is closed.
  duration mWriteTimeout = std::chrono::seconds(60);
  /// Assumed output tokens of requests without max_tokens.
  std::uint64_t mDefaultOutputTokens = 256;
};

/// Callbacks of a caller_server, all called on the control thread. For each exchange, mRequest is
/// called first. mGone is called last, when the caller disconnects before the exchange was
/// finished, aborted or refused.
struct caller_events
{
  std::function<void(caller_request aRequest)> mRequest;
  /// Total number of response body bytes written to the caller's socket so far.
  std::function<void(exchange_id aExchange, std::uint64_t aTotalBytes)> mProgress;
  std::function<void(exchange_id aExchange)> mGone;
};

/// The entry_node actions that a caller_server executes.
using caller_action =
  std::variant<start_answer, continue_answer, finish_answer, abort_answer, refuse_request>;

/// HTTP/1.1 server for callers with keep-alive, pipelining (one exchange at a time per connection),
/// streamed responses, size limits and timeouts. Parses requests into caller_request events for
/// the control thread and executes the control thread's response actions. Each connection stays on
/// one of the server's traffic threads. Owned by the entry daemon. The public methods may be called
/// from any thread; Apply must be called in the order in which the actions were issued.
class caller_server
{
public:
  /// aControl is run by the control thread and must outlive the server.
  caller_server(caller_server_settings aSettings,
                boost::asio::io_context& aControl,
                caller_events aEvents,
                metrics_registry& aMetrics);
  /// Stops if still running.
  ~caller_server();
  caller_server(const caller_server&) = delete;
  auto operator=(const caller_server&) -> caller_server& = delete;

  /// Binds, listens and starts the traffic threads.
  [[nodiscard]] auto Start() -> outcome<void>;
  /// The port listened on. Precondition: started.
  [[nodiscard]] auto Port() const -> std::uint16_t;
  /// Sets the configuration from which /v1/models is served. Null until the first call.
  auto SetConfiguration(std::shared_ptr<const fleet_config> aConfig) -> void;

  /// Executes one action. Actions for unknown or completed exchanges are ignored.
  auto Apply(caller_action aAction) -> void;

  /// Starts a drain: stops accepting connections, closes idle ones, and closes each remaining one
  /// after its current exchange.
  auto StopAccepting() -> void;
  /// Number of exchanges whose response has not been written to the socket completely.
  [[nodiscard]] auto OpenExchanges() const -> std::size_t;
  /// Closes all connections and joins the traffic threads. Queued events that the control thread
  /// has not yet handled are dropped. Call on the control thread, or after it ended.
  auto Stop() -> void;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
