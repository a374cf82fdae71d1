#include "entry_harness.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>

using namespace bronzering;

namespace {

/// Endpoints with honest agents behind links that lose sessions at any time and deliver in any
/// order between sessions. Every choice comes from one number, so that RapidCheck can shrink a run.
class honest_fleet
{
public:
  explicit honest_fleet(entry_harness& aEntry)
    : mEntry(aEntry)
  {
    for (const auto* name : { "e1", "e2", "e3", "s1", "s2", "s3" }) {
      mAgents.emplace_back();
      mAgents.back().mName = name;
      Connect(mAgents.back());
    }
  }

  auto Step(std::uint32_t aChoice) -> void
  {
    auto& agent = mAgents[(aChoice >> 4) % mAgents.size()];
    const auto detail = aChoice >> 8;
    switch (aChoice % 16) {
      case 0:
      case 1:
        NewRequest(detail);
        break;
      case 2:
        Disturb(agent, detail);
        break;
      case 3:
        mEntry.Advance(std::chrono::milliseconds(detail % 400));
        break;
      case 4:
      case 5:
      case 6:
        GrantOrRevoke(agent, detail);
        break;
      case 7:
      case 8:
      case 9:
      case 10:
        Receive(agent, detail);
        break;
      default:
        Deliver(agent);
        break;
    }
    Check();
  }

  /// Lets everything still under way arrive, then checks the claims that no work ran.
  auto Finish() -> void
  {
    for (auto round = 0; round < 50; ++round) {
      for (auto& agent : mAgents) {
        while (agent.mPeer && !agent.mInbox.empty()) {
          Receive(agent, 1);
        }
        while (agent.mPeer && !agent.mOutbox.empty()) {
          Deliver(agent);
        }
      }
      Check();
    }
    mEntry.Advance(std::chrono::minutes(1));
    Check();
    for (const auto tag : mClaimedNotRun) {
      RC_ASSERT(mRuns[tag] == 0);
    }
    RC_ASSERT(mOpen.empty());
  }

private:
  struct agent_model
  {
    std::string mName;
    std::optional<peer_id> mPeer;
    std::deque<peer_message> mInbox;
    std::deque<peer_message> mOutbox;
    std::vector<request_id> mWaiting;
    std::map<request_id, grant_id> mGranted;
    std::set<grant_id> mCredits;
  };

  static auto AnswerOf(std::uint64_t aTag) -> std::string
  {
    return "answer to request " + std::to_string(aTag);
  }

  auto Connect(agent_model& aAgent) -> void { aAgent.mPeer = mEntry.ConnectAgent(aAgent.mName); }

  auto NewRequest(std::uint32_t aDetail) -> void
  {
    auto request = caller_request{};
    request.mExchange = { ++mEntry.mLastExchange };
    request.mTokenDigest = kGoldDigest;
    request.mModel = aDetail % 3 == 0 ? "lamps" : "";
    request.mTarget = aDetail % 3 == 1 ? "/stock/1" : "/orders";
    request.mPromptTokens = request.mModel.empty() ? 0 : 10;
    request.mBody = std::to_string(request.mExchange.mValue);
    if (aDetail % 6 == 5) {
      request.mIdempotencyKey = "key-" + request.mBody;
    }
    mOpen.insert(request.mExchange.mValue);
    mEntry.Ask(std::move(request));
  }

  auto Disturb(agent_model& aAgent, std::uint32_t aDetail) -> void
  {
    if (aDetail % 5 == 0 && !mOpen.empty()) {
      const auto exchange = *mOpen.begin();
      mEntry.mNode.OnCallerDisconnected({ exchange }, mEntry.mNow);
      mEntry.Collect();
      mOpen.erase(exchange);
    } else if (aDetail % 5 == 1 && aAgent.mPeer) {
      mEntry.mNode.OnPeerSilent(*aAgent.mPeer, aDetail % 2 == 0, mEntry.mNow);
      mEntry.Collect();
    } else if (aDetail % 5 == 2 && aAgent.mPeer) {
      // What was under way in both directions is lost with the session.
      mEntry.mNode.OnPeerDown(*aAgent.mPeer, mEntry.mNow);
      mEntry.Collect();
      auto restarted = agent_model{};
      restarted.mName = aAgent.mName;
      aAgent = std::move(restarted);
    } else if (!aAgent.mPeer) {
      Connect(aAgent);
    }
  }

