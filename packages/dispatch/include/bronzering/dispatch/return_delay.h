#pragma once

#include <bronzering/base/time.h>

#include <optional>

namespace bronzering {

/// Callers wait before they return for at most this part of the time that they have left.
inline constexpr auto kMaxReturnShare = 1.0 / 3;

/// Returns the delay after which a caller whose request was refused should return. aExpected is the
/// time after which the request could be served; empty if it is not known. aTimeLeft is what the
/// caller has left now. aSpread, from 0 to below 1, differs between callers.
///
/// Callers who are refused at one moment are spread over as long again as they have to wait, since
/// they would otherwise return at one moment too. Where the expected time is not known, or is later
/// than a caller can return, it is told to return in the second half of the time that it can wait:
/// as late as it may still be served. Thread-safe. Precondition: aExpected and aTimeLeft are not
/// negative.
[[nodiscard]] auto ReturnDelay(std::optional<duration> aExpected,
                               duration aTimeLeft,
                               double aSpread) -> duration;

} // namespace bronzering
