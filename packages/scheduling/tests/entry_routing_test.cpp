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

TEST_CASE("a cached prompt outweighs a short distance, and waiting work outweighs the cache",
          "[candidate_scorer]")
{
  const auto cold = request_demand{ 1000, 0, 100 };
  const auto warm = request_demand{ 1000, 900, 100 };
  auto remote = IdleEngine();
  remote.mNetworkDelay = std::chrono::milliseconds(5);
  CHECK(ScoreCandidate(remote, warm) < ScoreCandidate(IdleEngine(), cold));

  remote.mQueuedCostAhead = 1000;
  CHECK(ScoreCandidate(remote, warm) > ScoreCandidate(IdleEngine(), cold));
}

// Load reports are stale: without its own correction an entry would send a burst to one engine.
TEST_CASE("what the entry sent since the last report raises the score", "[candidate_scorer]")
{
  const auto need = request_demand{ 100, 0, 100 };
  auto busy = IdleEngine();
  busy.mOutstandingRequests = 4;
  busy.mOutstandingCost = 800;
  CHECK(ScoreCandidate(busy, need) > ScoreCandidate(IdleEngine(), need));
  CHECK(EstimateCompletion(IdleEngine(), need) >= std::chrono::milliseconds(2100));
}

TEST_CASE("estimates stay finite for any report", "[candidate_scorer]")
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

TEST_CASE("the prefix map follows corrections and forgets the oldest blocks", "[prefix_map]")
{
  auto map = prefix_cache_index(4);
  const auto prompt = std::vector<prefix_hash>{ { 1 }, { 2 }, { 3 } };
  map.Record(prompt, "e1", 3);
  CHECK(map.CachedBlocks(prompt, "e1") == 3);
  CHECK(map.CachedBlocks(prompt, "e2") == 0);

  map.Record(prompt, "e1", 1);
  CHECK(map.CachedBlocks(prompt, "e1") == 1);

  map.Record(std::vector<prefix_hash>{ { 7 }, { 8 }, { 9 }, { 10 } }, "e2", 4);
  CHECK(map.BlockCount() == 4);
  CHECK(map.CachedBlocks(prompt, "e1") == 0);

  map.Forget("e2");
  CHECK(map.HoldersOf({ 7 }).empty());
}

TEST_CASE("retries stay within a tenth of the requests after the first allowance", "[retry_budget]")
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

// Requests that an agent declines together must not come back together.
TEST_CASE("backoff is random below a bound that doubles", "[retry_budget]")
{
  auto random = random_source(3);
  for (auto attempt = 1U; attempt < 40; ++attempt) {
    const auto bound = std::chrono::milliseconds(attempt <= 7 ? 10 << (attempt - 1) : 1000);
    CHECK(JitteredBackoff(attempt, random) < bound);
  }
  CHECK(JitteredBackoff(7, random) != JitteredBackoff(7, random));
}
