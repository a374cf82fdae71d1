#include "agent_state.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace bronzering {

namespace {

/// Organisations considered in one decision when the next in line does not fit.
constexpr auto kBackfillScan = std::size_t{ 8 };
/// Estimates older than this are made again before a grant, since the cache has changed.
constexpr auto kEstimateAge = std::chrono::milliseconds(100);
constexpr auto kRetryInterval = std::chrono::milliseconds(50);
/// An entry that used a service within this time receives credits for it. Others would only cost
/// control traffic.
constexpr auto kActiveFor = std::chrono::seconds(10);
constexpr auto kMaxCreditsPerEntry = std::size_t{ 4 };
/// A tier that the configuration in force here does not list ranks below all others.
constexpr auto kUnknownRank = std::numeric_limits<std::uint32_t>::max();
constexpr auto kUnknownTierTarget = std::chrono::seconds(1);
constexpr auto kRetryAfterDown = std::chrono::seconds(1);
constexpr auto kRetryAfterFull = std::chrono::seconds(1);

auto ReasonOf(admission aVerdict) -> decline_reason
{
  return aVerdict == admission::TooLarge ? decline_reason::TooLarge
                                         : decline_reason::DeadlineTooShort;
}

auto ReasonOf(key_state aState) -> std::optional<decline_reason>
{
  switch (aState) {
    case key_state::New:
      return std::nullopt;
    case key_state::NotOwner:
      return decline_reason::NotKeyOwner;
    case key_state::Unknown:
      return decline_reason::KeyUnknown;
    case key_state::InProgress:
      return decline_reason::KeyInProgress;
    case key_state::AlreadyRun:
      return decline_reason::KeyAlreadyRun;
    case key_state::Full:
      return decline_reason::QueueFull;
  }
  return decline_reason::KeyUnknown;
}

} // namespace

namespace {

/// The bound on the time to first token that a tier's own request is admitted under. Engines
/// process prompts in order of arrival, so what a lower tier leaves in the backlog delays the next
/// request of a higher one: a lower tier may use half of the strictest target above it.
auto FirstTokenTarget(const fleet_config& aConfig, const tier_config& aTier) -> duration
{
  auto target = aTier.mFirstTokenTarget;
  for (const auto& [name, higher] : aConfig.mTiers) {
    if (higher.mRank < aTier.mRank) {
      target = std::min(target, higher.mFirstTokenTarget / 2);
    }
  }
  return target;
}

} // namespace

auto agent_node::state::MakeRequest(peer_id aPeer, ticket aTicket, instant aNow) const
  -> agent_request
{
  auto request = agent_request{};
  request.mPeer = aPeer;
  request.mTicket = std::move(aTicket);
  request.mArrived = aNow.mMonotonic;

  // The tier's rank and targets and the organisation's weight are those of the own configuration.
  request.mRank = kUnknownRank;
  request.mEstimate.mFirstTokenTarget = kUnknownTierTarget;
  request.mEstimate.mInterTokenTarget = kUnknownTierTarget;
  if (mConfig) {
    const auto tier = mConfig->mTiers.find(request.mTicket.mTier);
    if (tier != mConfig->mTiers.end()) {
      request.mRank = tier->second.mRank;
      request.mEstimate.mFirstTokenTarget = FirstTokenTarget(*mConfig, tier->second);
      request.mEstimate.mInterTokenTarget = tier->second.mInterTokenTarget;
    }
    const auto organisation = mConfig->mOrganisations.find(request.mTicket.mOrganisation);
    if (organisation != mConfig->mOrganisations.end() && organisation->second.mWeight > 0) {
      request.mWeight = organisation->second.mWeight;
    }
  }
  request.mEstimate.mPromptTokens = request.mTicket.mPromptTokens;
  request.mEstimate.mOutputTokens = request.mTicket.mOutputTokens;
  request.mEstimate.mDeadline = aNow.mMonotonic + request.mTicket.mTimeLeft;
  Estimate(request, aNow);
  return request;
}

auto agent_node::state::Estimate(agent_request& aRequest, instant aNow) const -> void
{
  aRequest.mEstimate.mCachedTokens =
    mCache.CachedTokens(aRequest.mTicket.mPrefix, aRequest.mTicket.mPromptTokens);
  aRequest.mEstimated = aNow.mMonotonic;
}

