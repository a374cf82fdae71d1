#include "captured_output.h"
#include "gateway_harness.h"

#include <bronzering/dispatch/hedge_policy.h>

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

#include <array>
#include <memory>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

/// A gateway that hedges, and two endpoints that answer at once until the first request that is
/// late, which is the one after WarmUp.
struct hedging_fixture
{
  hedging_fixture()
  {
    auto document = TestDocument();
    document.mServices[0].mIsModel = false;
    mFixture.Publish(document, { mEndpoints[0].Listed(), mEndpoints[1].Listed() });
  }

  /// Sends as many requests as hedging needs to know their percentile, and no more, so that none of
  /// them is hedged itself.
  auto WarmUp(std::string aPath) -> awaitable<void>
  {
    for (auto count = 0.0; count < hedge_policy::kMinAnswers; ++count) {
      auto text = RequestText(aPath);
      const auto answer = co_await mFixture.Ask(std::move(text));
      REQUIRE(answer);
      REQUIRE(answer->mStatus == 200);
    }
    mIsWarm = true;
  }

  auto React(const http_request& aRequest) -> reaction
  {
    if (!mIsWarm) {
      const auto isStream = aRequest.target().starts_with("/resume/");
      return isStream ? reaction{ Events(aRequest, 1, 2) + "0\r\n\r\n", ending::Keep }
                      : CompleteAnswer(aRequest);
    }
    const auto& script = ++mArrived == 1 ? mFirst : mSecond;
    return script(aRequest);
  }

  [[nodiscard]] auto Count(second_attempt_result aResult) -> std::uint64_t
  {
    const auto labels = fmt::format("service=\"engines\",result=\"{}\"",
                                    std::string(kSecondAttemptResultNames.NameOf(aResult)));
    return mFixture.Metrics().Counter("bronzering_hedges_total", labels).Value();
  }
  /// Connections that the gateway closed before the endpoint had answered.
  [[nodiscard]] auto Disconnects() const -> int
  {
    return mEndpoints[0].Disconnects() + mEndpoints[1].Disconnects();
  }

  int mArrived = 0;
  bool mIsWarm = false;
  scripted_endpoint::script mFirst;
  scripted_endpoint::script mSecond;
  gateway_fixture mFixture{ "127.0.0.1", {}, {}, 30s, 100 };
  std::array<scripted_endpoint, 2> mEndpoints{
    scripted_endpoint{ mFixture.Context(),
                       "e1",
                       [this](const auto& aRequest) { return React(aRequest); } },
    scripted_endpoint{ mFixture.Context(),
                       "e2",
                       [this](const auto& aRequest) { return React(aRequest); } }
  };
};

auto Hang(const http_request&) -> reaction
{
  return { "", ending::Hang };
}

auto Reset(const http_request&) -> reaction
{
  return { "", ending::Reset };
}

/// Answers later than the time to hedge, and sooner than the endpoint counts as stalled.
auto AnswerLate(const http_request& aRequest) -> reaction
{
  return { "", ending::Keep, SealedAnswer(aRequest, "late"), 100ms };
}

auto Decline(const http_request& aRequest) -> reaction
{
  return { "",
           ending::Keep,
           "HTTP/1.1 503 Busy\r\nRequest-Id: " + std::string(aRequest["Request-Id"]) +
             "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
           100ms };
}

} // namespace

TEST_CASE("the first of two attempts to answer is forwarded and the other one is cancelled",
          "[hedged_request]")
{
  auto output = captured_output();
  auto hedging = std::make_unique<hedging_fixture>();
  auto body = std::string("whole");
  auto result = second_attempt_result::Won;
  hedging->mFirst = Hang;
  hedging->mSecond = CompleteAnswer;
  SECTION("the second one") {}
  SECTION("the first one")
  {
    hedging->mFirst = AnswerLate;
    hedging->mSecond = Hang;
    body = "late";
    result = second_attempt_result::Lost;
  }
  hedging->mFixture.Run([&]() -> awaitable<void> {
    co_await hedging->WarmUp("/again/x");
    auto text = RequestText("/again/x");
    const auto answer = co_await hedging->mFixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(answer->mBody == body);
    co_await Pause(20ms);
    CHECK(hedging->mArrived == 2);
    CHECK(hedging->Disconnects() == 1);
    CHECK(hedging->Count(result) == 1);
  });
  const auto log = output.Drain([&] { hedging.reset(); });
  CHECK(log.find("hedge_sent") != std::string::npos);
  CHECK(log.find(fmt::format("\"hedge\":\"{}\"", kSecondAttemptResultNames.NameOf(result))) !=
        std::string::npos);
  CHECK(log.find("attempt_failed") == std::string::npos);
}

