#include <bronzering/dispatch/published_items.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bronzering {

published_items::published_items(owner_version_reader aVersionOf, source_bounds aBounds)
  : mVersionOf(std::move(aVersionOf))
  , mSource(aBounds)
  , mItemExpiry(aBounds.mRenewalInterval > duration::zero()
                  ? duration(aBounds.mRenewalInterval * kRenewalsToExpiry)
                  : duration(kLeaseExpiry))
{
}

auto published_items::ApplySnapshot(published_snapshot aSnapshot,
                                    item_origin aOrigin,
                                    time_point aNow) -> bool
{
  const auto position = aSnapshot.Position();
  if (position < mPosition) {
    return aOrigin == item_origin::Peer && MergeLaterWrites(std::move(aSnapshot), aNow);
  }
  mFilled = mFilled.value_or(aNow);
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
  MergeWithheld(aSnapshot.mWithheld, aNow);
  std::erase_if(mWithheld, [&](const auto& aEntry) {
    return !listed.contains(aEntry.first) &&
           std::none_of(aSnapshot.mWithheld.begin(),
                        aSnapshot.mWithheld.end(),
                        [&](const auto& aReport) { return aReport.mItem.mKey == aEntry.first; });
  });
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
      Erase(key, false, aNow);
    }
  }
  return true;
}

auto published_items::ApplyWrite(published_item aItem, time_point aNow) -> bool
{
  const auto withheld = mWithheld.find(aItem.mKey);
  if (withheld != mWithheld.end() && withheld->second.mItem.Position() == aItem.Position()) {
    return false;
  }
  const auto found = mItems.find(aItem.mKey);
  if (found == mItems.end()) {
    aItem.mVersion = ReadVersion(aItem);
    const auto* removed = RemovalAfter(aItem, aNow);
    if (removed != nullptr) {
      const auto isRestored = aItem.mHistory > removed->mHistory;
      Withhold(
        std::move(aItem), removed->mVersion, removed->mHistory, isRestored ? aNow : removed->mTime);
      return false;
    }
  } else {
    auto& held = found->second;
    // Only another write renews an item; a peer may have the same one.
    const auto isSameWrite = held.Position() == aItem.Position();
    aItem.mVersion = isSameWrite ? held.mVersion : ReadVersion(aItem);
    aItem.mIsExpired = aItem.mIsExpired || (isSameWrite && held.mIsExpired);
    if (!Replaces(aItem, held)) {
      WithholdIfListed(std::move(aItem), held, aNow);
      return false;
    }
    // A peer may have the later write, while the source lists the earlier one.
    WithholdIfListed(std::move(held), aItem, aNow);
  }
  auto key = aItem.mKey;
  mRemovals.erase(key);
  DropWithheld(key, aItem.Position());
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
  const auto wasWithheld = DropWithheld(key, aPosition);
  if (const auto removed = mRemovals.find(key); wasWithheld && removed != mRemovals.end()) {
    removed->second.mTime = aNow;
  }
  const auto found = mItems.find(key);
  if (found == mItems.end() || found->second.Position() > aPosition) {
    return wasWithheld;
  }
  if (DefersRemovals(aNow)) {
    Defer(key, std::min<time_point>(mSource.GraceEnd(), aNow + mSource.MaxWait()), aNow);
  } else {
    Erase(key, false, aNow);
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
      Erase(key, !mIsConfirmedByPeer, aNow);
    }
    hasChanged = !due.empty();
  }
  if (mSource.IsReachable()) {
    std::erase_if(mWithheld, [&](auto& aEntry) {
      auto& [key, withheld] = aEntry;
      if (aNow - std::max(withheld.mSince, mSource.LastDisturbance()) < withheld.mWait) {
        return false;
      }
      mWithheldEvents.push_back(
        { withheld_change::Renewed, key, *withheld.mItem.mVersion, withheld.mLater });
      mRemovals.erase(key);
      mDeferred.erase(key);
      mItems.insert_or_assign(key, std::move(withheld.mItem));
      hasChanged = true;
      return true;
    });
  }
  return hasChanged;
}

auto published_items::TakeWithheldEvents() -> std::vector<withheld_event>
{
  return std::exchange(mWithheldEvents, {});
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

auto published_items::Snapshot(time_point aNow) const -> published_snapshot
{
  auto snapshot = published_snapshot{ mPosition.mRevision, {}, mPosition.mHistory };
  for (const auto& [key, withheld] : mWithheld) {
    snapshot.mWithheld.push_back({ withheld.mItem, aNow - withheld.mSince });
  }
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

auto published_items::Erase(const std::string& aKey, bool aMayHaveExpired, time_point aNow) -> void
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
    mRemovals.insert_or_assign(aKey,
                               removal{ *version, mPosition.mHistory, aNow, aMayHaveExpired });
  }
  mItems.erase(found);
}

auto published_items::WithholdIfListed(published_item aItem,
                                       const published_item& aLater,
                                       time_point aNow) -> void
{
  if (aItem.mVersion && aLater.mVersion && aItem.Position() > aLater.Position()) {
    Withhold(std::move(aItem), *aLater.mVersion, aLater.mHistory, aNow);
  }
}

