#include <bronzering/net/prompt_blocks.h>

#include <bronzering/base/hash.h>

#include <boost/json.hpp>

#include <algorithm>
#include <limits>

namespace bronzering {

namespace json = boost::json;

namespace {

/// Upper limit for max_tokens times n, far above what any engine generates; prevents overflow.
constexpr std::uint64_t kMaxOutputTokens = 10'000'000;

auto Malformed(std::string aWhat)
{
  return boost::leaf::new_error(malformed_input{ std::move(aWhat) });
}

/// Appends the text of a message's content: a string, null, or a list of parts.
auto AppendContent(const json::value& aContent, std::string& aPrompt) -> outcome<void>
{
  if (aContent.is_null()) {
    return {};
  }
  if (const auto* text = aContent.if_string()) {
    aPrompt.append(text->data(), text->size());
    return {};
  }
  const auto* parts = aContent.if_array();
  if (parts == nullptr) {
    return Malformed("'content' must be a string or a list of parts");
  }
  for (const auto& part : *parts) {
    const auto* object = part.if_object();
    if (object == nullptr) {
      return Malformed("a part of 'content' must be an object");
    }
    if (const auto* text = object->if_contains("text"); text != nullptr && text->is_string()) {
      aPrompt.append(text->get_string().data(), text->get_string().size());
    } else {
      aPrompt += json::serialize(part);
    }
  }
  return {};
}

auto AppendMessages(const json::value& aMessages, std::string& aPrompt) -> outcome<void>
{
  const auto* messages = aMessages.if_array();
  if (messages == nullptr || messages->empty()) {
    return Malformed("'messages' must be a list with at least one message");
  }
  for (const auto& message : *messages) {
    const auto* object = message.if_object();
    const auto* role = object != nullptr ? object->if_contains("role") : nullptr;
    if (role == nullptr || !role->is_string()) {
      return Malformed("a message must be an object with a 'role'");
    }
    aPrompt.append(role->get_string().data(), role->get_string().size());
    aPrompt += '\n';
    if (const auto* content = object->if_contains("content")) {
      BOOST_LEAF_CHECK(AppendContent(*content, aPrompt));
    }
    aPrompt += '\n';
  }
  return {};
}

/// Appends a prompt: a string, or a list of strings, of token ids, or of lists of token ids.
/// Returns the number of token ids in it.
auto AppendPrompt(const json::value& aValue, std::string& aPrompt, int aDepth = 0)
  -> outcome<std::uint64_t>
{
  if (const auto* text = aValue.if_string()) {
    aPrompt.append(text->data(), text->size());
    return std::uint64_t{ 0 };
  }
  if (aDepth > 0 && aValue.is_int64() && aValue.get_int64() >= 0) {
    aPrompt += std::to_string(aValue.get_int64());
    aPrompt += ' ';
    return std::uint64_t{ 1 };
  }
  const auto* list = aValue.if_array();
  if (list == nullptr || list->empty() || aDepth > 1) {
    return Malformed("'prompt' must be a string or a list of strings or token numbers");
  }
  std::uint64_t tokenIdCount = 0;
  for (const auto& item : *list) {
    BOOST_LEAF_AUTO(count, AppendPrompt(item, aPrompt, aDepth + 1));
    tokenIdCount += count;
  }
  return tokenIdCount;
}

/// Reads a positive integer field; returns aDefault when it is absent or null.
auto PositiveField(const json::object& aRequest, std::string_view aName, std::uint64_t aDefault)
  -> outcome<std::uint64_t>
{
  const auto* value = aRequest.if_contains(aName);
  if (value == nullptr || value->is_null()) {
    return aDefault;
  }
  if (!value->is_int64() || value->get_int64() < 1) {
    return Malformed("'" + std::string(aName) + "' must be a positive integer");
  }
  return std::min(static_cast<std::uint64_t>(value->get_int64()), kMaxOutputTokens);
}

auto ReadOutput(const json::object& aRequest,
                std::uint64_t aDefaultOutputTokens,
                completion_request& aResult) -> outcome<void>
{
  BOOST_LEAF_AUTO(maxTokens, PositiveField(aRequest, "max_tokens", aDefaultOutputTokens));
  BOOST_LEAF_AUTO(tokens, PositiveField(aRequest, "max_completion_tokens", maxTokens));
  BOOST_LEAF_AUTO(choices, PositiveField(aRequest, "n", 1));
  aResult.mOutputTokens = std::min(tokens * choices, kMaxOutputTokens);

  if (const auto* stream = aRequest.if_contains("stream"); stream != nullptr) {
    if (!stream->is_bool() && !stream->is_null()) {
      return Malformed("'stream' must be true or false");
    }
    aResult.mStream = stream->is_bool() && stream->get_bool();
  }
  return {};
}

} // namespace

auto ParseCompletionRequest(std::string_view aBody, std::uint64_t aDefaultOutputTokens)
  -> outcome<completion_request>
{
  // The monotonic resource frees all JSON values at once when the function returns.
  json::monotonic_resource memory;
  boost::system::error_code error;
  const auto value = json::parse({ aBody.data(), aBody.size() }, error, &memory);
  if (error) {
    return Malformed("the body is not valid JSON: " + error.message());
  }
  const auto* request = value.if_object();
  if (request == nullptr) {
    return Malformed("the body must be a JSON object");
  }
  const auto* model = request->if_contains("model");
  if (model == nullptr || !model->is_string() || model->get_string().empty()) {
    return Malformed("'model' must be a non-empty string");
  }

  completion_request result;
  result.mModel = std::string(model->get_string());
  std::uint64_t tokenIdCount = 0;
  if (const auto* messages = request->if_contains("messages")) {
    BOOST_LEAF_CHECK(AppendMessages(*messages, result.mPrompt));
  } else if (const auto* prompt = request->if_contains("prompt")) {
    BOOST_LEAF_ASSIGN(tokenIdCount, AppendPrompt(*prompt, result.mPrompt));
  } else {
    return Malformed("'messages' or 'prompt' is missing");
  }
  result.mPromptTokens = tokenIdCount > 0 ? tokenIdCount : EstimateTokens(result.mPrompt);
  BOOST_LEAF_CHECK(ReadOutput(*request, aDefaultOutputTokens, result));
  return result;
}

auto EstimateTokens(std::string_view aText) -> std::uint64_t
{
  return std::max<std::uint64_t>(1, (aText.size() + kBytesPerToken - 1) / kBytesPerToken);
}

auto HashPromptBlocks(std::string_view aModel, std::string_view aPrompt) -> std::vector<prefix_hash>
{
  const auto count = std::min(aPrompt.size() / kPromptBlockBytes, kMaxPromptBlocks);
  std::vector<prefix_hash> blocks;
  blocks.reserve(count);
  auto previous = HashText(aModel);
  for (std::size_t i = 0; i < count; ++i) {
    previous = HashText(aPrompt.substr(i * kPromptBlockBytes, kPromptBlockBytes), previous);
    blocks.push_back({ previous });
  }
  return blocks;
}

} // namespace bronzering
