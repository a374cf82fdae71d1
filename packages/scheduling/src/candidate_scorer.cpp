#include <bronzering/scheduling/candidate_scorer.h>

#include <algorithm>

namespace bronzering {

namespace {

/// Estimates beyond this say no more than "overloaded" and must not overflow in sums.
constexpr auto kLongestEstimateSeconds = 3600.0;

auto Bounded(double aSeconds) -> duration
{
  return FromSeconds(std::clamp(aSeconds, 0.0, kLongestEstimateSeconds));
}

auto HasRoom(const candidate_load& aLoad, const request_demand& aNeed) -> bool
{
  if (aLoad.mQueuedCostAhead > 0 || aLoad.mFreeSlots <= aLoad.mOutstandingRequests) {
    return false;
  }
  return aLoad.mKind == service_kind::Plain ||
         aLoad.mFreeKvTokens >= aLoad.mOutstandingCost + aNeed.mPromptTokens + aNeed.mOutputTokens;
}

auto PrefillTime(const candidate_load& aLoad, const request_demand& aNeed) -> duration
{
  if (aLoad.mKind == service_kind::Plain || aLoad.mPrefillTokensPerSecond <= 0) {
    return duration::zero();
  }
  const auto cached = std::min(aNeed.mCachedTokens, aNeed.mPromptTokens);
  return Bounded(static_cast<double>(aNeed.mPromptTokens - cached) / aLoad.mPrefillTokensPerSecond);
}

} // namespace

auto ExpectedWait(const candidate_load& aLoad, const request_demand& aNeed) -> duration
{
  if (HasRoom(aLoad, aNeed)) {
    return duration::zero();
  }
  // An engine serves one token per running request and step; a plain endpoint one request per slot
  // and service time.
  const auto step = std::max(ToSeconds(aLoad.mStepTime), 1e-6);
  const auto width = std::max<double>(1, static_cast<double>(aLoad.mRunning));
  const auto ahead = static_cast<double>(aLoad.mQueuedCostAhead + aLoad.mOutstandingCost) + 1;
  return Bounded(ahead * step / width);
}

auto ScoreCandidate(const candidate_load& aLoad, const request_demand& aNeed) -> duration
{
  return ExpectedWait(aLoad, aNeed) + PrefillTime(aLoad, aNeed) + aLoad.mNetworkDelay;
}

auto EstimateCompletion(const candidate_load& aLoad, const request_demand& aNeed) -> duration
{
  const auto steps = aLoad.mKind == service_kind::Plain ? 1 : aNeed.mOutputTokens;
  return ScoreCandidate(aLoad, aNeed) +
         Bounded(static_cast<double>(steps) * ToSeconds(aLoad.mStepTime));
}

} // namespace bronzering
