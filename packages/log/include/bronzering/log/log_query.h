#pragma once

#include <bronzering/base/errors.h>

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

/// The same for log files. Errors: io_failure when a file cannot be read, or when no line names the
/// request.
[[nodiscard]] auto ExplainFromFiles(std::string_view aRequest,
                                    const std::vector<std::string>& aPaths) -> outcome<std::string>;

} // namespace bronzering
