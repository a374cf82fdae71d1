#include <bronzering/base/boot_clock.h>

#include <ctime>

namespace bronzering {

auto ReadBootClock() -> time_point
{
  auto now = timespec();
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                         std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace bronzering
