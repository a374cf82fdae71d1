#include <bronzering/dispatch/fleet_retry_budget.h>

#include <cassert>

namespace bronzering {

auto fleet_retry_budget::OnRequest(time_point aNow) -> void
{
  RemoveExpired(aNow);
  mRequests.push_back(aNow);
}

auto fleet_retry_budget::TryTake(std::size_t aEntries, time_point aNow) -> bool
{
  assert(aEntries > 0);
  RemoveExpired(aNow);
  const auto allowed = mLimits.mRatio * static_cast<double>(mRequests.size()) +
                       mLimits.mExtraRetries / static_cast<double>(aEntries);
  if (static_cast<double>(mRetries.size()) + 1 > allowed) {
    return false;
  }
  mRetries.push_back(aNow);
  return true;
}

auto fleet_retry_budget::IsIdle(time_point aNow) const -> bool
{
  const auto isOver = [this, aNow](const std::deque<time_point>& aTimes) {
    return aTimes.empty() || aNow - aTimes.back() > mLimits.mWindow;
  };
  return isOver(mRequests) && isOver(mRetries);
}

auto fleet_retry_budget::RemoveExpired(time_point aNow) -> void
{
  while (!mRequests.empty() && aNow - mRequests.front() > mLimits.mWindow) {
    mRequests.pop_front();
  }
  while (!mRetries.empty() && aNow - mRetries.front() > mLimits.mWindow) {
    mRetries.pop_front();
  }
}

} // namespace bronzering
