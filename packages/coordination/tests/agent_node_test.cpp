#include "agent_harness.h"

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;
using reasons = std::vector<decline_reason>;

// Guards against priority inversion: a lower tier that is served while a higher one waits for the
// capacity.
TEST_CASE("a higher tier is granted first and blocks lower ones while it does not fit", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1, "lamps", "iron", 600));
  // 300 KV tokens are free: too few for the gold ticket, enough for the iron one.
  agent.Send(agent.Ticket(2, "lamps", "gold", 400));
  agent.Send(agent.Ticket(3, "lamps", "iron", 100));
  CHECK_FALSE(agent.Granted(2));
  CHECK_FALSE(agent.Granted(3));
  agent.End(1);
  CHECK(agent.Granted(2));
  CHECK(agent.Granted(3));
}

// Guards against head-of-line blocking of short requests by a long one, and against starvation of
// the long one.
TEST_CASE("short requests pass a long one of their tier, up to its cost", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1, "lamps", "gold", 400));
  auto longOne = agent.Ticket(2, "lamps", "gold", 500);
  longOne.mOrganisation = "long";
  agent.Send(longOne);
  auto passed = 0;
  for (auto id = std::uint64_t{ 10 }; id < 30; ++id) {
    agent.Send(agent.Ticket(id));
    if (!agent.Granted(id)) {
      break;
    }
    ++passed;
    agent.Dispatch(agent.Ticket(id), agent.GrantOf(agent.Id(id)));
    agent.End(id);
  }
  CHECK(passed == 3); // The long request costs 600 tokens, each short one 200.
  agent.End(1);
  CHECK(agent.Granted(2));
}

TEST_CASE("a full queue evicts its newest ticket of the lowest tier first", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1));
  agent.Run(agent.Ticket(2));
  for (const auto id : { 3U, 4U, 5U, 6U }) {
    agent.Send(agent.Ticket(id, "lamps", "iron"));
  }
  agent.Send(agent.Ticket(7, "lamps", "gold"));
  agent.Send(agent.Ticket(8, "lamps", "iron"));
  CHECK(agent.Declines(6) == reasons{ decline_reason::QueueFull });
  CHECK(agent.Declines(8) == reasons{ decline_reason::QueueFull });
  CHECK(agent.Declines(7).empty());
}

// Guards against prefill that is wasted on requests which cannot meet their deadline.
TEST_CASE("tickets that cannot run are declined with their reason", "[agent]")
{
  auto agent = agent_harness{};
  agent.Send(agent.Ticket(1, "stock"));
  agent.Send(agent.Ticket(2, "lamps", "gold", 5000));
  auto shortDeadline = agent.Ticket(3);
  shortDeadline.mTimeLeft = 500ms;
  agent.Send(shortDeadline);
  CHECK(agent.Declines(1) == reasons{ decline_reason::UnknownService });
  CHECK(agent.Declines(2) == reasons{ decline_reason::TooLarge });
  CHECK(agent.Declines(3) == reasons{ decline_reason::DeadlineTooShort });
  // The deadline passes while the ticket waits.
  agent.Run(agent.Ticket(4));
  agent.Run(agent.Ticket(5));
  auto waiting = agent.Ticket(6);
  waiting.mTimeLeft = 3s;
  agent.Send(waiting);
  agent.AdvanceTime(4s);
  CHECK(agent.Declines(6) == reasons{ decline_reason::DeadlineTooShort });
}

// Guards against a request that runs on an expired, redeemed or withdrawn grant, or on the grant of
// another request.
TEST_CASE("each grant runs at most one request, once", "[agent]")
{
  auto agent = agent_harness{};
  agent.Send(agent.Ticket(1));
  const auto first = agent.GrantOf(agent.Id(1));
  agent.Dispatch(agent.Ticket(9), first);
  CHECK(agent.Declines(9) == reasons{ decline_reason::GrantExpired });
  agent.Dispatch(agent.Ticket(1), first);
  agent.Dispatch(agent.Ticket(1), first);
  CHECK(agent.Submitted(1) == 1);
  CHECK(agent.Declines(1).empty()); // It is running, so it must not be declined.
  agent.End(1);
  agent.Send(agent.Ticket(1));
  agent.Dispatch(agent.Ticket(1), first);
  CHECK(agent.Submitted(1) == 1);
  CHECK(agent.Declines(1).empty());

  agent.Send(agent.Ticket(2));
  agent.Send(withdraw{ agent.Id(2) });
  agent.Dispatch(agent.Ticket(2), agent.GrantOf(agent.Id(2)));
  CHECK(agent.Submitted(2) == 0);

  // The agent was suspended, and the dispatch arrives before any timer has run.
  agent.Send(agent.Ticket(3));
  agent.SuspendProcess(1500ms);
  agent.Dispatch(agent.Ticket(3), agent.GrantOf(agent.Id(3)));
  CHECK(agent.Submitted(3) == 0);
  CHECK_FALSE(agent.Declines(3).empty());
}

