#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/source_monitor.h>
#include <bronzering/dispatch/source_position.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Version that the owner of an item has given it. Unlike a revision it keeps its meaning when the
/// source is restored. A restart of the owner has a higher incarnation.
struct owner_version
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mNumber = 0;

  auto operator<=>(const owner_version&) const = default;
};

/// A key-value pair published by the platform. The key is the item's name, not a credential.
struct published_item
{
  std::string mKey;
  std::string mValue;
  /// Revision of the item's last change, and the history that it belongs to.
  std::uint64_t mRevision = 0;
  std::uint64_t mHistory = 0;
  /// Whether the source no longer lists the item, although its owner may still renew it.
  bool mIsExpired = false;
  /// Read from the value when the item is applied; empty if it has none or cannot be read.
  std::optional<owner_version> mVersion = {};

  [[nodiscard]] auto Position() const -> source_position { return { mHistory, mRevision }; }
};

/// All items as of one revision.
struct published_snapshot
{
  std::uint64_t mRevision = 0;
  std::vector<published_item> mItems;
  std::uint64_t mHistory = 0;

  [[nodiscard]] auto Position() const -> source_position { return { mHistory, mRevision }; }
};

/// Reads the owner's version of an item; empty if it has none or cannot be read.
using owner_version_reader = std::function<std::optional<owner_version>(const published_item&)>;

/// Where a snapshot was received from.
enum class item_origin
{
  Source,
  /// Another entry, which has already applied the grace period for items that expired in an outage.
  Peer
};

/// Local copy of the items published by the platform, updated from the source, which is the
/// platform's store, and from peers while the source is unreachable. Within one history of the
/// source, a snapshot or change that is older than the copy is ignored.
///
/// When the source is restored from an older copy, its new history replaces the old one, but what
/// has taken effect stays in effect until the source catches up. An item whose owner's version is
/// higher than the one in the new history is kept. An item that had been removed before, or that
/// another incarnation of its owner wrote, is withheld until its owner writes a later version, or
/// must have renewed it: start times that owners give may be wrong.
///
/// The owner of an item is the process that wrote it. An item with a lease expires, so that the
/// source removes it, unless its owner renews it in time. During an outage of the source, items may
/// thus expire although their owner is alive. After an outage, a removal therefore takes effect
/// only after a grace period, unless a peer that stayed connected to the source confirms the copy.
/// Until then the item stays in the copy as an expired item, also at peers that take it from here.
/// The loss of a connection is no outage, and later interruptions extend the time of an item only
/// if its owner was kept from renewing it.
///
/// Not thread-safe: owned by the control thread.
class published_items
{
public:
  /// Longest grace period.
  static constexpr auto kRenewalGrace = source_monitor::kRenewalGrace;
  /// Longest time for which outages after each other can defer the removal of an item.
  static constexpr auto kMaxDeferral = std::chrono::seconds(10);
  /// Time within which a restored source removes items that their owners do not renew.
  static constexpr auto kLeaseExpiry = std::chrono::seconds(10);
  /// How long a removed item is remembered, and how many are. The copy that the source is restored
  /// from may be that old.
  static constexpr auto kRemovalMemory = std::chrono::minutes(10);
  static constexpr std::size_t kMaxRemovals = 4'096;

  explicit published_items(owner_version_reader aVersionOf = {}, source_bounds aBounds = {});

  /// Replaces all items by a snapshot from the source or from a peer. Of an outdated snapshot only
  /// what a peer has of later versions is used. Returns false if the snapshot was ignored.
  auto ApplySnapshot(published_snapshot aSnapshot, item_origin aOrigin, time_point aNow) -> bool;
  /// Applies one write. Returns false if it is older than the copy or withheld.
  auto ApplyWrite(published_item aItem, time_point aNow) -> bool;
  /// Applies one removal, now or after the grace period. Returns false if there is no such item or
  /// the copy has a later write of it than aPosition.
  auto ApplyRemoval(std::string_view aKey, source_position aPosition, time_point aNow) -> bool;
  /// Sets the position after all changes up to it have been applied.
  auto AdvanceTo(source_position aPosition) -> void;

