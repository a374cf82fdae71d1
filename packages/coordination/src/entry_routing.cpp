#include "entry_state.h"

#include <bronzering/base/metrics.h>
#include <bronzering/coordination/idempotency_key.h>

#include <algorithm>
#include <limits>

namespace bronzering {

namespace {

/// A request of up to this many tokens may use a credit: it neither delays the first tokens of
/// others noticeably nor needs much KV cache.
constexpr auto kCreditMaxTokens = std::uint64_t{ 4096 };
/// A credit is used if its agent's expected time is at most this much above the best agent's, which
/// is about what the exchange of ticket and grant would cost.
constexpr auto kCreditTolerance = std::chrono::milliseconds(5);
/// How long a request waits for any agent of its service to be connected.
constexpr auto kAwaitAgent = std::chrono::seconds(2);
/// An agent that declines a ticket for a passing reason is asked again after at least this time.
constexpr auto kShortestRetry = std::chrono::milliseconds(20);
/// A configured widening time of zero must not make the timer spin.
constexpr auto kShortestWidening = std::chrono::milliseconds(1);
/// With less time than this many widening steps, a request is announced everywhere at once.
constexpr auto kStepsForWidening = 8;
constexpr auto kReachInterval = std::chrono::seconds(1);
constexpr auto kLargestReach = 64U;
constexpr auto kEveryone = std::numeric_limits<std::size_t>::max();

/// Whether another ticket for the same request would be declined again.
auto IsFinal(decline_reason aReason) -> bool
{
  return aReason == decline_reason::TooLarge || aReason == decline_reason::DeadlineTooShort ||
         aReason == decline_reason::UnknownService;
}

/// Whether the id of one more attempt still belongs to the request's exchange.
auto HasAnotherId(const entry_request& aRequest) -> bool
{
  const auto next = request_id{ aRequest.mId.mEntry, aRequest.mId.mSequence + 1 };
  return ExchangeOf(next) == aRequest.mCaller.mExchange;
}

auto MakeTicket(const entry_request& aRequest, instant aNow) -> ticket
{
  return { .mRequest = aRequest.mId,
           .mService = aRequest.mService,
           .mOrganisation = aRequest.mOrganisation,
           .mTier = aRequest.mTier,
           .mPromptTokens = aRequest.mCaller.mPromptTokens,
           .mOutputTokens = aRequest.mCaller.mOutputTokens,
           .mPrefix = aRequest.mCaller.mPrefix,
           .mTimeLeft = std::max(duration::zero(), aRequest.mDeadline - aNow.mMonotonic),
           .mKey = aRequest.mKey,
           .mKeyCreated = aRequest.mKeyCreated };
}

} // namespace

auto entry_node::state::Announce(entry_request& aRequest, bool aWiden, instant aNow) -> void
{
  if (aRequest.mKey) {
    AnnounceToKeyOwner(aRequest, aNow);
    return;
  }
  if (mDirectory.EndpointsOf(aRequest.mService).empty()) {
    Refuse(aRequest, refusal::NoEndpoint, std::nullopt, {}, aNow);
    return;
  }
  auto candidates = mAgents.Rank(mDirectory, mMembers, aRequest);
  if (candidates.empty()) {
    AwaitAgent(aRequest, aNow);
    return;
  }
  aRequest.mNoAgentSince.reset();
  const auto chooseUntil = LeaveOutSlow(aRequest, candidates, aNow);
  if (TryCredit(aRequest, candidates, aNow)) {
    return;
  }

  // Widen step by step, and to everyone before the request could be shed.
  const auto& routing = mDirectory.Config()->mRouting;
  const auto half = aRequest.mArrived + (aRequest.mDeadline - aRequest.mArrived) / 2;
  const auto isHurried =
    aRequest.mDeadline - aRequest.mArrived < routing.mWidenAfter * kStepsForWidening;
  if (isHurried || aNow.mMonotonic >= half || mWaiting.IsNearlyFull(aRequest.mOrganisation)) {
    aRequest.mWidth = kEveryone;
  } else if (aRequest.mWidth == 0) {
    aRequest.mWidth = std::max<std::size_t>(1, routing.mInitialCandidates);
  } else if (aWiden && aRequest.mWidth < candidates.size()) {
    aRequest.mWidth *= 2;
  }

  // Send tickets to the best agents that have none.
  auto active = std::size_t{ 0 };
  auto retryAt = std::optional<time_point>{};
  auto without = std::vector<peer_id>{};
  for (const auto& candidate : candidates) {
    const auto known =
      std::find_if(aRequest.mAnnounced.begin(), aRequest.mAnnounced.end(), [&](const auto& aKnown) {
        return aKnown.mPeer == candidate.mPeer;
      });
    if (known == aRequest.mAnnounced.end()) {
      without.push_back(candidate.mPeer);
    } else if (!known->mDeclined) {
      ++active;
    } else if (known->mRetryAt <= aNow.mMonotonic) {
      without.push_back(candidate.mPeer);
    } else {
      retryAt = std::min(retryAt.value_or(known->mRetryAt), known->mRetryAt);
    }
  }
  auto sent = std::size_t{ 0 };
  while (sent < without.size() && active + sent < aRequest.mWidth) {
    SendTicket(aRequest, without[sent], aNow);
    ++sent;
  }

  // Come back to widen, or when an agent that declined may be asked again.
  aRequest.mStepAt = retryAt;
  if (sent < without.size()) {
    const auto pause = std::max<duration>(routing.mWidenAfter, kShortestWidening);
    aRequest.mStepAt = std::min(aNow.mMonotonic + pause, half);
  } else {
    ReachFurther(aRequest.mService, aNow);
  }
  if (chooseUntil) {
    aRequest.mStepAt = std::min(aRequest.mStepAt.value_or(*chooseUntil), *chooseUntil);
  }
  SetTimer(aRequest);
}

auto entry_node::state::LeaveOutSlow(const entry_request& aRequest,
                                     std::vector<agent_table::candidate>& aCandidates,
                                     instant aNow) const -> std::optional<time_point>
{
  const auto& tiers = mDirectory.Config()->mTiers;
  const auto tier = tiers.find(aRequest.mTier);
  if (tier == tiers.end() || aRequest.mKind != service_kind::Model) {
    return std::nullopt;
  }
  const auto target = tier->second.mFirstTokenTarget;
  const auto until = aRequest.mArrived + target / 2;
  if (aNow.mMonotonic >= until || aCandidates.front().mScore > target) {
    return std::nullopt;
  }
  const auto removed =
    std::erase_if(aCandidates, [&](const auto& aCandidate) { return aCandidate.mScore > target; });
  return removed > 0 ? std::optional(until) : std::nullopt;
}

auto entry_node::state::AnnounceToKeyOwner(entry_request& aRequest, instant aNow) -> void
{
  const auto owner = KeyOwner(*mDirectory.Config(), aRequest.mService, *aRequest.mKey);
  const auto peer = mMembers.SessionToAgent(owner);
  if (!peer || !mAgents.Accepts(*peer, mMembers)) {
    Refuse(aRequest,
           refusal::KeyOwnerUnreachable,
           std::chrono::seconds(1),
           "the endpoint that decides for this key cannot be reached",
           aNow);
    return;
  }

  // A change of the configuration or a restart of the agent may have moved the owner.
  auto isAnnounced = false;
  for (const auto& known : aRequest.mAnnounced) {
    if (known.mPeer != *peer && !known.mDeclined) {
      Send(known.mPeer, withdraw{ aRequest.mId });
    }
    isAnnounced = isAnnounced ||
                  (known.mPeer == *peer && (!known.mDeclined || known.mRetryAt > aNow.mMonotonic));
  }
  std::erase_if(aRequest.mAnnounced, [&](const auto& aKnown) { return aKnown.mPeer != *peer; });
  aRequest.mStepAt.reset();
  if (!isAnnounced) {
    SendTicket(aRequest, *peer, aNow);
  } else if (aRequest.mAnnounced.front().mDeclined) {
    aRequest.mStepAt = aRequest.mAnnounced.front().mRetryAt;
  }
  SetTimer(aRequest);
}

auto entry_node::state::AwaitAgent(entry_request& aRequest, instant aNow) -> void
{
  ReachFurther(aRequest.mService, aNow);
  aRequest.mNoAgentSince = aRequest.mNoAgentSince.value_or(aNow.mMonotonic);
  if (aNow.mMonotonic >= *aRequest.mNoAgentSince + kAwaitAgent) {
    Refuse(aRequest, refusal::NoEndpoint, std::chrono::seconds(1), "no agent is connected", aNow);
    return;
  }
  aRequest.mStepAt = *aRequest.mNoAgentSince + kAwaitAgent;
  SetTimer(aRequest);
}

auto entry_node::state::TryCredit(entry_request& aRequest,
                                  const std::vector<agent_table::candidate>& aCandidates,
                                  instant aNow) -> bool
{
  if (aRequest.mCaller.mPromptTokens + aRequest.mCaller.mOutputTokens > kCreditMaxTokens) {
    return false;
  }
  if (!aRequest.mAnnounced.empty() && !HasAnotherId(aRequest)) {
    return false;
  }
  for (const auto& candidate : aCandidates) {
    if (candidate.mScore > aCandidates.front().mScore + kCreditTolerance) {
      break;
    }
    if (const auto credit = mAgents.TakeCredit(candidate.mPeer, aRequest.mService, aNow)) {
      // An agent's decline of the ticket may be under way. Under the old id it would be taken for
      // proof that the work dispatched on the credit did not run.
      if (!aRequest.mAnnounced.empty()) {
        Withdraw(aRequest, std::nullopt);
        Rename(aRequest);
      }
      Dispatch(aRequest, candidate.mPeer, *credit, aNow);
      return true;
    }
  }
  return false;
}

auto entry_node::state::SendTicket(entry_request& aRequest, peer_id aPeer, instant aNow) -> void
{
  std::erase_if(aRequest.mAnnounced, [&](const auto& aKnown) { return aKnown.mPeer == aPeer; });
  aRequest.mAnnounced.push_back({ .mPeer = aPeer,
                                  .mSent = aNow.mMonotonic,
                                  .mDeclined = false,
                                  .mReason = decline_reason::Leaving,
                                  .mRetryAt = {} });
  Send(aPeer, MakeTicket(aRequest, aNow));
}

auto entry_node::state::Withdraw(entry_request& aRequest, std::optional<peer_id> aExcept) -> void
{
  for (const auto& known : aRequest.mAnnounced) {
    if (!known.mDeclined && known.mPeer != aExcept) {
      Send(known.mPeer, withdraw{ aRequest.mId });
    }
  }
  aRequest.mAnnounced.clear();
}

auto entry_node::state::OnGrant(peer_id aPeer, const grant& aGrant, instant aNow) -> void
{
  auto* request = FindRequest(aGrant.mRequest);
  if (request != nullptr && request->mLifecycle.State() == request_state::Waiting) {
    const auto known =
      std::find_if(request->mAnnounced.begin(), request->mAnnounced.end(), [&](const auto& aKnown) {
        return aKnown.mPeer == aPeer && !aKnown.mDeclined;
      });
    if (known != request->mAnnounced.end() && aGrant.mLifetime > duration::zero()) {
      mAgents.NoteRoundTrip(aPeer, aNow.mMonotonic - known->mSent);
      mAgents.NoteCached(mAgents.EndpointOf(aPeer), *request, aGrant.mCachedTokens);
      Dispatch(*request, aPeer, aGrant.mGrant, aNow);
      return;
    }
  }
  // Whoever was withdrawn already knows; anyone else would keep the room reserved.
  if (request == nullptr) {
    Send(aPeer, withdraw{ aGrant.mRequest });
  }
}

auto entry_node::state::Dispatch(entry_request& aRequest,
                                 peer_id aPeer,
                                 grant_id aGrant,
                                 instant aNow) -> void
{
  if (aNow.mMonotonic >= aRequest.mDeadline) {
    Expire(aRequest, aNow);
    return;
  }
  if (!aRequest.mLifecycle.Process(request_event::Dispatched)) {
    CountViolation();
    return;
  }
  Withdraw(aRequest, aPeer);
  mWaiting.Remove(aRequest.mId);
  aRequest.mAgent = aPeer;
  aRequest.mEndpoint = mAgents.EndpointOf(aPeer);
  aRequest.mAnswer = answer_stream(mSettings.mAnswerWindowBytes);
  aRequest.mStepAt.reset();
  if (aRequest.mKey) {
    mKeys.Add(*aRequest.mKey);
  }

  // The body is kept only if the request may be sent again after a decline.
  const auto mayRetry = aRequest.mIdempotent || aRequest.mKey;
  auto message = dispatch{ .mGrant = aGrant,
                           .mTicket = MakeTicket(aRequest, aNow),
                           .mMethod = aRequest.mCaller.mMethod,
                           .mTarget = aRequest.mCaller.mTarget,
                           .mHeaders = aRequest.mCaller.mHeaders,
                           .mBody = {} };
  message.mBody = mayRetry ? aRequest.mCaller.mBody : std::move(aRequest.mCaller.mBody);
  Send(aPeer, std::move(message));
  Send(aPeer, window{ aRequest.mId, aRequest.mAnswer.Limit() });

  mAgents.NoteDispatch(aPeer, aRequest);
  SetTimer(aRequest);
  Count("bronzering_entry_dispatches_total", aRequest);
  Log(aRequest, "dispatch", aNow);
}

auto entry_node::state::OnDecline(peer_id aPeer, const decline& aDecline, instant aNow) -> void
{
  auto* request = FindRequest(aDecline.mRequest);
  if (request == nullptr) {
    return;
  }
  const auto current = request->mLifecycle.State();
  if (current == request_state::Dispatched && request->mAgent == aPeer) {
    OnDispatchDeclined(*request, aDecline, aNow);
    return;
  }
  if (current == request_state::Answering && request->mAgent == aPeer) {
    // An agent that has begun to answer cannot prove that nothing ran.
    CountViolation();
    Fail(*request, refusal::EndpointFailed, true, aNow);
    return;
  }
  const auto known =
    std::find_if(request->mAnnounced.begin(), request->mAnnounced.end(), [&](const auto& aKnown) {
      return aKnown.mPeer == aPeer && !aKnown.mDeclined;
    });
  if (current != request_state::Waiting || known == request->mAnnounced.end()) {
    return;
  }
  known->mDeclined = true;
  known->mReason = aDecline.mReason;
  const auto pause = std::max<duration>(
    { aDecline.mRetryAfter, kShortestRetry, JitteredBackoff(++request->mDeclines, mRandom) });
  known->mRetryAt = IsFinal(aDecline.mReason) ? request->mDeadline : aNow.mMonotonic + pause;
  OnTicketDeclined(*request, aDecline, aNow);
}

auto entry_node::state::OnTicketDeclined(entry_request& aRequest,
                                         const decline& aDecline,
                                         instant aNow) -> void
{
  if (aRequest.mKey && RefuseByKey(aRequest, aDecline, aNow)) {
    return;
  }

  // When every agent says for good that it will not do, waiting longer is of no use.
  if (IsFinal(aDecline.mReason)) {
    const auto candidates = mAgents.Rank(mDirectory, mMembers, aRequest);
    const auto& announced = aRequest.mAnnounced;
    const auto saidNo = [&](peer_id aPeer) {
      return std::any_of(announced.begin(), announced.end(), [&](const auto& aKnown) {
        return aKnown.mPeer == aPeer && aKnown.mDeclined && IsFinal(aKnown.mReason);
      });
    };
    if (std::all_of(candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
          return saidNo(aCandidate.mPeer);
        })) {
      const auto isLate = std::any_of(announced.begin(), announced.end(), [](const auto& aKnown) {
        return aKnown.mReason == decline_reason::DeadlineTooShort;
      });
      const auto isLarge = std::any_of(announced.begin(), announced.end(), [](const auto& aKnown) {
        return aKnown.mReason == decline_reason::TooLarge;
      });
      const auto reason = isLate    ? refusal::DeadlineExceeded
                          : isLarge ? refusal::TooLarge
                                    : refusal::NoEndpoint;
      Refuse(aRequest, reason, std::nullopt, "declined by every agent", aNow);
      return;
    }
  }
  Announce(aRequest, false, aNow);
}

