#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace bronzering {

/// Maps the enumerators of an enumeration to names, for parsing and printing. Each enumeration
/// defines one table:
///   inline constexpr auto kColourNames = name_table<colour, 2>{ { { colour::Red, "red" }, … } };
template<class Enum, std::size_t Count>
struct name_table
{
  std::array<std::pair<Enum, std::string_view>, Count> mEntries;

  /// Precondition: the table contains aValue. Thread-safe.
  [[nodiscard]] constexpr auto NameOf(Enum aValue) const -> std::string_view
  {
    for (const auto& [value, name] : mEntries) {
      if (value == aValue) {
        return name;
      }
    }
    return "?";
  }

  /// Empty when no entry has this name. Thread-safe.
  [[nodiscard]] constexpr auto Find(std::string_view aName) const -> std::optional<Enum>
  {
    for (const auto& [value, name] : mEntries) {
      if (name == aName) {
        return value;
      }
    }
    return std::nullopt;
  }
};

} // namespace bronzering
