#pragma once

#include <bronzering/dispatch/peer_table.h>
#include <bronzering/dispatch/published_items.h>

#include <optional>
#include <string>
#include <string_view>

namespace bronzering {

/// Encodes and decodes messages between entries as FlatBuffers. All functions are thread-safe.
/// Decoding verifies the bytes and returns an empty result when they are malformed. Only IPv4
/// addresses can be encoded; any other becomes 0.0.0.0.
[[nodiscard]] auto EncodeDigest(const peer_digest& aDigest) -> std::string;
[[nodiscard]] auto DecodeDigest(std::string_view aBytes) -> std::optional<peer_digest>;
[[nodiscard]] auto EncodeSnapshot(const published_snapshot& aSnapshot) -> std::string;
[[nodiscard]] auto DecodeSnapshot(std::string_view aBytes) -> std::optional<published_snapshot>;

} // namespace bronzering
