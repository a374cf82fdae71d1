#include "gateway_harness.h"

#include <bronzering/gateway/http_get.h>

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

auto CompleteAnswer(const http_request& aRequest) -> reaction
{
  return { SealedAnswer(aRequest, "whole"), ending::Keep };
}

/// The header of a streamed response and the events from aFirst to aLast, as one chunk.
auto Events(const http_request& aRequest, int aFirst, int aLast) -> std::string
{
  auto body = std::string();
  for (auto event = aFirst; event <= aLast; ++event) {
    body += fmt::format("id: {}\ndata: e{}\n\n", event, event);
  }
  const auto id = aRequest["Request-Id"];
  return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nSeal: s\r\nContent-Type: "
                     "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                     std::string_view(id.data(), id.size()),
                     body.size(),
                     body);
}

} // namespace

TEST_CASE(
  "the endpoint gets the headers that the gateway sets, and its response is forwarded unchanged",
  "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto text = RequestText("/once/x?q=1", "Deadline-Ms: 3000\r\nOrganisation: forged\r\n");
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(answer->mBody == "whole");
    CHECK(answer->mFields["Seal"] == "s-r1");
    REQUIRE(endpoint.Requests().size() == 1);
    const auto& request = endpoint.Requests()[0];
    CHECK(request.target() == "/once/x?q=1");
    CHECK(request["Organisation"] == "lamps");
    CHECK(request["Expected-Endpoint"] == "e1");
    CHECK(request["Request-Id"] == "r1");
    CHECK(request["Authorization"].empty());
    CHECK(std::stoi(std::string(request["Deadline-Ms"])) <= 3000);
  });
}

TEST_CASE("without a routing document requests are refused with 503", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  fixture.Run([&]() -> awaitable<void> {
    auto text = RequestText("/once/x");
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 503);
    CHECK(!answer->mFields["Retry-After"].empty());
    auto ready = http_get_client(fixture.Context().get_executor(), fixture.ReadyAddress(), 1000);
    auto target = std::string("/ready");
    const auto state = co_await ready.Get(std::move(target), 5s);
    REQUIRE(state);
    CHECK(state->mStatus == 503);
  });
}

// After a restart of all entries, callers reconnect before the routing document has been read.
TEST_CASE("a request that arrives shortly before the routing document is served", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Run([&]() -> awaitable<void> {
    auto caller = test_caller(fixture.Context());
    co_await caller.Connect(fixture.CallerPort());
    auto request = RequestText("/once/x");
    co_await caller.Send(std::move(request));
    co_await Pause(20ms);
    fixture.Publish(TestDocument(), { endpoint.Listed() });
    const auto answer = co_await caller.Read();
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
  });
}

TEST_CASE("unknown routes and keys are rejected", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto unknownRoute = RequestText("/nowhere/x");
    const auto noRoute = co_await fixture.Ask(std::move(unknownRoute));
    REQUIRE(noRoute);
    CHECK(noRoute->mStatus == 404);
    auto text = std::string("GET /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                            "Authorization: Bearer other\r\n\r\n");
    const auto noKey = co_await fixture.Ask(std::move(text));
    REQUIRE(noKey);
    CHECK(noKey->mStatus == 401);
    CHECK(endpoint.Requests().empty());
  });
}

TEST_CASE("a newer document is adopted, an older or malformed one is not", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  auto document = TestDocument(5);
  document.mRoutes.erase(document.mRoutes.begin());
  fixture.Publish(std::move(document), { endpoint.Listed() });
  fixture.Gateway().OnSnapshot({ 900, { { "document", "malformed", 900 } } });
  fixture.Run([&]() -> awaitable<void> {
    auto first = RequestText("/once/x");
    const auto removed = co_await fixture.Ask(std::move(first));
    REQUIRE(removed);
    CHECK(removed->mStatus == 404);
    fixture.Gateway().OnSnapshot({ 901, { { "document", "4", 901 } } });
    auto second = RequestText("/again/x");
    const auto kept = co_await fixture.Ask(std::move(second));
    REQUIRE(kept);
    CHECK(kept->mStatus == 200);
  });
}

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

// The gateway kept and parsed again all bytes of a chunk header until the body's timeout.
TEST_CASE("a caller that sends a chunk header without end is rejected before the timeout",
          "[entry_gateway]")
{
  constexpr auto kSentBytes = std::size_t{ 2 } * 1024 * 1024;
  auto fixture = gateway_fixture();
  fixture.Publish(TestDocument(), {});
  fixture.Run([&]() -> awaitable<void> {
    auto caller = test_caller(fixture.Context());
    co_await caller.Connect(fixture.CallerPort());
    auto text = std::string("POST /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                            "Authorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n1;");
    text.resize(kSentBytes, 'x');
    co_await caller.Send(std::move(text));
    // The bytes that were not read may reset the connection before the response is read.
    const auto answer = co_await caller.Read();
    CHECK((!answer || answer->mStatus == 400));
  });
}

TEST_CASE("a caller's disconnect closes the connection to the endpoint", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", [](const http_request&) -> reaction {
    return { "", ending::Hang };
  });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto caller = test_caller(fixture.Context());
    co_await caller.Connect(fixture.CallerPort());
    auto request = RequestText("/once/x");
    co_await caller.Send(std::move(request));
    while (endpoint.Requests().empty()) {
      co_await Pause(5ms);
    }
    caller.Close();
    while (endpoint.Disconnects() == 0) {
      co_await Pause(5ms);
    }
    CHECK(endpoint.Disconnects() == 1);
  });
}

