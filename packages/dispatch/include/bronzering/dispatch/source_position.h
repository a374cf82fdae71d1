#pragma once

#include <compare>
#include <cstdint>

namespace bronzering {

/// A point in the sequence of changes of the platform's source. The source numbers its changes with
/// revisions. A source that is restored from an older copy loses its latest changes and gives their
/// revisions out again; it then starts a new history, whose number is higher. Revisions can only be
/// compared within one history.
struct source_position
{
  std::uint64_t mHistory = 0;
  std::uint64_t mRevision = 0;

  auto operator<=>(const source_position&) const = default;
};

} // namespace bronzering
