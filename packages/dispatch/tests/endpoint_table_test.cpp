#include <bronzering/dispatch/endpoint_table.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);
constexpr auto kAnyTime = answer_times{ 1h, 1h };

auto Listed(std::string aId, std::uint64_t aIncarnation = 1) -> listed_endpoint
{
  auto endpoint = listed_endpoint();
  endpoint.mId = std::move(aId);
  endpoint.mIncarnation = aIncarnation;
  endpoint.mService = "model";
  endpoint.mAddress = "10.0.0.1:80";
  endpoint.mAvailabilityZone = "a";
  endpoint.mSlots = 2;
  return endpoint;
}

auto Table() -> endpoint_table
{
  auto table = endpoint_table("a");
  table.Configure({ { "model", 100, true, 5 }, { "plain", 100, false, 1 } });
  table.Apply({ Listed("one"), Listed("two") }, kStart);
  return table;
}

auto ChosenId(const endpoint_table& aTable,
              time_point aNow,
              const std::vector<std::string>& aExcluded = {}) -> std::string
{
  const auto choice = aTable.Choose(
    "model", { 100, 100 }, aExcluded, slot_requirement::FreeSlotOrQueue, kAnyTime, aNow);
  return choice ? choice->mId : "none";
}

} // namespace

TEST_CASE("an idle endpoint is preferred to one with outstanding work", "[endpoint_table]")
{
  auto table = Table();
  REQUIRE(ChosenId(table, kStart) == "one");
  table.Begin({ 1 }, "one", { 5000, 100 }, kStart);
  CHECK(ChosenId(table, kStart) == "two");
  table.End({ 1 }, attempt_result::Answered, kStart + 1s);
  CHECK(ChosenId(table, kStart + 1s) == "one");
}

TEST_CASE("a peer's outstanding work counts until the peer is dropped", "[endpoint_table]")
{
  auto table = Table();
  table.SetPeerLoads("peer", { { HashEndpointId("one"), 3, 9000, 900 } });
  CHECK(ChosenId(table, kStart) == "two");
  table.DropPeer("peer");
  CHECK(ChosenId(table, kStart) == "one");
}

TEST_CASE("draining and excluded endpoints are never chosen", "[endpoint_table]")
{
  auto table = Table();
  auto leaving = Listed("one");
  leaving.mIsLeaving = true;
  table.Apply({ leaving, Listed("two") }, kStart);
  CHECK(ChosenId(table, kStart) == "two");
  CHECK(ChosenId(table, kStart, { "two" }) == "none");
}

TEST_CASE("an endpoint that has answered that it is leaving is not chosen until it restarts",
          "[endpoint_table]")
{
  auto table = Table();
  CHECK(!table.OnLeavingAnswer("one", 7));
  REQUIRE(ChosenId(table, kStart) == "one");
  CHECK(table.OnLeavingAnswer("one", 1));
  CHECK(!table.OnLeavingAnswer("one", 1));
  CHECK(ChosenId(table, kStart) == "two");
  CHECK(ChosenId(table, kStart, { "two" }) == "none");

  // The list may not show it yet.
  table.Apply({ Listed("one"), Listed("two") }, kStart + 1s);
  CHECK(ChosenId(table, kStart + 1s, { "two" }) == "none");
  table.Apply({ Listed("one", 2), Listed("two") }, kStart + 2s);
  CHECK(ChosenId(table, kStart + 2s, { "two" }) == "one");
}

TEST_CASE("an endpoint that has asked for a pause is not chosen before its end, even alone",
          "[endpoint_table]")
{
  auto table = Table();
  constexpr auto kUrgent = slot_requirement::FreeSlotOrQueue;
  CHECK(!table.OnPauseRequested("one", 7, 2s, kStart));
  CHECK(table.OnPauseRequested("one", 1, 2s, kStart));
  CHECK(ChosenId(table, kStart) == "two");
  CHECK(table.TimeToAdmission("model", kUrgent, kStart) == 0s);
  CHECK(table.OnPauseRequested("two", 1, 5s, kStart));
  CHECK(ChosenId(table, kStart) == "none");
  CHECK(table.TimeToAdmission("model", kUrgent, kStart) == 2s);

  // A later, shorter pause does not end the first one.
  CHECK(table.OnPauseRequested("one", 1, 100ms, kStart + 1s));
  CHECK(ChosenId(table, kStart + 2s - 1ms) == "none");
  CHECK(ChosenId(table, kStart + 2s) == "one");
  table.Apply({ Listed("one", 2), Listed("two", 2) }, kStart + 2s);
  CHECK(ChosenId(table, kStart + 2s, { "one" }) == "two");
}

