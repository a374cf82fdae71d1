#include <bronzering/dispatch/published_items.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);
constexpr auto kRenewalInterval = duration(1'200ms);
constexpr auto kRemovalLimit = duration(2s);
constexpr auto kBounds = source_bounds{ kRenewalInterval, kRemovalLimit };

/// The copy of an entry whose source has just answered.
auto Items() -> published_items
{
  auto items = published_items({}, kBounds);
  items.OnSourceAnswer(kStart);
  items.ApplySnapshot(
    { 10, { { "document", "v1", 4 }, { "endpoint", "e", 9 } } }, item_origin::Source, kStart);
  return items;
}

} // namespace

TEST_CASE("a single failed call after which the source answers is no outage", "[source_monitor]")
{
  auto monitor = source_monitor(kBounds);
  CHECK(!monitor.OnAnswer(kStart));
  CHECK(!monitor.OnAnswer(kStart + 1s));
  monitor.OnFailure(kStart + 1'500ms);
  CHECK(!monitor.IsReachable());
  CHECK(monitor.OnAnswer(kStart + 1'600ms) == source_interruption::Connection);
  CHECK(monitor.IsReachable());
  CHECK(monitor.GraceEnd() <= kStart);
  CHECK(monitor.LastDisturbance() == kStart);
}

TEST_CASE("a source that fails for longer than owners need to renew an item is in an outage",
          "[source_monitor]")
{
  auto monitor = source_monitor(kBounds);
  monitor.OnAnswer(kStart);

  SECTION("as several calls fail")
  {
    monitor.OnFailure(kStart + 1s);
    monitor.OnFailure(kStart + 1'100ms);
    CHECK(monitor.OnAnswer(kStart + 1'400ms) == source_interruption::Outage);
    CHECK(monitor.GraceEnd() == kStart + 1'400ms + source_monitor::kRenewalGrace);
  }
  SECTION("as the call after the failed one is answered late")
  {
    monitor.OnFailure(kStart + 1s);
    CHECK(monitor.OnAnswer(kStart + 3s) == source_interruption::Outage);
  }
  SECTION("but not if it is shorter")
  {
    monitor.OnFailure(kStart + 500ms);
    monitor.OnFailure(kStart + 600ms);
    CHECK(monitor.OnAnswer(kStart + 1'100ms) == source_interruption::Connection);
  }
}

// It cannot be known whether a connection died or the source fell silent for a moment.
TEST_CASE("a long wait for an answer that never came defers removals within their limit",
          "[source_monitor]")
{
  auto monitor = source_monitor(kBounds);
  monitor.OnAnswer(kStart);
  monitor.OnFailure(kStart + 1'300ms);
  CHECK(monitor.OnAnswer(kStart + 1'400ms) == source_interruption::Uncertain);
  CHECK(monitor.GraceEnd() > kStart + 1'400ms);
  CHECK(monitor.GraceEnd() < kStart + kRemovalLimit);
}

TEST_CASE("an entry that starts in an outage recognizes it", "[source_monitor]")
{
  auto monitor = source_monitor(kBounds);
  SECTION("when its first calls fail")
  {
    monitor.OnFailure(kStart);
    monitor.OnFailure(kStart + 100ms);
    CHECK(monitor.OnAnswer(kStart + 300ms) == source_interruption::Outage);
  }
  SECTION("but not when they are answered")
  {
    CHECK(!monitor.OnAnswer(kStart));
    CHECK(monitor.GraceEnd() <= kStart);
  }
}

// A cut connection was taken for an outage: orders went to an endpoint after it had exited.
TEST_CASE("a removal after a lost connection takes effect at once", "[published_items]")
{
  auto items = Items();
  items.OnSourceFailure(kStart + 1s);
  SECTION("if it is part of the answer that follows")
  {
    CHECK(items.ApplyRemoval("endpoint", { 0, 20 }, kStart + 1'100ms));
    items.OnSourceAnswer(kStart + 1'100ms);
    CHECK(items.ApplyDeferredChanges(kStart + 1'100ms));
  }
  SECTION("if it comes later")
  {
    items.OnSourceAnswer(kStart + 1'100ms);
    CHECK(items.ApplyRemoval("endpoint", { 0, 20 }, kStart + 1'200ms));
  }
  CHECK(items.Find("endpoint") == nullptr);
}

// Each cut connection started the grace period anew.
TEST_CASE("lost connections do not extend the time of an expired item", "[published_items]")
{
  auto items = Items();
  items.OnSourceFailure(kStart + 1s);
  items.OnSourceFailure(kStart + 2s);
  const auto back = kStart + 5s;
  items.ApplyRemoval("endpoint", { 0, 20 }, back);
  items.OnSourceAnswer(back);
  const auto due = back + published_items::kRenewalGrace;
  CHECK(items.NextRemoval() == due);
  for (auto now = time_point(back + 300ms); now < due; now += 300ms) {
    items.OnSourceFailure(now);
    items.OnSourceAnswer(now + 50ms);
    CHECK(!items.ApplyDeferredChanges(now + 50ms));
  }
  CHECK(items.ApplyDeferredChanges(due));
}

// An endpoint that had left would be used as long as the source fails again and again.
TEST_CASE("outages after each other do not extend the time of an expired item without end",
          "[published_items]")
{
  auto items = Items();
  items.OnSourceFailure(kStart);
  auto now = time_point(kStart + 5s);
  const auto missing = now;
  items.ApplyRemoval("endpoint", { 0, 20 }, now);
  items.OnSourceAnswer(now);
  for (; now < missing + published_items::kMaxDeferral; now += 2s) {
    items.OnSourceFailure(now + 500ms);
    CHECK(!items.ApplyDeferredChanges(now + 1s));
    items.OnSourceAnswer(now + 2s);
  }
  CHECK(items.ApplyDeferredChanges(now));
}

// Entries would lose all endpoints for a moment after each outage.
TEST_CASE("items that expired in an outage are kept until their owners are back",
          "[published_items]")
{
  auto items = Items();
  items.OnSourceFailure(kStart + 1s);
  const auto back = kStart + 4s;
  SECTION("with the first answer")
  {
    items.ApplyRemoval("endpoint", { 0, 20 }, back);
  }
  SECTION("with the first answer, a snapshot")
  {
    items.ApplySnapshot({ 20, { { "document", "v1", 4 } } }, item_origin::Source, back);
  }
  items.OnSourceAnswer(back);
  CHECK(!items.ApplyDeferredChanges(back + 2s));
  CHECK(items.Find("endpoint") != nullptr);
  CHECK(items.ApplyWrite({ "endpoint", "e", 25 }, back + 2s));
  CHECK(!items.ApplyDeferredChanges(back + 20s));
  CHECK(items.Find("endpoint") != nullptr);
}

// A source whose connections break at any moment works all the while, so each removal binds.
TEST_CASE("whatever connections break, a removal takes effect within its limit",
          "[published_items]")
{
  constexpr auto kStep = 10ms;
  constexpr auto kLongestWatch = 1'000ms;
  for (auto seed = 1U; seed <= 500; ++seed) {
    CAPTURE(seed);
    auto random = std::mt19937(seed);
    auto items = Items();
    // The watch in progress: when it began and when it ends, cut off or answered.
    auto begun = kStart;
    auto isCut = false;
    auto ends = kStart;
    const auto removed = kStart + kStep * std::uniform_int_distribution(0, 400)(random);
    auto isSeen = false;
    for (auto now = kStart; now < removed + kRemovalLimit; now += kStep) {
      const auto hasNews = now >= removed && !isSeen && now > begun;
      if (now < ends && !(hasNews && !isCut)) {
        static_cast<void>(items.ApplyDeferredChanges(now));
        continue;
      }
      if (isCut) {
        items.OnSourceFailure(now);
      } else {
        if (now >= removed && !isSeen) {
          isSeen = true;
          items.ApplyRemoval("endpoint", { 0, 20 }, now);
        }
        items.OnSourceAnswer(now);
      }
      static_cast<void>(items.ApplyDeferredChanges(now));
      // The call after a failed one is answered soon.
      const auto wasCut = isCut;
      isCut = !wasCut && std::uniform_int_distribution(0, 1)(random) == 0;
      begun = now;
      const auto longest = wasCut ? duration(100ms) : duration(kLongestWatch);
      ends = now + kStep * std::uniform_int_distribution<int>(1, static_cast<int>(longest / kStep))(
                             random);
    }
    CHECK(items.Find("endpoint") == nullptr);
  }
}
