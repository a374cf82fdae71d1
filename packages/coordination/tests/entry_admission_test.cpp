#include "entry_harness.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

using namespace bronzering;

namespace {

auto OnlyRefusal(entry_harness& aEntry) -> refuse_request
{
  const auto refused = aEntry.Take<refuse_request>();
  REQUIRE(refused.size() == 1);
  return refused[0];
}

/// A key of the gold caller's orders that the endpoint owns.
auto KeyOwnedBy(const entry_harness& aEntry, std::string_view aEndpoint) -> std::string
{
  for (auto number = 0;; ++number) {
    auto key = "key-" + std::to_string(number);
    const auto digest = DigestKey("acme", "orders", key);
    if (KeyOwner(*aEntry.mNode.Configuration(), "orders", digest) == aEndpoint) {
      return key;
    }
  }
}

/// The harness' wall clock starts on this day at midnight.
constexpr auto kShutsDownSoon =
  ", deprecation: 2019-12-01T00:00:00Z, shutdown: 2019-12-20T00:00:10Z";

} // namespace

TEST_CASE("callers without a right are refused before anything is spent", "[entry][admission]")
{
  auto entry = entry_harness{};
  entry.ConnectAgent("e1");
  entry.Ask("/stock/1", {}, "00");
  CHECK(OnlyRefusal(entry).mHttpStatus == 401);
  entry.Ask("/stockings");
  CHECK(OnlyRefusal(entry).mReason == refusal::UnknownService);
  entry.Ask("/orders", {}, kIronDigest);
  CHECK(OnlyRefusal(entry).mReason == refusal::Forbidden);
  auto large = caller_request{};
  large.mExchange = { 99 };
  large.mTokenDigest = kGoldDigest;
  large.mModel = "lamps";
  large.mPromptTokens = 100'001;
  entry.Ask(std::move(large));
  CHECK(OnlyRefusal(entry).mReason == refusal::TooLarge);
  CHECK(entry.TakeSent<ticket>().empty());
}

// 4.13: work that cannot end before the closing time must cost nothing.
TEST_CASE("the last day of a service", "[entry][admission]")
{
  auto entry = entry_harness(FleetDocument("{}", kShutsDownSoon));
  const auto agent = entry.ConnectAgent("e1");
  entry.Ask();
  const auto id = entry.TakeSent<ticket>().at(0).second.mRequest;
  entry.Say(agent, GrantFor(id, 1));

  // 50 tokens of 20 ms take a second; half a second is left.
  entry.Advance(std::chrono::milliseconds(9500));
  entry.Ask();
  auto refused = OnlyRefusal(entry);
  CHECK(refused.mReason == refusal::ClosingSoon);
  CHECK(refused.mRunState == run_state::NotRun);
  CHECK(entry.TakeSent<ticket>().empty());

  // What was admitted before is answered after the closing time.
  entry.Say(agent, answer_head{ id, 200, {} });
  const auto started = entry.Take<start_answer>().at(0);
  CHECK(started.mHeaders ==
        std::vector<header_field>{ { "Sunset", "Fri, 20 Dec 2019 00:00:10 GMT" },
                                   { "Deprecation", "@1575158400" } });
  entry.Advance(std::chrono::seconds(1));
  entry.Ask();
  CHECK(OnlyRefusal(entry).mReason == refusal::ServiceClosed);
  entry.Say(agent, answer_end{ id, answer_outcome::Completed, 0, 0, 0, 0 });
  CHECK(entry.Take<finish_answer>().size() == 1);
}

// 4.3: a full entry sheds its lowest tier first.
TEST_CASE("a full entry evicts the lowest tier", "[entry][admission]")
{
  auto settings = entry_harness::DefaultSettings();
  settings.mMaxWaiting = 2;
  auto entry = entry_harness(FleetDocument(), settings);
  entry.ConnectAgent("s1");
  entry.Ask("/stock/1", {}, kIronDigest);
  const auto newest = entry.Ask("/stock/1", {}, kIronDigest);
  entry.Ask("/stock/1");
  const auto refused = OnlyRefusal(entry);
  CHECK(refused.mExchange == newest);
  CHECK(refused.mReason == refusal::Overloaded);
  entry.Ask("/stock/1", {}, kIronDigest);
  CHECK(OnlyRefusal(entry).mRunState == run_state::NotRun);
}

