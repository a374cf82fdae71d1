#include <bronzering/scheduling/retry_budget.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

constexpr auto kFirstBackoff = std::chrono::milliseconds(10);
constexpr auto kLongestBackoff = std::chrono::seconds(1);
/// 10 ms doubled this often exceeds the longest backoff.
constexpr auto kMaxDoublings = 7U;

} // namespace

auto retry_budget::OnRequest(double aRatio) -> void
{
  mAllowance = std::min(kMaxAllowance, mAllowance + std::max(0.0, aRatio));
}

auto retry_budget::TryTake() -> bool
{
  if (mAllowance < 1) {
    return false;
  }
  mAllowance -= 1;
  return true;
}

auto JitteredBackoff(std::uint32_t aAttempt, random_source& aRandom) -> duration
{
  assert(aAttempt > 0);
  const auto doublings = std::min(aAttempt - 1, kMaxDoublings);
  const auto bound = std::min<duration>(kFirstBackoff * (1U << doublings), kLongestBackoff);
  return FromSeconds(ToSeconds(bound) * aRandom.Uniform01());
}

} // namespace bronzering
