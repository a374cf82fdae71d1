#pragma once

#include <bronzering/base/errors.h>

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Lists the lines of structured logs that belong to one request, sorted by time, one per row: time
/// since the first of them, process, event, and the remaining fields. Text before a line's JSON
/// object, such as the prefix of a log collector, and lines that cannot be parsed are skipped.
/// Thread-safe.
[[nodiscard]] auto ExplainRequest(std::string_view aRequest,
                                  const std::vector<std::istream*>& aLogs) -> std::string;

/// Does the same for log files. Errors: io_failure when a file cannot be read, or when no line
/// contains the request.
[[nodiscard]] auto ExplainFromFiles(std::string_view aRequest,
                                    const std::vector<std::string>& aPaths) -> outcome<std::string>;

} // namespace bronzering
