#pragma once

#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>

#include <cstdint>

namespace bronzering {

/// What an entry knows about one agent when it scores it for one request. The load is the agent's
/// last report; mOutstanding… is what this entry itself sent there since.
struct candidate_load
{
  service_kind mKind = service_kind::Plain;
  /// Waiting cost of this tier and those above: tokens, or requests for plain endpoints.
  std::uint64_t mQueuedCostAhead = 0;
  std::uint64_t mOutstandingCost = 0;
  std::uint32_t mOutstandingRequests = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mFreeSlots = 0;
  std::uint64_t mFreeKvTokens = 0;
  double mPrefillTokensPerSecond = 0;
  /// Time of one batch step; mean service time for plain endpoints.
  duration mStepTime{};
  /// Zero for the entry's own availability zone.
  duration mNetworkDelay{};
};

/// The request's side of a score.
struct request_demand
{
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mOutputTokens = 0;
};

/// Expected time until an agent would start on a new request. Thread-safe.
[[nodiscard]] auto ExpectedWait(const candidate_load& aLoad, const request_demand& aNeed)
  -> duration;

/// Expected time to the first byte of the answer: wait, prefill of the uncached prompt, distance.
/// The lower, the better. Thread-safe.
[[nodiscard]] auto ScoreCandidate(const candidate_load& aLoad, const request_demand& aNeed)
  -> duration;

/// Expected time until the whole answer is there. Thread-safe.
[[nodiscard]] auto EstimateCompletion(const candidate_load& aLoad, const request_demand& aNeed)
  -> duration;

} // namespace bronzering