TEST_CASE("an unreachable endpoint is avoided while another is available", "[endpoint_table]")
{
  auto table = Table();
  table.Begin({ 1 }, "one", {}, kStart);
  table.End({ 1 }, attempt_result::Unreachable, kStart);
  CHECK(ChosenId(table, kStart) == "two");
  CHECK(ChosenId(table, kStart, { "two" }) == "one");
  CHECK(ChosenId(table, kStart + 10s, { "two" }) == "one");
}

// A crashed endpoint refuses connections immediately, so it always appears to have free slots.
TEST_CASE("an unreachable endpoint is not chosen because the others are full", "[endpoint_table]")
{
  auto table = Table();
  table.Begin({ 1 }, "one", {}, kStart);
  table.End({ 1 }, attempt_result::Unreachable, kStart);
  for (auto request = 2U; request < 12; ++request) {
    table.Begin({ request }, "two", { 100, 100 }, kStart);
  }
  CHECK(!table.Choose("model", { 100, 100 }, {}, slot_requirement::FreeSlot, kAnyTime, kStart));
}

// An endpoint resets connections above its limit, and each request needs a connection of its own.
TEST_CASE("an endpoint gets no more requests than its connection limit", "[endpoint_table]")
{
  auto table = endpoint_table("a");
  table.Configure({ { "model", 3, true, 5 } });
  table.Apply({ Listed("one") }, kStart);
  table.SetPeerLoads("peer", { { HashEndpointId("one"), 2, 200, 200 } });
  CHECK(ChosenId(table, kStart) == "one");
  table.Begin({ 1 }, "one", { 100, 100 }, kStart);
  CHECK(ChosenId(table, kStart) == "none");
  table.End({ 1 }, attempt_result::Answered, kStart + 1s);
  CHECK(ChosenId(table, kStart + 1s) == "one");
}

TEST_CASE("a connection limit of zero means no limit", "[endpoint_table]")
{
  auto table = endpoint_table("a");
  table.Configure({ { "model", 0, true, 5 } });
  auto endpoint = Listed("one");
  endpoint.mSlots = 1'000;
  table.Apply({ endpoint }, kStart);
  table.SetPeerLoads("peer", { { HashEndpointId("one"), 500, 200, 200 } });
  CHECK(ChosenId(table, kStart) == "one");
}

// Requests in the queue of an endpoint cannot be put in another order, and are lost with it.
TEST_CASE("a request waits in the queue of an endpoint only if a slot becomes free soon",
          "[endpoint_table]")
{
  auto table = endpoint_table("a");
  table.Configure({ { "model", 0, true, 5 }, { "plain", 0, false, 1 } });
  auto plain = Listed("two");
  plain.mService = "plain";
  table.Apply({ Listed("one"), plain }, kStart);
  constexpr auto kQueue = slot_requirement::FreeSlotOrQueue;
  // A token takes 4 ms, so a slot becomes free within 0.16 s.
  table.SetPeerLoads("peer", { { HashEndpointId("one"), 2, 0, 160 } });
  CHECK(table.HasPlace("model", kQueue, kStart));
  CHECK(!table.HasPlace("model", slot_requirement::FreeSlot, kStart));
  table.SetPeerLoads("peer", { { HashEndpointId("one"), 2, 0, 300 } });
  CHECK(!table.HasPlace("model", kQueue, kStart));
  // A request takes 30 ms.
  table.SetPeerLoads("peer", { { HashEndpointId("two"), 14, 0, 0 } });
  CHECK(table.HasPlace("plain", kQueue, kStart));
  table.SetPeerLoads("peer", { { HashEndpointId("two"), 15, 0, 0 } });
  CHECK(!table.HasPlace("plain", kQueue, kStart));
}

