#include <bronzering/dispatch/return_delay.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

auto ReturnDelay(std::optional<duration> aExpected, duration aTimeLeft, double aSpread) -> duration
{
  assert(aTimeLeft >= duration::zero() && aExpected.value_or(duration::zero()) >= duration::zero());
  const auto latest = FromSeconds(ToSeconds(aTimeLeft) * kMaxReturnShare);
  const auto isReachable = aExpected && *aExpected <= latest;
  const auto earliest = isReachable ? *aExpected : latest / 2;
  const auto end = isReachable ? std::min(earliest * 2, latest) : latest;
  return earliest + FromSeconds(ToSeconds(end - earliest) * aSpread);
}

} // namespace bronzering
