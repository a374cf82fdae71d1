#pragma once

#include <bronzering/dispatch/peer_digest.h>
#include <bronzering/dispatch/published_items.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Encodes and decodes messages between entries as FlatBuffers. All functions are thread-safe.
/// Decoding verifies the bytes and returns an empty result when they are malformed. Only IPv4
/// addresses can be encoded; any other becomes 0.0.0.0.
///
/// The digests of a message take as many datagrams as a path's usual MTU asks for. A single larger
/// digest is not split.
[[nodiscard]] auto EncodeDigests(digest_hop aHop, std::span<const peer_digest> aDigests)
  -> std::vector<std::string>;
/// Decodes one datagram.
[[nodiscard]] auto DecodeDigests(std::string_view aBytes) -> std::optional<digest_message>;
[[nodiscard]] auto EncodeSnapshot(const published_snapshot& aSnapshot) -> std::string;
[[nodiscard]] auto DecodeSnapshot(std::string_view aBytes) -> std::optional<published_snapshot>;

} // namespace bronzering
