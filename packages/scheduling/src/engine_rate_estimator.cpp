#include <bronzering/scheduling/engine_rate_estimator.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bronzering {

namespace {

/// Decay of the weight of a step sample with each newer one: an effective window of about 50
/// samples, less than a second at typical token rates.
constexpr auto kStepSampleDecay = 0.98;
/// Weight of a new prefill sample in the moving average.
constexpr auto kPrefillSampleWeight = 0.25;
/// Measurements are used unchanged for this long. After that, the difference from the configured
/// value is halved every kRecoveryHalfLifeSeconds.
constexpr auto kFullWeightPeriod = std::chrono::seconds(2);
constexpr auto kRecoveryHalfLifeSeconds = 2.0;
/// Assumed relative growth of the step time from a batch of one to the largest, used until samples
/// are available.
constexpr auto kConfiguredStepGrowth = 0.5;
/// Minimum variance of the batch size, in requests squared, from which a slope is fitted.
constexpr auto kMinBatchVariance = 0.5;
/// Lower bound of configured, sampled and fitted step times. Keeps the estimates positive.
constexpr auto kMinStepSeconds = 1e-5;

auto MeasurementWeight(time_point aMeasuredAt, time_point aNow) -> double
{
  const auto age = ToSeconds(aNow - aMeasuredAt - kFullWeightPeriod);
  return age <= 0 ? 1.0 : std::exp2(-age / kRecoveryHalfLifeSeconds);
}

} // namespace

engine_rate_estimator::engine_rate_estimator(double aPrefillTokensPerSecond,
                                             duration aStepTime,
                                             std::uint32_t aMaxBatch)
  : mConfiguredPrefill(std::max(1.0, aPrefillTokensPerSecond))
  , mConfiguredStep(std::max(kMinStepSeconds, ToSeconds(aStepTime)))
  , mMaxBatch(std::max(2U, aMaxBatch))
  , mPrefillSecondsPerToken(1 / mConfiguredPrefill)
{
}

auto engine_rate_estimator::ConfiguredStepTime(double aBatch) const -> double
{
  return mConfiguredStep * (1 + kConfiguredStepGrowth * (aBatch - 1) / (mMaxBatch - 1));
}

auto engine_rate_estimator::AddStepSample(std::uint32_t aBatch, duration aStepTime, time_point aNow)
  -> void
{
  assert(aBatch > 0);
  const auto batch = static_cast<double>(aBatch);
  const auto seconds = std::max(kMinStepSeconds, ToSeconds(aStepTime));
  for (auto* sum : { &mWeight, &mSumB, &mSumT, &mSumBb, &mSumBt, &mSumTt }) {
    *sum *= kStepSampleDecay;
  }
  mWeight += 1;
  mSumB += batch;
  mSumT += seconds;
  mSumBb += batch * batch;
  mSumBt += batch * seconds;
  mSumTt += seconds * seconds;
  mLastStep = aNow;
}

auto engine_rate_estimator::AddPrefillSample(std::uint64_t aTokens,
                                             duration aElapsed,
                                             time_point aNow) -> void
{
  // With very short prompts the step time dominates the measurement.
  constexpr auto kMinPrefillTokens = 32U;
  if (aTokens < kMinPrefillTokens || aElapsed <= duration::zero()) {
    return;
  }
  const auto sample = ToSeconds(aElapsed) / static_cast<double>(aTokens);
  mPrefillSecondsPerToken += kPrefillSampleWeight * (sample - mPrefillSecondsPerToken);
  mLastPrefill = aNow;
}

auto engine_rate_estimator::PrefillTokensPerSecond(time_point aNow) const -> double
{
  const auto share = MeasurementWeight(mLastPrefill, aNow);
  return 1 / (share * mPrefillSecondsPerToken + (1 - share) / mConfiguredPrefill);
}

auto engine_rate_estimator::StepTime(std::uint32_t aBatch, time_point aNow) const -> duration
{
  const auto batch = static_cast<double>(std::max(1U, aBatch));
  const auto configured = ConfiguredStepTime(batch);
  if (mWeight <= 0) {
    return FromSeconds(configured);
  }

  // Fit a line through the samples. If the batch sizes vary too little, scale the configured line
  // to the mean of the samples.
  const auto meanB = mSumB / mWeight;
  const auto meanT = mSumT / mWeight;
  const auto variance = mSumBb / mWeight - meanB * meanB;
  auto measured = configured * meanT / ConfiguredStepTime(meanB);
  if (variance >= kMinBatchVariance) {
    const auto slope = (mSumBt / mWeight - meanB * meanT) / variance;
    measured = meanT + std::max(0.0, slope) * (batch - meanB);
  }
  measured = std::max(kMinStepSeconds, measured);

  const auto share = MeasurementWeight(mLastStep, aNow);
  return FromSeconds(share * measured + (1 - share) * configured);
}

auto engine_rate_estimator::StepTimeP95(std::uint32_t aBatch, time_point aNow) const -> duration
{
  // 1.65 standard deviations above the mean is the 95th percentile of a normal distribution. Steps
  // with prefill take longer than those without, so a target for the 95th percentile cannot be
  // checked against the mean.
  constexpr auto kP95Deviations = 1.65;
  if (mWeight <= 0) {
    return StepTime(aBatch, aNow);
  }
  const auto meanT = mSumT / mWeight;
  const auto deviation = std::sqrt(std::max(0.0, mSumTt / mWeight - meanT * meanT));
  return StepTime(aBatch, aNow) +
         FromSeconds(MeasurementWeight(mLastStep, aNow) * kP95Deviations * deviation);
}

} // namespace bronzering