// 4.8: a keyed request on another agent could run twice.
TEST_CASE("a keyed request goes to the key's owner only", "[entry][keys]")
{
  auto entry = entry_harness{};
  entry.ConnectAgent("s1");
  const auto owner = entry.ConnectAgent("s2");
  entry.ConnectAgent("s3");
  const auto key = KeyOwnedBy(entry, "s2");
  entry.Ask("/orders", key);
  const auto tickets = entry.TakeSent<ticket>();
  REQUIRE(tickets.size() == 1);
  CHECK(tickets[0].first == owner);
  CHECK(tickets[0].second.mKey);

  entry.Advance(std::chrono::seconds(1));
  CHECK(entry.TakeSent<ticket>().empty());
}

// P4: "not run" must not be said of a key that an earlier attempt may have run.
TEST_CASE("refusals for an unreachable key owner tell the truth", "[entry][keys]")
{
  auto entry = entry_harness{};
  const auto key = KeyOwnedBy(entry, "s2");
  entry.Ask("/orders", key);
  auto refused = OnlyRefusal(entry);
  CHECK(refused.mReason == refusal::KeyOwnerUnreachable);
  CHECK(refused.mHttpStatus == 503);
  CHECK(refused.mRunState == run_state::NotRun);

  const auto owner = entry.ConnectAgent("s2");
  entry.Ask("/orders", key);
  const auto id = entry.TakeSent<ticket>().at(0).second.mRequest;
  entry.Say(owner, GrantFor(id, 1));
  entry.mNode.OnPeerDown(owner, entry.mNow);
  entry.Collect();
  refused = OnlyRefusal(entry);
  CHECK(refused.mReason == refusal::OutcomeUnknown);
  CHECK(refused.mRunState == run_state::Unknown);

  entry.Ask("/orders", key);
  refused = OnlyRefusal(entry);
  CHECK(refused.mReason == refusal::KeyOwnerUnreachable);
  CHECK(refused.mRunState == run_state::Unknown);
}

TEST_CASE("the owner's word on a key reaches the caller", "[entry][keys]")
{
  struct expectation
  {
    decline_reason mSaid;
    refusal mReason;
    run_state mRunState;
    std::uint32_t mStatus;
  };
  const auto expected = std::vector<expectation>{
    { decline_reason::KeyUnknown, refusal::KeyUnknown, run_state::Unknown, 503 },
    { decline_reason::KeyInProgress, refusal::KeyInProgress, run_state::Unknown, 409 },
    { decline_reason::KeyAlreadyRun, refusal::KeyAlreadyRun, run_state::Ran, 409 },
    { decline_reason::NotKeyOwner, refusal::KeyOwnerUnreachable, run_state::NotRun, 503 },
    { decline_reason::Leaving, refusal::KeyOwnerUnreachable, run_state::NotRun, 503 },
  };
  for (const auto& [said, reason, runState, status] : expected) {
    auto entry = entry_harness{};
    const auto owner = entry.ConnectAgent("s2");
    entry.Ask("/orders", KeyOwnedBy(entry, "s2"));
    const auto id = entry.TakeSent<ticket>().at(0).second.mRequest;
    entry.Say(owner, decline{ id, said, {}, 201 });
    const auto refused = OnlyRefusal(entry);
    CHECK(refused.mReason == reason);
    CHECK(refused.mRunState == runState);
    CHECK(refused.mHttpStatus == status);
  }
}

// 4.6: limits bind the fleet, so an entry alone has to account for them as the owner.
TEST_CASE("a limit is spent, refunded and enforced", "[entry][limits]")
{
  auto entry = entry_harness(
    FleetDocument("{ l: { scope: service, target: stock, unit: requests, rate: 1, burst: 2 } }"));
  const auto agent = entry.ConnectAgent("s1");
  entry.Advance(std::chrono::seconds(5));
  entry.Ask("/stock/1");
  const auto left = entry.Ask("/stock/2");
  CHECK(entry.TakeSent<ticket>().size() == 2);
  entry.Ask("/stock/3");
  auto refused = OnlyRefusal(entry);
  CHECK(refused.mReason == refusal::LimitExceeded);
  CHECK(refused.mHttpStatus == 429);
  CHECK(refused.mRetryAfter);

  // A request that leaves before dispatch gives its share back.
  entry.mNode.OnCallerDisconnected(left, entry.mNow);
  entry.Collect();
  entry.Ask("/stock/4");
  CHECK(entry.TakeSent<ticket>().size() == 1);
  CHECK(entry.Take<refuse_request>().empty());
  static_cast<void>(agent);
}

