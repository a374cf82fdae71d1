#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/routing_document.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Units that one entry has admitted for an organisation since the entry started, as reported to
/// its peers.
struct organisation_usage
{
  /// Hash of the name of the organisation.
  std::uint64_t mKey = 0;
  double mTotal = 0;
};

/// What an entry reports to its peers about its admissions.
struct usage_report
{
  /// Identifies the sender.
  std::string mSender;
  /// Identifies one run of the sender.
  std::uint64_t mIncarnation = 0;
  /// Whether the report has all totals, and not only those that changed since the last one.
  bool mIsComplete = false;
  /// Whether the sender has been running for several seconds. The totals of others were all
  /// admitted a short time ago.
  bool mIsEstablished = false;
  std::vector<organisation_usage> mTotals;
};

/// By how much all entries together may exceed a limit. Entries learn of each other's admissions
/// with a delay; without a tolerance they would reject requests that are within the limit.
struct quota_tolerance
{
  /// Additional fraction of the rate and the burst.
  double mOvershoot = 0;
  /// Additional units in the burst.
  double mSlack = 0;
};

/// Rate limiter for organisations, shared by all entries. Each entry keeps a replica of one token
/// bucket per organisation and charges it with its own admissions and those that peers report. For
/// a peer that stops reporting, its last known rate is charged, because it may still be admitting
/// requests on the other side of a network partition. A peer that is shutting down is charged like
/// any other until it has ended. Not thread-safe: owned by the control thread.
class fleet_rate_limiter
{
public:
  /// Longest time for which the last known rate of an unresponsive peer is charged.
  static constexpr auto kMaxAssumedTime = std::chrono::seconds(8);

  explicit fleet_rate_limiter(quota_tolerance aTolerance = {});

  /// Sets rates and bursts. An existing bucket keeps its level, capped at the new burst. A new
  /// bucket starts partly filled, or empty if an established peer is known, because admissions
  /// before a restart of this entry are unknown.
  auto Configure(const std::vector<organisation_spec>& aOrganisations, time_point aNow) -> void;

  /// Takes aUnits, whatever their number, unless the level of the bucket is negative. Returns zero
  /// on success, otherwise the time until the level is no longer negative. Unknown organisations
  /// have no limit.
  [[nodiscard]] auto Spend(std::string_view aOrganisation, double aUnits, time_point aNow)
    -> duration;
  /// Returns the units of a request that did not run.
  auto Refund(std::string_view aOrganisation, double aUnits, time_point aNow) -> void;

  /// Applies the totals reported by a peer. Those that an established peer reports up to its first
  /// complete report are the baseline and are not charged: when they were admitted is unknown. For
  /// a peer that has just started they empty the bucket at most.
  auto OnPeerUsage(const usage_report& aReport, time_point aNow) -> void;
  /// Records that a peer has been running for a while. If this entry has just started, the shared
  /// burst may already be used up, so all buckets are emptied.
  auto OnEstablishedPeer(time_point aNow) -> void;
  /// Removes a peer whose process has ended; its last known rate is no longer charged.
  /// Precondition: all that it has admitted was reported.
  auto OnPeerEnd(std::string_view aPeer) -> void;

  [[nodiscard]] auto Totals() const -> std::vector<organisation_usage>;
  /// Units left in the bucket of an organisation, negative if it is in debt; 0 for unknown
  /// organisations.
  [[nodiscard]] auto Level(std::string_view aOrganisation, time_point aNow) -> double;

private:
  struct peer_usage
  {
    double mTotal = 0;
    /// Units per second, averaged over about two seconds.
    double mRate = 0;
    time_point mFirstReported;
    time_point mLastReported;
    /// Units charged since the last report on the assumption that the rate has not changed.
    double mAssumedUnits = 0;
  };
  struct peer_state
  {
    std::uint64_t mIncarnation = 0;
    /// A complete report has been received, so a new total has grown from zero since.
    bool mHasBaseline = false;
    time_point mLastDigest;
    std::unordered_map<std::uint64_t, peer_usage> mOrganisationUsage;
  };
  struct bucket
  {
    double mRate = 0;
    double mBurst = 0;
    double mLevel = 0;
    double mOwnTotal = 0;
    time_point mRefilled;
  };

  auto Refill(std::uint64_t aKey, bucket& aBucket, time_point aNow) -> void;
  auto ChargeUnresponsivePeers(std::uint64_t aKey, bucket& aBucket, time_point aNow) -> void;

  quota_tolerance mTolerance;
  std::optional<time_point> mStarted;
  bool mIsEstablished = false;
  std::unordered_map<std::uint64_t, bucket> mBuckets;
  std::map<std::string, peer_state, std::less<>> mPeers;
};

} // namespace bronzering
