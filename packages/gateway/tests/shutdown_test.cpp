#include "gateway_harness.h"

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

auto Silence(const http_request& /*aRequest*/) -> scripted_endpoint::reaction
{
  return { "", scripted_endpoint::ending::Hang };
}

} // namespace

// Orders that arrived late in a shutdown were passed on and cut off when the process ended.
TEST_CASE("late in a shutdown a request is refused unless it must end before the process",
          "[shutdown]")
{
  auto fixture = gateway_fixture("127.0.0.1", {}, {}, 4s);
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    // Keeps the entry from ending as soon as it is idle.
    auto kept = test_caller(fixture.Context());
    co_await kept.Connect(fixture.CallerPort());
    co_await kept.Send("GET /once/slow HTTP/1.1\r\n");
    fixture.Gateway().Stop();
    co_await Pause(2'900ms);

    auto longText = RequestText("/once/x", "Deadline-Ms: 3000\r\n", "long");
    const auto refused = co_await fixture.Ask(std::move(longText));
    REQUIRE(refused);
    CHECK(refused->mStatus == 503);
    CHECK(refused->mBody.find("\"not_run\":true") != std::string::npos);
    CHECK(refused->mFields.count("Retry-After") == 1);
    CHECK(refused->mFields["Connection"] == "close");
    CHECK(endpoint.Requests().empty());

    auto shortText = RequestText("/once/x", "Deadline-Ms: 300\r\n", "short");
    const auto served = co_await fixture.Ask(std::move(shortText));
    REQUIRE(served);
    CHECK(served->mStatus == 200);
  });
}

TEST_CASE("early in a shutdown requests are served that can end in it, whatever their timeout",
          "[shutdown]")
{
  auto fixture = gateway_fixture("127.0.0.1", {}, {}, 4s);
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    fixture.Gateway().Stop();
    auto shortText = RequestText("/once/x", "Tokens: 10,100\r\n", "short");
    const auto served = co_await fixture.Ask(std::move(shortText));
    REQUIRE(served);
    CHECK(served->mStatus == 200);

    // 2,000 tokens take 8 s at the speed that is assumed of a new endpoint.
    auto longText = RequestText("/once/x", "Tokens: 10,2000\r\n", "long");
    const auto refused = co_await fixture.Ask(std::move(longText));
    REQUIRE(refused);
    CHECK(refused->mStatus == 503);
    CHECK(refused->mBody.find("\"not_run\":true") != std::string::npos);
    CHECK(endpoint.Requests().size() == 1);
  });
}

// A request that could not be retried in time lost the answer that its endpoint was still
// preparing.
TEST_CASE("in a shutdown an answer is not given up for a retry that would end too late",
          "[shutdown]")
{
  auto fixture = gateway_fixture("127.0.0.1", {}, {}, 4s);
  const auto slow = [](const http_request& aRequest) {
    return scripted_endpoint::reaction{
      "", scripted_endpoint::ending::Keep, SealedAnswer(aRequest, "late"), 2'000ms
    };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", slow);
  auto second = scripted_endpoint(fixture.Context(), "e2", slow);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto answer = std::optional<test_caller::answer>();
    // 800 tokens take 3.2 s at the speed that is assumed of a new endpoint.
    StartAsk(fixture, RequestText("/again/x", "Tokens: 10,800\r\n"), answer);
    co_await Pause(20ms);
    fixture.Gateway().Stop();
    co_await Pause(2'500ms);
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(first.Requests().size() + second.Requests().size() == 1);
  });
}

// Callers read an end of the connection where they could have been told what became of the request.
TEST_CASE("requests that outlast a shutdown get a final answer before the process ends",
          "[shutdown]")
{
  auto fixture = gateway_fixture("127.0.0.1", {}, {}, 1s);
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", Silence);
  auto listed = endpoint.Listed();
  listed.mSlots = 1;
  auto document = TestDocument();
  for (auto& route : document.mRoutes) {
    route.mPriority = route.mName == "once" ? 0 : 1;
  }
  fixture.Publish(std::move(document), { std::move(listed) });
  fixture.Run([&]() -> awaitable<void> {
    auto sent = std::optional<test_caller::answer>();
    auto queued = std::optional<test_caller::answer>();
    StartAsk(fixture, RequestText("/once/x", "", "sent"), sent);
    co_await Pause(50ms);
    // Of a lower priority, it waits for a free slot.
    StartAsk(fixture, RequestText("/stream/x", "", "queued"), queued);
    co_await Pause(50ms);
    fixture.Gateway().Stop();
    co_await Pause(900ms);
    REQUIRE(sent);
    CHECK(sent->mStatus == 502);
    CHECK(sent->mBody.find("\"not_run\":\"unknown\"") != std::string::npos);
    REQUIRE(queued);
    CHECK(queued->mStatus == 503);
    CHECK(queued->mBody.find("\"not_run\":true") != std::string::npos);
    CHECK(endpoint.Requests().size() == 1);
  });
}
