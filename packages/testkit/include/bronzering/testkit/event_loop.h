#pragma once

#include <bronzering/base/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace bronzering::testkit {

/// Runs callbacks in virtual time, in order of their time and, at equal times, in the order they
/// were added. Not thread-safe.
class event_loop
{
public:
  using callback = std::function<void()>;

  /// Precondition: aWhen is not in the past; an earlier time is treated as now.
  auto At(time_point aWhen, callback aCallback) -> void;
  auto After(duration aDelay, callback aCallback) -> void
  {
    At(mNow + aDelay, std::move(aCallback));
  }

  [[nodiscard]] auto Now() const -> time_point { return mNow; }
  /// Monotonic and wall clock in virtual time. The epoch of the monotonic clock is 2027-01-01 UTC.
  [[nodiscard]] auto Instant() const -> instant;

  /// Runs everything due up to and including aEnd, then sets the clock to aEnd.
  auto RunUntil(time_point aEnd) -> void;

private:
  struct event
  {
    time_point mWhen;
    std::uint64_t mSequence;
    callback mCallback;
    auto operator<(const event& aOther) const -> bool
    {
      return mWhen != aOther.mWhen ? mWhen > aOther.mWhen : mSequence > aOther.mSequence;
    }
  };

  std::priority_queue<event> mEvents;
  std::uint64_t mNextSequence = 0;
  time_point mNow{ std::chrono::seconds(1000) };
};

} // namespace bronzering::testkit
