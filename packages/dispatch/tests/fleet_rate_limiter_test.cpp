#include <bronzering/base/hash.h>
#include <bronzering/base/random_source.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>

#include <catch2/catch.hpp>

#include <array>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

constexpr auto kRate = 1000.0;
constexpr auto kBurst = 1000.0;
const auto kStart = time_point(1h);

auto Ledger() -> fleet_rate_limiter
{
  auto ledger = fleet_rate_limiter();
  ledger.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart - 1h);
  return ledger;
}

/// Spends as many units as are admitted, aUnits at a time and every millisecond until aEnd. Returns
/// their sum.
auto Exhaust(fleet_rate_limiter& aLedger, double aUnits, time_point aFrom, time_point aEnd)
  -> double
{
  auto admitted = 0.0;
  for (auto now = aFrom; now < aEnd; now += 1ms) {
    while (aLedger.Spend("lamps", aUnits, now) == duration::zero()) {
      admitted += aUnits;
    }
  }
  return admitted;
}

} // namespace

TEST_CASE("an organisation gets its burst and then its rate", "[quota_ledger]")
{
  auto ledger = Ledger();
  const auto admitted = Exhaust(ledger, 10, kStart, kStart + 4s);
  CHECK(admitted <= kBurst + 4 * kRate);
  CHECK(admitted >= kBurst + 4 * kRate - 20);
}

TEST_CASE("the delay of a rejected request is the time until it is admitted", "[quota_ledger]")
{
  auto ledger = Ledger();
  REQUIRE(ledger.Spend("lamps", kBurst + 500, kStart) == duration::zero());
  const auto wait = ledger.Spend("lamps", 500, kStart);
  CHECK(wait >= 500ms);
  CHECK(wait < 510ms);
  CHECK(ledger.Spend("lamps", 500, kStart + 499ms) > duration::zero());
  CHECK(ledger.Spend("lamps", 500, kStart + wait) == duration::zero());
}

