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

auto Limiter() -> fleet_rate_limiter
{
  auto limiter = fleet_rate_limiter();
  limiter.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart - 1h);
  return limiter;
}

/// A complete report of an established peer with the total of the organisation.
auto Report(std::uint64_t aIncarnation, double aTotal) -> usage_report
{
  return { "peer", aIncarnation, true, true, { { HashText("lamps"), aTotal } } };
}

/// Spends as many units as are admitted, aUnits at a time and every millisecond until aEnd. Returns
/// their sum.
auto SpendAll(fleet_rate_limiter& aLimiter, double aUnits, time_point aFrom, time_point aEnd)
  -> double
{
  auto admitted = 0.0;
  for (auto now = aFrom; now < aEnd; now += 1ms) {
    while (aLimiter.Spend("lamps", aUnits, now) == duration::zero()) {
      admitted += aUnits;
    }
  }
  return admitted;
}

} // namespace

TEST_CASE("an organisation gets its burst and then its rate", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  const auto admitted = SpendAll(limiter, 10, kStart, kStart + 4s);
  CHECK(admitted <= kBurst + 4 * kRate);
  CHECK(admitted >= kBurst + 4 * kRate - 20);
}

TEST_CASE("the delay of a rejected request is the time until it is admitted",
          "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  REQUIRE(limiter.Spend("lamps", kBurst + 500, kStart) == duration::zero());
  const auto wait = limiter.Spend("lamps", 500, kStart);
  CHECK(wait >= 500ms);
  CHECK(wait < 510ms);
  CHECK(limiter.Spend("lamps", 500, kStart + 499ms) > duration::zero());
  CHECK(limiter.Spend("lamps", 500, kStart + wait) == duration::zero());
}

