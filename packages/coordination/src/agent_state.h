#pragma once

#include "answer_relay.h"
#include "decision_log.h"
#include "endpoint_lifecycle.h"
#include "grant_table.h"
#include "idempotency_keys.h"
#include "model_reconciler.h"

#include <bronzering/base/metrics.h>
#include <bronzering/coordination/agent_node.h>
#include <bronzering/coordination/config_exchange.h>
#include <bronzering/coordination/membership.h>
#include <bronzering/scheduling.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bronzering {

/// Time within which an interrupted stream must resume before the request fails.
inline constexpr auto kResumeTimeout = std::chrono::seconds(2);

/// Progress of a request at this agent.
enum class request_phase
{
  /// The ticket is in the queue.
  Waiting,
  /// Waiting, but taken out of the queue while its session is silent: a grant would reserve
  /// capacity that the entry cannot use.
  Suspended,
  /// Capacity is reserved, and the entry has not dispatched the request yet.
  Granted,
  /// Dispatched. It is declined only if no byte of it reached the endpoint, since a decline states
  /// that it did not run.
  Running
};

/// A request that is waiting, holds a grant, or has been dispatched.
struct agent_request
{
  request_phase mPhase = request_phase::Waiting;
  /// The entry that sent the request.
  peer_id mPeer;
  ticket mTicket;
  /// Rank of the tier; a lower number is served first.
  std::uint32_t mRank = 0;
  /// Fair-queueing weight of the organisation.
  double mWeight = 1;
  work_estimate mEstimate;
  time_point mArrived;
  /// Time at which the cached tokens in mEstimate were computed.
  time_point mEstimated;
  /// Cost charged to the organisation so far; see CostOf for the unit.
  double mCharged = 0;
  /// Cost granted to others while this request was next in line.
  double mBypassed = 0;

  // The members below are used for dispatched requests only.
  answer_relay mAnswer;
  /// HTTP status of the response, once its head has arrived.
  std::optional<std::uint32_t> mStatus;
  /// Set when the endpoint has sent the complete response, of which a part may still be buffered.
  std::optional<engine_answer_end> mEnd;
  /// Reading from the endpoint is paused, because the entry's window is exhausted.
  bool mPaused = false;
  /// The caller or its entry is gone: the endpoint finishes the call, and its response is dropped.
  bool mDiscarded = false;
  /// Set while the stream from the endpoint is interrupted, or may be since the endpoint is down.
  std::optional<time_point> mInterruptedSince;
  /// Whether the call to the endpoint has failed since then. Otherwise it still goes on.
  bool mHasCallFailed = false;
  /// Time of the next attempt to resume an interrupted stream.
  std::optional<time_point> mResumeAt;
  /// Time at which the model stream of an entry whose session was lost is cancelled.
  std::optional<time_point> mCancelAt;
};

/// An entry with a session to this agent.
struct entry_peer
{
  process_identity mIdentity;
  /// Set while the session is silent.
  std::optional<time_point> mSilentSince;
  /// The requests of this entry in agent_node::state::mRequests.
  std::set<request_id> mRequests;
  /// Time of the last use by service, for the services that this entry used recently.
  std::map<std::string, time_point, std::less<>> mActive;
};

/// The ids most recently dispatched here, so that no request runs twice. Sessions deliver each
/// message once, so only a faulty entry repeats an id. The capacity limits memory.
class dispatched_ids
{
public:
  static constexpr std::size_t kCapacity = 1U << 16U;

  [[nodiscard]] auto Contains(request_id aRequest) const -> bool { return mIds.contains(aRequest); }
  auto Add(request_id aRequest) -> void
  {
    if (mOrder.size() < kCapacity) {
      mOrder.push_back(aRequest);
    } else {
      mIds.erase(mOrder[mNext]);
      mOrder[mNext] = aRequest;
      mNext = (mNext + 1) % kCapacity;
    }
    mIds.insert(aRequest);
  }

private:
  std::unordered_set<request_id> mIds;
  std::vector<request_id> mOrder;
  std::size_t mNext = 0;
};

