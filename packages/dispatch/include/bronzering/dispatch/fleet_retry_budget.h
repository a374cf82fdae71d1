#pragma once

#include <bronzering/base/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace bronzering {

/// Limit on retries to one service, for all entries in total.
struct retry_limits
{
  /// Allowed retries per request within the window.
  double mRatio = 0.1;
  /// Additional retries within the window, shared by all entries.
  double mExtraRetries = 10;
  duration mWindow = std::chrono::seconds(10);
};

/// Retry budget of one service at one entry: a ratio of the entry's own requests within a sliding
/// window, plus an equal share of the additional retries. Entries do not need to know of each
/// other's retries, so the total limit also holds during a network partition. Not thread-safe:
/// owned by the control thread.
class fleet_retry_budget
{
public:
  auto Configure(retry_limits aLimits) -> void { mLimits = aLimits; }
  auto OnRequest(time_point aNow) -> void;
  /// Takes one retry from the budget; returns false if the budget is used up. aEntries is the
  /// number of known entries, including unresponsive ones. Precondition: aEntries > 0.
  [[nodiscard]] auto TryTake(std::size_t aEntries, time_point aNow) -> bool;

  /// Whether nothing was counted within the window, so that a new budget would decide the same.
  [[nodiscard]] auto IsIdle(time_point aNow) const -> bool;

private:
  auto RemoveExpired(time_point aNow) -> void;

  retry_limits mLimits;
  std::deque<time_point> mRequests;
  std::deque<time_point> mRetries;
};

} // namespace bronzering
