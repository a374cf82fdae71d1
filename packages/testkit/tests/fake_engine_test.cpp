#include <bronzering/base/overloaded.h>
#include <bronzering/testkit.h>

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace bronzering::testkit;
using namespace std::chrono_literals;

namespace {

/// A model endpoint and the events that it emitted.
struct engine_fixture
{
  event_loop mLoop;
  std::map<std::uint64_t, std::string> mAnswers;
  std::map<std::uint64_t, engine_answer_end> mEnds;
  std::vector<std::uint64_t> mFailures;
  std::shared_ptr<fake_engine> mEngine;

  explicit engine_fixture(std::uint32_t aBatch = 4, std::uint64_t aKvTokens = 10'000)
  {
    auto config = endpoint_config{ .mName = "engine",
                                   .mKind = service_kind::Model,
                                   .mMaxConcurrency = aBatch,
                                   .mKvTokens = aKvTokens,
                                   .mPrefillTokensPerSecond = 10'000,
                                   .mStepTime = 20ms };
    mEngine = std::make_shared<fake_engine>(mLoop, config, [this](const engine_event& aEvent) {
      std::visit(
        overloaded{
          [&](const engine_answer_data& aData) {
            CHECK(aData.mOffset == mAnswers[aData.mRequest.mSequence].size());
            mAnswers[aData.mRequest.mSequence] += aData.mBytes;
          },
          [&](const engine_answer_end& aEnd) { mEnds[aEnd.mRequest.mSequence] = aEnd; },
          [&](const engine_failure& aFailure) { mFailures.push_back(aFailure.mRequest.mSequence); },
          [](const auto&) {},
        },
        aEvent);
    });
  }

  auto Submit(std::uint64_t aNumber, std::uint64_t aPrompt, std::uint64_t aOutput) -> job
  {
    auto result =
      job{ .mExchange = { aNumber }, .mPromptTokens = aPrompt, .mOutputTokens = aOutput };
    for (auto block = std::uint64_t{ 0 }; (block + 1) * kTokensPerBlock <= aPrompt; ++block) {
      result.mPrefix.push_back(prefix_hash{ block + 1 });
    }
    mEngine->Submit({ 1, aNumber }, result);
    return result;
  }
};

} // namespace

TEST_CASE("an engine answers every request with its own whole answer", "[fake_engine]")
{
  auto fixture = engine_fixture{};
  const auto first = fixture.Submit(1, 200, 10);
  const auto second = fixture.Submit(2, 50, 3);
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 10s);

  CHECK(fixture.mAnswers[1] == WholeAnswer(first));
  CHECK(fixture.mAnswers[2] == WholeAnswer(second));
  CHECK(fixture.mEngine->Running() == 0);
  CHECK(fixture.mEngine->Prefill().mWasted == 0);
}

TEST_CASE("a repeated prompt is served from the prefix cache", "[fake_engine]")
{
  auto fixture = engine_fixture{};
  fixture.Submit(1, 640, 2);
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 10s);
  fixture.Submit(2, 640, 2);
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 10s);

  CHECK(fixture.mEnds[1].mCachedTokens == 0);
  CHECK(fixture.mEnds[2].mCachedTokens == 639);
  CHECK(fixture.mEngine->Prefill().mProcessed == 641);
}

TEST_CASE("an engine never runs more requests than its batch and its KV memory allow",
          "[fake_engine]")
{
  auto fixture = engine_fixture(2, 1000);
  for (auto number = std::uint64_t{ 1 }; number <= 5; ++number) {
    fixture.Submit(number, 300, 100);
  }
  CHECK(fixture.mEngine->Running() == 2);
  CHECK(fixture.mEngine->Waiting() == 3);
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 60s);
  CHECK(fixture.mEnds.size() == 5);
}

TEST_CASE("a broken stream resumes without loss or repetition", "[fake_engine]")
{
  auto fixture = engine_fixture{};
  const auto sent = fixture.Submit(1, 100, 50);
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 300ms);
  fixture.mEngine->BreakStreams();
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 5s);
  REQUIRE(fixture.mFailures == std::vector<std::uint64_t>{ 1 });
  CHECK(fixture.mEnds.empty());

  fixture.mEngine->Resume({ 1, 1 }, fixture.mAnswers[1].size());
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 5s);
  CHECK(fixture.mAnswers[1] == WholeAnswer(sent));
  CHECK(fixture.mEnds.size() == 1);
}

TEST_CASE("prompt work of cancelled requests counts as wasted", "[fake_engine]")
{
  auto fixture = engine_fixture{};
  fixture.Submit(1, 1000, 50);
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 5s);
  fixture.Submit(2, 90, 50);
  fixture.mLoop.RunUntil(fixture.mLoop.Now() + 100ms);
  fixture.mEngine->Cancel({ 1, 2 });
  // One block of the second prompt was cached, so only the rest had to be processed.
  CHECK(fixture.mEngine->Prefill().mWasted == 90 - kTokensPerBlock);
  CHECK(fixture.mEngine->Running() == 0);
}