TEST_CASE("a request fails with 504 at its route's timeout", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", [](const http_request&) -> reaction {
    return { "", ending::Hang };
  });
  auto document = TestDocument();
  document.mRoutes[0].mTimeout = 1s;
  fixture.Publish(std::move(document), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText("/once/x");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    CHECK(answer->mStatus == 504);
  });
}

TEST_CASE("a request over its organisation's limit gets 429 with Retry-After", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  auto document = TestDocument();
  document.mOrganisations[0].mRate = 1;
  document.mOrganisations[0].mBurst = 1;
  document.mOrganisations[0].mCountsTokens = true;
  fixture.Publish(std::move(document), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto large = RequestText("/once/x", "Tokens: 900,100\r\n");
    const auto first = co_await fixture.Ask(std::move(large));
    REQUIRE(first);
    CHECK(first->mStatus == 200);
    auto small = RequestText("/once/x", "Tokens: 1,1\r\nDeadline-Ms: 3000\r\n");
    const auto second = co_await fixture.Ask(std::move(small));
    REQUIRE(second);
    CHECK(second->mStatus == 429);
    // Callers honour at most a third of their remaining time.
    const auto retryAfter = std::stod(std::string(second->mFields["Retry-After"]));
    CHECK(retryAfter > 0);
    CHECK(retryAfter <= 1);
  });
}

TEST_CASE("a request whose framing would allow request smuggling is rejected", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto hidden = RequestText("/once/hidden");
    auto text = RequestText("/once/x", "Transfer-Encoding: identity\r\n") + hidden;
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 400);
    auto both =
      "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\nContent-Length: " +
      std::to_string(5) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden;
    const auto second = co_await fixture.Ask(std::move(both));
    REQUIRE(second);
    CHECK(second->mStatus == 400);
    CHECK(endpoint.Requests().empty());
  });
}

TEST_CASE("during a shutdown requests are still served and idle connections are closed",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto idle = test_caller(fixture.Context());
    co_await idle.Connect(fixture.CallerPort());
    auto first = RequestText("/once/x");
    co_await idle.Send(std::move(first));
    const auto before = co_await idle.Read();
    REQUIRE(before);

    fixture.Gateway().Stop();
    auto ready = http_get_client(fixture.Context().get_executor(), fixture.ReadyAddress(), 1000);
    auto target = std::string("/ready");
    const auto state = co_await ready.Get(std::move(target), 5s);
    REQUIRE(state);
    CHECK(state->mStatus == 503);
    // The load balancer may not have noticed yet and still connect callers to this entry.
    auto second = RequestText("/once/x");
    const auto during = co_await fixture.Ask(std::move(second));
    REQUIRE(during);
    CHECK(during->mStatus == 200);
    CHECK(during->mFields["Connection"] == "close");
    const auto isClosed = co_await idle.ReadsEof();
    CHECK(isClosed);
  });
}

TEST_CASE("an entry whose source is unreachable fetches the items from a peer", "[entry_gateway]")
{
  auto fixture = gateway_fixture("127.0.0.1");
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(7), { endpoint.Listed() });

  // The second entry runs on a separate context, which this test polls.
  auto other = gateway_fixture("127.0.0.2", { "127.0.0.1" });
  fixture.Run([&]() -> awaitable<void> {
    for (auto step = 0; step < 2000; ++step) {
      other.Context().restart();
      other.Context().poll();
      auto text = other.Metrics().Render();
      if (text.find("bronzering_items_revision 1\n") != std::string::npos) {
        break;
      }
      co_await Pause(5ms);
    }
    CHECK(other.Metrics().Gauge("bronzering_items_revision").Value() == 1);
    CHECK(other.Metrics().Gauge("bronzering_live_peers").Value() == 1);
  });
}

TEST_CASE("each request is counted once, with its outcome", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    for (auto request = 0; request < 3; ++request) {
      auto text = RequestText("/once/x");
      const auto answer = co_await fixture.Ask(std::move(text));
      REQUIRE(answer);
    }
    auto unknown = RequestText("/nowhere/");
    const auto rejected = co_await fixture.Ask(std::move(unknown));
    REQUIRE(rejected);
    const auto text = fixture.Metrics().Render();
    CHECK(text.find("bronzering_request_seconds_count{service=\"engines\",priority=\"0\","
                    "outcome=\"answered\"} 3") != std::string::npos);
    CHECK(text.find("outcome=\"rejected\"} 1") != std::string::npos);
  });
}
