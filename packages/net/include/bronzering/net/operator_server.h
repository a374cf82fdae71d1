#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace bronzering {

class metrics_registry;

struct operator_server_settings
{
  /// Numeric "address:port"; port 0 selects a free port.
  std::string mListen = "127.0.0.1:0";
  std::size_t mMaxConnections = 64;
  std::size_t mMaxHeaderBytes = std::size_t{ 8 } * 1024;
  /// Timeout for reading one request, and for writing one response.
  duration mTimeout = std::chrono::seconds(5);
  /// Response timeout of the control thread; when it elapses, the process is reported as unhealthy.
  duration mControlTimeout = std::chrono::seconds(2);
};

/// Provide the contents of /readyz and /state. Both functions are called on the control thread.
struct operator_callbacks
{
  std::function<bool()> mIsReady;
  /// Returns the state as JSON.
  std::function<std::string()> mState;
};

/// HTTP/1.1 server for operators on a separate port: /healthz (the control thread responds),
/// /readyz (the load balancer may send requests), /metrics (Prometheus text) and /state (JSON).
/// Runs on its own thread. Owned by the daemon.
class operator_server
{
public:
  /// aControl is run by the control thread. aControl and aMetrics must outlive the server.
  operator_server(operator_server_settings aSettings,
                  boost::asio::io_context& aControl,
                  operator_callbacks aCallbacks,
                  const metrics_registry& aMetrics);
  /// Stops if still running.
  ~operator_server();
  operator_server(const operator_server&) = delete;
  auto operator=(const operator_server&) -> operator_server& = delete;

  /// Binds, listens and starts the thread.
  [[nodiscard]] auto Start() -> outcome<void>;
  /// The port listened on. Precondition: started.
  [[nodiscard]] auto Port() const -> std::uint16_t;
  /// Closes all connections and joins the thread. The callbacks are not called afterwards. Call on
  /// the control thread, or after it ended.
  auto Stop() -> void;

private:
  struct state;
  std::shared_ptr<state> mState;
};

/// Requests one path of an operator_server, such as "/state", and returns the body of a 200
/// response. Blocks for at most aTimeout each to connect, write and read. Fails with io_failure or
/// malformed_input. Thread-safe.
[[nodiscard]] auto FetchFromOperator(const std::string& aAddress,
                                     const std::string& aPath,
                                     duration aTimeout) -> outcome<std::string>;

} // namespace bronzering
