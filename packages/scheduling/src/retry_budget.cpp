#include <bronzering/scheduling/retry_budget.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

constexpr auto kInitialBackoff = std::chrono::milliseconds(10);
constexpr auto kMaxBackoff = std::chrono::seconds(1);
/// kInitialBackoff doubled this often exceeds kMaxBackoff.
constexpr auto kMaxDoublings = 7U;

} // namespace

auto retry_budget::OnRequest(double aRetryRatio) -> void
{
  mAllowance = std::min(kMaxAllowance, mAllowance + std::max(0.0, aRetryRatio));
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
  const auto bound = std::min<duration>(kInitialBackoff * (1U << doublings), kMaxBackoff);
  return FromSeconds(ToSeconds(bound) * aRandom.Uniform01());
}

} // namespace bronzering
