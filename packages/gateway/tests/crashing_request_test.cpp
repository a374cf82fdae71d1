#include "captured_output.h"
#include "gateway_harness.h"

#include <boost/json/parse.hpp>

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <memory>
#include <sstream>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

constexpr auto kEndpoints = 12U;
/// Crashes of one request count as independent from this time between them.
constexpr auto kBetweenCrashes = 1'100ms;
/// For connection attempts on loopback.
constexpr auto kSettle = 100ms;

auto CrashesEndpoints(const http_request& aRequest) -> bool
{
  return aRequest.target().find("crashing") != std::string::npos ||
         aRequest.body().find("crashing") != std::string::npos;
}

/// Crashes when it begins such a request, or in the sixth event of its stream.
auto CrashOnRequest(const http_request& aRequest) -> reaction
{
  const auto isStream =
    aRequest.target().starts_with("/stream/") || aRequest.target().starts_with("/resume/");
  if (!CrashesEndpoints(aRequest)) {
    return { SealedAnswer(aRequest, isStream ? "id: 1\ndata: whole\n\n" : "whole"), ending::Keep };
  }
  return isStream ? reaction{ Events(aRequest, 1, 5), ending::Crash, "20\r\nid: 6\nda", 30ms }
                  : reaction{ "", ending::Crash };
}

class scripted_fleet
{
public:
  explicit scripted_fleet(gateway_fixture& aFixture,
                          const scripted_endpoint::script& aScript = CrashOnRequest,
                          const routing_document& aDocument = TestDocument())
  {
    auto listed = std::vector<listed_endpoint>();
    for (auto index = 0U; index < kEndpoints; ++index) {
      mEndpoints.emplace_back(aFixture.Context(), "e" + std::to_string(index), aScript);
      listed.push_back(mEndpoints.back().Listed());
    }
    aFixture.Publish(aDocument, std::move(listed));
  }

  /// Number of crashing requests that reached endpoints.
  [[nodiscard]] auto Reached() const -> std::ptrdiff_t
  {
    auto count = std::ptrdiff_t{ 0 };
    for (const auto& endpoint : mEndpoints) {
      const auto& requests = endpoint.Requests();
      count += std::count_if(requests.begin(), requests.end(), CrashesEndpoints);
    }
    return count;
  }

private:
  std::vector<scripted_endpoint> mEndpoints;
};

auto PostText(const std::string& aPath,
              const std::string& aId,
              const std::string& aBody,
              const std::string& aKey = "secret") -> std::string
{
  return fmt::format("POST {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\n"
                     "Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{}",
                     aPath,
                     aId,
                     aKey,
                     aBody.size(),
                     aBody);
}

/// The same with the body in chunks of aChunk bytes.
auto ChunkedPostText(const std::string& aPath,
                     const std::string& aId,
                     const std::string& aBody,
                     std::size_t aChunk) -> std::string
{
  auto text = fmt::format("POST {} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {}\r\n"
                          "Authorization: Bearer secret\r\nTransfer-Encoding: chunked\r\n\r\n",
                          aPath,
                          aId);
  for (auto at = std::size_t{ 0 }; at < aBody.size(); at += aChunk) {
    const auto part = aBody.substr(at, aChunk);
    text += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
  }
  return text + "0\r\n\r\n";
}

auto IsRefused(const std::optional<test_caller::answer>& aAnswer) -> bool
{
  return aAnswer && aAnswer->mStatus == 503 && !aAnswer->mFields["Retry-After"].empty() &&
         aAnswer->mBody.find("crashed endpoints") != std::string::npos &&
         aAnswer->mBody.find("\"not_run\":true") != std::string::npos;
}

} // namespace

// One request, sent again with new ids, crashed one endpoint after another.
TEST_CASE("requests that crash endpoints are kept from further endpoints", "[crashing_request]")
{
  auto text = std::function<std::string(int)>();
  // The entry itself sends the request once more unless that is known to be pointless.
  auto allowed = 2;
  SECTION("a lookup")
  {
    text = [](int aId) { return RequestText("/again/crashing", "", std::to_string(aId)); };
    allowed = 3;
  }
  SECTION("an order")
  {
    text = [](int aId) { return PostText("/once/x", std::to_string(aId), "crashing order"); };
  }
  SECTION("an order whose chunks differ")
  {
    text = [](int aId) {
      return ChunkedPostText(
        "/once/x", std::to_string(aId), "crashing order", static_cast<std::size_t>(aId) + 2);
    };
  }
  SECTION("a stream after five events")
  {
    text = [](int aId) { return RequestText("/stream/crashing", "", std::to_string(aId)); };
  }
  SECTION("a resumable stream after five events")
  {
    text = [](int aId) { return RequestText("/resume/crashing", "", std::to_string(aId)); };
    allowed = 3;
  }

  auto fixture = gateway_fixture();
  auto fleet = scripted_fleet(fixture);
  fixture.Run([&]() -> awaitable<void> {
    co_await fixture.Ask(text(0));
    co_await Pause(kBetweenCrashes);
    co_await fixture.Ask(text(1));
    co_await Pause(kSettle);
    CHECK(fleet.Reached() <= allowed);
    for (auto id = 2; id < 5; ++id) {
      const auto answer = co_await fixture.Ask(text(id));
      CHECK(IsRefused(answer));
    }
    CHECK(fleet.Reached() <= allowed);
  });
}

