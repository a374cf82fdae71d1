#pragma once

#include <array>
#include <cstddef>
#include <cstdio>
#include <ctime>
#include <malloc.h>
#include <string>

namespace bronzering {

/// Returns the processor time of this process in nanoseconds.
inline auto ProcessorTime() -> double
{
  auto time = timespec{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
}

/// Returns the number of heap bytes in use, including mmap-allocated blocks.
inline auto HeapBytes() -> double
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Prints a name, a value and its unit on one line.
inline auto Print(const std::string& aName, double aValue, const char* aUnit) -> void
{
  std::printf("%-58s %14.3f %s\n", aName.c_str(), aValue, aUnit);
  std::fflush(stdout);
}

} // namespace bronzering