  auto GrantOrRevoke(agent_model& aAgent, std::uint32_t aDetail) -> void
  {
    if (aDetail % 8 == 0 && !aAgent.mGranted.empty()) {
      const auto request = aAgent.mGranted.begin()->first;
      aAgent.mGranted.erase(request);
      aAgent.mOutbox.emplace_back(decline{ request, decline_reason::GrantExpired, {}, 0 });
    } else if (aDetail % 8 == 1) {
      const auto service = aAgent.mName[0] == 'e' ? "lamps" : "stock";
      const auto grant = grant_id{ ++mLastGrant };
      aAgent.mCredits.insert(grant);
      aAgent.mOutbox.emplace_back(credit{ service, { grant }, std::chrono::seconds(1) });
    } else if (!aAgent.mWaiting.empty()) {
      const auto request = aAgent.mWaiting.front();
      aAgent.mWaiting.erase(aAgent.mWaiting.begin());
      if (aDetail % 8 == 2) {
        aAgent.mOutbox.emplace_back(decline{ request, decline_reason::QueueFull, {}, 0 });
        return;
      }
      aAgent.mGranted[request] = { ++mLastGrant };
      aAgent.mOutbox.emplace_back(GrantFor(request, mLastGrant));
    }
  }

  auto Receive(agent_model& aAgent, std::uint32_t aDetail) -> void
  {
    if (aAgent.mInbox.empty()) {
      return;
    }
    const auto message = std::move(aAgent.mInbox.front());
    aAgent.mInbox.pop_front();
    if (const auto* announced = std::get_if<ticket>(&message)) {
      aAgent.mWaiting.push_back(announced->mRequest);
    } else if (const auto* withdrawn = std::get_if<withdraw>(&message)) {
      std::erase(aAgent.mWaiting, withdrawn->mRequest);
      aAgent.mGranted.erase(withdrawn->mRequest);
    } else if (const auto* sent = std::get_if<dispatch>(&message)) {
      Run(aAgent, *sent, aDetail);
    }
  }

  auto Run(agent_model& aAgent, const dispatch& aDispatch, std::uint32_t aDetail) -> void
  {
    const auto id = aDispatch.mTicket.mRequest;
    const auto granted = aAgent.mGranted.find(id);
    const auto isGranted = granted != aAgent.mGranted.end() && granted->second == aDispatch.mGrant;
    aAgent.mGranted.erase(id);
    const auto isCredit = aAgent.mCredits.erase(aDispatch.mGrant) > 0;
    if ((!isGranted && !isCredit) || aDetail % 7 == 0) {
      aAgent.mOutbox.emplace_back(decline{ id, decline_reason::GrantExpired, {}, 0 });
      return;
    }
    const auto tag = std::stoull(aDispatch.mBody);
    ++mRuns[tag];
    RC_ASSERT(mRuns[tag] == 1);
    const auto text = AnswerOf(tag);
    const auto half = text.size() / 2;
    aAgent.mOutbox.emplace_back(answer_head{ id, 200, {} });
    aAgent.mOutbox.emplace_back(answer_data{ id, 0, text.substr(0, half), 0 });
    if (aDetail % 7 == 1) {
      aAgent.mOutbox.emplace_back(answer_end{ id, answer_outcome::Failed, half, 0, 0, 0 });
      return;
    }
    aAgent.mOutbox.emplace_back(answer_data{ id, half, text.substr(half), 0 });
    aAgent.mOutbox.emplace_back(answer_end{ id, answer_outcome::Completed, text.size(), 0, 0, 0 });
  }