// A sound request that was at the endpoints when another crashed them was taken for the cause.
TEST_CASE("a request that crashes of another one broke off is served when it comes again",
          "[crashing_request]")
{
  auto fixture = gateway_fixture();
  // Holds sound streams open until the crash.
  const auto hold = [](const http_request& aRequest) {
    return CrashesEndpoints(aRequest) ? reaction{ "", ending::Crash }
                                      : reaction{ Events(aRequest, 1, 3), ending::Hang };
  };
  auto first = scripted_endpoint(fixture.Context(), "first", hold);
  auto second = scripted_endpoint(fixture.Context(), "second", hold);
  fixture.Run([&]() -> awaitable<void> {
    for (auto* endpoint : { &first, &second }) {
      fixture.Publish(TestDocument(), { endpoint->Listed() });
      auto sound = std::optional<test_caller::answer>();
      StartAsk(fixture, RequestText("/stream/sound", "", "sound"), sound);
      while (endpoint->Requests().empty()) {
        co_await Pause(5ms);
      }
      auto text = RequestText("/once/crashing", "", "crashing");
      co_await fixture.Ask(std::move(text));
      co_await Pause(kBetweenCrashes);
    }
    auto fleet = scripted_fleet(fixture);
    auto text = RequestText("/stream/sound", "", "again");
    const auto answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
  });
}

// Requests that have only their path, or only their body, in common with the cause were rejected.
TEST_CASE("requests that differ from the crashing one in body or caller are served",
          "[crashing_request]")
{
  auto document = TestDocument();
  document.mOrganisations.push_back({ "bulbs", { "other" } });
  auto fixture = gateway_fixture();
  // The same body is sound where another organisation sends it.
  const auto script = [](const http_request& aRequest) {
    return aRequest["Organisation"] == "bulbs"
             ? reaction{ SealedAnswer(aRequest, "whole"), ending::Keep }
             : CrashOnRequest(aRequest);
  };
  auto fleet = scripted_fleet(fixture, script, document);
  fixture.Run([&]() -> awaitable<void> {
    for (auto id = 0; id < 2; ++id) {
      auto text = PostText("/once/x", std::to_string(id), "crashing order");
      co_await fixture.Ask(std::move(text));
      co_await Pause(kBetweenCrashes);
    }
    auto text = PostText("/once/x", "same", "crashing order");
    auto answer = co_await fixture.Ask(std::move(text));
    CHECK(IsRefused(answer));
    text = PostText("/once/x", "body", "sound order");
    answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
    text = PostText("/once/x", "caller", "crashing order", "other");
    answer = co_await fixture.Ask(std::move(text));
    REQUIRE(answer);
    CHECK(answer->mStatus == 200);
  });
}

// Broken connections are no crashes, and must not keep a request from being served.
TEST_CASE("a request whose connections are reset without a crash is not suspected",
          "[crashing_request]")
{
  auto fixture = gateway_fixture();
  auto fleet = scripted_fleet(fixture, [](const http_request&) {
    return reaction{ "", ending::Reset };
  });
  fixture.Run([&]() -> awaitable<void> {
    for (auto id = 0; id < 4; ++id) {
      auto text = RequestText("/once/crashing", "", std::to_string(id));
      const auto answer = co_await fixture.Ask(std::move(text));
      REQUIRE(answer);
      CHECK(answer->mStatus == 502);
      co_await Pause(kBetweenCrashes / 2);
    }
    CHECK(fleet.Reached() == 4);
  });
}

// Crashes that have another cause must not keep a request from being served that was answered in
// between.
TEST_CASE("a complete answer clears a request of earlier crashes", "[crashing_request]")
{
  auto path = std::string();
  SECTION("a lookup")
  {
    path = "/again/crashing";
  }
  SECTION("a stream")
  {
    path = "/stream/crashing";
  }
  auto count = 0;
  const auto script = [&count](const http_request& aRequest) {
    ++count;
    return count == 1 || count == 4
             ? reaction{ "", ending::Crash }
             : reaction{ SealedAnswer(aRequest, "id: 1\ndata: whole\n\n"), ending::Keep };
  };
  auto document = TestDocument();
  for (auto& route : document.mRoutes) {
    route.mMaxAttempts = 1;
  }
  auto fixture = gateway_fixture();
  auto fleet = scripted_fleet(fixture, script, document);
  fixture.Run([&]() -> awaitable<void> {
    for (auto id = 0; id < 6; ++id) {
      auto text = RequestText(path, "", std::to_string(id));
      const auto answer = co_await fixture.Ask(std::move(text));
      co_await Pause(kBetweenCrashes / 3);
      const auto isServed = answer && answer->mStatus == 200;
      CHECK(isServed == (id != 0 && id != 3));
    }
    CHECK(fleet.Reached() == 6);
  });
}

