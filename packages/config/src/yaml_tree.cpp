#include "yaml_tree.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <exception>
#include <istream>
#include <streambuf>

namespace bronzering {

namespace {

constexpr std::size_t kMaxDepth = 16;

/// Thrown for a YAML construct that the parser supports but documents must not use.
struct unsupported_construct
{
  YAML::Mark mMark;
  std::string mFound;
  std::string mExpected;
};

/// Builds a yaml_node from parser events.
class tree_builder : public YAML::EventHandler
{
public:
  auto OnDocumentStart(const YAML::Mark& /*aMark*/) -> void override {}
  auto OnDocumentEnd() -> void override {}

  auto OnNull(const YAML::Mark& aMark, YAML::anchor_t aAnchor) -> void override
  {
    Add(aMark, "", aAnchor, yaml_node::kind::Null);
  }

  auto OnAlias(const YAML::Mark& aMark, YAML::anchor_t /*aAnchor*/) -> void override
  {
    throw unsupported_construct{ aMark, "an alias", "a value without anchors and aliases" };
  }

  auto OnScalar(const YAML::Mark& aMark,
                const std::string& aTag,
                YAML::anchor_t aAnchor,
                const std::string& aValue) -> void override
  {
    auto& node = Add(aMark, aTag, aAnchor, yaml_node::kind::Scalar);
    node.mText = aValue;
    node.mQuoted = aTag == "!";
  }

  auto OnSequenceStart(const YAML::Mark& aMark,
                       const std::string& aTag,
                       YAML::anchor_t aAnchor,
                       YAML::EmitterStyle::value /*aStyle*/) -> void override
  {
    BeginCollection(aMark, Add(aMark, aTag, aAnchor, yaml_node::kind::List));
  }

  auto OnSequenceEnd() -> void override { mParents.pop_back(); }

  auto OnMapStart(const YAML::Mark& aMark,
                  const std::string& aTag,
                  YAML::anchor_t aAnchor,
                  YAML::EmitterStyle::value /*aStyle*/) -> void override
  {
    BeginCollection(aMark, Add(aMark, aTag, aAnchor, yaml_node::kind::Map));
  }

  auto OnMapEnd() -> void override { mParents.pop_back(); }

  [[nodiscard]] auto Take() -> yaml_node { return std::move(mRoot); }

private:
  auto BeginCollection(const YAML::Mark& aMark, yaml_node& aNode) -> void
  {
    if (mParents.size() >= kMaxDepth) {
      throw unsupported_construct{ aMark,
                                   "deeper nesting",
                                   "at most " + std::to_string(kMaxDepth) + " levels of nesting" };
    }
    mParents.push_back(&aNode);
  }

  auto Add(const YAML::Mark& aMark,
           const std::string& aTag,
           YAML::anchor_t aAnchor,
           yaml_node::kind aKind) -> yaml_node&
  {
    if (aAnchor != YAML::NullAnchor) {
      throw unsupported_construct{ aMark, "an anchor", "a value without anchors and aliases" };
    }
    if (!aTag.empty() && aTag != "?" && aTag != "!") {
      throw unsupported_construct{ aMark, "a tag", "a value without a tag" };
    }
    auto& node = AppendNode(aMark, aKind);
    node.mKind = aKind;
    node.mLine = static_cast<std::size_t>(aMark.line) + 1;
    node.mColumn = static_cast<std::size_t>(aMark.column) + 1;
    return node;
  }

  // A node's vectors do not grow while one of its children is in mParents, so the pointers there
  // stay valid.
  auto AppendNode(const YAML::Mark& aMark, yaml_node::kind aKind) -> yaml_node&
  {
    if (mParents.empty()) {
      return mRoot;
    }
    auto& parent = *mParents.back();
    if (parent.mKind == yaml_node::kind::Map && parent.mKeys.size() == parent.mItems.size()) {
      if (aKind != yaml_node::kind::Scalar) {
        throw unsupported_construct{ aMark, "a key that is not a name", "a name as key" };
      }
      return parent.mKeys.emplace_back();
    }
    return parent.mItems.emplace_back();
  }

