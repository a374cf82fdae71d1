#include "agent_harness.h"
#include "idempotency_keys.h"
#include "key_owner.h"

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;
using reasons = std::vector<decline_reason>;

namespace {

constexpr auto kKey = key_digest{ 42 };
constexpr auto kWindow = duration(2h);

auto At(duration aTime) -> instant
{
  return { time_point(100h) + aTime, wall_time(480'000h) + aTime };
}

/// The owner of all keys of a service, a window after its start.
auto SettledOwner() -> idempotency_keys
{
  auto keys = idempotency_keys("s1", At(0s));
  keys.Configure("orders", kWindow, { "s1" }, At(0s));
  keys.Confirm(At(kWindow).mMonotonic);
  return keys;
}

auto Created(duration aTime) -> std::optional<wall_time>
{
  return At(aTime).mWall;
}

} // namespace

// P5: the same key never runs twice within the window.
TEST_CASE("a key is new once per window", "[keys]")
{
  auto keys = SettledOwner();
  const auto claim = [&](duration aTime) {
    keys.Confirm(At(aTime).mMonotonic);
    return keys.Claim("orders", kKey, {}, At(aTime)).mState;
  };
  CHECK(claim(kWindow) == key_state::New);
  CHECK(claim(kWindow + 1s) == key_state::InProgress);
  CHECK(claim(10 * kWindow) == key_state::InProgress); // However long it runs.
  keys.Finish(kKey, 201, At(10 * kWindow));
  CHECK(claim(11 * kWindow - 1s) == key_state::AlreadyRun);
  CHECK(keys.Check("orders", kKey, {}, At(11 * kWindow - 1s)).mStatus == 201);
  CHECK(claim(11 * kWindow) == key_state::New);
  // Proven not to have run: free again. Outcome lost: neither ran nor not.
  keys.Abandon(kKey);
  CHECK(claim(11 * kWindow) == key_state::New);
  keys.Lose(kKey, At(11 * kWindow));
  CHECK(claim(11 * kWindow + 1s) == key_state::Unknown);
}

// Guards against a second run of a key that the previous process or owner has run.
TEST_CASE("a new owner refuses keys that may have run before it", "[keys]")
{
  auto keys = idempotency_keys("s1", At(0s));
  const auto check = [&](std::optional<wall_time> aCreated, duration aTime) {
    return keys.Check("orders", kKey, aCreated, At(aTime)).mState;
  };
  CHECK(check({}, 1s) == key_state::NotOwner); // No configuration yet.
  keys.Configure("orders", kWindow, { "s1" }, At(1s));
  CHECK(check({}, 1s) == key_state::Unknown); // Never confirmed.
  keys.Confirm(At(kWindow - 1s).mMonotonic);
  CHECK(check({}, kWindow - 1s) == key_state::Unknown);
  CHECK(check({}, kWindow) == key_state::New);

  // A UUIDv7 proves that the key is younger than the owner, within the clock skew.
  CHECK(check(Created(5s), 60s) == key_state::Unknown);
  CHECK(check(Created(6s), 60s) == key_state::New);
  CHECK(check(Created(64s), 60s) == key_state::New);
  CHECK(check(Created(66s), 60s) == key_state::Unknown);
}

TEST_CASE("ownership counts from the change of the endpoint set that moved the key", "[keys]")
{
  const auto both = std::vector<std::string>{ "s1", "s2" };
  auto mine = std::optional<key_digest>{};
  auto moved = std::optional<key_digest>{};
  for (auto value = std::uint64_t{ 0 }; !mine || !moved; ++value) {
    (KeyOwner(both, { value }) == "s1" ? mine : moved) = key_digest{ value };
  }
  auto keys = idempotency_keys("s1", At(0s));
  keys.Configure("orders", kWindow, both, At(0s));
  keys.Confirm(At(2 * kWindow).mMonotonic);
  CHECK(keys.Check("orders", *moved, {}, At(kWindow)).mState == key_state::NotOwner);
  keys.Configure("orders", kWindow, { "s1" }, At(kWindow));
  CHECK(keys.Check("orders", *mine, {}, At(kWindow + 1s)).mState == key_state::New);
  CHECK(keys.Check("orders", *moved, {}, At(kWindow + 1s)).mState == key_state::Unknown);
  CHECK(keys.Check("orders", *moved, {}, At(2 * kWindow)).mState == key_state::New);
}

TEST_CASE("an owner whose configuration is unconfirmed for a window refuses", "[keys]")
{
  auto keys = SettledOwner();
  CHECK(keys.Check("orders", kKey, {}, At(2 * kWindow)).mState == key_state::New);
  CHECK(keys.Check("orders", kKey, {}, At(2 * kWindow + 1s)).mState == key_state::Unknown);
}

TEST_CASE("the key table is bounded", "[keys]")
{
  auto keys = idempotency_keys("s1", At(0s), 2);
  keys.Configure("orders", kWindow, { "s1" }, At(0s));
  keys.Confirm(At(kWindow).mMonotonic);
  for (const auto value : { 1U, 2U }) {
    CHECK(keys.Claim("orders", { value }, {}, At(kWindow)).mState == key_state::New);
  }
  CHECK(keys.Claim("orders", { 3 }, {}, At(kWindow)).mState == key_state::Full);
}

// Entries and agents must agree on the owner.
TEST_CASE("the owner is the same from names and from the configuration", "[keys]")
{
  auto config = fleet_config{};
  const auto names = std::vector<std::string>{ "s1", "s2", "s3" };
  for (const auto& name : names) {
    config.mEndpoints[name].mName = name;
    config.mEndpoints[name].mServices = { "orders" };
  }
  for (auto value = std::uint64_t{ 0 }; value < 100; ++value) {
    CHECK(KeyOwner(names, { value }) == KeyOwner(config, "orders", { value }));
  }
}

TEST_CASE("an agent runs a key once and tells what became of it", "[agent][keys]")
{
  auto agent = agent_harness("s1");
  const auto keyed = [&](std::uint64_t aSequence, std::uint64_t aKey) {
    auto ticket = agent.Keyed(aSequence, aKey);
    ticket.mKeyCreated = agent.mNow.mWall;
    return ticket;
  };
  agent.Send(agent.Keyed(1, 7));
  CHECK(agent.Declines(1) == reasons{ decline_reason::KeyUnknown });
  agent.Pass(10s);
  agent.Run(keyed(2, 7));
  CHECK(agent.Submitted(2) == 1);
  agent.Send(keyed(3, 7));
  CHECK(agent.Declines(3) == reasons{ decline_reason::KeyInProgress });
  agent.Engine(engine_answer_head{ agent.Id(2), 201, {} });
  agent.End(2);
  agent.Send(keyed(4, 7));
  CHECK(agent.Declines(4) == reasons{ decline_reason::KeyAlreadyRun });
  CHECK(agent.All<decline>().back().mEarlierStatus == 201);

  // Two tickets with one key: both may be granted, one runs.
  agent.Send(keyed(5, 8));
  agent.Send(keyed(6, 8));
  agent.Dispatch(keyed(5, 8), agent.GrantOf(agent.Id(5)));
  agent.Dispatch(keyed(6, 8), agent.GrantOf(agent.Id(6)));
  CHECK(agent.Submitted(5) + agent.Submitted(6) == 1);
  CHECK(agent.Declines(6) == reasons{ decline_reason::KeyInProgress });

  // Broken: nobody knows. Never started: may be tried again.
  agent.Engine(engine_failure{ agent.Id(5), true, "reset" });
  agent.Send(keyed(7, 8));
  CHECK(agent.Declines(7) == reasons{ decline_reason::KeyUnknown });
  agent.Run(keyed(8, 9));
  agent.Engine(engine_failure{ agent.Id(8), false, "refused" });
  agent.Run(keyed(9, 9));
  CHECK(agent.Submitted(9) == 1);
}

TEST_CASE("an agent refuses keys that belong to another endpoint", "[agent][keys]")
{
  auto agent = agent_harness("s1", AgentDocument(2));
  const auto names = std::vector<std::string>{ "s1", "s2" };
  auto value = std::uint64_t{ 0 };
  while (KeyOwner(names, { value }) == "s1") {
    ++value;
  }
  agent.Send(agent.Keyed(1, value));
  CHECK(agent.Declines(1) == reasons{ decline_reason::NotKeyOwner });
}
