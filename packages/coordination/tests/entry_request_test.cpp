#include "entry_harness.h"

#include <catch2/catch.hpp>

using namespace bronzering;

// P1: only the first valid grant receives the body, and the other agents are released.
TEST_CASE("a request is dispatched to the first grant and withdrawn elsewhere", "[entry]")
{
  auto entry = entry_harness{};
  const auto first = entry.ConnectAgent("e1");
  const auto second = entry.ConnectAgent("e2");
  const auto exchange = entry.Ask();
  const auto tickets = entry.TakeSent<ticket>();
  REQUIRE(tickets.size() == 2);
  const auto id = tickets[0].second.mRequest;

  entry.Say(second, GrantFor(id, 1));
  entry.Say(first, GrantFor(id, 2));

  const auto sent = entry.TakeSent<dispatch>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].first == second);
  CHECK(sent[0].second.mBody == "secret-content");
  const auto withdrawn = entry.TakeSent<withdraw>();
  REQUIRE(withdrawn.size() == 1);
  CHECK(withdrawn[0].first == first);

  entry.Say(second, answer_head{ id, 200, { { "Content-Type", "text/plain" } } });
  entry.Say(second, answer_data{ id, 0, "abc", 1 });
  entry.Say(second, answer_end{ id, answer_outcome::Completed, 3, 100, 0, 1 });
  REQUIRE(entry.Take<start_answer>().size() == 1);
  CHECK(entry.Take<continue_answer>().at(0).mBytes == "abc");
  CHECK(entry.Take<finish_answer>().at(0).mExchange == exchange);
}

// Found by the property test (seed 2026): the decline of a ticket, sent before the agent saw the
// dispatch on its credit, was taken for proof that the dispatched work did not run (P1, P4).
TEST_CASE("a late decline of a ticket does not concern work dispatched on a credit", "[entry]")
{
  auto entry = entry_harness{};
  const auto agent = entry.ConnectAgent("s1");
  entry.Ask("/stock/1");
  const auto id = entry.TakeSent<ticket>().at(0).second.mRequest;
  entry.Say(agent, credit{ "stock", { { 9 } }, std::chrono::seconds(1) });
  entry.ConnectAgent("s2");
  entry.Advance(std::chrono::milliseconds(25));
  const auto sent = entry.TakeSent<dispatch>();
  REQUIRE(sent.size() == 1);
  CHECK(entry.TakeSent<withdraw>().at(0).second.mRequest == id);

  entry.Say(agent, decline{ id, decline_reason::QueueFull, {}, 0 });
  entry.Advance(std::chrono::seconds(1));
  CHECK(entry.TakeSent<dispatch>().empty());
  CHECK(entry.Take<refuse_request>().empty());
}

namespace {

/// A stock request dispatched to the agent of s1; returns its id towards agents.
auto DispatchedTo(entry_harness& aEntry, peer_id aAgent, std::string aTarget = "/stock/1")
  -> request_id
{
  aEntry.Ask(std::move(aTarget));
  const auto id = aEntry.TakeSent<ticket>().at(0).second.mRequest;
  aEntry.Say(aAgent, GrantFor(id, 1));
  REQUIRE(aEntry.TakeSent<dispatch>().size() == 1);
  return id;
}

} // namespace

// 4.7: a wrong first choice must not decide how long a request waits.
TEST_CASE("a ticket without a grant goes to twice as many agents", "[entry]")
{
  auto entry = entry_harness{};
  for (const auto* name : { "e1", "e2", "e3" }) {
    entry.ConnectAgent(name);
  }
  entry.Ask();
  CHECK(entry.TakeSent<ticket>().size() == 2);
  entry.Advance(std::chrono::milliseconds(19));
  CHECK(entry.TakeSent<ticket>().empty());
  entry.Advance(std::chrono::milliseconds(1));
  CHECK(entry.TakeSent<ticket>().size() == 1);
}

