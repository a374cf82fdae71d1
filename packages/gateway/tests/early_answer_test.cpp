// Guards against answers that begin while the request is still being sent and that break off, but
// reach the caller as complete ones; and against complete ones that are refused.

#include "gateway_harness.h"
#include "socket_options.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

#include <list>

using namespace bronzering;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// More than the buffers of a connection hold, so that an upload goes on while nothing reads it.
constexpr auto kUploadBytes = std::size_t{ 16 } * 1024 * 1024;

/// Timeouts of the routes. The operating system gives up a connection on which nothing is read
/// after 3 s.
constexpr auto kTimeout = duration(10s);
constexpr auto kShortTimeout = duration(2s);

/// When an early_endpoint answers.
enum class moment
{
  AtFirstByte,
  DuringUpload,
  AfterUpload
};

/// How the connection of an early_endpoint ends. The pause lets the other side read the answer
/// before.
enum class last_act
{
  Reset,
  PauseThenReset,
  /// With unread data on the connection, the operating system resets it.
  Close,
  ShutDownThenReset,
  /// Reads nothing more and leaves the connection open.
  Keep,
};

struct plan
{
  std::string mText;
  moment mMoment = moment::DuringUpload;
  last_act mLastAct = last_act::PauseThenReset;
};

/// An endpoint that answers each request with the same text before it has read the request whole.
class early_endpoint
{
public:
  early_endpoint(boost::asio::io_context& aContext, std::string aId, plan aPlan)
    : mId(std::move(aId))
    , mPlan(std::move(aPlan))
    , mAcceptor(aContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
  {
    boost::asio::co_spawn(aContext, Accept(), boost::asio::detached);
  }

  [[nodiscard]] auto Listed() const -> listed_endpoint { return ListedAs(mId, mAcceptor); }
  [[nodiscard]] auto Requests() const -> int { return mRequests; }

private:
  auto Accept() -> awaitable<void>
  {
    for (;;) {
      auto [error, socket] = co_await mAcceptor.async_accept(kUseTuple);
      if (error) {
        co_return;
      }
      mConnections.push_back(std::move(socket));
      co_await Serve(mConnections.back());
    }
  }

  auto Serve(tcp::socket& aSocket) -> awaitable<void>
  {
    // A check whether the endpoint has crashed connects and sends nothing.
    auto [waitError] = co_await aSocket.async_wait(tcp::socket::wait_read, kUseTuple);
    if (waitError || aSocket.available() == 0) {
      co_return;
    }
    if (mPlan.mMoment != moment::AtFirstByte) {
      auto input = std::string();
      auto [error, head] = co_await boost::asio::async_read_until(
        aSocket, boost::asio::dynamic_buffer(input), "\r\n\r\n", kUseTuple);
      if (mPlan.mMoment == moment::AfterUpload) {
        auto rest = std::string(head + kUploadBytes - input.size(), '\0');
        co_await boost::asio::async_read(aSocket, boost::asio::buffer(rest), kUseTuple);
      }
    }
    ++mRequests;
    co_await boost::asio::async_write(aSocket, boost::asio::buffer(mPlan.mText), kUseTuple);
    auto ignored = boost::system::error_code();
    switch (mPlan.mLastAct) {
      case last_act::PauseThenReset:
        co_await Pause(50ms);
        AbortSocket(aSocket);
        break;
      case last_act::Reset:
        AbortSocket(aSocket);
        break;
      case last_act::Close:
        aSocket.close(ignored);
        break;
      case last_act::ShutDownThenReset:
        aSocket.shutdown(tcp::socket::shutdown_send, ignored);
        co_await Pause(50ms);
        AbortSocket(aSocket);
        break;
      case last_act::Keep:
        break;
    }
  }

  std::string mId;
  plan mPlan;
  tcp::acceptor mAcceptor;
  std::list<tcp::socket> mConnections;
  int mRequests = 0;
};

auto UploadText(const std::string& aPath) -> std::string
{
  return fmt::format("POST {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r1\r\n"
                     "Authorization: Bearer secret\r\nContent-Length: {}\r\n\r\n",
                     aPath,
                     kUploadBytes) +
         std::string(kUploadBytes, 'x');
}

auto UploadDocument(duration aTimeout) -> routing_document
{
  auto document = TestDocument();
  document.mLimits.mMaxBodyBytes = 2 * kUploadBytes;
  for (auto& route : document.mRoutes) {
    route.mTimeout = aTimeout;
  }
  return document;
}

struct uploaded
{
  /// Empty if the response was broken off.
  std::optional<test_caller::answer> mAnswer;
  int mRequests = 0;
};

/// Sends a long request to a route whose endpoints all follow aPlan.
auto Upload(const std::string& aPath, const plan& aPlan, duration aTimeout = kTimeout) -> uploaded
{
  auto fixture = gateway_fixture();
  auto first = early_endpoint(fixture.Context(), "e1", aPlan);
  auto second = early_endpoint(fixture.Context(), "e2", aPlan);
  fixture.Publish(UploadDocument(aTimeout), { first.Listed(), second.Listed() });
  auto result = uploaded();
  fixture.Run([&]() -> awaitable<void> {
    auto request = UploadText(aPath);
    result.mAnswer = co_await fixture.Ask(std::move(request));
  });
  result.mRequests = first.Requests() + second.Requests();
  return result;
}

constexpr auto kSealedHead = std::string_view("200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n\r\n");

} // namespace