auto published_items::Withhold(published_item aItem,
                               const owner_version& aLater,
                               std::uint64_t aHistory,
                               time_point aSince) -> void
{
  // An item that does not expire would take effect although its owner has not renewed it.
  const auto version = *aItem.mVersion;
  if (version.mIncarnation == 0) {
    return;
  }
  const auto isRestored = aItem.mHistory > aHistory;
  const auto [found, isNew] = mWithheld.try_emplace(aItem.mKey);
  auto& withheld = found->second;
  const auto isSameIncarnation =
    !isNew && withheld.mItem.mVersion->mIncarnation == version.mIncarnation;
  if (isSameIncarnation && version < *withheld.mItem.mVersion) {
    return;
  }
  if (!isSameIncarnation) {
    withheld.mSince = aSince;
  }
  if (isNew || withheld.mItem.Position() != aItem.Position()) {
    mWithheldEvents.push_back({ withheld_change::Withheld, aItem.mKey, version, aLater });
  }
  withheld.mItem = std::move(aItem);
  withheld.mLater = aLater;
  // Several late writes may follow each other, each of which keeps the item alive.
  withheld.mWait = isRestored ? duration(kLeaseExpiry) : duration(kMaxWriteDelay + mItemExpiry);
}

auto published_items::DropWithheld(std::string_view aKey, source_position aPosition) -> bool
{
  const auto found = mWithheld.find(aKey);
  if (found == mWithheld.end() || found->second.mItem.Position() > aPosition) {
    return false;
  }
  mWithheld.erase(found);
  return true;
}

auto published_items::Replaces(const published_item& aItem, const published_item& aHeld) -> bool
{
  const auto& version = aItem.mVersion;
  const auto& held = aHeld.mVersion;
  if (version && held && *version != *held) {
    return *version > *held;
  }
  return aItem.Position() >= aHeld.Position();
}

auto published_items::RemovalAfter(const published_item& aItem, time_point aNow) const
  -> const removal*
{
  const auto found = mRemovals.find(aItem.mKey);
  if (found == mRemovals.end() || !aItem.mVersion || aItem.mVersion->mIncarnation == 0 ||
      aItem.mHistory < found->second.mHistory) {
    return nullptr;
  }
  const auto& version = *aItem.mVersion;
  const auto& removed = found->second;
  // A restored source lists the item as it was before.
  auto isBefore = version < removed.mVersion ||
                  (version == removed.mVersion && aItem.mHistory > removed.mHistory);
  if (aItem.mHistory == removed.mHistory && !removed.mMayHaveExpired) {
    // The last write that is known here may not be the last one of the owner, since the source
    // tells only of those that change more than the number.
    const auto withheld = mWithheld.find(aItem.mKey);
    const auto mayBeLate = aNow - removed.mTime < kMaxWriteDelay + kDeliveryMargin ||
                           (withheld != mWithheld.end() &&
                            withheld->second.mItem.mVersion->mIncarnation == version.mIncarnation);
    isBefore = isBefore || (mayBeLate && version.mIncarnation == removed.mVersion.mIncarnation);
  }
  return isBefore ? &removed : nullptr;
}

auto published_items::ReadVersion(const published_item& aItem) const -> std::optional<owner_version>
{
  return mVersionOf ? mVersionOf(aItem) : std::nullopt;
}

auto published_items::MergeLaterWrites(published_snapshot aSnapshot, time_point aNow) -> bool
{
  const auto hasLater = MergeLaterVersions(std::move(aSnapshot.mItems), aNow);
  const auto hasWithheld = MergeWithheld(aSnapshot.mWithheld, aNow);
  return hasLater || hasWithheld;
}

auto published_items::MayHaveLateWrites(time_point aNow) const -> bool
{
  return mFilled && aNow - *mFilled < kMaxWriteDelay + mItemExpiry;
}

auto published_items::MergeLaterVersions(std::vector<published_item> aItems, time_point aNow)
  -> bool
{
  auto hasChanged = false;
  for (auto& item : aItems) {
    const auto found = mItems.find(item.mKey);
    if (found == mItems.end() || item.Position() == found->second.Position()) {
      continue;
    }
    item.mVersion = ReadVersion(item);
    if (Replaces(item, found->second)) {
      WithholdIfListed(std::move(found->second), item, aNow);
      // The sender's view of what has expired is outdated.
      item.mIsExpired = false;
      mDeferred.erase(found->first);
      found->second = std::move(item);
      hasChanged = true;
    }
  }
  return hasChanged;
}

auto published_items::MergeWithheld(const std::vector<withheld_report>& aWithheld, time_point aNow)
  -> bool
{
  auto hasChanged = false;
  for (const auto& report : aWithheld) {
    auto item = report.mItem;
    item.mVersion = ReadVersion(item);
    if (!item.mVersion || mWithheld.contains(item.mKey)) {
      continue;
    }
    if (const auto found = mItems.find(item.mKey); found != mItems.end()) {
      const auto& held = found->second;
      if (!held.mVersion || *held.mVersion > *item.mVersion || held.Position() > item.Position()) {
        continue;
      }
      hasChanged = true;
      Erase(item.mKey, false, aNow);
    } else if (item.Position() <= mPosition) {
      // It has been removed since.
      continue;
    }
    const auto version = *item.mVersion;
    Withhold(std::move(item), version, mPosition.mHistory, aNow - report.mAge);
  }
  return hasChanged;
}

} // namespace bronzering
