#include "gateway_harness.h"

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

TEST_CASE("an unauthenticated or incomplete response never reaches the caller as a success",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto text = std::string();
  auto last = ending::Close;
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", [&](const http_request&) -> reaction {
    return { text, last };
  });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  SECTION("a success without a seal")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok";
  }
  SECTION("a truncated response")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nContent-Length: 20\r\n\r\nok";
  }
  SECTION("a response without a length that ends with a reset")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nConnection: close\r\n\r\nok";
    last = ending::Reset;
  }
  SECTION("bytes that are not HTTP")
  {
    text = "garbage\r\n\r\n";
  }
  SECTION("no bytes at all") {}
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText("/once/x");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    CHECK(answer->mStatus == 502);
    // The endpoint may have executed the request, and the route allows it only once: no retry.
    CHECK(endpoint.Requests().size() == 1);
  });
}

TEST_CASE("a response to another request is skipped", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint =
    scripted_endpoint(fixture.Context(), "e1", [](const http_request& aRequest) -> reaction {
      auto other = aRequest;
      other.set("Request-Id", "other");
      return { SealedAnswer(other, "foreign") + SealedAnswer(aRequest, "own"), ending::Keep };
    });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText("/once/x");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(answer->mBody == "own");
  });
}

TEST_CASE("a surplus response on a connection is not forwarded to the next request",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint =
    scripted_endpoint(fixture.Context(), "e1", [](const http_request& aRequest) -> reaction {
      return { SealedAnswer(aRequest, "own") + SealedAnswer(aRequest, "extra"), ending::Keep };
    });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto caller = test_caller(fixture.Context());
    co_await caller.Connect(fixture.CallerPort());
    for (const auto* id : { "r1", "r2", "r3" }) {
      auto request = RequestText("/once/x", {}, id);
      co_await caller.Send(std::move(request));
      const auto answer = co_await caller.Read();
      REQUIRE(answer);
      CHECK(answer->mBody == "own");
      CHECK(answer->mFields["Request-Id"] == id);
    }
  });
}

TEST_CASE("a request that an endpoint declined is retried at another one", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto declined = 0;
  const auto decline = [&](const http_request& aRequest) -> reaction {
    if (++declined > 1) {
      return CompleteAnswer(aRequest);
    }
    const auto id = std::string(aRequest["Request-Id"]);
    return { "HTTP/1.1 503 Busy\r\nRequest-Id: " + id +
               "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
             ending::Keep };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", decline);
  auto second = scripted_endpoint(fixture.Context(), "e2", decline);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText("/once/x");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(first.Requests().size() == 1);
    CHECK(second.Requests().size() == 1);
  });
}

