#include <bronzering/dispatch/answer_time_histogram.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace bronzering {

namespace {

/// Beyond a time, less weight than that of one recent answer says nothing.
constexpr auto kMinWeightBeyond = 1.0;

} // namespace

auto answer_time_histogram::Add(duration aTime, time_point aNow) -> void
{
  Decay(aNow);
  mWeights[BucketOf(aTime)] += 1;
  mTotal += 1;
  mLastAdded = aNow;
}

auto answer_time_histogram::Quantile(double aShare) const -> duration
{
  assert(mTotal > 0 && aShare > 0 && aShare < 1);
  auto left = aShare * mTotal;
  for (auto bucket = std::size_t{ 0 }; bucket < kBucketCount; ++bucket) {
    left -= mWeights[bucket];
    if (left <= 0) {
      return UpperBound(bucket);
    }
  }
  return UpperBound(kBucketCount - 1);
}

auto answer_time_histogram::MedianBeyond(duration aElapsed) const -> duration
{
  const auto first = BucketOf(aElapsed) + 1;
  const auto begin = mWeights.begin() + static_cast<std::ptrdiff_t>(std::min(first, kBucketCount));
  const auto beyond = std::accumulate(begin, mWeights.end(), 0.0);
  if (beyond < kMinWeightBeyond) {
    return aElapsed * 2;
  }
  auto left = beyond / 2;
  auto bucket = first;
  while (bucket + 1 < kBucketCount && (left -= mWeights[bucket]) > 0) {
    ++bucket;
  }
  return UpperBound(bucket);
}

auto answer_time_histogram::BucketOf(duration aTime) -> std::size_t
{
  const auto ratio = ToSeconds(aTime) / ToSeconds(kShortest);
  if (ratio <= 1) {
    return 0;
  }
  const auto bucket = static_cast<std::size_t>(std::log2(ratio) * kBucketsPerDoubling);
  return std::min(bucket, kBucketCount - 1);
}

auto answer_time_histogram::UpperBound(std::size_t aBucket) -> duration
{
  const auto doublings = static_cast<double>(aBucket + 1) / kBucketsPerDoubling;
  return FromSeconds(ToSeconds(kShortest) * std::exp2(doublings));
}

auto answer_time_histogram::Decay(time_point aNow) -> void
{
  if (mTotal == 0) {
    mDecayed = aNow;
    return;
  }
  const auto halvings = (aNow - mDecayed) / duration(kHalfLife);
  if (halvings <= 0) {
    return;
  }
  mDecayed += duration(kHalfLife) * halvings;
  const auto factor = std::exp2(-static_cast<double>(halvings));
  mTotal = 0;
  for (auto& weight : mWeights) {
    weight = static_cast<float>(weight * factor);
    mTotal += weight;
  }
}

} // namespace bronzering
