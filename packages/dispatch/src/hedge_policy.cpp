#include <bronzering/dispatch/hedge_policy.h>

#include <algorithm>
#include <bit>
#include <cassert>

namespace bronzering {

namespace {

/// Weight of one result in the moving average of the share of hedges that win, 0 to 1. About 20
/// hedges that don't win stop the hedging of a service.
constexpr auto kResultWeight = 0.05;
/// Prompt tokens that an engine processes in the time of one generated token, about 4 ms to 20
/// microseconds.
constexpr auto kPromptTokensPerOutputToken = 200U;

} // namespace

auto HedgeClassOf(std::string aService, std::string aRoute, const token_work& aWork, bool aIsStream)
  -> hedge_class
{
  const auto size =
    aWork.mPromptTokens + (aIsStream ? 0 : kPromptTokensPerOutputToken * aWork.mOutputTokens);
  return { std::move(aService),
           std::move(aRoute),
           static_cast<std::uint32_t>(std::bit_width(size)),
           aIsStream };
}

hedge_policy::hedge_policy(double aPercent)
  // Rounded down, but for the error of the binary representation.
  : mShare(static_cast<std::int64_t>(aPercent * 100 + 1e-6))
{
  assert(aPercent >= 0 && aPercent <= 100);
}

auto hedge_policy::RetainServices(const std::vector<service_spec>& aServices) -> void
{
  const auto isListed = [&aServices](const std::string& aName) {
    return std::any_of(aServices.begin(), aServices.end(), [&](const service_spec& aService) {
      return aService.mName == aName;
    });
  };
  std::erase_if(mServices, [&](const auto& aEntry) { return !isListed(aEntry.first); });
  std::erase_if(mHistograms, [&](const auto& aEntry) { return !isListed(aEntry.first.mService); });
}

auto hedge_policy::OnRequest(std::string_view aService) -> void
{
  auto& credit = StateOf(aService).mCredit;
  credit = std::min(credit + mShare, kMaxSavedHedges * kUnitsPerHedge);
}

auto hedge_policy::OnShortage(std::string_view aService, time_point aNow) -> void
{
  StateOf(aService).mLastShortage = aNow;
}

auto hedge_policy::OnAnswer(const hedge_class& aClass, duration aTime, time_point aNow) -> void
{
  HistogramOf(aClass).Add(aTime, aNow);
}

auto hedge_policy::OnCancelled(const hedge_class& aClass, duration aElapsed, time_point aNow)
  -> duration
{
  auto& histogram = HistogramOf(aClass);
  const auto estimate = histogram.MedianBeyond(aElapsed);
  histogram.Add(estimate, aNow);
  return estimate;
}

auto hedge_policy::DelayOf(const hedge_class& aClass) const -> std::optional<duration>
{
  const auto found = mHistograms.find(aClass);
  if (found == mHistograms.end() || found->second.Weight() < kMinAnswers) {
    return std::nullopt;
  }
  return found->second.Quantile(kPercentile);
}

auto hedge_policy::MayHedge(const hedge_class& aClass, duration aElapsed, time_point aNow) const
  -> bool
{
  const auto found = mServices.find(aClass.mService);
  if (found == mServices.end() || found->second.mCredit < kUnitsPerHedge) {
    return false;
  }
  const auto& service = found->second;
  if (service.mLastShortage && aNow - *service.mLastShortage < kShortageTime) {
    return false;
  }
  if (service.mWinShare < kMinWinShare && service.mLastHedge &&
      aNow - *service.mLastHedge < kTrialInterval) {
    return false;
  }
  const auto delay = DelayOf(aClass);
  return delay && aElapsed >= *delay;
}

auto hedge_policy::ChooseEndpoint(const dispatch_queue& aQueue,
                                  dispatch_ticket aTicket,
                                  const hedge_class& aClass,
                                  duration aElapsed,
                                  time_point aNow) const -> std::optional<endpoint_table::choice>
{
  const auto found = mHistograms.find(aClass);
  if (found == mHistograms.end() || !MayHedge(aClass, aElapsed, aNow) ||
      aQueue.HasWaiting(aClass.mService)) {
    return std::nullopt;
  }
  aTicket.mNeedsFreeSlot = true;
  auto other = aQueue.Preview(aTicket, aNow);
  if (!other) {
    return std::nullopt;
  }
  const auto expected = aClass.mIsStream ? other->mExpected.mFirstEvent : other->mExpected.mEnd;
  return aElapsed + expected < found->second.MedianBeyond(aElapsed) ? other : std::nullopt;
}

auto hedge_policy::OnHedge(std::string_view aService, time_point aNow) -> void
{
  auto& service = StateOf(aService);
  assert(service.mCredit >= kUnitsPerHedge);
  service.mCredit -= kUnitsPerHedge;
  service.mLastHedge = aNow;
}

auto hedge_policy::OnResult(std::string_view aService, second_attempt_result aResult) -> void
{
  // A caller that leaves says nothing about the two attempts.
  if (aResult == second_attempt_result::Abandoned) {
    return;
  }
  auto& share = StateOf(aService).mWinShare;
  share += kResultWeight * ((aResult == second_attempt_result::Won ? 1 : 0) - share);
}

auto hedge_policy::HistogramOf(const hedge_class& aClass) -> answer_time_histogram&
{
  if (const auto found = mHistograms.find(aClass); found != mHistograms.end()) {
    return found->second;
  }
  if (mHistograms.size() >= kMaxClasses) {
    mHistograms.erase(std::min_element(
      mHistograms.begin(), mHistograms.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.LastAdded() < aRight.second.LastAdded();
      }));
  }
  return mHistograms[aClass];
}

auto hedge_policy::StateOf(std::string_view aService) -> service_state&
{
  const auto found = mServices.find(aService);
  return found != mServices.end() ? found->second : mServices[std::string(aService)];
}

} // namespace bronzering
