#include <bronzering/dispatch/published_items.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);

/// Reads values of the form "INCARNATION.NUMBER TEXT".
auto VersionOf(const published_item& aItem) -> std::optional<owner_version>
{
  const auto point = aItem.mValue.find('.');
  if (point == std::string::npos) {
    return std::nullopt;
  }
  return owner_version{ std::stoull(aItem.mValue), std::stoull(aItem.mValue.substr(point + 1)) };
}

/// Items read at revision 20 of history 1.
auto Items() -> published_items
{
  auto items = published_items(VersionOf);
  items.OnSourceAnswer(kStart);
  items.ApplySnapshot(
    { 20, { { "document", "0.7", 18, 1 }, { "endpoint", "5.9 leaving", 20, 1 } }, 1 },
    item_origin::Source,
    kStart);
  return items;
}

auto ValueOf(const published_items& aItems, std::string_view aKey) -> std::string
{
  const auto* item = aItems.Find(aKey);
  return item == nullptr ? "none" : item->mValue;
}

} // namespace

TEST_CASE("a restored source replaces a copy of a later revision", "[restored_source]")
{
  auto items = Items();
  const auto now = kStart + 60s;
  REQUIRE(items.ApplySnapshot(
    { 12, { { "document", "0.8", 12, 2 }, { "endpoint", "6.1 ready", 11, 2 } }, 2 },
    item_origin::Source,
    now));
  CHECK(items.Position() == source_position{ 2, 12 });
  CHECK(ValueOf(items, "document") == "0.8");
  CHECK(ValueOf(items, "endpoint") == "6.1 ready");
  CHECK(items.ApplyWrite({ "document", "0.9", 13, 2 }, now));
  CHECK(!items.ApplySnapshot({ 21, { { "document", "0.7", 18, 1 } }, 1 }, item_origin::Peer, now));
  CHECK(ValueOf(items, "document") == "0.9");
}

TEST_CASE("what has taken effect is not undone by the older copy", "[restored_source]")
{
  auto items = Items();
  const auto now = kStart + 60s;
  items.ApplySnapshot({ 12, { { "document", "0.6", 3, 2 }, { "endpoint", "5.1 ready", 4, 2 } }, 2 },
                      item_origin::Source,
                      now);
  CHECK(ValueOf(items, "document") == "0.7");
  CHECK(ValueOf(items, "endpoint") == "5.9 leaving");

  SECTION("until it is written again")
  {
    CHECK(items.ApplyWrite({ "document", "0.7", 13, 2 }, now));
    CHECK(items.Find("document")->mHistory == 2);
    CHECK(items.ApplyWrite({ "endpoint", "5.9 leaving", 14, 2 }, now));
    CHECK(!items.ApplyWrite({ "endpoint", "5.1 ready", 4, 2 }, now));
  }
  SECTION("but it can be removed")
  {
    CHECK(items.ApplyRemoval("endpoint", { 2, 13 }, now + published_items::kRenewalGrace));
    CHECK(items.Find("endpoint") == nullptr);
  }
}

TEST_CASE("an item without a version follows the latest history", "[restored_source]")
{
  auto items = Items();
  items.ApplyWrite({ "note", "old", 20, 1 }, kStart);
  items.ApplySnapshot({ 12, { { "note", "copy", 3, 2 } }, 2 }, item_origin::Source, kStart);
  CHECK(ValueOf(items, "note") == "copy");
}

TEST_CASE("items that a restored source lacks are kept until they can be written again",
          "[restored_source]")
{
  auto items = Items();
  const auto now = kStart + 60s;
  REQUIRE(items.IsSourceStable(now));
  items.SetConfirmedByPeer(true);
  items.ApplySnapshot({ 12, { { "document", "0.7", 3, 2 } }, 2 }, item_origin::Source, now);
  CHECK(items.Find("endpoint") != nullptr);
  CHECK(!items.IsSourceStable(now));
  CHECK(!items.ApplyDeferredChanges(now));

  SECTION("removed after the grace period")
  {
    CHECK(items.ApplyDeferredChanges(now + published_items::kRenewalGrace));
    CHECK(items.Find("endpoint") == nullptr);
    // Written again late, unchanged: it belongs to the new history.
    CHECK(items.ApplyWrite({ "endpoint", "5.9 leaving", 13, 2 }, now + 3s));
  }
  SECTION("kept once they are written again")
  {
    CHECK(items.ApplyWrite({ "endpoint", "5.9 leaving", 13, 2 }, now + 1s));
    CHECK(!items.ApplyDeferredChanges(now + published_items::kRenewalGrace));
    CHECK(items.Find("endpoint") != nullptr);
  }
}

