#pragma once

#include <bronzering/base/name_table.h>

namespace bronzering {

/// Why a call to the platform's source of published items brought no answer that can be used.
enum class source_failure
{
  /// No complete answer arrived in time.
  TimedOut,
  /// The connection could not be opened, or ended before the answer was complete.
  Disconnected,
  /// The source answered with an error.
  Rejected,
  /// The answer could not be decoded.
  Malformed
};
inline constexpr auto kSourceFailureNames =
  name_table<source_failure, 4>{ { { { source_failure::TimedOut, "timed_out" },
                                     { source_failure::Disconnected, "disconnected" },
                                     { source_failure::Rejected, "rejected" },
                                     { source_failure::Malformed, "malformed" } } } };

} // namespace bronzering
