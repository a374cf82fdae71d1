#include "agent_state.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace bronzering {

namespace {

/// Number of candidates for the next grant that are examined, one per organisation. Backfill: if
/// the first does not fit, one of the others may be granted before it.
constexpr auto kMaxBackfillCandidates = std::size_t{ 8 };
/// Estimates older than this are recomputed before a grant, since the cache may have changed.
constexpr auto kMaxEstimateAge = std::chrono::milliseconds(100);
/// Time until the next scheduling attempt while tickets wait although there are free slots.
constexpr auto kRetryInterval = std::chrono::milliseconds(50);
/// An entry that used a service within this time receives credits for it. Credits for other entries
/// would cost control traffic without being used.
constexpr auto kActiveEntryTimeout = std::chrono::seconds(10);
/// Limit of the unused credits that one entry holds for one service.
constexpr auto kMaxCreditsPerEntryAndService = std::size_t{ 4 };
/// Rank of a tier that the agent's current configuration does not list. A lower number is served
/// first, so such a tier comes after all others.
constexpr auto kUnknownTierRank = std::numeric_limits<std::uint32_t>::max();
/// Target of such a tier for the time to the first token and for the time between tokens.
constexpr auto kUnknownTierTarget = std::chrono::seconds(1);
/// Minimum time before the entry retries a request that was declined because the endpoint is down.
constexpr auto kRetryAfterDown = std::chrono::seconds(1);
/// Minimum time before the entry retries a request that was declined because the queue is full.
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

/// The time to first token under which a request of the tier is admitted. Engines process prompts
/// in order of arrival, so the prefill backlog of a lower tier delays the next request of a higher
/// one. A lower tier is therefore limited to half of the strictest target of the tiers above it.
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

  // Rank, targets and weight come from the agent's own configuration, not from the ticket.
  request.mRank = kUnknownTierRank;
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

auto agent_node::state::KeyDeclineFor(const ticket& aTicket, key_verdict aVerdict) const
  -> std::optional<decline>
{
  const auto reason = ReasonOf(aVerdict.mState);
  if (!reason) {
    return std::nullopt;
  }
  return decline{ aTicket.mRequest, *reason, {}, aVerdict.mStatus };
}

auto agent_node::state::DeclineFor(const agent_request& aRequest, instant aNow) const
  -> std::optional<decline>
{
  const auto& ticket = aRequest.mTicket;
  const auto phase = mEndpointLifecycle.State();
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
  // Ignore a repeated ticket. An id that was dispatched must not be declined either: a decline
  // states that the request did not run.
  if (peer == mPeers.end() || mRequests.contains(id) || mDispatched.Contains(id)) {
    return;
  }
  // Decline requests that cannot run here.
  auto request = MakeRequest(aPeer, std::move(aTicket), aNow);
  auto declineMessage = DeclineFor(request, aNow);
  if (!declineMessage && request.mTicket.mKey) {
    const auto& ticket = request.mTicket;
    declineMessage =
      KeyDeclineFor(ticket, mKeys->Check(ticket.mService, *ticket.mKey, ticket.mKeyCreated, aNow));
  }
  if (declineMessage) {
    Decline(aPeer, *declineMessage, aNow);
    return;
  }

  // If the queue is full, evict its newest ticket of the lowest tier. If the tier of the new ticket
  // is not higher than that, decline the new ticket instead.
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

  mLatestEstimates[request.mTicket.mService] = request.mEstimate;
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

auto agent_node::state::SuspendTickets(peer_id aPeer, bool aSilent, instant aNow) -> void
{
  const auto from = aSilent ? request_phase::Waiting : request_phase::Suspended;
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
      request->mPhase = request_phase::Suspended;
    } else {
      Requeue(*request, aNow);
    }
  }
}

auto agent_node::state::OnWithdraw(peer_id aPeer, request_id aRequest, instant aNow) -> void
{
  const auto found = mRequests.find(aRequest);
  if (found != mRequests.end() && found->second.mPeer == aPeer &&
      found->second.mPhase != request_phase::Running) {
    Drop(aRequest, aNow, "withdrawn");
  }
}

auto agent_node::state::Drop(request_id aRequest, instant aNow, std::string_view aWhy) -> void
{
  auto& request = mRequests.find(aRequest)->second;
  assert(request.mPhase != request_phase::Running);
  if (request.mPhase == request_phase::Waiting) {
    mQueue.Cancel(aRequest);
  } else if (request.mPhase == request_phase::Granted) {
    mGrants.Revoke(aRequest);
    mModel.Release(aRequest);
    AdjustCharge(request, 0);
  }
  mDecisions.Add(aNow, aRequest, aWhy);
  RemoveRequest(aRequest);
}

auto agent_node::state::RemoveRequest(request_id aRequest) -> void
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
    if (request.mPhase != request_phase::Running) {
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
  return mEndpointLifecycle.State() == agent_state::Serving && !mReconciler.BlocksNewWork();
}

