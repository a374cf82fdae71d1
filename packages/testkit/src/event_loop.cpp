#include <bronzering/testkit/event_loop.h>

#include <algorithm>
#include <utility>

namespace bronzering::testkit {

auto event_loop::At(time_point aWhen, callback aCallback) -> void
{
  mEvents.push({ std::max(aWhen, mNow), mNextSequence++, std::move(aCallback) });
}

auto event_loop::Instant() const -> instant
{
  using namespace std::chrono_literals;
  constexpr auto kStart = std::chrono::sys_days{ std::chrono::year{ 2027 } / 1 / 1 };
  return { mNow, kStart + mNow.time_since_epoch() };
}

auto event_loop::RunUntil(time_point aEnd) -> void
{
  while (!mEvents.empty() && mEvents.top().mWhen <= aEnd) {
    // The callback may add events, so the event is removed from the queue before the call. Moving
    // from the const top() is safe, because pop() removes the element before the order matters.
    auto next = std::move(const_cast<event&>(mEvents.top()));
    mEvents.pop();
    mNow = next.mWhen;
    next.mCallback();
  }
  mNow = std::max(mNow, aEnd);
}

} // namespace bronzering::testkit
