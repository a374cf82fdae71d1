#include <bronzering/dispatch/published_items.h>

#include <algorithm>

namespace bronzering {

auto published_items::ApplySnapshot(published_snapshot aSnapshot,
                                    item_origin aOrigin,
                                    time_point aNow) -> bool
{
  if (aSnapshot.mRevision < mRevision) {
    return false;
  }
  auto listed = std::set<std::string, std::less<>>();
  for (auto& item : aSnapshot.mItems) {
    listed.insert(item.mKey);
    ApplyWrite(std::move(item), aNow);
  }
  auto missing = std::vector<std::string>();
  for (const auto& [key, item] : mItems) {
    // An item that is newer than the snapshot may not have existed when the snapshot was taken.
    if (!listed.contains(key) && item.mRevision <= aSnapshot.mRevision) {
      missing.push_back(key);
    }
  }
  const auto isDeferred = aOrigin == item_origin::Source && DefersRemovals(aNow);
  for (const auto& key : missing) {
    Remove(key, isDeferred);
  }
  AdvanceTo(aSnapshot.mRevision);
  return true;
}

auto published_items::ApplyWrite(published_item aItem, time_point /*aNow*/) -> bool
{
  const auto found = mItems.find(aItem.mKey);
  if (found != mItems.end() && found->second.mRevision > aItem.mRevision) {
    return false;
  }
  mExpiredKeys.erase(aItem.mKey);
  auto key = aItem.mKey;
  mItems.insert_or_assign(std::move(key), std::move(aItem));
  return true;
}

auto published_items::ApplyRemoval(std::string_view aKey, std::uint64_t aRevision, time_point aNow)
  -> bool
{
  const auto found = mItems.find(aKey);
  if (found == mItems.end() || found->second.mRevision > aRevision) {
    return false;
  }
  Remove(std::string(aKey), DefersRemovals(aNow));
  return true;
}

auto published_items::AdvanceTo(std::uint64_t aRevision) -> void
{
  mRevision = std::max(mRevision, aRevision);
}

auto published_items::SetSourceReachable(bool aIsReachable, time_point aNow) -> void
{
  if (aIsReachable == mIsReachable) {
    return;
  }
  mHadOutage = mHadOutage || mIsReachable;
  mIsReachable = aIsReachable;
  mReachabilityChanged = aNow;
}

auto published_items::RemoveExpiredItems(time_point aNow) -> bool
{
  if (mExpiredKeys.empty() || DefersRemovals(aNow)) {
    return false;
  }
  for (const auto& key : mExpiredKeys) {
    mItems.erase(key);
  }
  mExpiredKeys.clear();
  return true;
}

auto published_items::Find(std::string_view aKey) const -> const published_item*
{
  const auto found = mItems.find(aKey);
  return found == mItems.end() ? nullptr : &found->second;
}

auto published_items::Snapshot() const -> published_snapshot
{
  auto snapshot = published_snapshot{ mRevision, {} };
  snapshot.mItems.reserve(mItems.size());
  for (const auto& [key, item] : mItems) {
    snapshot.mItems.push_back(item);
  }
  return snapshot;
}

auto published_items::DefersRemovals(time_point aNow) const -> bool
{
  return !mIsReachable ||
         (mHadOutage && !mIsConfirmedByPeer && aNow - mReachabilityChanged < kRenewalGrace);
}

auto published_items::Remove(const std::string& aKey, bool aIsDeferred) -> void
{
  if (aIsDeferred) {
    mExpiredKeys.insert(aKey);
  } else {
    mItems.erase(aKey);
    mExpiredKeys.erase(aKey);
  }
}

} // namespace bronzering
