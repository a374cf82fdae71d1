#pragma once

#include <bronzering/config/process_settings.h>

namespace bronzering {

/// Runs an entry until SIGTERM and the drain that follows. Returns the exit code.
[[nodiscard]] auto RunEntry(const entry_process_settings& aSettings) -> int;

} // namespace bronzering
