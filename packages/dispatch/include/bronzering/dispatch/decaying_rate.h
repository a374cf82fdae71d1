#pragma once

#include <bronzering/base/time.h>

#include <algorithm>
#include <cmath>

namespace bronzering {

/// Rate of events per second, as an exponentially weighted moving average. Not thread-safe.
class decaying_rate
{
public:
  /// Time in which the weight of an event falls to about a third.
  static constexpr auto kAveragingTime = std::chrono::seconds(3);

  /// Precondition: aNow does not go back.
  auto OnEvent(time_point aNow) -> void
  {
    mRate = At(aNow) + 1 / ToSeconds(kAveragingTime);
    mUpdated = aNow;
  }
  [[nodiscard]] auto At(time_point aNow) const -> double
  {
    return mRate * std::exp(-ToSeconds(aNow - mUpdated) / ToSeconds(kAveragingTime));
  }

  /// The rate less the standard deviation of events that are independent of each other, so that a
  /// few of them do not pass for a lasting rate.
  [[nodiscard]] auto CertainAt(time_point aNow) const -> double
  {
    const auto events = At(aNow) * ToSeconds(kAveragingTime);
    return std::max(0.0, events - std::sqrt(events)) / ToSeconds(kAveragingTime);
  }

private:
  double mRate = 0;
  time_point mUpdated;
};

} // namespace bronzering
