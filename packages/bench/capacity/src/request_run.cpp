#include "request_run.h"

#include "fleet_document.h"
#include "meter.h"

#include <bronzering/base.h>
#include <bronzering/coordination.h>
#include <bronzering/wire/message_codec.h>

#include <deque>
#include <memory>
#include <utility>
#include <vector>

namespace bronzering {

namespace {

constexpr std::size_t kAgents = 4;
constexpr std::size_t kPartBytes = 100;
/// Maximum number of 5 ms steps per wave: 5 s of virtual time.
constexpr auto kMaxSteps = 1000;
constexpr auto kMessageNames =
  std::array{ "ticket",        "withdraw",       "dispatch",      "cancel",      "window",
              "grant",         "credit",         "decline",       "answer_head", "answer_data",
              "answer_end",    "agent_status",   "lease_request", "lease_grant", "lease_return",
              "config_digest", "config_sections" };
static_assert(kMessageNames.size() == std::variant_size_v<peer_message>);

/// A request running on an engine and the number of answer parts sent so far.
struct running_request
{
  request_id mRequest;
  std::size_t mParts = 0;
};

struct simulated_agent
{
  std::unique_ptr<agent_node> mNode;
  std::deque<peer_message> mInbox;
  std::vector<running_request> mRunning;
};

/// Runs one entry and its agents in virtual time.
class request_fleet
{
public:
  explicit request_fleet(run_costs& aCosts)
    : mCosts(aCosts)
    , mEntry({ { process_role::Entry, "entry", "z", "", { 77 } }, 1 }, mMetrics)
  {
    const auto document = FleetDocument(1000, kAgents);
    mEntry.OnVmList({}, mNow);
    mEntry.OnDocument({ 1 }, document, mNow);
    for (auto index = std::size_t{ 0 }; index < kAgents; ++index) {
      const auto name = "e" + std::to_string(index);
      const auto identity =
        process_identity{ process_role::Agent, "vm-" + name, "z", name, { (index + 1) << 20U } };
      auto settings = agent_settings{};
      settings.mIdentity = identity;
      auto& agent = mAgents.emplace_back();
      agent.mNode = std::make_unique<agent_node>(settings, mMetrics);
      agent.mNode->OnVmList({}, mNow);
      agent.mNode->OnDocument({ 1 }, document, mNow);
      agent.mNode->OnEngineEvent(engine_health{ true }, mNow);
      agent.mNode->OnPeerUp({ 1 }, { process_role::Entry, "entry", "z", "", { 77 } }, mNow);
      mEntry.OnPeerUp({ index + 1 }, identity, "", mNow);
    }
    DeliverMessages();
    mCosts.mEvents.clear();
  }

  auto RunWave(std::size_t aRequests) -> void
  {
    // Submits the requests and delivers the messages that dispatch them.
    auto requests = std::vector<caller_request>();
    for (auto index = std::size_t{ 0 }; index < aRequests; ++index) {
      requests.push_back(NextRequest());
    }
    Measure("entry request", requests.size(), [&] {
      for (auto& request : requests) {
        mEntry.OnRequest(std::move(request), mNow);
      }
      CollectEntry();
    });
    DeliverMessages();

    // Each step sends one part of every running answer; some requests are granted only after others
    // have ended.
    for (auto step = 0; step < kMaxSteps && !IsIdle(); ++step) {
      AdvanceTime(std::chrono::milliseconds(5));
      SendEngineEvents(
        "engine_head",
        [](const running_request& aRunning) { return aRunning.mParts == 0; },
        [](const running_request& aRunning) {
          return engine_answer_head{ aRunning.mRequest, 200, {} };
        });
      SendEngineEvents(
        "engine_data",
        [](const running_request&) { return true; },
        [](running_request& aRunning) {
          const auto part = aRunning.mParts++;
          return engine_answer_data{
            aRunning.mRequest, part * kPartBytes, std::string(kPartBytes, 'x'), part + 1
          };
        });
      SendEngineEvents(
        "engine_end",
        [](const running_request& aRunning) { return aRunning.mParts == kDataPerRequest; },
        [](const running_request& aRunning) {
          return engine_answer_end{ aRunning.mRequest, 1024, 0, kDataPerRequest };
        });
    }
  }

private:
  auto NextRequest() -> caller_request
  {
    auto request = caller_request{};
    request.mExchange = { ++mLastExchange };
    request.mTokenDigest = TokenDigest(mLastExchange % 1000);
    request.mModel = "model0";
    request.mMethod = "POST";
    request.mTarget = "/v1/completions";
    request.mBody = std::string(kBodyBytes, 'p');
    request.mPromptTokens = 1024;
    request.mOutputTokens = kDataPerRequest;
    for (auto block = std::size_t{ 0 }; block < kPrefixBlocks; ++block) {
      request.mPrefix.push_back({ mLastExchange * 1000 + block });
    }
    ++mCosts.mRequests;
    return request;
  }

  template<class Work>
  auto Measure(const std::string& aName, std::size_t aCount, Work aWork) -> void
  {
    const auto start = ProcessorTime();
    aWork();
    auto& cost = mCosts.mEvents[aName];
    cost.mNanoseconds += ProcessorTime() - start;
    cost.mCount += aCount;
  }

  [[nodiscard]] auto IsIdle() const -> bool { return mFinishedRequests >= mCosts.mRequests; }

