#include <bronzering/dispatch/published_items.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);

auto Items() -> published_items
{
  auto items = published_items();
  items.SetSourceReachable(true, kStart);
  items.ApplySnapshot(
    { 10, { { "document", "v1", 4 }, { "endpoint", "e", 9 } } }, item_origin::Source, kStart);
  return items;
}

} // namespace

TEST_CASE("an older snapshot or write never takes back a newer one", "[published_items]")
{
  auto items = Items();
  REQUIRE(items.ApplyWrite({ "document", "v2", 12 }, kStart));
  CHECK(!items.ApplyWrite({ "document", "v1", 4 }, kStart));
  CHECK(!items.ApplySnapshot({ 9, { { "document", "v1", 4 } } }, item_origin::Source, kStart));
  items.AdvanceTo(12);
  CHECK(!items.ApplySnapshot({ 11, {} }, item_origin::Source, kStart));
  CHECK(items.Find("document")->mValue == "v2");
  CHECK(!items.ApplyRemoval("document", 11, kStart));
}

TEST_CASE("a snapshot removes what it does not list, but nothing that is newer",
          "[published_items]")
{
  auto items = Items();
  REQUIRE(items.ApplyWrite({ "late", "e", 14 }, kStart));
  REQUIRE(items.ApplySnapshot({ 12, { { "document", "v1", 4 } } }, item_origin::Source, kStart));
  CHECK(items.Find("endpoint") == nullptr);
  CHECK(items.Find("late") != nullptr);
}

TEST_CASE("items that lapsed during an outage stay until their time to return is over",
          "[published_items]")
{
  auto items = Items();
  items.SetSourceReachable(false, kStart);
  items.SetSourceReachable(true, kStart + 5s);
  items.ApplyRemoval("endpoint", 20, kStart + 5s);
  CHECK(items.Find("endpoint") != nullptr);
  CHECK(!items.RemoveExpiredItems(kStart + 6s));

  SECTION("one that came back stays")
  {
    items.ApplyWrite({ "endpoint", "e", 25 }, kStart + 6s);
    static_cast<void>(items.RemoveExpiredItems(kStart + 20s));
    CHECK(items.Find("endpoint") != nullptr);
  }
  SECTION("one that did not is gone")
  {
    CHECK(items.RemoveExpiredItems(kStart + 5s + published_items::kReturnGrace));
    CHECK(items.Find("endpoint") == nullptr);
  }
}

// An entry that was cut off for a while alone must not send to endpoints that left meanwhile.
TEST_CASE("a removal counts at once if a peer has followed the source all along",
          "[published_items]")
{
  auto items = Items();
  items.SetSourceReachable(false, kStart);
  items.SetSourceReachable(true, kStart + 5s);
  items.ApplyRemoval("endpoint", 20, kStart + 5s);

  SECTION("for removals that waited")
  {
    items.SetConfirmedByPeer(true);
    CHECK(items.RemoveExpiredItems(kStart + 5s));
    CHECK(items.Find("endpoint") == nullptr);
  }
  SECTION("for later ones")
  {
    items.SetConfirmedByPeer(true);
    items.ApplyRemoval("document", 21, kStart + 5s);
    CHECK(items.Find("document") == nullptr);
  }
  SECTION("but not while the own source is away")
  {
    items.SetSourceReachable(false, kStart + 6s);
    items.SetConfirmedByPeer(true);
    CHECK(!items.RemoveExpiredItems(kStart + 6s));
  }
}

TEST_CASE("a source is settled once it has been there for a while", "[published_items]")
{
  auto items = published_items();
  CHECK(!items.IsSourceStable(kStart));
  items.SetSourceReachable(true, kStart);
  CHECK(!items.IsSourceStable(kStart + 1s));
  CHECK(items.IsSourceStable(kStart + published_items::kReturnGrace));
  items.SetSourceReachable(false, kStart + 10s);
  CHECK(!items.IsSourceStable(kStart + 20s));
  items.SetSourceReachable(true, kStart + 20s);
  CHECK(!items.IsSourceStable(kStart + 21s));
}

TEST_CASE("without an outage a removal counts at once", "[published_items]")
{
  auto items = Items();
  CHECK(items.ApplyRemoval("endpoint", 20, kStart));
  CHECK(items.Find("endpoint") == nullptr);
}

TEST_CASE("a snapshot from a peer is used while the source is away", "[published_items]")
{
  auto items = published_items();
  CHECK(items.ApplySnapshot(Items().Snapshot(), item_origin::Peer, kStart));
  CHECK(items.Revision() == 10);
  CHECK(items.Find("document")->mValue == "v1");
}

// An entry that the source turns away would otherwise go on using an endpoint that is gone, for as
// long as it is turned away.
TEST_CASE("what a peer's snapshot no longer lists is removed while the own source is away",
          "[published_items]")
{
  auto items = Items();
  items.SetSourceReachable(false, kStart);
  CHECK(items.ApplySnapshot({ 12, { { "document", "v1", 4 } } }, item_origin::Peer, kStart + 1s));
  CHECK(items.Find("endpoint") == nullptr);
}
