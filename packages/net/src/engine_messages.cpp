#include "engine_messages.h"

#include <boost/json.hpp>

#include <charconv>
#include <cstdio>
#include <limits>

namespace bronzering {

namespace json = boost::json;

namespace {

/// Longer reasons are truncated, since they are written to logs.
constexpr std::size_t kMaxReasonBytes = 200;

auto Malformed(const char* aReason)
{
  return boost::leaf::new_error(malformed_input{ aReason });
}

auto ParseObject(std::string_view aBody) -> outcome<json::object>
{
  boost::system::error_code error;
  auto value = json::parse({ aBody.data(), aBody.size() }, error);
  if (error || !value.is_object()) {
    return Malformed("the engine's response is not a JSON object");
  }
  return std::move(value.get_object());
}

/// Reads a non-negative integer; zero if the field is absent.
auto CountField(const json::object& aObject, std::string_view aName) -> outcome<std::uint64_t>
{
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return std::uint64_t{ 0 };
  }
  if (value->is_uint64()) {
    return value->get_uint64();
  }
  if (!value->is_int64() || value->get_int64() < 0) {
    return Malformed("a count in the engine's response is not a non-negative integer");
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

auto StringField(const json::object& aObject, std::string_view aName) -> std::string
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

auto BlockListField(const json::object& aObject, std::string_view aName)
  -> outcome<std::vector<prefix_hash>>
{
  std::vector<prefix_hash> blocks;
  const auto* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return blocks;
  }
  if (!value->is_array()) {
    return Malformed("expected a list of blocks, but the field is not a list");
  }
  for (const auto& item : value->get_array()) {
    std::uint64_t hash = 0;
    const auto text = item.is_string() ? std::string_view(item.get_string()) : std::string_view();
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, hash, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return Malformed("a prompt block is not a hexadecimal number");
    }
    blocks.push_back({ hash });
  }
  return blocks;
}

} // namespace

auto ParseLoad(std::string_view aBody) -> outcome<engine_load>
{
  BOOST_LEAF_AUTO(object, ParseObject(aBody));
  engine_load load;
  BOOST_LEAF_AUTO(running, CountField(object, "running"));
  if (running > std::numeric_limits<std::uint32_t>::max()) {
    return Malformed("'running' exceeds 32 bits");
  }
  load.mRunning = static_cast<std::uint32_t>(running);
  BOOST_LEAF_ASSIGN(load.mFreeKvTokens, CountField(object, "free_kv_tokens"));
  BOOST_LEAF_ASSIGN(load.mHighestFencingToken, CountField(object, "highest_fencing_token"));
  load.mModelVersion = StringField(object, "model_version");
  if (const auto* adapters = object.if_contains("adapters");
      adapters != nullptr && adapters->is_array()) {
    for (const auto& adapter : adapters->get_array()) {
      if (adapter.is_string()) {
        load.mAdapters.emplace_back(adapter.get_string());
      }
    }
  }
  return load;
}

auto ParseCacheEvents(std::string_view aBody) -> outcome<cache_event_page>
{
  BOOST_LEAF_AUTO(object, ParseObject(aBody));
  cache_event_page page;
  BOOST_LEAF_ASSIGN(page.mLatest, CountField(object, "latest"));
  const auto* events = object.if_contains("events");
  if (events == nullptr || !events->is_array()) {
    return Malformed("'events' is not a list");
  }
  for (const auto& item : events->get_array()) {
    if (!item.is_object()) {
      return Malformed("a cache event is not a JSON object");
    }
    engine_cache_event event;
    BOOST_LEAF_ASSIGN(event.mSequence, CountField(item.get_object(), "sequence"));
    BOOST_LEAF_ASSIGN(event.mStored, BlockListField(item.get_object(), "stored"));
    BOOST_LEAF_ASSIGN(event.mEvicted, BlockListField(item.get_object(), "evicted"));
    page.mEvents.push_back(std::move(event));
  }
  return page;
}

auto FormatCommand(const send_engine_command& aCommand) -> std::string
{
  return json::serialize(
    json::object{ { "fencing_token", aCommand.mFencingToken },
                  { "command", kEngineCommandKindNames.NameOf(aCommand.mKind) },
                  { "argument", aCommand.mArgument } });
}

auto ParseCommandError(std::string_view aBody) -> std::string
{
  boost::system::error_code error;
  const auto value = json::parse({ aBody.data(), aBody.size() }, error);
  auto reason =
    !error && value.is_object() ? StringField(value.get_object(), "what") : std::string();
  if (reason.empty()) {
    reason = std::string(aBody);
  }
  return reason.substr(0, kMaxReasonBytes);
}

auto FormatKvExport(const std::vector<prefix_hash>& aBlocks) -> std::string
{
  json::array blocks;
  for (const auto block : aBlocks) {
    std::array<char, 17> text = {};
    std::snprintf(
      text.data(), text.size(), "%016llx", static_cast<unsigned long long>(block.mValue));
    blocks.emplace_back(text.data());
  }
  return json::serialize(json::object{ { "blocks", std::move(blocks) } });
}

} // namespace bronzering
