#pragma once

#include <bronzering/base/time.h>

namespace bronzering {

/// When the parts of an answer come, counted from the moment at which the request is sent.
struct answer_times
{
  /// Until the first event, or until the response for services that are not models.
  duration mFirstEvent{};
  /// Until the end of the response.
  duration mEnd{};
};

/// Factor by which an answer may exceed the time that was estimated for it. Work that would fit
/// only without it is likely to end after its caller has left.
inline constexpr auto kEstimateMargin = 1.5;

[[nodiscard]] constexpr auto WithEstimateMargin(duration aEstimate) -> duration
{
  return FromSeconds(ToSeconds(aEstimate) * kEstimateMargin);
}

/// Whether work that is expected to take aExpected is likely to end within aAllowed.
[[nodiscard]] constexpr auto FitsInto(const answer_times& aExpected, const answer_times& aAllowed)
  -> bool
{
  return WithEstimateMargin(aExpected.mFirstEvent) <= aAllowed.mFirstEvent &&
         WithEstimateMargin(aExpected.mEnd) <= aAllowed.mEnd;
}

} // namespace bronzering
