#include "gateway_harness.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

#include <catch2/catch.hpp>

#include <chrono>

using namespace bronzering;
using namespace std::chrono_literals;
using namespace boost::asio::experimental::awaitable_operators;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

/// Sends aCount requests to the entry at aPort, one after another; returns how many were answered.
auto AskMany(boost::asio::io_context& aContext, std::uint16_t aPort, int aCount) -> awaitable<int>
{
  auto answered = 0;
  for (auto request = 0; request < aCount; ++request) {
    auto caller = test_caller(aContext);
    co_await caller.Connect(aPort);
    auto text = RequestText("/once/x", "", "r" + std::to_string(request));
    co_await caller.Send(std::move(text));
    const auto answer = co_await caller.Read();
    answered += answer && answer->mStatus == 200 ? 1 : 0;
  }
  co_return answered;
}

/// Runs the context of another fixture from this one.
auto RunBeside(gateway_fixture& aOther) -> awaitable<void>
{
  for (;;) {
    aOther.Context().restart();
    aOther.Context().poll();
    co_await Pause(1ms);
  }
}

auto LimitedAnswer(const http_request& aRequest, const std::string& aLimit) -> reaction
{
  auto text = SealedAnswer(aRequest, "whole");
  text.insert(text.find("\r\n") + 2, "Rate-Limit: " + aLimit + "\r\n");
  return { std::move(text), ending::Keep };
}

} // namespace

// Each entry went on sending what it had sent before an endpoint named its limit.
TEST_CASE("an endpoint gets no more requests from all entries than the rate limit it has named",
          "[endpoint_rate_limit]")
{
  constexpr auto kLimitPerSecond = 8.0;
  auto fixture = gateway_fixture("127.0.0.1");
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", [](const http_request& aRequest) {
    return LimitedAnswer(aRequest, "8.0");
  });
  auto other = gateway_fixture("127.0.0.2", { "127.0.0.1" });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  other.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    const auto test = [&]() -> awaitable<void> {
      while (fixture.Metrics().Gauge("bronzering_live_peers").Value() < 1 ||
             other.Metrics().Gauge("bronzering_live_peers").Value() < 1) {
        co_await Pause(5ms);
      }
      const auto started = std::chrono::steady_clock::now();
      auto [first, second] = co_await (AskMany(fixture.Context(), fixture.CallerPort(), 40) &&
                                       AskMany(fixture.Context(), other.CallerPort(), 40));
      const auto elapsed =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - started).count();
      CHECK(static_cast<double>(endpoint.Requests().size()) <= 1.5 * kLimitPerSecond * elapsed + 5);
      CHECK(first > 0);
      CHECK(second > 0);
    };
    co_await (test() || RunBeside(other));
  });
}

TEST_CASE("a rate limit ends with the first answer that names none", "[endpoint_rate_limit]")
{
  auto fixture = gateway_fixture();
  auto requests = 0;
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", [&](const http_request& aRequest) {
    return ++requests == 1 ? LimitedAnswer(aRequest, "50")
                           : reaction{ SealedAnswer(aRequest, "whole"), ending::Keep };
  });
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    while (requests < 2) {
      co_await AskMany(fixture.Context(), fixture.CallerPort(), 1);
    }
    const auto answered = co_await AskMany(fixture.Context(), fixture.CallerPort(), 20);
    CHECK(answered == 20);
  });
}
