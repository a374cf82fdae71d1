#include <bronzering/net/prompt_blocks.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>

#include <catch2/catch.hpp>

using namespace bronzering;

namespace {

auto Parse(std::string_view aBody) -> std::optional<completion_request>
{
  return boost::leaf::try_handle_all(
    [&]() -> outcome<std::optional<completion_request>> {
      BOOST_LEAF_AUTO(request, ParseCompletionRequest(aBody, 256));
      return std::optional(std::move(request));
    },
    [] { return std::optional<completion_request>(); });
}

} // namespace

TEST_CASE("a chat request is parsed into model, prompt, tokens and stream")
{
  // Guards against estimates that ignore messages or the caller's max_tokens.
  const auto request =
    Parse(R"({"model":"m","messages":[{"role":"system","content":"abcd"},{"role":"user","content":)"
          R"([{"type":"text","text":"efgh"}]}],"max_tokens":7,"n":2,"stream":true})");
  REQUIRE(request);
  CHECK(request->mModel == "m");
  CHECK(request->mPrompt == "system\nabcd\nuser\nefgh\n");
  CHECK(request->mPromptTokens == 6);
  CHECK(request->mOutputTokens == 14);
  CHECK(request->mStream);
}

TEST_CASE("a completion request may contain text or token ids")
{
  // Guards against refusing prompt formats that the API allows.
  CHECK(Parse(R"({"model":"m","prompt":["ab","cd"]})")->mPrompt == "abcd");
  CHECK(Parse(R"({"model":"m","prompt":[1,2,3]})")->mPromptTokens == 3);
  CHECK(Parse(R"({"model":"m","prompt":"x"})")->mOutputTokens == 256);
}

TEST_CASE("malformed completion requests are refused")
{
  // Guards against invalid input that reaches an assertion or an engine.
  for (const auto* body : { "",
                            "[]",
                            "{",
                            R"({"prompt":"x"})",
                            R"({"model":"","prompt":"x"})",
                            R"({"model":"m"})",
                            R"({"model":"m","prompt":{}})",
                            R"({"model":"m","prompt":[[[1]]]})",
                            R"({"model":"m","messages":[]})",
                            R"({"model":"m","messages":[{"content":"x"}]})",
                            R"({"model":"m","prompt":"x","max_tokens":0})",
                            R"({"model":"m","prompt":"x","max_tokens":1.5})",
                            R"({"model":"m","prompt":"x","stream":"yes"})" }) {
    INFO(body);
    CHECK_FALSE(Parse(body));
  }
}

TEST_CASE("prompt block hashes are chained and depend on the model")
{
  // Guards against equal hashes for blocks whose KV cache contents differ.
  const auto first = std::string(kPromptBlockBytes, 'a');
  const auto other = std::string(kPromptBlockBytes, 'b');
  const auto blocks = HashPromptBlocks("m", first + other + "rest");
  REQUIRE(blocks.size() == 2);
  CHECK(HashPromptBlocks("m", first).front() == blocks.front());
  CHECK(HashPromptBlocks("m", other + other)[1] != blocks[1]);
  CHECK(HashPromptBlocks("n", first).front() != blocks.front());
  CHECK(HashPromptBlocks("m", std::string(kPromptBlockBytes * 600, 'a')).size() ==
        kMaxPromptBlocks);
}
