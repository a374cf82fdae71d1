#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/random_source.h>
#include <bronzering/fakes/fake_engine.h>
#include <bronzering/net/prompt_blocks.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzering {

using steady_time = std::chrono::steady_clock::time_point;

/// One request on a fake engine and the response generated so far.
struct fake_stream
{
  std::string mId;
  completion_request mRequest;
  bool mIsChat = false;
  std::uint64_t mTotalTokens = 0;
  std::uint64_t mPrefillRemaining = 0;
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mGenerated = 0;
  std::vector<prefix_hash> mBlocks;
  /// Response body generated so far; kept whole, so that a stream can be resumed at any offset.
  std::string mBytes;
  bool mIsDone = false;
  bool mIsCancelled = false;
  /// Incremented to drop or stall the connections that serve the stream at that time.
  std::uint64_t mDropGeneration = 0;
  std::uint64_t mStallGeneration = 0;
};

struct fake_cache_event
{
  std::uint64_t mSequence = 0;
  std::vector<prefix_hash> mStored;
  std::vector<prefix_hash> mEvicted;
  steady_time mPublishTime;
  bool mIsLost = false;
};

struct fake_load_sample
{
  steady_time mTime;
  std::size_t mRunning = 0;
  std::uint64_t mFreeKvTokens = 0;
};

/// Batch and prefix cache of a fake engine. Not thread-safe: guarded by the engine's mutex.
class fake_engine_batch
{
public:
  explicit fake_engine_batch(const fake_engine_settings& aSettings);

  auto Submit(std::shared_ptr<fake_stream> aStream, steady_time aNow) -> void;
  /// Removes the stream from the batch or the queue.
  auto Cancel(const std::shared_ptr<fake_stream>& aStream, steady_time aNow) -> void;
  /// Executes one batch step of the given duration.
  auto Step(duration aLength, steady_time aNow) -> void;
  [[nodiscard]] auto IsIdle() const -> bool { return mRunning.empty(); }

  [[nodiscard]] auto LoadAt(steady_time aTime) const -> fake_load_sample;
  [[nodiscard]] auto CacheEvents() const -> const std::deque<fake_cache_event>&
  {
    return mCacheEvents;
  }
  [[nodiscard]] auto IsCached(prefix_hash aBlock) const -> bool { return mCached.contains(aBlock); }
  /// Inserts blocks into the cache, evicting the least recently used ones.
  auto Store(const std::vector<prefix_hash>& aBlocks, steady_time aNow) -> void;
  /// Prompt tokens processed for requests that were cancelled before they finished.
  [[nodiscard]] auto WastedPrefill() const -> std::uint64_t { return mWastedPrefill; }

private:
  auto Admit(steady_time aNow) -> void;
  auto Generate(fake_stream& aStream) -> void;
  auto Finish(fake_stream& aStream) -> void;
  auto RecordLoad(steady_time aNow) -> void;

  const fake_engine_settings& mSettings;
  random_source mRandom;
  std::deque<std::shared_ptr<fake_stream>> mWaiting;
  std::vector<std::shared_ptr<fake_stream>> mRunning;
  std::uint64_t mUsedKvTokens = 0;
  std::uint64_t mWastedPrefill = 0;
  std::deque<fake_load_sample> mLoads;
  /// Least recently used block first.
  std::list<prefix_hash> mLruOrder;
  std::unordered_map<prefix_hash, std::list<prefix_hash>::iterator> mCached;
  std::deque<fake_cache_event> mCacheEvents;
  std::uint64_t mCacheSequence = 0;
};

} // namespace bronzering