// Bytes of two attempts in one stream would make an answer that no endpoint gave.
TEST_CASE("the first event decides which of two streams is forwarded", "[hedged_request]")
{
  auto hedging = hedging_fixture();
  hedging.mFirst = [](const http_request& aRequest) -> reaction {
    auto text = Events(aRequest, 1, 1);
    // Without the last bytes the event is not complete.
    text.resize(text.size() - 4);
    return { text, ending::Hang };
  };
  hedging.mSecond = [](const http_request& aRequest) -> reaction {
    return { Events(aRequest, 1, 3) + "0\r\n\r\n", ending::Keep };
  };
  hedging.mFixture.Run([&]() -> awaitable<void> {
    co_await hedging.WarmUp("/resume/x");
    auto text = RequestText("/resume/x");
    const auto answer = co_await hedging.mFixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mBody == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
    co_await Pause(20ms);
    CHECK(hedging.mArrived == 2);
    CHECK(hedging.Disconnects() == 1);
    CHECK(hedging.Count(second_attempt_result::Won) == 1);
  });
}

TEST_CASE("if one attempt fails the other goes on, and both count against the limit",
          "[hedged_request]")
{
  auto hedging = hedging_fixture();
  auto status = 0U;
  SECTION("the hedge fails")
  {
    hedging.mFirst = AnswerLate;
    hedging.mSecond = Reset;
    status = 200;
  }
  SECTION("both fail, and at least one may have run")
  {
    hedging.mFirst = Decline;
    hedging.mSecond = Reset;
    status = 502;
  }
  SECTION("the first one breaks off, and the error of the other one is forwarded")
  {
    hedging.mFirst = [](const http_request& aRequest) -> reaction {
      return { "", ending::Reset, SealedAnswer(aRequest, "cut off").substr(0, 20), 60ms };
    };
    hedging.mSecond = [](const http_request& aRequest) -> reaction {
      auto text = SealedAnswer(aRequest, "error");
      text.replace(text.find("200 OK"), 6, "500 No");
      return { "", ending::Keep, text, 150ms };
    };
    status = 500;
  }
  SECTION("both are declined, so that the request has not run")
  {
    hedging.mFirst = Decline;
    hedging.mSecond = Decline;
    status = 503;
  }
  hedging.mFixture.Run([&]() -> awaitable<void> {
    co_await hedging.WarmUp("/again/x");
    auto text = RequestText("/again/x");
    const auto answer = co_await hedging.mFixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == status);
    CHECK(hedging.mArrived == 2);
    CHECK(hedging.Count(second_attempt_result::Failed) == 1);
  });
}

TEST_CASE("a caller that leaves cancels both attempts", "[hedged_request]")
{
  auto hedging = hedging_fixture();
  hedging.mFirst = Hang;
  hedging.mSecond = Hang;
  hedging.mFixture.Run([&]() -> awaitable<void> {
    co_await hedging.WarmUp("/again/x");
    auto caller = test_caller(hedging.mFixture.Context());
    co_await caller.Connect(hedging.mFixture.CallerPort());
    auto text = RequestText("/again/x");
    co_await caller.Send(std::move(text));
    for (auto turn = 0; turn < 300 && hedging.mArrived < 2; ++turn) {
      co_await Pause(10ms);
    }
    REQUIRE(hedging.mArrived == 2);
    caller.Close();
    co_await Pause(50ms);
    CHECK(hedging.Disconnects() == 2);
    CHECK(hedging.Count(second_attempt_result::Abandoned) == 1);
  });
}

// A request that is not idempotent would run twice.
TEST_CASE("a request that must not be repeated is never hedged", "[hedged_request]")
{
  auto hedging = hedging_fixture();
  hedging.mFirst = AnswerLate;
  hedging.mSecond = CompleteAnswer;
  hedging.mFixture.Run([&]() -> awaitable<void> {
    co_await hedging.WarmUp("/once/x");
    auto text = RequestText("/once/x");
    const auto answer = co_await hedging.mFixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mBody == "late");
    CHECK(hedging.mArrived == 1);
  });
}
