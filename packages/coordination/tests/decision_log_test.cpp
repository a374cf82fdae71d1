#include "decision_log.h"

#include <catch2/catch.hpp>

using namespace bronzering;

namespace {

constexpr auto kEntry = incarnation{ 7 };

auto IdOf(std::uint64_t aExchange, std::uint64_t aAttempt) -> request_id
{
  return MakeRequestId(kEntry, { aExchange }, aAttempt);
}

} // namespace

TEST_CASE("all attempts of a request are logged under one id", "[decision_log]")
{
  auto log = decision_log();
  log.Add(instant(), IdOf(3, 0), "dispatch", "first");
  log.Add(instant(), IdOf(3, 2), "dispatch");
  const auto decisions = log.TakeNew();
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].at("request") == decisions[1].at("request"));
  CHECK(decisions[0].at("attempt") == 0);
  CHECK(decisions[0].at("detail") == "first");
  CHECK(decisions[1].at("attempt") == 2);
  CHECK(!decisions[1].contains("detail"));
}

TEST_CASE("decisions are taken once, the oldest first", "[decision_log]")
{
  auto log = decision_log();
  log.Add(instant(), {}, "drain");
  CHECK(log.TakeNew().size() == 1);
  CHECK(log.TakeNew().empty());
  for (auto exchange = std::uint64_t{ 1 }; exchange <= decision_log::kCapacity + 10; ++exchange) {
    log.Add(instant(), IdOf(exchange, 0), "grant");
  }
  const auto decisions = log.TakeNew();
  REQUIRE(decisions.size() == decision_log::kCapacity);
  CHECK(decisions.front().at("request").as_string() == ToString(IdOf(11, 0)));
  CHECK(decisions.back().at("request").as_string() ==
        ToString(IdOf(decision_log::kCapacity + 10, 0)));
  CHECK(log.Dump().size() == decision_log::kCapacity);
  CHECK(log.Dump().front().at("request") == decisions.back().at("request"));
}
