#include <bronzering/scheduling/candidate_scorer.h>

#include <algorithm>

namespace bronzering {

namespace {

/// Longer estimates are clamped: they do not distinguish overloaded agents any further, and their
/// sums must not overflow.
constexpr auto kMaxEstimateSeconds = 3600.0;

auto ClampEstimate(double aSeconds) -> duration
{
  return FromSeconds(std::clamp(aSeconds, 0.0, kMaxEstimateSeconds));
}

auto HasCapacity(const candidate_load& aLoad, const request_demand& aDemand) -> bool
{
  if (aLoad.mQueuedCostAhead > 0 || aLoad.mFreeSlots <= aLoad.mOutstandingRequests) {
    return false;
  }
  return aLoad.mKind == service_kind::Plain || aLoad.mFreeKvTokens >= aLoad.mOutstandingCost +
                                                                        aDemand.mPromptTokens +
                                                                        aDemand.mOutputTokens;
}

auto PrefillTime(const candidate_load& aLoad, const request_demand& aDemand) -> duration
{
  if (aLoad.mKind == service_kind::Plain || aLoad.mPrefillTokensPerSecond <= 0) {
    return duration::zero();
  }
  const auto cached = std::min(aDemand.mCachedTokens, aDemand.mPromptTokens);
  return ClampEstimate(static_cast<double>(aDemand.mPromptTokens - cached) /
                       aLoad.mPrefillTokensPerSecond);
}

} // namespace

auto ExpectedWait(const candidate_load& aLoad, const request_demand& aDemand) -> duration
{
  if (HasCapacity(aLoad, aDemand)) {
    return duration::zero();
  }
  // An engine generates one token per running request in each step; a plain endpoint serves one
  // request per running request in each service time.
  const auto step = std::max(ToSeconds(aLoad.mStepTime), 1e-6);
  const auto batchSize = std::max<double>(1, static_cast<double>(aLoad.mRunning));
  const auto costAhead = static_cast<double>(aLoad.mQueuedCostAhead + aLoad.mOutstandingCost) + 1;
  return ClampEstimate(costAhead * step / batchSize);
}

auto ScoreCandidate(const candidate_load& aLoad, const request_demand& aDemand) -> duration
{
  return ExpectedWait(aLoad, aDemand) + PrefillTime(aLoad, aDemand) + aLoad.mNetworkDelay;
}

auto EstimateCompletion(const candidate_load& aLoad, const request_demand& aDemand) -> duration
{
  const auto steps = aLoad.mKind == service_kind::Plain ? 1 : aDemand.mOutputTokens;
  return ScoreCandidate(aLoad, aDemand) +
         ClampEstimate(static_cast<double>(steps) * ToSeconds(aLoad.mStepTime));
}

} // namespace bronzering
