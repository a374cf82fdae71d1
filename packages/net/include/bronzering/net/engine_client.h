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

/// Where the endpoint beside an agent listens, and the bounds and timeouts towards it.
struct engine_client_settings
{
  /// Numeric "address:port".
  std::string mAddress;
  /// Plain endpoints have no load report, cache events, streams or commands.
  service_kind mKind = service_kind::Model;
  /// Idle connections that are kept for reuse.
  std::size_t mMaxIdleConnections = 64;
  /// An idle connection is not reused after this time, since the endpoint may be closing it.
  duration mIdleTimeout = std::chrono::seconds(5);
  duration mConnectTimeout = std::chrono::seconds(1);
  /// Time from the end of the request to the head of the answer, and from there to its first part.
  duration mHeadTimeout = std::chrono::seconds(30);
  /// Silence within a streamed answer, while it is not paused, after which the call has failed.
  duration mSilenceTimeout = std::chrono::seconds(2);
  /// For load, cache events, commands and health.
  duration mControlTimeout = std::chrono::seconds(2);
  /// KV transfers.
  duration mTransferTimeout = std::chrono::seconds(10);
  duration mLoadInterval = std::chrono::milliseconds(250);
  duration mCacheEventInterval = std::chrono::milliseconds(250);
  duration mHealthInterval = std::chrono::milliseconds(500);
  /// Bounds of one answer's head, of one server-sent event, and of one KV transfer.
  std::size_t mMaxHeaderBytes = 64UL * 1024;
  std::size_t mMaxEventBytes = 1024UL * 1024;
  std::size_t mMaxTransferBytes = 256UL * 1024 * 1024;
};

/// The agent_node actions that an engine_client carries out.
using engine_action = std::variant<submit_to_engine,
                                   resume_engine_stream,
                                   cancel_on_engine,
                                   pause_engine_stream,
                                   send_engine_command>;

/// KV cache of some prompt blocks, as the engine serialises it; empty and with the reason set when
/// the transfer failed.
struct kv_transfer
{
  std::string mBytes;
  std::string mError;
};

/// HTTP/1.1 towards the endpoint beside an agent. Carries out the agent's actions and delivers
/// what comes back as engine events. Nothing is sent twice: a call that breaks after its first
/// byte was written ends with engine_failure (mStarted true), and the agent decides. For each
/// submitted request exactly one engine_answer_end or engine_failure follows, unless it was
/// cancelled; a request that was resumed gets another one. engine_answer_head is delivered once per
/// request, also if the stream was resumed before it had arrived. Runs on a traffic thread of its
/// own. Owned by the agent daemon; the public methods may be called from any thread.
class engine_client
{
public:
  /// aControl is run by the control thread and outlives the client; aEvents is called there.
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
  /// Carries out one action.
  auto Apply(engine_action aAction) -> void;

  /// Fetches the KV cache of prompt blocks; aDone is called on the control thread.
  auto ExportKv(std::vector<prefix_hash> aBlocks, std::function<void(kv_transfer)> aDone) -> void;
  /// Hands KV cache of another engine to this one; aDone is called on the control thread.
  auto ImportKv(std::string aBytes, std::function<void(kv_transfer)> aDone) -> void;

  /// Closes all connections and ends the thread. Call on the control thread, or after it ended.
  auto Stop() -> void;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
