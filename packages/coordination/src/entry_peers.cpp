#include "entry_state.h"

#include <bronzering/base/metrics.h>
#include <bronzering/base/overloaded.h>
#include <bronzering/coordination/subset_choice.h>

#include <algorithm>

namespace bronzering {

namespace {

/// The reach beyond the usual subset of agents shrinks again after this time without need.
constexpr auto kReachDecay = std::chrono::seconds(10);
/// Stands for this entry itself among the holders and owners of leases.
constexpr auto kSelf = peer_id{ 0 };

} // namespace

auto entry_node::state::OnPeerUp(peer_id aPeer,
                                 process_identity aIdentity,
                                 std::string aListed,
                                 instant aNow) -> void
{
  const auto identity = aIdentity;
  mMembers.OnPeerUp(aPeer, std::move(aIdentity), std::move(aListed));
  mExchange.OnPeerUp(aPeer, aNow);
  if (identity.mRole == process_role::Agent) {
    mAgents.OnPeerUp(aPeer, identity);
    StepWaiting(identity.mEndpoint, aNow);
  } else {
    UpdateOwners(aNow);
  }
  UpdateConfigurationReader();
}

auto entry_node::state::OnPeerSilent(peer_id aPeer, bool aSilent, instant aNow) -> void
{
  const auto* session = mMembers.Find(aPeer);
  if (session == nullptr) {
    return;
  }
  mMembers.OnPeerSilent(aPeer, aSilent);
  if (session->mIdentity.mRole == process_role::Agent) {
    StepWaiting(session->mIdentity.mEndpoint, aNow);
  } else {
    UpdateOwners(aNow);
  }
  UpdateConfigurationReader();
}

auto entry_node::state::OnPeerDown(peer_id aPeer, instant aNow) -> void
{
  const auto* session = mMembers.Find(aPeer);
  if (session == nullptr) {
    return;
  }
  const auto identity = session->mIdentity;
  mMembers.OnPeerDown(aPeer);
  mExchange.OnPeerDown(aPeer);
  mAgents.OnPeerDown(aPeer);
  mOwner.OnPeerDown(aPeer);

  // Lease requests of the lost agent.
  for (auto forwarded = mForwarded.begin(); forwarded != mForwarded.end();) {
    if (forwarded->second.mAgent == aPeer) {
      mLeases.Cancel(forwarded->first);
      forwarded = mForwarded.erase(forwarded);
    } else {
      ++forwarded;
    }
  }

  // Requests dispatched there have an unknown outcome; tickets announced there are void.
  auto dispatched = std::vector<request_id>{};
  for (auto& [id, request] : mRequests) {
    std::erase_if(request->mAnnounced, [&](const auto& aKnown) { return aKnown.mPeer == aPeer; });
    if (FindDispatched(aPeer, id) != nullptr) {
      dispatched.push_back(id);
    }
  }
  for (const auto id : dispatched) {
    Fail(*FindRequest(id), refusal::OutcomeUnknown, false, aNow);
  }

  if (identity.mRole == process_role::Agent) {
    StepWaiting(identity.mEndpoint, aNow);
  } else {
    UpdateOwners(aNow);
  }
  UpdateConfigurationReader();
}

auto entry_node::state::OnMessage(peer_id aPeer, peer_message aMessage, instant aNow) -> void
{
  if (mMembers.Find(aPeer) == nullptr) {
    return;
  }
  std::visit(
    overloaded{
      [&](const grant& aGrant) { OnGrant(aPeer, aGrant, aNow); },
      [&](const credit& aCredit) { mAgents.OnCredit(aPeer, aCredit, aNow); },
      [&](const decline& aDecline) { OnDecline(aPeer, aDecline, aNow); },
      [&](answer_head& aHead) { OnHead(aPeer, std::move(aHead), aNow); },
      [&](answer_data& aData) { OnData(aPeer, std::move(aData), aNow); },
      [&](const answer_end& aEnd) { OnEnd(aPeer, aEnd, aNow); },
      [&](const agent_status& aStatus) { OnAgentStatus(aPeer, aStatus, aNow); },
      [&](const lease_request& aRequest) { OnLeaseRequest(aPeer, aRequest, aNow); },
      [&](const lease_grant& aGrant) { mLeases.OnGrant(aPeer, aGrant, aNow); },
      [&](const lease_return& aReturn) {
        if (mOwner.Owns(aReturn.mBudget)) {
          mOwner.Return(aReturn, aNow);
        } else if (mMembers.Find(aPeer)->mIdentity.mRole == process_role::Agent) {
          // Passed on to the owner, as the request for it was.
          mLeases.Refund({ { aReturn.mBudget, aReturn.mAmount, aNow.mMonotonic } }, aNow);
        }
      },
      [&](const config_digest& aDigest) { mExchange.OnDigest(aPeer, aDigest, aNow); },
      [&](const config_sections& aSections) { mExchange.OnSections(aPeer, aSections, aNow); },
      // Messages that only agents receive.
      [&](const ticket&) { CountViolation(); },
      [&](const withdraw&) { CountViolation(); },
      [&](const dispatch&) { CountViolation(); },
      [&](const cancel&) { CountViolation(); },
      [&](const window&) { CountViolation(); } },
    aMessage);
}

auto entry_node::state::OnAgentStatus(peer_id aPeer, const agent_status& aStatus, instant aNow)
  -> void
{
  const auto accepted = mAgents.Accepts(aPeer, mMembers);
  mAgents.OnStatus(aPeer, aStatus);
  if (mAgents.Accepts(aPeer, mMembers) != accepted) {
    StepWaiting(mAgents.EndpointOf(aPeer), aNow);
  }
}

auto entry_node::state::OnLeaseRequest(peer_id aPeer, const lease_request& aRequest, instant aNow)
  -> void
{
  const auto* session = mMembers.Find(aPeer);
  const auto isAgent = session->mIdentity.mRole == process_role::Agent;
  if (!isAgent || mOwner.Owns(aRequest.mBudget)) {
    mOwner.Request(aPeer, aRequest, aNow);
    return;
  }
  // An agent may have no link to the owner; this entry asks on its behalf.
  const auto id = request_id{ 0, ++mLastForwarded };
  mForwarded.emplace(id, forwarded_lease{ aPeer, aRequest });
  auto needs = std::vector<spending>{ { aRequest.mBudget, aRequest.mAmount, {} } };
  if (auto spent = mLeases.Spend(id, 0, std::move(needs), aNow)) {
    OnLimitsResolved({ id, true, *std::move(spent), {} }, aNow);
  }
}

auto entry_node::state::OnVmList(std::vector<vm_entry> aList, instant aNow) -> void
{
  mMembers.OnVmList(std::move(aList));
  mExchange.OnPeersListed(mMembers.ListsOtherProcesses(), aNow);
  UpdateOwners(aNow);
  UpdateLinks();
  UpdateConfigurationReader();
  StepWaiting({}, aNow);
}

auto entry_node::state::AdoptConfiguration(instant aNow) -> void
{
  const auto config = mExchange.Current();
  if (config == nullptr) {
    return;
  }
  mDirectory = caller_directory(config);
  mOwner.Configure(*config, aNow);
  mLeases.Configure(*config);
  UpdateOwners(aNow);
  UpdateLinks();
  StepWaiting({}, aNow);
}

auto entry_node::state::UpdateOwners(instant aNow) -> void
{
  const auto* config = mDirectory.Config();
  if (config == nullptr) {
    return;
  }
  const auto reachable = mMembers.ReachableEntries();
  const auto listed = std::max(mMembers.ListedEntryCount(), reachable.size());
  mOwner.SetShare(static_cast<double>(reachable.size()) / static_cast<double>(listed), aNow);
  for (const auto& [name, limit] : config->mLimits) {
    const auto owner = RendezvousOwner(name, reachable);
    const auto isSelf = owner == mSettings.mIdentity.mVm;
    mOwner.SetOwned(name, isSelf, aNow);
    mLeases.SetOwner(name, isSelf ? std::optional(kSelf) : mMembers.SessionToEntry(owner), aNow);
  }
}

auto entry_node::state::UpdateLinks() -> void
{
  // A link with a request under way stays until the answer is complete.
  auto busy = std::set<peer_id>{};
  for (const auto& [id, request] : mRequests) {
    if (!request->mLifecycle.ProvablyNotRun()) {
      busy.insert(request->mAgent);
    }
  }
  auto inUse = std::set<std::string>{};
  for (const auto& [peer, session] : mMembers.Sessions()) {
    if (busy.contains(peer)) {
      inUse.insert(session.mListed);
    }
  }
  auto changes =
    mMembers.UpdateLinks(mDirectory.Config(), mReach, [&](const std::string& aAddress) {
      return inUse.contains(aAddress);
    });
  for (auto& address : changes.mOpen) {
    mActions.emplace_back(connect_peer{ std::move(address) });
  }
  for (auto& address : changes.mClose) {
    mActions.emplace_back(disconnect_peer{ std::move(address) });
  }
}

auto entry_node::state::UpdateConfigurationReader() -> void
{
  if (!mMembers.ListReceived() && !mExchange.IsReady()) {
    return;
  }
  const auto isReader = mMembers.IsConfigurationReader();
  if (mWatching != isReader) {
    mWatching = isReader;
    mActions.emplace_back(watch_configuration{ isReader });
  }
}

auto entry_node::state::OnTimer(instant aNow) -> void
{
  mExchange.OnTimer(aNow);
  mOwner.OnTimer(aNow);
  mLeases.OnTimer(aNow);
  UpdateConfigurationReader();

  // Each step sets a later timer or closes the request, except that a step may be due at once.
  while (!mTimers.empty() && mTimers.begin()->first <= aNow.mMonotonic) {
    auto& request = *FindRequest(mTimers.begin()->second);
    mTimers.erase(mTimers.begin());
    request.mTimerAt.reset();
    if (aNow.mMonotonic >= request.mDeadline) {
      Expire(request, aNow);
      continue;
    }
    request.mStepAt.reset();
    SetTimer(request);
    const auto isRetry = request.mLifecycle.State() == request_state::BackingOff;
    if (isRetry && !request.mLifecycle.Process(request_event::RetryDue)) {
      continue;
    }
    if (request.mLifecycle.State() == request_state::Waiting) {
      Announce(request, !isRetry, aNow);
    }
  }

  if (!mReach.empty() && aNow.mMonotonic >= mReachChanged + kReachDecay) {
    mReachChanged = aNow.mMonotonic;
    for (auto& [service, reach] : mReach) {
      reach /= 2;
    }
    std::erase_if(mReach, [](const auto& aItem) { return aItem.second <= 1; });
    UpdateLinks();
  }
}

auto entry_node::state::NextTimer() const -> std::optional<time_point>
{
  auto next = std::optional<time_point>{};
  const auto include = [&](std::optional<time_point> aTime) {
    if (aTime) {
      next = next ? std::min(*next, *aTime) : *aTime;
    }
  };
  include(mExchange.NextTimer());
  include(mOwner.NextTimer());
  include(mLeases.NextTimer());
  if (!mTimers.empty()) {
    include(mTimers.begin()->first);
  }
  if (!mReach.empty()) {
    include(mReachChanged + kReachDecay);
  }
  return next;
}

auto entry_node::state::Settle(instant aNow) -> void
{
  for (auto isQuiet = false; !isQuiet;) {
    isQuiet = true;
    for (auto& [peer, message] : mExchange.TakeMessages()) {
      Send(peer, std::move(message));
    }
    if (mExchange.TakeChanged()) {
      AdoptConfiguration(aNow);
      isQuiet = false;
    }
    for (auto& [peer, message] : mLeases.TakeMessages()) {
      isQuiet = false;
      if (peer != kSelf) {
        Send(peer, std::move(message));
      } else if (const auto* request = std::get_if<lease_request>(&message)) {
        mOwner.Request(kSelf, *request, aNow);
      } else if (const auto* unused = std::get_if<lease_return>(&message)) {
        mOwner.Return(*unused, aNow);
      }
    }
    for (auto& [peer, message] : mOwner.TakeGrants()) {
      isQuiet = false;
      if (peer == kSelf) {
        mLeases.OnGrant(kSelf, message, aNow);
      } else {
        Send(peer, std::move(message));
      }
    }
    for (auto& resolution : mLeases.TakeResolutions()) {
      isQuiet = false;
      OnLimitsResolved(std::move(resolution), aNow);
    }
    if (mDraining && mRequests.empty()) {
      mLeases.ReturnAll(aNow);
    }
  }
  mMetrics.Gauge("bronzering_entry_waiting").Set(static_cast<std::int64_t>(mWaiting.Count()));
  mMetrics.Gauge("bronzering_entry_requests").Set(static_cast<std::int64_t>(mRequests.size()));
}

} // namespace bronzering
