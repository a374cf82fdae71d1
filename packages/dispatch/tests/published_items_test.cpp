#include <bronzering/dispatch/published_items.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);

auto Items() -> published_items
{
  auto items = published_items();
  items.OnSourceAnswer(kStart);
  items.ApplySnapshot(
    { 10, { { "document", "v1", 4 }, { "endpoint", "e", 9 } } }, item_origin::Source, kStart);
  return items;
}

} // namespace

TEST_CASE("an older snapshot or write never replaces a newer one", "[published_items]")
{
  auto items = Items();
  REQUIRE(items.ApplyWrite({ "document", "v2", 12 }, kStart));
  CHECK(!items.ApplyWrite({ "document", "v1", 4 }, kStart));
  CHECK(!items.ApplySnapshot({ 9, { { "document", "v1", 4 } } }, item_origin::Source, kStart));
  items.AdvanceTo({ 0, 12 });
  CHECK(!items.ApplySnapshot({ 11, {} }, item_origin::Source, kStart));
  CHECK(items.Find("document")->mValue == "v2");
  CHECK(!items.ApplyRemoval("document", { 0, 11 }, kStart));
}

TEST_CASE("a snapshot removes items that it does not list unless they are newer",
          "[published_items]")
{
  auto items = Items();
  REQUIRE(items.ApplyWrite({ "late", "e", 14 }, kStart));
  REQUIRE(items.ApplySnapshot({ 12, { { "document", "v1", 4 } } }, item_origin::Source, kStart));
  CHECK(items.Find("endpoint") == nullptr);
  CHECK(items.Find("late") != nullptr);
}

TEST_CASE("items that expired during an outage are kept until the grace period is over",
          "[published_items]")
{
  auto items = Items();
  items.OnSourceFailure(kStart);
  items.OnSourceAnswer(kStart + 5s);
  items.ApplyRemoval("endpoint", { 0, 20 }, kStart + 5s);
  CHECK(items.Find("endpoint") != nullptr);
  CHECK(!items.ApplyDeferredChanges(kStart + 6s));

  SECTION("a renewed item is kept")
  {
    items.ApplyWrite({ "endpoint", "e", 25 }, kStart + 6s);
    static_cast<void>(items.ApplyDeferredChanges(kStart + 20s));
    CHECK(items.Find("endpoint") != nullptr);
  }
  SECTION("an item that was not renewed is removed")
  {
    CHECK(items.ApplyDeferredChanges(kStart + 5s + published_items::kRenewalGrace));
    CHECK(items.Find("endpoint") == nullptr);
  }
}

// If only this entry lost the source, it must not go on sending to endpoints that were removed
// meanwhile.
TEST_CASE("a removal takes effect immediately if a peer with a stable source confirms it",
          "[published_items]")
{
  auto items = Items();
  items.OnSourceFailure(kStart);
  items.OnSourceAnswer(kStart + 5s);
  items.ApplyRemoval("endpoint", { 0, 20 }, kStart + 5s);

  SECTION("a removal that was deferred")
  {
    items.SetConfirmedByPeer(true);
    CHECK(items.ApplyDeferredChanges(kStart + 5s));
    CHECK(items.Find("endpoint") == nullptr);
  }
  SECTION("a later removal")
  {
    items.SetConfirmedByPeer(true);
    items.ApplyRemoval("document", { 0, 21 }, kStart + 5s);
    CHECK(items.Find("document") == nullptr);
  }
  SECTION("no removal while the source is unreachable")
  {
    items.OnSourceFailure(kStart + 6s);
    items.SetConfirmedByPeer(true);
    CHECK(!items.ApplyDeferredChanges(kStart + 6s));
  }
}

// Requests would be sent to an endpoint long after it had left.
TEST_CASE("a removal that two entries defer takes effect at both", "[published_items]")
{
  auto first = Items();
  auto second = Items();
  const auto back = kStart + 5s;
  for (auto* items : { &first, &second }) {
    items->OnSourceFailure(kStart);
    items->OnSourceAnswer(back);
    items->ApplySnapshot({ 20, { { "document", "v1", 4 } } }, item_origin::Source, back);
    REQUIRE(items->Find("endpoint") != nullptr);
  }
  REQUIRE(second.ApplySnapshot(first.Snapshot(back), item_origin::Peer, back));
  CHECK(second.Find("endpoint") != nullptr);
  CHECK(second.ApplyDeferredChanges(back + published_items::kRenewalGrace));
  CHECK(second.Find("endpoint") == nullptr);

  SECTION("and at an entry that first learns of it from them")
  {
    auto third = published_items();
    REQUIRE(third.ApplySnapshot(first.Snapshot(back), item_origin::Peer, back));
    third.OnSourceAnswer(back);
    CHECK(third.ApplyDeferredChanges(back + published_items::kRenewalGrace));
    CHECK(third.Find("endpoint") == nullptr);
  }
}

TEST_CASE("a source is stable once it has been reachable for the grace period", "[published_items]")
{
  auto items = published_items();
  CHECK(!items.IsSourceStable(kStart));
  items.OnSourceAnswer(kStart);
  CHECK(!items.IsSourceStable(kStart + 1s));
  CHECK(items.IsSourceStable(kStart + published_items::kRenewalGrace));
  items.OnSourceFailure(kStart + 10s);
  CHECK(!items.IsSourceStable(kStart + 20s));
  items.OnSourceAnswer(kStart + 20s);
  CHECK(!items.IsSourceStable(kStart + 21s));
}

TEST_CASE("without an outage a removal takes effect immediately", "[published_items]")
{
  auto items = Items();
  CHECK(items.ApplyRemoval("endpoint", { 0, 20 }, kStart));
  CHECK(items.Find("endpoint") == nullptr);
}

TEST_CASE("a snapshot from a peer is used while the source is unreachable", "[published_items]")
{
  auto items = published_items();
  CHECK(items.ApplySnapshot(Items().Snapshot(kStart), item_origin::Peer, kStart));
  CHECK(items.Position() == source_position{ 0, 10 });
  CHECK(items.Find("document")->mValue == "v1");
}

// An entry that the source rejects would otherwise go on using a removed endpoint for as long as
// the source rejects it.
TEST_CASE("items missing from a peer's snapshot are removed while the source is unreachable",
          "[published_items]")
{
  auto items = Items();
  items.OnSourceFailure(kStart);
  CHECK(items.ApplySnapshot({ 12, { { "document", "v1", 4 } } }, item_origin::Peer, kStart + 1s));
  CHECK(items.Find("endpoint") == nullptr);
}
