#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/place_plan.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

/// Two slots that become free after 1 s and 2 s, and again 4 s later.
auto Forecast(bool aIsOwn) -> endpoint_forecast
{
  return { "one", true, 0.5, 4s, { { 1s, aIsOwn }, { 2s, aIsOwn } } };
}

auto TimeTo(const place_plan& aPlan, std::size_t aCount, double aTakenRate = 0)
  -> std::optional<duration>
{
  auto from = std::size_t{ 0 };
  return aPlan.TimeTo(aCount, aTakenRate, from);
}

} // namespace

// The wait was counted from the present at each look, whatever the requests in progress had done.
TEST_CASE("places come when requests in progress end, and again when their successors do",
          "[place_plan]")
{
  const auto plan = place_plan({ Forecast(true) }, {}, 1, false);
  CHECK(TimeTo(plan, 1) == duration(1s));
  CHECK(TimeTo(plan, 2) == duration(2s));
  CHECK(TimeTo(plan, 3) == duration(5s));
  CHECK(TimeTo(plan, 5) == duration(10s));
  // More urgent requests take all places, or one in 2 s of them.
  CHECK(!TimeTo(plan, 1, 10));
  CHECK(TimeTo(plan, 1, 0.5) == duration(2s));
  CHECK(!TimeTo(place_plan({ Forecast(true) }, { "one" }, 1, false), 1));
}

// An entry without requests in progress expected no place at all.
TEST_CASE("the first place at peers may go to any entry, the others go by demand", "[place_plan]")
{
  const auto plan = place_plan({ Forecast(false) }, {}, 0.5, false);
  CHECK(TimeTo(plan, 1) == duration(1s));
  CHECK(TimeTo(plan, 2) == duration(5s));
}

// A request that hangs must not promise its slot to those that wait.
TEST_CASE("a request that is overdue promises its slot ever later", "[place_plan]")
{
  const auto start = time_point(1h);
  auto table = endpoint_table("a");
  table.Configure({ { "plain", 0, false, 1 } });
  table.Apply({ { "one", 1, "plain", "10.0.0.1:80", "a", 1, false } }, start);
  table.Begin({ 1 }, "one", {}, start);
  const auto place = [&](time_point aNow) {
    return table.ForecastPlaces("plain", {}, aNow).at(0).mPlaces.at(0).mTime;
  };
  // An unmeasured service answers in 30 ms.
  CHECK(place(start) == duration(30ms));
  CHECK(place(start + 10ms) == duration(20ms));
  CHECK(place(start + 1030ms) == duration(1s));
}
