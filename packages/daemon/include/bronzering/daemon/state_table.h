#pragma once

#include <boost/json/fwd.hpp>

#include <string>

namespace bronzering {

/// Formats the state of a process as readable text: one line per value and one table per list of
/// objects. Thread-safe.
[[nodiscard]] auto FormatState(const boost::json::value& aState) -> std::string;

} // namespace bronzering