TEST_CASE("the places that an entry can expect follow from slots, their use and its callers",
          "[endpoint_table]")
{
  auto table = Table();
  const auto rate = [&](const std::vector<std::string>& aExcluded = {}) {
    return table.PlaceRate("model", { 0, 500 }, aExcluded, kStart);
  };
  // Four slots; 500 tokens of 4 ms, and 50 ms for the first event.
  CHECK(rate() == Approx(4 / 2.05));
  CHECK(rate({ "one" }) == Approx(2 / 2.05));
  CHECK(rate({ "one", "two" }) == 0);
  table.Begin({ 1 }, "one", { 0, 500 }, kStart);
  table.End({ 1 }, attempt_result::Answered, kStart + 1s);
  CHECK(rate() == Approx(4));
  table.RateLimits().SetMembers({ { "", 3 }, { "10.0.0.9", 9 } }, kStart);
  CHECK(rate() == Approx(2));
  table.RateLimits().SetMembers({ { "", 9 }, { "10.0.0.9", 3 } }, kStart);
  CHECK(rate() == Approx(3));
}

// An endpoint that had declined got the next requests after 50 ms, long before it had a free slot.
TEST_CASE("an endpoint that declined is passed over until a slot is expected to be free there",
          "[endpoint_table]")
{
  auto table = Table();
  table.Begin({ 1 }, "one", { 0, 500 }, kStart);
  table.End({ 1 }, attempt_result::Answered, kStart + 1s);
  // An answer occupies one of two slots for 1 s.
  const auto now = kStart + 1s;
  table.Begin({ 2 }, "one", { 0, 500 }, now);
  table.End({ 2 }, attempt_result::Declined, now);
  table.Begin({ 3 }, "two", { 0, 500 }, now);
  CHECK(ChosenId(table, now + 499ms) == "two");
  CHECK(ChosenId(table, now + 500ms) == "one");
}

// An entry that had measured one short answer, while all others had waited at endpoints, expected
// eight times the places that there were, and let requests wait that had no chance.
TEST_CASE("the use of slots is also measured by requests that waited for one", "[endpoint_table]")
{
  auto table = Table();
  table.Begin({ 1 }, "one", { 0, 10 }, kStart);
  table.End({ 1 }, attempt_result::Answered, kStart + 100ms);
  table.SetPeerLoads("peer", { { HashEndpointId("one"), 2, 0, 0 } });
  for (auto request = 2U; request < 202; ++request) {
    // It waits for 2 s, has its first event after 50 ms more, and ends 950 ms later.
    table.Begin({ request }, "one", { 0, 500 }, kStart);
    table.OnEvents({ request }, 1, kStart + 2050ms);
    table.End({ request }, attempt_result::Answered, kStart + 3s);
  }
  CHECK(table.PlaceRate("model", { 0, 500 }, {}, kStart) == Approx(4).epsilon(0.01));
}