// If the bucket had to hold all units of a request, competing small requests would keep its level
// too low for large ones.
TEST_CASE("large requests are admitted as often as small ones", "[quota_ledger]")
{
  auto ledger = Ledger();
  auto random = random_source(1);
  auto admitted = std::array<int, 2>();
  for (auto now = kStart; now < kStart + 600s; now += duration(random.UniformBelow(20'000))) {
    const auto isLarge = random.UniformBelow(2) == 1;
    if (ledger.Spend("lamps", isLarge ? 800 : 40, now) == duration::zero()) {
      ++admitted[isLarge ? 1 : 0];
    }
  }
  REQUIRE(admitted[0] > 100);
  CHECK(admitted[1] >= admitted[0] * 3 / 4);
}

TEST_CASE("a large request leaves a debt that delays later requests", "[quota_ledger]")
{
  auto ledger = Ledger();
  CHECK(ledger.Spend("lamps", 3 * kBurst, kStart) == duration::zero());
  CHECK(Exhaust(ledger, 10, kStart, kStart + 10s) <= 8 * kRate + 20);
}

TEST_CASE("units admitted by peers count against the same limit", "[quota_ledger]")
{
  auto ledger = Ledger();
  const auto key = HashText("lamps");
  ledger.OnPeerUsage("peer", 1, { { key, 5000 } }, kStart);
  CHECK(ledger.Level("lamps", kStart) == kBurst);
  ledger.OnPeerUsage("peer", 1, { { key, 5600 } }, kStart);
  CHECK(ledger.Level("lamps", kStart) == Approx(kBurst - 600));
}

TEST_CASE("the totals of a restarted peer start from zero", "[quota_ledger]")
{
  auto ledger = Ledger();
  const auto key = HashText("lamps");
  ledger.OnPeerUsage("peer", 1, { { key, 5000 } }, kStart);
  ledger.OnPeerUsage("peer", 2, {}, kStart);
  ledger.OnPeerUsage("peer", 2, { { key, 300 } }, kStart);
  CHECK(ledger.Level("lamps", kStart) == Approx(kBurst - 300));
}

TEST_CASE("a refund returns the units of a request that did not run", "[quota_ledger]")
{
  auto ledger = Ledger();
  REQUIRE(ledger.Spend("lamps", 400, kStart) == duration::zero());
  ledger.Refund("lamps", 400, kStart);
  CHECK(ledger.Level("lamps", kStart) == kBurst);
  CHECK(ledger.Totals().empty());
}

TEST_CASE(
  "the last rate of an unresponsive peer is charged until its next report replaces the charge",
  "[quota_ledger]")
{
  auto ledger = Ledger();
  const auto key = HashText("lamps");
  auto now = kStart;
  auto total = 0.0;
  for (auto step = 0; step < 100; ++step) {
    now += 40ms;
    total += 20;
    ledger.OnPeerUsage("peer", 1, { { key, total } }, now);
  }
  // The peer uses half of the rate. While it is unreachable, this entry may admit the other half.
  const auto cut = now;
  const auto level = ledger.Level("lamps", now);
  const auto admitted = Exhaust(ledger, 10, cut, cut + 4s);
  CHECK(admitted <= level + 4 * kRate / 2 + 100);

  // The peer reports that it admitted nothing meanwhile, so the assumed units are returned.
  const auto before = ledger.Level("lamps", cut + 4s);
  ledger.OnPeerUsage("peer", 1, { { key, total } }, cut + 4s);
  CHECK(ledger.Level("lamps", cut + 4s) > before + 500);
}

TEST_CASE("a peer that shut down is not charged", "[quota_ledger]")
{
  auto ledger = Ledger();
  const auto key = HashText("lamps");
  auto now = kStart;
  for (auto step = 1; step <= 50; ++step) {
    now += 40ms;
    ledger.OnPeerUsage("peer", 1, { { key, step * 20.0 } }, now);
  }
  ledger.OnPeerShutdown("peer");
  const auto level = ledger.Level("lamps", now);
  const auto admitted = Exhaust(ledger, 10, now, now + 2s);
  CHECK(admitted >= level + 2 * kRate - 20);
}

TEST_CASE("a lower limit takes effect immediately and the debt is kept", "[quota_ledger]")
{
  auto ledger = Ledger();
  REQUIRE(ledger.Spend("lamps", kBurst + 50, kStart) == duration::zero());
  ledger.Configure({ { "lamps", {}, 0, 100, 100, true, 1 } }, kStart);
  CHECK(ledger.Spend("lamps", 50, kStart) >= 500ms);
}

// If all entries restart at once, full buckets would grant the burst a second time. Empty buckets
// would reject the callers that waited for the restart and return in the first second.
TEST_CASE("a new bucket starts with a fraction of its burst", "[quota_ledger]")
{
  auto ledger = fleet_rate_limiter();
  ledger.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart);
  const auto admitted = Exhaust(ledger, 10, kStart, kStart + 2s);
  CHECK(admitted >= kBurst / 4 + 2 * kRate);
  CHECK(admitted <= kBurst / 2 + 2 * kRate + 20);
}

TEST_CASE("an entry that restarts alone starts with empty buckets", "[quota_ledger]")
{
  auto ledger = fleet_rate_limiter();
  ledger.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart);
  ledger.OnEstablishedPeer(kStart + 100ms);
  CHECK(ledger.Spend("lamps", 100, kStart + 100ms) == duration::zero());
  CHECK(ledger.Spend("lamps", 100, kStart + 100ms) > duration::zero());
}

TEST_CASE("an entry that has been running keeps its buckets when it meets an established peer",
          "[quota_ledger]")
{
  auto ledger = Ledger();
  ledger.OnEstablishedPeer(kStart);
  CHECK(ledger.Level("lamps", kStart) == kBurst);
}

TEST_CASE("admitted units stay within the limit plus its tolerance", "[quota_ledger]")
{
  auto ledger = fleet_rate_limiter({ 0.1, 300 });
  ledger.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart - 1h);
  const auto admitted = Exhaust(ledger, 10, kStart, kStart + 8s);
  CHECK(admitted > 8 * kRate + kBurst);
  CHECK(admitted <= 1.1 * (8 * kRate + kBurst) + 300 + 20);
}

TEST_CASE("organisations without a rate have no limit", "[quota_ledger]")
{
  auto ledger = fleet_rate_limiter();
  ledger.Configure({ { "lamps", {}, 0, 0, 0, true, 1 } }, kStart);
  CHECK(ledger.Spend("lamps", 1e12, kStart) == duration::zero());
  CHECK(ledger.Spend("unknown", 1e12, kStart) == duration::zero());
}
