#include "fake_engine_batch.h"

#include <bronzering/fakes/fake_text.h>

#include <boost/json.hpp>

#include <algorithm>

namespace bronzering {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxLoadSamples = 1000;
constexpr std::size_t kMaxCacheEvents = 2000;
constexpr std::uint64_t kTokensPerBlock = kPromptBlockBytes / kBytesPerToken;

auto KvNeed(const fake_stream& aStream) -> std::uint64_t
{
  return aStream.mRequest.mPromptTokens + aStream.mRequest.mOutputTokens;
}

auto Usage(const fake_stream& aStream) -> json::object
{
  return { { "prompt_tokens", aStream.mRequest.mPromptTokens },
           { "completion_tokens", aStream.mGenerated },
           { "total_tokens", aStream.mRequest.mPromptTokens + aStream.mGenerated },
           { "prompt_tokens_details", { { "cached_tokens", aStream.mCachedTokens } } } };
}

/// A completion, or a chunk of a streamed one, in the format of the public completions API.
auto Completion(const fake_stream& aStream, json::array aChoices) -> json::object
{
  const auto* suffix = aStream.mRequest.mStream ? ".chunk" : "";
  const auto* object = aStream.mIsChat ? "chat.completion" : "text_completion";
  return { { "id", "cmpl-" + aStream.mId },
           { "object", std::string(object) + (aStream.mIsChat ? suffix : "") },
           { "created", 0 },
           { "model", aStream.mRequest.mModel },
           { "choices", std::move(aChoices) } };
}

auto Choice(const fake_stream& aStream, const std::string& aText, bool aIsLast) -> json::object
{
  json::object choice{ { "index", 0 },
                       { "finish_reason", aIsLast ? json::value("stop") : json::value() } };
  if (!aStream.mIsChat) {
    choice["text"] = aText;
  } else if (aStream.mRequest.mStream) {
    choice["delta"] = { { "content", aText } };
  } else {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  }
  return choice;
}

auto AppendEvent(fake_stream& aStream, const json::object& aEvent) -> void
{
  aStream.mBytes += "data: " + json::serialize(aEvent) + "\n\n";
}

} // namespace

