#pragma once

#include <bronzering/base/time.h>

#include <cstdint>

namespace bronzering {

/// Measured speed of an engine: prefill tokens per second, and step time as an affine function of
/// the batch size, fitted by least squares over recent samples. When samples stop, the estimates
/// decay to the configured values, so that an engine that was slow is used again. Owned by the
/// agent's control thread; not thread-safe.
class engine_rate_estimator
{
public:
  engine_rate_estimator(double aPrefillTokensPerSecond,
                        duration aStepTime,
                        std::uint32_t aMaxBatch);

  /// Adds the interval between two tokens of one request as a sample. Precondition: aBatch > 0.
  auto AddStepSample(std::uint32_t aBatch, duration aStepTime, time_point aNow) -> void;
  /// Adds the time taken to process aTokens uncached prompt tokens as a sample.
  auto AddPrefillSample(std::uint64_t aTokens, duration aElapsed, time_point aNow) -> void;

  [[nodiscard]] auto PrefillTokensPerSecond(time_point aNow) const -> double;
  [[nodiscard]] auto StepTime(std::uint32_t aBatch, time_point aNow) const -> duration;
  /// 95th percentile of the step time.
  [[nodiscard]] auto StepTimeP95(std::uint32_t aBatch, time_point aNow) const -> duration;

private:
  [[nodiscard]] auto ConfiguredStepTime(double aBatch) const -> double;

  double mConfiguredPrefill;
  double mConfiguredStep;
  std::uint32_t mMaxBatch;
  double mPrefillSecondsPerToken;
  time_point mLastPrefill;
  time_point mLastStep;

  // Exponentially weighted sums over samples of batch size b and step time t in seconds.
  double mWeight = 0;
  double mSumB = 0;
  double mSumT = 0;
  double mSumBb = 0;
  double mSumBt = 0;
  double mSumTt = 0;
};

} // namespace bronzering
