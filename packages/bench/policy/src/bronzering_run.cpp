#include "baseline.h"

#include "idle_meter.h"

#include <algorithm>
#include <set>

namespace bronzering::bench {

namespace {

using namespace std::chrono_literals;

/// Time between the exit of a drained process and the start of its replacement.
constexpr auto kRestartTime = 2s;

auto ProcessesIn(const scenario& aScenario, const std::string& aZone) -> std::set<std::string>
{
  auto names = std::set<std::string>{};
  const auto& settings = aScenario.mDeployment.mFleet;
  for (auto index = std::size_t{ 0 }; index < settings.mEntryZones.size(); ++index) {
    if (settings.mEntryZones[index] == aZone) {
      names.insert("entry-" + std::to_string(index));
    }
  }
  for (const auto& [endpoint, zone] : settings.mEndpointZones) {
    if (zone == aZone) {
      names.insert("agent " + endpoint);
    }
  }
  return names;
}

/// Starts the replacement of a draining agent once the agent has stopped.
auto RestartWhenStopped(testkit::fleet& aFleet, const std::string& aEndpoint) -> void
{
  if (aFleet.Agent(aEndpoint)) {
    aFleet.Loop().After(100ms, [&aFleet, aEndpoint] { RestartWhenStopped(aFleet, aEndpoint); });
  } else {
    aFleet.Loop().After(kRestartTime,
                        [&aFleet, aEndpoint] { aFleet.Restart("agent " + aEndpoint); });
  }
}

auto Inject(testkit::fleet& aFleet, const scenario& aScenario, const scenario::fault& aFault)
  -> void
{
  using kind = scenario::fault::kind;
  switch (aFault.mKind) {
    case kind::SlowEndpoint:
      aFleet.Engine(aFault.mTarget).SetSlowdown(aFault.mFactor);
      break;
    case kind::LoseEndpoint:
      aFleet.Kill("agent " + aFault.mTarget);
      aFleet.Engine(aFault.mTarget).Crash();
      break;
    case kind::ReplaceEndpoint:
      aFleet.Drain("agent " + aFault.mTarget);
      RestartWhenStopped(aFleet, aFault.mTarget);
      break;
    case kind::LoseZone:
      for (const auto& name : ProcessesIn(aScenario, aFault.mTarget)) {
        aFleet.Kill(name);
      }
      for (const auto& [endpoint, zone] : aScenario.mDeployment.mFleet.mEndpointZones) {
        if (zone == aFault.mTarget) {
          aFleet.Engine(endpoint).Crash();
        }
      }
      break;
    case kind::Partition:
      aFleet.Partition(ProcessesIn(aScenario, aFault.mTarget));
      break;
    case kind::Heal:
      aFleet.Heal();
      break;
  }
}

auto SampleIdle(testkit::fleet& aFleet) -> idle_sample
{
  auto sample = idle_sample{};
  auto waiting = aFleet.OpenModelExchanges();
  for (const auto& [name, endpoint] : aFleet.Configuration().mEndpoints) {
    if (endpoint.mKind == service_kind::Model && aFleet.Agent(name)) {
      const auto running = aFleet.Engine(name).Running();
      ++sample.mEngines;
      sample.mIdleEngines += running == 0 ? 1 : 0;
      waiting -= std::min(waiting, running);
    }
  }
  sample.mWaiting = waiting;
  return sample;
}

} // namespace

auto RunBronzering(const scenario& aScenario) -> run_result
{
  auto fleet = testkit::fleet(aScenario.mDeployment.mFleet);
  auto& loop = fleet.Loop();
  const auto start = loop.Now() + 5s;
  for (const auto& next : aScenario.mArrivals) {
    loop.At(next.mWhen, [&] {
      // The load balancer skips entries that are down.
      auto entry = next.mEntry;
      while (!fleet.Entry(entry)) {
        entry = (entry + 1) % aScenario.mDeployment.mFleet.mEntryZones.size();
      }
      fleet.Submit(entry, next.mJob);
    });
  }
  for (const auto& fault : aScenario.mFaults) {
    loop.At(start + fault.mAt, [&] { Inject(fleet, aScenario, fault); });
  }
  auto idle = idle_meter(loop, start, start + aScenario.mLength, [&] { return SampleIdle(fleet); });
  loop.RunUntil(start + aScenario.mLength + 25s);

  auto result = run_result{ .mScenario = aScenario.mName,
                            .mDeployment = aScenario.mDeployment.mName,
                            .mPolicy = "bronzering" };
  Summarise(fleet.History(), result);
  for (const auto& [name, endpoint] : fleet.Configuration().mEndpoints) {
    result.mPrefillTokens += fleet.Engine(name).Prefill().mProcessed;
    result.mWastedPrefillTokens += fleet.Engine(name).Prefill().mWasted;
  }
  result.mIdleShare = idle.Share();
  if (aScenario.mMeasuresFairness) {
    result.mUnfairness = Unfairness(fleet.History(), 1);
  }
  result.mViolations = testkit::CheckHistory(
    fleet.History(),
    { .mEndpoints = fleet.Configuration().mEndpoints, .mCheckSpread = false, .mEnd = loop.Now() });
  result.mHash = testkit::HashOf(fleet.History());
  return result;
}

} // namespace bronzering::bench
