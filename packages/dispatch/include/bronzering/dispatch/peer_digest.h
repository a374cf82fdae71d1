#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/crash_quarantine.h>
#include <bronzering/dispatch/endpoint_rate_limiter.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/source_position.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Identifies an availability zone in digests.
using zone_key = std::uint64_t;

/// The zone of a sender that does not name it.
constexpr auto kUnknownZone = zone_key{ 0 };

/// The key of an availability zone, never kUnknownZone. Thread-safe.
[[nodiscard]] auto HashZone(std::string_view aAvailabilityZone) -> zone_key;

/// State that an entry sends to its peers several times per second.
struct peer_digest
{
  /// Numeric IP address of the sender.
  std::string mSender;
  /// Availability zone of the sender.
  zone_key mZone = kUnknownZone;
  /// Identifies one run of the sender; changes with every restart.
  std::uint64_t mIncarnation = 0;
  std::uint64_t mSequence = 0;
  /// The sender is shutting down. It goes on with the work that can end before it does.
  bool mIsLeaving = false;
  /// The sender has ended: it admits nothing more, and this is its last digest.
  bool mHasEnded = false;
  /// Position of the sender's copy of the published items.
  source_position mPosition;
  /// Version of the configuration in force at the sender; 0 while it has none.
  std::uint64_t mConfigurationVersion = 0;
  /// The sender has been connected to the source of the items without interruption for at least
  /// the grace period for expired items.
  bool mIsSourceStable = false;
  /// Number of writes that the sender withholds since they are older than what has taken effect.
  std::uint32_t mWithheldWrites = 0;
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

/// Which part of its way a message with digests is on.
enum class digest_hop : std::uint8_t
{
  /// From the entry whose digest it carries.
  Direct,
  /// From an entry that speaks for its availability zone to one in another zone.
  BetweenZones,
  /// From the entry that received it from another zone to its own zone.
  WithinZone
};

/// Digests as they are sent from one entry to another.
struct digest_message
{
  digest_hop mHop = digest_hop::Direct;
  std::vector<peer_digest> mDigests;
};

/// Adds what aNewer, a later digest of the same sender, says to aKept, so that a receiver of only
/// the result misses nothing that a receiver of both would know. Thread-safe.
auto MergeDigest(peer_digest& aKept, const peer_digest& aNewer) -> void;

/// Removes crash evidence and statements on rate limits that an earlier digest of the list has too:
/// they concern endpoints, whoever passes them on. Thread-safe.
auto RemoveRepeatedEvidence(std::vector<peer_digest>& aDigests) -> void;

/// Adds time that a digest has been held back to the ages that it states. Thread-safe.
auto AddAge(peer_digest& aDigest, duration aAge) -> void;

} // namespace bronzering
