#pragma once

#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>

#include <cstdint>

namespace bronzering {

/// Load of one agent as an entry sees it when it scores the agent for a request: the agent's last
/// report, and in mOutstanding… the requests that this entry has sent there since that report.
struct candidate_load
{
  service_kind mKind = service_kind::Plain;
  /// Cost queued in this tier and the tiers above it: tokens, or requests for plain endpoints.
  std::uint64_t mQueuedCostAhead = 0;
  std::uint64_t mOutstandingCost = 0;
  std::uint32_t mOutstandingRequests = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mFreeSlots = 0;
  std::uint64_t mFreeKvTokens = 0;
  double mPrefillTokensPerSecond = 0;
  /// Duration of one batch step; mean service time for plain endpoints.
  duration mStepTime{};
  /// Round-trip time plus a configured penalty; zero within the entry's own availability zone.
  duration mNetworkDelay{};
};

/// What the request to be placed takes from an endpoint.
struct request_demand
{
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mOutputTokens = 0;
};

/// Expected time until an agent starts a new request. Thread-safe.
[[nodiscard]] auto ExpectedWait(const candidate_load& aLoad, const request_demand& aDemand)
  -> duration;

/// Expected time to the first byte of the answer: queueing, prefill of the uncached part of the
/// prompt, and network delay. The candidate with the lowest score is the best. Thread-safe.
[[nodiscard]] auto ScoreCandidate(const candidate_load& aLoad, const request_demand& aDemand)
  -> duration;

/// Expected time to the last byte of the answer. Thread-safe.
[[nodiscard]] auto EstimateCompletion(const candidate_load& aLoad, const request_demand& aDemand)
  -> duration;

} // namespace bronzering
