#pragma once

#include <bronzering/base/time.h>
#include <bronzering/fakes/fake_http_server.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bronzering {

struct fake_engine_settings
{
  std::uint16_t mPort = 0;
  std::uint64_t mSeed = 1;
  double mPrefillTokensPerSecond = 8000;
  duration mStepTime = std::chrono::milliseconds(20);
  std::size_t mMaxBatch = 32;
  std::uint64_t mKvTokens = 200'000;
  /// Capacity of the prefix cache in prompt blocks.
  std::size_t mCacheBlocks = 1000;
  /// Delay before a cache event is reported, and the fraction of events that is never reported.
  duration mCacheEventDelay = std::chrono::milliseconds(300);
  double mCacheEventLoss = 0.02;
  /// Age of the load values that are reported.
  duration mLoadLag = std::chrono::milliseconds(500);
  bool mChecksFencing = true;
  std::string mModelVersion = "v3";
};

/// Fake model engine with continuous batching that runs in real time. Requests are admitted as they
/// arrive while the KV cache and the batch have room; prompts are processed at a fixed rate, and
/// each step generates one token per request. A stream continues after its connection is lost,
/// until it is cancelled. Runs on its own threads until it is destroyed.
///
/// POST /control takes a JSON object: "slowdown" (factor of the step time), "drop" (request id
/// whose connection is closed, or "*"), "silent" (request id whose connection stays open without
/// data, or "*"), "crash" (terminates the process). GET /stats reports how often each request id
/// was submitted, and how many commands had a fencing token lower than an earlier one.
class fake_engine
{
public:
  explicit fake_engine(fake_engine_settings aSettings);
  ~fake_engine();
  fake_engine(const fake_engine&) = delete;
  auto operator=(const fake_engine&) -> fake_engine& = delete;

  [[nodiscard]] auto Port() const -> std::uint16_t;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
