#include <bronzering/dispatch/memory_budget.h>

#include <bronzering/base/random_source.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace bronzering;

// Limits per request did not bound what a process holds for many clients at once.
TEST_CASE("holders together never exceed the budget, and return all they took", "[memory_budget]")
{
  constexpr auto kLimit = std::size_t{ 40'000'000 };
  for (auto seed = std::uint64_t{ 1 }; seed <= 2'000; ++seed) {
    auto random = random_source(seed);
    auto budget = memory_budget(kLimit);
    auto holders = std::vector<memory_reservation>();
    for (auto step = 0; step < 200; ++step) {
      const auto wanted = static_cast<std::size_t>(random.Exponential(1'000'000));
      if (random.Uniform01() < 0.6 || holders.empty()) {
        holders.emplace_back(budget);
      }
      auto& holder = holders[random.UniformBelow(holders.size())];
      const auto before = holder.Bytes();
      const auto isTaken = holder.TryResize(wanted);
      REQUIRE(holder.Bytes() == (isTaken ? wanted : before));
      REQUIRE((wanted > before || isTaken));
      // A request ends in any way.
      if (random.Uniform01() < 0.3) {
        holders.erase(holders.begin() +
                      static_cast<std::ptrdiff_t>(random.UniformBelow(holders.size())));
      }
      REQUIRE(budget.Held() <= kLimit);
    }
    holders.clear();
    REQUIRE(budget.Held() == 0);
  }
}

TEST_CASE("small holders go on while large ones find no room", "[memory_budget]")
{
  auto budget = memory_budget(1'000'000);
  auto large = memory_reservation(budget);
  CHECK(!large.TryResize(760'000));
  REQUIRE(large.TryResize(750'000));
  auto other = memory_reservation(budget);
  CHECK(!other.TryResize(memory_budget::kSmallBytes + 1));
  CHECK(other.TryResize(memory_budget::kSmallBytes));
  large.Release();
  CHECK(other.TryResize(700'000));
}

TEST_CASE("without a limit everything is counted and nothing refused", "[memory_budget]")
{
  auto budget = memory_budget(0);
  auto holder = memory_reservation(budget);
  REQUIRE(holder.TryResize(std::size_t{ 1 } << 40));
  CHECK(budget.Held() == std::size_t{ 1 } << 40);
  auto moved = std::move(holder);
  moved.Release();
  CHECK(budget.Held() == 0);
}
