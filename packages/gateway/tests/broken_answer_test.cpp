// Guards against answers of endpoints in trouble that reach callers although they are not valid
// HTTP, and against valid answers that are refused.

#include "gateway_harness.h"

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

struct served
{
  std::optional<test_caller::answer> mAnswer;
  /// Number of requests that reached the endpoints.
  std::size_t mRequests = 0;
};

/// A whole answer that suits the route of the request.
auto WholeAnswer(const http_request& aRequest) -> reaction
{
  const auto isStream = aRequest.target() == "/stream/x" || aRequest.target() == "/resume/x";
  return isStream ? reaction{ Events(aRequest, 1, 1) + "0\r\n\r\n" } : CompleteAnswer(aRequest);
}

/// Serves a request whose first answer is aText. The connection stays open after it, as that of an
/// endpoint that does not notice its mistake. Further answers are whole.
auto ServeAfter(const std::string& aText, const std::string& aPath) -> served
{
  auto fixture = gateway_fixture();
  auto result = served();
  const auto script = [&](const http_request& aRequest) -> reaction {
    return ++result.mRequests == 1 ? reaction{ aText } : WholeAnswer(aRequest);
  };
  auto first = scripted_endpoint(fixture.Context(), "e1", script);
  auto second = scripted_endpoint(fixture.Context(), "e2", script);
  fixture.Publish(TestDocument(), { first.Listed(), second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto request = RequestText(aPath);
    result.mAnswer = co_await fixture.Ask(std::move(request));
  });
  return result;
}

/// Checks that a broken answer is a failure of its endpoint: the request is sent again only where
/// its route allows that, and the caller is not told that it has not run.
auto CheckIsFailure(const std::string& aText) -> void
{
  INFO(aText);
  for (const auto* path : { "/once/x", "/stream/x" }) {
    INFO(path);
    const auto result = ServeAfter(aText, path);
    REQUIRE(result.mAnswer);
    CHECK(result.mAnswer->mStatus == 502);
    CHECK(result.mAnswer->mBody.find(R"("not_run":"unknown")") != std::string::npos);
    CHECK(result.mRequests == 1);
  }
  for (const auto* path : { "/again/x", "/resume/x" }) {
    INFO(path);
    const auto result = ServeAfter(aText, path);
    REQUIRE(result.mAnswer);
    CHECK(result.mAnswer->mStatus == 200);
    CHECK((result.mAnswer->mBody == "whole" || result.mAnswer->mBody == "id: 1\ndata: e1\n\n"));
    CHECK(result.mRequests == 2);
  }
}

} // namespace

// A status of 000 was passed over like an interim response, and the caller got the body of that
// answer as an answer of its own. A status above 599 was forwarded.
TEST_CASE("an answer whose status is not final is a failure of its endpoint", "[broken_answer]")
{
  const auto* status =
    GENERATE("000", "001", "099", "101", "600", "999", "20", "2000", "0200", "2x0", "-20", "");
  const auto body = std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n"
                                "Content-Length: 8\r\n\r\nsmuggled");
  CheckIsFailure(fmt::format("HTTP/1.1 {} OK\r\nRequest-Id: r1\r\nSeal: s\r\n"
                             "Content-Length: {}\r\n\r\n{}",
                             status,
                             body.size(),
                             body));
}

// A line that began with a blank was appended to the value of the field before it and forwarded.
TEST_CASE("an answer with a malformed field is a failure of its endpoint", "[broken_answer]")
{
  const auto* fields = GENERATE("X Y: v",
                                "X : v",
                                "X\t: v",
                                " X: v",
                                "X\x01Y: v",
                                "X\x7f: v",
                                "\xe9X: v",
                                ": v",
                                "X",
                                "X: v\r\n Content-Length: 2",
                                "X: v\r\n\tY: w",
                                "X:\r\n v",
                                "Content-Length: 2\r\n ",
                                "X: a\rb",
                                "X: a\nY: b",
                                "X: a\x01",
                                "Content-Length : 2",
                                "Transfer-Encoding : chunked");
  CheckIsFailure(fmt::format("HTTP/1.1 200 OK\r\n{}\r\nRequest-Id: r1\r\nSeal: s\r\n"
                             "Content-Length: 2\r\n\r\nok",
                             fields));
}

