#include "agent_harness.h"

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kWanted =
  std::string(", model_version: v2, adapters: [oak], weight_bytes: 3000, fencing: checked");

auto Load(std::string aVersion, std::vector<std::string> aAdapters = {}, std::uint64_t aToken = 0)
  -> engine_load
{
  return { 0, 1000, aToken, std::move(aVersion), std::move(aAdapters) };
}

} // namespace

// 4.9 and 4.10: the engine follows the configuration, within the weight store's budget.
TEST_CASE("a load leases its bytes, waits for an empty engine and is confirmed", "[agent][model]")
{
  auto agent = agent_harness("e1", AgentDocument(1, kWanted));
  agent.Run(agent.Ticket(1));
  agent.Engine(Load("v1"));
  REQUIRE(agent.All<lease_request>().size() == 1);
  CHECK(agent.All<lease_request>()[0].mBudget == "weights");
  CHECK(agent.All<lease_request>()[0].mAmount == 2000); // At most the burst.

  // Denied for now, then granted in two parts.
  agent.Send(lease_grant{ "weights", 0, 500ms });
  CHECK(agent.All<lease_request>().size() == 1);
  agent.Pass(600ms);
  CHECK(agent.All<lease_request>().size() == 2);
  agent.Send(lease_grant{ "weights", 1000, 2s });
  CHECK(agent.All<lease_request>().back().mAmount == 2000);
  agent.Send(lease_grant{ "weights", 2000, 2s });

  // Work in flight is not cut off, and no more is started.
  CHECK(agent.All<send_engine_command>().empty());
  agent.Send(agent.Ticket(2));
  CHECK_FALSE(agent.Granted(2));
  agent.End(1);
  REQUIRE(agent.All<send_engine_command>().size() == 1);
  const auto command = agent.All<send_engine_command>()[0];
  CHECK(command.mKind == engine_command_kind::LoadModel);
  CHECK(command.mArgument == "v2");
  agent.Engine(engine_command_result{ command.mFencingToken, true, "" });
  CHECK_FALSE(agent.Granted(2));
  agent.Engine(Load("v2"));
  CHECK(agent.Granted(2));

  // The adapter follows, without a pause.
  agent.Send(lease_grant{ "weights", 30, 2s });
  REQUIRE(agent.All<send_engine_command>().size() == 2);
  const auto adapter = agent.All<send_engine_command>()[1];
  CHECK(adapter.mArgument == "oak");
  CHECK(adapter.mFencingToken > command.mFencingToken);
  agent.Engine(engine_command_result{ adapter.mFencingToken, true, "" });
  agent.Engine(Load("v2", { "oak" }));
  agent.Pass(60s);
  CHECK(agent.All<send_engine_command>().size() == 2);
}

// Guards against commands that an engine refuses for ever, since its token is higher.
TEST_CASE("a refused command is repeated with a token above the engine's", "[agent][model]")
{
  auto agent = agent_harness("e1", AgentDocument(1, kWanted));
  agent.Engine(Load("v1"));
  agent.Send(lease_grant{ "weights", 3000, 2s });
  REQUIRE(agent.All<send_engine_command>().size() == 1);
  const auto first = agent.All<send_engine_command>()[0].mFencingToken;
  const auto higher = first + 1'000'000;
  agent.Engine(engine_command_result{ first, false, "stale token" });
  agent.Engine(Load("v1", {}, higher));
  agent.Pass(6s);
  agent.Send(lease_grant{ "weights", 3000, 2s });
  REQUIRE(agent.All<send_engine_command>().size() == 2);
  CHECK(agent.All<send_engine_command>()[1].mFencingToken > higher);
}

TEST_CASE("a lease that is never answered is asked for again", "[agent][model]")
{
  auto agent = agent_harness("e1", AgentDocument(1, kWanted));
  agent.Engine(Load("v1"));
  agent.mNode.OnPeerDown(kEntry, agent.mNow);
  agent.Pass(7s);
  CHECK(agent.All<lease_request>().size() >= 3);
  CHECK(agent.All<send_engine_command>().empty());
}

// Guards against hidden sources of randomness or order.
TEST_CASE("the same events and times give the same state", "[agent]")
{
  const auto run = [] {
    auto agent = agent_harness{};
    auto random = random_source(5);
    for (auto id = std::uint64_t{ 1 }; id < 200; ++id) {
      auto ticket = agent.Ticket(id, "lamps", random.UniformBelow(2) == 0 ? "gold" : "iron");
      ticket.mOrganisation = std::to_string(random.UniformBelow(9));
      agent.Send(ticket, random.UniformBelow(2) == 0 ? kEntry : kOtherEntry);
      for (const auto& sent : agent.All<grant>()) {
        if (agent.Submitted(sent.mRequest.mSequence) == 0) {
          agent.Dispatch(agent.Ticket(sent.mRequest.mSequence), sent.mGrant);
        }
      }
      agent.End(random.UniformBelow(id));
      agent.Pass(duration(random.UniformBelow(100'000)));
    }
    return boost::json::serialize(agent.mNode.Dump(agent.mNow)) +
           std::to_string(agent.mActions.size());
  };
  CHECK(run() == run());
}
