#include "fault_schedule.h"

#include <algorithm>
#include <ostream>

namespace bronzering::testkit {

namespace {

using namespace std::chrono_literals;

constexpr auto kArrivalTime = 6s;
/// Covers the longest request timeout and leaves time for recovery from the faults.
constexpr auto kSettleTime = 20s;

auto AgentNames(fleet& aFleet) -> std::vector<std::string>
{
  auto names = aFleet.ProcessNames();
  std::erase_if(names, [](const auto& aName) { return !aName.starts_with("agent "); });
  return names;
}

auto RestartLater(fleet& aFleet, const std::string& aProcess, duration aTime) -> void
{
  aFleet.Loop().After(aTime, [&aFleet, aProcess] { aFleet.Restart(aProcess); });
}

/// Polls until the drained agent has stopped and then restarts it, as the platform replaces VMs.
auto RestartOnceStopped(fleet& aFleet, const std::string& aEndpoint) -> void
{
  aFleet.Loop().After(500ms, [&aFleet, aEndpoint] {
    if (aFleet.Agent(aEndpoint)) {
      RestartOnceStopped(aFleet, aEndpoint);
    } else {
      aFleet.Restart("agent " + aEndpoint);
    }
  });
}

auto Apply(fleet& aFleet,
           const deployment& aDeployment,
           const fault_step& aStep,
           std::vector<exchange_id>& aSent) -> void
{
  const auto agents = AgentNames(aFleet);
  const auto& agent = agents[aStep.mTarget % agents.size()];
  const auto endpoint = agent.substr(std::string("agent ").size());
  const auto entry =
    "entry-" + std::to_string(aStep.mTarget % aDeployment.mFleet.mEntryZones.size());
  const auto size = std::chrono::milliseconds(aStep.mSizeMilliseconds);
  switch (aStep.mKind) {
    case fault_kind::KillEntry:
      aFleet.Kill(entry);
      RestartLater(aFleet, entry, size);
      break;
    case fault_kind::KillAgent:
      aFleet.Kill(agent);
      RestartLater(aFleet, agent, size);
      break;
    case fault_kind::PauseEntry:
      aFleet.Pause(entry, size);
      break;
    case fault_kind::PauseAgent:
      aFleet.Pause(agent, size);
      break;
    case fault_kind::DrainAgent:
      if (aFleet.Agent(endpoint)) {
        aFleet.Drain(agent);
        RestartOnceStopped(aFleet, endpoint);
      }
      break;
    case fault_kind::Partition: {
      auto side = std::set<std::string>{};
      auto bits = aStep.mSizeMilliseconds;
      for (const auto& name : aFleet.ProcessNames()) {
        if (bits & 1U) {
          side.insert(name);
        }
        bits >>= 1U;
      }
      aFleet.Partition(std::move(side));
      break;
    }
    case fault_kind::Heal:
      aFleet.Heal();
      break;
    case fault_kind::SlowEngine:
      aFleet.Engine(endpoint).SetSlowdown(1 + aStep.mSizeMilliseconds % 8);
      break;
    case fault_kind::CrashEngine:
      aFleet.Engine(endpoint).Crash();
      break;
    case fault_kind::BreakStreams:
      aFleet.Engine(endpoint).BreakStreams();
      break;
    case fault_kind::ConfigurationOutage:
      aFleet.SetConfigurationOutage(true);
      break;
    case fault_kind::ConfigurationBack:
      aFleet.SetConfigurationOutage(false);
      break;
    case fault_kind::StaleDocument:
      aFleet.ServeStaleDocument();
      break;
    case fault_kind::PublishDocument:
      aFleet.Publish(aDeployment.mFleet.mDocument + "# change\n");
      break;
    case fault_kind::CallersLeave:
      for (auto index = std::size_t{ aStep.mTarget % 5 }; index < aSent.size(); index += 5) {
        aFleet.DisconnectCaller(aSent[index]);
      }
      break;
  }
}

} // namespace

auto operator<<(std::ostream& aOut, const fault_step& aStep) -> std::ostream&
{
  return aOut << aStep.mAtMilliseconds << " ms: " << kFaultKindNames.NameOf(aStep.mKind) << ' '
              << aStep.mTarget << " for " << aStep.mSizeMilliseconds << " ms";
}

auto RunWithFaults(std::uint64_t aSeed,
                   const std::vector<fault_step>& aFaults,
                   injected_bug aInjectedBug,
                   double aLoad) -> fault_run_result
{
  auto setup = MakeSmall(aSeed);
  setup.mFleet.mInjectedBug = aInjectedBug;
  auto fleet = testkit::fleet(setup.mFleet);
  auto& loop = fleet.Loop();
  const auto start = loop.Now() + 3s;

  auto arrivals = workload(setup, aSeed);
  const auto capacity = ModelCapacity(setup, fleet.Configuration());
  for (const auto& requestClass : setup.mClasses) {
    const auto rate =
      requestClass.mIsModel ? requestClass.mShare * capacity * aLoad : requestClass.mShare;
    arrivals.AddClass(requestClass, rate, start, start + kArrivalTime);
  }

  auto sent = std::vector<exchange_id>{};
  const auto jobs = arrivals.Take();
  for (auto index = std::size_t{ 0 }; index < jobs.size(); ++index) {
    loop.At(jobs[index].mWhen,
            [&, index] { sent.push_back(fleet.Submit(jobs[index].mEntry, jobs[index].mJob)); });
    // Repeats some requests with the same idempotency key through the other entry, up to 3 s later.
    if (!jobs[index].mJob.mIdempotencyKey.empty() && index % 3 == 0) {
      const auto later = std::chrono::milliseconds(50 * (index % 60));
      loop.At(jobs[index].mWhen + later,
              [&, index] { fleet.Submit(1 - jobs[index].mEntry, jobs[index].mJob); });
    }
  }
  for (const auto& step : aFaults) {
    loop.At(start + std::chrono::milliseconds(step.mAtMilliseconds),
            [&, step] { Apply(fleet, setup, step, sent); });
  }
  loop.At(start + kArrivalTime + 2s, [&] { fleet.Heal(); });
  loop.RunUntil(start + kArrivalTime + kSettleTime);

  auto result = fault_run_result{};
  result.mViolations = CheckHistory(fleet.History(),
                                    { .mEndpoints = fleet.Configuration().mEndpoints,
                                      .mCheckSpread = aFaults.empty(),
                                      .mProcesses = fleet.ProcessNames(),
                                      .mEnd = loop.Now() });
  result.mHash = HashOf(fleet.History());
  for (const auto& [when, event] : fleet.History()) {
    result.mSent += std::holds_alternative<request_sent>(event) ? 1 : 0;
    result.mFinished += std::holds_alternative<answer_finished>(event) ? 1 : 0;
  }
  return result;
}

} // namespace bronzering::testkit