// 4.3: an entry may shed a request only after every agent that could serve it had its ticket.
TEST_CASE("a request expires only after it was announced everywhere", "[entry]")
{
  for (const auto timeout : { 5, 50, 200, 5000 }) {
    auto entry = entry_harness{};
    for (const auto* name : { "e1", "e2", "e3" }) {
      entry.ConnectAgent(name);
    }
    auto request = caller_request{};
    request.mExchange = { 1 };
    request.mTokenDigest = kGoldDigest;
    request.mModel = "lamps";
    request.mTimeout = std::chrono::milliseconds(timeout);
    entry.Ask(std::move(request));
    entry.Advance(std::chrono::milliseconds(timeout));
    CHECK(entry.TakeSent<ticket>().size() == 3);
    CHECK(entry.TakeSent<withdraw>().size() == 3);
    const auto refused = entry.Take<refuse_request>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].mReason == refusal::DeadlineExceeded);
    CHECK(refused[0].mRunState == run_state::NotRun);
  }
}

// 5, "entry paused with a grant": the agent proves that nothing ran, and the work goes elsewhere.
TEST_CASE("a proven decline after dispatch leads to one more attempt elsewhere", "[entry]")
{
  auto entry = entry_harness{};
  const auto first = entry.ConnectAgent("s1");
  const auto second = entry.ConnectAgent("s2");
  entry.Ask("/stock/1");
  const auto id = entry.TakeSent<ticket>().at(0).second.mRequest;
  entry.Say(first, GrantFor(id, 1));
  entry.Say(first, decline{ id, decline_reason::GrantExpired, {}, 0 });
  entry.TakeSent<dispatch>();
  entry.Advance(std::chrono::milliseconds(15));
  const auto tickets = entry.TakeSent<ticket>();
  REQUIRE_FALSE(tickets.empty());
  CHECK(tickets[0].second.mRequest != id);
  entry.Say(second, GrantFor(tickets[0].second.mRequest, 2));
  CHECK(entry.TakeSent<dispatch>().size() == 1);
}

// 4.12: without a bound, declines would multiply the load of an overloaded fleet.
TEST_CASE("a late grant or an outranked credit neither spends the retry budget nor refuses",
          "[entry]")
{
  auto entry = entry_harness{};
  const auto agent = entry.ConnectAgent("s1");
  for (auto request = 0; request < 20; ++request) {
    const auto id = DispatchedTo(entry, agent);
    const auto reason = request % 2 == 0 ? decline_reason::Outranked : decline_reason::GrantExpired;
    entry.Say(agent, decline{ id, reason, {}, 0 });
    CHECK(entry.Take<refuse_request>().empty());
  }
}

// 4.12, for declines that point to trouble at the agent.
TEST_CASE("retries of a failing endpoint end when the budget is spent", "[entry]")
{
  auto entry = entry_harness{};
  const auto agent = entry.ConnectAgent("s1");
  auto refused = std::size_t{ 0 };
  for (auto request = 0; request < 20; ++request) {
    const auto id = DispatchedTo(entry, agent);
    entry.Say(agent, decline{ id, decline_reason::EndpointDown, {}, 0 });
    refused += entry.Take<refuse_request>().size();
  }
  CHECK(refused >= 8);
}

// P5: even a proven decline does not justify sending a non-idempotent call without a key again.
TEST_CASE("a non-idempotent request without a key is never retried after dispatch", "[entry]")
{
  auto entry = entry_harness{};
  const auto agent = entry.ConnectAgent("s1");
  const auto id = DispatchedTo(entry, agent, "/orders");
  entry.Say(agent, decline{ id, decline_reason::GrantExpired, {}, 0 });
  const auto refused = entry.Take<refuse_request>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].mRunState == run_state::NotRun);
}

// 5, "agent dies": tickets go elsewhere at once; a dispatched request's outcome is unknown.
TEST_CASE("a lost session moves tickets and leaves dispatched work unknown", "[entry]")
{
  auto entry = entry_harness{};
  const auto first = entry.ConnectAgent("s1");
  DispatchedTo(entry, first);
  const auto id = DispatchedTo(entry, first);
  entry.Say(first, answer_head{ id, 200, {} });
  entry.Ask("/stock/1");
  entry.TakeSent<ticket>();
  entry.ConnectAgent("s2");
  entry.mNode.OnPeerDown(first, entry.mNow);
  entry.Advance(duration::zero());

  const auto refused = entry.Take<refuse_request>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].mReason == refusal::OutcomeUnknown);
  CHECK(refused[0].mRunState == run_state::Unknown);
  CHECK(entry.Take<abort_answer>().size() == 1);
  CHECK(entry.TakeSent<ticket>().size() == 1);
}

