#include "captured_output.h"
#include "gateway_harness.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

#include <map>
#include <sstream>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

/// The outcome in a request's final log line.
struct request_end
{
  std::string mOutcome;
  std::int64_t mStatus = 0;
  std::string mReason;

  auto operator==(const request_end&) const -> bool = default;
};

auto operator<<(std::ostream& aOut, const request_end& aEnd) -> std::ostream&
{
  return aOut << aEnd.mOutcome << ' ' << aEnd.mStatus << ' ' << aEnd.mReason;
}

/// The final lines in aLog, by request.
auto EndsIn(const std::string& aLog) -> std::map<std::string, std::vector<request_end>>
{
  auto ends = std::map<std::string, std::vector<request_end>>();
  auto lines = std::istringstream(aLog);
  for (auto text = std::string(); std::getline(lines, text);) {
    const auto line = boost::json::parse(text).as_object();
    if (line.at("event") == "request_ended") {
      const auto* reason = line.if_contains("reason");
      ends[std::string(line.at("request").as_string())].push_back(
        { std::string(line.at("outcome").as_string()),
          line.at("status").as_int64(),
          reason == nullptr ? "" : std::string(reason->as_string()) });
    }
  }
  return ends;
}

/// Runs a test with the endpoint's script and returns all that was logged until the gateway was
/// destroyed.
auto LogOf(const routing_document& aDocument,
           scripted_endpoint::script aScript,
           const std::function<awaitable<void>(gateway_fixture&, scripted_endpoint&)>& aTest)
  -> std::string
{
  auto output = captured_output();
  auto fixture = std::make_unique<gateway_fixture>();
  auto endpoint = std::make_unique<scripted_endpoint>(fixture->Context(), "e1", std::move(aScript));
  fixture->Publish(aDocument, { endpoint->Listed() });
  fixture->Run([&]() -> awaitable<void> { co_await aTest(*fixture, *endpoint); });
  return output.Drain([&] {
    // The endpoint's sockets belong to the fixture's context and must be destroyed before it.
    endpoint.reset();
    fixture.reset();
  });
}

/// Sends one request for each path in turn and waits for its response. Its id is the path's index.
auto AskAll(gateway_fixture& aFixture, std::vector<std::string> aPaths, std::string aHeaders)
  -> awaitable<void>
{
  for (auto index = std::size_t{ 0 }; index < aPaths.size(); ++index) {
    auto text = RequestText(aPaths[index], aHeaders, std::to_string(index));
    co_await aFixture.Ask(std::move(text));
  }
}

using ends_by_request = std::map<std::string, std::vector<request_end>>;

} // namespace

