#include <bronzering/dispatch/fleet_retry_budget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace bronzering;
using namespace std::chrono_literals;

TEST_CASE("retries of all entries stay within the total limit in any window",
          "[fleet_retry_budget]")
{
  constexpr auto kEntries = 5;
  const auto limits = retry_limits{ 0.1, 20, 10s };
  auto budgets = std::vector<fleet_retry_budget>(kEntries);
  for (auto& budget : budgets) {
    budget.Configure(limits);
  }

  // Every entry retries as often as it may, under a load that is switched on and off.
  auto retries = std::vector<time_point>();
  auto requests = std::vector<time_point>();
  for (auto now = time_point(1h); now < time_point(1h) + 60s; now += 50ms) {
    const auto isBusy = (now.time_since_epoch() / 15s) % 2 == 0;
    for (auto& budget : budgets) {
      if (isBusy) {
        budget.OnRequest(now);
        requests.push_back(now);
      }
      while (budget.TryTake(kEntries, now)) {
        retries.push_back(now);
      }
    }
  }
  REQUIRE(!retries.empty());
  for (const auto end : retries) {
    const auto within = [end](time_point aTime) { return aTime <= end && end - aTime < 10s; };
    const auto retried = std::count_if(retries.begin(), retries.end(), within);
    // A retry is counted against requests in its own window or the one before.
    const auto counted = std::count_if(requests.begin(), requests.end(), [end](time_point aTime) {
      return aTime <= end && end - aTime < 20s;
    });
    CHECK(static_cast<double>(retried) <=
          limits.mRatio * static_cast<double>(counted) + limits.mExtraRetries);
  }
}

TEST_CASE("an entry without requests has only its share of the additional retries",
          "[fleet_retry_budget]")
{
  auto budget = fleet_retry_budget();
  budget.Configure({ 0.5, 8, 10s });
  auto taken = 0;
  while (budget.TryTake(4, time_point(1h))) {
    ++taken;
  }
  CHECK(taken == 2);
  CHECK(budget.TryTake(4, time_point(1h) + 11s));
}
