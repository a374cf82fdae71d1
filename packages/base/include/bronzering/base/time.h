#pragma once

#include <chrono>

namespace bronzering {

using duration = std::chrono::microseconds;

/// Monotonic clock of one process. Daemons use CLOCK_BOOTTIME, which also advances while a VM is
/// suspended; tests use virtual time. It has no now(): the current time is always passed in.
struct process_clock
{
  using duration = bronzering::duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<process_clock>;
  static constexpr bool kIsSteady = true;
};

/// Only comparable with other time points of the same process.
using time_point = process_clock::time_point;

/// UTC. Used for shutdown dates and key timestamps, never for timeouts.
using wall_time = std::chrono::sys_time<duration>;

/// The current time of both clocks, read by the adapter that delivers an event.
struct instant
{
  time_point mMonotonic;
  wall_time mWall;
};

/// Seconds as a floating-point number.
[[nodiscard]] constexpr auto ToSeconds(duration aDuration) -> double
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Converts seconds to a duration, rounding towards zero.
[[nodiscard]] constexpr auto FromSeconds(double aSeconds) -> duration
{
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(aSeconds));
}

} // namespace bronzering
