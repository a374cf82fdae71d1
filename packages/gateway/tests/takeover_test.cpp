#include "gateway_harness.h"

#include <bronzering/dispatch/hedge_policy.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

#include <array>
#include <optional>
#include <thread>
#include <utility>

using namespace bronzering;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::tcp;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;

namespace {

constexpr auto kWholeStream =
  std::string_view("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                   "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n");
/// The end of a streamed response.
constexpr auto kEnd = std::string_view("0\r\n\r\n");

/// An endpoint on loopback that takes one request and writes what the test tells it to.
class stepped_endpoint
{
public:
  stepped_endpoint(boost::asio::io_context& aContext, std::string aId)
    : mId(std::move(aId))
    , mAcceptor(aContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , mSocket(aContext)
  {
    boost::asio::co_spawn(
      aContext, [this] { return AcceptRequest(); }, boost::asio::detached);
  }

  [[nodiscard]] auto Listed() const -> listed_endpoint { return ListedAs(mId, mAcceptor); }
  /// Empty until the request has arrived.
  [[nodiscard]] auto Request() const -> const std::optional<http_request>& { return mRequest; }
  /// Writes without giving the processor to the gateway, which then sees everything at once.
  auto Write(std::string_view aText) -> void
  {
    boost::asio::write(mSocket, boost::asio::buffer(aText));
  }

private:
  auto AcceptRequest() -> awaitable<void>
  {
    mSocket = co_await mAcceptor.async_accept(boost::asio::use_awaitable);
    auto buffer = boost::beast::flat_buffer();
    auto request = http_request();
    co_await boost::beast::http::async_read(mSocket, buffer, request, boost::asio::use_awaitable);
    mRequest = std::move(request);
  }

  std::string mId;
  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  std::optional<http_request> mRequest;
};

/// The header of a streamed response, and the events from aFirst to aLast as one chunk.
auto HeaderAndEvents(const http_request& aRequest, int aFirst, int aLast)
  -> std::pair<std::string, std::string>
{
  const auto text = Events(aRequest, aFirst, aLast);
  const auto end = text.find("\r\n\r\n") + 4;
  return { text.substr(0, end), text.substr(end) };
}

} // namespace

// The events of a silent endpoint that recovered just as another one took over were counted as sent
// to the caller, who then missed them.
TEST_CASE("no event is skipped if two endpoints go on with a stream at the same time", "[takeover]")
{
  auto fixture = gateway_fixture();
  auto endpoints =
    std::pair<stepped_endpoint, stepped_endpoint>(std::piecewise_construct,
                                                  std::forward_as_tuple(fixture.Context(), "e1"),
                                                  std::forward_as_tuple(fixture.Context(), "e2"));
  auto cutEvent = std::string();
  SECTION("in whole events") {}
  SECTION("in the middle of an event")
  {
    cutEvent = "id: 5\nda";
  }
  fixture.Publish(TestDocument(), { endpoints.first.Listed(), endpoints.second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto answer = std::optional<test_caller::answer>();
    StartAsk(fixture, RequestText("/resume/x"), answer);
    for (auto turn = 0; turn < 500 && !endpoints.first.Request() && !endpoints.second.Request();
         ++turn) {
      co_await Pause(10ms);
    }
    const auto isFirst = endpoints.first.Request().has_value();
    auto& silent = isFirst ? endpoints.first : endpoints.second;
    auto& other = isFirst ? endpoints.second : endpoints.first;
    REQUIRE(silent.Request());
    silent.Write(Events(*silent.Request(), 1, 3));
    for (auto turn = 0; turn < 500 && !other.Request(); ++turn) {
      co_await Pause(10ms);
    }
    REQUIRE(other.Request());
    CHECK((*other.Request())["Last-Event-Id"] == "3");

    other.Write(HeaderAndEvents(*other.Request(), 4, 4).first);
    co_await Pause(20ms);
    auto fourth = HeaderAndEvents(*other.Request(), 4, 4).second;
    auto rest = HeaderAndEvents(*other.Request(), 5, 6).second;
    if (!cutEvent.empty()) {
      const auto chunk = [](const std::string& aBytes) {
        return fmt::format("{:x}\r\n{}\r\n", aBytes.size(), aBytes);
      };
      fourth = chunk("id: 4\ndata: e4\n\n" + cutEvent);
      rest = chunk("ta: e5\n\nid: 6\ndata: e6\n\n");
    }
    other.Write(fourth);
    silent.Write(HeaderAndEvents(*silent.Request(), 4, 6).second);
    co_await Pause(20ms);
    other.Write(rest + std::string(kEnd));
    co_await Pause(50ms);
    REQUIRE(answer);
    CHECK(answer->mBody == kWholeStream);
  });
}

// After a takeover that failed the request counted as not answered yet, and was hedged.
TEST_CASE("a stream that has begun is not hedged", "[takeover]")
{
  auto fixture = gateway_fixture("127.0.0.1", {}, {}, 30s, 100);
  auto arrived = 0;
  auto isWarm = false;
  const auto script = [&](const http_request& aRequest) -> reaction {
    if (!isWarm) {
      return { Events(aRequest, 1, 2) + std::string(kEnd), ending::Keep };
    }
    if (++arrived > 1) {
      return { "", ending::Reset };
    }
    return { Events(aRequest, 1, 3),
             ending::Keep,
             HeaderAndEvents(aRequest, 4, 6).second + std::string(kEnd),
             1'500ms };
  };
  auto endpoints = std::array{ scripted_endpoint(fixture.Context(), "e1", script),
                               scripted_endpoint(fixture.Context(), "e2", script),
                               scripted_endpoint(fixture.Context(), "e3", script) };
  auto document = TestDocument();
  document.mServices[0].mIsModel = false;
  for (auto& route : document.mRoutes) {
    route.mMaxAttempts = route.mName == "resume" ? 3 : route.mMaxAttempts;
  }
  fixture.Publish(document,
                  { endpoints[0].Listed(), endpoints[1].Listed(), endpoints[2].Listed() });
  fixture.Run([&]() -> awaitable<void> {
    for (auto count = 0.0; count < hedge_policy::kMinAnswers; ++count) {
      auto text = RequestText("/resume/x");
      const auto answer = co_await fixture.Ask(std::move(text));
      REQUIRE(answer);
    }
    isWarm = true;
    auto text = RequestText("/resume/x");
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mBody == kWholeStream);
    CHECK(arrived == 2);
  });
}

// An entry that had stood still for a moment took sound endpoints for silent ones, spent retries on
// them and avoided them.
TEST_CASE("an endpoint whose events were read late is not taken for a silent one", "[takeover]")
{
  auto fixture = gateway_fixture();
  auto endpoints =
    std::pair<stepped_endpoint, stepped_endpoint>(std::piecewise_construct,
                                                  std::forward_as_tuple(fixture.Context(), "e1"),
                                                  std::forward_as_tuple(fixture.Context(), "e2"));
  fixture.Publish(TestDocument(), { endpoints.first.Listed(), endpoints.second.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto answer = std::optional<test_caller::answer>();
    StartAsk(fixture, RequestText("/resume/x"), answer);
    for (auto turn = 0; turn < 500 && !endpoints.first.Request() && !endpoints.second.Request();
         ++turn) {
      co_await Pause(10ms);
    }
    auto& endpoint = endpoints.first.Request() ? endpoints.first : endpoints.second;
    REQUIRE(endpoint.Request());
    endpoint.Write(Events(*endpoint.Request(), 1, 3));
    co_await Pause(800ms);
    endpoint.Write(HeaderAndEvents(*endpoint.Request(), 4, 6).second + std::string(kEnd));
    std::this_thread::sleep_for(400ms);
    co_await Pause(100ms);
    REQUIRE(answer);
    CHECK(answer->mBody == kWholeStream);
    const auto labels = std::string("service=\"engines\",result=\"lost\"");
    CHECK(fixture.Metrics().Counter("bronzering_takeovers_total", labels).Value() == 0);
  });
}

// An endpoint that had taken over and then fell silent was waited for until the request timed out.
TEST_CASE("an endpoint that has taken over and falls silent is taken over from as well",
          "[takeover]")
{
  auto fixture = gateway_fixture();
  auto arrived = 0;
  const auto script = [&](const http_request& aRequest) -> reaction {
    switch (++arrived) {
      case 1:
        return { Events(aRequest, 1, 3), ending::Hang };
      case 2:
        return { Events(aRequest, 4, 4), ending::Hang };
      default:
        return { Events(aRequest, 5, 6) + std::string(kEnd), ending::Keep };
    }
  };
  auto endpoints = std::array{ scripted_endpoint(fixture.Context(), "e1", script),
                               scripted_endpoint(fixture.Context(), "e2", script),
                               scripted_endpoint(fixture.Context(), "e3", script) };
  auto document = TestDocument();
  for (auto& route : document.mRoutes) {
    route.mMaxAttempts = route.mName == "resume" ? 3 : route.mMaxAttempts;
    route.mTimeout = 5s;
  }
  fixture.Publish(document,
                  { endpoints[0].Listed(), endpoints[1].Listed(), endpoints[2].Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto text = RequestText("/resume/x");
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mBody == kWholeStream);
  });
}
