#include <bronzering/scheduling.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>

using namespace bronzering;

namespace {

auto MakeTicket(std::uint64_t aId,
                std::string aOrganisation,
                double aCost = 1,
                std::uint32_t aRank = 0,
                double aWeight = 1) -> queued_ticket
{
  return { { 1, aId }, aRank, std::move(aOrganisation), aWeight, aCost, time_point::max() };
}

auto TakeFront(ticket_queue& aQueue) -> queued_ticket
{
  return *aQueue.Take(aQueue.Front()->mRequest);
}

} // namespace

// Compares the queue with plain lists to detect lost, duplicated and misordered tickets.
TEST_CASE("every ticket leaves the queue once, by tier and in order of arrival",
          "[queue][property]")
{
  const auto property = [](const std::vector<std::tuple<int, int, int>>& aSteps) {
    auto queue = ticket_queue{};
    auto expected = std::map<std::pair<std::uint32_t, std::string>, std::deque<std::uint64_t>>{};
    auto next = std::uint64_t{ 0 };
    const auto erase = [&](const queued_ticket& aTicket) {
      const auto key = std::pair(aTicket.mRank, aTicket.mOrganisation);
      auto& list = expected[key];
      const auto found = std::find(list.begin(), list.end(), aTicket.mRequest.mSequence);
      RC_ASSERT(found != list.end());
      list.erase(found);
      if (list.empty()) {
        expected.erase(key);
      }
    };

    for (const auto& [operation, organisation, rank] : aSteps) {
      switch (std::abs(operation) % 8) {
        case 0: // Grant the front: the oldest ticket of an organisation in the highest tier.
          if (const auto* front = queue.Front()) {
            RC_ASSERT(front->mRank == expected.begin()->first.first);
            const auto& list = expected[{ front->mRank, front->mOrganisation }];
            RC_ASSERT(front->mRequest.mSequence == list.front());
            const auto taken = TakeFront(queue);
            RC_ASSERT(!queue.Take(taken.mRequest));
            erase(taken);
          } else {
            RC_ASSERT(expected.empty());
          }
          break;
        case 1: // Cancel a ticket, whether it is still waiting or not.
          if (const auto id = request_id{ 1, next / 2 }; const auto* found = queue.Find(id)) {
            erase(*found);
            RC_ASSERT(queue.Cancel(id));
            RC_ASSERT(!queue.Cancel(id));
          }
          break;
        case 2: { // Expire the tickets with the earliest deadlines.
          for (const auto& expired : queue.Expire(time_point(duration(next / 4)))) {
            RC_ASSERT(expired.mDeadline <= time_point(duration(next / 4)));
            erase(expired);
          }
          break;
        }
        case 3: // Correct the charge of an organisation, whether it has waiting tickets or not.
          queue.Charge(static_cast<std::uint32_t>(std::abs(rank) % 4),
                       std::to_string(organisation % 5),
                       1,
                       organisation % 7);
          break;
        default: {
          auto ticket = MakeTicket(next++,
                                   std::to_string(organisation % 5),
                                   1 + std::abs(organisation % 9),
                                   static_cast<std::uint32_t>(std::abs(rank) % 4));
          ticket.mDeadline = time_point(duration(next));
          expected[{ ticket.mRank, ticket.mOrganisation }].push_back(ticket.mRequest.mSequence);
          RC_ASSERT(queue.Push(ticket));
          RC_ASSERT(!queue.Push(ticket));
        }
      }
      auto waiting = std::size_t{ 0 };
      for (const auto& [key, list] : expected) {
        waiting += list.size();
      }
      RC_ASSERT(queue.size() == waiting);
      RC_ASSERT(queue.Next(3).size() <= 3);
      if (!queue.empty()) {
        RC_ASSERT(queue.Next(3).front() == queue.Front());
      }
    }
  };
  CHECK(rc::check("each ticket is removed once", property));
}