// The reset was reported to the side that wrote the request, and the side that read the response
// saw an end like that of a complete one.
TEST_CASE("an answer without a length that is reset during the upload is not complete",
          "[early_answer]")
{
  const auto* version = GENERATE("HTTP/1.1 ", "HTTP/1.0 ");
  const auto moment = GENERATE(moment::AtFirstByte, moment::DuringUpload, moment::AfterUpload);
  const auto act = GENERATE(
    last_act::PauseThenReset, last_act::Reset, last_act::Close, last_act::ShutDownThenReset);
  const auto isProperEnd =
    moment == moment::AfterUpload && (act == last_act::Close || act == last_act::ShutDownThenReset);
  if (isProperEnd) {
    return;
  }
  const auto head = version + std::string(kSealedHead);
  CAPTURE(version, moment, act);
  SECTION("plain")
  {
    const auto result = Upload("/once/x", { head + "a part", moment, act });
    REQUIRE(result.mAnswer);
    CHECK(result.mAnswer->mStatus == 502);
    CHECK(result.mAnswer->mBody.find(R"("not_run":"unknown")") != std::string::npos);
    CHECK(result.mRequests == 1);
  }
  SECTION("plain, repeated")
  {
    const auto result = Upload("/again/x", { head + "a part", moment, act });
    REQUIRE(result.mAnswer);
    CHECK(result.mAnswer->mStatus == 502);
    CHECK(result.mRequests == 2);
  }
  SECTION("a stream")
  {
    const auto result = Upload("/stream/x", { head + "id: 1\ndata: e1\n\n", moment, act });
    CHECK((!result.mAnswer || result.mAnswer->mStatus == 502));
    CHECK(result.mRequests == 1);
  }
}

TEST_CASE("an answer without a length that ends properly after the upload is complete",
          "[early_answer]")
{
  const auto* version = GENERATE("HTTP/1.1 ", "HTTP/1.0 ");
  const auto head = version + std::string(kSealedHead);
  const auto act = GENERATE(last_act::Close, last_act::ShutDownThenReset);
  const auto plain = Upload("/once/x", { head + "whole", moment::AfterUpload, act });
  REQUIRE(plain.mAnswer);
  CHECK(plain.mAnswer->mStatus == 200);
  CHECK(plain.mAnswer->mBody == "whole");
  const auto stream =
    Upload("/stream/x", { head + "id: 1\ndata: e1\n\n", moment::AfterUpload, act });
  REQUIRE(stream.mAnswer);
  CHECK(stream.mAnswer->mBody == "id: 1\ndata: e1\n\n");
}

