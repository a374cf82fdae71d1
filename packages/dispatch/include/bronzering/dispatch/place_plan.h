#pragma once

#include <bronzering/base/time.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// A slot that a request in progress is expected to leave.
struct coming_place
{
  /// Counted from the time of the forecast.
  duration mTime{};
  /// Whether the request was sent by this entry, which therefore learns of its end first.
  bool mIsOwn = false;
};

/// What one endpoint offers to the requests that wait.
struct endpoint_forecast
{
  /// Refers to the endpoint table and is valid until its list of endpoints changes.
  std::string_view mId;
  /// Whether the endpoint is neither avoided nor paused.
  bool mIsOpen = true;
  /// Places per second that this entry can expect in the long run.
  double mRate = 0;
  /// Time after which a slot that was taken becomes free again.
  duration mPeriod{};
  /// One for each slot; empty if a rate limit, not the slots, decides when requests are sent.
  std::vector<coming_place> mPlaces;
};

/// When this entry can expect how many places at the endpoints of a service, while all of them are
/// busy. Slots of its own requests count fully, because it learns of their end before its peers do.
/// Of all slots together, the first counts fully, since any entry may get it, and each further one
/// by this entry's share of the callers' demand. Each slot is foreseen twice, the second time for
/// the request that takes it next; after that only the long-term rate is known.
/// Thread-safe after construction.
class place_plan
{
public:
  /// aShare is the share of this entry in the demand of all callers, 0 to 1. Endpoints in aExcluded
  /// are left out; those that are not open count only if no other is left. aIsVarying tells that
  /// the lengths of answers vary, so that a place may also come as early as the long-term rate
  /// lets expect.
  place_plan(const std::vector<endpoint_forecast>& aEndpoints,
             const std::vector<std::string>& aExcluded,
             double aShare,
             bool aIsVarying);

  /// Time until aCount places have come, beyond those that requests arriving later at aTakenRate
  /// per second take first; empty if these leave too few. aFrom is 0 or what an earlier call with
  /// the same rate and no larger count has left there, so that a series of calls passes over the
  /// plan only once.
  [[nodiscard]] auto TimeTo(std::size_t aCount, double aTakenRate, std::size_t& aFrom) const
    -> std::optional<duration>;

private:
  struct step
  {
    duration mTime{};
    /// Places that have come by then, without those at mSteadyRate.
    double mPlaces = 0;
  };

  /// Like TimeTo, from the steps alone; empty if they have too few places.
  [[nodiscard]] auto TimeToKnown(std::size_t aCount, double aTakenRate, std::size_t& aFrom) const
    -> std::optional<duration>;

  bool mIsVarying = false;
  std::vector<step> mSteps;
  /// Places per second at endpoints whose rate limits decide.
  double mSteadyRate = 0;
  /// Places per second in the long run, at all endpoints.
  double mRate = 0;
};

} // namespace bronzering
