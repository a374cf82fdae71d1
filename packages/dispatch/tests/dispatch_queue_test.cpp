#include <bronzering/dispatch/dispatch_queue.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);

auto Table(std::uint32_t aSlots) -> endpoint_table
{
  auto table = endpoint_table("a");
  table.Configure({ { "model", 100, true, 5 } });
  auto endpoint = listed_endpoint();
  endpoint.mId = "one";
  endpoint.mService = "model";
  endpoint.mAddress = "10.0.0.1:80";
  endpoint.mAvailabilityZone = "a";
  endpoint.mSlots = aSlots;
  table.Apply({ endpoint }, kStart);
  return table;
}

auto Ticket(std::uint64_t aExchange, std::uint32_t aPriority, std::uint64_t aOutputTokens = 400)
  -> dispatch_ticket
{
  auto ticket = dispatch_ticket();
  ticket.mExchange = { aExchange };
  ticket.mService = "model";
  ticket.mWork = { 100, aOutputTokens };
  ticket.mRank = { 0, aPriority };
  ticket.mIsUrgent = aPriority == 0;
  ticket.mFirstEventBy = kStart + 4s;
  ticket.mDeadline = kStart + 15s;
  return ticket;
}

} // namespace

TEST_CASE("a request is sent immediately while there is a free slot", "[dispatch_queue]")
{
  auto table = Table(2);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 2), kStart);
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  REQUIRE(decisions[0].mEndpoint);
  CHECK(decisions[0].mEndpoint->mId == "one");
  CHECK(table.OwnLoads().at(0).mRequests == 1);
  CHECK(queue.empty());
}

TEST_CASE("a slot that becomes free goes to the most urgent request", "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0, 200), kStart);
  REQUIRE(queue.Decide(kStart).size() == 1);
  queue.Add(Ticket(2, 2, 200), kStart);
  queue.Add(Ticket(3, 0, 200), kStart);
  REQUIRE(queue.Decide(kStart).empty());

  table.End({ 1 }, attempt_result::Answered, kStart + 10ms);
  const auto decisions = queue.Decide(kStart + 10ms);
  REQUIRE(!decisions.empty());
  CHECK(decisions[0].mExchange.mValue == 3);
  CHECK(decisions[0].mEndpoint);
}

// A short answer with a deadline of 3 s waited behind long ones that could have started later.
TEST_CASE("among requests of a rank the one that must start first goes first", "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0, 200), kStart);
  REQUIRE(queue.Decide(kStart).size() == 1);
  auto longer = Ticket(2, 1, 200);
  auto shorter = Ticket(3, 1, 200);
  shorter.mDeadline = kStart + 3s;
  auto same = shorter;
  same.mExchange = { 4 };
  auto morePressing = Ticket(5, 1, 200);
  // A longer prompt has to start earlier to have its first event by the same time.
  morePressing.mWork.mPromptTokens = 100'000;
  for (const auto& ticket : { longer, shorter, same, morePressing }) {
    queue.Add(ticket, kStart + 1ms);
  }
  auto order = std::vector<std::uint64_t>();
  for (auto running = std::uint64_t{ 1 }; order.size() < 4;) {
    table.End({ running }, attempt_result::Answered, kStart + 10ms);
    for (const auto& decision : queue.Decide(kStart + 10ms)) {
      REQUIRE(decision.mEndpoint);
      running = decision.mExchange.mValue;
      order.push_back(running);
    }
  }
  CHECK(order == std::vector<std::uint64_t>{ 5, 3, 4, 2 });
}