TEST_CASE("an answer with a NUL in its head is a failure of its endpoint", "[broken_answer]")
{
  const auto nul = std::string(1, '\0');
  const auto fields =
    GENERATE_COPY("X" + nul + ": v", "X: v" + nul, nul, "X: v\r\n" + nul + " Y: w");
  CheckIsFailure("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n" + fields +
                 "\r\nContent-Length: 2\r\n\r\nok");
}

// A transfer coding other than chunked was dropped, and the caller got the coded body.
TEST_CASE("an answer whose length is ambiguous is a failure of its endpoint", "[broken_answer]")
{
  const auto* fields = GENERATE("Content-Length: 2\r\nContent-Length: 1",
                                "Content-Length: 2, 1",
                                "Content-Length: -2",
                                "Content-Length: +2",
                                "Content-Length: 0x2",
                                "Content-Length: 2 2",
                                "Content-Length:",
                                "Content-Length: 99999999999999999999",
                                "Transfer-Encoding: chunked\r\nContent-Length: 2",
                                "Content-Length: 2\r\nTransfer-Encoding: chunked",
                                "Transfer-Encoding: gzip\r\nContent-Length: 2",
                                "Transfer-Encoding: identity\r\nContent-Length: 2",
                                "Transfer-Encoding:\r\nContent-Length: 2",
                                "Transfer-Encoding: gzip, chunked",
                                "Transfer-Encoding: chunked, gzip",
                                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked");
  const auto isChunked = std::string_view(fields).find("chunked") != std::string_view::npos;
  CheckIsFailure(fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n{}\r\n\r\n{}",
                             fields,
                             isChunked ? "14\r\nid: 1\ndata: forged\n\n\r\n0\r\n\r\n" : "ok"));
}

// An interim response has no body. If it announces one, what follows is that or the answer.
TEST_CASE(
  "a response that announces a body which its status rules out is a failure of its endpoint",
  "[broken_answer]")
{
  const auto* head = GENERATE("100 Continue\r\nContent-Length: 71",
                              "103 Early Hints\r\nContent-Length: 71",
                              "103 Early Hints\r\nTransfer-Encoding: chunked",
                              "204 No Content\r\nContent-Length: 71",
                              "204 No Content\r\nTransfer-Encoding: chunked");
  CheckIsFailure(fmt::format("HTTP/1.1 {}\r\nRequest-Id: r1\r\nSeal: s\r\n\r\n"
                             "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n"
                             "Content-Length: 8\r\n\r\nsmuggled",
                             head));
}

TEST_CASE("an answer of HTTP/1.0 in chunks is a failure of its endpoint", "[broken_answer]")
{
  CheckIsFailure(
    "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n");
}

TEST_CASE("no byte behind a broken answer reaches the next request", "[broken_answer]")
{
  const auto* head = GENERATE("HTTP/1.1 000 OK\r\nRequest-Id: r1\r\nSeal: s\r\n",
                              "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nX Y: v\r\n",
                              "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nX: v\r\n w\r\n");
  auto fixture = gateway_fixture();
  auto requests = 0;
  auto endpoint =
    scripted_endpoint(fixture.Context(), "e1", [&](const http_request& aRequest) -> reaction {
      auto next = aRequest;
      next.set("Request-Id", "r2");
      return ++requests == 1 ? reaction{ head + std::string("Content-Length: 0\r\n\r\n") +
                                         SealedAnswer(next, "stale") }
                             : CompleteAnswer(aRequest);
    });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto first = RequestText("/once/x", {}, "r1");
    co_await fixture.Ask(std::move(first));
    auto second = RequestText("/once/x", {}, "r2");
    const auto answer = co_await fixture.Ask(std::move(second));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    CHECK(answer->mBody == "whole");
  });
}

// The fields after the last chunk were forwarded as if they had been in the head.
TEST_CASE("fields that follow the body do not join the head", "[broken_answer]")
{
  const auto result = ServeAfter("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
                                 "0\r\nSeal: forged\r\nRetry-After: 9\r\nX: v\r\n\r\n",
                                 "/once/x");
  REQUIRE(result.mAnswer);
  CHECK(result.mAnswer->mStatus == 200);
  CHECK(result.mAnswer->mBody == "ok");
  CHECK(result.mAnswer->mFields.count("Seal") == 1);
  CHECK(result.mAnswer->mFields["Seal"] == "s");
  CHECK(result.mAnswer->mFields.count("Retry-After") == 0);
  CHECK(result.mAnswer->mFields.count("X") == 0);
}

