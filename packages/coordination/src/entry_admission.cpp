#include "entry_state.h"

#include <bronzering/base/metrics.h>
#include <bronzering/coordination/idempotency_key.h>

#include <algorithm>

namespace bronzering {

namespace {

constexpr auto kDefaultTimeout = std::chrono::seconds(30);
/// Upper bound for caller-supplied timeouts, so that no request is kept indefinitely.
constexpr auto kMaxRequestTimeout = std::chrono::hours(24);
constexpr auto kMaxIdempotencyKeyLength = std::size_t{ 255 };

auto AmountOf(const limit_config& aLimit, const caller_request& aRequest) -> double
{
  switch (aLimit.mUnit) {
    case limit_unit::Tokens:
      return static_cast<double>(aRequest.mPromptTokens + aRequest.mOutputTokens);
    case limit_unit::Bytes:
      return static_cast<double>(aRequest.mBody.size());
    case limit_unit::Requests:
      break;
  }
  return 1;
}

auto FitsAnyEndpoint(const caller_request& aRequest,
                     const std::vector<const endpoint_config*>& aEndpoints) -> bool
{
  const auto need = aRequest.mPromptTokens + aRequest.mOutputTokens;
  return std::any_of(aEndpoints.begin(), aEndpoints.end(), [&](const auto* aEndpoint) {
    return aEndpoint->mKind == service_kind::Plain || aEndpoint->mKvTokens >= need;
  });
}

} // namespace

auto HttpStatusOf(refusal aReason) -> std::uint32_t
{
  switch (aReason) {
    case refusal::InvalidRequest:
      return 400;
    case refusal::Unauthenticated:
      return 401;
    case refusal::Forbidden:
      return 403;
    case refusal::UnknownService:
      return 404;
    case refusal::KeyInProgress:
    case refusal::KeyAlreadyRun:
      return 409;
    case refusal::ServiceClosed:
    case refusal::ClosingSoon:
      return 410;
    case refusal::TooLarge:
      return 413;
    case refusal::LimitExceeded:
      return 429;
    case refusal::EndpointFailed:
    case refusal::OutcomeUnknown:
      return 502;
    case refusal::DeadlineExceeded:
      return 504;
    case refusal::Overloaded:
    case refusal::NoEndpoint:
    case refusal::ShuttingDown:
    case refusal::KeyOwnerUnreachable:
    case refusal::KeyUnknown:
      break;
  }
  return 503;
}

auto entry_node::state::RefuseUnaccepted(const caller_request& aRequest,
                                         refusal aReason,
                                         instant aNow) -> void
{
  const auto canRetry = aReason == refusal::ShuttingDown || aReason == refusal::NoEndpoint ||
                        aReason == refusal::Overloaded;
  const auto retryAfter =
    canRetry ? std::optional<duration>(std::chrono::seconds(1)) : std::nullopt;
  // An earlier attempt with the same key may have been executed. This cannot be checked here, since
  // the key's digest has not been computed yet.
  const auto mayHaveRun = !aRequest.mIdempotencyKey.empty() &&
                          (aReason == refusal::ShuttingDown || aReason == refusal::NoEndpoint ||
                           aReason == refusal::Overloaded || aReason == refusal::ServiceClosed);
  mActions.emplace_back(
    refuse_request{ .mExchange = aRequest.mExchange,
                    .mReason = aReason,
                    .mRunState = mayHaveRun ? run_state::Unknown : run_state::NotRun,
                    .mHttpStatus = HttpStatusOf(aReason),
                    .mRetryAfter = retryAfter,
                    .mDetail = {} });
  const auto name = kRefusalNames.NameOf(aReason);
  mMetrics.Counter("bronzering_entry_unaccepted_total", "reason=\"" + std::string(name) + "\"")
    .Add();
  mLog.Add(aNow, {}, name);
}

auto entry_node::state::CheckRequest(const caller_request& aRequest,
                                     const caller_directory::caller& aCaller,
                                     const service_config* aService,
                                     instant aNow) -> std::optional<refusal>
{
  if (aCaller.mCaller == nullptr) {
    return refusal::Unauthenticated;
  }
  if (aService == nullptr) {
    return refusal::UnknownService;
  }
  const auto& allowed = aCaller.mCaller->mServices;
  if (std::find(allowed.begin(), allowed.end(), aService->mName) == allowed.end()) {
    return refusal::Forbidden;
  }
  if (aService->mShutdown && *aService->mShutdown <= aNow.mWall) {
    return refusal::ServiceClosed;
  }
  if ((aRequest.mTimeout && *aRequest.mTimeout <= duration::zero()) ||
      aRequest.mIdempotencyKey.size() > kMaxIdempotencyKeyLength) {
    return refusal::InvalidRequest;
  }
  const auto& endpoints = mDirectory.EndpointsOf(aService->mName);
  if (endpoints.empty()) {
    return refusal::NoEndpoint;
  }
  if (!FitsAnyEndpoint(aRequest, endpoints)) {
    return refusal::TooLarge;
  }
  return std::nullopt;
}

auto entry_node::state::MakeRequest(caller_request aRequest,
                                    const caller_directory::caller& aCaller,
                                    const service_config& aService,
                                    instant aNow) -> std::unique_ptr<entry_request>
{
  auto request = std::make_unique<entry_request>();
  request->mId = MakeRequestId(mSettings.mIdentity.mIncarnation, aRequest.mExchange, 0);
  request->mOrganisation = aCaller.mOrganisation->mName;
  request->mTier = aCaller.mCaller->mTier;
  request->mService = aService.mName;
  request->mKind = aService.mKind;
  request->mIdempotent = aService.mIdempotent || aService.mKind == service_kind::Model;
  request->mDeprecation = aService.mDeprecation;
  request->mShutdown = aService.mShutdown;

  // The timeout is the caller's or, by default, that of the tier.
  auto timeout = duration(kDefaultTimeout);
  const auto& tiers = mDirectory.Config()->mTiers;
  if (const auto tier = tiers.find(request->mTier); tier != tiers.end()) {
    request->mRank = tier->second.mRank;
    if (tier->second.mDefaultTimeout > duration::zero()) {
      timeout = tier->second.mDefaultTimeout;
    }
  }
  timeout = std::min<duration>(aRequest.mTimeout.value_or(timeout), kMaxRequestTimeout);
  request->mArrived = aNow.mMonotonic;
  request->mDeadline = aNow.mMonotonic + timeout;

  // The idempotency key is only needed for services whose calls must not be repeated.
  if (!request->mIdempotent && !aRequest.mIdempotencyKey.empty()) {
    request->mKey = DigestKey(request->mOrganisation, aService.mName, aRequest.mIdempotencyKey);
    request->mKeyCreated = CreationTimeOf(aRequest.mIdempotencyKey);
  }
  request->mAnswer = answer_stream(mSettings.mAnswerWindowBytes);
  request->mCaller = std::move(aRequest);
  return request;
}

auto entry_node::state::ClosesBeforeCompletion(entry_request& aRequest, instant aNow) -> bool
{
  if (!aRequest.mShutdown) {
    return false;
  }
  const auto candidates = mAgents.Rank(mDirectory, mMembers, aRequest);
  if (candidates.empty()) {
    return false;
  }
  const auto soonest = std::min_element(
    candidates.begin(), candidates.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mCompletion < aRight.mCompletion;
    });
  return aNow.mWall + soonest->mCompletion > *aRequest.mShutdown;
}

