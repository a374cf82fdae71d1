#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/coordination/agent_node.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// The bodies that an engine and its client exchange outside of answers, as JSON. Prompt blocks
/// are written as 16 hexadecimal digits. All functions are thread-safe.

/// One answer to GET /cache-events.
struct cache_event_page
{
  std::vector<engine_cache_event> mEvents;
  /// The engine's latest sequence number; lower than the one asked for after it restarted.
  std::uint64_t mLatest = 0;
};

[[nodiscard]] auto ParseLoad(std::string_view aBody) -> outcome<engine_load>;
[[nodiscard]] auto ParseCacheEvents(std::string_view aBody) -> outcome<cache_event_page>;
[[nodiscard]] auto FormatCommand(const send_engine_command& aCommand) -> std::string;
/// The engine's reason for refusing a command; the body itself where it is no JSON object.
[[nodiscard]] auto ParseCommandError(std::string_view aBody) -> std::string;
[[nodiscard]] auto FormatKvExport(const std::vector<prefix_hash>& aBlocks) -> std::string;

} // namespace bronzering
