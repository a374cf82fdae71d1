#include "document_text.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>

namespace bronzering {

namespace {

/// Sign, digits, point and decimals of the longest number without an exponent.
constexpr auto kMaxNumberLength = std::numeric_limits<double>::max_exponent10 -
                                  std::numeric_limits<double>::min_exponent10 +
                                  std::numeric_limits<double>::max_digits10 + 3;

} // namespace

auto PrintableText(std::string_view aText) -> std::string
{
  auto text = std::string(aText);
  std::replace_if(
    text.begin(),
    text.end(),
    [](unsigned char aCharacter) { return std::iscntrl(aCharacter) != 0 || aCharacter == '"'; },
    '?');
  return text;
}

auto QuotedName(std::string_view aName) -> std::string
{
  return '"' + PrintableText(aName) + '"';
}

auto NumberText(double aNumber) -> std::string
{
  auto digits = std::array<char, kMaxNumberLength>();
  const auto result =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, std::chars_format::fixed);
  return { digits.data(), result.ptr };
}

} // namespace bronzering