auto agent_node::state::CostOf(const agent_request& aRequest) const -> double
{
  if (!IsModel()) {
    return 1;
  }
  const auto& work = aRequest.mEstimate;
  return static_cast<double>(work.mPromptTokens - work.mCachedTokens + work.mOutputTokens);
}

auto agent_node::state::RefusalOfKey(const ticket& aTicket, key_verdict aVerdict) const
  -> std::optional<decline>
{
  const auto reason = ReasonOf(aVerdict.mState);
  if (!reason) {
    return std::nullopt;
  }
  return decline{ aTicket.mRequest, *reason, {}, aVerdict.mStatus };
}

auto agent_node::state::RefusalOf(const agent_request& aRequest, instant aNow) const
  -> std::optional<decline>
{
  const auto& ticket = aRequest.mTicket;
  const auto phase = mLife.State();
  if (phase == agent_state::Draining || phase == agent_state::Stopped) {
    return decline{ ticket.mRequest, decline_reason::Leaving, {}, 0 };
  }
  if (phase != agent_state::Serving) {
    return decline{ ticket.mRequest, decline_reason::EndpointDown, kRetryAfterDown, 0 };
  }
  if (!Serves(ticket.mService)) {
    return decline{ ticket.mRequest, decline_reason::UnknownService, {}, 0 };
  }
  const auto verdict = mModel.CheckAdmission(aRequest.mEstimate, aNow.mMonotonic);
  if (verdict == admission::TooLarge || verdict == admission::DeadlineTooShort) {
    return decline{ ticket.mRequest, ReasonOf(verdict), {}, 0 };
  }
  return std::nullopt;
}

auto agent_node::state::OnTicket(peer_id aPeer, ticket aTicket, instant aNow) -> void
{
  const auto peer = mPeers.find(aPeer);
  const auto id = aTicket.mRequest;
  // A repeated announcement changes nothing. An id that was dispatched must not be declined either,
  // since that would claim that it did not run.
  if (peer == mPeers.end() || mRequests.contains(id) || mDispatched.Contains(id)) {
    return;
  }
  // Refuse what cannot run here.
  auto request = MakeRequest(aPeer, std::move(aTicket), aNow);
  auto refusal = RefusalOf(request, aNow);
  if (!refusal && request.mTicket.mKey) {
    const auto& ticket = request.mTicket;
    refusal =
      RefusalOfKey(ticket, mKeys->Check(ticket.mService, *ticket.mKey, ticket.mKeyCreated, aNow));
  }
  if (refusal) {
    Decline(aPeer, *refusal, aNow);
    return;
  }

  // A full queue gives up its newest ticket of the lowest tier, or refuses the new one.
  if (mQueue.size() >= mSettings.mMaxTickets) {
    const auto* last = mQueue.Last();
    if (last == nullptr || last->mRank <= request.mRank) {
      Decline(aPeer, { id, decline_reason::QueueFull, kRetryAfterFull, 0 }, aNow);
      return;
    }
    const auto evicted = last->mRequest;
    const auto evictedPeer = mRequests.find(evicted)->second.mPeer;
    Drop(evicted, aNow, "evicted");
    Decline(evictedPeer, { evicted, decline_reason::QueueFull, kRetryAfterFull, 0 }, aNow);
  }

  mTypical[request.mTicket.mService] = request.mEstimate;
  peer->second.mActive[request.mTicket.mService] = aNow.mMonotonic;
  mQueue.Push({ id,
                request.mRank,
                request.mTicket.mOrganisation,
                request.mWeight,
                CostOf(request),
                request.mEstimate.mDeadline });
  peer->second.mRequests.insert(id);
  mRequests.emplace(id, std::move(request));
}

auto agent_node::state::Requeue(agent_request& aRequest, instant aNow) -> void
{
  const auto id = aRequest.mTicket.mRequest;
  auto renewed = MakeRequest(aRequest.mPeer, aRequest.mTicket, aNow);
  renewed.mArrived = aRequest.mArrived;
  renewed.mEstimate.mDeadline = aRequest.mEstimate.mDeadline;
  renewed.mBypassed = aRequest.mBypassed;
  aRequest = std::move(renewed);
  mQueue.Cancel(id);
  mQueue.Push({ id,
                aRequest.mRank,
                aRequest.mTicket.mOrganisation,
                aRequest.mWeight,
                CostOf(aRequest),
                aRequest.mEstimate.mDeadline });
}

