#pragma once

#include <bronzering/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace bronzering {

/// What the agent believes to be in its engine's prefix cache: a bounded set of block hashes, least
/// recently used first out. It follows the engine's cache events, which come late and with gaps,
/// and is corrected by the cached tokens that the engine reports with each finished request. Owned
/// by the agent's control thread; not thread-safe.
class prefix_cache_model
{
public:
  explicit prefix_cache_model(std::size_t aMaxBlocks);

  /// Applies an event. After a gap, blocks known before do not count until they are confirmed,
  /// since their eviction may have been lost. An event older than the last one is ignored.
  auto OnEvent(std::uint64_t aSequence,
               std::span<const prefix_hash> aStored,
               std::span<const prefix_hash> aEvicted) -> void;
  /// Learns from a finished request how much of its prompt was cached when it started. Its whole
  /// prompt is cached afterwards.
  auto OnRequestCompleted(std::span<const prefix_hash> aPrefix,
                          std::uint64_t aPromptTokens,
                          std::uint64_t aCachedTokens) -> void;
  /// Forgets everything; the engine has restarted.
  auto Reset() -> void;

  /// Tokens at the start of a prompt that are believed to be cached, at most aPromptTokens.
  [[nodiscard]] auto CachedTokens(std::span<const prefix_hash> aPrefix,
                                  std::uint64_t aPromptTokens) const -> std::uint64_t;
  [[nodiscard]] auto size() const -> std::size_t { return mBlocks.size(); }

private:
  struct block
  {
    std::list<prefix_hash>::iterator mUse;
    std::uint64_t mEpoch = 0;
  };

  auto Store(prefix_hash aHash) -> void;
  auto Evict(prefix_hash aHash) -> void;

  std::size_t mMaxBlocks;
  std::uint64_t mLastSequence = 0;
  /// Counts gaps; blocks of an earlier epoch are unconfirmed.
  std::uint64_t mEpoch = 0;
  /// Share of the claimed tokens that recent requests found cached.
  double mConfidence = 1;
  std::unordered_map<prefix_hash, block> mBlocks;
  std::list<prefix_hash> mUses;
};

} // namespace bronzering
