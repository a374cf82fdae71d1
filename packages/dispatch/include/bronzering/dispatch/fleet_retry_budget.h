#pragma once

#include <bronzering/base/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bronzering {

/// The fleet's bound on repeated sends to one service.
struct retry_limits
{
  /// Repeats for each request within the window.
  double mRatio = 0.1;
  /// Repeats within the window besides, over all entries.
  double mExtra = 10;
  duration mWindow = std::chrono::seconds(10);
};

/// One entry's part of the fleet's bound on repeats: the ratio of its own requests within a sliding
/// window, and an equal share of the extra. No entry needs to hear of the others' repeats, so the
/// bound also holds in a partition. Not thread-safe: owned by the control thread.
class fleet_retry_budget
{
public:
  auto Configure(retry_limits aLimits) -> void { mLimits = aLimits; }
  auto OnRequest(time_point aNow) -> void;
  /// Takes one repeat; false when there is none left. aEntries is the number of entries known,
  /// silent ones included. Precondition: aEntries > 0.
  [[nodiscard]] auto TryTake(std::size_t aEntries, time_point aNow) -> bool;

private:
  auto Forget(time_point aNow) -> void;

  retry_limits mLimits;
  std::deque<time_point> mRequests;
  std::deque<time_point> mRepeats;
};

} // namespace bronzering
