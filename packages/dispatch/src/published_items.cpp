#include <bronzering/dispatch/published_items.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bronzering {

published_items::published_items(owner_version_reader aVersionOf)
  : mVersionOf(std::move(aVersionOf))
{
}

auto published_items::ApplySnapshot(published_snapshot aSnapshot,
                                    item_origin aOrigin,
                                    time_point aNow) -> bool
{
  const auto position = aSnapshot.Position();
  if (position < mPosition) {
    return aOrigin == item_origin::Peer && MergeLaterVersions(std::move(aSnapshot));
  }
  // A new history may lack what was written shortly before, until it is written again.
  if (position.mHistory > mPosition.mHistory && !mItems.empty()) {
    mHadOutage = true;
    mIsConfirmedByPeer = false;
    mLastDisturbance = aNow;
  }
  auto listed = std::set<std::string, std::less<>>();
  for (auto& item : aSnapshot.mItems) {
    listed.insert(item.mKey);
    ApplyWrite(std::move(item), aNow);
  }
  std::erase_if(mWithheld,
                [&listed](const auto& aEntry) { return !listed.contains(aEntry.first); });
  auto missing = std::vector<std::string>();
  for (const auto& [key, item] : mItems) {
    // An item that is newer than the snapshot may not have existed when the snapshot was taken.
    if (!listed.contains(key) && item.Position() <= position) {
      missing.push_back(key);
    }
  }
  AdvanceTo(position);
  const auto isDeferred = aOrigin == item_origin::Source && DefersRemovals(aNow);
  for (const auto& key : missing) {
    Remove(key, isDeferred, aNow);
  }
  return true;
}

auto published_items::ApplyWrite(published_item aItem, time_point /*aNow*/) -> bool
{
  const auto found = mItems.find(aItem.mKey);
  if (found != mItems.end() && !Replaces(aItem, found->second)) {
    if (aItem.mHistory > found->second.mHistory && IsOtherIncarnation(aItem, found->second)) {
      mWithheld.insert_or_assign(aItem.mKey, aItem);
    }
    return false;
  }
  // Only another write renews an item; a peer may have the same one.
  const auto isSameWrite = found != mItems.end() && found->second.Position() == aItem.Position();
  aItem.mIsExpired = aItem.mIsExpired || (isSameWrite && found->second.mIsExpired);
  mMayHaveExpired = mMayHaveExpired || aItem.mIsExpired;
  auto key = aItem.mKey;
  if (found == mItems.end() && IsRemovedVersion(aItem)) {
    mWithheld.insert_or_assign(std::move(key), std::move(aItem));
    return false;
  }
  mRemovals.erase(key);
  mWithheld.erase(key);
  mItems.insert_or_assign(std::move(key), std::move(aItem));
  return true;
}

auto published_items::ApplyRemoval(std::string_view aKey,
                                   source_position aPosition,
                                   time_point aNow) -> bool
{
  const auto key = std::string(aKey);
  const auto wasWithheld = mWithheld.erase(key) > 0;
  const auto found = mItems.find(key);
  if (found == mItems.end() || found->second.Position() > aPosition) {
    return wasWithheld;
  }
  Remove(key, DefersRemovals(aNow), aNow);
  return true;
}

auto published_items::AdvanceTo(source_position aPosition) -> void
{
  mPosition = std::max(mPosition, aPosition);
}

auto published_items::SetSourceReachable(bool aIsReachable, time_point aNow) -> void
{
  if (aIsReachable == mIsReachable) {
    return;
  }
  mHadOutage = mHadOutage || mIsReachable;
  mIsReachable = aIsReachable;
  mLastDisturbance = aNow;
}