TEST_CASE("a single failure does not exclude an endpoint, consecutive ones do", "[endpoint_table]")
{
  auto table = Table();
  table.Begin({ 1 }, "two", {}, kStart);
  table.End({ 1 }, attempt_result::Failed, kStart);
  table.Begin({ 2 }, "one", { 90'000, 1 }, kStart);
  CHECK(ChosenId(table, kStart) == "two");
  table.Begin({ 3 }, "two", {}, kStart);
  table.End({ 3 }, attempt_result::Failed, kStart);
  CHECK(ChosenId(table, kStart) == "one");
}

TEST_CASE("outstanding work is discarded when an endpoint restarts", "[endpoint_table]")
{
  auto table = Table();
  table.Begin({ 1 }, "one", { 5000, 100 }, kStart);
  table.Apply({ Listed("one", 2), Listed("two") }, kStart);
  CHECK(ChosenId(table, kStart) == "one");
  // The end of a request sent before the restart must not reduce the load of the new incarnation.
  table.Begin({ 2 }, "one", { 5000, 100 }, kStart);
  table.End({ 1 }, attempt_result::Failed, kStart);
  CHECK(ChosenId(table, kStart) == "two");
}

TEST_CASE("the speed of an endpoint is measured from its events and shared with peers",
          "[endpoint_table]")
{
  auto table = Table();
  table.Begin({ 1 }, "one", { 2000, 100 }, kStart);
  auto now = kStart + 400ms;
  table.OnEvents({ 1 }, 1, now);
  for (auto event = 0; event < 20; ++event) {
    now += 100ms;
    table.OnEvents({ 1 }, 1, now);
  }
  const auto speeds = table.OwnSpeeds();
  REQUIRE(speeds.size() == 1);
  CHECK(speeds[0].mKey == HashEndpointId("one"));
  CHECK(speeds[0].mTokenTime == 20ms);
  CHECK(speeds[0].mPromptTokenMicros == Approx(185));
  CHECK(table.OwnLoads().at(0).mPromptTokens == 0);

  // A peer without measurements of its own uses these speeds.
  auto peer = Table();
  peer.SetPeerSpeeds(speeds);
  CHECK(ChosenId(peer, kStart) == "two");
}

TEST_CASE("time spent in the endpoint's queue does not affect the measured speed",
          "[endpoint_table]")
{
  auto table = Table();
  for (auto request = 1U; request <= 3; ++request) {
    table.Begin({ request }, "one", { 1000, 100 }, kStart);
  }
  // The third request found no free slot, so its late first event does not show the prefill speed.
  table.OnEvents({ 3 }, 1, kStart + 10s);
  CHECK(table.OwnSpeeds().empty());
}

TEST_CASE("outstanding work returns to zero for every result of a request", "[endpoint_table]")
{
  auto table = Table();
  const auto results = { attempt_result::Answered,
                         attempt_result::Declined,
                         attempt_result::Unreachable,
                         attempt_result::Failed,
                         attempt_result::Abandoned };
  auto request = 0U;
  for (const auto result : results) {
    table.Begin({ ++request }, "one", { 700, 30 }, kStart);
    table.OnEvents({ request }, request * 4, kStart + 10ms);
    table.End({ request }, result, kStart + 20ms);
    table.End({ request }, result, kStart + 20ms);
  }
  CHECK(table.OwnLoads().empty());
  table.Begin({ 99 }, "one", { 700, 30 }, kStart);
  CHECK(table.OwnLoads().at(0).mRequests == 1);
  CHECK(table.OwnLoads().at(0).mPromptTokens == 700);
  CHECK(table.OwnLoads().at(0).mOutputTokens == 30);
}

TEST_CASE("an endpoint whose rate limit is used up is passed over", "[endpoint_table]")
{
  auto table = Table();
  table.RateLimits().OnAnswer(HashEndpointIncarnation("one", 1), 1.0, kStart, kStart);
  const auto later = kStart + 10s;
  REQUIRE(ChosenId(table, later) == "one");
  table.Begin({ 1 }, "one", { 100, 100 }, later);
  table.End({ 1 }, attempt_result::Answered, later);
  CHECK(ChosenId(table, later) == "two");
  CHECK(table.RateLimitedCount("model", later) == 1);
  CHECK(table.TimeToAdmission("model", slot_requirement::FreeSlot, later) == duration::zero());

  table.RateLimits().OnAnswer(HashEndpointIncarnation("two", 1), 1.0, later, later);
  table.Begin({ 2 }, "two", { 100, 100 }, later + 1ms);
  CHECK(table.TimeToAdmission("model", slot_requirement::FreeSlot, later + 1ms) == 999ms);
}

TEST_CASE("the rate limit of an endpoint ends with its incarnation", "[endpoint_table]")
{
  auto table = Table();
  table.RateLimits().OnAnswer(HashEndpointIncarnation("one", 1), 0.0, kStart, kStart);
  table.Begin({ 1 }, "one", { 100, 100 }, kStart + 10s);
  table.End({ 1 }, attempt_result::Answered, kStart + 10s);
  REQUIRE(table.RateLimitedCount("model", kStart + 10s) == 1);
  table.Apply({ Listed("one", 2), Listed("two") }, kStart + 10s);
  CHECK(table.RateLimitedCount("model", kStart + 10s) == 0);
}

TEST_CASE("nothing is sent to an evacuated zone, and no place is expected there",
          "[endpoint_table]")
{
  auto table = Table();
  auto other = Listed("other");
  other.mAvailabilityZone = "b";
  table.Apply({ Listed("one"), Listed("two"), other }, kStart);
  table.SetEvacuatedZones({ "a" }, kStart);
  CHECK(ChosenId(table, kStart) == "other");
  CHECK(ChosenId(table, kStart, { "other" }) == "none");
  CHECK(table.PlaceRate("model", { 100, 100 }, { "other" }, kStart) == 0);

  // An endpoint that starts in the zone is not used either, and with the last zone none is left.
  table.Apply({ Listed("one", 2), Listed("new") }, kStart);
  CHECK(ChosenId(table, kStart) == "none");
  CHECK(!table.HasPlace("model", slot_requirement::FreeSlotOrQueue, kStart));
  CHECK(!table.ShortestTimes("model", { 100, 100 }));

  table.SetEvacuatedZones({}, kStart);
  CHECK(ChosenId(table, kStart) != "none");
}

namespace {

/// A table with a service whose endpoints stay cold for 3 s and take two requests a second of this
/// entry then.
auto TableWithColdLimit() -> endpoint_table
{
  auto table = endpoint_table("a", "10.0.0.1");
  auto service = service_spec{ "model", 100, true, 5 };
  // Each of four owners has a quarter of it.
  service.mColdRate = 8;
  service.mColdTime = 3s;
  table.Configure({ service });
  table.SetMembers({ { "10.0.0.1", 1 } }, kStart - 2s, false);
  table.SetMembers({ { "10.0.0.1", 1 } }, kStart, false);
  return table;
}

} // namespace

TEST_CASE("an endpoint that says it is cold gets few requests until that time is over",
          "[endpoint_table]")
{
  auto table = TableWithColdLimit();
  auto cold = Listed("one");
  cold.mColdLeft = 3s;
  cold.mWritten = { 0, 7 };
  table.Apply({ cold }, kStart);
  CHECK(ChosenId(table, kStart) == "none");
  CHECK(ChosenId(table, kStart + 500ms) == "one");
  table.Begin({ 1 }, "one", { 100, 100 }, kStart + 500ms);
  CHECK(ChosenId(table, kStart + 600ms) == "none");

  // The same item, applied again, does not extend the time.
  table.Apply({ cold }, kStart + 2900ms);
  CHECK(ChosenId(table, kStart + 3s) == "one");
  table.Begin({ 2 }, "one", { 100, 100 }, kStart + 3s);
  table.End({ 1 }, attempt_result::Answered, kStart + 3s);
  CHECK(ChosenId(table, kStart + 3001ms) == "one");
}

TEST_CASE("an endpoint that says it is warm again is not limited any longer", "[endpoint_table]")
{
  auto table = TableWithColdLimit();
  auto cold = Listed("one");
  cold.mColdLeft = 3s;
  cold.mWritten = { 0, 7 };
  table.Apply({ cold }, kStart);
  CHECK(ChosenId(table, kStart) == "none");
  cold.mColdLeft = 0s;
  cold.mWritten = { 0, 8 };
  table.Apply({ cold }, kStart);
  CHECK(ChosenId(table, kStart) == "one");
}

// Entries that own no part of any cold endpoint refused at once, although the cold time ended in
// time for their callers.
TEST_CASE("a cold endpoint of other entries is a place for later", "[endpoint_table]")
{
  auto table = TableWithColdLimit();
  auto members = std::vector<entry_demand>();
  for (auto at = 1; at <= 68; ++at) {
    members.push_back({ "10.0.0." + std::to_string(at), 1 });
  }
  table.SetMembers(members, kStart, false);
  auto cold = Listed("one");
  cold.mColdLeft = 3s;
  cold.mWritten = { 0, 7 };
  table.Apply({ cold }, kStart);
  const auto key = HashEndpointIncarnation("one", 1);
  REQUIRE(table.ColdLimits().OwnRate(key, kStart) == 0.0);
  CHECK(!table.HasPlace("model", slot_requirement::FreeSlotOrQueue, kStart));
  CHECK(table.PlaceRate("model", { 100, 100 }, {}, kStart) > 0);
  CHECK(table.TimeToAdmission("model", slot_requirement::FreeSlotOrQueue, kStart) == 3s);
}

TEST_CASE("the endpoints of a zone that returns count as cold, as their items may be older",
          "[endpoint_table]")
{
  auto table = TableWithColdLimit();
  table.Apply({ Listed("one") }, kStart);
  CHECK(ChosenId(table, kStart) == "one");
  table.SetEvacuatedZones({ "a" }, kStart);
  table.SetEvacuatedZones({}, kStart + 10s);
  CHECK(ChosenId(table, kStart + 10s) == "none");
  CHECK(ChosenId(table, kStart + 13s) == "one");
}
