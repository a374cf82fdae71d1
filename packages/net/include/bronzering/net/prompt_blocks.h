#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Average number of text bytes per token, for estimates without a tokeniser.
inline constexpr std::size_t kBytesPerToken = 4;
/// Size of a prompt block that is hashed: about 64 tokens.
inline constexpr std::size_t kPromptBlockBytes = 64 * kBytesPerToken;
/// Maximum number of hashed blocks per prompt; limits the size of a ticket.
inline constexpr std::size_t kMaxPromptBlocks = 512;

/// The fields of a completion request that the scheduler needs.
struct completion_request
{
  std::string mModel;
  /// The whole prompt text in order, including message roles.
  std::string mPrompt;
  std::uint64_t mPromptTokens = 0;
  /// Maximum number of output tokens, summed over all choices.
  std::uint64_t mOutputTokens = 0;
  bool mStream = false;
};

/// Parses the JSON body of /v1/completions or /v1/chat/completions. Fails with malformed_input,
/// whose text may be shown to the caller. Thread-safe.
[[nodiscard]] auto ParseCompletionRequest(std::string_view aBody,
                                          std::uint64_t aDefaultOutputTokens)
  -> outcome<completion_request>;

/// Estimates the number of tokens from the text length. Thread-safe.
[[nodiscard]] auto EstimateTokens(std::string_view aText) -> std::uint64_t;

/// Chained hashes of the complete blocks of a prompt, from its start. The chain is seeded with the
/// model name, so that prompts of different models share no hash. Thread-safe.
[[nodiscard]] auto HashPromptBlocks(std::string_view aModel, std::string_view aPrompt)
  -> std::vector<prefix_hash>;

} // namespace bronzering
