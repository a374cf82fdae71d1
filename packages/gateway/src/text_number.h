#pragma once

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzering {

/// Parses an unsigned decimal integer; empty unless it spans the entire text. Thread-safe.
[[nodiscard]] inline auto ParseUnsigned(std::string_view aText) -> std::optional<std::uint64_t>
{
  auto number = std::uint64_t{ 0 };
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return error == std::errc() && end == aText.data() + aText.size() ? std::optional(number)
                                                                    : std::nullopt;
}

/// Parses a decimal number that is not negative; empty unless it spans the entire text.
/// Thread-safe.
[[nodiscard]] inline auto ParseDecimal(std::string_view aText) -> std::optional<double>
{
  auto number = 0.0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const auto isWhole = error == std::errc() && end == aText.data() + aText.size();
  return isWhole && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
}

} // namespace bronzering