// The withheld item would be removed at the time that was meant for the one that it replaces.
TEST_CASE("an item that replaces an expired one is not removed with it", "[restored_source]")
{
  auto items = Items();
  const auto now = kStart + 60s;
  items.ApplySnapshot({ 12, { { "document", "0.7", 3, 2 }, { "endpoint", "4.8 ready", 5, 2 } }, 2 },
                      item_origin::Source,
                      now);
  const auto expiry = now + published_items::kLeaseExpiry;
  REQUIRE(items.ApplyWrite({ "endpoint", "5.9 leaving", 20, 1, true }, expiry - 1s));
  REQUIRE(!items.ApplyWrite({ "endpoint", "4.9 ready", 13, 2 }, expiry - 500ms));
  CHECK(items.ApplyDeferredChanges(expiry));
  CHECK(ValueOf(items, "endpoint") == "4.9 ready");
  static_cast<void>(items.ApplyDeferredChanges(expiry + 5s));
  CHECK(ValueOf(items, "endpoint") == "4.9 ready");
}

// Callers' requests would be sent to an endpoint that has long announced its end.
TEST_CASE("an endpoint that had left does not return with the older copy", "[restored_source]")
{
  auto items = Items();
  REQUIRE(items.ApplyRemoval("endpoint", { 1, 21 }, kStart));
  const auto now = kStart + 5s;
  const auto copy =
    published_snapshot{ 12, { { "document", "0.7", 3, 2 }, { "endpoint", "5.1 ready", 4, 2 } }, 2 };
  items.ApplySnapshot(copy, item_origin::Source, now);
  CHECK(items.Find("endpoint") == nullptr);

  SECTION("its removal is written again")
  {
    CHECK(items.ApplyRemoval("endpoint", { 2, 13 }, now));
    CHECK(!items.ApplyDeferredChanges(now + published_items::kLeaseExpiry));
    CHECK(items.Find("endpoint") == nullptr);
  }
  SECTION("it has started again")
  {
    CHECK(items.ApplyWrite({ "endpoint", "6.1 ready", 13, 2 }, now));
    CHECK(ValueOf(items, "endpoint") == "6.1 ready");
  }
  SECTION("its owner must have renewed it since")
  {
    CHECK(!items.ApplyDeferredChanges(now + published_items::kLeaseExpiry - 1ms));
    CHECK(items.ApplyDeferredChanges(now + published_items::kLeaseExpiry));
    CHECK(ValueOf(items, "endpoint") == "5.1 ready");
  }
  SECTION("a later snapshot no longer lists it")
  {
    items.ApplySnapshot({ 14, { { "document", "0.7", 3, 2 } }, 2 }, item_origin::Source, now);
    CHECK(!items.ApplyDeferredChanges(now + published_items::kLeaseExpiry));
    CHECK(items.Find("endpoint") == nullptr);
  }
}

// The clock of the endpoint's VM may have stepped back before the restart.
TEST_CASE("a restarted endpoint with an earlier start time is used in the end", "[restored_source]")
{
  auto items = Items();
  const auto now = kStart + 5s;
  items.ApplySnapshot({ 12, { { "endpoint", "4.1 ready", 12, 2 } }, 2 }, item_origin::Source, now);
  CHECK(ValueOf(items, "endpoint") == "5.9 leaving");
  SECTION("once its owner must have renewed it")
  {
    CHECK(items.ApplyDeferredChanges(now + published_items::kLeaseExpiry));
    CHECK(ValueOf(items, "endpoint") == "4.1 ready");
  }
  SECTION("unless it is removed before")
  {
    CHECK(items.ApplyRemoval("endpoint", { 2, 13 }, now + published_items::kRenewalGrace));
    static_cast<void>(items.ApplyDeferredChanges(now + published_items::kLeaseExpiry));
    CHECK(items.Find("endpoint") == nullptr);
  }
}

// A peer that is cut off from the source still holds the old history.
TEST_CASE("of an older history only later versions are taken from a peer", "[restored_source]")
{
  auto items = published_items(VersionOf);
  items.OnSourceAnswer(kStart);
  items.ApplySnapshot({ 12, { { "document", "0.6", 3, 2 }, { "endpoint", "5.1 ready", 4, 2 } }, 2 },
                      item_origin::Source,
                      kStart);
  CHECK(items.ApplySnapshot(
    { 20,
      { { "document", "0.7", 18, 1 }, { "gone", "1.1", 19, 1 }, { "endpoint", "4.9", 5, 1 } },
      1 },
    item_origin::Peer,
    kStart));
  CHECK(items.Position() == source_position{ 2, 12 });
  CHECK(ValueOf(items, "document") == "0.7");
  CHECK(ValueOf(items, "endpoint") == "5.1 ready");
  CHECK(items.Find("gone") == nullptr);
}