auto agent_node::state::Schedule(instant aNow) -> void
{
  // Notify the entries of expired tickets.
  for (const auto& expired : mQueue.Expire(aNow.mMonotonic)) {
    const auto peer = mRequests.find(expired.mRequest)->second.mPeer;
    RemoveRequest(expired.mRequest);
    Decline(peer, { expired.mRequest, decline_reason::DeadlineTooShort, {}, 0 }, aNow);
  }

  while (MayGrant() && mModel.FreeSlots() > 0 && ScheduleOne(aNow)) {
  }
  mRetryAt.reset();
  if (!mQueue.empty() && MayGrant() && mModel.FreeSlots() > 0) {
    mRetryAt = aNow.mMonotonic + kRetryInterval;
  }
}

// Grants or declines one ticket of the highest waiting tier. Returns false if none fits now. If the
// first ticket does not fit, one of another organisation in the same tier may be granted before it,
// so that long requests do not block short ones. To prevent starvation of the long request, this
// stops once the cost granted to others has reached the cost of the bypassed request.
auto agent_node::state::ScheduleOne(instant aNow) -> bool
{
  const auto candidates = mQueue.Next(kMaxBackfillCandidates);
  auto* nextInLine = static_cast<agent_request*>(nullptr);
  for (const auto* candidate : candidates) {
    auto& request = mRequests.find(candidate->mRequest)->second;
    if (aNow.mMonotonic - request.mEstimated > kMaxEstimateAge) {
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
  // Charge the cost with the current cache content, which may differ from the estimate on arrival.
  const auto id = aRequest.mTicket.mRequest;
  const auto taken = mQueue.Take(id);
  assert(taken);
  aRequest.mCharged = taken->mCost;
  AdjustCharge(aRequest, CostOf(aRequest));

  aRequest.mPhase = request_phase::Granted;
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

  // Collect the pairs of entry and service that may use credits.
  auto active = std::vector<std::pair<peer_id, std::string>>{};
  for (auto& [id, peer] : mPeers) {
    std::erase_if(peer.mActive, [&](const auto& aEntry) {
      return aNow.mMonotonic - aEntry.second > kActiveEntryTimeout;
    });
    for (const auto& [service, lastUse] : peer.mActive) {
      if (!peer.mSilentSince && Serves(service)) {
        active.emplace_back(id, service);
      }
    }
  }
  if (active.empty()) {
    return;
  }

  // Credits reserve no capacity, and a dispatch with a credit is checked again. Dividing half of
  // the free slots among the pairs keeps most credits valid. Each pair may hold at least one, so
  // with many pairs the total can exceed half of the free slots.
  const auto share = mModel.FreeSlots() / (2 * active.size());
  const auto wanted = std::clamp<std::size_t>(share, 1, kMaxCreditsPerEntryAndService);
  for (const auto& [peer, service] : active) {
    const auto held = mGrants.Credits(peer, service);
    if (2 * held > wanted) {
      continue;
    }
    auto typical = work_estimate{};
    const auto known = mLatestEstimates.find(service);
    if (known != mLatestEstimates.end()) {
      typical = known->second;
    }
    typical.mDeadline = time_point::max();
    if (mModel.CheckAdmission(typical, aNow.mMonotonic) == admission::Admit) {
      auto ids = mGrants.IssueCredits(peer, service, wanted - held, aNow.mMonotonic);
      Send(peer, credit{ service, std::move(ids), mSettings.mGrantLifetime });
    }
  }
}

auto agent_node::state::CheckCredit(const agent_request& aRequest, instant aNow) const
  -> std::optional<decline_reason>
{
  // Outranked covers every case in which the request does not fit now but may fit later: a ticket
  // of the same or a higher tier waits, the model is about to be replaced or being replaced, or the
  // engine cannot admit the request now. A lower rank number is a higher tier.
  const auto highest = mQueue.HighestRank();
  if ((highest && *highest <= aRequest.mRank) || mReconciler.BlocksNewWork()) {
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
  // A request that was dispatched before is running or has run, so declining it would be wrong.
  if (mDispatched.Contains(id)) {
    mDecisions.Add(aNow, id, "repeated_dispatch");
    return;
  }

  // Redeem the grant or credit. A request dispatched with a credit loses its ticket or grant if it
  // has one.
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

  // Decide whether the request may run.
  auto declineMessage = DeclineFor(*request, aNow);
  if (!declineMessage && kind == grant_table::redemption::Invalid) {
    declineMessage = decline{ id, decline_reason::GrantExpired, {}, 0 };
  }
  if (!declineMessage && kind == grant_table::redemption::Credit) {
    if (const auto reason = CheckCredit(*request, aNow)) {
      declineMessage = decline{ id, *reason, {}, 0 };
    }
  }
  const auto& ticket = request->mTicket;
  if (!declineMessage && ticket.mKey) {
    declineMessage =
      KeyDeclineFor(ticket, mKeys->Claim(ticket.mService, *ticket.mKey, ticket.mKeyCreated, aNow));
  }
  if (declineMessage) {
    if (mRequests.contains(id)) {
      Drop(id, aNow, "refused");
    }
    Decline(aPeer, *declineMessage, aNow);
    return;
  }

  // Submit the request to the endpoint.
  peer->second.mActive[ticket.mService] = aNow.mMonotonic;
  if (kind == grant_table::redemption::Credit) {
    mLatestEstimates[ticket.mService] = request->mEstimate;
    AdjustCharge(*request, CostOf(*request));
  }
  request->mPhase = request_phase::Running;
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
