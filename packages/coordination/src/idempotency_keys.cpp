#include "idempotency_keys.h"

#include "key_owner.h"

#include <algorithm>

namespace bronzering {

namespace {

/// Largest tolerated difference between the clocks of two VMs.
constexpr auto kClockSkew = std::chrono::seconds(5);
/// Endpoint sets kept per service. If there are more changes, this agent counts as the owner only
/// since the oldest one kept, which can only cause more keys to be reported as unknown.
constexpr auto kMaxHistory = std::size_t{ 16 };

} // namespace

idempotency_keys::idempotency_keys(std::string aEndpoint, instant aStarted, std::size_t aMaxKeys)
  : mEndpoint(std::move(aEndpoint))
  , mStarted(aStarted)
  , mMaxKeys(aMaxKeys)
{
}

auto idempotency_keys::Configure(std::string_view aService,
                                 duration aWindow,
                                 std::vector<std::string> aEndpoints,
                                 instant aNow) -> void
{
  auto& service = mServices[std::string(aService)];
  service.mWindow = aWindow;
  std::sort(aEndpoints.begin(), aEndpoints.end());
  if (!service.mHistory.empty() && service.mHistory.back().mEndpoints == aEndpoints) {
    return;
  }
  // The first set applies from the start of the process, since no key ran here before any
  // configuration.
  service.mHistory.push_back({ service.mHistory.empty() ? mStarted : aNow, std::move(aEndpoints) });
  if (service.mHistory.size() > kMaxHistory) {
    service.mHistory.pop_front();
  }
}

auto idempotency_keys::OnConfigurationConfirmed(time_point aWhen) -> void
{
  mConfirmed = mConfirmed ? std::max(*mConfirmed, aWhen) : aWhen;
}

auto idempotency_keys::OwnedSince(const service_keys& aService, key_digest aKey) const -> instant
{
  auto since = aService.mHistory.back().mSince;
  for (auto entry = aService.mHistory.rbegin(); entry != aService.mHistory.rend(); ++entry) {
    if (KeyOwner(entry->mEndpoints, aKey) != mEndpoint) {
      break;
    }
    since = entry->mSince;
  }
  return since;
}

auto idempotency_keys::Check(std::string_view aService,
                             key_digest aKey,
                             std::optional<wall_time> aCreated,
                             instant aNow) const -> key_verdict
{
  // The key ran or is running here.
  const auto known = mKeys.find(aKey);
  if (known != mKeys.end() && (known->second.mState == key_state::InProgress ||
                               known->second.mExpiresAt > aNow.mMonotonic)) {
    return { known->second.mState, known->second.mStatus };
  }

  // Only the owner with a recently confirmed configuration may decide.
  const auto service = mServices.find(aService);
  if (service == mServices.end() ||
      KeyOwner(service->second.mHistory.back().mEndpoints, aKey) != mEndpoint) {
    return { key_state::NotOwner, 0 };
  }
  const auto window = service->second.mWindow;
  if (!mConfirmed || aNow.mMonotonic - *mConfirmed > window) {
    return { key_state::Unknown, 0 };
  }
  if (aCreated && *aCreated > aNow.mWall + kClockSkew) {
    return { key_state::Unknown, 0 };
  }

  // The key must not have run before this process became its owner.
  const auto since = OwnedSince(service->second, aKey);
  const auto ownedForWindow = aNow.mMonotonic - since.mMonotonic >= window;
  const auto createdLater = aCreated && *aCreated > since.mWall + kClockSkew;
  return { ownedForWindow || createdLater ? key_state::New : key_state::Unknown, 0 };
}

auto idempotency_keys::Claim(std::string_view aService,
                             key_digest aKey,
                             std::optional<wall_time> aCreated,
                             instant aNow) -> key_verdict
{
  Expire(aNow.mMonotonic);
  const auto verdict = Check(aService, aKey, aCreated, aNow);
  if (verdict.mState != key_state::New) {
    return verdict;
  }
  if (mKeys.size() >= mMaxKeys) {
    return { key_state::Full, 0 };
  }
  auto& record = mKeys[aKey];
  record = {};
  record.mWindow = mServices.find(aService)->second.mWindow;
  return verdict;
}

auto idempotency_keys::SetOutcome(key_digest aKey,
                                  key_state aState,
                                  std::uint32_t aStatus,
                                  instant aNow) -> void
{
  const auto found = mKeys.find(aKey);
  if (found == mKeys.end() || found->second.mState != key_state::InProgress) {
    return;
  }
  auto& record = found->second;
  record.mState = aState;
  record.mStatus = aStatus;
  record.mExpiresAt = aNow.mMonotonic + record.mWindow;
  mKeysByExpiry.emplace(record.mExpiresAt, aKey);
}

auto idempotency_keys::Finish(key_digest aKey, std::uint32_t aStatus, instant aNow) -> void
{
  SetOutcome(aKey, key_state::AlreadyRun, aStatus, aNow);
}

auto idempotency_keys::MarkUnknown(key_digest aKey, instant aNow) -> void
{
  SetOutcome(aKey, key_state::Unknown, 0, aNow);
}

auto idempotency_keys::Release(key_digest aKey) -> void
{
  const auto found = mKeys.find(aKey);
  if (found != mKeys.end() && found->second.mState == key_state::InProgress) {
    mKeys.erase(found);
  }
}

auto idempotency_keys::Expire(time_point aNow) -> void
{
  while (!mKeysByExpiry.empty() && mKeysByExpiry.begin()->first <= aNow) {
    mKeys.erase(mKeysByExpiry.begin()->second);
    mKeysByExpiry.erase(mKeysByExpiry.begin());
  }
}

} // namespace bronzering
