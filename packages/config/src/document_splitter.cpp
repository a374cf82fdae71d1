#include "document_splitter.h"

#include "yaml_tree.h"

#include <algorithm>

namespace bronzering {

namespace {

struct text_line
{
  std::string_view mText;
  std::size_t mStart = 0;
  /// Number of leading spaces.
  std::size_t mIndent = 0;
  /// Whether the line is neither blank nor only a comment.
  bool mHasContent = false;
};

auto SplitLines(std::string_view aText) -> std::vector<text_line>
{
  auto lines = std::vector<text_line>();
  for (auto start = std::size_t{ 0 }; start < aText.size();) {
    const auto end = std::min(aText.find('\n', start), aText.size());
    auto line = text_line{ aText.substr(start, end - start), start };
    line.mIndent = std::min(line.mText.find_first_not_of(' '), line.mText.size());
    const auto content = line.mText.find_first_not_of(" \t\r");
    line.mHasContent = content != std::string_view::npos && line.mText[content] != '#';
    lines.push_back(line);
    start = end + 1;
  }
  return lines;
}

/// Returns the key of a line such as "shop:", or an empty text if the line has another form.
auto HeaderName(std::string_view aText) -> std::string_view
{
  const auto isNameCharacter = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' || aCharacter == '_' ||
           aCharacter == '.';
  };
  const auto end = std::find_if_not(aText.begin(), aText.end(), isNameCharacter);
  const auto name = aText.substr(0, static_cast<std::size_t>(end - aText.begin()));
  const auto rest = aText.substr(name.size());
  const auto isHeader = !name.empty() && rest.starts_with(':') &&
                        (rest.size() == 1 || rest[1] == ' ' || rest[1] == '\r');
  return isHeader ? name : std::string_view();
}

auto IsSectionsLine(const text_line& aLine) -> bool
{
  if (HeaderName(aLine.mText) != "sections") {
    return false;
  }
  const auto rest = aLine.mText.substr(std::string_view("sections:").size());
  const auto content = rest.find_first_not_of(" \t\r");
  return content == std::string_view::npos || rest[content] == '#';
}

auto Problem(std::size_t aLine,
             std::size_t aColumn,
             std::string aPath,
             std::string aFound,
             std::string aExpected) -> config_problem
{
  return { "", aLine, aColumn, std::move(aPath), std::move(aFound), std::move(aExpected) };
}

/// Checks the top-level keys: the format number, missing, duplicate and unknown keys.
auto CheckTopLevelKeys(const std::string& aTopLevel, std::vector<config_problem>& aProblems) -> void
{
  const auto parsed = ParseYaml(aTopLevel);
  if (const auto* error = std::get_if<yaml_error>(&parsed)) {
    aProblems.push_back(Problem(error->mLine, error->mColumn, "", error->mFound, error->mExpected));
    return;
  }
  const auto& root = std::get<yaml_node>(parsed);
  if (root.mKind != yaml_node::kind::Map) {
    aProblems.push_back(
      Problem(root.mLine, root.mColumn, "", "no mapping", "the keys format and sections"));
    return;
  }

  for (auto i = std::size_t{ 0 }; i < root.mKeys.size(); ++i) {
    const auto& key = root.mKeys[i];
    const auto& value = root.mItems[i];
    if (root.Find(key.mText) != &value) {
      aProblems.push_back(
        Problem(key.mLine, key.mColumn, key.mText, "a second " + key.mText, "each key once"));
    } else if (key.mText == "format") {
      if (value.mText != "1" || value.mQuoted) {
        aProblems.push_back(
          Problem(value.mLine, value.mColumn, "format", "another format", "format 1"));
      }
    } else if (key.mText == "sections") {
      if (value.mKind != yaml_node::kind::Null) {
        aProblems.push_back(Problem(value.mLine,
                                    value.mColumn,
                                    "sections",
                                    "a value on the same line",
                                    "each section on lines of its own, indented"));
      }
    } else {
      aProblems.push_back(
        Problem(key.mLine, key.mColumn, key.mText, "an unknown key", "format or sections"));
    }
  }
  for (const auto* name : { "format", "sections" }) {
    if (root.Find(name) == nullptr) {
      aProblems.push_back(Problem(root.mLine, root.mColumn, name, "nothing", "this key"));
    }
  }
}

} // namespace

auto SplitDocument(std::string_view aDocument) -> split_document
{
  auto result = split_document();
  if (const auto error = FindEncodingError(aDocument, kMaxDocumentBytes)) {
    result.mProblems.push_back(
      Problem(error->mLine, error->mColumn, "", error->mFound, error->mExpected));
    return result;
  }

  // Blank out the lines of the sections in the top level, so that line numbers stay the same.
  const auto lines = SplitLines(aDocument);
  const auto start = static_cast<std::size_t>(
    std::find_if(lines.begin(), lines.end(), IsSectionsLine) - lines.begin());
  auto end = std::min(start + 1, lines.size());
  while (end < lines.size() && !(lines[end].mHasContent && lines[end].mIndent == 0)) {
    ++end;
  }
  auto topLevel = std::string();
  for (auto i = std::size_t{ 0 }; i < lines.size(); ++i) {
    if (i <= start || i >= end) {
      topLevel.append(lines[i].mText);
    }
    topLevel.push_back('\n');
  }
  CheckTopLevelKeys(topLevel, result.mProblems);
  if (start >= lines.size()) {
    return result;
  }

  // Every line with a key at the indentation of the first section starts a section.
  auto indent = std::size_t{ 0 };
  auto starts = std::vector<std::size_t>();
  for (auto i = start + 1; i < end; ++i) {
    const auto& line = lines[i];
    if (!line.mHasContent) {
      continue;
    }
    const auto name = HeaderName(line.mText.substr(line.mIndent));
    if (starts.empty()) {
      indent = line.mIndent;
      if (name.empty()) {
        result.mProblems.push_back(Problem(
          i + 1, indent + 1, "sections", "no section name", "a name of letters, digits, -"));
        return result;
      }
    } else if (line.mIndent < indent) {
      result.mProblems.push_back(Problem(
        i + 1, line.mIndent + 1, "sections", "less indentation", "that of the first section"));
    }
    if (line.mIndent == indent && !name.empty()) {
      starts.push_back(i);
      result.mSections.push_back({ std::string(name), {}, i });
    }
  }
  if (starts.empty()) {
    result.mProblems.push_back(
      Problem(start + 1, 1, "sections", "nothing", "at least one section"));
  }
  for (auto i = std::size_t{ 0 }; i < starts.size(); ++i) {
    const auto next = i + 1 < starts.size() ? starts[i + 1] : end;
    const auto from = lines[starts[i]].mStart;
    const auto to = next < lines.size() ? lines[next].mStart : aDocument.size();
    result.mSections[i].mText = aDocument.substr(from, to - from);
  }
  return result;
}

} // namespace bronzering