// With less time left than the route's objective, callers got the error though another endpoint had
// time enough.
TEST_CASE("an error is retried elsewhere if that can end before the deadline", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto arrived = 0;
  auto silence = 0ms;
  const auto failFirst = [&](const http_request& aRequest) -> reaction {
    if (++arrived > 1) {
      return CompleteAnswer(aRequest);
    }
    const auto id = std::string(aRequest["Request-Id"]);
    return { "",
             ending::Keep,
             "HTTP/1.1 500 Error\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n",
             silence };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", failFirst);
  auto second = scripted_endpoint(fixture.Context(), "e2", failFirst);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  const auto answerWithin = [&](std::string aDeadline) -> awaitable<unsigned> {
    auto request = RequestText("/again/x", "Tokens: 10,60\r\nDeadline-Ms: " + aDeadline + "\r\n");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    co_return answer->mStatus;
  };
  SECTION("there is time for a second attempt")
  {
    fixture.Run([&]() -> awaitable<void> {
      const auto status = co_await answerWithin("1000");
      CHECK(status == 200);
      CHECK(arrived == 2);
    });
  }
  SECTION("there is not")
  {
    // 0.27 s are expected of 60 tokens, with the margin for the error of the estimate 0.41 s.
    silence = 300ms;
    fixture.Run([&]() -> awaitable<void> {
      const auto status = co_await answerWithin("650");
      CHECK(status == 500);
      CHECK(arrived == 1);
    });
  }
}

// A repeat was sent to a full endpoint, past requests that waited, or given up at once.
TEST_CASE("a repeat waits for a free slot like a first attempt", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto arrived = 0;
  const auto holdThenReset = [&](const http_request& aRequest) -> reaction {
    switch (++arrived) {
      case 1:
        return { "", ending::Keep, SealedAnswer(aRequest, "held"), 150ms };
      case 2:
        return { "", ending::Reset };
      default:
        return CompleteAnswer(aRequest);
    }
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", holdThenReset);
  auto second = scripted_endpoint(fixture.Context(), "e2", holdThenReset);
  auto listed = std::vector<listed_endpoint>{ first.Listed(), second.Listed() };
  for (auto& endpoint : listed) {
    endpoint.mSlots = 1;
  }
  auto document = TestDocument();
  for (auto& route : document.mRoutes) {
    // Less urgent than other routes, it needs a free slot.
    route.mPriority = route.mName == "again" ? 1 : 0;
  }
  fixture.Publish(std::move(document), std::move(listed));
  fixture.Run([&]() -> awaitable<void> {
    auto held = std::optional<test_caller::answer>();
    StartAsk(fixture, RequestText("/again/x", "", "held"), held);
    co_await Pause(50ms);
    auto repeated = RequestText("/again/x", "", "repeated");
    const auto answer = co_await fixture.Ask(std::move(repeated));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    REQUIRE(held);
    CHECK(held->mStatus == 200);
    CHECK(arrived == 3);
  });
}

TEST_CASE("an endpoint gets no request after it has answered that it is leaving", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  // Whichever endpoint is asked first leaves.
  auto leaving = std::string();
  const auto leaveFirst = [&leaving](const std::string& aId) {
    return [&leaving, aId](const http_request& aRequest) -> reaction {
      if (!leaving.empty()) {
        return CompleteAnswer(aRequest);
      }
      leaving = aId;
      auto text = SealedAnswer(aRequest, "whole");
      text.insert(text.find("\r\n") + 2, "Leaving: 1\r\n");
      return { std::move(text), ending::Keep };
    };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", leaveFirst("e1"));
  auto second = scripted_endpoint(fixture.Context(), "e2", leaveFirst("e2"));
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    constexpr auto kRequests = std::size_t{ 6 };
    for (auto request = std::size_t{ 0 }; request < kRequests; ++request) {
      auto text = RequestText("/once/x", "", "r" + std::to_string(request));
      const auto answer = co_await fixture.Ask(std::move(text));
      REQUIRE(answer);
      CHECK(answer->mStatus == 200);
    }
    CHECK(first.Requests().size() == (leaving == "e1" ? 1 : kRequests - 1));
    CHECK(second.Requests().size() == (leaving == "e2" ? 1 : kRequests - 1));
  });
}

TEST_CASE("an endpoint gets no request for the time that it has asked for with a 503",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto busy = scripted_endpoint(fixture.Context(), "e1", [](const http_request& aRequest) {
    const auto id = aRequest["Request-Id"];
    return reaction{ fmt::format("HTTP/1.1 503 Busy\r\nRequest-Id: {}\r\nNot-Run: 1\r\n"
                                 "Retry-After: 60\r\nContent-Length: 0\r\n\r\n",
                                 std::string_view(id.data(), id.size())),
                     ending::Keep };
  });
  fixture.Publish(TestDocument(), { busy.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    constexpr auto kRequests = 4;
    for (auto request = 0; request < kRequests; ++request) {
      auto text = RequestText("/again/x", "", "r" + std::to_string(request));
      const auto answer = co_await fixture.Ask(std::move(text));
      REQUIRE(answer);
      CHECK(answer->mStatus == 503);
      CHECK(answer->mFields.count("Retry-After") == 1);
    }
    CHECK(busy.Requests().size() == 1);
  });
}

TEST_CASE("a broken endpoint: a repeatable request is retried, another one is executed only once",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto runs = 0;
  const auto script = [&](const http_request& aRequest) -> reaction {
    return ++runs == 1 ? reaction{ "", ending::Reset } : CompleteAnswer(aRequest);
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto repeatable = RequestText("/again/x");
    const auto answer = co_await fixture.Ask(std::move(repeatable));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(runs == 2);
    runs = 0;
    auto once = RequestText("/once/x");
    const auto failed = co_await fixture.Ask(std::move(once));
    REQUIRE(failed);
    CHECK(failed->mStatus == 502);
    CHECK(runs == 1);
  });
}

TEST_CASE("a broken stream is resumed at another endpoint after its last complete event",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto runs = 0;
  const auto script = [&](const http_request& aRequest) -> reaction {
    if (++runs == 1) {
      return { Events(aRequest, 1, 3) + "8\r\nid: 4\nda", ending::Reset };
    }
    return { Events(aRequest, 4, 6) + "0\r\n\r\n", ending::Keep };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText("/resume/x");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    auto expected = std::string();
    for (auto event = 1; event <= 6; ++event) {
      expected += fmt::format("id: {}\ndata: e{}\n\n", event, event);
    }
    CHECK(answer->mBody == expected);
    const auto& resumed =
      first.Requests().empty() || second.Requests().empty()
        ? http_request()
        : (first.Requests()[0]["Last-Event-Id"].empty() ? second : first).Requests()[0];
    CHECK(resumed["Last-Event-Id"] == "3");
  });
}