auto published_items::ApplyDeferredChanges(time_point aNow) -> bool
{
  std::erase_if(
    mRemovals, [aNow](const auto& aEntry) { return aNow - aEntry.second.mTime >= kRemovalMemory; });
  auto hasChanged = false;
  if (mMayHaveExpired && !DefersRemovals(aNow)) {
    auto expired = std::vector<std::string>();
    for (const auto& [key, item] : mItems) {
      if (item.mIsExpired) {
        expired.push_back(key);
      }
    }
    for (const auto& key : expired) {
      Erase(key, aNow);
    }
    mMayHaveExpired = false;
    hasChanged = !expired.empty();
  }
  if (!mWithheld.empty() && mIsReachable && aNow - mLastDisturbance >= kLeaseExpiry) {
    for (auto& [key, item] : std::exchange(mWithheld, {})) {
      mRemovals.erase(key);
      mItems.insert_or_assign(key, std::move(item));
    }
    hasChanged = true;
  }
  return hasChanged;
}

auto published_items::Find(std::string_view aKey) const -> const published_item*
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? nullptr : &found->second;
}

auto published_items::Snapshot() const -> published_snapshot
{
  auto snapshot = published_snapshot{ mPosition.mRevision, {}, mPosition.mHistory };
  snapshot.mItems.reserve(mItems.size());
  for (const auto& [key, item] : mItems) {
    snapshot.mItems.push_back(item);
  }
  return snapshot;
}

auto published_items::DefersRemovals(time_point aNow) const -> bool
{
  return !mIsReachable ||
         (mHadOutage && !mIsConfirmedByPeer && aNow - mLastDisturbance < kRenewalGrace);
}

auto published_items::Remove(const std::string& aKey, bool aIsDeferred, time_point aNow) -> void
{
  if (!aIsDeferred) {
    Erase(aKey, aNow);
    return;
  }
  if (const auto found = mItems.find(aKey); found != mItems.end()) {
    found->second.mIsExpired = true;
    mMayHaveExpired = true;
  }
}

auto published_items::Erase(const std::string& aKey, time_point aNow) -> void
{
  const auto found = mItems.find(aKey);
  if (found == mItems.end()) {
    return;
  }
  if (const auto version = VersionOf(found->second); version) {
    if (mRemovals.size() >= kMaxRemovals) {
      mRemovals.erase(std::min_element(
        mRemovals.begin(), mRemovals.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.mTime < aRight.second.mTime;
        }));
    }
    mRemovals.insert_or_assign(aKey, removal{ *version, mPosition.mHistory, aNow });
  }
  mItems.erase(found);
}

auto published_items::Replaces(const published_item& aItem, const published_item& aHeld) const
  -> bool
{
  if (aItem.mHistory != aHeld.mHistory) {
    const auto version = VersionOf(aItem);
    const auto held = VersionOf(aHeld);
    if (version && held && *version != *held) {
      return *version > *held;
    }
  }
  return aItem.Position() >= aHeld.Position();
}

auto published_items::IsOtherIncarnation(const published_item& aItem,
                                         const published_item& aHeld) const -> bool
{
  const auto version = VersionOf(aItem);
  const auto held = VersionOf(aHeld);
  return version && held && version->mIncarnation != held->mIncarnation;
}

auto published_items::IsRemovedVersion(const published_item& aItem) const -> bool
{
  const auto found = mRemovals.find(aItem.mKey);
  if (found == mRemovals.end() || aItem.mHistory <= found->second.mHistory) {
    return false;
  }
  const auto version = VersionOf(aItem);
  return version && *version <= found->second.mVersion;
}

auto published_items::VersionOf(const published_item& aItem) const -> std::optional<owner_version>
{
  return mVersionOf ? mVersionOf(aItem) : std::nullopt;
}

auto published_items::MergeLaterVersions(published_snapshot aSnapshot) -> bool
{
  auto hasChanged = false;
  for (auto& item : aSnapshot.mItems) {
    const auto found = mItems.find(item.mKey);
    if (found != mItems.end() && item.Position() != found->second.Position() &&
        Replaces(item, found->second)) {
      // The sender's view of what has expired is outdated.
      item.mIsExpired = false;
      found->second = std::move(item);
      hasChanged = true;
    }
  }
  return hasChanged;
}

} // namespace bronzering
