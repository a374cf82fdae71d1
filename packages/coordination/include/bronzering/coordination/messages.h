#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_section.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bronzering {

/// One HTTP header field.
struct header_field
{
  std::string mName;
  std::string mValue;
  auto operator==(const header_field&) const -> bool = default;
};

/// Announces a waiting request to an agent.
struct ticket
{
  request_id mRequest;
  std::string mService;
  std::string mOrganisation;
  /// Name of the tier; the agent looks up its rank in its own configuration.
  std::string mTier;
  std::uint64_t mPromptTokens = 0;
  /// Estimated number of tokens to generate.
  std::uint64_t mOutputTokens = 0;
  /// Hashes of the prompt's leading blocks, in order; model services only.
  std::vector<prefix_hash> mPrefix;
  /// Time remaining until the caller's deadline when the message was sent.
  duration mTimeLeft{};
  /// Set for requests to non-idempotent services that carry an idempotency key.
  std::optional<key_digest> mKey;
  /// Creation time extracted from a UUIDv7 key.
  std::optional<wall_time> mKeyCreated;
  auto operator==(const ticket&) const -> bool = default;
};

/// The entry no longer needs a grant for this request.
struct withdraw
{
  request_id mRequest;
  auto operator==(const withdraw&) const -> bool = default;
};

/// Sends a request to the agent for execution, using a grant or a credit.
struct dispatch
{
  grant_id mGrant;
  ticket mTicket;
  std::string mMethod;
  std::string mTarget;
  std::vector<header_field> mHeaders;
  std::string mBody;
  auto operator==(const dispatch&) const -> bool = default;
};

/// The entry no longer needs the answer, for example because the caller disconnected.
struct cancel
{
  request_id mRequest;
  auto operator==(const cancel&) const -> bool = default;
};

/// Flow control: total number of answer bytes, counted from the start of the answer, that the agent
/// may send for this request.
struct window
{
  request_id mRequest;
  std::uint64_t mBytes = 0;
  auto operator==(const window&) const -> bool = default;
};

/// Capacity on the endpoint is reserved for this request.
struct grant
{
  request_id mRequest;
  grant_id mGrant;
  duration mLifetime{};
  std::uint64_t mCachedTokens = 0;
  auto operator==(const grant&) const -> bool = default;
};

/// Allows the entry to dispatch any request for the service without sending a ticket first, one
/// request for each id in mGrants. It reserves no capacity: the agent checks admission again when
/// the dispatch arrives and may decline it.
struct credit
{
  std::string mService;
  std::vector<grant_id> mGrants;
  duration mLifetime{};
  auto operator==(const credit&) const -> bool = default;
};

enum class decline_reason
{
  Leaving,
  UnknownService,
  GrantExpired,
  Outranked,
  DeadlineTooShort,
  QueueFull,
  TooLarge,
  NotKeyOwner,
  KeyUnknown,
  KeyInProgress,
  KeyAlreadyRun,
  EndpointDown
};
inline constexpr auto kDeclineReasonNames =
  name_table<decline_reason, 12>{ { { { decline_reason::Leaving, "leaving" },
                                      { decline_reason::UnknownService, "unknown_service" },
                                      { decline_reason::GrantExpired, "grant_expired" },
                                      { decline_reason::Outranked, "outranked" },
                                      { decline_reason::DeadlineTooShort, "deadline_too_short" },
                                      { decline_reason::QueueFull, "queue_full" },
                                      { decline_reason::TooLarge, "too_large" },
                                      { decline_reason::NotKeyOwner, "not_key_owner" },
                                      { decline_reason::KeyUnknown, "key_unknown" },
                                      { decline_reason::KeyInProgress, "key_in_progress" },
                                      { decline_reason::KeyAlreadyRun, "key_already_run" },
                                      { decline_reason::EndpointDown, "endpoint_down" } } } };

/// The agent has not executed this ticket or dispatch and never will.
struct decline
{
  request_id mRequest;
  decline_reason mReason = decline_reason::Leaving;
  duration mRetryAfter{};
  /// HTTP status of the earlier execution; KeyAlreadyRun only.
  std::uint32_t mEarlierStatus = 0;
  auto operator==(const decline&) const -> bool = default;
};

/// Start of the answer.
struct answer_head
{
  request_id mRequest;
  std::uint32_t mStatus = 0;
  std::vector<header_field> mHeaders;
  auto operator==(const answer_head&) const -> bool = default;
};

/// A part of the answer's body.
struct answer_data
{
  request_id mRequest;
  std::uint64_t mOffset = 0;
  std::string mBytes;
  /// Total number of tokens generated so far.
  std::uint64_t mGeneratedTokens = 0;
  auto operator==(const answer_data&) const -> bool = default;
};