auto entry_node::state::OnDispatchDeclined(entry_request& aRequest,
                                           const decline& aDecline,
                                           instant aNow) -> void
{
  if (!aRequest.mLifecycle.Process(request_event::Declined)) {
    CountViolation();
    return;
  }
  Log(aRequest, kDeclineReasonNames.NameOf(aDecline.mReason), aNow);
  mAgents.DropCredits(aRequest.mAgent);
  if (aRequest.mKey) {
    mKeys.Remove(*aRequest.mKey);
    if (RefuseByKey(aRequest, aDecline, aNow)) {
      return;
    }
  }
  if (!aRequest.mIdempotent && !aRequest.mKey) {
    Refuse(aRequest,
           refusal::Overloaded,
           std::max<duration>(aDecline.mRetryAfter, std::chrono::seconds(1)),
           "declined after dispatch",
           aNow);
    return;
  }
  Retry(aRequest, aDecline, aNow);
}

auto entry_node::state::RefuseByKey(entry_request& aRequest, const decline& aDecline, instant aNow)
  -> bool
{
  const auto retryAfter = std::max<duration>(aDecline.mRetryAfter, std::chrono::seconds(1));
  switch (aDecline.mReason) {
    case decline_reason::KeyUnknown:
      Refuse(aRequest,
             refusal::KeyUnknown,
             retryAfter,
             "the owner of the key cannot know whether it ran before",
             aNow);
      return true;
    case decline_reason::KeyInProgress:
      Refuse(aRequest, refusal::KeyInProgress, retryAfter, {}, aNow);
      return true;
    case decline_reason::KeyAlreadyRun:
      Refuse(aRequest,
             refusal::KeyAlreadyRun,
             std::nullopt,
             "earlier status " + std::to_string(aDecline.mEarlierStatus),
             aNow);
      return true;
    case decline_reason::NotKeyOwner:
    case decline_reason::Leaving:
    case decline_reason::EndpointDown:
    case decline_reason::UnknownService:
      Refuse(aRequest, refusal::KeyOwnerUnreachable, retryAfter, {}, aNow);
      return true;
    case decline_reason::TooLarge:
      Refuse(aRequest, refusal::TooLarge, std::nullopt, {}, aNow);
      return true;
    case decline_reason::DeadlineTooShort:
      Refuse(aRequest, refusal::DeadlineExceeded, std::nullopt, {}, aNow);
      return true;
    case decline_reason::GrantExpired:
    case decline_reason::Outranked:
    case decline_reason::QueueFull:
      break;
  }
  return false;
}