  /// Records an answer of the source, after the items in it were applied. Returns what the
  /// interruption was that it ends; empty if there was none.
  auto OnSourceAnswer(time_point aNow) -> std::optional<source_interruption>;
  /// Records a call to the source that failed.
  auto OnSourceFailure(time_point aNow) -> void { mSource.OnFailure(aNow); }
  [[nodiscard]] auto IsSourceReachable() const -> bool { return mSource.IsReachable(); }

  /// Whether the source has been reachable and in one history for the whole grace period.
  [[nodiscard]] auto IsSourceStable(time_point aNow) const -> bool
  {
    return mSource.IsReachable() && aNow - mSource.LastDisturbance() >= kRenewalGrace;
  }
  /// Sets whether a peer with a stable connection to the source holds this position or a later one.
  auto SetConfirmedByPeer(bool aIsConfirmed) -> void { mIsConfirmedByPeer = aIsConfirmed; }

  /// Removes the expired items (those whose removal was deferred) whose time is over, and adds the
  /// withheld items that their owners must have renewed since. Returns true if any item was removed
  /// or added.
  auto ApplyDeferredChanges(time_point aNow) -> bool;
  /// When the next expired item is to be removed; empty if there is none or the source is
  /// unreachable.
  [[nodiscard]] auto NextRemoval() const -> std::optional<time_point>;
  /// Number of expired items.
  [[nodiscard]] auto DeferredCount() const -> std::size_t { return mDeferred.size(); }

  [[nodiscard]] auto Position() const -> source_position { return mPosition; }
  /// Returns null if there is no such item.
  [[nodiscard]] auto Find(std::string_view aKey) const -> const published_item*;
  [[nodiscard]] auto Items() const -> const std::map<std::string, published_item, std::less<>>&
  {
    return mItems;
  }
  [[nodiscard]] auto Snapshot() const -> published_snapshot;

private:
  struct removal
  {
    owner_version mVersion;
    std::uint64_t mHistory = 0;
    time_point mTime;
  };

  /// A removal that waits for its item to be renewed.
  struct deferred_removal
  {
    time_point mSince;
    /// Empty until the source answers.
    std::optional<time_point> mDue;
  };

  /// Whether a removal must wait: the source is unreachable, or it was restored or has become
  /// reachable again after an outage, the grace period is not over and no peer confirms the copy.
  [[nodiscard]] auto DefersRemovals(time_point aNow) const -> bool;
  /// Keeps the item as an expired item until aDue, or, while the source is unreachable, until its
  /// next answer tells how long.
  auto Defer(const std::string& aKey, time_point aDue, time_point aNow) -> void;
  auto Erase(const std::string& aKey, time_point aNow) -> void;
  /// Whether aItem replaces aHeld. Precondition: both have the same key.
  [[nodiscard]] auto Replaces(const published_item& aItem, const published_item& aHeld) const
    -> bool;
  /// Whether different incarnations of the owner wrote the items. Precondition: the same key.
  [[nodiscard]] auto IsOtherIncarnation(const published_item& aItem,
                                        const published_item& aHeld) const -> bool;
  /// Whether a restored source lists an item as it was before its removal.
  [[nodiscard]] auto IsRemovedVersion(const published_item& aItem) const -> bool;
  [[nodiscard]] auto ReadVersion(const published_item& aItem) const -> std::optional<owner_version>;
  /// Takes from an outdated snapshot what its sender has of later versions. Returns true if any
  /// item was replaced.
  auto MergeLaterVersions(published_snapshot aSnapshot) -> bool;

  owner_version_reader mVersionOf;

  std::map<std::string, published_item, std::less<>> mItems;
  /// The expired items by key.
  std::map<std::string, deferred_removal, std::less<>> mDeferred;
  /// Removed items by key, with the last version that was held.
  std::map<std::string, removal, std::less<>> mRemovals;
  /// Items of the present history that what has taken effect before keeps out.
  std::map<std::string, published_item, std::less<>> mWithheld;
  source_position mPosition;
  source_monitor mSource;
  bool mIsConfirmedByPeer = false;
};

} // namespace bronzering