auto entry_node::state::OnRequest(caller_request aRequest, instant aNow) -> void
{
  if (mDraining) {
    RefuseUnaccepted(aRequest, refusal::ShuttingDown, aNow);
    return;
  }
  if (mDirectory.Config() == nullptr) {
    RefuseUnaccepted(aRequest, refusal::NoEndpoint, aNow);
    return;
  }

  // Identify the caller and the service, and check the caller's permissions.
  const auto caller = mDirectory.FindCaller(aRequest.mTokenDigest);
  const auto* service = mDirectory.FindService(aRequest.mModel, aRequest.mTarget);
  if (const auto reason = CheckRequest(aRequest, caller, service, aNow)) {
    RefuseUnaccepted(aRequest, *reason, aNow);
    return;
  }
  auto request = MakeRequest(std::move(aRequest), caller, *service, aNow);
  Count("bronzering_entry_requests_total", *request);
  mRetryBudget.OnRequest(mDirectory.Config()->mRouting.mRetryRatio);

  // Register the request; from here on Refuse can be used.
  auto& accepted = *request;
  mExchanges.emplace(accepted.mCaller.mExchange, accepted.mId);
  mRequests.emplace(accepted.mId, std::move(request));
  if (ClosesBeforeCompletion(accepted, aNow)) {
    Refuse(accepted, refusal::ClosingSoon, std::nullopt, {}, aNow);
    return;
  }

  // Add the request to the waiting list, which may evict a request of a lower tier.
  const auto place = mWaiting.Offer(accepted.mId, accepted.mOrganisation, accepted.mRank);
  if (place.mEvicted) {
    Refuse(*FindRequest(*place.mEvicted),
           refusal::Overloaded,
           std::chrono::seconds(1),
           "evicted by a request of a higher tier",
           aNow);
  }
  if (!place.mAccepted) {
    Refuse(accepted,
           refusal::Overloaded,
           std::chrono::seconds(1),
           "too many requests are waiting",
           aNow);
    return;
  }
  SpendLimits(accepted, *service, aNow);
}