// 5, "link silent": new work avoids the link, work already sent waits for the session to resume.
TEST_CASE("a silent agent gets no tickets but may still answer", "[entry]")
{
  auto entry = entry_harness{};
  const auto first = entry.ConnectAgent("s1");
  const auto id = DispatchedTo(entry, first);
  entry.mNode.OnPeerSilent(first, true, entry.mNow);
  const auto second = entry.ConnectAgent("s2");
  entry.Ask("/stock/1");
  const auto tickets = entry.TakeSent<ticket>();
  REQUIRE(tickets.size() == 1);
  CHECK(tickets[0].first == second);

  entry.mNode.OnPeerSilent(first, false, entry.mNow);
  entry.Say(first, answer_head{ id, 200, {} });
  entry.Say(first, answer_end{ id, answer_outcome::Completed, 0, 0, 0, 0 });
  CHECK(entry.Take<finish_answer>().size() == 1);
}

// P3: an answer with a gap, a repetition, a wrong total or from another agent must not look whole.
TEST_CASE("an answer that does not add up is broken off", "[entry]")
{
  auto entry = entry_harness{};
  const auto agent = entry.ConnectAgent("s1");
  const auto other = entry.ConnectAgent("s2");
  const auto faulty = std::vector<peer_message>{
    answer_data{ {}, 4, "later", 0 },
    answer_data{ {}, 0, "again", 0 },
    answer_end{ {}, answer_outcome::Completed, 4, 0, 0, 0 },
    answer_end{ {}, answer_outcome::Failed, 3, 0, 0, 0 },
    answer_data{ {}, 3, std::string(300'000, 'x'), 0 },
    decline{ {}, decline_reason::GrantExpired, {}, 0 },
    answer_head{ {}, 200, {} },
  };
  for (auto message : faulty) {
    const auto id = DispatchedTo(entry, agent);
    entry.Say(agent, answer_head{ id, 200, {} });
    entry.Say(agent, answer_data{ id, 0, "abc", 0 });
    entry.Say(other, answer_data{ id, 3, "mixed", 0 });
    std::visit(
      [&](auto& aMessage) {
        if constexpr (requires { aMessage.mRequest; }) {
          aMessage.mRequest = id;
        }
      },
      message);
    entry.Say(agent, message);
    CHECK(entry.Take<abort_answer>().size() == 1);
    CHECK(entry.Take<finish_answer>().empty());
    CHECK(entry.Take<continue_answer>().size() == 1);
  }
}

// A slow caller must not make the entry buffer the whole answer.
TEST_CASE("the window opens as the caller takes bytes", "[entry]")
{
  auto settings = entry_harness::DefaultSettings();
  settings.mAnswerWindowBytes = 100;
  auto entry = entry_harness(FleetDocument(), settings);
  const auto agent = entry.ConnectAgent("s1");
  const auto id = DispatchedTo(entry, agent);
  CHECK(entry.TakeSent<window>().at(0).second.mBytes == 100);
  entry.Say(agent, answer_head{ id, 200, {} });
  entry.Say(agent, answer_data{ id, 0, std::string(100, 'x'), 0 });
  entry.mNode.OnAnswerBytesDelivered({ 1 }, 10, entry.mNow);
  entry.Collect();
  CHECK(entry.TakeSent<window>().empty());
  entry.mNode.OnAnswerBytesDelivered({ 1 }, 60, entry.mNow);
  entry.Collect();
  CHECK(entry.TakeSent<window>().at(0).second.mBytes == 160);
}

TEST_CASE("work of a caller who left is cancelled or withdrawn", "[entry]")
{
  auto entry = entry_harness{};
  const auto agent = entry.ConnectAgent("s1");
  const auto id = DispatchedTo(entry, agent);
  entry.mNode.OnCallerDisconnected({ 1 }, entry.mNow);
  entry.Collect();
  CHECK(entry.TakeSent<cancel>().at(0).second.mRequest == id);

  const auto waiting = entry.Ask("/stock/1");
  entry.TakeSent<ticket>();
  entry.mNode.OnCallerDisconnected(waiting, entry.mNow);
  entry.Collect();
  CHECK(entry.TakeSent<withdraw>().size() == 1);
}
