#pragma once

#include <bronzering/base/name_table.h>
#include <bronzering/dispatch/routing_document.h>

#include <string>
#include <vector>

namespace bronzering {

enum class finding_severity
{
  /// Requests are refused, or a part of the document has no effect.
  Error,
  /// Probably not intended, but requests are served.
  Warning
};
inline constexpr auto kFindingSeverityNames = name_table<finding_severity, 2>{
  { { { finding_severity::Error, "error" }, { finding_severity::Warning, "warning" } } }
};

/// A part of a routing document that an operator should look at.
struct document_finding
{
  finding_severity mSeverity = finding_severity::Error;
  /// List, index and name, such as: routes[3] "r-7".
  std::string mPlace;
  /// One sentence, without a line break and without an API key.
  std::string mText;

  auto operator==(const document_finding&) const -> bool = default;
};

/// Returns what can never match and which limits contradict each other. The findings are in the
/// order of the document's parts. Thread-safe.
[[nodiscard]] auto CheckDocument(const routing_document& aDocument)
  -> std::vector<document_finding>;

/// Returns what prevents entries that use aCurrent from adopting the changes in aNext. Thread-safe.
[[nodiscard]] auto CheckSuccessor(const routing_document& aCurrent, const routing_document& aNext)
  -> std::vector<document_finding>;

} // namespace bronzering
