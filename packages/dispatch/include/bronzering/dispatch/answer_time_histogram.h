#pragma once

#include <bronzering/base/time.h>

#include <array>
#include <cstddef>

namespace bronzering {

/// Distribution of the times of recent answers, in buckets that grow by a twelfth. Each half-life
/// halves the weight of what was added before. Not thread-safe.
class answer_time_histogram
{
public:
  /// At one answer per second, the weight of all answers settles at about 90, which is enough for a
  /// 95th percentile.
  static constexpr auto kHalfLife = std::chrono::seconds(60);

  /// Precondition: aNow does not go back.
  auto Add(duration aTime, time_point aNow) -> void;
  /// Number of answers, with their weights as of the last one.
  [[nodiscard]] auto Weight() const -> double { return mTotal; }
  [[nodiscard]] auto LastAdded() const -> time_point { return mLastAdded; }
  /// Time that the share of the answers does not exceed, rounded up to the end of its bucket.
  /// Preconditions: Weight() > 0, 0 < aShare < 1.
  [[nodiscard]] auto Quantile(double aShare) const -> duration;
  /// Median time of the answers that take longer than aElapsed. Where none is known, an answer is
  /// expected to take as long again.
  [[nodiscard]] auto MedianBeyond(duration aElapsed) const -> duration;

private:
  static constexpr auto kBucketsPerDoubling = 8;
  /// From 100 microseconds to about 105 seconds.
  static constexpr auto kShortest = duration(100);
  static constexpr auto kBucketCount = std::size_t{ 20 } * kBucketsPerDoubling;

  [[nodiscard]] static auto BucketOf(duration aTime) -> std::size_t;
  [[nodiscard]] static auto UpperBound(std::size_t aBucket) -> duration;
  auto Decay(time_point aNow) -> void;

  std::array<float, kBucketCount> mWeights = {};
  double mTotal = 0;
  time_point mDecayed;
  time_point mLastAdded;
};

} // namespace bronzering