// Guards against unfair shares: the normalised service of two backlogged organisations must differ
// by at most one request of each, the bound of start-time fair queueing, for all weights and costs.
TEST_CASE("backlogged organisations receive cost in proportion to their weights",
          "[queue][property]")
{
  const auto property = [](const std::vector<std::uint8_t>& aCosts) {
    constexpr auto kMaxCost = 256.0;
    const auto weights = std::map<std::string, double>{ { "a", 1 }, { "b", 2 }, { "c", 5 } };
    auto queue = ticket_queue{};
    auto next = std::uint64_t{ 0 };
    const auto push = [&](const std::string& aName, double aCost) {
      queue.Push(MakeTicket(next++, aName, aCost, 0, weights.at(aName)));
    };
    auto served = std::map<std::string, double>{};
    for (const auto& [name, weight] : weights) {
      push(name, 1);
    }
    for (const auto cost : aCosts) {
      const auto taken = TakeFront(queue);
      served[taken.mOrganisation] += taken.mCost;
      push(taken.mOrganisation, 1.0 + cost);
      for (const auto& [left, leftWeight] : weights) {
        for (const auto& [right, rightWeight] : weights) {
          const auto difference = served[left] / leftWeight - served[right] / rightWeight;
          RC_ASSERT(difference <= kMaxCost / leftWeight + kMaxCost / rightWeight);
        }
      }
    }
  };
  CHECK(rc::check("shares are fair", property));
}

// Guards against credit for idle time: an organisation that was idle must not be served exclusively
// when its next tickets arrive.
TEST_CASE("an idle organisation restarts at the current virtual time", "[queue]")
{
  auto queue = ticket_queue{};
  auto next = std::uint64_t{ 0 };
  for (auto count = 0; count < 1000; ++count) {
    queue.Push(MakeTicket(next++, "busy", 10));
  }
  for (auto count = 0; count < 500; ++count) {
    TakeFront(queue);
  }
  for (auto count = 0; count < 100; ++count) {
    queue.Push(MakeTicket(next++, "returned", 10));
  }
  auto served = std::map<std::string, int>{};
  for (auto count = 0; count < 100; ++count) {
    ++served[TakeFront(queue).mOrganisation];
  }
  CHECK(served["busy"] >= 49);
  CHECK(served["returned"] >= 49);
}

// Guards against unfair shares of organisations whose requests cost more than estimated.
TEST_CASE("cost corrections count as served cost", "[queue]")
{
  auto queue = ticket_queue{};
  for (auto id = std::uint64_t{ 0 }; id < 40; ++id) {
    queue.Push(MakeTicket(id, id % 2 == 0 ? "long" : "short", 10));
  }
  auto served = std::map<std::string, int>{};
  for (auto count = 0; count < 20; ++count) {
    const auto taken = TakeFront(queue);
    ++served[taken.mOrganisation];
    if (taken.mOrganisation == "long") {
      queue.Charge(0, "long", 1, 30); // Four times the estimated cost.
    }
  }
  CHECK(served["long"] == 4);
  CHECK(served["short"] == 16);
}

// Guards against the state of organisations that never return growing without bound.
TEST_CASE("idle organisations are removed without changing shares", "[queue]")
{
  auto queue = ticket_queue{};
  auto next = std::uint64_t{ 0 };
  for (auto round = 0; round < 5000; ++round) {
    queue.Push(MakeTicket(next++, "visitor" + std::to_string(round), 1));
    queue.Push(MakeTicket(next++, "regular", 1));
    TakeFront(queue);
    TakeFront(queue);
  }
  CHECK(queue.empty());
  CHECK(queue.Organisations(0).empty());
}

// Guards against evicting an old or an already removed ticket when the queue is full.
TEST_CASE("the last ticket is the newest of the lowest waiting tier", "[queue]")
{
  auto queue = ticket_queue{};
  for (auto id = std::uint64_t{ 0 }; id < 1000; ++id) {
    queue.Push(MakeTicket(id, std::to_string(id % 7), 1, static_cast<std::uint32_t>(id % 2)));
  }
  for (auto id = std::uint64_t{ 999 }; id > 0; id -= 2) {
    REQUIRE(queue.Last()->mRequest.mSequence == id);
    queue.Cancel({ 1, id });
    if (id == 1) {
      break;
    }
  }
  CHECK(queue.Last()->mRequest.mSequence == 998);
}

// Guards against timers that fire for tickets that have been removed.
TEST_CASE("the next deadline is that of a waiting ticket", "[queue]")
{
  auto queue = ticket_queue{};
  for (auto id = std::uint64_t{ 0 }; id < 500; ++id) {
    auto ticket = MakeTicket(id, "a");
    ticket.mDeadline = time_point(duration(id));
    queue.Push(ticket);
  }
  for (auto id = std::uint64_t{ 0 }; id < 499; ++id) {
    REQUIRE(queue.NextDeadline() == time_point(duration(id)));
    queue.Cancel({ 1, id });
  }
  CHECK(queue.Expire(time_point(duration(498))).empty());
  CHECK(queue.Expire(time_point(duration(499))).size() == 1);
  CHECK_FALSE(queue.NextDeadline());
}
