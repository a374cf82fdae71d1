#include <bronzering/dispatch/place_plan.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Keeps the rounding of shares from delaying a place to the next step.
constexpr auto kRounding = 1e-6;

} // namespace

place_plan::place_plan(const std::vector<endpoint_forecast>& aEndpoints,
                       const std::vector<std::string>& aExcluded,
                       double aShare,
                       bool aIsVarying)
  : mIsVarying(aIsVarying)
{
  assert(aShare >= 0 && aShare <= 1);
  const auto isIncluded = [&](const endpoint_forecast& aEndpoint) {
    return std::find(aExcluded.begin(), aExcluded.end(), aEndpoint.mId) == aExcluded.end();
  };
  const auto hasOpen =
    std::any_of(aEndpoints.begin(), aEndpoints.end(), [&](const endpoint_forecast& aEndpoint) {
      return aEndpoint.mIsOpen && aEndpoint.mRate > 0 && isIncluded(aEndpoint);
    });
  auto places = std::vector<coming_place>();
  for (const auto& endpoint : aEndpoints) {
    if (endpoint.mIsOpen != hasOpen || !isIncluded(endpoint)) {
      continue;
    }
    mRate += endpoint.mRate;
    mSteadyRate += endpoint.mPlaces.empty() ? endpoint.mRate : 0;
    for (const auto& place : endpoint.mPlaces) {
      places.push_back(place);
      places.push_back({ place.mTime + endpoint.mPeriod, false });
    }
  }
  std::sort(places.begin(), places.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mTime < aRight.mTime;
  });
  mSteps.reserve(places.size());
  auto own = 0.0;
  auto all = 0.0;
  for (const auto& place : places) {
    own += place.mIsOwn ? 1 : 0;
    all += 1;
    mSteps.push_back({ place.mTime, std::max(own, aShare * (all - 1) + 1) });
  }
}

auto place_plan::TimeTo(std::size_t aCount, double aTakenRate, std::size_t& aFrom) const
  -> std::optional<duration>
{
  const auto rate = mRate - aTakenRate;
  const auto longTerm =
    rate > 0 ? std::optional(FromSeconds(static_cast<double>(aCount) / rate)) : std::nullopt;
  const auto known = TimeToKnown(aCount, aTakenRate, aFrom);
  if (!known) {
    return longTerm && !mIsVarying && !mSteps.empty() ? std::max(mSteps.back().mTime, *longTerm)
                                                      : longTerm;
  }
  return longTerm && mIsVarying ? std::min(*known, *longTerm) : *known;
}

auto place_plan::TimeToKnown(std::size_t aCount, double aTakenRate, std::size_t& aFrom) const
  -> std::optional<duration>
{
  const auto needed = static_cast<double>(aCount) - kRounding;
  const auto slope = mSteadyRate - aTakenRate;
  for (; aFrom < mSteps.size(); ++aFrom) {
    const auto& next = mSteps[aFrom];
    if (next.mPlaces + slope * ToSeconds(next.mTime) < needed) {
      continue;
    }
    // With a steady rate the place may come between two steps.
    const auto before = aFrom == 0 ? 0.0 : mSteps[aFrom - 1].mPlaces;
    return slope > 0 ? std::min(next.mTime, FromSeconds((needed - before) / slope)) : next.mTime;
  }
  return std::nullopt;
}

} // namespace bronzering