auto agent_node::state::ParkTickets(peer_id aPeer, bool aSilent, instant aNow) -> void
{
  const auto from = aSilent ? work_phase::Waiting : work_phase::Parked;
  auto moved = std::vector<agent_request*>{};
  for (const auto id : mPeers.find(aPeer)->second.mRequests) {
    auto& request = mRequests.find(id)->second;
    if (request.mPhase == from) {
      moved.push_back(&request);
    }
  }
  std::stable_sort(moved.begin(), moved.end(), [](const auto* aLeft, const auto* aRight) {
    return aLeft->mArrived < aRight->mArrived;
  });
  for (auto* request : moved) {
    if (aSilent) {
      mQueue.Cancel(request->mTicket.mRequest);
      request->mPhase = work_phase::Parked;
    } else {
      Requeue(*request, aNow);
    }
  }
}

auto agent_node::state::OnWithdraw(peer_id aPeer, request_id aRequest, instant aNow) -> void
{
  const auto found = mRequests.find(aRequest);
  if (found != mRequests.end() && found->second.mPeer == aPeer &&
      found->second.mPhase != work_phase::Running) {
    Drop(aRequest, aNow, "withdrawn");
  }
}

auto agent_node::state::Drop(request_id aRequest, instant aNow, std::string_view aWhy) -> void
{
  auto& request = mRequests.find(aRequest)->second;
  assert(request.mPhase != work_phase::Running);
  if (request.mPhase == work_phase::Waiting) {
    mQueue.Cancel(aRequest);
  } else if (request.mPhase == work_phase::Granted) {
    mGrants.Revoke(aRequest);
    mModel.Release(aRequest);
    SettleCost(request, 0);
  }
  mDecisions.Add(aNow, aRequest, aWhy);
  Forget(aRequest);
}

auto agent_node::state::Forget(request_id aRequest) -> void
{
  const auto found = mRequests.find(aRequest);
  const auto peer = mPeers.find(found->second.mPeer);
  if (peer != mPeers.end()) {
    peer->second.mRequests.erase(aRequest);
  }
  mRunning.erase(aRequest);
  mRequests.erase(found);
}

auto agent_node::state::Decline(peer_id aPeer, decline aDecline, instant aNow) -> void
{
  const auto reason = kDeclineReasonNames.NameOf(aDecline.mReason);
  mDecisions.Add(aNow, aDecline.mRequest, "decline", reason);
  mMetrics.Counter("bronzering_agent_declines_total", "reason=\"" + std::string(reason) + "\"")
    .Add();
  Send(aPeer, aDecline);
}

