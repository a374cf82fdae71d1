#pragma once

#include <bronzering/config/config_store.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Maximum size of a document and of a section text received from a peer. Equals the maximum value
/// size of the configuration service.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{ 1024 } * 1024;

/// Text of one section of the document, including its header line.
struct section_slice
{
  std::string mName;
  std::string_view mText;
  std::size_t mLineOffset = 0;
};

struct split_document
{
  std::vector<section_slice> mSections;
  /// Problems outside the sections. The document is unusable unless this is empty.
  std::vector<config_problem> mProblems;
};

/// Splits a document into sections by lines, so that a syntax error in one section does not affect
/// the others. Sections form a block mapping in which each starts on its own line. Thread-safe.
[[nodiscard]] auto SplitDocument(std::string_view aDocument) -> split_document;

} // namespace bronzering
