#include <bronzering/fakes/fake_engine.h>

#include "fake_engine_batch.h"

#include <bronzering/fakes/fake_text.h>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace bronzering {

namespace json = boost::json;

namespace {

/// Streams kept so that they can be resumed; the oldest is discarded first.
constexpr std::size_t kMaxStreams = 5000;

auto Hex(prefix_hash aBlock) -> std::string
{
  std::array<char, 17> text = {};
  std::snprintf(
    text.data(), text.size(), "%016llx", static_cast<unsigned long long>(aBlock.mValue));
  return text.data();
}

auto HexList(const std::vector<prefix_hash>& aBlocks) -> json::array
{
  json::array list;
  for (const auto block : aBlocks) {
    list.emplace_back(Hex(block));
  }
  return list;
}

auto ParseBody(const std::string& aBody) -> json::object
{
  boost::system::error_code error;
  auto value = json::parse(aBody, error);
  return !error && value.is_object() ? value.get_object() : json::object();
}

auto ParseBlocks(const json::object& aObject) -> std::vector<prefix_hash>
{
  std::vector<prefix_hash> blocks;
  const auto* list = aObject.if_contains("blocks");
  if (list == nullptr || !list->is_array()) {
    return blocks;
  }
  for (const auto& item : list->get_array()) {
    prefix_hash block;
    if (item.is_string()) {
      const auto& text = item.get_string();
      std::from_chars(text.data(), text.data() + text.size(), block.mValue, 16);
      blocks.push_back(block);
    }
  }
  return blocks;
}

auto IsTrue(const json::object& aObject, std::string_view aName) -> bool
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_bool() && value->get_bool();
}

auto TextOf(const json::object& aObject, std::string_view aName) -> std::string
{
  const auto* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

} // namespace

struct fake_engine::state
{
  explicit state(fake_engine_settings aSettings)
    : mSettings(std::move(aSettings))
    , mBatch(mSettings)
    , mModelVersion(mSettings.mModelVersion)
  {
  }

