#pragma once

#include <bronzering/base/hash.h>

#include <cstdint>
#include <string_view>

namespace bronzering {

/// Identifies one incarnation of an endpoint in messages between peers, the same on all entries.
using endpoint_incarnation_key = std::uint64_t;

/// Thread-safe.
[[nodiscard]] inline auto HashEndpointIncarnation(std::string_view aId, std::uint64_t aIncarnation)
  -> endpoint_incarnation_key
{
  return HashText(aId, aIncarnation);
}

} // namespace bronzering
