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

/// A caller's request as the HTTP adapter read it.
struct caller_request
{
  exchange_id mExchange;
  /// SHA-256 of the bearer token, lower-case hexadecimal; empty when there is none.
  std::string mTokenDigest;
  /// The `model` field for model requests; empty selects a plain service by mTarget.
  std::string mModel;
  std::string mMethod;
  std::string mTarget;
  /// End-to-end headers to forward.
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

/// Whether the work behind a refused request happened.
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

/// Actions of an entry_node, carried out by the adapter in order.
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
/// The answer is whole.
struct finish_answer
{
  exchange_id mExchange;
};
/// The answer's head is out but the rest is lost: close the connection so that the caller notices.
struct abort_answer
{
  exchange_id mExchange;
};
/// Replies with a problem document; the answer's head was not sent.
struct refuse_request
{
  exchange_id mExchange;
  refusal mReason = refusal::Overloaded;
  run_state mRunState = run_state::NotRun;
  std::uint32_t mHttpStatus = 503;
  std::optional<duration> mRetryAfter;
  std::string mDetail;
};
/// Opens a session to a process of the VM list. The adapter keeps trying until told to close.
struct connect_peer
{
  std::string mAddress;
};
struct disconnect_peer
{
  std::string mAddress;
};

/// Asks the platform adapter to watch the configuration service, or to stop.
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

/// Bounds and identity of one entry process.
struct entry_settings
{
  process_identity mIdentity;
  std::uint64_t mSeed = 0;
  /// Most requests waiting for a grant, in all and for one organisation.
  std::size_t mMaxWaiting = 10'000;
  std::size_t mMaxWaitingPerOrganisation = 4'000;
  /// Answer bytes buffered for one slow caller.
  std::uint64_t mAnswerWindowBytes = std::uint64_t{ 256 } * 1024;
};

/// The decisions of one entry process, free of I/O. Receives events with the current time; every
/// event may produce actions, which the adapter collects with TakeActions and carries out in order.
/// The same settings, events and times give the same actions. Not thread-safe: owned by the
/// control thread.
class entry_node
{
public:
  entry_node(entry_settings aSettings, metrics_registry& aMetrics);
  ~entry_node();
  entry_node(const entry_node&) = delete;
  auto operator=(const entry_node&) -> entry_node& = delete;

  /// A caller's request. Precondition: aRequest.mExchange was not used before.
  auto OnRequest(caller_request aRequest, instant aNow) -> void;
  /// The caller took bytes of the answer, which reopens the flow-control window.
  auto OnAnswerBytesDelivered(exchange_id aExchange, std::uint64_t aTotalBytes, instant aNow)
    -> void;
  /// The caller's connection ended. Unknown exchanges are ignored.
  auto OnCallerDisconnected(exchange_id aExchange, instant aNow) -> void;

  /// A session was established. aListed is the address it was opened to, empty when the peer
  /// connected to this process.
  auto OnPeerUp(peer_id aPeer, process_identity aIdentity, std::string aListed, instant aNow)
    -> void;
  /// The session's link has been silent for too long, or is heard again.
  auto OnPeerSilent(peer_id aPeer, bool aSilent, instant aNow) -> void;
  /// The session is lost for good; its undelivered messages are too.
  auto OnPeerDown(peer_id aPeer, instant aNow) -> void;
  /// A message, delivered once and in the order sent within the session.
  auto OnMessage(peer_id aPeer, peer_message aMessage, instant aNow) -> void;

  /// The platform's VM list, possibly stale.
  auto OnVmList(std::vector<vm_entry> aList, instant aNow) -> void;
  /// The document as the configuration service has it now, possibly stale or going backwards.
  auto OnDocument(revision aRevision, std::string_view aDocument, instant aNow) -> void;

  /// Stops accepting requests; those accepted are finished.
  auto BeginDrain(instant aNow) -> void;
  /// Whether draining has begun and no request is left.
  [[nodiscard]] auto IsDrained() const -> bool;
  /// Whether the balancer may send requests here.
  [[nodiscard]] auto IsReady() const -> bool;

  /// Runs timers that are due.
  auto OnTimer(instant aNow) -> void;
  /// When OnTimer has to be called next; empty when no timer is set.
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;

  /// Hands over the actions since the last call.
  [[nodiscard]] auto TakeActions() -> std::vector<entry_action>;
  /// State for operators; holds neither bearer tokens nor request contents.
  /// Decisions since the last call for the daemon's log, the oldest first: objects with the name of
  /// the decision in "what". At most 256; older ones are left out.
  [[nodiscard]] auto TakeDecisions() -> std::vector<boost::json::object>;
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;
  /// The configuration in force; null before the first one.
  [[nodiscard]] auto Configuration() const -> std::shared_ptr<const fleet_config>;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