TEST_CASE("a complete answer with a length reaches the caller although the upload goes on",
          "[early_answer]")
{
  const auto* start = GENERATE("HTTP/1.1 413 Too Large", "HTTP/1.1 401 No", "HTTP/1.1 200 OK");
  const auto act = GENERATE(last_act::PauseThenReset,
                            last_act::Reset,
                            last_act::Close,
                            last_act::ShutDownThenReset,
                            last_act::Keep);
  CAPTURE(start, act);
  const auto result =
    Upload("/once/x",
           { start + std::string("\r\nRequest-Id: r1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole"),
             moment::DuringUpload,
             act });
  REQUIRE(result.mAnswer);
  CHECK(result.mAnswer->mStatus == std::stoul(std::string(start).substr(9, 3)));
  CHECK(result.mAnswer->mBody == "whole");
  CHECK(result.mRequests == 1);
}

// The answer waited for the end of the upload, which no one read, until the caller's time was over.
TEST_CASE("an answer that refuses an upload reaches the caller although no one reads the upload",
          "[early_answer]")
{
  const auto* start = GENERATE("HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n",
                               "HTTP/1.1 401 No\r\nContent-Length: 5\r\n",
                               "HTTP/1.0 500 Error\r\nContent-Length: 5\r\n");
  const auto kept = plan{ start + std::string("Request-Id: r1\r\nSeal: s\r\n\r\nwhole"),
                          moment::DuringUpload,
                          last_act::Keep };
  CAPTURE(start);
  const auto result = Upload("/once/x", kept, kShortTimeout);
  REQUIRE(result.mAnswer);
  CHECK(result.mAnswer->mStatus == std::stoul(std::string(start).substr(9, 3)));
  CHECK(result.mAnswer->mBody == "whole");
  CHECK(result.mRequests == 1);
}

// An endpoint that was full, and said so before it read the request, kept the request from the
// others.
TEST_CASE("an upload that an endpoint declines without reading it is sent elsewhere at once",
          "[early_answer]")
{
  const auto declined = plan{ "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
                              "Content-Length: 4\r\n\r\nfull",
                              moment::DuringUpload,
                              last_act::Keep };
  const auto result = Upload("/once/x", declined, kShortTimeout);
  REQUIRE(result.mAnswer);
  CHECK(result.mAnswer->mStatus == 503);
  CHECK(result.mAnswer->mBody.find(R"("not_run":true)") != std::string::npos);
  CHECK(result.mRequests == 2);
}

// The attempt had failed, and went on until the caller's time was over.
TEST_CASE("a broken answer to an upload that no one reads fails at once", "[early_answer]")
{
  const auto* start =
    GENERATE("HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: v\r\n", "garbage\r\n");
  const auto kept =
    plan{ start + std::string("Request-Id: r1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"),
          moment::DuringUpload,
          last_act::Keep };
  CAPTURE(start);
  const auto once = Upload("/once/x", kept, kShortTimeout);
  REQUIRE(once.mAnswer);
  CHECK(once.mAnswer->mStatus == 502);
  CHECK(once.mRequests == 1);
  const auto repeated = Upload("/again/x", kept, kShortTimeout);
  REQUIRE(repeated.mAnswer);
  CHECK(repeated.mAnswer->mStatus == 502);
  CHECK(repeated.mRequests == 2);
}

TEST_CASE("a framed answer that is broken off during the upload is not complete", "[early_answer]")
{
  const auto head = std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\n");
  const auto act = GENERATE(last_act::PauseThenReset, last_act::Reset, last_act::Close);
  const auto uploadFor = [&](const std::string& aRest) {
    return Upload("/once/x", { head + aRest, moment::DuringUpload, act });
  };
  CAPTURE(act);
  const auto chunked = std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
  for (const auto& part : { chunked, std::string("Content-Length: 5\r\n\r\nok") }) {
    const auto result = uploadFor(part);
    REQUIRE(result.mAnswer);
    CHECK(result.mAnswer->mStatus == 502);
  }
  const auto whole = uploadFor(chunked + "0\r\n\r\n");
  REQUIRE(whole.mAnswer);
  CHECK(whole.mAnswer->mStatus == 200);
  CHECK(whole.mAnswer->mBody == "ok");
}
