#include <bronzering/base/metrics.h>

#include <cassert>
#include <cmath>
#include <sstream>

namespace bronzering {

namespace {

constexpr auto kFirstBoundSeconds = 0.0001;

auto WriteSeries(std::ostream& aOut, std::string_view aName, std::string_view aLabels)
  -> std::ostream&
{
  aOut << aName;
  if (!aLabels.empty()) {
    aOut << '{' << aLabels << '}';
  }
  return aOut << ' ';
}

auto RenderHistogram(std::ostream& aOut,
                     const std::string& aName,
                     const std::string& aLabels,
                     const histogram& aHistogram) -> void
{
  const auto prefix = aLabels.empty() ? std::string{} : aLabels + ",";
  auto total = std::uint64_t{ 0 };
  for (auto bucket = std::size_t{ 0 }; bucket < histogram::kBucketCount; ++bucket) {
    total += aHistogram.CountIn(bucket);
    auto bound = std::ostringstream{};
    bound << prefix << "le=\"" << histogram::UpperBound(bucket) << '"';
    WriteSeries(aOut, aName + "_bucket", bound.str()) << total << '\n';
  }
  total += aHistogram.CountIn(histogram::kBucketCount);
  WriteSeries(aOut, aName + "_bucket", prefix + "le=\"+Inf\"") << total << '\n';
  WriteSeries(aOut, aName + "_sum", aLabels) << aHistogram.Sum() << '\n';
  WriteSeries(aOut, aName + "_count", aLabels) << total << '\n';
}

} // namespace

auto histogram::UpperBound(std::size_t aBucket) -> double
{
  assert(aBucket < kBucketCount);
  return std::ldexp(kFirstBoundSeconds, static_cast<int>(aBucket));
}

auto histogram::Observe(double aSeconds) -> void
{
  auto bucket = std::size_t{ 0 };
  while (bucket < kBucketCount && aSeconds > UpperBound(bucket)) {
    ++bucket;
  }
  mCounts[bucket].fetch_add(1, std::memory_order_relaxed);
  mSumMicroseconds.fetch_add(static_cast<std::uint64_t>(std::max(0.0, aSeconds) * 1e6),
                             std::memory_order_relaxed);
}

auto histogram::CountIn(std::size_t aBucket) const -> std::uint64_t
{
  assert(aBucket <= kBucketCount);
  return mCounts[aBucket].load(std::memory_order_relaxed);
}

auto histogram::Sum() const -> double
{
  return static_cast<double>(mSumMicroseconds.load(std::memory_order_relaxed)) / 1e6;
}

template<class Metric>
auto metrics_registry::Find(families<Metric>& aFamilies,
                            std::string_view aName,
                            std::string_view aLabels) -> Metric&
{
  const auto lock = std::lock_guard(mMutex);
  auto& metric = aFamilies[std::string(aName)][std::string(aLabels)];
  if (!metric) {
    metric = std::make_unique<Metric>();
  }
  return *metric;
}

auto metrics_registry::Counter(std::string_view aName, std::string_view aLabels) -> counter&
{
  return Find(mCounters, aName, aLabels);
}

auto metrics_registry::Gauge(std::string_view aName, std::string_view aLabels) -> gauge&
{
  return Find(mGauges, aName, aLabels);
}

auto metrics_registry::Histogram(std::string_view aName, std::string_view aLabels) -> histogram&
{
  return Find(mHistograms, aName, aLabels);
}

auto metrics_registry::Render() const -> std::string
{
  const auto lock = std::lock_guard(mMutex);
  auto out = std::ostringstream{};
  for (const auto& [name, seriesByLabels] : mCounters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, metric] : seriesByLabels) {
      WriteSeries(out, name, labels) << metric->Value() << '\n';
    }
  }
  for (const auto& [name, seriesByLabels] : mGauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, metric] : seriesByLabels) {
      WriteSeries(out, name, labels) << metric->Value() << '\n';
    }
  }
  for (const auto& [name, seriesByLabels] : mHistograms) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [labels, metric] : seriesByLabels) {
      RenderHistogram(out, name, labels, *metric);
    }
  }
  return out.str();
}

} // namespace bronzering
