#pragma once

#include <bronzering/base/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// A key-value pair published by the platform. The key is the item's name, not a credential.
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

/// Local copy of the items published by the platform, updated from the source, which is the
/// platform's store, and from peers while the source is unreachable. Revisions never go backwards:
/// a snapshot or change that is older than the copy is ignored.
///
/// The owner of an item is the process that wrote it. An item with a lease expires, so that the
/// source removes it, unless its owner renews it in time. During an outage of the source, items may
/// thus expire although their owner is alive. After an outage, a removal therefore takes effect
/// only after a grace period, unless a peer that stayed connected to the source confirms the copy.
/// Until then the item stays in the copy as an expired item.
///
/// Not thread-safe: owned by the control thread.
class published_items
{
public:
  /// Grace period: time after the source becomes reachable again within which owners that are alive
  /// write their expired items again.
  static constexpr auto kRenewalGrace = std::chrono::milliseconds(2'200);

  /// Replaces all items by a snapshot from the source or from a peer. Returns false if the snapshot
  /// is outdated and was ignored.
  auto ApplySnapshot(published_snapshot aSnapshot, item_origin aOrigin, time_point aNow) -> bool;
  /// Applies one write. Returns false if the copy has a later revision of the item.
  auto ApplyWrite(published_item aItem, time_point aNow) -> bool;
  /// Applies one removal, now or after the grace period. Returns false if there is no such item or
  /// the copy has a later revision of it than aRevision.
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

  /// Removes the expired items (those whose removal was deferred) once removals are no longer
  /// deferred. Returns true if any item was removed.
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
  /// Whether a removal must wait: the source is unreachable, or it has become reachable again after
  /// an outage, the grace period is not over and no peer confirms the copy.
  [[nodiscard]] auto DefersRemovals(time_point aNow) const -> bool;
  /// Removes the item now, or keeps it as an expired item until RemoveExpiredItems removes it.
  auto Remove(const std::string& aKey, bool aIsDeferred) -> void;

  std::map<std::string, published_item, std::less<>> mItems;
  /// Keys of the expired items: the source no longer lists them but their owners may still renew
  /// them, so mItems still contains them.
  std::set<std::string, std::less<>> mExpiredKeys;
  std::uint64_t mRevision = 0;
  bool mIsReachable = false;
  /// Whether the source became unreachable after it had been reachable.
  bool mHadOutage = false;
  bool mIsConfirmedByPeer = false;
  /// When mIsReachable last changed.
  time_point mReachabilityChanged;
};

} // namespace bronzering
