#include "gateway_harness.h"

#include <bronzering/gateway/http_get.h>

#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

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

// Taking away the last organisation opened every route to every key.
TEST_CASE("after the last organisation was taken away no key is served", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  const auto statusOf = [&fixture](std::string aKey) -> awaitable<unsigned> {
    auto text = "GET /once/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n" + aKey + "\r\n";
    const auto answer = co_await fixture.Ask(std::move(text));
    co_return answer ? answer->mStatus : 0;
  };
  fixture.Run([&]() -> awaitable<void> {
    const auto before = co_await statusOf("Authorization: Bearer secret\r\n");
    CHECK(before == 200);
    auto document = TestDocument(2);
    document.mOrganisations.clear();
    fixture.Publish(std::move(document), { endpoint.Listed() });
    for (const auto* key : { "Authorization: Bearer secret\r\n",
                             "Authorization: Bearer never-issued\r\n",
                             "Authorization: Bearer \r\n",
                             "" }) {
      const auto status = co_await statusOf(key);
      CHECK(status == 401);
    }
    CHECK(endpoint.Requests().size() == 1);
    // The key is valid again as soon as its organisation is back.
    fixture.Publish(TestDocument(3), { endpoint.Listed() });
    const auto after = co_await statusOf("Authorization: Bearer secret\r\n");
    CHECK(after == 200);
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

// Each adopted configuration renewed the retry budgets, so a series of them lifted the limit.
TEST_CASE("a new document does not renew the retry budgets", "[entry_gateway]")
{
  constexpr auto kRequests = std::size_t{ 40 };
  auto fixture = gateway_fixture();
  const auto fail = [](const http_request& aRequest) {
    const auto id = aRequest["Request-Id"];
    return scripted_endpoint::reaction{ "HTTP/1.1 500 Error\r\nRequest-Id: " +
                                        std::string(id.data(), id.size()) +
                                        "\r\nContent-Length: 0\r\n\r\n" };
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", fail);
  auto second = scripted_endpoint(fixture.Context(), "e2", fail);
  const auto endpoints = std::vector{ first.Listed(), second.Listed() };
  fixture.Run([&]() -> awaitable<void> {
    for (auto version = 1U; version <= 3; ++version) {
      // A service that is dropped and comes back is the same service.
      auto dropped = TestDocument(std::uint64_t{ 10 } * version);
      dropped.mServices.clear();
      fixture.Publish(std::move(dropped), endpoints);
      fixture.Publish(TestDocument(std::uint64_t{ 10 } * version + 1), endpoints);
      for (auto request = 0U; request < kRequests; ++request) {
        co_await fixture.Ask(
          RequestText("/again/x", {}, "r" + std::to_string(kRequests * version + request)));
      }
    }
  });
  const auto arrivals = first.Requests().size() + second.Requests().size();
  const auto limits = retry_limits();
  const auto allowed = limits.mExtraRetries + limits.mRatio * 3 * kRequests;
  CHECK(static_cast<double>(arrivals) <= 3 * kRequests + allowed);
  CHECK(arrivals > 3 * kRequests);
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

// Requests that waited for a slot kept the limit of their organisation, so that others were refused
// though nothing ran.
TEST_CASE("a request that waits takes nothing from its organisation's limit", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  const auto hold = [](const http_request& aRequest) -> scripted_endpoint::reaction {
    return { "", scripted_endpoint::ending::Keep, SealedAnswer(aRequest, "held"), 200ms };
  };
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", hold);
  auto listed = endpoint.Listed();
  listed.mSlots = 1;
  auto document = TestDocument();
  for (auto& route : document.mRoutes) {
    route.mPriority = route.mName == "once" ? 1 : 0;
  }
  document.mOrganisations[0].mRate = 1;
  document.mOrganisations[0].mBurst = 900;
  document.mOrganisations[0].mCountsTokens = true;
  fixture.Publish(std::move(document), { std::move(listed) });
  fixture.Run([&]() -> awaitable<void> {
    auto running = std::optional<test_caller::answer>();
    auto waiting = std::optional<test_caller::answer>();
    auto other = std::optional<test_caller::answer>();
    StartAsk(fixture, RequestText("/once/x", "Tokens: 1,1\r\n", "running"), running);
    co_await Pause(20ms);
    StartAsk(fixture, RequestText("/once/x", "Tokens: 900,30\r\n", "waiting"), waiting);
    co_await Pause(20ms);
    StartAsk(
      fixture, RequestText("/once/x", "Tokens: 1,1\r\nDeadline-Ms: 5000\r\n", "other"), other);
    co_await Pause(20ms);
    CHECK(!other);
    co_await Pause(700ms);
    REQUIRE(other);
    CHECK(other->mStatus == 200);
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

TEST_CASE("an entry cut off during a restore takes the new history from a peer", "[entry_gateway]")
{
  auto fixture = gateway_fixture("127.0.0.1");
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(7), { endpoint.Listed() });
  fixture.Gateway().OnSnapshot({ 3, { { "document", "7", 3, 2 } }, 2 });

  // The second entry runs on a separate context, which this test polls.
  auto other = gateway_fixture("127.0.0.2", { "127.0.0.1" });
  other.Gateway().OnSourceAnswer(1);
  other.Gateway().OnSnapshot({ 900, { { "document", "6", 900, 1 } }, 1 });
  other.Gateway().OnSourceFailure(source_failure::TimedOut);
  const auto& revision = other.Metrics().Gauge("bronzering_items_revision");
  fixture.Run([&]() -> awaitable<void> {
    for (auto step = 0; step < 2000 && revision.Value() != 3; ++step) {
      other.Context().restart();
      other.Context().poll();
      co_await Pause(5ms);
    }
    CHECK(revision.Value() == 3);
    CHECK(other.Metrics().Gauge("bronzering_configuration_version").Value() == 7);
    // It does not hand its old history back.
    CHECK(fixture.Metrics().Gauge("bronzering_items_revision").Value() == 3);
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

// In a flood, requests were read over a second late and sent on though their callers had left.
TEST_CASE("a request whose caller has left before it is read reaches no endpoint",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    // Leaves a pooled connection to the endpoint, on which the next request could be sent at once.
    auto first = RequestText("/again/x", "", "r1");
    const auto answer = co_await fixture.Ask(std::move(first));
    REQUIRE(answer);
    REQUIRE(endpoint.Requests().size() == 1);

    // All of this happens before the gateway runs again.
    const auto abandoned = RequestText("/again/x", "", "r2");
    auto caller = boost::asio::ip::tcp::socket(fixture.Context());
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.CallerPort() });
    boost::asio::write(caller, boost::asio::buffer(abandoned));
    caller.close();
    co_await Pause(100ms);
    CHECK(endpoint.Requests().size() == 1);
  });
}

// The same on a connection that is kept, which isn't asked when it is accepted.
TEST_CASE("a request on a kept connection whose caller has left reaches no endpoint",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto caller = boost::asio::ip::tcp::socket(fixture.Context());
    caller.connect({ boost::asio::ip::make_address("127.0.0.1"), fixture.CallerPort() });
    const auto first = RequestText("/again/x", "", "r1");
    boost::asio::write(caller, boost::asio::buffer(first));
    co_await Pause(100ms);
    REQUIRE(endpoint.Requests().size() == 1);
    REQUIRE(caller.available() > 0);
    auto answer = std::string(caller.available(), ' ');
    boost::asio::read(caller, boost::asio::buffer(answer));

    // All of this happens before the gateway runs again.
    const auto abandoned = RequestText("/again/x", "", "r2");
    boost::asio::write(caller, boost::asio::buffer(abandoned));
    caller.close();
    co_await Pause(100ms);
    CHECK(endpoint.Requests().size() == 1);
  });
}

// After a flood, entries were busy for five seconds with connections whose callers had left, and
// the callers that came behind them reached their deadlines.
TEST_CASE("connections that were abandoned before they are accepted are not read",
          "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    // All of this happens before the gateway runs again.
    constexpr auto kAbandoned = 30U;
    const auto gateway = boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                                        fixture.CallerPort());
    const auto abandoned = RequestText("/again/x", "", "left");
    for (auto caller = 0U; caller < kAbandoned; ++caller) {
      auto socket = boost::asio::ip::tcp::socket(fixture.Context());
      socket.connect(gateway);
      boost::asio::write(socket, boost::asio::buffer(abandoned));
      socket.close();
    }

    auto text = RequestText("/again/x", "", "waiting");
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(fixture.Metrics().Counter("bronzering_connections_abandoned_total").Value() ==
          kAbandoned);
    CHECK(fixture.Metrics().Render().find("outcome=\"caller_gone\"") == std::string::npos);
  });
}

// The opposite fault: a connection without a request yet is no abandoned one.
TEST_CASE("a connection that is accepted before its request arrives is served", "[entry_gateway]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto caller = test_caller(fixture.Context());
    co_await caller.Connect(fixture.CallerPort());
    co_await Pause(50ms);
    auto text = RequestText("/again/x");
    co_await caller.Send(std::move(text));
    const auto answer = co_await caller.Read();
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(fixture.Metrics().Counter("bronzering_connections_abandoned_total").Value() == 0);
  });
}
