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
/// Encodes a snapshot for a peer that has applied all changes up to aKnown; without aKnown, for one
/// that has nothing. The values of items that it has already are left out.
[[nodiscard]] auto EncodeSnapshot(const published_snapshot& aSnapshot,
                                  std::optional<source_position> aKnown = {}) -> std::string;
/// Decodes a snapshot; values that were left out are taken from aHeld. Empty if the bytes are no
/// snapshot, or if such an item is not held as it was encoded.
[[nodiscard]] auto DecodeSnapshot(std::string_view aBytes, const published_items& aHeld)
  -> std::optional<published_snapshot>;

/// The request target with which an entry asks a peer for its items.
[[nodiscard]] auto ItemsTarget(std::optional<source_position> aKnown) -> std::string;
/// What a peer asks for: the position up to which it has applied all changes, if it has any items.
struct items_request
{
  std::optional<source_position> mKnown;
};
/// Empty if the target does not ask for items.
[[nodiscard]] auto ParseItemsTarget(std::string_view aTarget) -> std::optional<items_request>;

} // namespace bronzering
