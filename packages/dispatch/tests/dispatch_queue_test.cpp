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
  ticket.mArrived = kStart;
  ticket.mObjective = 800ms;
  ticket.mDeadline = kStart + 15s;
  return ticket;
}

} // namespace

TEST_CASE("a request is sent immediately while there is a free slot", "[dispatch_queue]")
{
  auto table = Table(2);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 2));
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
  queue.Add(Ticket(1, 0, 5000));
  REQUIRE(queue.Decide(kStart).size() == 1);
  queue.Add(Ticket(2, 2));
  queue.Add(Ticket(3, 0));
  REQUIRE(queue.Decide(kStart).empty());

  table.End({ 1 }, attempt_result::Answered, kStart + 10ms);
  const auto decisions = queue.Decide(kStart + 10ms);
  REQUIRE(!decisions.empty());
  CHECK(decisions[0].mExchange.mValue == 3);
  CHECK(decisions[0].mEndpoint);
}

TEST_CASE("a request that cannot be answered in time is rejected with a retry delay",
          "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0, 5000));
  REQUIRE(queue.Decide(kStart).size() == 1);
  queue.Add(Ticket(2, 0));
  CHECK(queue.Decide(kStart).empty());
  const auto decisions = queue.Decide(kStart + 800ms);
  REQUIRE(decisions.size() == 1);
  CHECK(!decisions[0].mEndpoint);
  CHECK(decisions[0].mRetryAfter > duration::zero());
  CHECK(decisions[0].mRetryAfter <= 15s / 3);
}

TEST_CASE("a long prompt is not rejected because of its own length", "[dispatch_queue]")
{
  auto table = Table(2);
  auto queue = dispatch_queue(table);
  auto ticket = Ticket(1, 2);
  ticket.mWork.mPromptTokens = 1'000'000;
  queue.Add(std::move(ticket));
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].mEndpoint);
}

TEST_CASE("a retry of a request that may have run does not wait", "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0, 50'000));
  REQUIRE(queue.Decide(kStart).size() == 1);
  auto ticket = Ticket(2, 2);
  ticket.mIsRetry = true;
  queue.Add(std::move(ticket));
  const auto decisions = queue.Decide(kStart);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].mEndpoint);
}

TEST_CASE("without any endpoint a request is rejected after a short wait", "[dispatch_queue]")
{
  auto table = endpoint_table("a");
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0));
  CHECK(queue.Decide(kStart).empty());
  const auto decisions = queue.Decide(kStart + 1s);
  REQUIRE(decisions.size() == 1);
  CHECK(!decisions[0].mEndpoint);
}

TEST_CASE("a cancelled ticket leaves the queue", "[dispatch_queue]")
{
  auto table = Table(1);
  auto queue = dispatch_queue(table);
  queue.Add(Ticket(1, 0));
  queue.Cancel({ 1 });
  queue.Cancel({ 1 });
  CHECK(queue.Decide(kStart).empty());
  CHECK(queue.empty());
}
