#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/agent_node.h>
#include <bronzering/testkit/event_loop.h>
#include <bronzering/testkit/job.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace bronzering::testkit {

/// Prompt tokens that one engine has processed.
struct prefill_account
{
  std::uint64_t mProcessed = 0;
  /// Tokens processed for requests that were then cancelled or lost in a crash.
  std::uint64_t mWasted = 0;
};

/// Simulates an endpoint in virtual time. Model engines use continuous batching: each step
/// generates one token for every running request whose prompt is processed and prefills a chunk of
/// the oldest unfinished prompts. They admit requests in order of arrival without priorities and
/// keep an LRU cache of prompt blocks. Plain endpoints serve as many requests as their concurrency
/// allows and queue the rest. Not thread-safe.
class fake_engine : public std::enable_shared_from_this<fake_engine>
{
public:
  using event_sink = std::function<void(engine_event)>;

  fake_engine(event_loop& aLoop, endpoint_config aConfig, event_sink aSink);

  auto Submit(request_id aRequest, const job& aJob) -> void;
  /// Stops the request if it is known. Prompt tokens that were processed for it count as wasted.
  auto Cancel(request_id aRequest) -> void;
  /// Continues a stream from a byte offset. Emits a failure when the request is unknown.
  auto Resume(request_id aRequest, std::uint64_t aOffset) -> void;

  /// Multiplies the duration of steps and plain calls that start from now on.
  auto SetSlowdown(double aFactor) -> void { mSlowdown = aFactor; }
  /// Drops all requests and the cache. Every request, running or waiting, ends with a failure.
  auto Crash() -> void;
  /// Drops the connections of running streams. Generation goes on and the streams can be resumed.
  auto BreakStreams() -> void;

  [[nodiscard]] auto Load() const -> engine_load;
  [[nodiscard]] auto Running() const -> std::size_t { return mRunning.size(); }
  [[nodiscard]] auto Waiting() const -> std::size_t { return mWaiting.size(); }
  [[nodiscard]] auto Prefill() const -> const prefill_account& { return mPrefill; }
  /// Occupied batch slots integrated over time, in seconds.
  [[nodiscard]] auto OccupiedSlotTime() const -> double { return mOccupiedSlotSeconds; }
  /// Whether the prefix up to aHash is cached.
  [[nodiscard]] auto IsCached(prefix_hash aHash) const -> bool { return mCache.contains(aHash); }

private:
  struct running_request
  {
    request_id mRequest;
    job mJob;
    std::uint64_t mCachedTokens = 0;
    std::uint64_t mPrefilled = 0;
    std::uint64_t mGenerated = 0;
    std::uint64_t mSentBytes = 0;
    bool mConnected = true;
  };
  /// Prompt blocks, least recently used first.
  using recency_list = std::list<prefix_hash>;

  auto Admit() -> void;
  auto ScheduleStep() -> void;
  auto FinishStep(std::uint64_t aGeneration) -> void;
  auto Generate(running_request& aRequest) -> void;
  auto StartPlain() -> void;
  auto CachedPrefix(const job& aJob) -> std::uint64_t;
  auto StoreBlocks(const job& aJob) -> void;
  [[nodiscard]] auto KvNeed(const job& aJob) const -> std::uint64_t;
  auto Emit(engine_event aEvent) -> void;

  event_loop& mLoop;
  endpoint_config mConfig;
  event_sink mSink;
  std::deque<std::pair<request_id, job>> mWaiting;
  std::vector<running_request> mRunning;
  std::uint64_t mKvUsed = 0;
  double mSlowdown = 1;
  bool mStepping = false;
  /// Incremented by each crash, so that steps scheduled before the crash are ignored.
  std::uint64_t mGeneration = 0;
  std::uint64_t mStepPrefill = 0;
  recency_list mRecency;
  std::unordered_map<prefix_hash, recency_list::iterator> mCache;
  std::uint64_t mCacheSequence = 0;
  prefill_account mPrefill;
  double mOccupiedSlotSeconds = 0;
  time_point mStepStart;
};

} // namespace bronzering::testkit