  yaml_node mRoot;
  std::vector<yaml_node*> mParents;
};

/// Stream buffer that reads a text without copying it.
class view_buffer : public std::streambuf
{
public:
  explicit view_buffer(std::string_view aText)
  {
    // setg() takes non-const pointers although the get area is only read.
    auto* begin = const_cast<char*>(aText.data());
    setg(begin, begin, begin + aText.size());
  }
};

auto MakeError(const YAML::Mark& aMark,
               std::size_t aLineOffset,
               std::string aFound,
               std::string aExpected) -> yaml_error
{
  const auto line = aMark.is_null() ? 0 : static_cast<std::size_t>(aMark.line);
  const auto column = aMark.is_null() ? 0 : static_cast<std::size_t>(aMark.column);
  return { line + 1 + aLineOffset, column + 1, std::move(aFound), std::move(aExpected) };
}

auto ShiftLines(yaml_node& aNode, std::size_t aLines) -> void
{
  aNode.mLine += aLines;
  for (auto& key : aNode.mKeys) {
    ShiftLines(key, aLines);
  }
  for (auto& item : aNode.mItems) {
    ShiftLines(item, aLines);
  }
}

/// Returns the length of the UTF-8 sequence at the start of a text, or zero if it is malformed.
auto Utf8Length(std::string_view aText) -> std::size_t
{
  const auto byteAt = [&](std::size_t aIndex) { return static_cast<unsigned char>(aText[aIndex]); };
  const auto lead = byteAt(0);
  const auto length = lead < 0x80U                     ? std::size_t{ 1 }
                      : lead >= 0xc2U && lead <= 0xdfU ? std::size_t{ 2 }
                      : (lead & 0xf0U) == 0xe0U        ? std::size_t{ 3 }
                      : lead >= 0xf0U && lead <= 0xf4U ? std::size_t{ 4 }
                                                       : std::size_t{ 0 };
  if (length == 0 || length > aText.size()) {
    return 0;
  }
  for (auto i = std::size_t{ 1 }; i < length; ++i) {
    if ((byteAt(i) & 0xc0U) != 0x80U) {
      return 0;
    }
  }
  // Reject overlong encodings, surrogates and values above U+10FFFF.
  if (length > 2) {
    const auto second = byteAt(1);
    const auto isBad = (lead == 0xe0U && second < 0xa0U) || (lead == 0xedU && second > 0x9fU) ||
                       (lead == 0xf0U && second < 0x90U) || (lead == 0xf4U && second > 0x8fU);
    return isBad ? 0 : length;
  }
  return length;
}

} // namespace

auto yaml_node::Find(std::string_view aKey) const -> const yaml_node*
{
  for (auto i = std::size_t{ 0 }; i < mKeys.size() && i < mItems.size(); ++i) {
    if (mKeys[i].mText == aKey) {
      return &mItems[i];
    }
  }
  return nullptr;
}

auto ParseYaml(std::string_view aText, std::size_t aLineOffset)
  -> std::variant<yaml_node, yaml_error>
{
  try {
    auto buffer = view_buffer(aText);
    auto stream = std::istream(&buffer);
    auto parser = YAML::Parser(stream);
    auto builder = tree_builder();
    parser.HandleNextDocument(builder);

    auto second = tree_builder();
    if (parser.HandleNextDocument(second)) {
      const auto extra = second.Take();
      return yaml_error{
        extra.mLine + aLineOffset, extra.mColumn, "a second document", "one document"
      };
    }
    auto root = builder.Take();
    if (aLineOffset > 0) {
      ShiftLines(root, aLineOffset);
    }
    return root;
  } catch (const unsupported_construct& aConstruct) {
    return MakeError(aConstruct.mMark, aLineOffset, aConstruct.mFound, aConstruct.mExpected);
  } catch (const YAML::Exception& aError) {
    return MakeError(aError.mark, aLineOffset, aError.msg, "valid YAML");
  } catch (const std::exception& aError) {
    return yaml_error{ 1 + aLineOffset, 1, aError.what(), "valid YAML" };
  }
}

auto FindEncodingError(std::string_view aText, std::size_t aMaxBytes) -> std::optional<yaml_error>
{
  if (aText.size() > aMaxBytes) {
    return yaml_error{ 1,
                       1,
                       std::to_string(aText.size()) + " bytes",
                       "at most " + std::to_string(aMaxBytes) + " bytes" };
  }

  auto line = std::size_t{ 1 };
  auto column = std::size_t{ 1 };
  for (auto i = std::size_t{ 0 }; i < aText.size();) {
    const auto length = Utf8Length(aText.substr(i));
    if (length == 0) {
      return yaml_error{ line, column, "a byte that is not UTF-8", "UTF-8 text" };
    }
    const auto character = static_cast<unsigned char>(aText[i]);
    const auto isLineEnd =
      character == '\n' || (character == '\r' && i + 1 < aText.size() && aText[i + 1] == '\n');
    if ((character < 0x20U && character != '\t' && !isLineEnd) || character == 0x7fU) {
      return yaml_error{ line, column, "a control character", "text without control characters" };
    }
    // A byte order mark would make the YAML parser detect other encodings.
    if (aText.substr(i, 3) == "\xef\xbb\xbf") {
      return yaml_error{ line, column, "a byte order mark", "UTF-8 text without one" };
    }
    if (character == '\n') {
      ++line;
      column = 1;
    } else {
      ++column;
    }
    i += length;
  }
  return std::nullopt;
}

} // namespace bronzering
