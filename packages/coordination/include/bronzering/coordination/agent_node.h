#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/entry_node.h>
#include <bronzering/coordination/messages.h>

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzering {

/// Events from the endpoint beside the agent.
struct engine_answer_head
{
  request_id mRequest;
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
};
struct engine_answer_data
{
  request_id mRequest;
  std::uint64_t mOffset = 0;
  std::string mBytes;
  /// Tokens generated so far; zero for plain services.
  std::uint64_t mGeneratedTokens = 0;
};
/// The answer is whole; token counts as the engine reports them.
struct engine_answer_end
{
  request_id mRequest;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mGeneratedTokens = 0;
};
/// The call broke. mStarted tells whether any byte of the request may have reached the endpoint.
struct engine_failure
{
  request_id mRequest;
  bool mStarted = true;
  std::string mWhat;
};
/// The engine's own view of its load, late.
struct engine_load
{
  std::uint32_t mRunning = 0;
  std::uint64_t mFreeKvTokens = 0;
  std::uint64_t mHighestFencingToken = 0;
  std::string mModelVersion;
  std::vector<std::string> mAdapters;
};
/// Changes of the prefix cache. A jump in mSequence means that events were lost.
struct engine_cache_event
{
  std::uint64_t mSequence = 0;
  std::vector<prefix_hash> mStored;
  std::vector<prefix_hash> mEvicted;
};
struct engine_command_result
{
  std::uint64_t mFencingToken = 0;
  bool mAccepted = false;
  std::string mWhat;
};
/// Whether the endpoint answers its health check.
struct engine_health
{
  bool mUp = false;
};
using engine_event = std::variant<engine_answer_head,
                                  engine_answer_data,
                                  engine_answer_end,
                                  engine_failure,
                                  engine_load,
                                  engine_cache_event,
                                  engine_command_result,
                                  engine_health>;

/// Actions towards the endpoint.
struct submit_to_engine
{
  request_id mRequest;
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  std::string mBody;
};
/// Continues a broken stream after the bytes already received.
struct resume_engine_stream
{
  request_id mRequest;
  std::uint64_t mOffset = 0;
};
struct cancel_on_engine
{
  request_id mRequest;
};
/// Stops or continues reading the answer of one request, for flow control.
struct pause_engine_stream
{
  request_id mRequest;
  bool mPaused = false;
};

enum class engine_command_kind
{
  LoadModel,
  LoadAdapter,
  SetRole
};
inline constexpr auto kEngineCommandKindNames =
  name_table<engine_command_kind, 3>{ { { { engine_command_kind::LoadModel, "load_model" },
                                          { engine_command_kind::LoadAdapter, "load_adapter" },
                                          { engine_command_kind::SetRole, "set_role" } } } };
struct send_engine_command
{
  std::uint64_t mFencingToken = 0;
  engine_command_kind mKind = engine_command_kind::LoadModel;
  /// Model version, adapter name or role.
  std::string mArgument;
};

using agent_action = std::variant<send_message,
                                  submit_to_engine,
                                  resume_engine_stream,
                                  cancel_on_engine,
                                  pause_engine_stream,
                                  send_engine_command,
                                  watch_configuration>;

/// Bounds and identity of one agent process.
struct agent_settings
{
  process_identity mIdentity;
  std::uint64_t mSeed = 0;
  std::size_t mMaxTickets = 100'000;
  duration mGrantLifetime = std::chrono::seconds(1);
  /// How long a lost session's dispatched model streams go on.
  duration mOrphanTimeout = std::chrono::seconds(10);
};

/// The decisions of one agent process, free of I/O: which ticket is granted when, what is sent to
/// the endpoint, and what is refused. Same conventions as entry_node. Not thread-safe: owned by the
/// control thread.
class agent_node
{
public:
  agent_node(agent_settings aSettings, metrics_registry& aMetrics);
  ~agent_node();
  agent_node(const agent_node&) = delete;
  auto operator=(const agent_node&) -> agent_node& = delete;

  auto OnPeerUp(peer_id aPeer, process_identity aIdentity, instant aNow) -> void;
  auto OnPeerSilent(peer_id aPeer, bool aSilent, instant aNow) -> void;
  auto OnPeerDown(peer_id aPeer, instant aNow) -> void;
  /// A message, delivered once and in the order sent within the session.
  auto OnMessage(peer_id aPeer, peer_message aMessage, instant aNow) -> void;
  auto OnEngineEvent(engine_event aEvent, instant aNow) -> void;
  auto OnVmList(std::vector<vm_entry> aList, instant aNow) -> void;
  auto OnDocument(revision aRevision, std::string_view aDocument, instant aNow) -> void;

  /// Refuses new work from now on; dispatched work is finished.
  auto BeginDrain(instant aNow) -> void;
  [[nodiscard]] auto IsDrained() const -> bool;
  [[nodiscard]] auto IsReady() const -> bool;

  auto OnTimer(instant aNow) -> void;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;

  [[nodiscard]] auto TakeActions() -> std::vector<agent_action>;
  /// Decisions since the last call for the daemon's log, the oldest first: objects with the name of
  /// the decision in "what". At most 256; older ones are left out.
  [[nodiscard]] auto TakeDecisions() -> std::vector<boost::json::object>;
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;
  [[nodiscard]] auto Configuration() const -> std::shared_ptr<const fleet_config>;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
