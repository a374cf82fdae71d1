#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/prompt_quarantine.h>
#include <bronzering/dispatch/source_position.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// State that an entry sends to its peers several times per second.
struct peer_digest
{
  /// Numeric IP address of the sender.
  std::string mSender;
  /// Identifies one run of the sender; changes with every restart.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  /// The sender is shutting down.
  bool mIsLeaving = false;
  /// Position of the sender's copy of the published items.
  source_position mPosition;
  /// Version of the configuration in force at the sender; 0 while it has none.
  std::uint64_t mConfigurationVersion = 0;
  /// The sender has been connected to the source of the items without interruption for at least
  /// the grace period for expired items.
  bool mIsSourceStable = false;
  /// Requests per second that the sender's callers send.
  double mDemand = 0;
  std::vector<endpoint_load> mLoads;
  /// Whether this is a full digest.
  bool mIsFull = false;
  /// Organisations whose total changed since the last digest; a full digest has all of them.
  std::vector<organisation_usage> mOrganisationUsage;
  /// Only in full digests and for a short time after a change.
  std::vector<crash_evidence> mCrashEvidence;
  std::vector<rate_limit_statement> mRateLimits;
  /// Only in full digests: measured speeds, and the addresses of the sender's live peers.
  std::vector<endpoint_speed> mSpeeds;
  std::vector<std::string> mPeers;
};

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

  explicit peer_table(std::string aSelf);

  /// Replaces the seeds. They may name entries that no longer run.
  auto SetSeeds(const std::vector<std::string>& aSeeds) -> void;
  /// Returns false if the digest is ignored because it is outdated or was sent by this entry.
  [[nodiscard]] auto OnDigest(const peer_digest& aDigest, time_point aNow) -> bool;
  /// Updates timeouts and returns the peers that became live or timed out since the last call.
  [[nodiscard]] auto TakeChanges(time_point aNow) -> std::vector<change>;
  /// Addresses to send digests to: all live peers, those that peers have listed since the last
  /// call, at most kMaxNewCandidates, and one other known address, round-robin.
  [[nodiscard]] auto Targets(time_point aNow) -> std::vector<std::string>;
  [[nodiscard]] auto LivePeers() const -> std::vector<std::string>;
  /// Number of entries: this one, live peers, and timed-out peers that may still run.
  [[nodiscard]] auto MemberCount() const -> std::size_t;
  /// The peers that MemberCount counts, with their last known demand.
  [[nodiscard]] auto Demands() const -> std::vector<entry_demand>;
  /// The live peer with the latest items after aPosition; empty if there is none.
  [[nodiscard]] auto FindNewerPeer(source_position aPosition) const -> std::optional<std::string>;
  /// The live peer with the highest configuration above aVersion; empty if there is none.
  [[nodiscard]] auto FindPeerWithConfigurationAbove(std::uint64_t aVersion) const
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
    double mDemand = 0;
    time_point mLastDigest;
  };
  /// An address listed by a peer.
  struct candidate
  {
    time_point mListed;
    bool mIsContacted = false;
  };

  std::string mSelf;
  std::vector<std::string> mSeeds;
  std::map<std::string, peer_state, std::less<>> mPeers;
  /// Addresses listed by peers that have not sent a digest yet.
  std::map<std::string, candidate, std::less<>> mCandidates;
  std::vector<change> mChanges;
  std::size_t mNextCandidate = 0;
};

} // namespace bronzering
