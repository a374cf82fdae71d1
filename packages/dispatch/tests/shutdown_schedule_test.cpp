#include <bronzering/dispatch/shutdown_schedule.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStop = time_point(1h);
constexpr auto kGrace = duration(8s);

auto Stopping() -> shutdown_schedule
{
  auto schedule = shutdown_schedule();
  schedule.Begin(kStop, kGrace);
  return schedule;
}

/// Work of a request that arrives now.
auto Work(time_point aNow, duration aTimeout, duration aExpected = {}) -> shutdown_schedule::work
{
  return { aNow, aNow + aTimeout, aExpected };
}

} // namespace

TEST_CASE("without a stop request all work may start", "[shutdown_schedule]")
{
  const auto schedule = shutdown_schedule();
  CHECK(!schedule.IsStopping());
  CHECK(schedule.MayStart(Work(kStop, 1h, 1h), kStop));
  CHECK(schedule.LimitDeadline(kStop + 1h) == kStop + 1h);
}

// Orders were sent to an endpoint that needed longer than the process had left.
TEST_CASE("late in a shutdown only work starts whose deadline is before the last answer",
          "[shutdown_schedule]")
{
  const auto schedule = Stopping();
  const auto timeout = GENERATE(200ms, 1'000ms, 1'500ms, 3'000ms, 6'000ms);
  for (auto since = shutdown_schedule::kEstimateCutoff + 1ms; since < kGrace; since += 50ms) {
    const auto now = kStop + since;
    CAPTURE(since.count());
    const auto isInTime = now + timeout <= schedule.LastAnswer();
    CHECK(schedule.MayStart(Work(now, timeout, 10ms), now) == isInTime);
  }
}

// A service with a long timeout would be closed to its callers as soon as the process stops.
TEST_CASE("early in a shutdown work starts that is expected to end in time", "[shutdown_schedule]")
{
  const auto schedule = Stopping();
  const auto now = kStop + 1s;
  CHECK(schedule.MayStart(Work(now, 15s, 2s), now));
  CHECK(!schedule.MayStart(Work(now, 15s, 5s), now));
}

// A request that was accepted before the stop request may be sent to an endpoint much later.
TEST_CASE("queued and retried work is judged by the time that is left when it starts",
          "[shutdown_schedule]")
{
  const auto schedule = Stopping();
  const auto work = shutdown_schedule::work{ kStop - 1s, kStop + 14s, 1s };
  CHECK(schedule.MayStart(work, kStop + 5s));
  CHECK(!schedule.MayStart(work, kStop + 6s));
}

TEST_CASE("the last answers are written before the process ends, within the grace period",
          "[shutdown_schedule]")
{
  const auto schedule = Stopping();
  CHECK(schedule.LastAnswer() < schedule.ProcessEnd());
  CHECK(schedule.ProcessEnd() < kStop + kGrace);
  CHECK(schedule.LimitDeadline(kStop + 1h) == schedule.LastAnswer());
  CHECK(schedule.LimitDeadline(kStop + 1s) == kStop + 1s);
}
