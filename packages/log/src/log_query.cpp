#include <bronzering/log/log_query.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <istream>
#include <optional>
#include <utility>

namespace bronzering {

namespace {

using timed_event = std::pair<std::int64_t, boost::json::object>;

/// Parses a line; empty if it is malformed or belongs to another request.
auto ParseLine(std::string_view aLine, std::string_view aRequest) -> std::optional<timed_event>
{
  const auto begin = aLine.find('{');
  if (begin == std::string_view::npos || aLine.find(aRequest) == std::string_view::npos) {
    return std::nullopt;
  }
  auto error = boost::json::error_code();
  auto value = boost::json::parse(aLine.substr(begin), error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  auto& object = value.get_object();
  const auto* request = object.if_contains("request");
  const auto* time = object.if_contains("unix_ms");
  if (request == nullptr || !request->is_string() || request->get_string() != aRequest ||
      time == nullptr || !time->is_int64()) {
    return std::nullopt;
  }
  return timed_event(time->get_int64(), std::move(object));
}

auto FormatValue(const boost::json::value& aValue) -> std::string
{
  return aValue.is_string() ? std::string(aValue.get_string()) : boost::json::serialize(aValue);
}

auto FormatRow(const timed_event& aLine, std::int64_t aFirstTime) -> std::string
{
  const auto field = [&aLine](std::string_view aName) {
    const auto* value = aLine.second.if_contains(aName);
    return value == nullptr ? std::string("-") : FormatValue(*value);
  };
  auto row =
    fmt::format("{:>+8} ms  {}  {}:", aLine.first - aFirstTime, field("process"), field("event"));
  for (const auto& entry : aLine.second) {
    const auto name = std::string_view(entry.key().data(), entry.key().size());
    if (name != "unix_ms" && name != "boot_ms" && name != "process" && name != "event" &&
        name != "request") {
      row += fmt::format(" {}={}", name, FormatValue(entry.value()));
    }
  }
  return row + '\n';
}

} // namespace

auto ExplainFromFiles(std::string_view aRequest, const std::vector<std::string>& aPaths)
  -> outcome<std::string>
{
  auto files = std::deque<std::ifstream>();
  auto logs = std::vector<std::istream*>();
  for (const auto& path : aPaths) {
    files.emplace_back(path);
    if (!files.back()) {
      return boost::leaf::new_error(io_failure{ "cannot read " + path });
    }
    logs.push_back(&files.back());
  }
  auto text = ExplainRequest(aRequest, logs);
  if (text.empty()) {
    return boost::leaf::new_error(
      io_failure{ "no log line contains request " + std::string(aRequest) });
  }
  return text;
}

auto ExplainRequest(std::string_view aRequest, const std::vector<std::istream*>& aLogs)
  -> std::string
{
  auto lines = std::vector<timed_event>();
  for (auto* log : aLogs) {
    auto text = std::string();
    while (std::getline(*log, text)) {
      if (auto line = ParseLine(text, aRequest)) {
        lines.push_back(std::move(*line));
      }
    }
  }
  std::stable_sort(lines.begin(), lines.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  auto result = std::string();
  for (const auto& line : lines) {
    result += FormatRow(line, lines.front().first);
  }
  return result;
}

} // namespace bronzering
