#include <bronzering/base/metrics.h>
#include <bronzering/base/overloaded.h>
#include <bronzering/fakes/fake_engine.h>
#include <bronzering/fakes/fake_http_client.h>
#include <bronzering/fakes/fake_text.h>
#include <bronzering/net/engine_client.h>
#include <bronzering/net/prompt_blocks.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

using namespace bronzering;

namespace {

/// Events that the client reported for one request.
struct response_record
{
  std::uint32_t mStatus = 0;
  int mHeads = 0;
  std::string mBody;
  bool mIsContiguous = true;
  std::uint64_t mTokens = 0;
  std::optional<engine_answer_end> mEnd;
  std::vector<engine_failure> mFailures;
};

/// Runs an engine_client on a control thread and records its events, so that tests can wait for
/// them.
class client_fixture
{
public:
  explicit client_fixture(engine_client_settings aSettings)
    : mWork(boost::asio::make_work_guard(mControl))
    , mClient(
        aSettings,
        mControl,
        [this](engine_event aEvent) { Record(aEvent); },
        mMetrics)
    , mThread([this] { mControl.run(); })
  {
    boost::leaf::try_handle_all([&]() -> outcome<void> { return mClient.Start(); },
                                [] { FAIL("the engine client failed to start"); });
  }
  ~client_fixture()
  {
    mControl.stop();
    mThread.join();
  }

  auto Submit(std::uint64_t aSequence, const std::string& aBody, bool aIsChat = false) -> request_id
  {
    const auto request = request_id{ 1, aSequence };
    mClient.Apply(submit_to_engine{
      request, "POST", aIsChat ? "/v1/chat/completions" : "/v1/completions", {}, aBody });
    return request;
  }
  /// Calls aValue under the lock that guards the recorded events.
  template<class Value>
  auto Read(Value aValue)
  {
    const auto lock = std::lock_guard(mMutex);
    return aValue();
  }
  auto AnswerOf(request_id aRequest) -> response_record
  {
    return Read([&] { return mAnswers[aRequest]; });
  }
  template<class Condition>
  auto WaitFor(Condition aCondition) -> void
  {
    auto lock = std::unique_lock(mMutex);
    mChanged.wait(lock, aCondition);
  }
  /// Waits for the end of a request that the test has made fail aFailures times and resumed. Fails
  /// with the client's reason if it fails once more, after which no end would come.
  auto WaitForEnd(request_id aRequest, std::size_t aFailures = 0) -> response_record
  {
    WaitFor([&] {
      const auto& answer = mAnswers[aRequest];
      return answer.mEnd.has_value() || answer.mFailures.size() > aFailures;
    });
    const auto answer = AnswerOf(aRequest);
    if (!answer.mEnd) {
      FAIL("request " << ToString(aRequest) << " failed: " << answer.mFailures.back().mWhat);
    }
    return answer;
  }
  auto WaitForFailure(request_id aRequest) -> response_record
  {
    WaitFor([&] { return !mAnswers[aRequest].mFailures.empty(); });
    return AnswerOf(aRequest);
  }

  std::map<request_id, response_record> mAnswers;
  std::vector<engine_load> mLoads;
  std::vector<engine_cache_event> mCacheEvents;
  std::vector<engine_command_result> mResults;
  std::vector<engine_health> mHealth;

private:
  auto Record(engine_event& aEvent) -> void;

