#include "gateway_harness.h"

#include <catch2/catch.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>

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
