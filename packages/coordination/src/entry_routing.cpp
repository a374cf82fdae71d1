#include "entry_state.h"

#include <bronzering/base/metrics.h>
#include <bronzering/coordination/idempotency_key.h>

#include <algorithm>
#include <limits>

namespace bronzering {

namespace {

// An entry announces a waiting request by sending a ticket to one or more agents. An agent answers
// a ticket with a grant, which reserves capacity for that request, or declines it. The entry
// dispatches the request to the first agent that grants it and withdraws the other tickets. A
// credit is a grant that an agent issues in advance and that is not tied to a request: the entry
// may dispatch on it without a ticket, but the agent checks its capacity again and may decline the
// dispatch. Agents decline tickets and dispatches; only the entry refuses a request, which ends it
// with an error for the caller.

/// Maximum number of tokens of a request that may use a credit. Small requests neither delay the
/// first tokens of other requests noticeably nor need much KV cache.
constexpr auto kCreditMaxTokens = std::uint64_t{ 4096 };
/// A credit is used if its agent's score is at most this much worse than that of the best agent.
/// This is approximately the cost of exchanging a ticket and a grant.
constexpr auto kCreditTolerance = std::chrono::milliseconds(5);
/// How long a request waits until any agent of its service is connected.
constexpr auto kAgentWaitTimeout = std::chrono::seconds(2);
/// Minimum time before another ticket is sent to an agent that declined one for a temporary reason.
constexpr auto kMinTicketRetryDelay = std::chrono::milliseconds(20);
/// Lower bound for the configured widening interval, after which a request without a grant is
/// announced to twice as many agents. Zero would rearm the timer immediately.
constexpr auto kMinWideningInterval = std::chrono::milliseconds(1);
/// A request whose timeout is shorter than this many widening intervals is announced to all agents
/// at once.
constexpr auto kMinWideningSteps = 8;
/// Minimum time from the last change of any service's link factor to the next increase of one. The
/// link factor multiplies the configured number of agents of a service to which this entry keeps
/// links.
constexpr auto kLinkFactorInterval = std::chrono::seconds(1);
constexpr auto kMaxLinkFactor = 64U;
/// Value of mTicketLimit that lets all agents hold a ticket.
constexpr auto kAllAgents = std::numeric_limits<std::size_t>::max();

/// Whether the agent would decline another ticket for the same request again. Every other reason is
/// temporary: the agent may be sent another ticket later. For requests with an idempotency key,
/// RefuseByKey treats more reasons as final.
auto IsFinal(decline_reason aReason) -> bool
{
  return aReason == decline_reason::TooLarge || aReason == decline_reason::DeadlineTooShort ||
         aReason == decline_reason::UnknownService;
}

/// Whether the id of another attempt would still belong to the request's exchange.
auto CanAssignNewId(const entry_request& aRequest) -> bool
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
    WaitForAgent(aRequest, aNow);
    return;
  }
  aRequest.mNoAgentSince.reset();
  const auto excludeSlowUntil = RemoveSlowCandidates(aRequest, candidates, aNow);
  if (TryCredit(aRequest, candidates, aNow)) {
    return;
  }

  // Widen the set of agents gradually, and to all agents before the request could expire or be
  // evicted: at once if its time to the deadline is short, otherwise when half of it has passed.
  const auto& routing = mDirectory.Config()->mRouting;
  const auto half = aRequest.mArrived + (aRequest.mDeadline - aRequest.mArrived) / 2;
  const auto hasShortDeadline =
    aRequest.mDeadline - aRequest.mArrived < routing.mWidenAfter * kMinWideningSteps;
  if (hasShortDeadline || aNow.mMonotonic >= half ||
      mWaiting.IsNearlyFull(aRequest.mOrganisation)) {
    aRequest.mTicketLimit = kAllAgents;
  } else if (aRequest.mTicketLimit == 0) {
    aRequest.mTicketLimit = std::max<std::size_t>(1, routing.mInitialCandidates);
  } else if (aWiden && aRequest.mTicketLimit < candidates.size()) {
    aRequest.mTicketLimit *= 2;
  }

