#include "digest_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

constexpr auto kPrompt = token_work{ 1'000, 200 };
constexpr auto kAnyTime = answer_times{ 1h, 1h };

/// All entries send one request each at the same moment. Returns how many each endpoint gets.
auto SendOneEach(digest_fleet& aFleet) -> std::map<std::string, std::uint32_t>
{
  auto sent = std::map<std::string, std::uint32_t>();
  for (auto index = std::size_t{ 0 }; index < aFleet.Size(); ++index) {
    const auto best = aFleet.At(index).mProcess->mEndpoints.Choose(
      "model", kPrompt, {}, slot_requirement::FreeSlot, kAnyTime, aFleet.Now());
    REQUIRE(best);
    ++sent[best->mId];
  }
  return sent;
}

auto LargeFleet() -> digest_fleet::options
{
  auto options = digest_fleet::options();
  options.mEndpoints = 78;
  return options;
}

} // namespace

// All entries sent to the one endpoint that they saw as the best, which had to turn most away.
TEST_CASE("entries that all see the same idle endpoints do not send to the same one",
          "[endpoint_preference]")
{
  auto fleet = digest_fleet(LargeFleet());
  fleet.RunFor(3s);
  const auto sent = SendOneEach(fleet);
  CHECK(sent.size() > 30);
  for (const auto& [endpoint, requests] : sent) {
    CHECK(requests <= 6);
  }
}

TEST_CASE("an endpoint that is clearly better is chosen whatever the entry's own order",
          "[endpoint_preference]")
{
  auto fleet = digest_fleet(LargeFleet());
  fleet.RunFor(3s);
  // Four prompts of 1000 tokens are in front of a request everywhere but at one endpoint.
  for (auto endpoint = std::size_t{ 1 }; endpoint < 78; ++endpoint) {
    for (auto request = 0; request < 4; ++request) {
      fleet.BeginRequest(endpoint % fleet.Size(), endpoint);
    }
  }
  fleet.RunFor(1s);
  const auto best = fleet.At(7).mProcess->mEndpoints.Choose(
    "model", kPrompt, {}, slot_requirement::FreeSlot, kAnyTime, fleet.Now());
  REQUIRE(best);
  CHECK(best->mId == fleet.EndpointName(0));
}

TEST_CASE("a prompt stays in its zone unless the zone is busy", "[endpoint_preference]")
{
  const auto preference = endpoint_preference("10.0.0.1", "zone-a");
  CHECK(preference.Handicap("e", "zone-a", true) < endpoint_preference::kOwnOrder);
  CHECK(preference.Handicap("e", "zone-b", true) >= endpoint_preference::kPromptTransport);
  CHECK(preference.Handicap("e", "zone-b", false) < endpoint_preference::kOwnOrder);
}
