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

auto cold_endpoint_limiter::SetMembers(const std::vector<entry_demand>& aMembers, time_point aNow)
  -> void
{
  assert(std::any_of(aMembers.begin(), aMembers.end(), [this](const auto& aMember) {
    return aMember.mAddress == mSelf;
  }));
  mStarted = mStarted.value_or(aNow);
  const auto isSettled = aNow - *mStarted >= kSettlingTime;
  auto hasChanged = std::exchange(mIsSettled, isSettled) != isSettled;
  for (const auto& member : aMembers) {
    hasChanged = mMembers.insert_or_assign(member.mAddress, aNow).second || hasChanged;
  }
  hasChanged = std::erase_if(mMembers,
                             [aNow](const auto& aMember) {
                               return aNow - aMember.second >= kMemberMemory;
                             }) > 0 ||
               hasChanged;
  if (hasChanged) {
    for (auto& [endpoint, state] : mCold) {
      SetShare(state, ShareOf(endpoint, state.mRate), aNow);
    }
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
  state.mUntil = aUntil;
  const auto rate = std::max(aRate, kMinRate);
  if (state.mRate != rate) {
    state.mRate = rate;
    SetShare(state, ShareOf(aEndpoint, rate), aNow);
  }
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
                                            time_point aNow) const -> duration
{
  const auto* state = Find(aEndpoint, aNow);
  if (state == nullptr) {
    return duration::zero();
  }
  const auto rest = duration(state->mUntil - aNow);
  if (state->mShare <= 0) {
    return rest;
  }
  return std::min<duration>(rest,
                            FromSeconds(std::max(0.0, 1 - LevelAt(*state, aNow)) / state->mShare));
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
  const auto own = RendezvousWeight(aEndpoint, mSelf);
  const auto before = std::count_if(mMembers.begin(), mMembers.end(), [&](const auto& aMember) {
    return RendezvousWeight(aEndpoint, aMember.first) > own;
  });
  const auto isOwner = static_cast<std::size_t>(before) < kOwners;
  return isOwner ? aRate / static_cast<double>(kOwners) : 0;
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
