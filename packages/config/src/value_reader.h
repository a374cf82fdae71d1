#pragma once

#include "yaml_tree.h"

#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>
#include <bronzering/config/config_store.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

enum class presence
{
  Required,
  Optional
};

/// Maximum length of the name of a section, service, tier, organisation, caller, limit, endpoint or
/// adapter.
inline constexpr std::size_t kMaxNameLength = 64;

/// Format a value for a problem: quoted, truncated and with control characters replaced.
[[nodiscard]] auto Describe(const yaml_node& aNode) -> std::string;
[[nodiscard]] auto Describe(std::string_view aText) -> std::string;

/// Parses a duration such as 360ms or 2h: an integer and one of us, ms, s, m, h, d. Thread-safe.
[[nodiscard]] auto ParseDuration(std::string_view aText) -> std::optional<duration>;
/// Formats a duration in the largest unit that divides it. Thread-safe.
[[nodiscard]] auto FormatDuration(duration aDuration) -> std::string;
/// Parses a finite decimal number such as 12, 0.5 or 2e9. Thread-safe.
[[nodiscard]] auto ParseNumber(std::string_view aText) -> std::optional<double>;
/// Parses a UTC time of the form 2027-01-01T00:00:00Z. Thread-safe.
[[nodiscard]] auto ParseTime(std::string_view aText) -> std::optional<wall_time>;
/// Returns whether a text is a valid name: letters, digits, - _ and . , starting with a letter or
/// digit.
[[nodiscard]] auto IsName(std::string_view aText) -> bool;

/// Reads the settings of one mapping and reports each that is missing, unknown, duplicate, of the
/// wrong type or out of range. A failed read reports the problem and returns no value. Used on one
/// thread; holds references to its arguments.
class value_reader
{
public:
  value_reader(const yaml_node& aNode,
               std::string aSection,
               std::string aPath,
               std::vector<config_problem>& aProblems);

  [[nodiscard]] auto Text(std::string_view aKey,
                          presence aPresence,
                          std::size_t aMaxLength = 256,
                          std::string_view aExpected = "a text") -> std::optional<std::string>;
  [[nodiscard]] auto Name(std::string_view aKey, presence aPresence) -> std::optional<std::string>;
  [[nodiscard]] auto Number(std::string_view aKey, presence aPresence, double aMin, double aMax)
    -> std::optional<double>;
  [[nodiscard]] auto Integer(std::string_view aKey,
                             presence aPresence,
                             std::uint64_t aMin,
                             std::uint64_t aMax) -> std::optional<std::uint64_t>;
  [[nodiscard]] auto Duration(std::string_view aKey,
                              presence aPresence,
                              duration aMin,
                              duration aMax) -> std::optional<duration>;
  [[nodiscard]] auto Time(std::string_view aKey) -> std::optional<wall_time>;
  [[nodiscard]] auto Boolean(std::string_view aKey) -> std::optional<bool>;
  /// Reads a list of distinct names, which must not be empty if required.
  [[nodiscard]] auto Names(std::string_view aKey, presence aPresence) -> std::vector<std::string>;

  template<class Enum, std::size_t Count>
  [[nodiscard]] auto Choice(std::string_view aKey,
                            presence aPresence,
                            const name_table<Enum, Count>& aTable) -> std::optional<Enum>
  {
    auto expected = std::string();
    for (const auto& [value, name] : aTable.mEntries) {
      expected.append(expected.empty() ? "" : " or ").append(name);
    }
    const auto* node = Scalar(aKey, aPresence, expected);
    if (node == nullptr) {
      return std::nullopt;
    }
    const auto value = aTable.Find(node->mText);
    if (!value) {
      Report(*node, PathOf(aKey), Describe(*node), expected);
    }
    return value;
  }

  /// Returns the unchecked value of a key, or null if it is absent. Marks the key as known.
  [[nodiscard]] auto Find(std::string_view aKey) -> const yaml_node*;
  /// Reports this key if it is present.
  auto Forbid(std::string_view aKey, std::string_view aExpected) -> void;
  /// Reports the keys that were neither read nor forbidden. Call after all other reads.
  auto ReportUnknownKeys() -> void;

  /// Reports a problem at the value of a key, or at the mapping if the key is absent.
  auto ReportAt(std::string_view aKey, std::string aFound, std::string aExpected) -> void;
  auto Report(const yaml_node& aNode, std::string aPath, std::string aFound, std::string aExpected)
    -> void;
  [[nodiscard]] auto PathOf(std::string_view aKey) const -> std::string;

private:
  [[nodiscard]] auto Scalar(std::string_view aKey, presence aPresence, std::string_view aExpected)
    -> const yaml_node*;

  const yaml_node& mNode;
  std::string mSection;
  std::string mPath;
  std::vector<config_problem>& mProblems;
  std::vector<std::string> mKnownKeys;
};

} // namespace bronzering
