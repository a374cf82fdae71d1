#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/agent_node.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace bronzering {

class metrics_registry;

/// Address of the endpoint that an agent serves, and the limits and timeouts of calls to it.
struct engine_client_settings
{
  /// Numeric "address:port".
  std::string mAddress;
  /// Plain endpoints have no load reports, cache events, resumable streams or commands.
  service_kind mKind = service_kind::Model;
  /// Maximum number of idle connections kept for reuse.
  std::size_t mMaxIdleConnections = 64;
  /// Connections that were idle for longer are not reused, since the endpoint may be closing them.
  duration mIdleTimeout = std::chrono::seconds(5);
  duration mConnectTimeout = std::chrono::seconds(1);
  /// Timeout from the end of the request to the response head, and from there to the first body
  /// bytes.
  duration mHeadTimeout = std::chrono::seconds(30);
  /// Read timeout within a streamed response; does not run while the stream is paused.
  duration mSilenceTimeout = std::chrono::seconds(2);
  /// Timeout of load, cache event, command and health calls.
  duration mControlTimeout = std::chrono::seconds(2);
  /// Timeout of KV cache transfers.
  duration mTransferTimeout = std::chrono::seconds(10);
  duration mLoadInterval = std::chrono::milliseconds(250);
  duration mCacheEventInterval = std::chrono::milliseconds(250);
  duration mHealthInterval = std::chrono::milliseconds(500);
  /// Maximum size of a response head, of a server-sent event, and of a KV cache transfer.
  std::size_t mMaxHeaderBytes = 64UL * 1024;
  std::size_t mMaxEventBytes = 1024UL * 1024;
  std::size_t mMaxTransferBytes = 256UL * 1024 * 1024;
};

/// The agent_node actions that an engine_client executes.
using engine_action = std::variant<submit_to_engine,
                                   resume_engine_stream,
                                   cancel_on_engine,
                                   pause_engine_stream,
                                   send_engine_command>;

/// Result of a KV cache transfer: the serialised cache of the prompt blocks, or the reason of the
/// failure.
struct kv_transfer
{
  std::string mBytes;
  std::string mError;
};

/// HTTP/1.1 client of the endpoint that an agent serves. Executes the agent's actions and reports
/// responses as engine events. Calls are never retried: a call that fails after its first byte was
/// written ends with engine_failure (mStarted true), and the agent decides whether to resume it.
/// Each submitted request is followed by exactly one engine_answer_end or engine_failure, unless it
/// is cancelled; each resumption is followed by one more. engine_answer_head is delivered once per
/// request, even if the stream is resumed before the head has arrived. Runs on its own traffic
/// thread. Owned by the agent daemon; the public methods may be called from any thread.
class engine_client
{
public:
  /// aControl is run by the control thread and must outlive the client; aEvents is called there.
  engine_client(engine_client_settings aSettings,
                boost::asio::io_context& aControl,
                std::function<void(engine_event aEvent)> aEvents,
                metrics_registry& aMetrics);
  /// Stops if still running.
  ~engine_client();
  engine_client(const engine_client&) = delete;
  auto operator=(const engine_client&) -> engine_client& = delete;

  /// Starts the traffic thread and the polling of health, load and cache events.
  [[nodiscard]] auto Start() -> outcome<void>;
  /// Queues one action for execution.
  auto Apply(engine_action aAction) -> void;

  /// Fetches the KV cache of prompt blocks; aDone is called on the control thread.
  auto ExportKv(std::vector<prefix_hash> aBlocks, std::function<void(kv_transfer)> aDone) -> void;
  /// Uploads KV cache of another engine to this one; aDone is called on the control thread.
  auto ImportKv(std::string aBytes, std::function<void(kv_transfer)> aDone) -> void;

  /// Closes all connections and joins the thread. Call on the control thread, or after it ended.
  auto Stop() -> void;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
