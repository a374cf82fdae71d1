#pragma once

#include <bronzering/base/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// One item that the platform publishes.
struct published_item
{
  std::string mKey;
  std::string mValue;
  /// The item's last change.
  std::uint64_t mRevision = 0;
};

/// A consistent set of items.
struct published_snapshot
{
  std::uint64_t mRevision = 0;
  std::vector<published_item> mItems;
};

/// Who delivered a snapshot.
enum class item_origin
{
  Source,
  /// Another entry, which has already waited for items that lapsed during an outage.
  Peer
};

/// This entry's copy of what the platform publishes, fed by the platform's source and, while that
/// cannot be reached, by peers. It never goes back: a snapshot or change that is older than the
/// copy is ignored. Items that lapse by themselves may vanish while the source is away although
/// their owner lives, so a removal counts only once the source has been back for a while, unless a
/// peer vouches that the source was never away. Not thread-safe: owned by the control thread.
class published_items
{
public:
  /// Time after the source's return within which lapsed items come back.
  static constexpr auto kReturnGrace = std::chrono::milliseconds(2'200);

  /// All items as of a revision, read from the source or received from a peer. False when it was
  /// ignored for its age.
  auto ApplySnapshot(published_snapshot aSnapshot, item_origin aOrigin, time_point aNow) -> bool;
  /// One item was written or removed. False when the change was ignored.
  auto ApplyWrite(published_item aItem, time_point aNow) -> bool;
  auto ApplyRemoval(std::string_view aKey, std::uint64_t aRevision, time_point aNow) -> bool;
  /// All changes up to this revision have been applied.
  auto AdvanceTo(std::uint64_t aRevision) -> void;

  /// The source answers again, or no longer does.
  auto SetSourceReachable(bool aIsReachable, time_point aNow) -> void;
  [[nodiscard]] auto IsSourceReachable() const -> bool { return mIsReachable; }

  /// Whether the source has been reachable without a break for longer than lapsed items need to
  /// come back.
  [[nodiscard]] auto IsSourceStable(time_point aNow) const -> bool
  {
    return mIsReachable && aNow - mChangedAt >= kReturnGrace;
  }
  /// A peer whose source is settled holds these items or later ones, or none does any more.
  auto SetConfirmedByPeer(bool aIsVouched) -> void { mIsVouched = aIsVouched; }

  /// Drops lapsed items whose time to come back is over. True when any was dropped.
  auto RemoveExpiredItems(time_point aNow) -> bool;

  [[nodiscard]] auto Revision() const -> std::uint64_t { return mRevision; }
  /// Null when the item is not known.
  [[nodiscard]] auto Find(std::string_view aKey) const -> const published_item*;
  [[nodiscard]] auto Items() const -> const std::map<std::string, published_item, std::less<>>&
  {
    return mItems;
  }
  [[nodiscard]] auto Snapshot() const -> published_snapshot;

private:
  [[nodiscard]] auto DefersRemovals(time_point aNow) const -> bool;
  /// Removes the item, or keeps it as lapsed.
  auto Remove(const std::string& aKey, bool aIsDeferred) -> void;

  std::map<std::string, published_item, std::less<>> mItems;
  /// Items that the source no longer lists and that may come back.
  std::set<std::string, std::less<>> mLapsed;
  std::uint64_t mRevision = 0;
  bool mIsReachable = false;
  /// Whether the source was lost after it had been reached.
  bool mWasLost = false;
  bool mIsVouched = false;
  time_point mChangedAt;
};

} // namespace bronzering
