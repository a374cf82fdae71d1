#pragma once

#include <bronzering/base/name_table.h>
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

/// Version that the owner of an item has given it. Unlike a revision it tells the order in which
/// the owner made its writes, whatever the source did with them.
struct owner_version
{
  /// Rises with each restart of the owner. 0 if it has none: such an item does not expire.
  std::uint64_t mIncarnation = 0;
  /// Rises with each write of an incarnation.
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

/// A write that the source lists, but that is older than what has taken effect, as told to a peer.
struct withheld_report
{
  published_item mItem;
  /// How long it has been withheld.
  duration mAge{};
};

/// All items as of one revision.
struct published_snapshot
{
  std::uint64_t mRevision = 0;
  std::vector<published_item> mItems;
  std::uint64_t mHistory = 0;
  /// Only in what a peer sends.
  std::vector<withheld_report> mWithheld = {};

  [[nodiscard]] auto Position() const -> source_position { return { mHistory, mRevision }; }
};

/// Reads the owner's version of an item; empty if it has none or cannot be read.
using owner_version_reader = std::function<std::optional<owner_version>(const published_item&)>;

/// What happened to a write that is older than what has taken effect.
enum class withheld_change
{
  /// It was withheld.
  Withheld,
  /// Its owner must have renewed it, so it has taken effect.
  Renewed
};
inline constexpr auto kWithheldChangeNames = name_table<withheld_change, 2>{
  { { { withheld_change::Withheld, "withheld" }, { withheld_change::Renewed, "renewed" } } }
};

struct withheld_event
{
  withheld_change mChange = withheld_change::Withheld;
  std::string mKey;
  owner_version mVersion;
  /// The version that was in effect, or that of the item when it was removed.
  owner_version mLater;
};

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
/// The owner of an item is the process that wrote it. It may give its writes versions, which decide
/// between two writes of the same item: the source may do a write that it did not answer seconds
/// later, after others of the same owner, after the item was removed or after the owner restarted.
/// A write with a lower version than the one held, or of an incarnation whose item was removed a
/// short time ago, is withheld: the copy keeps what it has, until the owner writes a later version
/// or the source removes the item. If neither happens in the time in which an item expires, its
/// owner has renewed it and the write takes effect: start times that owners give may be wrong.
///
/// When the source is restored from an older copy, its new history replaces the old one, but what
/// has taken effect stays in effect until the source catches up, by the same rules.
///
/// An item with a lease expires, so that the source removes it, unless its owner renews it in time.
/// During an outage of the source, items may thus expire although their owner is alive. After an
/// outage, a removal therefore takes effect only after a grace period, unless a peer that stayed
/// connected to the source confirms the copy. Until then the item stays in the copy as an expired
/// item, also at peers that take it from here. The loss of a connection is no outage, and later
/// interruptions extend the time of an item only if its owner was kept from renewing it.
///
/// Not thread-safe: owned by the control thread.
class published_items
{
public:
  /// Longest grace period.
  static constexpr auto kRenewalGrace = source_monitor::kRenewalGrace;
  /// Longest time for which outages after each other can defer the removal of an item.
  static constexpr auto kMaxDeferral = std::chrono::seconds(10);
  /// Time within which a restored source removes items that their owners do not renew. The same for
  /// any source if source_bounds::mRenewalInterval is not known.
  static constexpr auto kLeaseExpiry = std::chrono::seconds(10);
  /// Renewal intervals within which a source removes an item that its owner does not renew, and the
  /// removal is known here.
  static constexpr auto kRenewalsToExpiry = 4;
  /// How much later the source may do a write that it has not answered.
  static constexpr auto kMaxWriteDelay = std::chrono::seconds(6);
  /// By how much the times at which two changes are known here may differ from their distance.
  static constexpr auto kDeliveryMargin = std::chrono::seconds(1);
  /// How long a removed item is remembered, and how many are. The copy that the source is restored
  /// from may be that old.
  static constexpr auto kRemovalMemory = std::chrono::minutes(10);
  static constexpr std::size_t kMaxRemovals = 4'096;

  explicit published_items(owner_version_reader aVersionOf = {}, source_bounds aBounds = {});