TEST_CASE("an expired grant frees its room", "[agent]")
{
  auto agent = agent_harness{};
  for (const auto id : { 1U, 2U, 3U }) {
    agent.Send(agent.Ticket(id));
  }
  CHECK_FALSE(agent.Granted(3));
  agent.AdvanceTime(1100ms);
  CHECK(agent.Granted(3));
  CHECK(agent.Declines(1) == reasons{ decline_reason::GrantExpired });
}

TEST_CASE("credits save a round trip and never outrank waiting tickets", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1, "lamps", "iron"));
  REQUIRE_FALSE(agent.ActionsOf<credit>().empty());
  agent.End(1);
  const auto ids = agent.ActionsOf<credit>().back().mGrants;
  agent.Dispatch(agent.Ticket(2, "lamps", "iron"), ids.front());
  CHECK(agent.Submitted(2) == 1);
  agent.Dispatch(agent.Ticket(3, "lamps", "iron"), ids.front());
  CHECK(agent.Declines(3) == reasons{ decline_reason::GrantExpired });
  agent.AdvanceTime(100ms);

  // The gold request waits for KV tokens; the iron request would fit.
  agent.Run(agent.Ticket(4, "lamps", "gold", 300));
  agent.End(2);
  const auto fresh = agent.ActionsOf<credit>().back().mGrants.back();
  agent.Send(agent.Ticket(5, "lamps", "gold", 700));
  CHECK_FALSE(agent.Granted(5));
  agent.Dispatch(agent.Ticket(6, "lamps", "iron"), fresh);
  CHECK(agent.Declines(6) == reasons{ decline_reason::Outranked });
  CHECK(agent.Submitted(6) == 0);
}

// Guards against new work during a drain, and against dispatched requests that a drain cuts off.
TEST_CASE("a draining agent refuses new work and finishes what was dispatched", "[agent]")
{
  const auto viaList = GENERATE(false, true);
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1));
  agent.Send(agent.Ticket(2));
  if (viaList) {
    agent.mNode.OnVmList({ { "agent-vm", process_role::Agent, "z", "e1", "", vm_state::Leaving } },
                         agent.mNow);
  } else {
    agent.mNode.BeginDrain(agent.mNow);
  }
  agent.CollectActions();
  agent.Dispatch(agent.Ticket(2), agent.GrantOf(agent.Id(2)));
  agent.Send(agent.Ticket(3));
  CHECK(agent.Declines(2) == reasons{ decline_reason::Leaving, decline_reason::Leaving });
  CHECK(agent.Declines(3) == reasons{ decline_reason::Leaving });
  CHECK_FALSE(agent.mNode.IsReady());
  CHECK_FALSE(agent.mNode.IsDrained());
  agent.SendEngineEvent(engine_answer_data{ agent.Id(1), 0, "rest", 1 });
  agent.End(1);
  REQUIRE(agent.ActionsOf<answer_end>().size() == 1);
  CHECK(agent.ActionsOf<answer_end>()[0].mOutcome == answer_outcome::Completed);
  CHECK(agent.mNode.IsDrained());
}

// Guards against work of a dead entry that occupies the endpoint: its tickets are dropped at once,
// and its streams are cancelled after 10 s.
TEST_CASE("a lost session drops its tickets at once and its streams after the timeout", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1));
  agent.Run(agent.Ticket(2), kOtherEntry);
  agent.Send(agent.Ticket(3));
  agent.Send(agent.Ticket(4), kOtherEntry);
  agent.mNode.OnPeerDown(kEntry, agent.mNow);
  agent.AdvanceTime(9s);
  CHECK(agent.ActionsOf<cancel_on_engine>().empty());
  agent.AdvanceTime(1100ms);
  REQUIRE(agent.ActionsOf<cancel_on_engine>().size() == 1);
  CHECK(agent.ActionsOf<cancel_on_engine>()[0].mRequest == agent.Id(1));
  CHECK(agent.Granted(4));
  CHECK_FALSE(agent.Granted(3));
}

