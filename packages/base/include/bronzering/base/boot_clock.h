#pragma once

#include <bronzering/base/time.h>

namespace bronzering {

/// Reads CLOCK_BOOTTIME, which also advances while the VM is suspended. Thread-safe.
[[nodiscard]] auto ReadBootClock() -> time_point;

} // namespace bronzering
