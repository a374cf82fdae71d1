#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Returns the subset of aCount agents that an entry keeps links to. Entries choose in order, each
/// preferring the agents with the highest rendezvous hashes that have not reached their even share
/// of entries. This spreads the links evenly and changes few of them when an entry or agent is
/// added or removed. All entries with the same lists compute consistent subsets. Precondition:
/// aEntries is sorted and contains aSelf. Thread-safe.
[[nodiscard]] auto ChooseSubset(std::string_view aSelf,
                                const std::vector<std::string>& aEntries,
                                const std::vector<std::string>& aAgents,
                                std::size_t aCount) -> std::vector<std::string>;

/// The node with the highest rendezvous hash for a key; empty if there are no nodes. Thread-safe.
[[nodiscard]] auto RendezvousOwner(std::string_view aKey, const std::vector<std::string>& aNodes)
  -> std::string;

} // namespace bronzering
