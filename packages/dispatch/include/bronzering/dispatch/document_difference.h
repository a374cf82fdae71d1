#pragma once

#include <bronzering/dispatch/routing_document.h>

#include <string>
#include <vector>

namespace bronzering {

/// One difference between two routing documents.
struct document_change
{
  /// Kind and name, such as: route "r-7".
  std::string mPlace;
  /// What changes, without a line break and without an API key.
  std::string mText;

  auto operator==(const document_change&) const -> bool = default;
};

/// Returns what changes when aNext replaces aCurrent. Routes, services and organisations are
/// compared by name, regardless of their order. API keys are only counted. Thread-safe.
[[nodiscard]] auto CompareDocuments(const routing_document& aCurrent, const routing_document& aNext)
  -> std::vector<document_change>;

} // namespace bronzering