// Streams that could not be resumed, for lack of retries or endpoints, were broken off all the
// same.
TEST_CASE("an endpoint that is silent for a while is not cut off without a retry",
          "[entry_gateway]")
{
  const auto hasOther = GENERATE(false, true);
  auto fixture = gateway_fixture();
  const auto script = [](const http_request& aRequest) -> reaction {
    if (aRequest.target() == "/again/error") {
      auto failure = SealedAnswer(aRequest, "");
      failure.replace(failure.find("200"), 3, "500");
      return { std::move(failure), ending::Keep };
    }
    auto later = Events(aRequest, 4, 6) + "0\r\n\r\n";
    later.erase(0, later.find("\r\n\r\n") + 4);
    return { Events(aRequest, 1, 3), ending::Keep, std::move(later), 1'300ms };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  auto endpoints = std::vector{ first.Listed() };
  if (hasOther) {
    endpoints.push_back(second.Listed());
  }
  fixture.Publish(TestDocument(), std::move(endpoints));
  fixture.Run([&]() -> awaitable<void> {
    // With a second endpoint, these requests use up the retry budget.
    for (auto request = 0; request < 20; ++request) {
      co_await fixture.Ask(RequestText("/again/error"));
    }
    const auto answer = co_await fixture.Ask(RequestText("/resume/x"));
    REQUIRE(answer);
    CHECK(answer->mBody.ends_with("id: 6\ndata: e6\n\n"));
  });
}

TEST_CASE("a stream of an endpoint that falls silent is resumed at another one", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto runs = 0;
  const auto script = [&](const http_request& aRequest) -> reaction {
    if (++runs == 1) {
      return { Events(aRequest, 1, 3), ending::Hang };
    }
    return { Events(aRequest, 4, 6) + "0\r\n\r\n", ending::Keep };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    const auto answer = co_await fixture.Ask(RequestText("/resume/x"));
    REQUIRE(answer);
    CHECK(answer->mBody.ends_with("id: 6\ndata: e6\n\n"));
    CHECK(runs == 2);
  });
}

TEST_CASE("a broken stream that cannot be resumed does not end like a complete one",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint =
    scripted_endpoint(fixture.Context(), "e1", [](const http_request& aRequest) -> reaction {
      return { Events(aRequest, 1, 3), ending::Close };
    });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText("/stream/x");
    const auto answer = co_await fixture.Ask(std::move(request));
    CHECK(!answer);
    CHECK(endpoint.Requests().size() == 1);
  });
}

// A crashed endpoint ended such a response, and the caller took the half event for the last one.
TEST_CASE("a stream without a length that ends inside an event is broken off", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto rest = std::string("id: 2\nda");
  auto runs = 0;
  const auto script = [&](const http_request& aRequest) -> reaction {
    if (++runs == 1) {
      return { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n\r\nid: 1\ndata: e1\n\n" + rest,
               ending::Close };
    }
    return { Events(aRequest, 2, 3) + "0\r\n\r\n", ending::Keep };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    SECTION("it does not end like a complete one")
    {
      auto request = RequestText("/stream/x");
      const auto answer = co_await fixture.Ask(std::move(request));
      CHECK(!answer);
    }
    SECTION("it is resumed where the route allows it")
    {
      auto request = RequestText("/resume/x");
      const auto answer = co_await fixture.Ask(std::move(request));
      REQUIRE(answer);
      CHECK(answer->mBody == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n");
    }
    SECTION("one that ends after an event is complete")
    {
      rest.clear();
      auto request = RequestText("/stream/x");
      const auto answer = co_await fixture.Ask(std::move(request));
      REQUIRE(answer);
      CHECK(answer->mBody == "id: 1\ndata: e1\n\n");
    }
  });
}

// An endpoint sent bytes without end; the gateway read and kept them until the deadline.
TEST_CASE("an endpoint that sends bytes without end is cut off before the deadline",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto path = std::string("/once/x");
  auto text = std::string();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", [&](const http_request&) -> reaction {
    return { text, ending::Endless };
  });
  SECTION("in the status line")
  {
    text = "HTTP/1.1 200 x";
  }
  SECTION("in a header")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: x";
  }
  SECTION("in the body of a response to another request")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nSeal: s\r\n\r\nx";
  }
  SECTION("in the body of a response")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n\r\nx";
  }
  SECTION("in the extension of a chunk")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;x";
  }
  SECTION("in a trailer")
  {
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
           "1\r\nx\r\n0\r\nx";
  }
  SECTION("in an event of a stream")
  {
    path = "/stream/x";
    text = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n\r\nid: 1\ndata: x";
  }
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText(path);
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    CHECK(answer->mStatus == 502);
    while (endpoint.Disconnects() == 0) {
      co_await Pause(5ms);
    }
  });
}