  std::mutex mMutex;
  std::condition_variable mChanged;
  metrics_registry mMetrics;
  boost::asio::io_context mControl;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;

public:
  engine_client mClient;

private:
  std::thread mThread;
};

auto client_fixture::Record(engine_event& aEvent) -> void
{
  const auto lock = std::lock_guard(mMutex);
  std::visit(
    overloaded{
      [&](engine_answer_head& aHead) {
        mAnswers[aHead.mRequest].mStatus = aHead.mStatus;
        ++mAnswers[aHead.mRequest].mHeads;
      },
      [&](engine_answer_data& aData) {
        auto& answer = mAnswers[aData.mRequest];
        answer.mIsContiguous = answer.mIsContiguous && answer.mBody.size() == aData.mOffset;
        answer.mBody += aData.mBytes;
        answer.mTokens = aData.mGeneratedTokens;
      },
      [&](engine_answer_end& aEnd) { mAnswers[aEnd.mRequest].mEnd = aEnd; },
      [&](engine_failure& aFailure) { mAnswers[aFailure.mRequest].mFailures.push_back(aFailure); },
      [&](engine_load& aLoad) { mLoads.push_back(aLoad); },
      [&](engine_cache_event& aCacheEvent) { mCacheEvents.push_back(aCacheEvent); },
      [&](engine_command_result& aResult) { mResults.push_back(aResult); },
      [&](engine_health& aHealth) { mHealth.push_back(aHealth); } },
    aEvent);
  mChanged.notify_all();
}

auto FastEngineSettings() -> fake_engine_settings
{
  fake_engine_settings settings;
  settings.mStepTime = std::chrono::milliseconds(2);
  settings.mPrefillTokensPerSecond = 1e6;
  settings.mCacheEventDelay = std::chrono::milliseconds(10);
  settings.mCacheEventLoss = 0;
  settings.mLoadLag = std::chrono::milliseconds(0);
  return settings;
}

auto ClientSettings(std::uint16_t aPort) -> engine_client_settings
{
  engine_client_settings settings;
  settings.mAddress = "127.0.0.1:" + std::to_string(aPort);
  settings.mLoadInterval = std::chrono::milliseconds(10);
  settings.mCacheEventInterval = std::chrono::milliseconds(10);
  settings.mHealthInterval = std::chrono::milliseconds(10);
  return settings;
}

auto Completion(const std::string& aPrompt, std::uint64_t aTokens, bool aStream = true)
  -> std::string
{
  return R"({"model":"m","prompt":")" + aPrompt + R"(","max_tokens":)" + std::to_string(aTokens) +
         R"(,"stream":)" + (aStream ? "true}" : "false}");
}

auto Control(const fake_engine& aEngine, const std::string& aBody) -> void
{
  fake_http_client client(aEngine.Port());
  REQUIRE(client.Call("POST", "/control", {}, aBody).mStatus == 200);
}

/// Checks that a streamed completion is complete and matches its prompt.
auto CheckCompleteResponse(const response_record& aAnswer,
                           const std::string& aPrompt,
                           std::uint64_t aTokens) -> void
{
  CHECK(aAnswer.mStatus == 200);
  CHECK(aAnswer.mHeads == 1);
  CHECK(aAnswer.mIsContiguous);
  CHECK(StreamedText(aAnswer.mBody) == ExpectedText(aPrompt, aTokens));
  CHECK(aAnswer.mBody.ends_with("data: [DONE]\n\n"));
  CHECK(aAnswer.mTokens == ExpectedTokens(aPrompt, aTokens));
  CHECK(aAnswer.mEnd->mGeneratedTokens == ExpectedTokens(aPrompt, aTokens));
}

} // namespace

TEST_CASE("responses arrive whole and with correct token counts")
{
  // Guards against responses that reach the wrong request and token counts that are charged
  // wrongly.
  fake_engine engine(FastEngineSettings());
  client_fixture fixture(ClientSettings(engine.Port()));
  const auto prompt = std::string(600, 'p');
  for (std::uint64_t i = 0; i < 20; ++i) {
    fixture.Submit(i, Completion(prompt + std::to_string(i), 20));
  }
  for (std::uint64_t i = 0; i < 20; ++i) {
    CheckCompleteResponse(fixture.WaitForEnd({ 1, i }), prompt + std::to_string(i), 20);
  }
  const auto whole = fixture.WaitForEnd(fixture.Submit(90, Completion(prompt + "0", 20, false)));
  CHECK(whole.mBody.find(ExpectedText(prompt + "0", 20)) != std::string::npos);
  CHECK(whole.mEnd->mGeneratedTokens == ExpectedTokens(prompt + "0", 20));
  CHECK(whole.mEnd->mPromptTokens == 151);
  CHECK(whole.mEnd->mCachedTokens == 128);
  const auto refused = fixture.WaitForEnd(fixture.Submit(91, "{"));
  CHECK(refused.mStatus == 400);
}