  auto Deliver(agent_model& aAgent) -> void
  {
    if (!aAgent.mPeer || aAgent.mOutbox.empty()) {
      return;
    }
    auto message = std::move(aAgent.mOutbox.front());
    aAgent.mOutbox.pop_front();
    mEntry.Say(*aAgent.mPeer, std::move(message));
  }

  /// Passes the entry's messages on and checks what it told its callers.
  auto Check() -> void
  {
    for (auto& action : std::exchange(mEntry.mActions, {})) {
      if (auto* send = std::get_if<send_message>(&action)) {
        for (auto& agent : mAgents) {
          if (agent.mPeer == send->mPeer) {
            agent.mInbox.push_back(std::move(send->mMessage));
          }
        }
      } else if (const auto* part = std::get_if<continue_answer>(&action)) {
        mReceived[part->mExchange.mValue] += part->mBytes;
        const auto whole = AnswerOf(part->mExchange.mValue);
        RC_ASSERT(whole.starts_with(mReceived[part->mExchange.mValue]));
      } else if (const auto* end = std::get_if<finish_answer>(&action)) {
        RC_ASSERT(mReceived[end->mExchange.mValue] == AnswerOf(end->mExchange.mValue));
        RC_ASSERT(mOpen.erase(end->mExchange.mValue) == 1U);
      } else if (const auto* broken = std::get_if<abort_answer>(&action)) {
        RC_ASSERT(mOpen.erase(broken->mExchange.mValue) == 1U);
      } else if (const auto* refused = std::get_if<refuse_request>(&action)) {
        RC_ASSERT(mOpen.erase(refused->mExchange.mValue) == 1U);
        if (refused->mRunState == run_state::NotRun) {
          mClaimedNotRun.push_back(refused->mExchange.mValue);
        }
      }
    }
  }

  entry_harness& mEntry;
  std::vector<agent_model> mAgents;
  std::uint64_t mLastGrant = 0;
  std::set<std::uint64_t> mOpen;
  std::map<std::uint64_t, int> mRuns;
  std::map<std::uint64_t, std::string> mReceived;
  std::vector<std::uint64_t> mClaimedNotRun;
};

} // namespace

// P1, P3, P4 and P5 under declines, revoked grants, credits, lost sessions and departing callers:
// no work runs twice, no refusal claims falsely that nothing ran, no answer is mixed up or cut, and
// every caller hears exactly one end.
TEST_CASE("random message orders and lost sessions break no promise", "[entry][property]")
{
  const auto holds = rc::check([] {
    const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
      500, rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
    auto entry = entry_harness{};
    auto fleet = honest_fleet(entry);
    for (const auto choice : choices) {
      fleet.Step(choice);
    }
    fleet.Finish();
  });
  CHECK(holds);
}

// P1 needs one decision for one input: a run repeated from its seed must be the same run.
TEST_CASE("the same events give the same actions", "[entry][determinism]")
{
  const auto run = [] {
    auto entry = entry_harness{};
    auto random = random_source(5);
    auto peers = std::vector<peer_id>{};
    for (const auto* name : { "e1", "e2", "e3" }) {
      peers.push_back(entry.ConnectAgent(name));
    }
    auto trace = std::string{};
    for (auto step = 0; step < 200; ++step) {
      entry.Ask();
      entry.Advance(std::chrono::milliseconds(random.UniformBelow(30)));
      for (const auto& [peer, message] : entry.TakeSent<ticket>()) {
        trace += std::to_string(peer.mValue) + ToString(message.mRequest) + ";";
        if (random.UniformBelow(4) == 0) {
          entry.Say(peer, decline{ message.mRequest, decline_reason::QueueFull, {}, 0 });
        }
      }
      trace += std::to_string(entry.mActions.size()) + "\n";
    }
    return trace;
  };
  CHECK(run() == run());
}