auto agent_node::state::DeclineWaiting(decline_reason aReason, instant aNow) -> void
{
  auto ids = std::vector<request_id>{};
  for (const auto& [id, request] : mRequests) {
    if (request.mPhase != work_phase::Running) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  const auto retryAfter =
    aReason == decline_reason::EndpointDown ? duration(kRetryAfterDown) : duration::zero();
  for (const auto id : ids) {
    const auto peer = mRequests.find(id)->second.mPeer;
    Drop(id, aNow, "revoked");
    Decline(peer, { id, aReason, retryAfter, 0 }, aNow);
  }
}

auto agent_node::state::MayGrant() const -> bool
{
  return mLife.State() == agent_state::Serving && !mReconciler.HoldsWork();
}

auto agent_node::state::Schedule(instant aNow) -> void
{
  // Entries hear about tickets that expired here.
  for (const auto& expired : mQueue.Expire(aNow.mMonotonic)) {
    const auto peer = mRequests.find(expired.mRequest)->second.mPeer;
    Forget(expired.mRequest);
    Decline(peer, { expired.mRequest, decline_reason::DeadlineTooShort, {}, 0 }, aNow);
  }

  while (MayGrant() && mModel.FreeSlots() > 0 && ScheduleOne(aNow)) {
  }
  mRetryAt.reset();
  if (!mQueue.empty() && MayGrant() && mModel.FreeSlots() > 0) {
    mRetryAt = aNow.mMonotonic + kRetryInterval;
  }
}

// Grants or declines one ticket of the highest waiting tier; false when none fits now. If the next
// in line does not fit, a ticket of another organisation of the same tier may go first, so that
// short requests do not wait for long ones, but only until others have received as much as the
// bypassed request costs itself.
auto agent_node::state::ScheduleOne(instant aNow) -> bool
{
  const auto candidates = mQueue.Next(kBackfillScan);
  auto* nextInLine = static_cast<agent_request*>(nullptr);
  for (const auto* candidate : candidates) {
    auto& request = mRequests.find(candidate->mRequest)->second;
    if (aNow.mMonotonic - request.mEstimated > kEstimateAge) {
      Estimate(request, aNow);
    }
    const auto verdict = mModel.CheckAdmission(request.mEstimate, aNow.mMonotonic);
    if (verdict == admission::Admit) {
      IssueGrant(request, aNow);
      if (nextInLine != nullptr) {
        nextInLine->mBypassed += request.mCharged;
      }
      return true;
    }
    if (verdict != admission::Wait) {
      const auto id = request.mTicket.mRequest;
      const auto peer = request.mPeer;
      Drop(id, aNow, "dropped");
      Decline(peer, { id, ReasonOf(verdict), {}, 0 }, aNow);
      return true;
    }
    if (nextInLine == nullptr) {
      nextInLine = &request;
      if (request.mBypassed >= CostOf(request)) {
        return false;
      }
    }
  }
  return false;
}

auto agent_node::state::IssueGrant(agent_request& aRequest, instant aNow) -> void
{
  // Charge what the cache holds now, which may differ from the estimate on arrival.
  const auto id = aRequest.mTicket.mRequest;
  const auto taken = mQueue.Take(id);
  assert(taken);
  aRequest.mCharged = taken->mCost;
  SettleCost(aRequest, CostOf(aRequest));

  aRequest.mPhase = work_phase::Granted;
  mModel.Reserve(id, aRequest.mEstimate);
  const auto grantId = mGrants.IssueGrant(aRequest.mPeer, id, aNow.mMonotonic);
  Send(aRequest.mPeer,
       grant{ id, grantId, mSettings.mGrantLifetime, aRequest.mEstimate.mCachedTokens });
  mDecisions.Add(aNow, id, "grant", aRequest.mTicket.mTier);
  mMetrics.Counter("bronzering_agent_grants_total").Add();
  mMetrics.Histogram("bronzering_agent_wait_seconds", "tier=\"" + aRequest.mTicket.mTier + "\"")
    .Observe(ToSeconds(aNow.mMonotonic - aRequest.mArrived));
}

auto agent_node::state::ExpireGrants(instant aNow) -> void
{
  for (const auto id : mGrants.Expire(aNow.mMonotonic)) {
    const auto peer = mRequests.find(id)->second.mPeer;
    Drop(id, aNow, "expired");
    Decline(peer, { id, decline_reason::GrantExpired, {}, 0 }, aNow);
  }
}

auto agent_node::state::IssueCredits(instant aNow) -> void
{
  if (!MayGrant() || !mQueue.empty() || mModel.FreeSlots() == 0) {
    return;
  }

  // Who may use credits.
  auto active = std::vector<std::pair<peer_id, std::string>>{};
  for (auto& [id, peer] : mPeers) {
    std::erase_if(peer.mActive,
                  [&](const auto& aEntry) { return aNow.mMonotonic - aEntry.second > kActiveFor; });
    for (const auto& [service, lastUse] : peer.mActive) {
      if (!peer.mSilentSince && Serves(service)) {
        active.emplace_back(id, service);
      }
    }
  }
  if (active.empty()) {
    return;
  }

  // Credits reserve nothing: a dispatch on one is checked again. Half of the free slots, shared by
  // all, keeps most of them valid.
  const auto share = mModel.FreeSlots() / (2 * active.size());
  const auto wanted = std::clamp<std::size_t>(share, 1, kMaxCreditsPerEntry);
  for (const auto& [peer, service] : active) {
    const auto held = mGrants.Credits(peer, service);
    if (2 * held > wanted) {
      continue;
    }
    auto typical = work_estimate{};
    const auto known = mTypical.find(service);
    if (known != mTypical.end()) {
      typical = known->second;
    }
    typical.mDeadline = time_point::max();
    if (mModel.CheckAdmission(typical, aNow.mMonotonic) == admission::Admit) {
      auto ids = mGrants.IssueCredits(peer, service, wanted - held, aNow.mMonotonic);
      Send(peer, credit{ service, std::move(ids), mSettings.mGrantLifetime });
    }
  }
}

auto agent_node::state::RefuseCredit(const agent_request& aRequest, instant aNow) const
  -> std::optional<decline_reason>
{
  const auto highest = mQueue.HighestRank();
  if ((highest && *highest <= aRequest.mRank) || mReconciler.HoldsWork()) {
    return decline_reason::Outranked;
  }
  switch (mModel.CheckAdmission(aRequest.mEstimate, aNow.mMonotonic)) {
    case admission::Admit:
      return std::nullopt;
    case admission::Wait:
      return decline_reason::Outranked;
    case admission::TooLarge:
      return decline_reason::TooLarge;
    case admission::DeadlineTooShort:
      return decline_reason::DeadlineTooShort;
  }
  return decline_reason::Outranked;
}

auto agent_node::state::OnDispatch(peer_id aPeer, dispatch aDispatch, instant aNow) -> void
{
  const auto id = aDispatch.mTicket.mRequest;
  const auto peer = mPeers.find(aPeer);
  if (peer == mPeers.end()) {
    return;
  }
  // An id that was dispatched before runs or ran, so a decline would not be true.
  if (mDispatched.Contains(id)) {
    mDecisions.Add(aNow, id, "repeated_dispatch");
    return;
  }

  // Use up the grant or credit. A request that waits or is granted under its ticket while it is
  // dispatched on a credit gives up the ticket.
  const auto kind =
    mGrants.Redeem(aDispatch.mGrant, aPeer, id, aDispatch.mTicket.mService, aNow.mMonotonic);
  const auto known = mRequests.find(id);
  auto request = std::optional<agent_request>{};
  if (kind == grant_table::redemption::Grant) {
    request = known->second;
  } else {
    if (known != mRequests.end()) {
      if (known->second.mPeer != aPeer) {
        mDecisions.Add(aNow, id, "foreign_dispatch");
        return;
      }
      Drop(id, aNow, "superseded");
    }
    request = MakeRequest(aPeer, std::move(aDispatch.mTicket), aNow);
  }

  // Decide whether it may run.
  auto refusal = RefusalOf(*request, aNow);
  if (!refusal && kind == grant_table::redemption::Invalid) {
    refusal = decline{ id, decline_reason::GrantExpired, {}, 0 };
  }
  if (!refusal && kind == grant_table::redemption::Credit) {
    if (const auto reason = RefuseCredit(*request, aNow)) {
      refusal = decline{ id, *reason, {}, 0 };
    }
  }
  const auto& ticket = request->mTicket;
  if (!refusal && ticket.mKey) {
    refusal =
      RefusalOfKey(ticket, mKeys->Claim(ticket.mService, *ticket.mKey, ticket.mKeyCreated, aNow));
  }
  if (refusal) {
    if (mRequests.contains(id)) {
      Drop(id, aNow, "refused");
    }
    Decline(aPeer, *refusal, aNow);
    return;
  }

  // Send it to the endpoint.
  peer->second.mActive[ticket.mService] = aNow.mMonotonic;
  if (kind == grant_table::redemption::Credit) {
    mTypical[ticket.mService] = request->mEstimate;
    SettleCost(*request, CostOf(*request));
  }
  request->mPhase = work_phase::Running;
  mModel.Start(id, request->mEstimate, aNow.mMonotonic);
  mDispatched.Add(id);
  mRunning.insert(id);
  peer->second.mRequests.insert(id);
  mRequests.insert_or_assign(id, std::move(*request));
  mDecisions.Add(aNow, id, "submit", kind == grant_table::redemption::Credit ? "credit" : "grant");
  mMetrics.Counter("bronzering_agent_dispatches_total").Add();
  mActions.emplace_back(submit_to_engine{ id,
                                          std::move(aDispatch.mMethod),
                                          std::move(aDispatch.mTarget),
                                          std::move(aDispatch.mHeaders),
                                          std::move(aDispatch.mBody) });
}

} // namespace bronzering
