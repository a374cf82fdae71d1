#include "value_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <unordered_set>

namespace bronzering {

namespace {

constexpr std::size_t kMaxDescribedBytes = 60;

struct duration_unit
{
  std::string_view mName;
  std::int64_t mMicroseconds;
};
constexpr auto kDurationUnits = std::array<duration_unit, 6>{ { { "d", 86'400'000'000 },
                                                                { "h", 3'600'000'000 },
                                                                { "m", 60'000'000 },
                                                                { "s", 1'000'000 },
                                                                { "ms", 1'000 },
                                                                { "us", 1 } } };

auto IsDigit(char aCharacter) -> bool
{
  return aCharacter >= '0' && aCharacter <= '9';
}

auto FormatNumber(double aValue) -> std::string
{
  auto text = std::array<char, 32>{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), aValue);
  return error == std::errc() ? std::string(text.data(), end) : std::string("?");
}

/// Parses a text that consists of digits only, such as a field of a date.
auto ParseDigits(std::string_view aText) -> std::optional<unsigned>
{
  if (!std::all_of(aText.begin(), aText.end(), IsDigit)) {
    return std::nullopt;
  }
  auto value = 0U;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

} // namespace

auto Describe(std::string_view aText) -> std::string
{
  auto shown = std::string("\"");
  for (const auto character : aText.substr(0, kMaxDescribedBytes)) {
    const auto isPrintable = static_cast<unsigned char>(character) >= 0x20U;
    shown.push_back(isPrintable ? character : ' ');
  }
  return shown + (aText.size() > kMaxDescribedBytes ? "…\"" : "\"");
}

auto Describe(const yaml_node& aNode) -> std::string
{
  switch (aNode.mKind) {
    case yaml_node::kind::Null:
      return "nothing";
    case yaml_node::kind::Scalar:
      return Describe(aNode.mText);
    case yaml_node::kind::List:
      return "a list";
    case yaml_node::kind::Map:
      break;
  }
  return "a mapping";
}

auto ParseDuration(std::string_view aText) -> std::optional<duration>
{
  auto value = std::int64_t{ 0 };
  const auto* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  if (error != std::errc() || aText.empty() || !IsDigit(aText.front())) {
    return std::nullopt;
  }
  const auto name = std::string_view(end, static_cast<std::size_t>(last - end));
  const auto* const unit =
    std::find_if(kDurationUnits.begin(), kDurationUnits.end(), [&](const duration_unit& aUnit) {
      return aUnit.mName == name;
    });
  if (unit == kDurationUnits.end() ||
      value > std::numeric_limits<std::int64_t>::max() / unit->mMicroseconds) {
    return std::nullopt;
  }
  return duration(value * unit->mMicroseconds);
}

auto FormatDuration(duration aDuration) -> std::string
{
  for (const auto& unit : kDurationUnits) {
    if (aDuration.count() != 0 && aDuration.count() % unit.mMicroseconds == 0) {
      return std::to_string(aDuration.count() / unit.mMicroseconds).append(unit.mName);
    }
  }
  return std::to_string(aDuration.count()) + "s";
}

auto ParseNumber(std::string_view aText) -> std::optional<double>
{
  const auto digits = aText.starts_with('-') ? aText.substr(1) : aText;
  if (digits.empty() || !IsDigit(digits.front())) {
    return std::nullopt;
  }
  auto value = 0.0;
  const auto* const last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  if (error != std::errc() || end != last || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

auto ParseTime(std::string_view aText) -> std::optional<wall_time>
{
  // 2027-01-01T00:00:00Z
  if (aText.size() != 20 || aText[4] != '-' || aText[7] != '-' || aText[10] != 'T' ||
      aText[13] != ':' || aText[16] != ':' || aText[19] != 'Z') {
    return std::nullopt;
  }
  const auto year = ParseDigits(aText.substr(0, 4));
  const auto month = ParseDigits(aText.substr(5, 2));
  const auto day = ParseDigits(aText.substr(8, 2));
  const auto hour = ParseDigits(aText.substr(11, 2));
  const auto minute = ParseDigits(aText.substr(14, 2));
  const auto second = ParseDigits(aText.substr(17, 2));
  if (!year || !month || !day || !hour || !minute || !second || *hour > 23 || *minute > 59 ||
      *second > 59) {
    return std::nullopt;
  }
  const auto date = std::chrono::year_month_day(
    std::chrono::year(static_cast<int>(*year)), std::chrono::month(*month), std::chrono::day(*day));
  if (!date.ok()) {
    return std::nullopt;
  }
  return wall_time(std::chrono::sys_days(date)) + std::chrono::hours(*hour) +
         std::chrono::minutes(*minute) + std::chrono::seconds(*second);
}

auto IsName(std::string_view aText) -> bool
{
  const auto isLetterOrDigit = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
           IsDigit(aCharacter);
  };
  return !aText.empty() && aText.size() <= kMaxNameLength && isLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [&](char aCharacter) {
           return isLetterOrDigit(aCharacter) || aCharacter == '-' || aCharacter == '_' ||
                  aCharacter == '.';
         });
}

value_reader::value_reader(const yaml_node& aNode,
                           std::string aSection,
                           std::string aPath,
                           std::vector<config_problem>& aProblems)
  : mNode(aNode)
  , mSection(std::move(aSection))
  , mPath(std::move(aPath))
  , mProblems(aProblems)
{
  if (aNode.mKind != yaml_node::kind::Map) {
    Report(aNode, mPath, Describe(aNode), "a mapping");
    return;
  }
  auto seen = std::unordered_set<std::string_view>();
  for (const auto& key : aNode.mKeys) {
    if (!seen.insert(key.mText).second) {
      Report(key, PathOf(key.mText), "a second " + Describe(key), "each key once");
    }
  }
}

auto value_reader::Find(std::string_view aKey) -> const yaml_node*
{
  mKnownKeys.emplace_back(aKey);
  return mNode.Find(aKey);
}

auto value_reader::Scalar(std::string_view aKey, presence aPresence, std::string_view aExpected)
  -> const yaml_node*
{
  const auto* node = Find(aKey);
  if (node == nullptr) {
    if (aPresence == presence::Required && mNode.mKind == yaml_node::kind::Map) {
      Report(mNode, PathOf(aKey), "nothing", std::string(aExpected));
    }
    return nullptr;
  }
  if (node->mKind != yaml_node::kind::Scalar) {
    Report(*node, PathOf(aKey), Describe(*node), std::string(aExpected));
    return nullptr;
  }
  return node;
}

auto value_reader::Text(std::string_view aKey,
                        presence aPresence,
                        std::size_t aMaxLength,
                        std::string_view aExpected) -> std::optional<std::string>
{
  const auto* node = Scalar(aKey, aPresence, aExpected);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (node->mText.empty() || node->mText.size() > aMaxLength) {
    Report(*node,
           PathOf(aKey),
           Describe(*node),
           std::string(aExpected) + " of 1 to " + std::to_string(aMaxLength) + " bytes");
    return std::nullopt;
  }
  return node->mText;
}

auto value_reader::Name(std::string_view aKey, presence aPresence) -> std::optional<std::string>
{
  const auto expected = std::string_view("a name of letters, digits, -, _ and .");
  const auto* node = Scalar(aKey, aPresence, expected);
  if (node != nullptr && !IsName(node->mText)) {
    Report(*node, PathOf(aKey), Describe(*node), std::string(expected));
    return std::nullopt;
  }
  return node == nullptr ? std::nullopt : std::optional(node->mText);
}

auto value_reader::Number(std::string_view aKey, presence aPresence, double aMin, double aMax)
  -> std::optional<double>
{
  const auto expected = "a number from " + FormatNumber(aMin) + " to " + FormatNumber(aMax);
  const auto* node = Scalar(aKey, aPresence, expected);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = node->mQuoted ? std::nullopt : ParseNumber(node->mText);
  if (!value || *value < aMin || *value > aMax) {
    Report(*node, PathOf(aKey), Describe(*node), expected);
    return std::nullopt;
  }
  return value;
}

auto value_reader::Integer(std::string_view aKey,
                           presence aPresence,
                           std::uint64_t aMin,
                           std::uint64_t aMax) -> std::optional<std::uint64_t>
{
  const auto expected =
    "a whole number from " + std::to_string(aMin) + " to " + std::to_string(aMax);
  const auto* node = Scalar(aKey, aPresence, expected);
  if (node == nullptr) {
    return std::nullopt;
  }
  // Accepts numbers such as 2e9. All bounds are far below 2^53, up to which doubles are exact.
  const auto value = node->mQuoted ? std::nullopt : ParseNumber(node->mText);
  if (!value || std::floor(*value) != *value || *value < static_cast<double>(aMin) ||
      *value > static_cast<double>(aMax)) {
    Report(*node, PathOf(aKey), Describe(*node), expected);
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(*value);
}

auto value_reader::Duration(std::string_view aKey, presence aPresence, duration aMin, duration aMax)
  -> std::optional<duration>
{
  const auto expected =
    "a duration from " + FormatDuration(aMin) + " to " + FormatDuration(aMax) + ", such as 360ms";
  const auto* node = Scalar(aKey, aPresence, expected);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = node->mQuoted ? std::nullopt : ParseDuration(node->mText);
  if (!value || *value < aMin || *value > aMax) {
    Report(*node, PathOf(aKey), Describe(*node), expected);
    return std::nullopt;
  }
  return value;
}

auto value_reader::Time(std::string_view aKey) -> std::optional<wall_time>
{
  const auto expected = std::string("a UTC time such as 2027-01-01T00:00:00Z");
  const auto* node = Scalar(aKey, presence::Optional, expected);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto value = ParseTime(node->mText);
  if (!value) {
    Report(*node, PathOf(aKey), Describe(*node), expected);
  }
  return value;
}

auto value_reader::Boolean(std::string_view aKey) -> std::optional<bool>
{
  const auto* node = Scalar(aKey, presence::Optional, "true or false");
  if (node == nullptr) {
    return std::nullopt;
  }
  if (node->mQuoted || (node->mText != "true" && node->mText != "false")) {
    Report(*node, PathOf(aKey), Describe(*node), "true or false");
    return std::nullopt;
  }
  return node->mText == "true";
}

auto value_reader::Names(std::string_view aKey, presence aPresence) -> std::vector<std::string>
{
  const auto expected = std::string("a list of names");
  const auto* node = Find(aKey);
  if (node == nullptr) {
    if (aPresence == presence::Required && mNode.mKind == yaml_node::kind::Map) {
      Report(mNode, PathOf(aKey), "nothing", expected);
    }
    return {};
  }
  if (node->mKind != yaml_node::kind::List) {
    Report(*node, PathOf(aKey), Describe(*node), expected);
    return {};
  }
  if (node->mItems.empty() && aPresence == presence::Required) {
    Report(*node, PathOf(aKey), "an empty list", "at least one name");
  }

  auto names = std::vector<std::string>();
  auto seen = std::unordered_set<std::string_view>();
  for (auto i = std::size_t{ 0 }; i < node->mItems.size(); ++i) {
    const auto& item = node->mItems[i];
    const auto path = PathOf(aKey) + "[" + std::to_string(i) + "]";
    if (item.mKind != yaml_node::kind::Scalar || !IsName(item.mText)) {
      Report(item, path, Describe(item), "a name of letters, digits, -, _ and .");
    } else if (!seen.insert(item.mText).second) {
      Report(item, path, "a second " + Describe(item), "each name once");
    } else {
      names.push_back(item.mText);
    }
  }
  return names;
}

auto value_reader::Forbid(std::string_view aKey, std::string_view aExpected) -> void
{
  if (const auto* node = Find(aKey)) {
    Report(*node, PathOf(aKey), Describe(*node), std::string(aExpected));
  }
}

auto value_reader::ReportUnknownKeys() -> void
{
  for (const auto& key : mNode.mKeys) {
    if (std::find(mKnownKeys.begin(), mKnownKeys.end(), key.mText) != mKnownKeys.end()) {
      continue;
    }
    auto expected = std::string("one of ");
    for (auto i = std::size_t{ 0 }; i < mKnownKeys.size(); ++i) {
      expected.append(i == 0 ? "" : ", ").append(mKnownKeys[i]);
    }
    Report(key, PathOf(key.mText), "the unknown key " + Describe(key), expected);
  }
}

auto value_reader::ReportAt(std::string_view aKey, std::string aFound, std::string aExpected)
  -> void
{
  const auto* node = mNode.Find(aKey);
  Report(node == nullptr ? mNode : *node, PathOf(aKey), std::move(aFound), std::move(aExpected));
}

auto value_reader::Report(const yaml_node& aNode,
                          std::string aPath,
                          std::string aFound,
                          std::string aExpected) -> void
{
  mProblems.push_back({ mSection,
                        aNode.mLine,
                        aNode.mColumn,
                        std::move(aPath),
                        std::move(aFound),
                        std::move(aExpected) });
}

auto value_reader::PathOf(std::string_view aKey) const -> std::string
{
  return mPath.empty() ? std::string(aKey) : mPath + "." + std::string(aKey);
}

} // namespace bronzering