  // Send tickets to the best agents that do not hold one.
  auto active = std::size_t{ 0 };
  auto retryAt = std::optional<time_point>{};
  auto without = std::vector<peer_id>{};
  for (const auto& candidate : candidates) {
    const auto known =
      std::find_if(aRequest.mAnnouncements.begin(),
                   aRequest.mAnnouncements.end(),
                   [&](const auto& aKnown) { return aKnown.mPeer == candidate.mPeer; });
    if (known == aRequest.mAnnouncements.end()) {
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
  while (sent < without.size() && active + sent < aRequest.mTicketLimit) {
    SendTicket(aRequest, without[sent], aNow);
    ++sent;
  }

  // Schedule the next step: widening, or another ticket to an agent that declined.
  aRequest.mNextStepAt = retryAt;
  if (sent < without.size()) {
    const auto pause = std::max<duration>(routing.mWidenAfter, kMinWideningInterval);
    aRequest.mNextStepAt = std::min(aNow.mMonotonic + pause, half);
  } else {
    IncreaseLinkFactor(aRequest.mService, aNow);
  }
  if (excludeSlowUntil) {
    aRequest.mNextStepAt =
      std::min(aRequest.mNextStepAt.value_or(*excludeSlowUntil), *excludeSlowUntil);
  }
  SetTimer(aRequest);
}

auto entry_node::state::RemoveSlowCandidates(const entry_request& aRequest,
                                             std::vector<agent_table::candidate>& aCandidates,
                                             instant aNow) const -> std::optional<time_point>
{
  const auto& tiers = mDirectory.Config()->mTiers;
  const auto tier = tiers.find(aRequest.mTier);
  if (tier == tiers.end() || aRequest.mKind != service_kind::Model) {
    return std::nullopt;
  }
  // A score is the expected time to the first byte of the answer. Agents that would exceed the
  // tier's target are excluded until half of the target has passed, unless the best one exceeds it
  // too.
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
           "the endpoint that owns this idempotency key cannot be reached",
           aNow);
    return;
  }

  // The owner may have changed due to a new configuration or a restart of the agent.
  auto isAnnounced = false;
  for (const auto& known : aRequest.mAnnouncements) {
    if (known.mPeer != *peer && !known.mDeclined) {
      Send(known.mPeer, withdraw{ aRequest.mId });
    }
    isAnnounced = isAnnounced ||
                  (known.mPeer == *peer && (!known.mDeclined || known.mRetryAt > aNow.mMonotonic));
  }
  std::erase_if(aRequest.mAnnouncements, [&](const auto& aKnown) { return aKnown.mPeer != *peer; });
  aRequest.mNextStepAt.reset();
  if (!isAnnounced) {
    SendTicket(aRequest, *peer, aNow);
  } else if (aRequest.mAnnouncements.front().mDeclined) {
    aRequest.mNextStepAt = aRequest.mAnnouncements.front().mRetryAt;
  }
  SetTimer(aRequest);
}

auto entry_node::state::WaitForAgent(entry_request& aRequest, instant aNow) -> void
{
  IncreaseLinkFactor(aRequest.mService, aNow);
  aRequest.mNoAgentSince = aRequest.mNoAgentSince.value_or(aNow.mMonotonic);
  if (aNow.mMonotonic >= *aRequest.mNoAgentSince + kAgentWaitTimeout) {
    Refuse(aRequest,
           refusal::NoEndpoint,
           std::chrono::seconds(1),
           "no agent of the service is connected",
           aNow);
    return;
  }
  aRequest.mNextStepAt = *aRequest.mNoAgentSince + kAgentWaitTimeout;
  SetTimer(aRequest);
}

auto entry_node::state::TryCredit(entry_request& aRequest,
                                  const std::vector<agent_table::candidate>& aCandidates,
                                  instant aNow) -> bool
{
  if (aRequest.mCaller.mPromptTokens + aRequest.mCaller.mOutputTokens > kCreditMaxTokens) {
    return false;
  }
  if (!aRequest.mAnnouncements.empty() && !CanAssignNewId(aRequest)) {
    return false;
  }
  // An agent may decline a dispatch on a credit, which ends a request that is dispatched only once.
  const auto mayRetry = aRequest.mIdempotent || aRequest.mKey;
  const auto hasTicket = std::any_of(aRequest.mAnnouncements.begin(),
                                     aRequest.mAnnouncements.end(),
                                     [](const auto& aKnown) { return !aKnown.mDeclined; });
  if (!mayRetry && hasTicket) {
    return false;
  }
  for (const auto& candidate : aCandidates) {
    if (candidate.mScore > aCandidates.front().mScore + kCreditTolerance) {
      break;
    }
    if (const auto credit = mAgents.TakeCredit(candidate.mPeer, aRequest.mService, aNow)) {
      // An agent's decline of the ticket may be in flight. With the same id it would be mistaken
      // for a decline of the request dispatched on the credit.
      if (!aRequest.mAnnouncements.empty()) {
        Withdraw(aRequest, std::nullopt);
        AssignNewId(aRequest);
      }
      Dispatch(aRequest, candidate.mPeer, *credit, aNow);
      return true;
    }
  }
  return false;
}