// Requests were rejected after a fixed part of the latency objective, though their callers would
// have waited for the next free slot.
TEST_CASE("a request waits as long as it can still be answered before its caller leaves",
          "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0), kStart);
  REQUIRE(queue.Decide(kStart).size() == 1);
  queue.Add(Ticket(2, 1), kStart);
  // An answer of 400 tokens occupies a slot for about 1.7 s, and the first event takes 0.05 s.
  CHECK(queue.Decide(kStart).empty());
  CHECK(queue.Decide(kStart + 2s).empty());

  SECTION("the slot becomes free in time")
  {
    table.End({ 1 }, attempt_result::Answered, kStart + 3900ms);
    const auto decisions = queue.Decide(kStart + 3900ms);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].mEndpoint);
  }
  SECTION("no slot can become free in time any more")
  {
    const auto decisions = queue.Decide(kStart + 3s);
    REQUIRE(decisions.size() == 1);
    CHECK(!decisions[0].mEndpoint);
    // The next slot is expected after the 1.7 s for which an answer occupies one.
    REQUIRE(decisions[0].mPlaceExpected);
    CHECK(*decisions[0].mPlaceExpected >= 1s);
    CHECK(*decisions[0].mPlaceExpected <= 3s);
  }
  SECTION("the slot becomes free too late for the answer")
  {
    table.End({ 1 }, attempt_result::Answered, kStart + 3990ms);
    const auto decisions = queue.Decide(kStart + 3990ms);
    REQUIRE(decisions.size() == 1);
    CHECK(!decisions[0].mEndpoint);
  }
}

TEST_CASE("a request that cannot end in time behind those that wait is rejected at once",
          "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  // Places become free at 1.7, 3.3 and 5 s, and callers leave after 4 s.
  for (auto exchange = 1U; exchange <= 4; ++exchange) {
    queue.Add(Ticket(exchange, 0), kStart);
  }
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].mEndpoint);
  CHECK(!decisions[1].mEndpoint);
  CHECK(decisions[1].mExchange.mValue == 4);
  CHECK(queue.size() == 2);
  // Behind the two that wait, callers are told of a later place than behind none.
  REQUIRE(decisions[1].mPlaceExpected);
  CHECK(*decisions[1].mPlaceExpected > 4s);
  CHECK(queue.TimeToPlace(Ticket(5, 0), kStart) == decisions[1].mPlaceExpected);
}

TEST_CASE("a request is rejected at once if more urgent ones take all places", "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  for (auto exchange = 1U; exchange <= 20; ++exchange) {
    queue.Add(Ticket(exchange, 0), kStart);
  }
  REQUIRE(!queue.Decide(kStart).empty());
  queue.Add(Ticket(100, 1), kStart);
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].mExchange.mValue == 100);
  CHECK(!decisions[0].mEndpoint);
}

// With an objective of 0.8 s as the limit, no endpoint was ever fast enough for the longest
// prompts.
TEST_CASE("a long prompt is sent if it ends before its caller leaves, and rejected otherwise",
          "[dispatch_queue]")
{
  auto table = Table(2);
  auto queue = dispatch_queue(table);
  auto ticket = Ticket(1, 2);
  ticket.mWork.mPromptTokens = 100'000;
  queue.Add(ticket, kStart);
  auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].mEndpoint);

  // 20 s of prefill alone.
  ticket.mExchange = { 2 };
  ticket.mWork.mPromptTokens = 1'000'000;
  queue.Add(ticket, kStart);
  decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(!decisions[0].mEndpoint);
  CHECK(!decisions[0].mPlaceExpected);
}

TEST_CASE("a long answer is not sent where it ends after the deadline", "[dispatch_queue]")
{
  auto table = Table(2);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0, 10'000), kStart);
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(!decisions[0].mEndpoint);
}

TEST_CASE("what has tried all endpoints is rejected at once", "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  auto ticket = Ticket(1, 0);
  ticket.mExcluded = { "one" };
  queue.Add(ticket, kStart);
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(!decisions[0].mEndpoint);
}

TEST_CASE("without any endpoint a request is rejected at once", "[dispatch_queue]")
{
  auto table = endpoint_table("a");
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0), kStart);
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(!decisions[0].mEndpoint);
}

TEST_CASE("a cancelled ticket leaves the queue", "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0), kStart);
  queue.Cancel({ 1 });
  queue.Cancel({ 1 });
  CHECK(queue.Decide(kStart).empty());
  CHECK(queue.empty());
}
