#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// What an entry tells its peers several times a second.
struct peer_digest
{
  /// Numeric address of the sender.
  std::string mSender;
  /// Names one start of the sender.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  /// The sender is shutting down.
  bool mIsLeaving = false;
  /// Revision of the published items that the sender holds.
  std::uint64_t mRevision = 0;
  /// The sender has followed the items' source without a break for a while.
  bool mIsSourceStable = false;
  std::vector<endpoint_load> mLoads;
  /// Organisations whose total has changed; all of them in a full digest.
  std::vector<organisation_usage> mOrganisationUsage;
  /// Only in full digests: learned speeds, and the addresses of the entries that the sender hears.
  std::vector<endpoint_speed> mSpeeds;
  std::vector<std::string> mPeers;
};

/// The other entries, found through seeds and through each other. A peer is live while it is heard;
/// a silent one counts as a member for a while, since it may only be cut off. Not thread-safe:
/// owned by the control thread.
class peer_table
{
public:
  /// Silence after which a peer's load no longer counts.
  static constexpr auto kSilentAfter = std::chrono::milliseconds(700);
  /// Silence after which a peer is forgotten.
  static constexpr auto kForgottenAfter = std::chrono::seconds(30);
  /// Addresses that were never heard are dropped after this time, unless they are seeds.
  static constexpr auto kUnconfirmedAfter = std::chrono::seconds(6);

  struct change
  {
    std::string mPeer;
    bool mIsUp = false;
  };

  explicit peer_table(std::string aSelf);

  /// Replaces the seeds, which may be stale.
  auto SetSeeds(const std::vector<std::string>& aSeeds) -> void;
  /// False when the digest is older than what is known of its sender, or the entry's own.
  [[nodiscard]] auto OnDigest(const peer_digest& aDigest, time_point aNow) -> bool;
  /// Peers that became live or silent since the last call.
  [[nodiscard]] auto TakeChanges(time_point aNow) -> std::vector<change>;
  /// Addresses to send digests to: live peers, and one candidate for each call in turn.
  [[nodiscard]] auto Targets(time_point aNow) -> std::vector<std::string>;
  [[nodiscard]] auto LivePeers() const -> std::vector<std::string>;
  /// This entry, live peers, and silent ones that may still run.
  [[nodiscard]] auto MemberCount() const -> std::size_t;
  /// The live peer with the highest revision above aRevision; empty when there is none.
  [[nodiscard]] auto FindNewerPeer(std::uint64_t aRevision) const -> std::optional<std::string>;
  /// Whether a live peer with a settled source holds the items of aRevision or later ones.
  [[nodiscard]] auto IsConfirmedByPeer(std::uint64_t aRevision) const -> bool;

private:
  struct peer_state
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    std::uint64_t mRevision = 0;
    bool mIsSourceStable = false;
    bool mIsLive = false;
    bool mIsLeaving = false;
    time_point mHeard;
  };

  std::string mSelf;
  std::vector<std::string> mSeeds;
  std::map<std::string, peer_state, std::less<>> mPeers;
  /// Addresses named by peers and not heard yet, with the time of the first mention.
  std::map<std::string, time_point, std::less<>> mCandidates;
  std::vector<change> mChanges;
  std::size_t mNextCandidate = 0;
};

} // namespace bronzering