auto entry_node::state::Rename(entry_request& aRequest) -> void
{
  const auto oldId = aRequest.mId;
  mWaiting.Remove(oldId);
  if (aRequest.mTimerAt) {
    mTimers.erase({ *aRequest.mTimerAt, oldId });
    aRequest.mTimerAt.reset();
  }
  auto node = mRequests.extract(oldId);
  ++aRequest.mId.mSequence;
  node.key() = aRequest.mId;
  mRequests.insert(std::move(node));
  mExchanges[aRequest.mCaller.mExchange] = aRequest.mId;
}

auto entry_node::state::Retry(entry_request& aRequest, const decline& aDecline, instant aNow)
  -> void
{
  // A grant that expired or a credit that came too late cost one small message. Only declines that
  // point to trouble at the agent count against the retry budget.
  const auto isRoutine = aDecline.mReason == decline_reason::Outranked ||
                         aDecline.mReason == decline_reason::GrantExpired;
  if (!isRoutine && !mRetryBudget.TryTake()) {
    Refuse(aRequest, refusal::Overloaded, std::chrono::seconds(1), "retry budget is spent", aNow);
    return;
  }
  if (!HasAnotherId(aRequest)) {
    Refuse(aRequest, refusal::Overloaded, std::chrono::seconds(1), "too many attempts", aNow);
    return;
  }
  const auto backoff =
    isRoutine
      ? aDecline.mRetryAfter
      : std::max<duration>(aDecline.mRetryAfter, JitteredBackoff(++aRequest.mRetries, mRandom));
  if (aNow.mMonotonic + backoff >= aRequest.mDeadline) {
    Refuse(aRequest, refusal::DeadlineExceeded, std::nullopt, "declined, no time left", aNow);
    return;
  }
  Count("bronzering_entry_retries_total", aRequest);

  Rename(aRequest);

  // Wait among the others. After a routine decline the same agent gets a ticket as well.
  const auto place = mWaiting.Offer(aRequest.mId, aRequest.mOrganisation, aRequest.mRank);
  if (place.mEvicted) {
    Refuse(*FindRequest(*place.mEvicted),
           refusal::Overloaded,
           std::chrono::seconds(1),
           "evicted by a higher tier",
           aNow);
  }
  if (!place.mAccepted) {
    Refuse(aRequest, refusal::Overloaded, std::chrono::seconds(1), "too many are waiting", aNow);
    return;
  }
  aRequest.mAnnounced.clear();
  if (!isRoutine) {
    aRequest.mAnnounced.push_back(
      { .mPeer = aRequest.mAgent,
        .mSent = aNow.mMonotonic,
        .mDeclined = true,
        .mReason = aDecline.mReason,
        .mRetryAt = IsFinal(aDecline.mReason) ? aRequest.mDeadline : aNow.mMonotonic + backoff });
  }
  aRequest.mWidth = 0;
  aRequest.mEndpoint.clear();
  aRequest.mStepAt = aNow.mMonotonic + backoff;
  SetTimer(aRequest);
}

