#pragma once

#include <bronzering/config/process_settings.h>

namespace bronzering {

/// Runs an agent until SIGTERM and the drain that follows. Returns the exit code.
[[nodiscard]] auto RunAgent(const agent_process_settings& aSettings) -> int;

} // namespace bronzering