  /// Passes the agents an engine event for each running request that aSelect accepts.
  template<class Select, class Make>
  auto SendEngineEvents(const std::string& aName, Select aSelect, Make aMake) -> void
  {
    for (auto& agent : mAgents) {
      auto events = std::vector<engine_event>{};
      for (auto& running : agent.mRunning) {
        if (aSelect(running)) {
          events.emplace_back(aMake(running));
        }
      }
      if (events.empty()) {
        continue;
      }
      const auto isEnd = std::holds_alternative<engine_answer_end>(events.front());
      if (isEnd) {
        std::erase_if(agent.mRunning, aSelect);
      }
      Measure("agent " + aName, events.size(), [&] {
        for (auto& event : events) {
          agent.mNode->OnEngineEvent(std::move(event), mNow);
        }
        CollectAgent(agent);
      });
    }
    DeliverMessages();
  }

  auto AdvanceTime(duration aTime) -> void
  {
    mNow.mMonotonic += aTime;
    mNow.mWall += aTime;
    Measure("entry timer", 1, [&] {
      mEntry.OnTimer(mNow);
      CollectEntry();
    });
    for (auto& agent : mAgents) {
      Measure("agent timer", 1, [&] {
        agent.mNode->OnTimer(mNow);
        CollectAgent(agent);
      });
    }
    DeliverMessages();
  }

  // Only moves messages to the inboxes, to add little to the measured time.
  auto CollectEntry() -> void
  {
    for (auto& action : mEntry.TakeActions()) {
      if (auto* sent = std::get_if<send_message>(&action)) {
        mAgents.at(sent->mPeer.mValue - 1).mInbox.push_back(std::move(sent->mMessage));
      } else if (std::holds_alternative<finish_answer>(action)) {
        ++mCosts.mCompleted;
        ++mFinishedRequests;
      } else if (const auto* refused = std::get_if<refuse_request>(&action)) {
        ++mCosts.mRefused[std::string(kRefusalNames.NameOf(refused->mReason))];
        ++mFinishedRequests;
      }
    }
  }
  auto CollectAgent(simulated_agent& aAgent) -> void
  {
    const auto self = peer_id{ static_cast<std::uint64_t>(&aAgent - mAgents.data()) + 1 };
    for (auto& action : aAgent.mNode->TakeActions()) {
      if (auto* sent = std::get_if<send_message>(&action)) {
        mEntryInbox.emplace_back(self, std::move(sent->mMessage));
      } else if (auto* submit = std::get_if<submit_to_engine>(&action)) {
        aAgent.mRunning.push_back({ submit->mRequest });
      }
    }
  }

  /// Delivers messages until none is left. Consecutive messages of one kind are measured together,
  /// since reading the clock costs as much as handling a message.
  auto DeliverMessages() -> void
  {
    for (auto isBusy = true; isBusy;) {
      isBusy = !mEntryInbox.empty();
      DeliverToEntry();
      for (auto& agent : mAgents) {
        isBusy = isBusy || !agent.mInbox.empty();
        DeliverToAgent(agent);
      }
    }
  }
  auto DeliverToEntry() -> void
  {
    while (!mEntryInbox.empty()) {
      auto batch = std::vector<std::pair<peer_id, peer_message>>{};
      const auto kind = mEntryInbox.front().second.index();
      while (!mEntryInbox.empty() && mEntryInbox.front().second.index() == kind) {
        batch.push_back(std::move(mEntryInbox.front()));
        mEntryInbox.pop_front();
      }
      const auto name = std::string("entry ") + MessageName(kind);
      for (const auto& [peer, message] : batch) {
        mCosts.mEvents[name].mBytes += static_cast<double>(EncodeMessage(message).size());
      }
      Measure(name, batch.size(), [&] {
        for (auto& [peer, message] : batch) {
          mEntry.OnMessage(peer, std::move(message), mNow);
        }
        CollectEntry();
      });
    }
  }
  auto DeliverToAgent(simulated_agent& aAgent) -> void
  {
    while (!aAgent.mInbox.empty()) {
      auto batch = std::vector<peer_message>{};
      const auto kind = aAgent.mInbox.front().index();
      while (!aAgent.mInbox.empty() && aAgent.mInbox.front().index() == kind) {
        batch.push_back(std::move(aAgent.mInbox.front()));
        aAgent.mInbox.pop_front();
      }
      const auto name = std::string("agent ") + MessageName(kind);
      for (const auto& message : batch) {
        mCosts.mEvents[name].mBytes += static_cast<double>(EncodeMessage(message).size());
      }
      Measure(name, batch.size(), [&] {
        for (auto& message : batch) {
          aAgent.mNode->OnMessage({ 1 }, std::move(message), mNow);
        }
        CollectAgent(aAgent);
      });
    }
  }

  run_costs& mCosts;
  metrics_registry mMetrics;
  instant mNow{ time_point(std::chrono::hours(1)), wall_time(std::chrono::hours(480'000)) };
  entry_node mEntry;
  std::vector<simulated_agent> mAgents;
  std::deque<std::pair<peer_id, peer_message>> mEntryInbox;
  std::uint64_t mLastExchange = 0;
  std::size_t mFinishedRequests = 0;
};

} // namespace

auto MessageName(std::size_t aIndex) -> const char*
{
  return kMessageNames.at(aIndex);
}

auto RunRequests(std::size_t aWaves, std::size_t aPerWave) -> run_costs
{
  auto costs = run_costs{};
  auto fleet = request_fleet(costs);
  for (auto wave = std::size_t{ 0 }; wave < aWaves; ++wave) {
    fleet.RunWave(aPerWave);
  }
  return costs;
}

} // namespace bronzering
