#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/crash_quarantine.h>
#include <bronzering/dispatch/digest_relay.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/peer_digest.h>
#include <bronzering/dispatch/peer_table.h>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Shares what this entry knows with the other entries, and applies what they know: outstanding
/// work, usage of the organisations, positions and versions of the published items, and what
/// endpoints have shown. Decides what is sent when and to whom; the caller sends and receives.
/// A lost message only delays knowledge until a later one. Not thread-safe: owned by the control
/// thread.
class digest_exchange
{
public:
  /// Minimum time between two digests. The interval grows with the number of peers that get this
  /// entry's own digest, which bounds the messages that it sends and receives a second.
  static constexpr auto kInterval = std::chrono::milliseconds(40);
  static constexpr auto kIntervalPerPeer = std::chrono::milliseconds(5);
  /// Every how many digests one is full: it carries all totals, learned speeds and known peers.
  static constexpr auto kFullDigestEvery = 20U;
  /// Number of digests that repeat changed rate limits, and of full digests for a new peer, since
  /// messages may be lost.
  static constexpr auto kRepeats = 3U;
  /// Maximum numbers of rows of crash evidence and statements on rate limits in one digest.
  static constexpr std::size_t kMaxEvidence = 48;
  static constexpr std::size_t kMaxRateLimits = 48;
  /// A peer that has sent this many digests has been running for at least 4 s.
  static constexpr auto kEstablishedSequence = 100U;

  /// The parts of the entry that digests are taken from and applied to. They must outlive the
  /// exchange.
  struct parts
  {
    peer_table& mPeers;
    endpoint_table& mEndpoints;
    fleet_rate_limiter& mRateLimiter;
    crash_quarantine& mQuarantine;
  };
  /// What a digest says of the entry itself.
  struct entry_status
  {
    bool mIsLeaving = false;
    /// Precondition: mIsLeaving, and nothing is admitted any more.
    bool mHasEnded = false;
    source_position mPosition;
    std::uint64_t mConfigurationVersion = 0;
    bool mIsSourceStable = false;
    std::uint32_t mWithheldWrites = 0;
    double mDemand = 0;
  };
  struct changed_rate_limit
  {
    std::string mPeer;
    rate_limit_statement mStatement;
  };
  struct received
  {
    /// The digests that were not known yet.
    std::vector<peer_digest> mAccepted;
    std::vector<changed_rate_limit> mRateLimits;
    /// The entries to pass mAccepted on to with digest_hop::WithinZone.
    std::vector<std::string> mForwardTo;
  };

  /// aIncarnation identifies this run of the entry; it differs from those of earlier runs.
  digest_exchange(std::string aSelf, zone_key aZone, std::uint64_t aIncarnation, parts aParts);

  /// The messages to send now. The last one goes to all peers at once: nothing would pass it on in
  /// time or repeat it.
  [[nodiscard]] auto TakeMessages(const entry_status& aStatus, time_point aNow)
    -> std::vector<addressed_digests>;
  /// Time from one call of TakeMessages to the next.
  [[nodiscard]] auto Interval() const -> duration;
  /// Applies a message. Digests that are outdated, or this entry's own, change nothing.
  [[nodiscard]] auto OnMessage(digest_message aMessage, time_point aNow) -> received;
  /// Updates timeouts and returns the peers that became live or timed out since the last call.
  [[nodiscard]] auto TakeChanges(time_point aNow) -> std::vector<peer_table::change>;

private:
  [[nodiscard]] auto OwnDigest(const entry_status& aStatus, time_point aNow) -> peer_digest;
  /// Returns the totals that differ from those sent last.
  auto ChangedUsage(std::vector<organisation_usage> aTotals) -> std::vector<organisation_usage>;
  /// Sets how many of the next digests carry statements on rate limits.
  auto UpdateRepeats() -> void;
  auto RepeatRateLimits() -> void;
  /// Applies what a digest says of endpoints. It is merged by its age, so it counts whatever other
  /// digests of the sender are known.
  auto ApplyEvidence(const peer_digest& aDigest, time_point aNow, received& aReceived) -> void;
  /// Applies what a digest says of its sender.
  auto Apply(const peer_digest& aDigest, time_point aNow) -> void;

  std::string mSelf;
  zone_key mZone;
  std::uint64_t mIncarnation;
  parts mParts;
  digest_relay mRelay;
  std::uint64_t mSequence = 0;
  /// The totals sent last, by the organisation's key.
  std::unordered_map<std::uint64_t, double> mSentTotals;
  /// How many of the next digests are full whatever their sequence.
  std::uint32_t mFullRepeats = 0;
  /// endpoint_rate_limiter::OwnChanges at the last digest, and how many more digests repeat the
  /// statements on rate limits.
  std::uint64_t mSentRateLimitChanges = 0;
  std::uint32_t mRateLimitRepeats = 0;
};

} // namespace bronzering
