#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/coordination/agent_node.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// JSON bodies of the engine's control calls. Prompt blocks are written as 16 hexadecimal digits.
/// All functions are thread-safe.

/// Response to GET /cache-events.
struct cache_event_page
{
  std::vector<engine_cache_event> mEvents;
  /// The engine's latest sequence number; lower than the requested one if the engine restarted.
  std::uint64_t mLatest = 0;
};

[[nodiscard]] auto ParseLoad(std::string_view aBody) -> outcome<engine_load>;
[[nodiscard]] auto ParseCacheEvents(std::string_view aBody) -> outcome<cache_event_page>;
[[nodiscard]] auto FormatCommand(const send_engine_command& aCommand) -> std::string;
/// Extracts the engine's reason for rejecting a command, or returns the body itself if it has none.
/// Long reasons are truncated.
[[nodiscard]] auto ParseCommandError(std::string_view aBody) -> std::string;
[[nodiscard]] auto FormatKvExport(const std::vector<prefix_hash>& aBlocks) -> std::string;

} // namespace bronzering
