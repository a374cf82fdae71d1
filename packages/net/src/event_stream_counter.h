#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzering {

/// Token counts reported by an engine.
struct engine_usage
{
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mGeneratedTokens = 0;
};

/// Parses the `usage` object of a completion or of its final event; empty when there is none.
/// Thread-safe.
[[nodiscard]] auto ReadUsage(std::string_view aJson) -> std::optional<engine_usage>;

/// Incrementally counts the generated tokens in a stream of server-sent events, one token per
/// event, and parses the usage of its final event. Not thread-safe.
class event_stream_counter
{
public:
  /// aMaxEventBytes limits the buffered part of an event; longer events are counted but not parsed.
  explicit event_stream_counter(std::size_t aMaxEventBytes);

  auto Add(std::string_view aBytes) -> void;
  [[nodiscard]] auto Tokens() const -> std::uint64_t { return mTokens; }
  [[nodiscard]] auto Usage() const -> const std::optional<engine_usage>& { return mUsage; }

private:
  auto OnLine() -> void;

  std::size_t mMaxEventBytes;
  std::string mLine;
  std::uint64_t mTokens = 0;
  std::optional<engine_usage> mUsage;
};

} // namespace bronzering
