#include "event_stream_counter.h"

#include <boost/json.hpp>

#include <algorithm>

namespace bronzering {

namespace json = boost::json;

namespace {

auto CountField(const json::object& aObject, std::string_view aName) -> std::uint64_t
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_int64() && value->get_int64() > 0
           ? static_cast<std::uint64_t>(value->get_int64())
           : 0;
}

} // namespace

auto ReadUsage(std::string_view aJson) -> std::optional<engine_usage>
{
  json::monotonic_resource memory;
  boost::system::error_code error;
  const auto value = json::parse({ aJson.data(), aJson.size() }, error, &memory);
  const auto* object = error ? nullptr : value.if_object();
  const auto* field = object != nullptr ? object->if_contains("usage") : nullptr;
  const auto* usage = field != nullptr ? field->if_object() : nullptr;
  if (usage == nullptr) {
    return std::nullopt;
  }
  engine_usage result;
  result.mPromptTokens = CountField(*usage, "prompt_tokens");
  result.mGeneratedTokens = CountField(*usage, "completion_tokens");
  if (const auto* details = usage->if_contains("prompt_tokens_details");
      details != nullptr && details->is_object()) {
    result.mCachedTokens = CountField(details->get_object(), "cached_tokens");
  }
  return result;
}

event_stream_counter::event_stream_counter(std::size_t aMaxEventBytes)
  : mMaxEventBytes(aMaxEventBytes)
{
}

auto event_stream_counter::Add(std::string_view aBytes) -> void
{
  while (!aBytes.empty()) {
    const auto end = std::min(aBytes.find('\n'), aBytes.size());
    const auto capacity = mMaxEventBytes - std::min(mMaxEventBytes, mLine.size());
    mLine.append(aBytes.substr(0, std::min(end, capacity)));
    if (end < aBytes.size()) {
      OnLine();
      mLine.clear();
    }
    aBytes.remove_prefix(std::min(end + 1, aBytes.size()));
  }
}

auto event_stream_counter::OnLine() -> void
{
  std::string_view line = mLine;
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  static constexpr std::string_view kDataPrefix = "data:";
  if (!line.starts_with(kDataPrefix)) {
    return;
  }
  line.remove_prefix(kDataPrefix.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (line == "[DONE]") {
    return;
  }

  // Only an event with an unescaped "usage" key is parsed; in generated text its quotes are
  // escaped.
  if (line.find("\"usage\":{") != std::string_view::npos ||
      line.find("\"usage\": {") != std::string_view::npos) {
    if (auto usage = ReadUsage(line)) {
      mUsage = usage;
      return;
    }
  }
  ++mTokens;
}

} // namespace bronzering
