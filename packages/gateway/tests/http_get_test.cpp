#include "gateway_harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

constexpr auto kTimeout = 5s;

auto Answer(std::string_view aBody) -> std::string
{
  return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", aBody.size(), aBody);
}

/// The answers to /first and /second on one client, where the server's answer to /first is aText.
struct two_answers
{
  std::optional<http_answer> mFirst;
  std::optional<http_answer> mSecond;
};
auto GetTwice(const std::string& aText, ending aEnding = ending::Keep) -> two_answers
{
  auto context = boost::asio::io_context(1);
  auto server = scripted_endpoint(context, "s", [&](const http_request& aRequest) -> reaction {
    return aRequest.target() == "/first" ? reaction{ aText, aEnding }
                                         : reaction{ Answer("second") };
  });
  auto client = http_get_client(context.get_executor(), server.Listed().mAddress, 1'000'000);
  auto answers = two_answers();
  const auto test = [&]() -> awaitable<void> {
    answers.mFirst = co_await client.Get("/first", kTimeout);
    answers.mSecond = co_await client.Get("/second", kTimeout);
    context.stop();
  };
  boost::asio::co_spawn(context, test(), boost::asio::detached);
  context.run_for(4 * kTimeout);
  return answers;
}

} // namespace

TEST_CASE("a broken answer to a GET is none, and the next answer is its own", "[http_get]")
{
  const auto* head = GENERATE("HTTP/1.1 000 OK\r\n",
                              "HTTP/1.1 101 Switching\r\n",
                              "HTTP/1.1 600 Odd\r\n",
                              "HTTP/1.1 200 OK\r\nX Y: v\r\n",
                              "HTTP/1.1 200 OK\r\nX: v\r\n w\r\n",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
                              "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n");
  INFO(head);
  const auto forged = Answer("forged");
  const auto answers =
    GetTwice(fmt::format("{}Content-Length: {}\r\n\r\n{}", head, forged.size(), forged));
  CHECK_FALSE(answers.mFirst);
  REQUIRE(answers.mSecond);
  CHECK(answers.mSecond->mBody == "second");
}

// An interim response was taken for the answer, and the answer for that to the next request.
TEST_CASE("the answer to a GET is the final one", "[http_get]")
{
  const auto answers =
    GetTwice("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + Answer("first"));
  REQUIRE(answers.mFirst);
  CHECK(answers.mFirst->mStatus == 200);
  CHECK(answers.mFirst->mBody == "first");
  REQUIRE(answers.mSecond);
  CHECK(answers.mSecond->mBody == "second");
}

// Bytes behind an answer were taken for that to the next request.
TEST_CASE("a surplus answer to a GET is not that to the next one", "[http_get]")
{
  const auto answers = GetTwice(Answer("first") + Answer("surplus"));
  REQUIRE(answers.mFirst);
  CHECK(answers.mFirst->mBody == "first");
  REQUIRE(answers.mSecond);
  CHECK(answers.mSecond->mBody == "second");
}

// A field after the body, such as the number of a history, counted as one of the head.
TEST_CASE("the fields of an answer to a GET are those of its head", "[http_get]")
{
  const auto answers = GetTwice("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "5\r\nfirst\r\n0\r\nHistory: 9\r\n\r\n");
  REQUIRE(answers.mFirst);
  CHECK(answers.mFirst->mBody == "first");
  CHECK(answers.mFirst->mFields.count("History") == 0);
  REQUIRE(answers.mSecond);
  CHECK(answers.mSecond->mBody == "second");
}

TEST_CASE("an answer to a GET without a length is complete only at a regular end", "[http_get]")
{
  const auto text = std::string("HTTP/1.1 200 OK\r\n\r\nfirst");
  CHECK_FALSE(GetTwice(text, ending::Reset).mFirst);
  const auto answers = GetTwice(text, ending::Close);
  REQUIRE(answers.mFirst);
  CHECK(answers.mFirst->mBody == "first");
  REQUIRE(answers.mSecond);
  CHECK(answers.mSecond->mBody == "second");
}
