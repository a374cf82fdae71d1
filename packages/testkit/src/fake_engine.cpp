#include <bronzering/testkit/fake_engine.h>

#include <algorithm>
#include <utility>

namespace bronzering::testkit {

namespace {

/// Limit of prompt tokens processed in one step (chunked prefill).
constexpr std::uint64_t kPrefillChunk = 256;
/// Fraction of the step time that does not depend on the batch size.
constexpr auto kFixedStepShare = 0.4;
/// The prefix cache may hold 1 / kCacheDivisor of the KV memory.
constexpr std::uint64_t kCacheDivisor = 2;

} // namespace

fake_engine::fake_engine(event_loop& aLoop, endpoint_config aConfig, event_sink aSink)
  : mLoop(aLoop)
  , mConfig(std::move(aConfig))
  , mSink(std::move(aSink))
{
}

auto fake_engine::Submit(request_id aRequest, const job& aJob) -> void
{
  mWaiting.emplace_back(aRequest, aJob);
  if (mConfig.mKind == service_kind::Plain) {
    StartPlain();
  } else {
    Admit();
    ScheduleStep();
  }
}

auto fake_engine::StartPlain() -> void
{
  while (!mWaiting.empty() && mRunning.size() < mConfig.mMaxConcurrency) {
    auto [request, next] = std::move(mWaiting.front());
    mWaiting.pop_front();
    const auto time = FromSeconds(ToSeconds(next.mServiceTime) * mSlowdown);
    mRunning.push_back({ .mRequest = request, .mJob = next });
    mLoop.After(time, [self = shared_from_this(), id = request, generation = mGeneration] {
      const auto found = std::ranges::find(self->mRunning, id, &running_request::mRequest);
      if (generation != self->mGeneration || found == self->mRunning.end()) {
        return;
      }
      const auto body = WholeAnswer(found->mJob);
      self->mRunning.erase(found);
      self->Emit(engine_answer_head{ id, 200, {} });
      self->Emit(engine_answer_data{ id, 0, body, 0 });
      self->Emit(engine_answer_end{ id, 0, 0, 0 });
      self->StartPlain();
    });
  }
}

auto fake_engine::KvNeed(const job& aJob) const -> std::uint64_t
{
  return aJob.mPromptTokens + aJob.mOutputTokens;
}

auto fake_engine::Admit() -> void
{
  while (!mWaiting.empty() && mRunning.size() < mConfig.mMaxConcurrency) {
    const auto& [request, next] = mWaiting.front();
    if (mKvUsed + KvNeed(next) > mConfig.mKvTokens) {
      return;
    }
    mKvUsed += KvNeed(next);
    const auto cached = CachedPrefix(next);
    mRunning.push_back(
      { .mRequest = request, .mJob = next, .mCachedTokens = cached, .mPrefilled = cached });
    mWaiting.pop_front();
  }
}

auto fake_engine::ScheduleStep() -> void
{
  if (mStepping || mRunning.empty()) {
    return;
  }
  mStepping = true;
  mStepStart = mLoop.Now();

  // Splits the chunk among unfinished prompts, oldest first.
  mStepPrefill = 0;
  for (auto& running : mRunning) {
    const auto left = running.mJob.mPromptTokens - running.mPrefilled;
    const auto part = std::min(left, kPrefillChunk - mStepPrefill);
    running.mPrefilled += part;
    mStepPrefill += part;
    mPrefill.mProcessed += part;
  }

  const auto fill =
    static_cast<double>(mRunning.size()) / static_cast<double>(mConfig.mMaxConcurrency);
  const auto decode =
    ToSeconds(mConfig.mStepTime) * (kFixedStepShare + (1 - kFixedStepShare) * fill);
  const auto prefill = static_cast<double>(mStepPrefill) / mConfig.mPrefillTokensPerSecond;
  mLoop.After(
    FromSeconds((decode + prefill) * mSlowdown),
    [self = shared_from_this(), generation = mGeneration] { self->FinishStep(generation); });
}

auto fake_engine::FinishStep(std::uint64_t aGeneration) -> void
{
  if (aGeneration != mGeneration) {
    return;
  }
  mStepping = false;
  mOccupiedSlotSeconds +=
    ToSeconds(mLoop.Now() - mStepStart) * static_cast<double>(mRunning.size());

  // Sinks may submit or cancel requests, which changes mRunning, so the ids are collected first.
  auto generating = std::vector<request_id>{};
  for (const auto& running : mRunning) {
    if (running.mPrefilled == running.mJob.mPromptTokens) {
      generating.push_back(running.mRequest);
    }
  }
  for (const auto id : generating) {
    const auto found = std::ranges::find(mRunning, id, &running_request::mRequest);
    if (found != mRunning.end()) {
      Generate(*found);
    }
  }
  Admit();
  ScheduleStep();
}

auto fake_engine::Generate(running_request& aRequest) -> void
{
  const auto id = aRequest.mRequest;
  const auto first = aRequest.mGenerated == 0;
  if (first) {
    StoreBlocks(aRequest.mJob);
  }
  auto piece = AnswerPiece(aRequest.mJob, aRequest.mGenerated);
  const auto offset = aRequest.mSentBytes;
  aRequest.mSentBytes += piece.size();
  ++aRequest.mGenerated;
  const auto generated = aRequest.mGenerated;
  const auto finished = generated == aRequest.mJob.mOutputTokens;
  const auto connected = aRequest.mConnected;
  const auto end =
    engine_answer_end{ id, aRequest.mJob.mPromptTokens, aRequest.mCachedTokens, generated };
  if (finished && connected) {
    mKvUsed -= KvNeed(aRequest.mJob);
    std::erase_if(mRunning, [&](const auto& aRunning) { return aRunning.mRequest == id; });
  }
  if (!connected) {
    if (finished) {
      // Repeats the last token in each step until the stream is resumed or cancelled, since a
      // finished request can only be reported over a connected stream.
      --aRequest.mGenerated;
      aRequest.mSentBytes = offset;
    }
    return;
  }
  if (first) {
    Emit(engine_answer_head{ id, 200, {} });
  }
  Emit(engine_answer_data{ id, offset, std::move(piece), generated });
  if (finished) {
    Emit(end);
  }
}

auto fake_engine::Cancel(request_id aRequest) -> void
{
  std::erase_if(mWaiting, [&](const auto& aWaiting) { return aWaiting.first == aRequest; });
  const auto found = std::ranges::find(mRunning, aRequest, &running_request::mRequest);
  if (found == mRunning.end()) {
    return;
  }
  if (mConfig.mKind == service_kind::Model) {
    mPrefill.mWasted += found->mPrefilled - found->mCachedTokens;
    mKvUsed -= KvNeed(found->mJob);
  }
  mRunning.erase(found);
  if (mConfig.mKind == service_kind::Plain) {
    StartPlain();
  }
}

auto fake_engine::Resume(request_id aRequest, std::uint64_t aOffset) -> void
{
  const auto found = std::ranges::find(mRunning, aRequest, &running_request::mRequest);
  if (found == mRunning.end()) {
    Emit(engine_failure{ aRequest, true, "unknown stream" });
    return;
  }
  found->mConnected = true;
  auto missed = std::string{};
  for (auto index = std::uint64_t{ 0 }; index < found->mGenerated; ++index) {
    missed += AnswerPiece(found->mJob, index);
  }
  if (aOffset < missed.size()) {
    Emit(engine_answer_data{ aRequest, aOffset, missed.substr(aOffset), found->mGenerated });
  }
}

auto fake_engine::BreakStreams() -> void
{
  auto broken = std::vector<request_id>{};
  for (auto& running : mRunning) {
    running.mConnected = false;
    broken.push_back(running.mRequest);
  }
  for (const auto id : broken) {
    Emit(engine_failure{ id, true, "connection reset" });
  }
}

auto fake_engine::Crash() -> void
{
  auto lost = std::vector<request_id>{};
  for (const auto& running : mRunning) {
    mPrefill.mWasted += running.mPrefilled - running.mCachedTokens;
    lost.push_back(running.mRequest);
  }
  for (const auto& waiting : mWaiting) {
    lost.push_back(waiting.first);
  }
  mRunning.clear();
  mWaiting.clear();
  mCache.clear();
  mRecency.clear();
  mKvUsed = 0;
  mStepping = false;
  ++mGeneration;
  for (const auto id : lost) {
    Emit(engine_failure{ id, true, "engine crashed" });
  }
}

auto fake_engine::CachedPrefix(const job& aJob) -> std::uint64_t
{
  auto blocks = std::uint64_t{ 0 };
  for (const auto hash : aJob.mPrefix) {
    const auto found = mCache.find(hash);
    if (found == mCache.end()) {
      break;
    }
    mRecency.splice(mRecency.end(), mRecency, found->second);
    ++blocks;
  }
  // The last prompt token is always computed, since the first output token depends on it.
  return std::min(blocks * kTokensPerBlock, aJob.mPromptTokens - 1);
}

auto fake_engine::StoreBlocks(const job& aJob) -> void
{
  const auto capacity = mConfig.mKvTokens / kCacheDivisor / kTokensPerBlock;
  auto event = engine_cache_event{ .mSequence = ++mCacheSequence };
  for (const auto hash : aJob.mPrefix) {
    if (mCache.contains(hash)) {
      continue;
    }
    if (mCache.size() >= capacity) {
      event.mEvicted.push_back(mRecency.front());
      mCache.erase(mRecency.front());
      mRecency.pop_front();
    }
    mCache.emplace(hash, mRecency.insert(mRecency.end(), hash));
    event.mStored.push_back(hash);
  }
  // Real engines publish cache events late and lose some; here every tenth is lost.
  constexpr auto kEventDelay = std::chrono::milliseconds(300);
  if (!event.mStored.empty() && event.mSequence % 10 != 0) {
    mLoop.After(kEventDelay,
                [self = shared_from_this(), event = std::move(event)] { self->Emit(event); });
  }
}

auto fake_engine::Load() const -> engine_load
{
  return { .mRunning = static_cast<std::uint32_t>(mRunning.size() + mWaiting.size()),
           .mFreeKvTokens = mConfig.mKvTokens - mKvUsed,
           .mModelVersion = mConfig.mModelVersion,
           .mAdapters = mConfig.mAdapters };
}

auto fake_engine::Emit(engine_event aEvent) -> void
{
  if (mSink) {
    mSink(std::move(aEvent));
  }
}

} // namespace bronzering::testkit