auto entry_node::state::ReachFurther(const std::string& aService, instant aNow) -> void
{
  const auto& routing = mDirectory.Config()->mRouting;
  auto& reach = mReach[aService];
  reach = std::max(1U, reach);
  const auto linked = std::size_t{ routing.mAgentsPerService } * reach;
  if (linked >= mDirectory.EndpointsOf(aService).size() || reach >= kLargestReach ||
      aNow.mMonotonic < mReachChanged + kReachInterval) {
    return;
  }
  reach *= 2;
  mReachChanged = aNow.mMonotonic;
  UpdateLinks();
}

auto entry_node::state::StepWaiting(std::string_view aEndpoint, instant aNow) -> void
{
  const auto* config = mDirectory.Config();
  if (config == nullptr) {
    return;
  }
  // Without a name, or for an endpoint that is gone, every waiting request takes a step.
  const auto endpoint = config->mEndpoints.find(aEndpoint);
  for (auto& item : mRequests) {
    auto& request = item.second;
    if (request->mLifecycle.State() != request_state::Waiting) {
      continue;
    }
    const auto serves = [&](const endpoint_config& aConfig) {
      const auto& services = aConfig.mServices;
      return std::find(services.begin(), services.end(), request->mService) != services.end();
    };
    if (endpoint == config->mEndpoints.end() || serves(endpoint->second)) {
      request->mStepAt = aNow.mMonotonic;
      SetTimer(*request);
    }
  }
}

} // namespace bronzering
