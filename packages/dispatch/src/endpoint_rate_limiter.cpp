#include <bronzering/dispatch/endpoint_rate_limiter.h>

#include <bronzering/base/hash.h>

#include <algorithm>

namespace bronzering {

auto HashEndpointIncarnation(std::string_view aId, std::uint64_t aIncarnation)
  -> endpoint_incarnation_key
{
  return HashText(aId, aIncarnation);
}

auto endpoint_rate_limiter::OnAnswer(endpoint_incarnation_key aEndpoint,
                                     std::optional<double> aLimit,
                                     time_point aSent,
                                     time_point aNow) -> bool
{
  const auto found = mStatements.find(aEndpoint);
  if (found == mStatements.end()) {
    if (aLimit) {
      mStatements.emplace(aEndpoint, statement{ aLimit, aNow });
    }
    return aLimit.has_value();
  }
  auto& known = found->second;
  // An answer to an older request may have been written before the limit was named.
  if (!aLimit && aSent < known.mMade) {
    return false;
  }
  const auto isChanged = known.mLimit != aLimit;
  known = { aLimit, aNow };
  return isChanged;
}

auto endpoint_rate_limiter::RemoveExpired(time_point aNow) -> void
{
  std::erase_if(mStatements, [aNow](const auto& aEntry) {
    return aEntry.second.mMade + kMaxStatementAge <= aNow;
  });
}

auto endpoint_rate_limiter::LimitOf(endpoint_incarnation_key aEndpoint) const
  -> std::optional<double>
{
  const auto found = mStatements.find(aEndpoint);
  return found == mStatements.end() ? std::nullopt : found->second.mLimit;
}

auto endpoint_rate_limiter::LimitedCount() const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mStatements.begin(), mStatements.end(), [](const auto& aEntry) {
      return aEntry.second.mLimit.has_value();
    }));
}

} // namespace bronzering
