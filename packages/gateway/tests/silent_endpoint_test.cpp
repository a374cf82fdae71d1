#include "gateway_harness.h"

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

constexpr auto kWholeStream =
  std::string_view("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                   "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n");

/// The events from aFirst to aLast and the end of the response, without a header.
auto LastEvents(const http_request& aRequest, int aFirst, int aLast) -> std::string
{
  auto text = Events(aRequest, aFirst, aLast) + "0\r\n\r\n";
  text.erase(0, text.find("\r\n\r\n") + 4);
  return text;
}

/// Six events with aSilence in the middle.
auto PausingStream(const http_request& aRequest, std::chrono::milliseconds aSilence) -> reaction
{
  return { Events(aRequest, 1, 3), ending::Keep, LastEvents(aRequest, 4, 6), aSilence };
}

auto Decline(const http_request& aRequest) -> reaction
{
  const auto id = std::string(aRequest["Request-Id"]);
  return { "HTTP/1.1 503 Busy\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
           ending::Keep };
}

} // namespace

// The entry gave up an answer in the making, and the endpoint that it chose instead did not take
// the request.
TEST_CASE("an answer is not lost when no other endpoint takes over from a silent one",
          "[silent_endpoint]")
{
  auto fixture = gateway_fixture();
  auto path = std::string("/resume/x");
  auto body = std::string(kWholeStream);
  auto runs = 0;
  auto onTakeover = reaction{ "", ending::Close };
  const auto script = [&](const http_request& aRequest) -> reaction {
    if (++runs > 1) {
      return onTakeover.mText.empty() ? onTakeover : Decline(aRequest);
    }
    return path == "/resume/x"
             ? PausingStream(aRequest, 1'300ms)
             : reaction{ "", ending::Keep, SealedAnswer(aRequest, "slow"), 1'300ms };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  SECTION("a stream, and the other endpoint is full")
  {
    onTakeover.mText = "declines";
  }
  SECTION("a stream, and the other endpoint breaks off") {}
  SECTION("an answer as a whole, and the other endpoint is full")
  {
    path = "/again/x";
    body = "slow";
    onTakeover.mText = "declines";
  }
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto text = RequestText(path);
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(answer->mBody == body);
    CHECK(runs == 2);
  });
}

// The error of an endpoint was dropped for a retry that then brought no answer, so the caller got
// 502 without the endpoint's reason.
TEST_CASE("an endpoint's error is not lost when its retry brings no answer", "[silent_endpoint]")
{
  auto fixture = gateway_fixture();
  auto runs = 0;
  auto isDeclined = false;
  const auto script = [&](const http_request& aRequest) -> reaction {
    if (++runs > 1) {
      return isDeclined ? Decline(aRequest) : reaction{ "", ending::Close };
    }
    auto failure = SealedAnswer(aRequest, "out of stock");
    failure.replace(failure.find("200"), 3, "500");
    return { std::move(failure), ending::Keep };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  SECTION("the other endpoint is full")
  {
    isDeclined = true;
  }
  SECTION("the other endpoint breaks off") {}
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    const auto answer = co_await fixture.Ask(RequestText("/again/x"));
    REQUIRE(answer);
    CHECK(answer->mStatus == 500);
    CHECK(answer->mBody == "out of stock");
    CHECK(answer->mFields["Seal"] == "s-r1");
    CHECK(runs == 2);
  });
}

// Both endpoints went on with the stream, so that events came twice or an endpoint worked in vain.
TEST_CASE("of a silent endpoint and its takeover, the first to send an event goes on alone",
          "[silent_endpoint]")
{
  auto fixture = gateway_fixture();
  auto runs = 0;
  auto isFirstBack = false;
  const auto script = [&](const http_request& aRequest) -> reaction {
    if (++runs == 1) {
      return isFirstBack ? PausingStream(aRequest, 1'300ms)
                         : reaction{ Events(aRequest, 1, 3), ending::Hang };
    }
    CHECK(aRequest["Last-Event-Id"] == "3");
    return isFirstBack
             ? reaction{ "", ending::Hang }
             : reaction{ Events(aRequest, 4, 5), ending::Keep, LastEvents(aRequest, 6, 6), 300ms };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  SECTION("the takeover") {}
  SECTION("the first endpoint, which is back")
  {
    isFirstBack = true;
  }
  fixture.Run([&]() -> awaitable<void> {
    const auto answer = co_await fixture.Ask(RequestText("/resume/x"));
    REQUIRE(answer);
    CHECK(answer->mBody == kWholeStream);
    CHECK(runs == 2);
    while (first.Disconnects() + second.Disconnects() == 0) {
      co_await Pause(5ms);
    }
  });
}

// A caller that stopped reading for a second was taken for a silent endpoint, whose stream was then
// given up.
TEST_CASE("a caller that reads slowly is not taken for a silent endpoint", "[silent_endpoint]")
{
  constexpr auto kEvents = 7'000;
  auto fixture = gateway_fixture();
  auto runs = 0;
  const auto script = [&](const http_request& aRequest) -> reaction {
    ++runs;
    // More than the buffers of the sockets hold, in events of a kilobyte.
    auto text = Events(aRequest, 1, 1);
    const auto filler = std::string(1'000, 'x');
    for (auto id = 2; id <= kEvents; ++id) {
      const auto event = fmt::format("id: {}\ndata: {}\n\n", id, filler);
      text += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    return { text + "0\r\n\r\n", ending::Keep };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto caller = test_caller(fixture.Context());
    co_await caller.Connect(fixture.CallerPort());
    co_await caller.Send(RequestText("/resume/x"));
    co_await Pause(1'500ms);
    const auto answer = co_await caller.Read();
    REQUIRE(answer);
    CHECK(answer->mBody.find(fmt::format("id: {}\n", kEvents)) != std::string::npos);
    CHECK(runs == 1);
  });
}
