#include <bronzering/dispatch/memory_budget.h>

#include <cassert>
#include <utility>

namespace bronzering {

memory_budget::memory_budget(std::size_t aLimit)
  : mLimit(aLimit)
{
}

auto memory_budget::TryTake(std::size_t aBytes, std::size_t aTotal) -> bool
{
  assert(aBytes <= aTotal);
  const auto forSmall = static_cast<std::size_t>(static_cast<double>(mLimit) * kSmallShare);
  const auto usable = aTotal <= kSmallBytes ? mLimit : mLimit - forSmall;
  if (mLimit > 0 && (aBytes > usable || mHeld > usable - aBytes)) {
    return false;
  }
  mHeld += aBytes;
  return true;
}

auto memory_budget::Return(std::size_t aBytes) -> void
{
  assert(aBytes <= mHeld);
  mHeld -= aBytes;
}

memory_reservation::memory_reservation(memory_reservation&& aOther) noexcept
  : mBudget(aOther.mBudget)
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

auto memory_reservation::operator=(memory_reservation&& aOther) noexcept -> memory_reservation&
{
  if (this != &aOther) {
    Release();
    mBudget = aOther.mBudget;
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

auto memory_reservation::TryResize(std::size_t aBytes) -> bool
{
  if (aBytes > mBytes && !mBudget->TryTake(aBytes - mBytes, aBytes)) {
    return false;
  }
  if (aBytes < mBytes) {
    mBudget->Return(mBytes - aBytes);
  }
  mBytes = aBytes;
  return true;
}

auto memory_reservation::Release() -> void
{
  mBudget->Return(std::exchange(mBytes, 0));
}

} // namespace bronzering
