#include <bronzering/dispatch/published_items.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bronzering {

published_items::published_items(owner_version_reader aVersionOf, source_bounds aBounds)
  : mVersionOf(std::move(aVersionOf))
  , mSource(aBounds)
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
    mSource.OnRestored(aNow);
    mIsConfirmedByPeer = false;
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
    if (isDeferred) {
      Defer(key, mSource.GraceEnd(), aNow);
    } else {
      Erase(key, aNow);
    }
  }
  return true;
}

auto published_items::ApplyWrite(published_item aItem, time_point aNow) -> bool
{
  const auto found = mItems.find(aItem.mKey);
  const auto isSameWrite = found != mItems.end() && found->second.Position() == aItem.Position();
  aItem.mVersion = isSameWrite ? found->second.mVersion : ReadVersion(aItem);
  if (found != mItems.end() && !Replaces(aItem, found->second)) {
    if (aItem.mHistory > found->second.mHistory && IsOtherIncarnation(aItem, found->second)) {
      mWithheld.insert_or_assign(aItem.mKey, aItem);
    }
    return false;
  }
  // Only another write renews an item; a peer may have the same one.
  aItem.mIsExpired = aItem.mIsExpired || (isSameWrite && found->second.mIsExpired);
  auto key = aItem.mKey;
  if (found == mItems.end() && IsRemovedVersion(aItem)) {
    mWithheld.insert_or_assign(std::move(key), std::move(aItem));
    return false;
  }
  mRemovals.erase(key);
  mWithheld.erase(key);
  if (aItem.mIsExpired) {
    mDeferred.try_emplace(key, deferred_removal{ aNow, aNow + mSource.MaxWait() });
  } else {
    mDeferred.erase(key);
  }
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
  if (DefersRemovals(aNow)) {
    Defer(key, std::min<time_point>(mSource.GraceEnd(), aNow + mSource.MaxWait()), aNow);
  } else {
    Erase(key, aNow);
  }
  return true;
}

auto published_items::AdvanceTo(source_position aPosition) -> void
{
  mPosition = std::max(mPosition, aPosition);
}

auto published_items::OnSourceAnswer(time_point aNow) -> std::optional<source_interruption>
{
  const auto interruption = mSource.OnAnswer(aNow);
  const auto graceEnd = std::max(aNow, mSource.GraceEnd());
  for (auto& [key, waiting] : mDeferred) {
    if (!waiting.mDue) {
      waiting.mDue = graceEnd;
    } else if (interruption == source_interruption::Outage) {
      waiting.mDue = std::max(*waiting.mDue, graceEnd);
    }
    waiting.mDue = std::min<time_point>(*waiting.mDue, waiting.mSince + kMaxDeferral);
  }
  return interruption;
}

auto published_items::ApplyDeferredChanges(time_point aNow) -> bool
{
  std::erase_if(
    mRemovals, [aNow](const auto& aEntry) { return aNow - aEntry.second.mTime >= kRemovalMemory; });
  auto hasChanged = false;
  if (mSource.IsReachable()) {
    auto due = std::vector<std::string>();
    for (const auto& [key, waiting] : mDeferred) {
      if (mIsConfirmedByPeer || (waiting.mDue && *waiting.mDue <= aNow)) {
        due.push_back(key);
      }
    }
    for (const auto& key : due) {
      Erase(key, aNow);
    }
    hasChanged = !due.empty();
  }
  if (!mWithheld.empty() && mSource.IsReachable() &&
      aNow - mSource.LastDisturbance() >= kLeaseExpiry) {
    for (auto& [key, item] : std::exchange(mWithheld, {})) {
      mRemovals.erase(key);
      mDeferred.erase(key);
      mItems.insert_or_assign(key, std::move(item));
    }
    hasChanged = true;
  }
  return hasChanged;
}

auto published_items::NextRemoval() const -> std::optional<time_point>
{
  auto next = std::optional<time_point>();
  if (mSource.IsReachable()) {
    for (const auto& [key, waiting] : mDeferred) {
      if (waiting.mDue && (!next || *waiting.mDue < *next)) {
        next = waiting.mDue;
      }
    }
  }
  return next;
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
  return !mSource.IsReachable() || (!mIsConfirmedByPeer && aNow < mSource.GraceEnd());
}

auto published_items::Defer(const std::string& aKey, time_point aDue, time_point aNow) -> void
{
  if (const auto found = mItems.find(aKey); found != mItems.end()) {
    found->second.mIsExpired = true;
    const auto due = mSource.IsReachable() ? std::optional(aDue) : std::nullopt;
    mDeferred.try_emplace(aKey, deferred_removal{ aNow, due });
  }
}

auto published_items::Erase(const std::string& aKey, time_point aNow) -> void
{
  mDeferred.erase(aKey);
  const auto found = mItems.find(aKey);
  if (found == mItems.end()) {
    return;
  }
  if (const auto& version = found->second.mVersion; version) {
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
    const auto& version = aItem.mVersion;
    const auto& held = aHeld.mVersion;
    if (version && held && *version != *held) {
      return *version > *held;
    }
  }
  return aItem.Position() >= aHeld.Position();
}

auto published_items::IsOtherIncarnation(const published_item& aItem,
                                         const published_item& aHeld) const -> bool
{
  const auto& version = aItem.mVersion;
  const auto& held = aHeld.mVersion;
  return version && held && version->mIncarnation != held->mIncarnation;
}

auto published_items::IsRemovedVersion(const published_item& aItem) const -> bool
{
  const auto found = mRemovals.find(aItem.mKey);
  if (found == mRemovals.end() || aItem.mHistory <= found->second.mHistory) {
    return false;
  }
  const auto& version = aItem.mVersion;
  return version && *version <= found->second.mVersion;
}

auto published_items::ReadVersion(const published_item& aItem) const -> std::optional<owner_version>
{
  return mVersionOf ? mVersionOf(aItem) : std::nullopt;
}

auto published_items::MergeLaterVersions(published_snapshot aSnapshot) -> bool
{
  auto hasChanged = false;
  for (auto& item : aSnapshot.mItems) {
    const auto found = mItems.find(item.mKey);
    item.mVersion = ReadVersion(item);
    if (found != mItems.end() && item.Position() != found->second.Position() &&
        Replaces(item, found->second)) {
      // The sender's view of what has expired is outdated.
      item.mIsExpired = false;
      mDeferred.erase(found->first);
      found->second = std::move(item);
      hasChanged = true;
    }
  }
  return hasChanged;
}

} // namespace bronzering
