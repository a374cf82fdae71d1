#include <bronzering/fakes/fake_text.h>

#include <bronzering/base/hash.h>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace bronzering {

namespace {

/// Stock counts in responses are below this value.
constexpr std::uint64_t kMaxStock = 500;

} // namespace

auto ExpectedTokens(std::string_view aPrompt, std::uint64_t aMaxTokens) -> std::uint64_t
{
  const auto half = aMaxTokens / 2;
  return std::max<std::uint64_t>(1, half + HashText(aPrompt) % (aMaxTokens - half + 1));
}

auto ExpectedToken(std::string_view aPrompt, std::uint64_t aIndex) -> std::string
{
  std::array<char, 8> text = {};
  const auto hash = CombineHashes(aIndex, HashText(aPrompt));
  std::snprintf(text.data(), text.size(), "%04x ", static_cast<unsigned>(hash & 0xffffU));
  return text.data();
}

auto ExpectedText(std::string_view aPrompt, std::uint64_t aMaxTokens) -> std::string
{
  std::string text;
  const auto count = ExpectedTokens(aPrompt, aMaxTokens);
  for (std::uint64_t i = 0; i < count; ++i) {
    text += ExpectedToken(aPrompt, i);
  }
  return text;
}

auto ExpectedPlainResponse(std::string_view aMethod, std::string_view aPath, std::string_view aBody)
  -> std::string
{
  boost::json::object answer{ { "method", aMethod }, { "path", aPath }, { "echo", aBody } };
  if (aMethod == "GET") {
    answer["in_stock"] = HashText(aPath) % kMaxStock;
  }
  return boost::json::serialize(answer);
}

} // namespace bronzering