TEST_CASE("an answer with a broken field after its body is a failure of its endpoint",
          "[broken_answer]")
{
  const auto* field = GENERATE("X Y: v", "X : v", "X\x01: v", ": v", "X: a\nb");
  const auto result = ServeAfter(fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n"
                                             "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
                                             "0\r\n{}\r\n\r\n",
                                             field),
                                 "/once/x");
  REQUIRE(result.mAnswer);
  CHECK(result.mAnswer->mStatus == 502);
  CHECK(result.mRequests == 1);
}

TEST_CASE("an unusual but valid answer is forwarded", "[broken_answer]")
{
  const auto check = [](const std::string& aStart, const std::string& aFields, unsigned aStatus) {
    INFO(aStart << aFields);
    const auto result = ServeAfter(aStart + "\r\nRequest-Id: r1\r\nSeal: s\r\n" + aFields +
                                     "Content-Length: 5\r\n\r\nwhole",
                                   "/once/x");
    REQUIRE(result.mAnswer);
    CHECK(result.mAnswer->mStatus == aStatus);
    CHECK(result.mAnswer->mBody == "whole");
    return *result.mAnswer;
  };
  check("HTTP/1.1 299 Fine", "", 299);
  check("HTTP/1.1 418 Teapot", "", 418);
  check("HTTP/1.1 599 Odd", "", 599);
  check("HTTP/1.1 200 ", "", 200);
  check("HTTP/1.1 200 \xc3\xa9t\xc3\xa9", "", 200);
  check("HTTP/1.0 200 OK", "", 200);
  check("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK", "", 200);
  check("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", "", 200);
  CHECK(check("HTTP/1.1 200 OK", "X:\r\n", 200).mFields["X"].empty());
  CHECK(check("HTTP/1.1 200 OK", "X: \xe9t\xe9\r\n", 200).mFields["X"] == "\xe9t\xe9");
  CHECK(
    check("HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~9z: v\r\n", 200).mFields.count("!#$%&'*+-.^_`|~9z") ==
    1);
  check("HTTP/1.1 200 OK", "Content-Length: 5\r\n", 200);
  auto many = std::string();
  for (auto field = 0; field < 200; ++field) {
    many += fmt::format("X-{}: {}\r\n", field, field);
  }
  CHECK(check("HTTP/1.1 200 OK", many, 200).mFields["X-199"] == "199");
}

// The caller got the end of a chunked body behind an answer that has none, and took it for the
// start of the next answer.
TEST_CASE("an answer without a body on a streamed route leaves no bytes behind it",
          "[broken_answer]")
{
  const auto* method = GENERATE("GET", "HEAD");
  const auto* start = GENERATE("HTTP/1.1 204 No Content\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
  const auto isHead = method == std::string_view("HEAD");
  const auto isChunked = std::string_view(start).find("chunked") != std::string_view::npos;
  CAPTURE(method, start);
  auto fixture = gateway_fixture();
  auto endpoint =
    scripted_endpoint(fixture.Context(), "e1", [&](const http_request& aRequest) -> reaction {
      return aRequest["Request-Id"] == "r1"
               ? reaction{ start + std::string("Request-Id: r1\r\nSeal: s\r\n\r\n") +
                           (isChunked && !isHead ? "0\r\n\r\n" : "") }
               : CompleteAnswer(aRequest);
    });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto caller = test_caller(fixture.Context());
    co_await caller.Connect(fixture.CallerPort());
    auto first = method + RequestText("/stream/x", {}, "r1").substr(3);
    co_await caller.Send(std::move(first));
    const auto empty = co_await caller.Read(isHead);
    REQUIRE(empty);
    CHECK(empty->mStatus == std::stoul(std::string(start).substr(9, 3)));
    CHECK(empty->mBody.empty());
    auto second = RequestText("/once/x", {}, "r2");
    co_await caller.Send(std::move(second));
    const auto answer = co_await caller.Read();
    REQUIRE(answer);
    CHECK(answer->mBody == "whole");
  });
}