enum class answer_outcome
{
  Completed,
  Failed,
  Cancelled
};
inline constexpr auto kAnswerOutcomeNames =
  name_table<answer_outcome, 3>{ { { { answer_outcome::Completed, "completed" },
                                     { answer_outcome::Failed, "failed" },
                                     { answer_outcome::Cancelled, "cancelled" } } } };

/// End of the answer. The body is complete only if the outcome is Completed.
struct answer_end
{
  request_id mRequest;
  answer_outcome mOutcome = answer_outcome::Completed;
  /// Total length of the body; lets the entry detect missing bytes.
  std::uint64_t mTotalBytes = 0;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mGeneratedTokens = 0;
  auto operator==(const answer_end&) const -> bool = default;
};

enum class agent_state
{
  Starting,
  Serving,
  Draining,
  Stopped
};
inline constexpr auto kAgentStateNames =
  name_table<agent_state, 4>{ { { { agent_state::Starting, "starting" },
                                  { agent_state::Serving, "serving" },
                                  { agent_state::Draining, "draining" },
                                  { agent_state::Stopped, "stopped" } } } };

/// State and load of an agent, sent on significant changes.
struct agent_status
{
  agent_state mState = agent_state::Starting;
  /// Queued cost by tier rank: tokens for model endpoints, requests for plain endpoints.
  std::vector<std::uint64_t> mWaitingByRank;
  std::uint32_t mRunning = 0;
  std::uint32_t mFreeSlots = 0;
  std::uint64_t mFreeKvTokens = 0;
  double mPrefillTokensPerSecond = 0;
  /// Duration of one batch step at the current load; mean service time for plain endpoints.
  duration mStepTime{};
  auto operator==(const agent_status&) const -> bool = default;
};

/// Requests an amount from the owner of a budget.
struct lease_request
{
  std::string mBudget;
  double mAmount = 0;
  auto operator==(const lease_request&) const -> bool = default;
};

/// Permits spending the amount within the lifetime. A zero amount means that nothing was granted;
/// the request may be repeated after the lifetime.
struct lease_grant
{
  std::string mBudget;
  double mAmount = 0;
  duration mLifetime{};
  auto operator==(const lease_grant&) const -> bool = default;
};

/// Returns the unspent amount of a lease to the owner of the budget.
struct lease_return
{
  std::string mBudget;
  double mAmount = 0;
  auto operator==(const lease_return&) const -> bool = default;
};

/// Revision and hash of one section as applied by a process.
struct section_digest
{
  std::string mName;
  revision mRevision;
  std::uint64_t mHash = 0;
  auto operator==(const section_digest&) const -> bool = default;
};

/// Summary of the sender's active configuration; peers reply with sections that are newer on their
/// side.
struct config_digest
{
  revision mRevision;
  std::vector<section_digest> mSections;
  /// Time since the configuration service last confirmed the revision, as known to the sender
  /// directly or through its peers.
  duration mConfirmedAgo{};
  auto operator==(const config_digest&) const -> bool = default;
};

/// Sections that the receiver is missing. Sections not named in mAllNames were removed by
/// mRevision.
struct config_sections
{
  revision mRevision;
  std::vector<fleet_section> mSections;
  std::vector<std::string> mAllNames;
  duration mConfirmedAgo{};
  auto operator==(const config_sections&) const -> bool = default;
};

/// Every message that peers exchange within a session.
using peer_message = std::variant<ticket,
                                  withdraw,
                                  dispatch,
                                  cancel,
                                  window,
                                  grant,
                                  credit,
                                  decline,
                                  answer_head,
                                  answer_data,
                                  answer_end,
                                  agent_status,
                                  lease_request,
                                  lease_grant,
                                  lease_return,
                                  config_digest,
                                  config_sections>;

enum class process_role
{
  Entry,
  Agent
};
inline constexpr auto kProcessRoleNames = name_table<process_role, 2>{
  { { { process_role::Entry, "entry" }, { process_role::Agent, "agent" } } }
};

/// Identity of a process; sent in the handshake.
struct process_identity
{
  process_role mRole = process_role::Entry;
  std::string mVm;
  std::string mAvailabilityZone;
  /// Name of the endpoint; agents only.
  std::string mEndpoint;
  incarnation mIncarnation;
  auto operator==(const process_identity&) const -> bool = default;
};

enum class vm_state
{
  Live,
  Leaving
};
inline constexpr auto kVmStateNames =
  name_table<vm_state, 2>{ { { { vm_state::Live, "live" }, { vm_state::Leaving, "leaving" } } } };

/// One process in the platform's VM list. May be out of date by several seconds.
struct vm_entry
{
  std::string mVm;
  process_role mRole = process_role::Entry;
  std::string mAvailabilityZone;
  std::string mEndpoint;
  /// Listening address for peers, "address:port".
  std::string mAddress;
  vm_state mState = vm_state::Live;
  auto operator==(const vm_entry&) const -> bool = default;
};

} // namespace bronzering
