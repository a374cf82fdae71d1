#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bronzering {

/// A parsed YAML value with its position. Mappings keep their keys in text order, including
/// duplicates.
struct yaml_node
{
  enum class kind
  {
    Null,
    Scalar,
    List,
    Map
  };

  kind mKind = kind::Null;
  std::string mText;
  /// Quoted scalars are strings even if they look like numbers.
  bool mQuoted = false;
  /// Counted from 1.
  std::size_t mLine = 1;
  std::size_t mColumn = 1;
  /// Keys of a mapping, parallel to mItems.
  std::vector<yaml_node> mKeys;
  /// Elements of a list or values of a mapping.
  std::vector<yaml_node> mItems;

  /// Returns the first value of this key, or null if there is none or this is not a mapping.
  [[nodiscard]] auto Find(std::string_view aKey) const -> const yaml_node*;
};

/// Reason and position for which a text is rejected.
struct yaml_error
{
  std::size_t mLine = 1;
  std::size_t mColumn = 1;
  std::string mFound;
  std::string mExpected;
};

/// Parses one YAML document. Anchors, aliases, tags, non-scalar keys and nesting deeper than 16
/// levels are errors. aLineOffset is added to all line numbers. Never throws; thread-safe.
[[nodiscard]] auto ParseYaml(std::string_view aText, std::size_t aLineOffset = 0)
  -> std::variant<yaml_node, yaml_error>;

/// Returns an error if a text is longer than aMaxBytes, or else the first position at which it is
/// not UTF-8 or has a control character or a byte order mark. Thread-safe.
[[nodiscard]] auto FindEncodingError(std::string_view aText, std::size_t aMaxBytes)
  -> std::optional<yaml_error>;

} // namespace bronzering
