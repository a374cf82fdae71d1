#include <bronzering/scheduling.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <vector>

using namespace bronzering;

namespace {

auto IdleEngine() -> candidate_load
{
  return { .mKind = service_kind::Model,
           .mQueuedCostAhead = 0,
           .mOutstandingCost = 0,
           .mOutstandingRequests = 0,
           .mRunning = 0,
           .mFreeSlots = 4,
           .mFreeKvTokens = 10'000,
           .mPrefillTokensPerSecond = 1000,
           .mStepTime = std::chrono::milliseconds(20),
           .mNetworkDelay = {} };
}

} // namespace

TEST_CASE("a cached prompt outweighs a network delay, and queued work outweighs the cache",
          "[candidate_scorer]")
{
  const auto uncached = request_demand{ 1000, 0, 100 };
  const auto cached = request_demand{ 1000, 900, 100 };
  auto remote = IdleEngine();
  remote.mNetworkDelay = std::chrono::milliseconds(5);
  CHECK(ScoreCandidate(remote, cached) < ScoreCandidate(IdleEngine(), uncached));

  remote.mQueuedCostAhead = 1000;
  CHECK(ScoreCandidate(remote, cached) > ScoreCandidate(IdleEngine(), uncached));
}

// Load reports are stale: an entry that ignores what it has sent since the last report sends a
// whole burst to one engine.
TEST_CASE("requests sent since the last load report raise the score", "[candidate_scorer]")
{
  const auto demand = request_demand{ 100, 0, 100 };
  auto loaded = IdleEngine();
  loaded.mOutstandingRequests = 4;
  loaded.mOutstandingCost = 800;
  CHECK(ScoreCandidate(loaded, demand) > ScoreCandidate(IdleEngine(), demand));
  CHECK(EstimateCompletion(IdleEngine(), demand) >= std::chrono::milliseconds(2100));
}

TEST_CASE("estimates stay bounded for any load report", "[candidate_scorer]")
{
  const auto holds = rc::check([](std::uint64_t aWaiting, std::uint64_t aTokens, double aRate) {
    auto load = IdleEngine();
    load.mQueuedCostAhead = aWaiting / 4;
    load.mOutstandingCost = aTokens / 4;
    load.mPrefillTokensPerSecond = aRate;
    const auto estimate = EstimateCompletion(load, { aTokens / 4, 0, aTokens / 4 });
    RC_ASSERT(estimate >= duration::zero());
    RC_ASSERT(estimate <= std::chrono::hours(4));
  });
  CHECK(holds);
}

TEST_CASE("the prefix cache index applies corrections and evicts the least recently used blocks",
          "[prefix_cache_index]")
{
  auto index = prefix_cache_index(4);
  const auto prompt = std::vector<prefix_hash>{ { 1 }, { 2 }, { 3 } };
  index.Record(prompt, "e1", 3);
  CHECK(index.CachedBlocks(prompt, "e1") == 3);
  CHECK(index.CachedBlocks(prompt, "e2") == 0);

  index.Record(prompt, "e1", 1);
  CHECK(index.CachedBlocks(prompt, "e1") == 1);

  index.Record(std::vector<prefix_hash>{ { 7 }, { 8 }, { 9 }, { 10 } }, "e2", 4);
  CHECK(index.BlockCount() == 4);
  CHECK(index.CachedBlocks(prompt, "e1") == 0);

  index.RemoveEndpoint("e2");
  CHECK(index.HoldersOf({ 7 }).empty());
}

TEST_CASE("retries stay within a tenth of the requests after the initial allowance",
          "[retry_budget]")
{
  auto budget = retry_budget{};
  auto retries = 0;
  for (auto request = 0; request < 1000; ++request) {
    budget.OnRequest(0.1);
    while (budget.TryTake()) {
      ++retries;
    }
  }
  CHECK(retries <= 100 + static_cast<int>(retry_budget::kMaxAllowance));
  CHECK(retries >= 99);
}

// Guards against synchronised retries of requests that an agent declined at the same time.
TEST_CASE("backoff is random below a bound that doubles", "[retry_budget]")
{
  auto random = random_source(3);
  for (auto attempt = 1U; attempt < 40; ++attempt) {
    const auto bound = std::chrono::milliseconds(attempt <= 7 ? 10 << (attempt - 1) : 1000);
    CHECK(JitteredBackoff(attempt, random) < bound);
  }
  CHECK(JitteredBackoff(7, random) != JitteredBackoff(7, random));
}