TEST_CASE("answered and rejected requests have exactly one final log line each", "[request_log]")
{
  const auto log = LogOf(TestDocument(),
                         CompleteAnswer,
                         [](gateway_fixture& aFixture, scripted_endpoint&) -> awaitable<void> {
                           auto paths = std::vector<std::string>{ "/once/x", "/nowhere/x" };
                           co_await AskAll(aFixture, std::move(paths), "");
                           auto stranger = std::string(
                             "GET /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                             "Request-Id: stranger\r\nAuthorization: Bearer other\r\n\r\n");
                           co_await aFixture.Ask(std::move(stranger));
                         });
  CHECK(EndsIn(log) == ends_by_request{ { "0", { { "answered", 200, "" } } },
                                        { "1", { { "rejected", 404, "no route" } } },
                                        { "stranger", { { "rejected", 401, "unknown key" } } } });
}

TEST_CASE("a request over its organisation's limit has exactly one final log line", "[request_log]")
{
  auto document = TestDocument();
  document.mOrganisations[0].mRate = 1;
  document.mOrganisations[0].mBurst = 1;
  document.mOrganisations[0].mCountsTokens = true;
  const auto log = LogOf(
    document, CompleteAnswer, [](gateway_fixture& aFixture, scripted_endpoint&) -> awaitable<void> {
      auto paths = std::vector<std::string>{ "/once/x", "/once/x" };
      co_await AskAll(aFixture, std::move(paths), "Tokens: 900,100\r\n");
    });
  CHECK(EndsIn(log) ==
        ends_by_request{ { "0", { { "answered", 200, "" } } },
                         { "1", { { "refused", 429, "limit of the organisation" } } } });
}

TEST_CASE("a request that no endpoint can take in time has exactly one final log line",
          "[request_log]")
{
  auto document = TestDocument();
  document.mServices[0].mMaxConnections = 1;
  const auto hang = [](const http_request& aRequest) -> reaction {
    return aRequest.target() == "/once/first" ? reaction{ "", ending::Hang }
                                              : CompleteAnswer(aRequest);
  };
  const auto log = LogOf(
    document, hang, [](gateway_fixture& aFixture, scripted_endpoint& aEndpoint) -> awaitable<void> {
      auto first = test_caller(aFixture.Context());
      co_await first.Connect(aFixture.CallerPort());
      auto text = RequestText("/once/first", "", "first");
      co_await first.Send(std::move(text));
      auto timer = boost::asio::steady_timer(aFixture.Context());
      while (aEndpoint.Requests().empty()) {
        timer.expires_after(5ms);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      }
      auto paths = std::vector<std::string>{ "/once/x" };
      co_await AskAll(aFixture, std::move(paths), "");
      // The caller disconnects. Its final line is logged when the endpoint's connection is closed.
      first.Close();
      while (aEndpoint.Disconnects() == 0) {
        timer.expires_after(5ms);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      }
    });
  const auto ends = EndsIn(log);
  REQUIRE(ends.contains("0"));
  CHECK(ends.at("0") ==
        std::vector<request_end>{ { "refused", 503, "no endpoint can answer in time" } });
  REQUIRE(ends.contains("first"));
  REQUIRE(ends.at("first").size() == 1);
  CHECK(ends.at("first")[0].mOutcome == "caller_gone");
}

TEST_CASE("a request that failed at a broken endpoint has exactly one final log line",
          "[request_log]")
{
  const auto broken = [](const http_request& aRequest) -> reaction {
    return aRequest.target() == "/once/silent"
             ? reaction{ "", ending::Close }
             : reaction{ SealedAnswer(aRequest, "whole").substr(0, 60), ending::Reset };
  };
  const auto log = LogOf(
    TestDocument(), broken, [](gateway_fixture& aFixture, scripted_endpoint&) -> awaitable<void> {
      auto paths = std::vector<std::string>{ "/once/silent", "/once/cut" };
      co_await AskAll(aFixture, std::move(paths), "");
    });
  const auto ends = EndsIn(log);
  for (const auto* id : { "0", "1" }) {
    REQUIRE(ends.contains(id));
    REQUIRE(ends.at(id).size() == 1);
    CHECK(ends.at(id)[0].mOutcome == "failed");
    CHECK(ends.at(id)[0].mStatus == 502);
  }
}

// A log that only says that an attempt failed does not show whether the endpoint or the network
// did.
TEST_CASE("a broken answer is logged and counted with what was wrong with it", "[request_log]")
{
  struct broken_answer
  {
    std::string mText;
    std::string mFault;
  };
  const auto head = std::string("HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nSeal: s\r\n");
  const auto broken =
    GENERATE_COPY(broken_answer{ "SECRET / HTTP/1.1\r\n\r\n", "not_http" },
                  broken_answer{ "HTTP/1.1 000 SECRET\r\n\r\n", "status" },
                  broken_answer{ "HTTP/1.1 2x0 SECRET\r\n\r\n", "status" },
                  broken_answer{ head + "SECRET X: v\r\n\r\n", "field" },
                  broken_answer{ head + "X: v\r\n SECRET\r\n\r\n", "field" },
                  broken_answer{ head + "X: SECRET\x01\xff\r\n\r\n", "field" },
                  broken_answer{ head + "Transfer-Encoding: SECRET\r\n\r\n", "framing" },
                  broken_answer{ head + "Transfer-Encoding: chunked\r\n\r\nSECRET\r\n", "framing" },
                  broken_answer{ head + "X: SECRET" + std::string(40'000, 'x'), "size" },
                  broken_answer{ head + "Content-Length: 9\r\n\r\nSECRET", "incomplete" });
  INFO(broken.mFault);
  auto count = std::uint64_t{ 0 };
  const auto log = LogOf(
    TestDocument(),
    [&](const http_request&) -> reaction {
      return { broken.mText, ending::Close };
    },
    [&](gateway_fixture& aFixture, scripted_endpoint&) -> awaitable<void> {
      auto paths = std::vector<std::string>{ "/once/x" };
      co_await AskAll(aFixture, std::move(paths), "");
      count = aFixture.Metrics()
                .Counter("bronzering_broken_answers_total",
                         "service=\"engines\",fault=\"" + broken.mFault + "\"")
                .Value();
    });
  CHECK(count == 1);
  CHECK(log.find("SECRET") == std::string::npos);
  auto faults = std::vector<std::string>();
  auto lines = std::istringstream(log);
  for (auto text = std::string(); std::getline(lines, text);) {
    const auto line = boost::json::parse(text).as_object();
    if (line.at("event") == "attempt_failed") {
      CHECK(line.at("request") == "0");
      faults.emplace_back(line.at("broken_answer").as_string());
    }
  }
  CHECK(faults == std::vector<std::string>{ broken.mFault });
}

// Such a value made the line invalid, and filled the log with as many bytes as a head may have.
TEST_CASE("of a malformed value only the start is logged, in a valid line", "[request_log]")
{
  const auto* name = GENERATE("Rate-Limit", "Retry-After");
  const auto value = "\xe9" + std::string(20'000, 'x');
  const auto log = LogOf(
    TestDocument(),
    [&](const http_request&) -> reaction {
      return { fmt::format(
        "HTTP/1.1 503 Busy\r\nRequest-Id: 0\r\n{}: {}\r\nContent-Length: 0\r\n\r\n", name, value) };
    },
    [](gateway_fixture& aFixture, scripted_endpoint&) -> awaitable<void> {
      auto paths = std::vector<std::string>{ "/once/x" };
      co_await AskAll(aFixture, std::move(paths), "");
    });
  auto values = std::vector<std::string>();
  auto lines = std::istringstream(log);
  for (auto text = std::string(); std::getline(lines, text);) {
    const auto line = boost::json::parse(text).as_object();
    if (const auto* logged = line.if_contains("value")) {
      values.emplace_back(logged->as_string());
    }
  }
  CHECK(values == std::vector<std::string>{ "\xc3\xa9" + std::string(63, 'x') });
}

TEST_CASE("a request that exceeds its route's timeout has exactly one final log line",
          "[request_log]")
{
  auto document = TestDocument();
  document.mRoutes[0].mTimeout = 200ms;
  const auto hang = [](const http_request&) -> reaction { return { "", ending::Hang }; };
  const auto log =
    LogOf(document, hang, [](gateway_fixture& aFixture, scripted_endpoint&) -> awaitable<void> {
      auto paths = std::vector<std::string>{ "/once/x" };
      co_await AskAll(aFixture, std::move(paths), "");
    });
  const auto ends = EndsIn(log);
  REQUIRE(ends.contains("0"));
  REQUIRE(ends.at("0").size() == 1);
  CHECK(ends.at("0")[0].mOutcome == "timed_out");
  CHECK(ends.at("0")[0].mStatus == 504);
}

TEST_CASE("the log contains no keys and no content of requests", "[request_log]")
{
  const auto log =
    LogOf(TestDocument(),
          CompleteAnswer,
          [](gateway_fixture& aFixture, scripted_endpoint&) -> awaitable<void> {
            auto paths = std::vector<std::string>{ "/once/x?card=4111" };
            co_await AskAll(aFixture, std::move(paths), "Cookie: session=private\r\n");
          });
  CHECK(log.find("request_ended") != std::string::npos);
  for (const auto* part : { "secret", "4111", "private", "whole" }) {
    CHECK(log.find(part) == std::string::npos);
  }
}