auto entry_node::state::SpendLimits(entry_request& aRequest,
                                    const service_config& aService,
                                    instant aNow) -> void
{
  auto needs = std::vector<spending>{};
  for (const auto* limit : mDirectory.LimitsFor(aService, aRequest.mOrganisation)) {
    needs.push_back({ limit->mName, AmountOf(*limit, aRequest.mCaller), {} });
  }
  SetTimer(aRequest);
  const auto id = aRequest.mId;
  if (auto spent = mLeases.Spend(id, aRequest.mRank, std::move(needs), aNow)) {
    OnLimitsResolved({ id, true, *std::move(spent), {} }, aNow);
  }
}

auto entry_node::state::OnLimitsResolved(limit_leases::resolution aResolution, instant aNow) -> void
{
  // The result of an agent's lease request that was forwarded to the owner of the budget.
  if (const auto forwarded = mForwardedLeases.find(aResolution.mRequest);
      forwarded != mForwardedLeases.end()) {
    auto reply = lease_grant{ forwarded->second.mRequest.mBudget, 0, aResolution.mRetryAfter };
    if (aResolution.mSpent) {
      reply.mAmount = forwarded->second.mRequest.mAmount;
      reply.mLifetime = aResolution.mSpendings.front().mExpires - aNow.mMonotonic;
    }
    Send(forwarded->second.mAgent, std::move(reply));
    mForwardedLeases.erase(forwarded);
    return;
  }

  auto* request = FindRequest(aResolution.mRequest);
  if (request == nullptr) {
    mLeases.Refund(aResolution.mSpendings, aNow);
    return;
  }
  if (!aResolution.mSpent) {
    const auto retryAfter = aResolution.mRetryAfter > duration::zero()
                              ? std::optional<duration>(aResolution.mRetryAfter)
                              : std::nullopt;
    Refuse(*request, refusal::LimitExceeded, retryAfter, {}, aNow);
    return;
  }
  request->mSpendings = std::move(aResolution.mSpendings);
  if (request->mLifecycle.Process(request_event::Admitted)) {
    Announce(*request, false, aNow);
  }
}

} // namespace bronzering
