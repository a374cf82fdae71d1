#pragma once

#include <bronzering/dispatch/peer_table.h>
#include <bronzering/dispatch/published_items.h>

#include <optional>
#include <string>
#include <string_view>

namespace bronzering {

/// Messages between entries as FlatBuffers. All functions are thread-safe; decoding verifies the
/// bytes and is empty when they are malformed. Addresses are IPv4; others are left out.
[[nodiscard]] auto EncodeDigest(const peer_digest& aDigest) -> std::string;
[[nodiscard]] auto DecodeDigest(std::string_view aBytes) -> std::optional<peer_digest>;
[[nodiscard]] auto EncodeSnapshot(const published_snapshot& aSnapshot) -> std::string;
[[nodiscard]] auto DecodeSnapshot(std::string_view aBytes) -> std::optional<published_snapshot>;

} // namespace bronzering
