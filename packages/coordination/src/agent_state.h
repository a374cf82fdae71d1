#pragma once

#include "answer_relay.h"
#include "decision_log.h"
#include "endpoint_life.h"
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

/// How long a broken stream may take to come back.
inline constexpr auto kResumeFor = std::chrono::seconds(2);

/// Where a request is at this agent.
enum class work_phase
{
  Waiting,
  /// Waiting, but its session is silent: a grant would only hold room for nothing.
  Parked,
  Granted,
  Running
};

/// A request that waits, holds a grant, or was dispatched.
struct agent_request
{
  work_phase mPhase = work_phase::Waiting;
  peer_id mPeer;
  ticket mTicket;
  std::uint32_t mRank = 0;
  double mWeight = 1;
  work_estimate mEstimate;
  time_point mArrived;
  time_point mEstimated;
  /// Cost charged to the organisation so far.
  double mCharged = 0;
  /// Cost granted to others while this request was next in line.
  double mBypassed = 0;

  // From here on for dispatched requests only.
  answer_relay mAnswer;
  std::optional<std::uint32_t> mStatus;
  std::optional<engine_answer_end> mEnd;
  bool mPaused = false;
  /// The caller or its entry is gone; the endpoint finishes, and the answer is dropped.
  bool mDiscarded = false;
  std::optional<time_point> mBrokenSince;
  std::optional<time_point> mResumeAt;
  std::optional<time_point> mCancelAt;
};

/// An entry with a session to this agent.
struct entry_peer
{
  process_identity mIdentity;
  std::optional<time_point> mSilentSince;
  std::set<request_id> mRequests;
  /// Services that this entry used recently, and when.
  std::map<std::string, time_point, std::less<>> mActive;
};

/// Remembers the latest ids that were dispatched here, so that none runs twice. Sessions deliver
/// each message once, so only a faulty entry repeats an id; the bound only limits memory.
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

/// The state and the rules of an agent_node, in three parts: tickets (agent_tickets.cpp), answers
/// (agent_answers.cpp), and configuration (agent_config.cpp). Every public event of the node
/// advances the timers to the current time first, so that a process that was paused acts on its
/// own clock before it acts on old messages.
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

  // Tickets, grants and dispatches.
  auto OnTicket(peer_id aPeer, ticket aTicket, instant aNow) -> void;
  auto OnWithdraw(peer_id aPeer, request_id aRequest, instant aNow) -> void;
  auto OnDispatch(peer_id aPeer, dispatch aDispatch, instant aNow) -> void;
  /// Puts a waiting request into the queue anew, under the configuration in force.
  auto Requeue(agent_request& aRequest, instant aNow) -> void;
  /// Takes the tickets of a silent session out of the queue, or puts them back.
  auto ParkTickets(peer_id aPeer, bool aSilent, instant aNow) -> void;
  auto Schedule(instant aNow) -> void;
  auto ScheduleOne(instant aNow) -> bool;
  auto IssueGrant(agent_request& aRequest, instant aNow) -> void;
  auto IssueCredits(instant aNow) -> void;
  auto ExpireGrants(instant aNow) -> void;
  /// Withdraws all work that was not dispatched and declines it with this reason.
  auto DeclineWaiting(decline_reason aReason, instant aNow) -> void;
  [[nodiscard]] auto RefusalOf(const agent_request& aRequest, instant aNow) const
    -> std::optional<decline>;
  [[nodiscard]] auto RefusalOfKey(const ticket& aTicket, key_verdict aVerdict) const
    -> std::optional<decline>;
  auto RefuseCredit(const agent_request& aRequest, instant aNow) const
    -> std::optional<decline_reason>;
  [[nodiscard]] auto MakeRequest(peer_id aPeer, ticket aTicket, instant aNow) const
    -> agent_request;
  [[nodiscard]] auto CostOf(const agent_request& aRequest) const -> double;
  auto Estimate(agent_request& aRequest, instant aNow) const -> void;
  auto Decline(peer_id aPeer, decline aDecline, instant aNow) -> void;
  /// Forgets a request that was not dispatched.
  auto Drop(request_id aRequest, instant aNow, std::string_view aWhy) -> void;
  auto Forget(request_id aRequest) -> void;
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
  auto Pump(agent_request& aRequest) -> void;
  auto MarkBroken(agent_request& aRequest, instant aNow) -> void;
  /// The stream of a request delivers again.
  auto MarkAlive(agent_request& aRequest, instant aNow) -> void;
  auto CancelStream(request_id aRequest, std::string_view aWhy, instant aNow) -> void;
  auto FinishIfDelivered(agent_request& aRequest, instant aNow) -> void;
  auto EndAnswer(agent_request& aRequest, answer_outcome aOutcome, instant aNow) -> void;
  auto SettleCost(agent_request& aRequest, double aCost) -> void;
  [[nodiscard]] auto FindRunning(request_id aRequest) -> agent_request*;
  [[nodiscard]] auto FindRunning(peer_id aPeer, request_id aRequest) -> agent_request*;

  // Configuration.
  /// Sends what the configuration exchange wants to send, and adopts what it received.
  auto ExchangeConfiguration(instant aNow) -> void;
  auto AdoptConfiguration(instant aNow) -> void;
  auto UpdateConfigurationReader() -> void;
  auto Reconcile(instant aNow) -> void;
  auto LeaseOwner(std::string_view aBudget) const -> std::optional<peer_id>;
  auto UpdateLife(instant aNow) -> void;
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
  /// This endpoint in mConfig; null when it is not listed.
  const endpoint_config* mEndpoint = nullptr;

  endpoint_life mLife;
  bool mEndpointUp = false;
  agent_state mLastState = agent_state::Starting;
  ticket_queue mQueue;
  engine_model mModel;
  prefix_cache_model mCache;
  grant_table mGrants;
  fencing_token_source mFencing;
  model_reconciler mReconciler;
  /// Created with the first event, which tells the start time.
  std::optional<idempotency_keys> mKeys;
  decision_log mDecisions;

  std::map<peer_id, entry_peer> mPeers;
  std::unordered_map<request_id, agent_request> mRequests;
  std::set<request_id> mRunning;
  dispatched_ids mDispatched;
  /// The latest estimate by service, which tells whether a credit would fit.
  std::map<std::string, work_estimate, std::less<>> mTypical;

  std::optional<agent_status> mLastStatus;
  time_point mStatusSent;
  bool mStatusDue = false;
  /// Set while tickets wait although there are free slots: rates change with time alone.
  std::optional<time_point> mRetryAt;
};

} // namespace bronzering
