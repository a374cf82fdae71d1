#include <bronzering/dispatch/configuration_lag.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

TEST_CASE("an entry is late once it lacks a peer's version for longer than the tolerance",
          "[configuration_lag]")
{
  const auto start = time_point(1h);
  const auto tolerance = configuration_lag::kTolerance;
  auto lag = configuration_lag();
  lag.Update(4, 5, start);
  CHECK(!lag.IsLate(start + tolerance - 1ms));
  CHECK(lag.IsLate(start + tolerance));
  CHECK(lag.ExpectedVersion() == 5);

  SECTION("also if newer versions keep coming")
  {
    lag.Update(4, 9, start + tolerance / 2);
    CHECK(lag.IsLate(start + tolerance));
  }
  SECTION("but not if it keeps up with them")
  {
    lag.Update(5, 9, start + tolerance / 2);
    CHECK(!lag.IsLate(start + tolerance));
    CHECK(lag.IsLate(start + tolerance * 3 / 2));
  }
  SECTION("and no longer when it has caught up")
  {
    lag.Update(9, 5, start + tolerance);
    CHECK(!lag.IsLate(start + tolerance * 2));
    CHECK(lag.ExpectedVersion() == 0);
  }
}