/// Implementation of agent_node, in three parts: tickets (agent_tickets.cpp), answers
/// (agent_answers.cpp), and configuration (agent_config.cpp). Every public event handler runs the
/// due timers first, so that a process that was suspended expires grants and deadlines before it
/// handles messages that arrived in the meantime.
struct agent_node::state
{
  state(agent_settings aSettings, metrics_registry& aMetrics);

  // Events and timers (agent_node.cpp).
  auto RunTimers(instant aNow) -> void;
  auto AfterEvent(instant aNow) -> void;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;
  auto OnPeerDown(peer_id aPeer, instant aNow) -> void;
  auto OnEndpointDown(instant aNow) -> void;
  auto BeginDrain(instant aNow) -> void;
  auto SendStatus(instant aNow) -> void;
  [[nodiscard]] auto Status(instant aNow) const -> agent_status;
  [[nodiscard]] auto StatusInterval() const -> duration;

  // Tickets, grants and dispatches. An entry asks for capacity for a request with a ticket. The
  // agent replies with a grant, which reserves the capacity, or with a decline. The entry then
  // dispatches the request with the grant. A credit allows an entry to dispatch any request for a
  // service without a ticket. It reserves no capacity, so the agent may still decline the request.
  auto OnTicket(peer_id aPeer, ticket aTicket, instant aNow) -> void;
  auto OnWithdraw(peer_id aPeer, request_id aRequest, instant aNow) -> void;
  auto OnDispatch(peer_id aPeer, dispatch aDispatch, instant aNow) -> void;
  /// Reinserts a waiting or suspended request into the queue under the current configuration. Its
  /// phase is Waiting afterwards.
  auto Requeue(agent_request& aRequest, instant aNow) -> void;
  /// If aSilent, suspends the waiting tickets of a peer whose session became silent. Otherwise,
  /// reinserts its suspended tickets into the queue in order of arrival, because the peer was heard
  /// again.
  auto SuspendTickets(peer_id aPeer, bool aSilent, instant aNow) -> void;
  auto Schedule(instant aNow) -> void;
  auto ScheduleOne(instant aNow) -> bool;
  auto IssueGrant(agent_request& aRequest, instant aNow) -> void;
  auto IssueCredits(instant aNow) -> void;
  auto ExpireGrants(instant aNow) -> void;
  /// Removes all requests that were not dispatched and declines them with this reason.
  auto DeclineWaiting(decline_reason aReason, instant aNow) -> void;
  [[nodiscard]] auto DeclineFor(const agent_request& aRequest, instant aNow) const
    -> std::optional<decline>;
  [[nodiscard]] auto KeyDeclineFor(const ticket& aTicket, key_verdict aVerdict) const
    -> std::optional<decline>;
  auto CheckCredit(const agent_request& aRequest, instant aNow) const
    -> std::optional<decline_reason>;
  [[nodiscard]] auto MakeRequest(peer_id aPeer, ticket aTicket, instant aNow) const
    -> agent_request;
  /// Estimated cost for fair queueing: the uncached prompt tokens and output tokens of a request to
  /// a model, 1 for a plain service.
  [[nodiscard]] auto CostOf(const agent_request& aRequest) const -> double;
  auto Estimate(agent_request& aRequest, instant aNow) const -> void;
  auto Decline(peer_id aPeer, decline aDecline, instant aNow) -> void;
  /// Removes a request that was not dispatched, and logs aWhy as the decision:
  /// - cancelled, withdrawn: the entry no longer needs it.
  /// - session_lost: the session of the entry ended.
  /// - evicted: the queue was full, and a ticket of a higher tier arrived.
  /// - revoked: the agent cannot serve it any more, for example because it drains.
  /// - dropped: it cannot be admitted any more, even by an idle engine.
  /// - expired: its grant was not used in time.
  /// - superseded: it was dispatched without its grant, for example with a credit.
  /// - refused: it was dispatched with its grant, but may not run.
  auto Drop(request_id aRequest, instant aNow, std::string_view aWhy) -> void;
  auto RemoveRequest(request_id aRequest) -> void;
  /// Whether the endpoint is serving and its model is neither about to be replaced nor being
  /// replaced.
  auto MayGrant() const -> bool;