// An agent may have no link to the owner of the weight store's budget.
TEST_CASE("an entry passes lease requests of agents on to the owner", "[entry][limits]")
{
  auto entry = entry_harness(
    FleetDocument("{ w: { scope: weight_store, unit: bytes, rate: 1000, burst: 1000 } }"));
  const auto agent = entry.ConnectAgent("e1");
  const auto owner = entry.ConnectEntry("entry-0");
  const auto isOwnedHere = RendezvousOwner("w", { "entry-0", "entry-1" }) == "entry-1";
  entry.Advance(std::chrono::seconds(4));
  entry.Say(agent, lease_request{ "w", 500 });
  if (!isOwnedHere) {
    const auto asked = entry.TakeSent<lease_request>();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].first == owner);
    entry.Say(owner, lease_grant{ "w", 500, kLeaseLifetime });
  }
  const auto granted = entry.TakeSent<lease_grant>();
  REQUIRE(granted.size() == 1);
  CHECK(granted[0].first == agent);
  CHECK(granted[0].second.mAmount == 500);
  CHECK(granted[0].second.mLifetime <= kLeaseLifetime);
}

// P4: a repeated order refused before it is looked at may have run under its key before.
TEST_CASE("a keyed request refused by a draining entry does not claim that it never ran",
          "[entry][drain]")
{
  auto entry = entry_harness{};
  entry.ConnectAgent("s1");
  entry.mNode.BeginDrain(entry.mNow);
  entry.Ask("/orders", "key");
  const auto keyed = OnlyRefusal(entry);
  CHECK(keyed.mReason == refusal::ShuttingDown);
  CHECK(keyed.mRunState == run_state::Unknown);
  entry.Ask("/stock/1");
  CHECK(OnlyRefusal(entry).mRunState == run_state::NotRun);
}

// P7: a planned stop cuts off nothing.
TEST_CASE("a draining entry finishes what it has and accepts nothing new", "[entry][drain]")
{
  auto entry = entry_harness{};
  CHECK(entry.mNode.IsReady());
  const auto agent = entry.ConnectAgent("s1");
  entry.Ask("/stock/1");
  entry.mNode.BeginDrain(entry.mNow);
  CHECK_FALSE(entry.mNode.IsReady());
  entry.Ask("/stock/1");
  CHECK(OnlyRefusal(entry).mReason == refusal::ShuttingDown);

  const auto id = entry.TakeSent<ticket>().at(0).second.mRequest;
  entry.Say(agent, GrantFor(id, 1));
  entry.Say(agent, answer_head{ id, 200, {} });
  CHECK_FALSE(entry.mNode.IsDrained());
  entry.Say(agent, answer_end{ id, answer_outcome::Completed, 0, 0, 0, 0 });
  CHECK(entry.mNode.IsDrained());
}

// 5, "configuration service down, stale or going backwards".
TEST_CASE("an older or faulty document changes nothing in force", "[entry][configuration]")
{
  auto entry = entry_harness{};
  entry.mNode.OnDocument({ 3 }, FleetDocument(), entry.mNow);
  entry.mNode.OnDocument({ 2 }, "format: 1\nsections: {}\n", entry.mNow);
  entry.mNode.OnDocument({ 4 }, "format: [", entry.mNow);
  REQUIRE(entry.mNode.Configuration());
  CHECK(entry.mNode.Configuration()->mServices.size() == 3);
  entry.ConnectAgent("s1");
  entry.Ask("/stock/1");
  CHECK(entry.TakeSent<ticket>().size() == 1);
}

// 6: tokens and contents are the callers' secrets.
TEST_CASE("the dump shows what operators need and no secrets", "[entry][dump]")
{
  auto entry = entry_harness(
    FleetDocument("{ l: { scope: service, target: stock, unit: requests, rate: 10, burst: 20 } }"));
  const auto agent = entry.ConnectAgent("s1");
  entry.Advance(std::chrono::seconds(4));
  for (auto request = 0; request < 300; ++request) {
    entry.Ask("/stock/secret-path", "secret-key");
  }
  const auto id = entry.TakeSent<ticket>().at(0).second.mRequest;
  entry.Say(agent, GrantFor(id, 1));

  const auto dump = entry.mNode.Dump(entry.mNow);
  const auto text = boost::json::serialize(dump);
  CHECK(text.find("secret") == std::string::npos);
  CHECK(text.find(std::string(kGoldDigest)) == std::string::npos);
  CHECK(dump.at("decisions").as_array().size() == 256);
  CHECK(dump.at("configuration").at("revision").to_number<int>() == 1);
  CHECK(dump.at("waiting").at("tiers").at("gold").to_number<int>() >= 19);
  CHECK(dump.at("waiting").at("organisations").at("acme").to_number<int>() >= 19);
  CHECK(dump.at("endpoints").at("s1").at("session").at("zone").as_string() == "zone-a");
  CHECK(dump.at("limits").at("leases").at("l").at("spent").to_number<double>() >= 20);
  CHECK(entry.mMetrics.Render().find("bronzering_entry_dispatches_total{service=\"stock\","
                                     "tier=\"gold\"} 1") != std::string::npos);
}
