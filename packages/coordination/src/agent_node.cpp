#include "agent_state.h"

#include <bronzering/base/overloaded.h>

#include <boost/json/value.hpp>

#include <algorithm>
#include <cmath>

namespace bronzering {

namespace {

/// Lateness of a timer that counts as a pause of the process; more than a busy machine causes.
constexpr auto kPauseNoticed = std::chrono::milliseconds(100);

/// Blocks of the prefix view: at 16 tokens a block, several times the largest engine's cache.
constexpr auto kCacheBlocks = std::size_t{ 100'000 };
/// Pause between status messages per connected entry, within bounds, so that an entry with links to
/// 32 agents per service stays within its 5 KB/s of control traffic.
constexpr auto kStatusPerPeer = std::chrono::milliseconds(20);
constexpr auto kShortestStatusInterval = std::chrono::milliseconds(200);
constexpr auto kLongestStatusInterval = std::chrono::seconds(1);
/// Relative change of a rate or of the free KV cache that entries are told about.
constexpr auto kNoticeable = 0.2;

auto Differs(double aLeft, double aRight) -> bool
{
  return std::abs(aLeft - aRight) > kNoticeable * std::max(std::abs(aLeft), std::abs(aRight));
}

auto IsNoticeable(const agent_status& aOld, const agent_status& aNew) -> bool
{
  return aOld.mState != aNew.mState || aOld.mWaitingByRank != aNew.mWaitingByRank ||
         aOld.mRunning != aNew.mRunning || aOld.mFreeSlots != aNew.mFreeSlots ||
         Differs(static_cast<double>(aOld.mFreeKvTokens),
                 static_cast<double>(aNew.mFreeKvTokens)) ||
         Differs(aOld.mPrefillTokensPerSecond, aNew.mPrefillTokensPerSecond) ||
         Differs(ToSeconds(aOld.mStepTime), ToSeconds(aNew.mStepTime));
}

} // namespace

agent_node::state::state(agent_settings aSettings, metrics_registry& aMetrics)
  : mSettings(std::move(aSettings))
  , mMetrics(aMetrics)
  , mMembers(mSettings.mIdentity)
  , mModel(engine_limits{})
  , mCache(kCacheBlocks)
  , mGrants(mSettings.mIdentity.mIncarnation, mSettings.mGrantLifetime)
  , mFencing(mSettings.mIdentity.mIncarnation)
{
}

auto agent_node::state::Send(peer_id aPeer, peer_message aMessage) -> void
{
  if (mPeers.contains(aPeer)) {
    mActions.emplace_back(send_message{ aPeer, std::move(aMessage) });
  }
}

auto agent_node::state::RunTimers(instant aNow) -> void
{
  if (!mKeys) {
    mKeys.emplace(mSettings.mIdentity.mEndpoint, aNow);
  }
  // A timer that runs late shows that the process was paused.
  if (const auto due = NextTimer(); due && aNow.mMonotonic > *due + kPauseNoticed) {
    mModel.OnProcessResumed(aNow.mMonotonic);
  }
  const auto wasReady = mExchange.IsReady();
  mExchange.OnTimer(aNow);
  if (mExchange.IsReady() != wasReady) {
    UpdateConfigurationReader();
  }
  ExchangeConfiguration(aNow);
  ExpireGrants(aNow);
  RunStreamTimers(aNow);
  mKeys->Expire(aNow.mMonotonic);
}

auto agent_node::state::AfterEvent(instant aNow) -> void
{
  ExchangeConfiguration(aNow);
  RunStreamTimers(aNow);
  Reconcile(aNow);
  Schedule(aNow);
  IssueCredits(aNow);
  if (mLife.State() == agent_state::Draining && mRunning.empty()) {
    mLife.OnIdle();
  }
  SendStatus(aNow);
}

auto agent_node::state::StatusInterval() const -> duration
{
  return std::clamp<duration>(
    kStatusPerPeer * mPeers.size(), kShortestStatusInterval, kLongestStatusInterval);
}

auto agent_node::state::Status(instant aNow) const -> agent_status
{
  auto status = agent_status{};
  status.mState = mLife.State();
  auto lowest = std::uint32_t{ 0 };
  if (mConfig) {
    for (const auto& [name, tier] : mConfig->mTiers) {
      lowest = std::max(lowest, tier.mRank);
    }
  }
  status.mWaitingByRank.resize(lowest + 1);
  for (const auto& load : mQueue.Load()) {
    status.mWaitingByRank[std::min(load.mRank, lowest)] +=
      static_cast<std::uint64_t>(std::max(0.0, load.mCost));
  }
  status.mRunning = mModel.OccupiedSlots();
  status.mFreeSlots = MayGrant() ? mModel.FreeSlots() : 0;
  status.mFreeKvTokens = mModel.FreeKvTokens();
  status.mPrefillTokensPerSecond = mModel.PrefillTokensPerSecond(aNow.mMonotonic);
  status.mStepTime = mModel.StepTime(aNow.mMonotonic);
  return status;
}

auto agent_node::state::SendStatus(instant aNow) -> void
{
  const auto urgent = mLife.State() != mLastState;
  if (!urgent && mLastStatus && aNow.mMonotonic - mStatusSent < StatusInterval()) {
    mStatusDue = true;
    return;
  }
  mStatusDue = false;
  auto status = Status(aNow);
  if (mLastStatus && !IsNoticeable(*mLastStatus, status)) {
    return;
  }
  mLastState = status.mState;
  mStatusSent = aNow.mMonotonic;
  for (const auto& [id, peer] : mPeers) {
    Send(id, status);
  }
  mMetrics.Gauge("bronzering_agent_waiting").Set(static_cast<std::int64_t>(mQueue.size()));
  mMetrics.Gauge("bronzering_agent_running").Set(status.mRunning);
  mLastStatus = std::move(status);
}

auto agent_node::state::NextTimer() const -> std::optional<time_point>
{
  auto next = std::optional<time_point>{};
  const auto consider = [&next](std::optional<time_point> aTime) {
    if (aTime && (!next || *aTime < *next)) {
      next = aTime;
    }
  };
  consider(mQueue.NextDeadline());
  consider(mGrants.NextExpiry());
  consider(mRetryAt);
  consider(mExchange.NextTimer());
  if (mLife.State() == agent_state::Serving) {
    consider(mReconciler.NextTimer());
  }
  if (mStatusDue) {
    consider(mStatusSent + StatusInterval());
  }
  for (const auto id : mRunning) {
    const auto& request = mRequests.find(id)->second;
    consider(request.mCancelAt);
    if (request.mBrokenSince) {
      consider(*request.mBrokenSince + kResumeFor);
      consider(mEndpointUp ? request.mResumeAt : std::nullopt);
    }
    const auto peer = mPeers.find(request.mPeer);
    if (IsModel() && peer != mPeers.end() && peer->second.mSilentSince) {
      consider(*peer->second.mSilentSince + mSettings.mOrphanTimeout);
    }
  }
  return next;
}

auto agent_node::state::OnPeerDown(peer_id aPeer, instant aNow) -> void
{
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  const auto lostSince = found->second.mSilentSince.value_or(aNow.mMonotonic);
  const auto ids =
    std::vector<request_id>(found->second.mRequests.begin(), found->second.mRequests.end());
  mPeers.erase(found);
  mGrants.RevokePeer(aPeer);

  // What was not dispatched goes with the session. Plain calls finish; model streams are cancelled
  // after a while.
  for (const auto id : ids) {
    auto& request = mRequests.find(id)->second;
    if (request.mPhase != work_phase::Running) {
      Drop(id, aNow, "session_lost");
    } else if (request.mEnd) {
      EndAnswer(request, answer_outcome::Cancelled, aNow);
    } else if (IsModel()) {
      request.mCancelAt = lostSince + mSettings.mOrphanTimeout;
    } else {
      request.mDiscarded = true;
      Pump(request);
    }
  }
}

auto agent_node::state::BeginDrain(instant aNow) -> void
{
  const auto phase = mLife.State();
  if (phase == agent_state::Draining || phase == agent_state::Stopped) {
    return;
  }
  mLife.OnDrain();
  mDecisions.Add(aNow, {}, "drain");
  mGrants.RevokeCredits();
  DeclineWaiting(decline_reason::Leaving, aNow);
}

agent_node::agent_node(agent_settings aSettings, metrics_registry& aMetrics)
  : mState(std::make_unique<state>(std::move(aSettings), aMetrics))
{
}

agent_node::~agent_node() = default;

auto agent_node::OnPeerUp(peer_id aPeer, process_identity aIdentity, instant aNow) -> void
{
  mState->RunTimers(aNow);
  auto& peer = mState->mPeers[aPeer];
  mState->mMembers.OnPeerUp(aPeer, aIdentity, {});
  mState->mExchange.OnPeerUp(aPeer, aNow);
  mState->UpdateConfigurationReader();
  peer.mIdentity = std::move(aIdentity);
  mState->Send(aPeer, mState->Status(aNow));
  mState->AfterEvent(aNow);
}

auto agent_node::OnPeerSilent(peer_id aPeer, bool aSilent, instant aNow) -> void
{
  // A session that is heard again is not orphaned, even when its timer is due at the same time.
  const auto peer = mState->mPeers.find(aPeer);
  if (peer != mState->mPeers.end()) {
    mState->mMembers.OnPeerSilent(aPeer, aSilent);
    mState->UpdateConfigurationReader();
    if (!aSilent) {
      peer->second.mSilentSince.reset();
    } else if (!peer->second.mSilentSince) {
      peer->second.mSilentSince = aNow.mMonotonic;
    }
    mState->ParkTickets(aPeer, aSilent, aNow);
  }
  mState->RunTimers(aNow);
  mState->AfterEvent(aNow);
}

auto agent_node::OnPeerDown(peer_id aPeer, instant aNow) -> void
{
  mState->RunTimers(aNow);
  mState->mMembers.OnPeerDown(aPeer);
  mState->mExchange.OnPeerDown(aPeer);
  mState->UpdateConfigurationReader();
  mState->OnPeerDown(aPeer, aNow);
  mState->AfterEvent(aNow);
}

auto agent_node::OnMessage(peer_id aPeer, peer_message aMessage, instant aNow) -> void
{
  auto& self = *mState;
  self.RunTimers(aNow);
  const auto act = overloaded{
    [&](ticket& aTicket) { self.OnTicket(aPeer, std::move(aTicket), aNow); },
    [&](withdraw& aWithdraw) { self.OnWithdraw(aPeer, aWithdraw.mRequest, aNow); },
    [&](dispatch& aDispatch) { self.OnDispatch(aPeer, std::move(aDispatch), aNow); },
    [&](cancel& aCancel) { self.OnCancel(aPeer, aCancel.mRequest, aNow); },
    [&](window& aWindow) {
      self.OnWindow(aPeer, aWindow);
      if (auto* request = self.FindRunning(aPeer, aWindow.mRequest)) {
        self.FinishIfDelivered(*request, aNow);
      }
    },
    [&](lease_grant& aLease) { self.mReconciler.OnLease(aLease, aNow.mMonotonic); },
    [&](config_digest& aDigest) { self.mExchange.OnDigest(aPeer, aDigest, aNow); },
    [&](config_sections& aSections) { self.mExchange.OnSections(aPeer, aSections, aNow); },
    [](auto&) {}, // Messages that only entries receive.
  };
  std::visit(act, aMessage);
  self.AfterEvent(aNow);
}

auto agent_node::OnEngineEvent(engine_event aEvent, instant aNow) -> void
{
  mState->RunTimers(aNow);
  std::visit([&](auto& aKind) { mState->OnEngine(std::move(aKind), aNow); }, aEvent);
  mState->AfterEvent(aNow);
}

auto agent_node::OnVmList(std::vector<vm_entry> aList, instant aNow) -> void
{
  mState->RunTimers(aNow);
  const auto& self = mState->mSettings.mIdentity;
  const auto leaving = std::any_of(aList.begin(), aList.end(), [&](const vm_entry& aEntry) {
    return aEntry.mVm == self.mVm && aEntry.mRole == process_role::Agent &&
           aEntry.mEndpoint == self.mEndpoint && aEntry.mState == vm_state::Leaving;
  });
  mState->mMembers.OnVmList(std::move(aList));
  mState->mExchange.OnPeersListed(mState->mMembers.ListsOtherProcesses(), aNow);
  mState->UpdateConfigurationReader();
  if (leaving) {
    mState->BeginDrain(aNow);
  }
  mState->AfterEvent(aNow);
}

auto agent_node::OnDocument(revision aRevision, std::string_view aDocument, instant aNow) -> void
{
  mState->RunTimers(aNow);
  mState->mExchange.OnDocument(aRevision, aDocument, aNow);
  mState->AfterEvent(aNow);
}

auto agent_node::BeginDrain(instant aNow) -> void
{
  mState->RunTimers(aNow);
  mState->BeginDrain(aNow);
  mState->AfterEvent(aNow);
}

auto agent_node::IsDrained() const -> bool
{
  return mState->mLife.State() == agent_state::Stopped;
}

auto agent_node::IsReady() const -> bool
{
  return mState->mLife.State() == agent_state::Serving && mState->mExchange.IsReady();
}

auto agent_node::OnTimer(instant aNow) -> void
{
  mState->RunTimers(aNow);
  mState->AfterEvent(aNow);
}

auto agent_node::NextTimer() const -> std::optional<time_point>
{
  return mState->NextTimer();
}

auto agent_node::TakeActions() -> std::vector<agent_action>
{
  return std::exchange(mState->mActions, {});
}

auto agent_node::TakeDecisions() -> std::vector<boost::json::object>
{
  return mState->mDecisions.TakeNew();
}

auto agent_node::Dump(instant aNow) const -> boost::json::value
{
  return mState->Dump(aNow);
}

auto agent_node::Configuration() const -> std::shared_ptr<const fleet_config>
{
  return mState->mConfig;
}

} // namespace bronzering
