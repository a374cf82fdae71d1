#include <bronzering/scheduling/waiting_list.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <vector>

using namespace bronzering;

// Guards against refusing a request of a higher tier at a full entry while one of a lower tier
// stays.
TEST_CASE("a full list evicts the newest request of the lowest tier", "[waiting_list]")
{
  auto list = waiting_list(3, 3);
  CHECK(list.Offer({ 1, 1 }, "a", 1).mAccepted);
  CHECK(list.Offer({ 1, 2 }, "a", 2).mAccepted);
  CHECK(list.Offer({ 1, 3 }, "b", 2).mAccepted);

  const auto result = list.Offer({ 1, 4 }, "b", 0);
  CHECK(result.mAccepted);
  CHECK(result.mEvicted == request_id{ 1, 3 });
  CHECK_FALSE(list.Offer({ 1, 5 }, "b", 2).mAccepted);
}

// Guards against a burst of one organisation that fills the whole entry.
TEST_CASE("an organisation at its bound evicts from its own requests only", "[waiting_list]")
{
  auto list = waiting_list(10, 2);
  CHECK(list.Offer({ 1, 1 }, "a", 1).mAccepted);
  CHECK(list.Offer({ 1, 2 }, "a", 1).mAccepted);
  CHECK(list.Offer({ 1, 3 }, "b", 3).mAccepted);

  CHECK_FALSE(list.Offer({ 1, 4 }, "a", 1).mAccepted);
  CHECK(list.Offer({ 1, 5 }, "a", 0).mEvicted == request_id{ 1, 2 });
  CHECK(list.CountOf("a") == 2);
}

TEST_CASE("random offers keep the bounds and never evict an equal or higher tier", "[waiting_list]")
{
  const auto holds =
    rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& aSteps) {
      auto list = waiting_list(8, 5);
      auto ranks = std::map<request_id, std::uint32_t>{};
      auto sequence = std::uint64_t{ 0 };
      for (const auto& [kind, organisation] : aSteps) {
        if (kind % 5 == 4 && !ranks.empty()) {
          list.Remove(ranks.begin()->first);
          ranks.erase(ranks.begin());
          continue;
        }
        const auto rank = std::uint32_t{ kind } % 4U;
        const auto id = request_id{ 1, ++sequence };
        const auto result = list.Offer(id, organisation % 2 == 0 ? "a" : "b", rank);
        if (result.mEvicted) {
          RC_ASSERT(ranks.at(*result.mEvicted) > rank);
          ranks.erase(*result.mEvicted);
        }
        if (result.mAccepted) {
          ranks.emplace(id, rank);
        }
        RC_ASSERT(list.Count() == ranks.size());
        RC_ASSERT(list.Count() <= 8U);
        RC_ASSERT(list.CountOf("a") <= 5U && list.CountOf("b") <= 5U);
      }
    });
  CHECK(holds);
}
