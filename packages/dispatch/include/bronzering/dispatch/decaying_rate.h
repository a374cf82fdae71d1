#pragma once

#include <bronzering/base/time.h>

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

private:
  double mRate = 0;
  time_point mUpdated;
};

} // namespace bronzering
