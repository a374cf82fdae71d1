#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace bronzering {

/// Monotonically increasing count. Thread-safe.
class counter
{
public:
  auto Add(std::uint64_t aAmount = 1) -> void
  {
    mValue.fetch_add(aAmount, std::memory_order_relaxed);
  }
  [[nodiscard]] auto Value() const -> std::uint64_t
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> mValue = 0;
};

/// A value that can rise and fall. Thread-safe.
class gauge
{
public:
  auto Set(std::int64_t aValue) -> void { mValue.store(aValue, std::memory_order_relaxed); }
  auto Add(std::int64_t aAmount) -> void { mValue.fetch_add(aAmount, std::memory_order_relaxed); }
  [[nodiscard]] auto Value() const -> std::int64_t
  {
    return mValue.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> mValue = 0;
};

/// Distribution of durations in seconds over buckets that double from 100 microseconds to about
/// 52 seconds. Thread-safe.
class histogram
{
public:
  /// Number of buckets with an upper bound; one more counts the longer durations.
  static constexpr std::size_t kBucketCount = 20;

  auto Observe(double aSeconds) -> void;
  /// Upper bound of a bucket in seconds. Precondition: aBucket < kBucketCount.
  [[nodiscard]] static auto UpperBound(std::size_t aBucket) -> double;
  /// Number of observations in one bucket, not cumulative; index kBucketCount counts those above
  /// the last bound.
  [[nodiscard]] auto CountIn(std::size_t aBucket) const -> std::uint64_t;
  [[nodiscard]] auto Sum() const -> double;

private:
  std::array<std::atomic<std::uint64_t>, kBucketCount + 1> mCounts = {};
  std::atomic<std::uint64_t> mSumMicroseconds = 0;
};

/// The metrics of one process by name and labels. Returned references stay valid for the lifetime
/// of the registry. Labels have the syntax of the Prometheus text format:
/// tier="gold",service="lamps". Thread-safe.
class metrics_registry
{
public:
  [[nodiscard]] auto Counter(std::string_view aName, std::string_view aLabels = {}) -> counter&;
  [[nodiscard]] auto Gauge(std::string_view aName, std::string_view aLabels = {}) -> gauge&;
  [[nodiscard]] auto Histogram(std::string_view aName, std::string_view aLabels = {}) -> histogram&;

  /// All metrics in the Prometheus text format, sorted by name.
  [[nodiscard]] auto Render() const -> std::string;

private:
  /// All metrics of one name, by labels.
  template<class Metric>
  using family = std::map<std::string, std::unique_ptr<Metric>, std::less<>>;
  /// Families by metric name.
  template<class Metric>
  using families = std::map<std::string, family<Metric>, std::less<>>;

  template<class Metric>
  auto Find(families<Metric>& aFamilies, std::string_view aName, std::string_view aLabels)
    -> Metric&;

  mutable std::mutex mMutex;
  families<counter> mCounters;
  families<gauge> mGauges;
  families<histogram> mHistograms;
};

} // namespace bronzering
