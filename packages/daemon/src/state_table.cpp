#include <bronzering/daemon/state_table.h>

#include <boost/json.hpp>

#include <algorithm>
#include <vector>

namespace bronzering {

namespace {

namespace json = boost::json;

using table_row = std::vector<std::string>;

auto FormatScalar(const json::value& aValue) -> std::string
{
  if (const auto* text = aValue.if_string()) {
    return std::string(text->begin(), text->end());
  }
  return aValue.is_null() ? std::string("-") : json::serialize(aValue);
}

auto IsListOfObjects(const json::value& aValue) -> bool
{
  const auto* list = aValue.if_array();
  return list != nullptr && !list->empty() &&
         std::all_of(
           list->begin(), list->end(), [](const json::value& aItem) { return aItem.is_object(); });
}

/// Appends rows as aligned columns; the first row is the heading.
auto WriteTable(const std::vector<table_row>& aRows, std::size_t aIndent, std::string& aText)
  -> void
{
  auto widths = std::vector<std::size_t>();
  for (const auto& row : aRows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (auto i = std::size_t{ 0 }; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : aRows) {
    auto line = std::string(aIndent, ' ');
    for (auto i = std::size_t{ 0 }; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aText += line + "\n";
  }
}

auto WriteList(const json::array& aList, std::size_t aIndent, std::string& aText) -> void
{
  auto rows = std::vector<table_row>(1);
  auto& heading = rows.front();
  for (const auto& item : aList) {
    for (const auto& member : item.get_object()) {
      const auto name = std::string(member.key());
      if (std::find(heading.begin(), heading.end(), name) == heading.end()) {
        heading.push_back(name);
      }
    }
  }
  for (const auto& item : aList) {
    auto row = table_row();
    for (const auto& name : rows.front()) {
      const auto* value = item.get_object().if_contains(name);
      row.push_back(value == nullptr ? "-" : FormatScalar(*value));
    }
    rows.push_back(std::move(row));
  }
  WriteTable(rows, aIndent, aText);
}

auto WriteObject(const json::object& aObject, std::size_t aIndent, std::string& aText) -> void
{
  auto scalars = std::vector<table_row>();
  for (const auto& member : aObject) {
    const auto isNested = member.value().is_object() || IsListOfObjects(member.value());
    if (!isNested) {
      scalars.push_back({ std::string(member.key()), FormatScalar(member.value()) });
    }
  }
  WriteTable(scalars, aIndent, aText);
  for (const auto& member : aObject) {
    const auto heading = std::string(aIndent, ' ') + std::string(member.key()) + ":\n";
    if (const auto* object = member.value().if_object()) {
      aText += heading;
      WriteObject(*object, aIndent + 2, aText);
    } else if (IsListOfObjects(member.value())) {
      aText += heading;
      WriteList(member.value().get_array(), aIndent + 2, aText);
    }
  }
}

} // namespace

auto FormatState(const boost::json::value& aState) -> std::string
{
  auto text = std::string();
  if (const auto* object = aState.if_object()) {
    WriteObject(*object, 0, text);
  } else {
    text = FormatScalar(aState) + "\n";
  }
  return text;
}

} // namespace bronzering
