#pragma once

#include <bronzering/base/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// A key-value pair published by the platform.
struct published_item
{
  std::string mKey;
  std::string mValue;
  /// Revision of the item's last change.
  std::uint64_t mRevision = 0;
};

/// All items as of one revision.
struct published_snapshot
{
  std::uint64_t mRevision = 0;
  std::vector<published_item> mItems;
};

/// Where a snapshot was received from.
enum class item_origin
{
  Source,
  /// Another entry, which has already applied the grace period for items that expired in an outage.
  Peer
};

/// Local copy of the items published by the platform, updated from the platform's source and, while
/// that is unreachable, from peers. Revisions never go backwards: a snapshot or change that is
/// older than the copy is ignored. During an outage of the source, items with a lease may expire
/// although their owner is alive. After an outage, a removal therefore takes effect only after a
/// grace period, unless a peer that stayed connected to the source confirms the copy. Not
/// thread-safe: owned by the control thread.
class published_items
{
public:
  /// Time after the source becomes reachable again within which owners renew expired items.
  static constexpr auto kRenewalGrace = std::chrono::milliseconds(2'200);

  /// Replaces all items by a snapshot from the source or from a peer. Returns false if the snapshot
  /// is outdated and was ignored.
  auto ApplySnapshot(published_snapshot aSnapshot, item_origin aOrigin, time_point aNow) -> bool;
  /// Applies one write or removal. Returns false if the change is outdated and was ignored.
  auto ApplyWrite(published_item aItem, time_point aNow) -> bool;
  auto ApplyRemoval(std::string_view aKey, std::uint64_t aRevision, time_point aNow) -> bool;
  /// Sets the revision after all changes up to it have been applied.
  auto AdvanceTo(std::uint64_t aRevision) -> void;

  /// Records whether the source responds.
  auto SetSourceReachable(bool aIsReachable, time_point aNow) -> void;
  [[nodiscard]] auto IsSourceReachable() const -> bool { return mIsReachable; }

  /// Whether the source has been reachable without interruption for the whole grace period.
  [[nodiscard]] auto IsSourceStable(time_point aNow) const -> bool
  {
    return mIsReachable && aNow - mReachabilityChanged >= kRenewalGrace;
  }
  /// Sets whether a peer with a stable connection to the source holds this revision or a later one.
  auto SetConfirmedByPeer(bool aIsConfirmed) -> void { mIsConfirmedByPeer = aIsConfirmed; }

  /// Removes the items whose removal was deferred, once the grace period is over. Returns true if
  /// any item was removed.
  auto RemoveExpiredItems(time_point aNow) -> bool;

  [[nodiscard]] auto Revision() const -> std::uint64_t { return mRevision; }
  /// Returns null if there is no such item.
  [[nodiscard]] auto Find(std::string_view aKey) const -> const published_item*;
  [[nodiscard]] auto Items() const -> const std::map<std::string, published_item, std::less<>>&
  {
    return mItems;
  }
  [[nodiscard]] auto Snapshot() const -> published_snapshot;

private:
  [[nodiscard]] auto DefersRemovals(time_point aNow) const -> bool;
  /// Removes the item now, or marks it for removal after the grace period.
  auto Remove(const std::string& aKey, bool aIsDeferred) -> void;

  std::map<std::string, published_item, std::less<>> mItems;
  /// Keys of items that the source no longer lists but that may be renewed.
  std::set<std::string, std::less<>> mExpiredKeys;
  std::uint64_t mRevision = 0;
  bool mIsReachable = false;
  /// Whether the source became unreachable after it had been reachable.
  bool mHadOutage = false;
  bool mIsConfirmedByPeer = false;
  time_point mReachabilityChanged;
};

} // namespace bronzering