// If the bucket had to hold all units of a request, competing small requests would keep its level
// too low for large ones.
TEST_CASE("large requests are admitted as often as small ones", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  auto random = random_source(1);
  auto admitted = std::array<int, 2>();
  for (auto now = kStart; now < kStart + 600s; now += duration(random.UniformBelow(20'000))) {
    const auto isLarge = random.UniformBelow(2) == 1;
    if (limiter.Spend("lamps", isLarge ? 800 : 40, now) == duration::zero()) {
      ++admitted[isLarge ? 1 : 0];
    }
  }
  REQUIRE(admitted[0] > 100);
  CHECK(admitted[1] >= admitted[0] * 3 / 4);
}

TEST_CASE("a large request leaves a debt that delays later requests", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  CHECK(limiter.Spend("lamps", 3 * kBurst, kStart) == duration::zero());
  CHECK(SpendAll(limiter, 10, kStart, kStart + 10s) <= 8 * kRate + 20);
}

TEST_CASE("units admitted by peers count against the same limit", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  limiter.OnPeerUsage(Report(1, 5000), kStart);
  CHECK(limiter.Level("lamps", kStart) == kBurst);
  limiter.OnPeerUsage(Report(1, 5600), kStart);
  CHECK(limiter.Level("lamps", kStart) == Approx(kBurst - 600));
}

TEST_CASE("the totals of a restarted peer start from zero", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  limiter.OnPeerUsage(Report(1, 5000), kStart);
  limiter.OnPeerUsage({ "peer", 2, true, true, {} }, kStart);
  limiter.OnPeerUsage(Report(2, 300), kStart);
  CHECK(limiter.Level("lamps", kStart) == Approx(kBurst - 300));
}

// A restarted entry charged all that its peers had ever admitted, and refused organisations that
// were within their limits.
TEST_CASE("what established peers admitted before an entry started is not charged",
          "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  limiter.OnPeerUsage({ "peer", 1, false, true, {} }, kStart);
  limiter.OnPeerUsage(Report(1, 5000), kStart);
  CHECK(limiter.Level("lamps", kStart) == kBurst);
  limiter.OnPeerUsage(Report(1, 5300), kStart);
  CHECK(limiter.Level("lamps", kStart) == Approx(kBurst - 300));
}

TEST_CASE("what an organisation is admitted for the first time at a known peer is charged",
          "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  limiter.OnPeerUsage({ "peer", 1, true, true, {} }, kStart);
  auto report = Report(1, 300);
  report.mIsComplete = false;
  limiter.OnPeerUsage(report, kStart);
  CHECK(limiter.Level("lamps", kStart) == Approx(kBurst - 300));
}

// Entries that started together granted the burst once each before they heard of each other.
TEST_CASE("what peers admitted since they started together with an entry is charged",
          "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  auto report = Report(1, 300);
  report.mIsEstablished = false;
  limiter.OnPeerUsage(report, kStart);
  CHECK(limiter.Level("lamps", kStart) == Approx(kBurst - 300));

  // Part of it was refilled meanwhile, so it leaves no debt.
  report.mSender = "other";
  report.mTotals[0].mTotal = 5000;
  limiter.OnPeerUsage(report, kStart);
  CHECK(limiter.Level("lamps", kStart) == Approx(0));
}

TEST_CASE("a refund returns the units of a request that did not run", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  REQUIRE(limiter.Spend("lamps", 400, kStart) == duration::zero());
  limiter.Refund("lamps", 400, kStart);
  CHECK(limiter.Level("lamps", kStart) == kBurst);
  CHECK(limiter.Totals().empty());
}

TEST_CASE(
  "the last rate of an unresponsive peer is charged until its next report replaces the charge",
  "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  auto now = kStart;
  auto total = 0.0;
  for (auto step = 0; step < 100; ++step) {
    now += 40ms;
    total += 20;
    limiter.OnPeerUsage(Report(1, total), now);
  }
  // The peer uses half of the rate. While it is unreachable, this entry may admit the other half.
  const auto partitionStart = now;
  const auto level = limiter.Level("lamps", now);
  const auto admitted = SpendAll(limiter, 10, partitionStart, partitionStart + 4s);
  CHECK(admitted <= level + 4 * kRate / 2 + 100);

  // The peer reports that it admitted nothing meanwhile, so the assumed units are returned.
  const auto before = limiter.Level("lamps", partitionStart + 4s);
  limiter.OnPeerUsage(Report(1, total), partitionStart + 4s);
  CHECK(limiter.Level("lamps", partitionStart + 4s) > before + 500);
}

TEST_CASE("a peer that has ended is not charged", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  auto now = kStart;
  for (auto step = 1; step <= 50; ++step) {
    now += 40ms;
    limiter.OnPeerUsage(Report(1, step * 20.0), now);
  }
  limiter.OnPeerEnd("peer");
  const auto level = limiter.Level("lamps", now);
  const auto admitted = SpendAll(limiter, 10, now, now + 2s);
  CHECK(admitted >= level + 2 * kRate - 20);
}

TEST_CASE("a lower limit takes effect immediately and the debt is kept", "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  REQUIRE(limiter.Spend("lamps", kBurst + 50, kStart) == duration::zero());
  limiter.Configure({ { "lamps", {}, 0, 100, 100, true, 1 } }, kStart);
  CHECK(limiter.Spend("lamps", 50, kStart) >= 500ms);
}

// If all entries restart at once, full buckets would grant the burst a second time. Empty buckets
// would reject the callers that waited for the restart and return in the first second.
TEST_CASE("a new bucket starts with a fraction of its burst", "[fleet_rate_limiter]")
{
  auto limiter = fleet_rate_limiter();
  limiter.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart);
  const auto admitted = SpendAll(limiter, 10, kStart, kStart + 2s);
  CHECK(admitted >= kBurst / 4 + 2 * kRate);
  CHECK(admitted <= kBurst / 2 + 2 * kRate + 20);
}

TEST_CASE("an entry that restarts alone starts with empty buckets", "[fleet_rate_limiter]")
{
  auto limiter = fleet_rate_limiter();
  limiter.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart);
  limiter.OnEstablishedPeer(kStart + 100ms);
  CHECK(limiter.Spend("lamps", 100, kStart + 100ms) == duration::zero());
  CHECK(limiter.Spend("lamps", 100, kStart + 100ms) > duration::zero());
}

TEST_CASE("an entry that has been running keeps its buckets when it meets an established peer",
          "[fleet_rate_limiter]")
{
  auto limiter = Limiter();
  limiter.OnEstablishedPeer(kStart);
  CHECK(limiter.Level("lamps", kStart) == kBurst);
}

TEST_CASE("admitted units stay within the limit plus its tolerance", "[fleet_rate_limiter]")
{
  auto limiter = fleet_rate_limiter({ 0.1, 300 });
  limiter.Configure({ { "lamps", {}, 0, kRate, kBurst, true, 1 } }, kStart - 1h);
  const auto admitted = SpendAll(limiter, 10, kStart, kStart + 8s);
  CHECK(admitted > 8 * kRate + kBurst);
  CHECK(admitted <= 1.1 * (8 * kRate + kBurst) + 300 + 20);
}

TEST_CASE("organisations without a rate have no limit", "[fleet_rate_limiter]")
{
  auto limiter = fleet_rate_limiter();
  limiter.Configure({ { "lamps", {}, 0, 0, 0, true, 1 } }, kStart);
  CHECK(limiter.Spend("lamps", 1e12, kStart) == duration::zero());
  CHECK(limiter.Spend("unknown", 1e12, kStart) == duration::zero());
}
