#pragma once

#include <bronzering/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace bronzering {

/// An agent's estimate of the contents of its engine's prefix cache: a bounded LRU set of block
/// hashes. Updated from the engine's cache events, which arrive late and with gaps, and corrected
/// by the cached token count that the engine reports with each completed request. Owned by the
/// agent's control thread; not thread-safe.
class prefix_cache_model
{
public:
  explicit prefix_cache_model(std::size_t aMaxBlocks);

  /// Applies a cache event. After a gap in the sequence, blocks recorded earlier are not counted
  /// until they are stored again, since the event of their eviction may have been lost. An event
  /// that is not newer than the last one is ignored.
  auto OnEvent(std::uint64_t aSequence,
               std::span<const prefix_hash> aStored,
               std::span<const prefix_hash> aEvicted) -> void;
  /// Applies the result of a completed request: how much of its prompt was cached when it started.
  /// Afterwards its whole prompt counts as cached.
  auto OnRequestCompleted(std::span<const prefix_hash> aPrefix,
                          std::uint64_t aPromptTokens,
                          std::uint64_t aCachedTokens) -> void;
  /// Clears the estimate after a restart of the engine.
  auto Reset() -> void;

  /// Estimated number of tokens at the start of a prompt that are cached, at most aPromptTokens.
  [[nodiscard]] auto CachedTokens(std::span<const prefix_hash> aPrefix,
                                  std::uint64_t aPromptTokens) const -> std::uint64_t;
  [[nodiscard]] auto size() const -> std::size_t { return mBlocks.size(); }

private:
  struct block
  {
    std::list<prefix_hash>::iterator mLruEntry;
    std::uint64_t mEpoch = 0;
  };

  auto Store(prefix_hash aHash) -> void;
  auto Evict(prefix_hash aHash) -> void;

  std::size_t mMaxBlocks;
  std::uint64_t mLastSequence = 0;
  /// Incremented at each gap in the event sequence; blocks of an earlier epoch are not counted.
  std::uint64_t mEpoch = 0;
  /// Moving average of the share of the estimated tokens that requests found cached.
  double mConfidence = 1;
  std::unordered_map<prefix_hash, block> mBlocks;
  std::list<prefix_hash> mLruOrder;
};

} // namespace bronzering
