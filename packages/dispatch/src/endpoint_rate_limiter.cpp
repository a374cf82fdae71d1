#include <bronzering/dispatch/endpoint_rate_limiter.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace bronzering {

endpoint_rate_limiter::endpoint_rate_limiter(std::string aSelf)
  : mSelf(std::move(aSelf))
  , mMembers{ { mSelf, 0 } }
{
}

auto endpoint_rate_limiter::SetEndpoints(const std::vector<listed_endpoint>& aEndpoints,
                                         time_point aNow) -> void
{
  auto byService = std::map<std::string_view, std::vector<const listed_endpoint*>>();
  for (const auto& endpoint : aEndpoints) {
    byService[endpoint.mService].push_back(&endpoint);
  }
  mListed.clear();
  for (auto& [service, endpoints] : byService) {
    std::sort(endpoints.begin(), endpoints.end(), [](const auto* aLeft, const auto* aRight) {
      return aLeft->mId < aRight->mId;
    });
    for (auto at = std::size_t{ 0 }; at < endpoints.size(); ++at) {
      const auto& endpoint = *endpoints[at];
      const auto position = static_cast<double>(at) / static_cast<double>(endpoints.size());
      mListed.insert_or_assign(HashEndpointIncarnation(endpoint.mId, endpoint.mIncarnation),
                               listed_position{ endpoint.mId, position });
    }
  }
  UpdateShares(aNow);
}

auto endpoint_rate_limiter::SetMembers(std::vector<entry_demand> aMembers, time_point aNow) -> void
{
  assert(std::any_of(aMembers.begin(), aMembers.end(), [this](const auto& aMember) {
    return aMember.mAddress == mSelf;
  }));
  mMembers = std::move(aMembers);
  std::sort(mMembers.begin(), mMembers.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mAddress < aRight.mAddress;
  });
  auto own = 0.0;
  auto total = 0.0;
  for (const auto& member : mMembers) {
    const auto demand = std::max(member.mRequestsPerSecond, kMinDemand);
    total += demand;
    own += member.mAddress == mSelf ? demand : 0;
  }
  mOwnDemandShare = std::max(own / total, 1 / static_cast<double>(mMembers.size()));
  UpdateShares(aNow);
}

auto endpoint_rate_limiter::OnAnswer(endpoint_incarnation_key aEndpoint,
                                     std::optional<double> aLimit,
                                     time_point aSent,
                                     time_point aNow) -> bool
{
  const auto found = mLimits.find(aEndpoint);
  // An answer to an older request may have been written before the limit was named.
  if (!aLimit && (found == mLimits.end() || aSent < found->second.mStated)) {
    return false;
  }
  const auto isChanged = Update(aEndpoint, aLimit, aNow, aNow);
  mOwnChanges += isChanged ? 1 : 0;
  return isChanged;
}

auto endpoint_rate_limiter::Merge(const std::vector<rate_limit_statement>& aStatements,
                                  time_point aNow) -> std::vector<rate_limit_statement>
{
  auto changed = std::vector<rate_limit_statement>();
  for (const auto& statement : aStatements) {
    const auto stated = aNow - statement.mAge;
    const auto found = mLimits.find(statement.mEndpoint);
    if (found != mLimits.end() && found->second.mStated >= stated) {
      continue;
    }
    if (Update(statement.mEndpoint, statement.mLimit, stated, aNow)) {
      changed.push_back(statement);
    }
  }
  return changed;
}

auto endpoint_rate_limiter::RemoveExpired(time_point aNow) -> void
{
  std::erase_if(mLimits, [this, aNow](const auto& aEntry) {
    return !mListed.contains(aEntry.first) && aEntry.second.mStated + kUnlistedTime <= aNow;
  });
}

auto endpoint_rate_limiter::TimeToAdmission(endpoint_incarnation_key aEndpoint,
                                            rate_share aUsable,
                                            time_point aNow) const -> std::optional<duration>
{
  const auto found = mLimits.find(aEndpoint);
  if (found == mLimits.end() || !found->second.mLimit) {
    return duration::zero();
  }
  const auto& state = found->second;
  if (state.mShare <= 0) {
    return std::nullopt;
  }
  const auto needed = aUsable == rate_share::Whole ? kUrgentLevel : 1;
  return FromSeconds(std::max(0.0, needed - LevelAt(state, aNow)) / state.mShare);
}

auto endpoint_rate_limiter::OwnRate(endpoint_incarnation_key aEndpoint) const
  -> std::optional<double>
{
  const auto found = mLimits.find(aEndpoint);
  if (found == mLimits.end() || !found->second.mLimit) {
    return std::nullopt;
  }
  return found->second.mShare;
}