TEST_CASE("a session that is heard again keeps its streams", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1));
  agent.Run(agent.Ticket(2), kOtherEntry);
  agent.mNode.OnPeerSilent(kEntry, true, agent.mNow);
  agent.mNode.OnPeerSilent(kOtherEntry, true, agent.mNow);
  agent.AdvanceTime(9s);
  agent.mNode.OnPeerSilent(kEntry, false, agent.mNow);
  agent.AdvanceTime(5s);
  REQUIRE(agent.ActionsOf<cancel_on_engine>().size() == 1);
  CHECK(agent.ActionsOf<cancel_on_engine>()[0].mRequest == agent.Id(2));
  agent.End(1);
  CHECK(agent.ActionsOf<answer_end>().back().mOutcome == answer_outcome::Completed);
}

// Guards against capacity that is reserved for a dead entry by one expiring grant after another.
TEST_CASE("a silent session receives no grants until it is heard again", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1), kOtherEntry);
  agent.Run(agent.Ticket(2), kOtherEntry);
  agent.Send(agent.Ticket(3));
  auto expiring = agent.Ticket(4);
  expiring.mTimeLeft = 3s;
  agent.Send(expiring);
  agent.Send(agent.Ticket(5), kOtherEntry);
  agent.mNode.OnPeerSilent(kEntry, true, agent.mNow);
  agent.End(1);
  agent.End(2);
  CHECK_FALSE(agent.Granted(3));
  CHECK(agent.Granted(5));
  agent.AdvanceTime(4s);
  CHECK_FALSE(agent.Granted(3));
  agent.mNode.OnPeerSilent(kEntry, false, agent.mNow);
  agent.CollectActions();
  CHECK(agent.Granted(3));
  CHECK(agent.Declines(4) == reasons{ decline_reason::DeadlineTooShort });
}

TEST_CASE("a plain call runs to completion when its caller or entry disconnects", "[agent]")
{
  auto agent = agent_harness("s1");
  agent.Run(agent.Ticket(1, "stock"));
  agent.Run(agent.Ticket(2, "stock"));
  agent.Send(cancel{ agent.Id(1) });
  agent.mNode.OnPeerDown(kEntry, agent.mNow);
  agent.SendEngineEvent(engine_answer_data{ agent.Id(1), 0, std::string(1 << 20, 'x'), 0 });
  agent.SendEngineEvent(engine_answer_data{ agent.Id(2), 0, std::string(1 << 20, 'x'), 0 });
  agent.AdvanceTime(20s);
  CHECK(agent.ActionsOf<cancel_on_engine>().empty());
  CHECK(agent.ActionsOf<pause_engine_stream>().empty());
  agent.Send(agent.Ticket(3, "stock"), kOtherEntry);
  CHECK_FALSE(agent.Granted(3));
  agent.End(1);
  CHECK(agent.Granted(3));
}

TEST_CASE("the entry's window pauses and resumes the engine stream", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1));
  agent.Send(window{ agent.Id(1), 4 });
  agent.SendEngineEvent(engine_answer_head{ agent.Id(1), 200, {} });
  agent.SendEngineEvent(engine_answer_data{ agent.Id(1), 0, "abcdef", 1 });
  REQUIRE(agent.ActionsOf<answer_data>().size() == 1);
  CHECK(agent.ActionsOf<answer_data>()[0].mBytes == "abcd");
  REQUIRE(agent.ActionsOf<pause_engine_stream>().size() == 1);
  CHECK(agent.ActionsOf<pause_engine_stream>()[0].mPaused);
  agent.SendEngineEvent(
    engine_answer_data{ agent.Id(1), 6, "gh", 2 }); // Sent before the pause took effect.
  agent.End(1);
  CHECK(agent.ActionsOf<answer_end>().empty());
  agent.Send(window{ agent.Id(1), 100 });
  CHECK(agent.ActionsOf<answer_data>().back().mBytes == "efgh");
  CHECK(agent.ActionsOf<answer_data>().back().mOffset == 4);
  REQUIRE(agent.ActionsOf<answer_end>().size() == 1);
  CHECK(agent.ActionsOf<answer_end>()[0].mTotalBytes == 8);
}