  // Answers of dispatched requests.
  auto OnEngine(engine_answer_head aHead, instant aNow) -> void;
  auto OnEngine(engine_answer_data aData, instant aNow) -> void;
  auto OnEngine(engine_answer_end aEnd, instant aNow) -> void;
  auto OnEngine(const engine_failure& aFailure, instant aNow) -> void;
  auto OnEngine(engine_load aLoad, instant aNow) -> void;
  auto OnEngine(const engine_cache_event& aEvent, instant aNow) -> void;
  auto OnEngine(const engine_command_result& aResult, instant aNow) -> void;
  auto OnEngine(engine_health aHealth, instant aNow) -> void;
  auto OnCancel(peer_id aPeer, request_id aRequest, instant aNow) -> void;
  auto OnWindow(peer_id aPeer, const window& aWindow) -> void;
  auto RunStreamTimers(instant aNow) -> void;
  auto SendAvailableData(agent_request& aRequest) -> void;
  auto MarkInterrupted(agent_request& aRequest, instant aNow) -> void;
  /// The endpoint has sent something for this request, so its stream is no longer interrupted.
  auto ClearInterruption(agent_request& aRequest, instant aNow) -> void;
  auto CancelStream(request_id aRequest, std::string_view aWhy, instant aNow) -> void;
  auto FinishIfDelivered(agent_request& aRequest, instant aNow) -> void;
  auto EndAnswer(agent_request& aRequest, answer_outcome aOutcome, instant aNow) -> void;
  /// Changes the cost charged to the request's organisation to aCost. The difference from the
  /// earlier charge is charged or refunded in the queue's fair-queueing account.
  auto AdjustCharge(agent_request& aRequest, double aCost) -> void;
  [[nodiscard]] auto FindRunning(request_id aRequest) -> agent_request*;
  [[nodiscard]] auto FindRunning(peer_id aPeer, request_id aRequest) -> agent_request*;

  // Configuration.
  /// Sends the pending messages of the configuration exchange, and adopts a configuration that it
  /// has received.
  auto ExchangeConfiguration(instant aNow) -> void;
  auto AdoptConfiguration(instant aNow) -> void;
  auto UpdateConfigurationReader() -> void;
  auto Reconcile(instant aNow) -> void;
  auto FindBudgetOwner(std::string_view aBudget) const -> std::optional<peer_id>;
  auto UpdateLifecycle(instant aNow) -> void;
  [[nodiscard]] auto Serves(std::string_view aService) const -> bool;
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;

  auto Send(peer_id aPeer, peer_message aMessage) -> void;
  auto IsModel() const -> bool { return mModel.Limits().mIsModel; }

  agent_settings mSettings;
  metrics_registry& mMetrics;
  std::vector<agent_action> mActions;

  config_exchange mExchange;
  membership mMembers;
  bool mWatching = false;
  std::shared_ptr<const fleet_config> mConfig;
  /// This agent's endpoint in mConfig; null if it is not listed.
  const endpoint_config* mEndpoint = nullptr;

  endpoint_lifecycle mEndpointLifecycle;
  bool mEndpointUp = false;
  agent_state mLastState = agent_state::Starting;
  ticket_queue mQueue;
  engine_model mModel;
  prefix_cache_model mCache;
  grant_table mGrants;
  fencing_token_source mFencing;
  model_reconciler mReconciler;
  /// Created with the first event, whose time is taken as the start time of the process.
  std::optional<idempotency_keys> mKeys;
  decision_log mDecisions;

  std::map<peer_id, entry_peer> mPeers;
  std::unordered_map<request_id, agent_request> mRequests;
  std::set<request_id> mRunning;
  dispatched_ids mDispatched;
  /// The latest estimate by service, used to decide whether a credit would fit.
  std::map<std::string, work_estimate, std::less<>> mLatestEstimates;

  std::optional<agent_status> mLastStatus;
  time_point mStatusSent;
  bool mStatusDue = false;
  /// Set while tickets wait although there are free slots: the measured rates change with time, so
  /// a ticket may fit later without any event.
  std::optional<time_point> mRetryAt;
};

} // namespace bronzering