auto endpoint_rate_limiter::OnSent(endpoint_incarnation_key aEndpoint, time_point aNow) -> void
{
  const auto found = mLimits.find(aEndpoint);
  if (found == mLimits.end() || !found->second.mLimit) {
    return;
  }
  auto& state = found->second;
  state.mLevel = LevelAt(state, aNow) - 1;
  state.mRefilled = aNow;
}

auto endpoint_rate_limiter::TakeStatements(std::size_t aLimit, time_point aNow)
  -> std::vector<rate_limit_statement>
{
  auto statements = std::vector<rate_limit_statement>();
  auto next = mLimits.upper_bound(mLastTaken);
  for (auto taken = std::size_t{ 0 }; taken < std::min(aLimit, mLimits.size()); ++taken) {
    next = next == mLimits.end() ? mLimits.begin() : next;
    statements.push_back({ next->first, next->second.mLimit, aNow - next->second.mStated });
    mLastTaken = next->first;
    ++next;
  }
  return statements;
}

auto endpoint_rate_limiter::LimitedCount() const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mLimits.begin(), mLimits.end(), [](const auto& aEntry) {
      return aEntry.second.mLimit.has_value();
    }));
}

auto endpoint_rate_limiter::IdOf(endpoint_incarnation_key aEndpoint) const -> std::string_view
{
  const auto found = mListed.find(aEndpoint);
  return found == mListed.end() ? std::string_view() : std::string_view(found->second.mId);
}

auto endpoint_rate_limiter::Update(endpoint_incarnation_key aEndpoint,
                                   std::optional<double> aLimit,
                                   time_point aStated,
                                   time_point aNow) -> bool
{
  if (!mLimits.contains(aEndpoint) && mLimits.size() >= kMaxStatements) {
    return false;
  }
  const auto [entry, isNew] = mLimits.try_emplace(aEndpoint);
  auto& state = entry->second;
  const auto isChanged = state.mLimit != aLimit;
  const auto wasLimited = state.mLimit.has_value();
  state.mStated = aStated;
  if (!isChanged) {
    return false;
  }
  state.mLevel = LevelAt(state, aNow);
  if (!wasLimited) {
    // Buckets of different entries start at different levels, so that they do not all admit their
    // first request at the same time.
    constexpr auto kRange = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    state.mLevel = static_cast<double>(HashText(mSelf, aEndpoint)) / kRange;
  }
  state.mRefilled = aNow;
  state.mLimit = aLimit;
  state.mShare = aLimit ? ShareOf(aEndpoint, *aLimit) : 0;
  return true;
}

auto endpoint_rate_limiter::UpdateShares(time_point aNow) -> void
{
  for (auto& [endpoint, state] : mLimits) {
    if (state.mLimit) {
      state.mLevel = LevelAt(state, aNow);
      state.mRefilled = aNow;
      state.mShare = ShareOf(endpoint, *state.mLimit);
    }
  }
}

auto endpoint_rate_limiter::ShareOf(endpoint_incarnation_key aEndpoint, double aLimit) const
  -> double
{
  // The owners are consecutive members. Endpoints start at members that are spread evenly, so that
  // each member owns about the same number of them.
  const auto members = mMembers.size();
  const auto wanted = std::min(std::ceil(aLimit * ToSeconds(kOwnerTime)),
                               static_cast<double>(std::max(members, kMinOwners)));
  const auto owners =
    std::clamp(static_cast<std::size_t>(wanted), std::min(kMinOwners, members), members);
  const auto listed = mListed.find(aEndpoint);
  const auto position = listed == mListed.end() ? 0.0 : listed->second.mPosition;
  const auto first = static_cast<std::size_t>(position * static_cast<double>(members));

  auto ownDemand = 0.0;
  auto totalDemand = 0.0;
  for (auto at = std::size_t{ 0 }; at < owners; ++at) {
    const auto& member = mMembers[(first + at) % members];
    const auto demand = std::max(member.mRequestsPerSecond, kMinDemand);
    totalDemand += demand;
    ownDemand += member.mAddress == mSelf ? demand : 0;
  }
  return std::max(aLimit, kMinRate) * ownDemand / totalDemand;
}

auto endpoint_rate_limiter::LevelAt(const limit_state& aState, time_point aNow) -> double
{
  const auto burst = std::max(1.0, aState.mShare * ToSeconds(kBurstTime));
  const auto elapsed = ToSeconds(std::max<duration>(aNow - aState.mRefilled, duration::zero()));
  return std::min(burst, aState.mLevel + aState.mShare * elapsed);
}

} // namespace bronzering
