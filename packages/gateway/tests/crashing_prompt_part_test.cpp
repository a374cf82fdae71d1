#include "gateway_harness.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bronzering;
using namespace std::chrono_literals;
using ending = scripted_endpoint::ending;
using reaction = scripted_endpoint::reaction;
using boost::asio::awaitable;

namespace {

constexpr auto kEndpoints = 8U;

/// Crashes when it begins to answer a request whose prompt contains the part "bad".
auto CrashOnBadPart(const http_request& aRequest) -> reaction
{
  const auto parts = aRequest["Prompt-Parts"];
  return parts.find("bad:") == parts.npos
           ? reaction{ SealedAnswer(aRequest, "data: whole\n\n"), ending::Keep }
           : reaction{ "", ending::Crash };
}

class crashing_fleet
{
public:
  explicit crashing_fleet(gateway_fixture& aFixture)
  {
    auto listed = std::vector<listed_endpoint>();
    for (auto index = 0U; index < kEndpoints; ++index) {
      mEndpoints.emplace_back(aFixture.Context(), "e" + std::to_string(index), CrashOnBadPart);
      listed.push_back(mEndpoints.back().Listed());
    }
    aFixture.Publish(TestDocument(), std::move(listed));
  }

  [[nodiscard]] auto BadRequests() const -> std::ptrdiff_t
  {
    auto count = std::ptrdiff_t{ 0 };
    for (const auto& endpoint : mEndpoints) {
      const auto& requests = endpoint.Requests();
      count += std::count_if(requests.begin(), requests.end(), [](const auto& aRequest) {
        return aRequest["Prompt-Parts"].find("bad:") != std::string::npos;
      });
    }
    return count;
  }

private:
  std::vector<scripted_endpoint> mEndpoints;
};

auto AskWithParts(gateway_fixture& aFixture, std::string aParts, std::string aId)
  -> awaitable<std::optional<test_caller::answer>>
{
  auto text = RequestText("/stream/x", "Prompt-Parts: " + aParts + "\r\n", aId);
  auto answer = co_await aFixture.Ask(std::move(text));
  co_return answer;
}

/// Waits until the gateway has confirmed aCount crashes.
auto CrashesConfirmed(gateway_fixture& aFixture, std::uint64_t aCount) -> awaitable<void>
{
  while (aFixture.Metrics().Counter("bronzering_endpoint_crashes_total").Value() < aCount) {
    co_await Pause(5ms);
  }
}

} // namespace

// Requests with one prompt part crashed one endpoint after another.
TEST_CASE("requests with a prompt part that crashes endpoints are kept from further endpoints",
          "[crash_quarantine]")
{
  auto fixture = gateway_fixture();
  auto fleet = crashing_fleet(fixture);
  fixture.Run([&]() -> awaitable<void> {
    auto last = std::optional<test_caller::answer>();
    for (auto index = 0U; index < kEndpoints - 2; ++index) {
      const auto id = std::to_string(index);
      last = co_await AskWithParts(fixture, "shared:60,bad:40,own" + id + ":100", "r" + id);
      co_await CrashesConfirmed(fixture, std::min(index + 1, 2U));
    }
    CHECK(fleet.BadRequests() == 2);
    REQUIRE(last);
    CHECK(last->mStatus == 503);
    CHECK(!last->mFields["Retry-After"].empty());

    // A request that shares the other part, caller and route is served.
    const auto sound = co_await AskWithParts(fixture, "shared:60,own:100", "sound");
    REQUIRE(sound);
    CHECK(sound->mStatus == 200);
  });
}
