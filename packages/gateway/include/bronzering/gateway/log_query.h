#pragma once

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// The lines of structured logs that concern one request, sorted by time, one a row: time since the
/// first of them, process, event, and the other fields. Text before a line's JSON object, such as a
/// collector's prefix, and lines that cannot be read are skipped. Thread-safe.
[[nodiscard]] auto ExplainRequest(std::string_view aRequest,
                                  const std::vector<std::istream*>& aLogs) -> std::string;

} // namespace bronzering