// Guards against lost or repeated bytes when an engine restarts within 2 s, and against streams
// that never end when it does not.
TEST_CASE("a broken engine stream continues from the last byte or fails after 2 s", "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1));
  agent.SendEngineEvent(engine_answer_head{ agent.Id(1), 200, {} });
  agent.SendEngineEvent(engine_answer_data{ agent.Id(1), 0, "abc", 1 });
  agent.SendEngineEvent(engine_health{ false });
  agent.SendEngineEvent(engine_failure{ agent.Id(1), true, "reset" });
  agent.Send(agent.Ticket(2));
  CHECK(agent.Declines(2) == reasons{ decline_reason::EndpointDown });
  agent.AdvanceTime(1s);
  CHECK(agent.ActionsOf<resume_engine_stream>().empty());
  agent.SendEngineEvent(engine_health{ true });
  REQUIRE(agent.ActionsOf<resume_engine_stream>().size() == 1);
  CHECK(agent.ActionsOf<resume_engine_stream>()[0].mOffset == 3);
  agent.SendEngineEvent(engine_answer_head{ agent.Id(1), 200, {} });
  agent.SendEngineEvent(engine_answer_data{ agent.Id(1), 2, "cd", 2 }); // Repeats one byte.
  CHECK(agent.ActionsOf<answer_head>().size() == 1);
  CHECK(agent.ActionsOf<answer_data>().back().mBytes == "d");
  CHECK(agent.ActionsOf<answer_data>().back().mOffset == 3);

  // A gap must not reach the caller.
  agent.SendEngineEvent(engine_answer_data{ agent.Id(1), 10, "x", 9 });
  CHECK(agent.ActionsOf<resume_engine_stream>().back().mOffset == 4);
  agent.SendEngineEvent(engine_failure{ agent.Id(1), true, "refused" });
  agent.AdvanceTime(1900ms);
  CHECK(agent.ActionsOf<answer_end>().empty());
  CHECK(agent.ActionsOf<resume_engine_stream>().size() > 2);
  agent.AdvanceTime(200ms);
  REQUIRE(agent.ActionsOf<answer_end>().size() == 1);
  CHECK(agent.ActionsOf<answer_end>()[0].mOutcome == answer_outcome::Failed);
}

// Guards against cancelling an answer in the making: a call that had sent nothing for 2 s after its
// busy engine missed one health check was ended, although it went on.
TEST_CASE("silent streams outlast a missed health check of their engine", "[agent]")
{
  auto agent = agent_harness{};
  // The first one still processes its prompt, and the second one is paused by its caller.
  agent.Run(agent.Ticket(1));
  agent.Run(agent.Ticket(2));
  agent.Send(window{ agent.Id(2), 3 });
  agent.SendEngineEvent(engine_answer_head{ agent.Id(2), 200, {} });
  agent.SendEngineEvent(engine_answer_data{ agent.Id(2), 0, "abcd", 1 });
  agent.SendEngineEvent(engine_health{ false });
  agent.AdvanceTime(500ms);
  agent.SendEngineEvent(engine_health{ true });
  agent.AdvanceTime(5s);
  CHECK(agent.ActionsOf<cancel_on_engine>().empty());
  CHECK(agent.ActionsOf<answer_end>().empty());

  agent.Send(window{ agent.Id(2), 100 });
  agent.SendEngineEvent(engine_answer_head{ agent.Id(1), 200, {} });
  agent.End(1);
  agent.End(2);
  const auto ends = agent.ActionsOf<answer_end>();
  REQUIRE(ends.size() == 2);
  CHECK(ends[0].mOutcome == answer_outcome::Completed);
  CHECK(ends[1].mOutcome == answer_outcome::Completed);
}

// Guards against a decline, which states that the request did not run, without proof of that.
TEST_CASE("a call that never reached the endpoint is declined, a broken one fails", "[agent]")
{
  auto agent = agent_harness("s1");
  agent.Run(agent.Ticket(1, "stock"));
  agent.Run(agent.Ticket(2, "stock"));
  agent.SendEngineEvent(engine_failure{ agent.Id(1), false, "connection refused" });
  agent.SendEngineEvent(engine_failure{ agent.Id(2), true, "connection reset" });
  CHECK(agent.Declines(1) == reasons{ decline_reason::EndpointDown });
  CHECK(agent.Declines(2).empty());
  REQUIRE(agent.ActionsOf<answer_end>().size() == 1);
  CHECK(agent.ActionsOf<answer_end>()[0].mOutcome == answer_outcome::Failed);
}

TEST_CASE("the state dump shows waiting and running requests and the reasons for declines",
          "[agent]")
{
  auto agent = agent_harness{};
  agent.Run(agent.Ticket(1));
  agent.Run(agent.Ticket(2));
  agent.Send(agent.Ticket(3, "lamps", "iron"));
  for (auto id = std::uint64_t{ 100 }; id < 500; ++id) {
    agent.Send(agent.Ticket(id, "stock"));
  }
  const auto dump = agent.mNode.Dump(agent.mNow).as_object();
  CHECK(dump.at("state").as_string() == "serving");
  CHECK(dump.at("running").as_array().size() == 2);
  CHECK(dump.at("waiting").at(0).at("organisations").at("acme") == 1);
  CHECK(dump.at("free").at("slots") == 0);
  CHECK(dump.at("declines").at(0).at("detail").as_string() == "unknown_service");
  CHECK(dump.at("decisions").as_array().size() == 256);
}