// The log could not tell a request that crashes endpoints from a prompt part that does.
TEST_CASE("a refused request is logged with its crashes", "[crashing_request]")
{
  auto output = captured_output();
  auto fixture = std::make_unique<gateway_fixture>();
  auto fleet = std::make_unique<scripted_fleet>(*fixture);
  fixture->Run([&]() -> awaitable<void> {
    for (auto id = 0; id < 3; ++id) {
      auto text = RequestText("/stream/crashing", "Prompt-Parts: a:10,b:5\r\n", std::to_string(id));
      co_await fixture->Ask(std::move(text));
      co_await Pause(kBetweenCrashes);
    }
  });
  CHECK(fixture->Metrics().Counter("bronzering_request_quarantine_refusals_total").Value() == 1);
  CHECK(fixture->Metrics().Counter("bronzering_quarantine_refusals_total").Value() == 0);
  const auto log = output.Drain([&] {
    fleet.reset();
    fixture.reset();
  });
  auto crashes = 0;
  auto refusals = 0;
  auto lines = std::istringstream(log);
  for (auto text = std::string(); std::getline(lines, text);) {
    const auto line = boost::json::parse(text).as_object();
    if (line.at("event") == "endpoint_crashed") {
      ++crashes;
      CHECK(line.at("broken_off") == 1);
      CHECK(line.at("unanswered") == 0);
    }
    if (line.at("event") == "request_ended" && line.at("outcome") == "refused") {
      ++refusals;
      CHECK(line.at("suspected_request") == true);
      CHECK(!line.contains("suspected_part"));
      CHECK(line.at("crashes") == 2);
    }
  }
  CHECK(crashes == 2);
  CHECK(refusals == 1);
}

// A request that had crashed endpoints while it waited for a place was sent to one more.
TEST_CASE("a request that becomes suspect while it waits for a place is refused",
          "[crashing_request]")
{
  auto fixture = gateway_fixture();
  const auto crashLate = [](const http_request&) {
    return reaction{ "", ending::Crash, "HTTP/1.1", 300ms };
  };
  const auto hold = [](const http_request& aRequest) {
    return reaction{ "", ending::Keep, SealedAnswer(aRequest, "held"), 700ms };
  };
  auto first = scripted_endpoint(fixture.Context(), "first", crashLate);
  auto second = scripted_endpoint(fixture.Context(), "second", crashLate);
  auto busy = scripted_endpoint(fixture.Context(), "busy", hold);
  const auto oneSlot = [](const scripted_endpoint& aEndpoint) {
    auto listed = aEndpoint.Listed();
    listed.mSlots = 1;
    return listed;
  };
  auto document = TestDocument();
  for (auto& route : document.mRoutes) {
    // Less urgent than other routes, it needs a free slot.
    route.mPriority = route.mName == "once" ? 1 : 0;
  }
  fixture.Run([&]() -> awaitable<void> {
    fixture.Publish(document, { oneSlot(first) });
    auto text = PostText("/once/x", "0", "crashing order");
    co_await fixture.Ask(std::move(text));
    co_await Pause(kBetweenCrashes);

    auto held = std::optional<test_caller::answer>();
    auto crashed = std::optional<test_caller::answer>();
    auto waiting = std::optional<test_caller::answer>();
    fixture.Publish(document, { oneSlot(busy) });
    StartAsk(fixture, PostText("/once/x", "held", "sound order"), held);
    while (busy.Requests().empty()) {
      co_await Pause(5ms);
    }
    fixture.Publish(document, { oneSlot(busy), oneSlot(second) });
    StartAsk(fixture, PostText("/once/x", "1", "crashing order"), crashed);
    while (second.Requests().empty()) {
      co_await Pause(5ms);
    }
    StartAsk(fixture, PostText("/once/x", "2", "crashing order"), waiting);
    co_await Pause(kSettle);
    CHECK(!waiting);
    // The one that has crashed is not offered again.
    fixture.Publish(document, { oneSlot(busy) });
    while (!waiting || !held) {
      co_await Pause(5ms);
    }
    CHECK(IsRefused(waiting));
    CHECK(busy.Requests().size() == 1);
  });
}
