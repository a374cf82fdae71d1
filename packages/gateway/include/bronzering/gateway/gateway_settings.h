#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/fleet_retry_budget.h>

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
  /// The address under which peers reach this entry.
  std::string mAddress;
  std::string mCallerListen;
  /// Answers the balancer's readiness probe.
  std::string mReadinessListen;
  /// UDP port for digests between entries, the same on all of them.
  std::uint16_t mPeerPort = 0;
  /// TCP port for metrics and for the published items that peers fetch, the same on all entries.
  std::uint16_t mOperatorPort = 0;
  /// Addresses of entries that may be found there; possibly stale.
  std::vector<std::string> mSeeds;
  retry_limits mRepeats;
  quota_tolerance mQuotaTolerance;
  /// Time between a request to stop and the end of the process.
  duration mStopGrace = std::chrono::seconds(8);
  std::size_t mMaxConnections = 3'000;
  std::uint64_t mSeed = 0;
};

} // namespace bronzering
