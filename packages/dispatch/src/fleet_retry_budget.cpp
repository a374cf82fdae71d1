#include <bronzering/dispatch/fleet_retry_budget.h>

#include <cassert>

namespace bronzering {

auto fleet_retry_budget::OnRequest(time_point aNow) -> void
{
  Forget(aNow);
  mRequests.push_back(aNow);
}

auto fleet_retry_budget::TryTake(std::size_t aEntries, time_point aNow) -> bool
{
  assert(aEntries > 0);
  Forget(aNow);
  const auto allowed = mLimits.mRatio * static_cast<double>(mRequests.size()) +
                       mLimits.mExtra / static_cast<double>(aEntries);
  if (static_cast<double>(mRepeats.size()) + 1 > allowed) {
    return false;
  }
  mRepeats.push_back(aNow);
  return true;
}

auto fleet_retry_budget::Forget(time_point aNow) -> void
{
  while (!mRequests.empty() && aNow - mRequests.front() > mLimits.mWindow) {
    mRequests.pop_front();
  }
  while (!mRepeats.empty() && aNow - mRepeats.front() > mLimits.mWindow) {
    mRepeats.pop_front();
  }
}

} // namespace bronzering
