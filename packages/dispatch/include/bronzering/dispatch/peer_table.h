#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_rate_limiter.h>
#include <bronzering/dispatch/peer_digest.h>
#include <bronzering/dispatch/source_position.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Membership of the other entries, discovered through seeds and through the peers' own lists. A
/// peer is live while its digests arrive. A peer that stops sending still counts as a member for a
/// while, because it may run on the other side of a network partition. Not thread-safe: owned by
/// the control thread.
class peer_table
{
public:
  /// Time without a digest after which a peer is no longer live and its load is ignored.
  static constexpr auto kLiveTimeout = std::chrono::milliseconds(700);
  /// Time without a digest after which a peer is removed.
  static constexpr auto kRemovalTimeout = std::chrono::seconds(30);
  /// Time after which an address that never sent a digest is dropped, unless it is a seed.
  static constexpr auto kCandidateTimeout = std::chrono::seconds(6);

  /// Bounds the datagrams that a peer's list causes at once.
  static constexpr std::size_t kMaxNewCandidates = 64;

  struct change
  {
    std::string mPeer;
    bool mIsUp = false;
  };
  struct live_peer
  {
    std::string mAddress;
    zone_key mZone = kUnknownZone;
    bool mIsLeaving = false;
  };

  /// aZone is the availability zone of this entry.
  explicit peer_table(std::string aSelf, zone_key aZone = kUnknownZone);

  /// Replaces the seeds. They may name entries that no longer run.
  auto SetSeeds(const std::vector<std::string>& aSeeds) -> void;
  /// Returns false if the digest is ignored because it is outdated or was sent by this entry.
  [[nodiscard]] auto OnDigest(const peer_digest& aDigest, time_point aNow) -> bool;
  /// Updates timeouts and returns the peers that became live or timed out since the last call.
  [[nodiscard]] auto TakeChanges(time_point aNow) -> std::vector<change>;
  /// Addresses to send this entry's own digest to: all live peers of its availability zone and
  /// those whose zone is unknown, those that peers have listed since the last call, at most
  /// kMaxNewCandidates, and one other known address, round-robin.
  [[nodiscard]] auto Targets() -> std::vector<std::string>;
  [[nodiscard]] auto LivePeers() const -> std::vector<live_peer>;
  /// The live peers in this entry's availability zone.
  [[nodiscard]] auto ZonePeers() const -> std::vector<std::string>;
  [[nodiscard]] auto LiveCount() const -> std::size_t;
  /// Number of entries: this one, live peers, and timed-out peers that may still run.
  [[nodiscard]] auto MemberCount() const -> std::size_t;
  /// The peers that MemberCount counts, with their last known demand.
  [[nodiscard]] auto Demands() const -> std::vector<entry_demand>;
  /// The live peer with the latest items after aPosition; empty if there is none.
  [[nodiscard]] auto FindNewerPeer(source_position aPosition) const -> std::optional<std::string>;
  /// The live peer with the highest configuration above aVersion; empty if there is none.
  [[nodiscard]] auto FindPeerWithConfigurationAbove(std::uint64_t aVersion) const
    -> std::optional<std::string>;
  /// The live peer that withholds most writes, if they are more than aCount.
  [[nodiscard]] auto FindPeerWithholdingMoreThan(std::size_t aCount) const
    -> std::optional<std::string>;
  /// Whether a live peer with a stable connection to the source holds aPosition or a later one.
  [[nodiscard]] auto IsConfirmedByPeer(source_position aPosition) const -> bool;

private:
  struct peer_state
  {
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSequence = 0;
    source_position mPosition;
    std::uint64_t mConfigurationVersion = 0;
    bool mIsSourceStable = false;
    bool mIsLive = false;
    bool mIsLeaving = false;
    std::size_t mWithheldWrites = 0;
    double mDemand = 0;
    zone_key mZone = kUnknownZone;
    time_point mLastDigest;
  };
  /// An address listed by a peer.
  struct candidate
  {
    time_point mListed;
    bool mIsContacted = false;
  };

  std::string mSelf;
  zone_key mZone;
  std::vector<std::string> mSeeds;
  std::map<std::string, peer_state, std::less<>> mPeers;
  /// Addresses listed by peers that have not sent a digest yet.
  std::map<std::string, candidate, std::less<>> mCandidates;
  std::vector<change> mChanges;
  std::size_t mNextCandidate = 0;
};

} // namespace bronzering