  auto RunBatch() -> void;
  auto Handle(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  auto Complete(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  auto HandleStream(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  auto ServeStream(const std::shared_ptr<fake_stream>& aStream,
                   std::uint64_t aOffset,
                   fake_response_writer& aAnswer) -> void;
  auto Load() -> std::string;
  auto CacheEvents(std::uint64_t aAfter) -> std::string;
  auto Command(const fake_request& aRequest, fake_response_writer& aAnswer) -> void;
  auto ExportKv(const fake_request& aRequest) -> std::string;
  auto ImportKv(const fake_request& aRequest) -> void;
  auto Control(const fake_request& aRequest) -> void;
  auto Stats() -> std::string;

  const fake_engine_settings mSettings;
  std::mutex mMutex;
  std::condition_variable mChanged;
  fake_engine_batch mBatch;
  std::unordered_map<std::string, std::shared_ptr<fake_stream>> mStreams;
  std::deque<std::string> mStreamOrder;
  std::unordered_map<std::string, std::uint64_t> mSubmissions;
  double mSlowdown = 1;
  std::uint64_t mHighestToken = 0;
  std::uint64_t mLowerTokenCommands = 0;
  std::string mModelVersion;
  std::vector<std::string> mAdapters;
  std::string mRole;
  bool mIsStopped = false;
  std::thread mThread;
  std::unique_ptr<fake_http_server> mServer;
};

auto fake_engine::state::RunBatch() -> void
{
  auto lock = std::unique_lock(mMutex);
  while (!mIsStopped) {
    if (mBatch.IsIdle()) {
      mChanged.wait(lock);
      continue;
    }
    const auto length = FromSeconds(ToSeconds(mSettings.mStepTime) * mSlowdown);
    const auto until = std::chrono::steady_clock::now() + length;
    while (!mIsStopped && mChanged.wait_until(lock, until) != std::cv_status::timeout) {
    }
    mBatch.Step(mSettings.mStepTime, std::chrono::steady_clock::now());
    mChanged.notify_all();
  }
}

auto fake_engine::state::Handle(const fake_request& aRequest, fake_response_writer& aAnswer) -> void
{
  const auto& path = aRequest.mPath;
  if (path == "/v1/chat/completions" || path == "/v1/completions") {
    Complete(aRequest, aAnswer);
  } else if (path.starts_with("/v1/streams/")) {
    HandleStream(aRequest, aAnswer);
  } else if (path == "/health") {
    aAnswer.Send(200, "{}");
  } else if (path == "/load") {
    aAnswer.Send(200, Load());
  } else if (path == "/cache-events") {
    aAnswer.Send(200, CacheEvents(aRequest.Number("after", 0)));
  } else if (path == "/commands") {
    Command(aRequest, aAnswer);
  } else if (path == "/kv/export") {
    aAnswer.Send(200, ExportKv(aRequest), "application/octet-stream");
  } else if (path == "/kv/import") {
    ImportKv(aRequest);
    aAnswer.Send(200, "{}");
  } else if (path == "/control") {
    Control(aRequest);
    aAnswer.Send(200, "{}");
  } else if (path == "/stats") {
    aAnswer.Send(200, Stats());
  } else {
    aAnswer.Send(404, "{}");
  }
}

auto fake_engine::state::Complete(const fake_request& aRequest, fake_response_writer& aAnswer)
  -> void
{
  auto request = boost::leaf::try_handle_all(
    [&]() -> outcome<std::optional<completion_request>> {
      BOOST_LEAF_AUTO(parsed, ParseCompletionRequest(aRequest.mBody, 256));
      return std::optional(std::move(parsed));
    },
    [] { return std::optional<completion_request>(); });
  if (!request || request->mPromptTokens + request->mOutputTokens > mSettings.mKvTokens) {
    aAnswer.Send(400, R"({"error":{"message":"the request is malformed or too large"}})");
    return;
  }

  auto stream = std::make_shared<fake_stream>();
  stream->mId = aRequest.Header("X-Request-Id");
  stream->mIsChat = aRequest.mPath == "/v1/chat/completions";
  stream->mTotalTokens = ExpectedTokens(request->mPrompt, request->mOutputTokens);
  stream->mBlocks = HashPromptBlocks(request->mModel, request->mPrompt);
  stream->mRequest = std::move(*request);
  {
    const auto lock = std::lock_guard(mMutex);
    ++mSubmissions[stream->mId];
    mStreams[stream->mId] = stream;
    mStreamOrder.push_back(stream->mId);
    if (mStreamOrder.size() > kMaxStreams) {
      mStreams.erase(mStreamOrder.front());
      mStreamOrder.pop_front();
    }
    mBatch.Submit(stream, std::chrono::steady_clock::now());
  }
  mChanged.notify_all();
  ServeStream(stream, 0, aAnswer);
}

auto fake_engine::state::HandleStream(const fake_request& aRequest, fake_response_writer& aAnswer)
  -> void
{
  std::shared_ptr<fake_stream> stream;
  {
    const auto lock = std::lock_guard(mMutex);
    const auto found = mStreams.find(aRequest.mPath.substr(std::string("/v1/streams/").size()));
    if (found != mStreams.end()) {
      stream = found->second;
    }
    if (stream && aRequest.mMethod == "DELETE") {
      mBatch.Cancel(stream, std::chrono::steady_clock::now());
      mStreams.erase(found);
    }
  }
  mChanged.notify_all();
  if (!stream) {
    aAnswer.Send(404, R"({"error":{"message":"unknown stream"}})");
  } else if (aRequest.mMethod == "DELETE") {
    aAnswer.Send(200, "{}");
  } else {
    ServeStream(stream, aRequest.Number("offset", 0), aAnswer);
  }
}

auto fake_engine::state::ServeStream(const std::shared_ptr<fake_stream>& aStream,
                                     std::uint64_t aOffset,
                                     fake_response_writer& aAnswer) -> void
{
  auto lock = std::unique_lock(mMutex);
  const auto dropGeneration = aStream->mDropGeneration;
  const auto stallGeneration = aStream->mStallGeneration;
  auto offset = static_cast<std::size_t>(aOffset);
  bool isHeadSent = false;
  while (true) {
    mChanged.wait(lock, [&] {
      return mIsStopped || aStream->mIsDone || aStream->mIsCancelled ||
             aStream->mBytes.size() > offset || dropGeneration != aStream->mDropGeneration ||
             stallGeneration != aStream->mStallGeneration;
    });
    if (mIsStopped || aStream->mIsCancelled || dropGeneration != aStream->mDropGeneration ||
        offset > aStream->mBytes.size()) {
      aAnswer.Drop();
      return;
    }
    const auto isStalled = stallGeneration != aStream->mStallGeneration;
    const auto bytes = aStream->mBytes.substr(offset);
    const auto isDone = aStream->mIsDone;

    // Writes without holding the lock, since a slow reader blocks the write.
    lock.unlock();
    if (isStalled) {
      aAnswer.Stall();
      return;
    }
    const auto* type = aStream->mRequest.mStream ? "text/event-stream" : "application/json";
    if (!std::exchange(isHeadSent, true) && !aAnswer.Begin(200, type)) {
      return;
    }
    if (!aAnswer.Write(bytes)) {
      return;
    }
    offset += bytes.size();
    if (isDone) {
      aAnswer.End();
      return;
    }
    lock.lock();
  }
}

auto fake_engine::state::Load() -> std::string
{
  const auto lock = std::lock_guard(mMutex);
  const auto load = mBatch.LoadAt(std::chrono::steady_clock::now() - mSettings.mLoadLag);
  json::array adapters;
  for (const auto& adapter : mAdapters) {
    adapters.emplace_back(adapter);
  }
  return json::serialize(json::object{ { "running", load.mRunning },
                                       { "free_kv_tokens", load.mFreeKvTokens },
                                       { "highest_fencing_token", mHighestToken },
                                       { "model_version", mModelVersion },
                                       { "adapters", std::move(adapters) } });
}

auto fake_engine::state::CacheEvents(std::uint64_t aAfter) -> std::string
{
  const auto lock = std::lock_guard(mMutex);
  const auto now = std::chrono::steady_clock::now();
  json::array events;
  std::uint64_t latest = 0;
  for (const auto& event : mBatch.CacheEvents()) {
    if (event.mPublishTime > now) {
      break;
    }
    latest = event.mSequence;
    if (event.mSequence > aAfter && !event.mIsLost) {
      events.push_back({ { "sequence", event.mSequence },
                         { "stored", HexList(event.mStored) },
                         { "evicted", HexList(event.mEvicted) } });
    }
  }
  return json::serialize(json::object{ { "latest", latest }, { "events", std::move(events) } });
}

auto fake_engine::state::Command(const fake_request& aRequest, fake_response_writer& aAnswer)
  -> void
{
  const auto command = ParseBody(aRequest.mBody);
  const auto* kind = command.if_contains("command");
  const auto* argument = command.if_contains("argument");
  const auto* token = command.if_contains("fencing_token");
  if (kind == nullptr || !kind->is_string() || argument == nullptr || !argument->is_string() ||
      token == nullptr || !token->is_int64()) {
    aAnswer.Send(400, R"({"what":"malformed command"})");
    return;
  }

  const auto lock = std::lock_guard(mMutex);
  const auto number = static_cast<std::uint64_t>(token->get_int64());
  if (number < mHighestToken) {
    ++mLowerTokenCommands;
    if (mSettings.mChecksFencing) {
      aAnswer.Send(409, R"({"what":"the fencing token is below one seen before"})");
      return;
    }
  }
  mHighestToken = std::max(mHighestToken, number);
  const std::string text(argument->get_string());
  if (kind->get_string() == "load_model") {
    mModelVersion = text;
  } else if (kind->get_string() == "load_adapter") {
    mAdapters.push_back(text);
  } else {
    mRole = text;
  }
  aAnswer.Send(200, R"({"accepted":true})");
}

auto fake_engine::state::ExportKv(const fake_request& aRequest) -> std::string
{
  const auto lock = std::lock_guard(mMutex);
  auto blocks = ParseBlocks(ParseBody(aRequest.mBody));
  std::erase_if(blocks, [this](prefix_hash aBlock) { return !mBatch.IsCached(aBlock); });
  return json::serialize(json::object{ { "blocks", HexList(blocks) } });
}

auto fake_engine::state::ImportKv(const fake_request& aRequest) -> void
{
  const auto lock = std::lock_guard(mMutex);
  mBatch.Store(ParseBlocks(ParseBody(aRequest.mBody)), std::chrono::steady_clock::now());
}

auto fake_engine::state::Control(const fake_request& aRequest) -> void
{
  const auto control = ParseBody(aRequest.mBody);
  if (IsTrue(control, "crash")) {
    std::_Exit(EXIT_FAILURE);
  }
  const auto lock = std::lock_guard(mMutex);
  if (const auto* slowdown = control.if_contains("slowdown"); slowdown && slowdown->is_number()) {
    mSlowdown = std::max(0.01, slowdown->to_number<double>());
  }
  const auto drop = TextOf(control, "drop");
  const auto silent = TextOf(control, "silent");
  for (const auto& [id, stream] : mStreams) {
    stream->mDropGeneration += drop == "*" || drop == id ? 1 : 0;
    stream->mStallGeneration += silent == "*" || silent == id ? 1 : 0;
  }
  mChanged.notify_all();
}

auto fake_engine::state::Stats() -> std::string
{
  const auto lock = std::lock_guard(mMutex);
  json::object submits;
  for (const auto& [id, count] : mSubmissions) {
    submits[id] = count;
  }
  return json::serialize(json::object{ { "submits", std::move(submits) },
                                       { "wasted_prefill_tokens", mBatch.WastedPrefill() },
                                       { "lower_token_commands", mLowerTokenCommands },
                                       { "role", mRole } });
}

fake_engine::fake_engine(fake_engine_settings aSettings)
  : mState(std::make_unique<state>(std::move(aSettings)))
{
  mState->mServer = std::make_unique<fake_http_server>(
    mState->mSettings.mPort,
    [state = mState.get()](const fake_request& aRequest, fake_response_writer& aAnswer) {
      state->Handle(aRequest, aAnswer);
    });
  mState->mThread = std::thread([state = mState.get()] { state->RunBatch(); });
}

fake_engine::~fake_engine()
{
  {
    const auto lock = std::lock_guard(mState->mMutex);
    mState->mIsStopped = true;
  }
  mState->mChanged.notify_all();
  mState->mThread.join();
  mState->mServer.reset();
}

auto fake_engine::Port() const -> std::uint16_t
{
  return mState->mServer->Port();
}

} // namespace bronzering