TEST_CASE("a stream is resumed at the offset where its connection failed")
{
  // Guards against lost or repeated bytes after a resumption, and against effects on other streams.
  fake_engine engine(FastEngineSettings());
  client_fixture fixture(ClientSettings(engine.Port()));
  const auto other = fixture.Submit(1, Completion("other", 400));
  const auto broken = fixture.Submit(2, Completion("broken", 400));
  for (std::size_t i = 1; i <= 3; ++i) {
    fixture.WaitFor([&] { return fixture.mAnswers[broken].mBody.size() > i * 2000; });
    Control(engine, R"({"drop":")" + ToString(broken) + R"("})");
    fixture.WaitFor([&] { return fixture.mAnswers[broken].mFailures.size() == i; });
    CHECK(fixture.AnswerOf(broken).mFailures.back().mStarted);
    fixture.mClient.Apply(resume_engine_stream{ broken, fixture.AnswerOf(broken).mBody.size() });
  }
  CheckCompleteResponse(fixture.WaitForEnd(broken, 3), "broken", 400);
  CheckCompleteResponse(fixture.WaitForEnd(other), "other", 400);
  CHECK(fixture.AnswerOf(other).mFailures.empty());
}

TEST_CASE("a stalled connection is detected and its stream resumed")
{
  // Guards against requests that hang on a connection that stays open without sending data.
  fake_engine engine(FastEngineSettings());
  auto settings = ClientSettings(engine.Port());
  settings.mSilenceTimeout = std::chrono::milliseconds(300);
  client_fixture fixture(settings);
  const auto other = fixture.Submit(1, Completion("other", 400));
  const auto silent = fixture.Submit(2, Completion("silent", 400));
  fixture.WaitFor([&] { return !fixture.mAnswers[silent].mBody.empty(); });
  Control(engine, R"({"silent":")" + ToString(silent) + R"("})");
  CHECK(fixture.WaitForFailure(silent).mFailures.front().mStarted);
  fixture.mClient.Apply(resume_engine_stream{ silent, fixture.AnswerOf(silent).mBody.size() });
  CheckCompleteResponse(fixture.WaitForEnd(silent, 1), "silent", 400);
  CheckCompleteResponse(fixture.WaitForEnd(other), "other", 400);
}