auto entry_node::state::SendTicket(entry_request& aRequest, peer_id aPeer, instant aNow) -> void
{
  std::erase_if(aRequest.mAnnouncements, [&](const auto& aKnown) { return aKnown.mPeer == aPeer; });
  // mReason and mRetryAt are placeholders until the agent declines the ticket.
  aRequest.mAnnouncements.push_back({ .mPeer = aPeer,
                                      .mSent = aNow.mMonotonic,
                                      .mDeclined = false,
                                      .mReason = decline_reason::Leaving,
                                      .mRetryAt = {} });
  Send(aPeer, MakeTicket(aRequest, aNow));
}

auto entry_node::state::Withdraw(entry_request& aRequest, std::optional<peer_id> aExcept) -> void
{
  for (const auto& known : aRequest.mAnnouncements) {
    if (!known.mDeclined && known.mPeer != aExcept) {
      Send(known.mPeer, withdraw{ aRequest.mId });
    }
  }
  aRequest.mAnnouncements.clear();
}

auto entry_node::state::OnGrant(peer_id aPeer, const grant& aGrant, instant aNow) -> void
{
  auto* request = FindRequest(aGrant.mRequest);
  if (request != nullptr && request->mLifecycle.State() == request_state::Waiting) {
    const auto known =
      std::find_if(request->mAnnouncements.begin(),
                   request->mAnnouncements.end(),
                   [&](const auto& aKnown) { return aKnown.mPeer == aPeer && !aKnown.mDeclined; });
    if (known != request->mAnnouncements.end() && aGrant.mLifetime > duration::zero()) {
      mAgents.RecordRoundTrip(aPeer, aNow.mMonotonic - known->mSent);
      mAgents.RecordCachedTokens(mAgents.EndpointOf(aPeer), *request, aGrant.mCachedTokens);
      Dispatch(*request, aPeer, aGrant.mGrant, aNow);
      return;
    }
  }
  // Release the reservation of a grant for an unknown request. For a known request the agent has
  // already received a withdraw message.
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
    CountProtocolViolation();
    return;
  }
  Withdraw(aRequest, aPeer);
  mWaiting.Remove(aRequest.mId);
  aRequest.mAgent = aPeer;
  aRequest.mEndpoint = mAgents.EndpointOf(aPeer);
  aRequest.mAnswer = answer_stream(mSettings.mAnswerWindowBytes);
  aRequest.mNextStepAt.reset();
  if (aRequest.mKey) {
    mKeys.Add(*aRequest.mKey);
  }

  // Keep the body only if the request may be dispatched again after a decline.
  const auto mayRetry = aRequest.mIdempotent || aRequest.mKey;
  auto message = dispatch{ .mGrant = aGrant,
                           .mTicket = MakeTicket(aRequest, aNow),
                           .mMethod = aRequest.mCaller.mMethod,
                           .mTarget = aRequest.mCaller.mTarget,
                           .mHeaders = aRequest.mCaller.mHeaders,
                           .mBody = {} };
  message.mBody = mayRetry ? aRequest.mCaller.mBody : std::move(aRequest.mCaller.mBody);
  Send(aPeer, std::move(message));
  // Flow control: the total number of answer bytes that the agent may send until it receives a
  // higher limit.
  Send(aPeer, window{ aRequest.mId, aRequest.mAnswer.Limit() });

  mAgents.RecordDispatch(aPeer, aRequest);
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
    // An agent that has started to answer cannot confirm that the request was not executed.
    CountProtocolViolation();
    Fail(*request, refusal::EndpointFailed, true, aNow);
    return;
  }
  const auto known =
    std::find_if(request->mAnnouncements.begin(),
                 request->mAnnouncements.end(),
                 [&](const auto& aKnown) { return aKnown.mPeer == aPeer && !aKnown.mDeclined; });
  if (current != request_state::Waiting || known == request->mAnnouncements.end()) {
    return;
  }
  known->mDeclined = true;
  known->mReason = aDecline.mReason;
  const auto pause = std::max<duration>(
    { aDecline.mRetryAfter, kMinTicketRetryDelay, JitteredBackoff(++request->mDeclines, mRandom) });
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

  // Refuse the request if every agent has declined it for a final reason: waiting longer cannot
  // help.
  if (IsFinal(aDecline.mReason)) {
    const auto candidates = mAgents.Rank(mDirectory, mMembers, aRequest);
    const auto& announced = aRequest.mAnnouncements;
    const auto hasDeclined = [&](peer_id aPeer) {
      return std::any_of(announced.begin(), announced.end(), [&](const auto& aKnown) {
        return aKnown.mPeer == aPeer && aKnown.mDeclined && IsFinal(aKnown.mReason);
      });
    };
    if (std::all_of(candidates.begin(), candidates.end(), [&](const auto& aCandidate) {
          return hasDeclined(aCandidate.mPeer);
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
    CountProtocolViolation();
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
      Refuse(
        aRequest,
        refusal::KeyUnknown,
        retryAfter,
        "the owner of the idempotency key cannot determine whether a request with it ran before",
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

auto entry_node::state::AssignNewId(entry_request& aRequest) -> void
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
  // Two reasons are routine: GrantExpired, when the grant or credit is no longer valid, and
  // Outranked, when the agent cannot start a request dispatched on a credit now: tickets of the
  // same or a higher tier wait there, the request does not fit, or the model is being replaced.
  // Such a decline costs only one small message. Only declines that indicate a problem at the agent
  // are charged to the retry budget.
  const auto isRoutine = aDecline.mReason == decline_reason::Outranked ||
                         aDecline.mReason == decline_reason::GrantExpired;
  if (!isRoutine && !mRetryBudget.TryTake()) {
    Refuse(aRequest, refusal::Overloaded, std::chrono::seconds(1), "retry budget is spent", aNow);
    return;
  }
  if (!CanAssignNewId(aRequest)) {
    Refuse(aRequest, refusal::Overloaded, std::chrono::seconds(1), "too many attempts", aNow);
    return;
  }
  const auto backoff =
    isRoutine
      ? aDecline.mRetryAfter
      : std::max<duration>(aDecline.mRetryAfter, JitteredBackoff(++aRequest.mRetries, mRandom));
  if (aNow.mMonotonic + backoff >= aRequest.mDeadline) {
    Refuse(aRequest,
           refusal::DeadlineExceeded,
           std::nullopt,
           "declined, and too little time remains for a retry",
           aNow);
    return;
  }
  Count("bronzering_entry_retries_total", aRequest);

  AssignNewId(aRequest);

  // Return to the waiting list. After a routine decline the same agent may receive a ticket again.
  const auto place = mWaiting.Offer(aRequest.mId, aRequest.mOrganisation, aRequest.mRank);
  if (place.mEvicted) {
    Refuse(*FindRequest(*place.mEvicted),
           refusal::Overloaded,
           std::chrono::seconds(1),
           "evicted by a request of a higher tier",
           aNow);
  }
  if (!place.mAccepted) {
    Refuse(aRequest,
           refusal::Overloaded,
           std::chrono::seconds(1),
           "too many requests are waiting",
           aNow);
    return;
  }
  aRequest.mAnnouncements.clear();
  if (!isRoutine) {
    aRequest.mAnnouncements.push_back(
      { .mPeer = aRequest.mAgent,
        .mSent = aNow.mMonotonic,
        .mDeclined = true,
        .mReason = aDecline.mReason,
        .mRetryAt = IsFinal(aDecline.mReason) ? aRequest.mDeadline : aNow.mMonotonic + backoff });
  }
  aRequest.mTicketLimit = 0;
  aRequest.mEndpoint.clear();
  aRequest.mNextStepAt = aNow.mMonotonic + backoff;
  SetTimer(aRequest);
}

auto entry_node::state::IncreaseLinkFactor(const std::string& aService, instant aNow) -> void
{
  const auto& routing = mDirectory.Config()->mRouting;
  auto& factor = mLinkFactors[aService];
  factor = std::max(1U, factor);
  const auto linked = std::size_t{ routing.mAgentsPerService } * factor;
  if (linked >= mDirectory.EndpointsOf(aService).size() || factor >= kMaxLinkFactor ||
      aNow.mMonotonic < mLinkFactorChanged + kLinkFactorInterval) {
    return;
  }
  factor *= 2;
  mLinkFactorChanged = aNow.mMonotonic;
  UpdateLinks();
}

auto entry_node::state::RescheduleWaiting(std::string_view aEndpoint, instant aNow) -> void
{
  const auto* config = mDirectory.Config();
  if (config == nullptr) {
    return;
  }
  // An empty or unknown endpoint name reschedules all waiting requests.
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
      request->mNextStepAt = aNow.mMonotonic;
      SetTimer(*request);
    }
  }
}

} // namespace bronzering