fake_engine_batch::fake_engine_batch(const fake_engine_settings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
{
  RecordLoad({});
}

auto fake_engine_batch::Submit(std::shared_ptr<fake_stream> aStream, steady_time aNow) -> void
{
  mWaiting.push_back(std::move(aStream));
  Admit(aNow);
}

auto fake_engine_batch::Cancel(const std::shared_ptr<fake_stream>& aStream, steady_time aNow)
  -> void
{
  if (aStream->mIsDone || aStream->mIsCancelled) {
    return;
  }
  aStream->mIsCancelled = true;
  const auto running = std::find(mRunning.begin(), mRunning.end(), aStream);
  if (running != mRunning.end()) {
    const auto& stream = **running;
    mWastedPrefill +=
      stream.mRequest.mPromptTokens - stream.mCachedTokens - stream.mPrefillRemaining;
    mUsedKvTokens -= KvNeed(stream);
    mRunning.erase(running);
  } else {
    std::erase(mWaiting, aStream);
  }
  Admit(aNow);
}

auto fake_engine_batch::Admit(steady_time aNow) -> void
{
  while (!mWaiting.empty() && mRunning.size() < mSettings.mMaxBatch &&
         mUsedKvTokens + KvNeed(*mWaiting.front()) <= mSettings.mKvTokens) {
    auto stream = std::move(mWaiting.front());
    mWaiting.pop_front();

    // The last token of a prompt is always processed, even when all its blocks are cached.
    std::uint64_t cachedBlocks = 0;
    while (cachedBlocks < stream->mBlocks.size() && IsCached(stream->mBlocks[cachedBlocks])) {
      ++cachedBlocks;
    }
    stream->mCachedTokens =
      std::min(cachedBlocks * kTokensPerBlock, stream->mRequest.mPromptTokens - 1);
    stream->mPrefillRemaining = stream->mRequest.mPromptTokens - stream->mCachedTokens;
    mUsedKvTokens += KvNeed(*stream);
    mRunning.push_back(std::move(stream));
  }
  RecordLoad(aNow);
}

auto fake_engine_batch::Step(duration aLength, steady_time aNow) -> void
{
  auto budget = static_cast<std::uint64_t>(
    std::max(1.0, ToSeconds(aLength) * mSettings.mPrefillTokensPerSecond));
  for (const auto& stream : mRunning) {
    if (stream->mPrefillRemaining == 0) {
      Generate(*stream);
      continue;
    }
    const auto part = std::min(budget, stream->mPrefillRemaining);
    budget -= part;
    stream->mPrefillRemaining -= part;
    if (stream->mPrefillRemaining == 0) {
      Store(stream->mBlocks, aNow);
    }
  }
  for (const auto& stream : mRunning) {
    if (stream->mIsDone) {
      mUsedKvTokens -= KvNeed(*stream);
    }
  }
  std::erase_if(mRunning, [](const auto& aStream) { return aStream->mIsDone; });
  Admit(aNow);
}

auto fake_engine_batch::Generate(fake_stream& aStream) -> void
{
  if (aStream.mRequest.mStream) {
    const auto token = ExpectedToken(aStream.mRequest.mPrompt, aStream.mGenerated);
    AppendEvent(aStream, Completion(aStream, { Choice(aStream, token, false) }));
  }
  ++aStream.mGenerated;
  if (aStream.mGenerated == aStream.mTotalTokens) {
    Finish(aStream);
  }
}

auto fake_engine_batch::Finish(fake_stream& aStream) -> void
{
  aStream.mIsDone = true;
  if (aStream.mRequest.mStream) {
    auto last = Completion(aStream, {});
    last["usage"] = Usage(aStream);
    AppendEvent(aStream, last);
    aStream.mBytes += "data: [DONE]\n\n";
    return;
  }
  const auto text = ExpectedText(aStream.mRequest.mPrompt, aStream.mRequest.mOutputTokens);
  auto whole = Completion(aStream, { Choice(aStream, text, true) });
  whole["usage"] = Usage(aStream);
  aStream.mBytes = json::serialize(whole);
}

auto fake_engine_batch::Store(const std::vector<prefix_hash>& aBlocks, steady_time aNow) -> void
{
  fake_cache_event event;
  for (const auto block : aBlocks) {
    if (const auto found = mCached.find(block); found != mCached.end()) {
      mLruOrder.erase(found->second);
    } else {
      event.mStored.push_back(block);
    }
    mCached[block] = mLruOrder.insert(mLruOrder.end(), block);
  }
  while (mCached.size() > mSettings.mCacheBlocks) {
    event.mEvicted.push_back(mLruOrder.front());
    mCached.erase(mLruOrder.front());
    mLruOrder.pop_front();
  }
  if (event.mStored.empty() && event.mEvicted.empty()) {
    return;
  }
  event.mSequence = ++mCacheSequence;
  event.mPublishTime = aNow + mSettings.mCacheEventDelay;
  event.mIsLost = mRandom.Uniform01() < mSettings.mCacheEventLoss;
  mCacheEvents.push_back(std::move(event));
  if (mCacheEvents.size() > kMaxCacheEvents) {
    mCacheEvents.pop_front();
  }
}

auto fake_engine_batch::RecordLoad(steady_time aNow) -> void
{
  mLoads.push_back({ aNow, mRunning.size(), mSettings.mKvTokens - mUsedKvTokens });
  if (mLoads.size() > kMaxLoadSamples) {
    mLoads.pop_front();
  }
}

auto fake_engine_batch::LoadAt(steady_time aTime) const -> fake_load_sample
{
  auto result = mLoads.front();
  for (const auto& load : mLoads) {
    if (load.mTime > aTime) {
      break;
    }
    result = load;
  }
  return result;
}

} // namespace bronzering
