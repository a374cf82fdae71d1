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

/// What one entry has admitted of an organisation since the entry started, as told to its peers.
struct organisation_usage
{
  /// Hash of the organisation's name.
  std::uint64_t mKey = 0;
  double mTotal = 0;
};

/// How far the fleet may exceed a limit in sum. Entries learn of each other's admissions late, and
/// what they plan with spares requests that are within the limit.
struct quota_tolerance
{
  /// Share of rate and burst.
  double mOvershoot = 0;
  /// Units besides, at once.
  double mSlack = 0;
};

/// Limits of organisations over all entries together. Every entry keeps a token bucket for the
/// whole fleet and takes from it what it admits itself and what its peers report. A peer that fell
/// silent is charged at the rate it had, since it may be cut off and still admitting. Not
/// thread-safe: owned by the control thread.
class fleet_rate_limiter
{
public:
  /// How long a silent peer is charged for.
  static constexpr auto kSilentPeerCharge = std::chrono::seconds(8);

  explicit fleet_rate_limiter(quota_tolerance aTolerance = {});

  /// Adopts rates and bursts; the level of a bucket is kept, at most at its new burst. A new bucket
  /// is empty, because what was admitted before a restart is not known.
  auto Configure(const std::vector<organisation_spec>& aOrganisations, time_point aNow) -> void;

  /// Takes aUnits, whatever their number, if the bucket is not empty. Returns zero on success,
  /// otherwise the time after which it will not be empty. Unknown organisations have no limit.
  [[nodiscard]] auto Spend(std::string_view aOrganisation, double aUnits, time_point aNow)
    -> duration;
  /// Returns what a request took that never ran.
  auto Refund(std::string_view aOrganisation, double aUnits, time_point aNow) -> void;

  /// Totals from a peer. The first report of an incarnation is its baseline.
  auto OnPeerUsage(std::string_view aPeer,
                   std::uint64_t aIncarnation,
                   const std::vector<organisation_usage>& aTotals,
                   time_point aNow) -> void;
  /// A peer has been running for a while, so this entry alone is new and the fleet's burst may be
  /// spent. Empties the buckets if this entry has just started.
  auto OnEstablishedPeer(time_point aNow) -> void;
  /// The peer said goodbye: nothing more is charged for it.
  auto OnPeerShutdown(std::string_view aPeer) -> void;

  [[nodiscard]] auto Totals() const -> std::vector<organisation_usage>;
  /// Units left in the organisation's bucket; 0 for unknown organisations.
  [[nodiscard]] auto Level(std::string_view aOrganisation, time_point aNow) -> double;

private:
  struct peer_spending
  {
    double mTotal = 0;
    /// Units a second, averaged over about two seconds.
    double mRate = 0;
    time_point mFirst;
    time_point mReported;
    /// Charged ahead of its reports since it fell silent.
    double mAssumed = 0;
  };
  struct peer_state
  {
    std::uint64_t mIncarnation = 0;
    time_point mHeard;
    std::unordered_map<std::uint64_t, peer_spending> mOrganisationUsage;
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
  auto ChargeSilentPeers(std::uint64_t aKey, bucket& aBucket, time_point aNow) -> void;

  quota_tolerance mTolerance;
  std::optional<time_point> mStarted;
  bool mIsEstablished = false;
  std::unordered_map<std::uint64_t, bucket> mBuckets;
  std::map<std::string, peer_state, std::less<>> mPeers;
};

} // namespace bronzering