  /// Replaces all items by a snapshot from the source or from a peer. Of an outdated snapshot only
  /// what a peer has of later versions is used. Returns false if the snapshot was ignored.
  auto ApplySnapshot(published_snapshot aSnapshot, item_origin aOrigin, time_point aNow) -> bool;
  /// Takes from a peer what has taken effect and is later than what the source lists, and withholds
  /// what the peer withholds. Returns false if there was nothing new.
  auto MergeLaterWrites(published_snapshot aSnapshot, time_point aNow) -> bool;
  /// Whether the copy is so new that it may have late writes which peers withhold, since they know
  /// what was written before.
  [[nodiscard]] auto MayHaveLateWrites(time_point aNow) const -> bool;
  /// Applies one write. Returns false if it is older than the copy, or withheld.
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

  /// Number of withheld writes.
  [[nodiscard]] auto WithheldCount() const -> std::size_t { return mWithheld.size(); }
  /// What happened to withheld writes since the last call.
  [[nodiscard]] auto TakeWithheldEvents() -> std::vector<withheld_event>;

  [[nodiscard]] auto Position() const -> source_position { return mPosition; }
  /// Returns null if there is no such item.
  [[nodiscard]] auto Find(std::string_view aKey) const -> const published_item*;
  [[nodiscard]] auto Items() const -> const std::map<std::string, published_item, std::less<>>&
  {
    return mItems;
  }
  /// What to tell a peer.
  [[nodiscard]] auto Snapshot(time_point aNow) const -> published_snapshot;

private:
  struct removal
  {
    owner_version mVersion;
    std::uint64_t mHistory = 0;
    time_point mTime;
    /// Whether the item may have expired in an outage, with its owner alive.
    bool mMayHaveExpired = false;
  };

  /// A write that the source lists, but that is not in effect.
  struct withheld_write
  {
    published_item mItem;
    owner_version mLater;
    /// When the first write of its incarnation was withheld, or the item was removed before it.
    time_point mSince;
    /// Time after which the source lists the item only if its owner renews it.
    duration mWait{};
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
  /// Removes the item from the copy and remembers its version. aMayHaveExpired says that it was not
  /// confirmed that its owner is gone.
  auto Erase(const std::string& aKey, bool aMayHaveExpired, time_point aNow) -> void;
  /// Keeps out aItem if the source lists it, although aLater, which is in effect, was written
  /// later.
  auto WithholdIfListed(published_item aItem, const published_item& aLater, time_point aNow)
    -> void;
  /// Keeps out a write that the source lists since aSince. aLater is the version in effect, or that
  /// of the item when it was removed, in the history aHistory. Precondition: aItem has a version.
  auto Withhold(published_item aItem,
                const owner_version& aLater,
                std::uint64_t aHistory,
                time_point aSince) -> void;
  /// Forgets the withheld write of an item, if the source's state at aPosition is a later one.
  /// Returns false if there was none.
  auto DropWithheld(std::string_view aKey, source_position aPosition) -> bool;
  /// Whether aItem replaces aHeld. Precondition: both have the same key.
  [[nodiscard]] static auto Replaces(const published_item& aItem, const published_item& aHeld)
    -> bool;
  /// The removal of the item, if this is an earlier write of its owner, done late by the source or
  /// listed by one that was restored; otherwise null.
  [[nodiscard]] auto RemovalAfter(const published_item& aItem, time_point aNow) const
    -> const removal*;
  [[nodiscard]] auto ReadVersion(const published_item& aItem) const -> std::optional<owner_version>;
  /// Replaces items by later versions that a peer has. Returns true if any item was replaced.
  auto MergeLaterVersions(std::vector<published_item> aItems, time_point aNow) -> bool;
  /// Withholds what a peer withholds, if the copy has it. Returns true if any item was removed.
  auto MergeWithheld(const std::vector<withheld_report>& aWithheld, time_point aNow) -> bool;

  owner_version_reader mVersionOf;

  std::map<std::string, published_item, std::less<>> mItems;
  /// The expired items by key.
  std::map<std::string, deferred_removal, std::less<>> mDeferred;
  /// Removed items by key, with the last version that was held.
  std::map<std::string, removal, std::less<>> mRemovals;
  /// Writes that the source lists, but that are older than what has taken effect.
  std::map<std::string, withheld_write, std::less<>> mWithheld;
  std::vector<withheld_event> mWithheldEvents;
  source_position mPosition;
  /// When the copy was first filled.
  std::optional<time_point> mFilled;
  source_monitor mSource;
  /// How long the source lists an item that its owner does not renew.
  duration mItemExpiry;
  bool mIsConfirmedByPeer = false;
};

} // namespace bronzering
