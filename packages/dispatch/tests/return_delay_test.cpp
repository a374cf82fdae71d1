#include <bronzering/dispatch/return_delay.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

// A fixed delay of 50 ms sent callers back before a place was free, and all of them at one moment.
TEST_CASE("a refused caller returns when it can be served, spread over as long again",
          "[return_delay]")
{
  CHECK(ReturnDelay(400ms, 12s, 0) == 400ms);
  CHECK(ReturnDelay(400ms, 12s, 0.5) == 600ms);
  CHECK(ReturnDelay(3s, 12s, 0.999) <= 4s);
}

TEST_CASE("a caller that cannot return late enough returns as late as it can", "[return_delay]")
{
  CHECK(ReturnDelay(5s, 12s, 0) == 2s);
  CHECK(ReturnDelay(std::nullopt, 12s, 0) == 2s);
  CHECK(ReturnDelay(std::nullopt, 12s, 0.5) == 3s);
  CHECK(ReturnDelay(5s, 0s, 0.5) == 0s);
}
