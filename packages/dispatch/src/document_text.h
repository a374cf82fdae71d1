#pragma once

#include <string>
#include <string_view>

namespace bronzering {

/// Returns the text with control characters and quotation marks replaced by question marks, so that
/// it fits on one line of output. Thread-safe.
[[nodiscard]] auto PrintableText(std::string_view aText) -> std::string;

/// Returns the name of a part of a document in quotation marks. Thread-safe.
[[nodiscard]] auto QuotedName(std::string_view aName) -> std::string;

/// Returns a number without an exponent and with no more digits than it needs. Thread-safe.
[[nodiscard]] auto NumberText(double aNumber) -> std::string;

} // namespace bronzering
