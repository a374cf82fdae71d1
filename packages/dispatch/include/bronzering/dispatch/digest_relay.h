#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/peer_digest.h>
#include <bronzering/dispatch/peer_table.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// A message with digests and the entries that it is sent to.
struct addressed_digests
{
  std::vector<std::string> mTargets;
  digest_message mMessage;
};

/// Carries digests between availability zones, so that their cost there grows with the number of
/// zones and not with the square of the number of entries.
///
/// Entries send their own digests within their zone. For each other zone, kSpeakers entries pass on
/// what all entries of their zone have sent since the last round, one message for a zone. The entry
/// that receives it passes it on within its own zone, and the receivers take turns. Speakers follow
/// from the live peers by rendezvous hashing, without agreement: entries that disagree cause
/// duplicates, which the sequence numbers of the digests reveal, or a gap until the next round.
/// Digests stay those of their senders; nothing is added up, so nothing is counted twice, and an
/// entry that dies is missed as soon as its own digests end. Not thread-safe: owned by the control
/// thread.
class digest_relay
{
public:
  /// Entries that speak for a zone to another one. One of them may be frozen or cut off without
  /// being missed for peer_table::kLiveTimeout.
  static constexpr std::size_t kSpeakers = 2;
  /// Time between two rounds of a speaker: the first for each entry of the fleet, the second at
  /// most.
  static constexpr auto kRoundPerEntry = std::chrono::milliseconds(2);
  static constexpr auto kMaxRound = std::chrono::milliseconds(200);

  /// aSelf is the address of this entry, aZone its availability zone.
  digest_relay(std::string aSelf, zone_key aZone);

  /// Remembers a digest of this entry, or one that a peer of its zone has sent to it, for the next
  /// round. Precondition: it is later than those of the same sender before.
  auto Keep(const peer_digest& aDigest, time_point aNow) -> void;
  /// The messages to other zones that are due, given the live peers.
  [[nodiscard]] auto TakeRound(const std::vector<peer_table::live_peer>& aLive, time_point aNow)
    -> std::vector<addressed_digests>;

private:
  struct kept_digest
  {
    peer_digest mDigest;
    time_point mReceived;
  };

  /// This entry's place among the speakers for its zone to aZone; empty if it is none of them.
  [[nodiscard]] auto SpeakerIndex(zone_key aZone,
                                  const std::vector<std::string_view>& aOwnZone) const
    -> std::optional<std::size_t>;

  std::string mSelf;
  zone_key mZone;
  std::map<std::string, kept_digest, std::less<>> mKept;
  std::optional<time_point> mLastRound;
  std::uint64_t mRounds = 0;
};

} // namespace bronzering