TEST_CASE("a paused stream is not read and a cancelled one stops the engine")
{
  // Guards against unbounded buffering for a slow caller, and against wasted work after a
  // disconnect.
  fake_engine engine(FastEngineSettings());
  client_fixture fixture(ClientSettings(engine.Port()));
  // Paused before its first byte can arrive, since actions are executed in order.
  const auto paused = fixture.Submit(1, Completion("paused", 50));
  fixture.mClient.Apply(pause_engine_stream{ paused, true });
  const auto cancelled = fixture.Submit(2, Completion("cancelled", 100'000));
  CheckCompleteResponse(
    fixture.WaitForEnd(fixture.Submit(3, Completion("later", 300))), "later", 300);
  CHECK(fixture.AnswerOf(paused).mBody.empty());
  fixture.mClient.Apply(pause_engine_stream{ paused, false });
  CheckCompleteResponse(fixture.WaitForEnd(paused), "paused", 50);

  fixture.mClient.Apply(cancel_on_engine{ cancelled });
  fixture.WaitFor([&] { return fixture.mLoads.back().mRunning == 0; });
  CHECK_FALSE(fixture.AnswerOf(cancelled).mEnd);
  fixture.mClient.Apply(resume_engine_stream{ cancelled, 0 });
  CHECK(fixture.WaitForFailure(cancelled).mFailures.front().mWhat.ends_with("404"));
}

TEST_CASE("a call is never sent twice, and reported as not started only when nothing was written")
{
  // Guards against a call that is executed twice: sent again by the client, or by its caller after
  // a false report that it was not started.
  std::atomic<int> calls = 0;
  auto server = std::make_unique<fake_http_server>(
    std::uint16_t{ 0 }, [&](const fake_request& aRequest, fake_response_writer& aAnswer) {
      if (aRequest.mMethod != "POST") {
        aAnswer.Send(200, "{}");
      } else if (++calls > 1) {
        aAnswer.Drop();
      } else {
        aAnswer.Send(200, "first");
      }
    });
  auto settings = ClientSettings(server->Port());
  settings.mKind = service_kind::Plain;
  client_fixture fixture(settings);
  CHECK(fixture.WaitForEnd(fixture.Submit(1, "x")).mBody == "first");
  CHECK(fixture.WaitForFailure(fixture.Submit(2, "x")).mFailures.front().mStarted);
  CHECK(calls == 2);

  server.reset();
  fixture.WaitFor([&] { return !fixture.mHealth.back().mUp; });
  CHECK_FALSE(fixture.WaitForFailure(fixture.Submit(3, "x")).mFailures.front().mStarted);
}

TEST_CASE("commands, load, cache events and KV transfers reach the engine and are reported")
{
  // Guards against commands with a stale fencing token that are reported as accepted.
  fake_engine engine(FastEngineSettings());
  client_fixture fixture(ClientSettings(engine.Port()));
  const auto prompt = std::string(2 * kPromptBlockBytes, 'p');
  fixture.WaitForEnd(fixture.Submit(1, Completion(prompt, 2)));
  fixture.WaitFor([&] { return !fixture.mCacheEvents.empty(); });
  const auto stored = fixture.Read([&] { return fixture.mCacheEvents.front().mStored; });
  CHECK(stored == HashPromptBlocks("m", prompt));

  // Sends one command at a time, as agents do: of two concurrent commands the one with the higher
  // token may arrive first, and the engine then rejects the other.
  fixture.mClient.Apply(send_engine_command{ 7, engine_command_kind::LoadModel, "v4" });
  fixture.WaitFor([&] { return fixture.mResults.size() == 1; });
  fixture.mClient.Apply(send_engine_command{ 9, engine_command_kind::LoadAdapter, "driftwood" });
  fixture.WaitFor([&] { return fixture.mResults.size() == 2; });
  fixture.mClient.Apply(send_engine_command{ 8, engine_command_kind::LoadModel, "v3" });
  fixture.WaitFor([&] { return fixture.mResults.size() == 3; });
  CHECK(fixture.mResults[0].mAccepted);
  CHECK(fixture.mResults[1].mAccepted);
  CHECK_FALSE(fixture.mResults[2].mAccepted);
  CHECK(fixture.mResults[2].mFencingToken == 8);
  CHECK(fixture.mResults[2].mWhat == "the fencing token is below one seen before");
  fixture.WaitFor([&] { return fixture.mLoads.back().mHighestFencingToken == 9; });
  CHECK(fixture.Read([&] { return fixture.mLoads.back().mModelVersion; }) == "v4");

  fake_engine second(FastEngineSettings());
  client_fixture target(ClientSettings(second.Port()));
  std::atomic<bool> isImported = false;
  fixture.mClient.ExportKv(HashPromptBlocks("m", prompt), [&](const kv_transfer& aExport) {
    target.mClient.ImportKv(
      aExport.mBytes, [&](const kv_transfer& aImport) { isImported = aImport.mError.empty(); });
  });
  target.WaitFor([&] { return !target.mCacheEvents.empty(); });
  CHECK(target.Read([&] { return target.mCacheEvents.front().mStored.size(); }) == 2);
  const auto moved = target.WaitForEnd(target.Submit(1, Completion(prompt, 2)));
  CHECK(moved.mEnd->mCachedTokens == 127);
}
