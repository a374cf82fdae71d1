#include <bronzering/dispatch/cold_endpoint_limiter.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bronzering {

cold_endpoint_limiter::cold_endpoint_limiter(std::string aSelf)
  : mSelf(std::move(aSelf))
{
}

auto cold_endpoint_limiter::SetMembers(std::vector<entry_demand> aMembers, time_point aNow) -> void
{
  assert(std::any_of(aMembers.begin(), aMembers.end(), [this](const auto& aMember) {
    return aMember.mAddress == mSelf;
  }));
  mMembers = std::move(aMembers);
  mStarted = mStarted.value_or(aNow);
  mIsSettled = aNow - *mStarted >= kSettlingTime;
  for (auto& [endpoint, state] : mCold) {
    SetShare(state, ShareOf(endpoint, state.mRate), aNow);
  }
}

auto cold_endpoint_limiter::SetCold(endpoint_incarnation_key aEndpoint,
                                    double aRate,
                                    time_point aUntil,
                                    time_point aNow) -> void
{
  assert(aRate > 0);
  const auto [entry, isNew] = mCold.try_emplace(aEndpoint);
  auto& state = entry->second;
  if (isNew || state.mUntil <= aNow) {
    // The bucket starts empty: what was sent before the endpoint was known to be cold counts too.
    state = cold_state();
    state.mRefilled = aNow;
  }
  state.mRate = aRate;
  state.mUntil = aUntil;
  SetShare(state, ShareOf(aEndpoint, aRate), aNow);
}

auto cold_endpoint_limiter::RemoveExpired(time_point aNow) -> void
{
  std::erase_if(mCold, [aNow](const auto& aEntry) { return aEntry.second.mUntil <= aNow; });
}

auto cold_endpoint_limiter::IsCold(endpoint_incarnation_key aEndpoint, time_point aNow) const
  -> bool
{
  return Find(aEndpoint, aNow) != nullptr;
}

auto cold_endpoint_limiter::TimeToAdmission(endpoint_incarnation_key aEndpoint,
                                            time_point aNow) const -> std::optional<duration>
{
  const auto* state = Find(aEndpoint, aNow);
  if (state == nullptr) {
    return duration::zero();
  }
  if (state->mShare <= 0) {
    return std::nullopt;
  }
  const auto refill = FromSeconds(std::max(0.0, 1 - LevelAt(*state, aNow)) / state->mShare);
  return std::min<duration>(refill, state->mUntil - aNow);
}

auto cold_endpoint_limiter::OwnRate(endpoint_incarnation_key aEndpoint, time_point aNow) const
  -> std::optional<double>
{
  const auto* state = Find(aEndpoint, aNow);
  return state == nullptr ? std::nullopt : std::optional(state->mShare);
}

auto cold_endpoint_limiter::OnSent(endpoint_incarnation_key aEndpoint, time_point aNow) -> void
{
  if (Find(aEndpoint, aNow) == nullptr) {
    return;
  }
  auto& state = mCold.at(aEndpoint);
  state.mLevel = LevelAt(state, aNow) - 1;
  state.mRefilled = aNow;
}

auto cold_endpoint_limiter::ColdCount(time_point aNow) const -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mCold.begin(), mCold.end(), [aNow](const auto& aEntry) {
      return aEntry.second.mUntil > aNow;
    }));
}

auto cold_endpoint_limiter::Find(endpoint_incarnation_key aEndpoint, time_point aNow) const
  -> const cold_state*
{
  const auto found = mCold.find(aEndpoint);
  return found == mCold.end() || found->second.mUntil <= aNow ? nullptr : &found->second;
}

auto cold_endpoint_limiter::ShareOf(endpoint_incarnation_key aEndpoint, double aRate) const
  -> double
{
  if (!mIsSettled) {
    return 0;
  }
  struct candidate
  {
    std::uint64_t mWeight = 0;
    const entry_demand* mMember = nullptr;
  };
  auto candidates = std::vector<candidate>();
  candidates.reserve(mMembers.size());
  for (const auto& member : mMembers) {
    candidates.push_back({ RendezvousWeight(aEndpoint, member.mAddress), &member });
  }
  const auto owners = std::min(kOwners, candidates.size());
  std::partial_sort(
    candidates.begin(),
    candidates.begin() + static_cast<std::ptrdiff_t>(owners),
    candidates.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.mWeight > aRight.mWeight; });
  candidates.resize(owners);
  auto own = 0.0;
  auto total = 0.0;
  for (const auto& owner : candidates) {
    const auto demand =
      std::max(owner.mMember->mRequestsPerSecond, endpoint_rate_limiter::kMinDemand);
    total += demand;
    own += owner.mMember->mAddress == mSelf ? demand : 0;
  }
  return aRate * own / total;
}

auto cold_endpoint_limiter::LevelAt(const cold_state& aState, time_point aNow) -> double
{
  const auto elapsed = ToSeconds(std::max<duration>(aNow - aState.mRefilled, duration::zero()));
  return std::min(kBurst, aState.mLevel + aState.mShare * elapsed);
}

auto cold_endpoint_limiter::SetShare(cold_state& aState, double aShare, time_point aNow) -> void
{
  aState.mLevel = LevelAt(aState, aNow);
  aState.mRefilled = aNow;
  aState.mShare = aShare;
}

} // namespace bronzering
