#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzering {

/// The text that a fake engine generates is a function of the prompt, so that a caller can detect a
/// response that is incomplete or belongs to another request. All functions are thread-safe.

/// Number of tokens generated for a prompt: from aMaxTokens / 2 to aMaxTokens, at least 1.
[[nodiscard]] auto ExpectedTokens(std::string_view aPrompt, std::uint64_t aMaxTokens)
  -> std::uint64_t;
/// One generated token, followed by a space.
[[nodiscard]] auto ExpectedToken(std::string_view aPrompt, std::uint64_t aIndex) -> std::string;
/// All generated tokens of the prompt.
[[nodiscard]] auto ExpectedText(std::string_view aPrompt, std::uint64_t aMaxTokens) -> std::string;
/// Response body of a fake plain service.
[[nodiscard]] auto ExpectedPlainResponse(std::string_view aMethod,
                                         std::string_view aPath,
                                         std::string_view aBody) -> std::string;

} // namespace bronzering
