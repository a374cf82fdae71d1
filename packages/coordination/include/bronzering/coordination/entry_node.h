#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/config/fleet_section.h>
#include <bronzering/coordination/messages.h>

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bronzering {

class metrics_registry;

/// A caller's request as parsed by the HTTP adapter.
struct caller_request
{
  exchange_id mExchange;
  /// SHA-256 of the bearer token in lower-case hexadecimal; empty if the request has no token.
  std::string mTokenDigest;
  /// The `model` field of a model request; if empty, mTarget selects a plain service.
  std::string mModel;
  std::string mMethod;
  std::string mTarget;
  /// End-to-end headers to forward to the endpoint.
  std::vector<header_field> mHeaders;
  std::string mBody;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;
  std::vector<prefix_hash> mPrefix;
  std::optional<duration> mTimeout;
  std::string mIdempotencyKey;
};

enum class refusal
{
  Unauthenticated,
  Forbidden,
  UnknownService,
  ServiceClosed,
  ClosingSoon,
  TooLarge,
  LimitExceeded,
  Overloaded,
  DeadlineExceeded,
  NoEndpoint,
  ShuttingDown,
  KeyOwnerUnreachable,
  KeyUnknown,
  KeyInProgress,
  KeyAlreadyRun,
  EndpointFailed,
  OutcomeUnknown,
  InvalidRequest
};
inline constexpr auto kRefusalNames =
  name_table<refusal, 18>{ { { { refusal::Unauthenticated, "unauthenticated" },
                               { refusal::Forbidden, "forbidden" },
                               { refusal::UnknownService, "unknown-service" },
                               { refusal::ServiceClosed, "service-closed" },
                               { refusal::ClosingSoon, "closing-soon" },
                               { refusal::TooLarge, "too-large" },
                               { refusal::LimitExceeded, "limit-exceeded" },
                               { refusal::Overloaded, "overloaded" },
                               { refusal::DeadlineExceeded, "deadline-exceeded" },
                               { refusal::NoEndpoint, "no-endpoint" },
                               { refusal::ShuttingDown, "shutting-down" },
                               { refusal::KeyOwnerUnreachable, "key-owner-unreachable" },
                               { refusal::KeyUnknown, "key-unknown" },
                               { refusal::KeyInProgress, "key-in-progress" },
                               { refusal::KeyAlreadyRun, "key-already-run" },
                               { refusal::EndpointFailed, "endpoint-failed" },
                               { refusal::OutcomeUnknown, "outcome-unknown" },
                               { refusal::InvalidRequest, "invalid-request" } } } };

/// Whether a refused request was executed by an endpoint.
enum class run_state
{
  NotRun,
  Ran,
  Unknown
};
inline constexpr auto kRunStateNames =
  name_table<run_state, 3>{ { { { run_state::NotRun, "not_run" },
                                { run_state::Ran, "ran" },
                                { run_state::Unknown, "unknown" } } } };

/// Actions requested by an entry_node; the adapter executes them in order.
struct send_message
{
  peer_id mPeer;
  peer_message mMessage;
};
struct start_answer
{
  exchange_id mExchange;
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
};
struct continue_answer
{
  exchange_id mExchange;
  std::string mBytes;
};
/// The answer is complete.
struct finish_answer
{
  exchange_id mExchange;
};
/// The answer's head was sent but the rest is lost: closes the connection so that the caller
/// detects the truncation.
struct abort_answer
{
  exchange_id mExchange;
};
/// Replies with a problem document; only used before the answer's head is sent.
struct refuse_request
{
  exchange_id mExchange;
  refusal mReason = refusal::Overloaded;
  run_state mRunState = run_state::NotRun;
  std::uint32_t mHttpStatus = 503;
  std::optional<duration> mRetryAfter;
  std::string mDetail;
};
/// Opens a session to a process in the VM list. The adapter reconnects until the session is closed
/// by a disconnect_peer action.
struct connect_peer
{
  std::string mAddress;
};
struct disconnect_peer
{
  std::string mAddress;
};

/// Tells the platform adapter to start or stop watching the configuration service.
struct watch_configuration
{
  bool mEnabled = false;
};

using entry_action = std::variant<send_message,
                                  start_answer,
                                  continue_answer,
                                  finish_answer,
                                  abort_answer,
                                  refuse_request,
                                  connect_peer,
                                  disconnect_peer,
                                  watch_configuration>;

/// Identity and resource limits of one entry process.
struct entry_settings
{
  process_identity mIdentity;
  std::uint64_t mSeed = 0;
  /// Maximum number of requests waiting for a grant, in total and per organisation.
  std::size_t mMaxWaiting = 10'000;
  std::size_t mMaxWaitingPerOrganisation = 4'000;
  /// Maximum number of answer bytes buffered for one caller.
  std::uint64_t mAnswerWindowBytes = std::uint64_t{ 256 } * 1024;
};

/// The control logic of one entry process, without I/O. Events are passed in with the current time
/// and may produce actions, which the adapter collects with TakeActions and executes in order.
/// Deterministic: the same settings, events and times produce the same actions. Not thread-safe:
/// owned by the control thread.
class entry_node
{
public:
  entry_node(entry_settings aSettings, metrics_registry& aMetrics);
  ~entry_node();
  entry_node(const entry_node&) = delete;
  auto operator=(const entry_node&) -> entry_node& = delete;

  /// A caller sent a request. Precondition: aRequest.mExchange was not used before.
  auto OnRequest(caller_request aRequest, instant aNow) -> void;
  /// aTotalBytes of the answer have been delivered to the caller; extends the flow-control window.
  auto OnAnswerBytesDelivered(exchange_id aExchange, std::uint64_t aTotalBytes, instant aNow)
    -> void;
  /// The caller disconnected. Unknown exchanges are ignored.
  auto OnCallerDisconnected(exchange_id aExchange, instant aNow) -> void;

  /// A session was established. aListed is the address that this process connected to; empty if the
  /// peer initiated the connection.
  auto OnPeerUp(peer_id aPeer, process_identity aIdentity, std::string aListed, instant aNow)
    -> void;
  /// The session's link exceeded its receive timeout, or received data again.
  auto OnPeerSilent(peer_id aPeer, bool aSilent, instant aNow) -> void;
  /// The session is permanently lost, including its undelivered messages.
  auto OnPeerDown(peer_id aPeer, instant aNow) -> void;
  /// A message from a peer. Delivered exactly once and in order within a session.
  auto OnMessage(peer_id aPeer, peer_message aMessage, instant aNow) -> void;

  /// The platform's VM list, which may be stale.
  auto OnVmList(std::vector<vm_entry> aList, instant aNow) -> void;
  /// The document currently served by the configuration service. It may be stale or older than an
  /// earlier one.
  auto OnDocument(revision aRevision, std::string_view aDocument, instant aNow) -> void;

  /// Stops accepting requests; accepted requests are completed.
  auto BeginDrain(instant aNow) -> void;
  /// Whether draining has begun and no requests remain.
  [[nodiscard]] auto IsDrained() const -> bool;
  /// Whether the load balancer may send requests to this process.
  [[nodiscard]] auto IsReady() const -> bool;

  /// Runs expired timers.
  auto OnTimer(instant aNow) -> void;
  /// When OnTimer must be called next; empty if no timer is set.
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;

  /// Returns the actions produced since the last call.
  [[nodiscard]] auto TakeActions() -> std::vector<entry_action>;
  /// Returns the decisions logged since the last call, oldest first, as objects with the name of
  /// the decision in "what". At most 256; older ones are dropped.
  [[nodiscard]] auto TakeDecisions() -> std::vector<boost::json::object>;
  /// Diagnostic state for operators; contains neither bearer tokens nor request contents.
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;
  /// The active configuration; null before the first one is applied.
  [[nodiscard]] auto Configuration() const -> std::shared_ptr<const fleet_config>;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
