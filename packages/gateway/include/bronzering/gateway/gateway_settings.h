#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/fleet_retry_budget.h>
#include <bronzering/dispatch/source_monitor.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzering {

/// Settings of an entry that forwards requests directly to endpoints. Addresses are numeric,
/// "address:port".
struct gateway_settings
{
  std::string mVm;
  std::string mAvailabilityZone;
  /// IPv4 address of this entry, without a port: peers send digests and fetch items there.
  std::string mAddress;
  std::string mCallerListen;
  /// Listen address of the readiness probe for the load balancer.
  std::string mReadinessListen;
  /// UDP port for digests between entries; the same on all entries.
  std::uint16_t mPeerPort = 0;
  /// TCP port that serves metrics, and published items to peers; the same on all entries.
  std::uint16_t mOperatorPort = 0;
  /// Addresses used to discover the other entries; some may be stale.
  std::vector<std::string> mSeeds;
  /// What the source of published items guarantees.
  source_bounds mSourceBounds;
  retry_limits mRetryLimits;
  quota_tolerance mQuotaTolerance;
  /// Percentage of a service's requests that may be sent to a second endpoint when their answers
  /// are late; 0 means none. At most two decimals count.
  double mHedgePercent = 0;
  /// Time from the stop request until the process must have ended.
  duration mStopGrace = std::chrono::seconds(8);
  std::size_t mMaxConnections = 3'000;
  /// Memory that the process may use, in bytes; 0 means that it is not limited.
  std::size_t mMemoryBytes = 0;
  std::uint64_t mSeed = 0;
};

} // namespace bronzering
