#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace bronzering {

/// 64-bit xxHash (XXH3) of a text. Stable across processes, machines and versions. Thread-safe.
[[nodiscard]] auto HashText(std::string_view aText, std::uint64_t aSeed = 0) -> std::uint64_t;

/// Combines two hashes; the result depends on their order. Thread-safe.
[[nodiscard]] auto CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond) -> std::uint64_t;

/// Weight of a node for a key in rendezvous hashing: the node with the highest weight owns the key.
/// Thread-safe.
[[nodiscard]] auto RendezvousWeight(std::uint64_t aKey, std::string_view aNode) -> std::uint64_t;

} // namespace bronzering
