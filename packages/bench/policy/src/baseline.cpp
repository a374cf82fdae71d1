#include "baseline.h"

#include "idle_meter.h"

#include <bronzering/base/hash.h>
#include <bronzering/base/overloaded.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace bronzering::bench {

namespace {

using namespace std::chrono_literals;

/// Delay until entries learn from the platform's list that an endpoint has failed or is draining.
constexpr auto kListLag = 2s;
constexpr auto kLoadInterval = 250ms;
constexpr auto kLoadLag = 1s;
/// In a rolling replacement: time for an endpoint to finish its work, and its downtime afterwards.
constexpr auto kDrainTime = 6s;
constexpr auto kRestartTime = 2s;

/// Simulates one baseline policy: entries are queues and counters, engines are those of the fleet.
class baseline_run
{
public:
  baseline_run(baseline_policy aPolicy, const scenario& aScenario)
    : mPolicy(aPolicy)
    , mScenario(aScenario)
    , mSettings(aScenario.mDeployment.mFleet)
    , mRandom(mSettings.mSeed)
  {
    auto store = config_store{};
    store.ApplyDocument(revision{ 1 }, mSettings.mDocument);
    mConfig = store.Current();
    for (const auto& [name, config] : mConfig->mEndpoints) {
      auto added = std::make_unique<engine>();
      added->mName = name;
      added->mKind = config.mKind;
      added->mConfig = config;
      added->mZone = mSettings.mEndpointZones.at(name);
      added->mEngine = std::make_shared<testkit::fake_engine>(
        mLoop, config, [this, self = added.get()](auto aEvent) { OnEngineEvent(*self, aEvent); });
      mEngines.push_back(std::move(added));
    }
    mEntries.resize(mSettings.mEntryZones.size());
    for (auto& each : mEntries) {
      each.mOutstanding.resize(mEngines.size());
    }
  }

  auto Run() -> run_result
  {
    const auto start = mLoop.Now() + 5s;
    for (const auto& next : mScenario.mArrivals) {
      mLoop.At(next.mWhen, [this, &next] { Arrive(next); });
    }
    for (const auto& fault : mScenario.mFaults) {
      mLoop.At(start + fault.mAt, [this, &fault] { Inject(fault); });
    }
    ReportLoads();
    auto idle =
      idle_meter(mLoop, start, start + mScenario.mLength, [this] { return SampleIdle(); });
    mLoop.RunUntil(start + mScenario.mLength + 25s);

    auto result = run_result{ .mScenario = mScenario.mName,
                              .mDeployment = mScenario.mDeployment.mName,
                              .mPolicy = std::string(kBaselinePolicyNames.NameOf(mPolicy)) };
    Summarise(mHistory, result);
    for (const auto& each : mEngines) {
      result.mPrefillTokens += each->mEngine->Prefill().mProcessed;
      result.mWastedPrefillTokens += each->mEngine->Prefill().mWasted;
    }
    result.mIdleShare = idle.Share();
    result.mHash = testkit::HashOf(mHistory);
    return result;
  }

private:
  struct engine
  {
    std::string mName;
    service_kind mKind = service_kind::Model;
    endpoint_config mConfig;
    std::string mZone;
    std::shared_ptr<testkit::fake_engine> mEngine;
    bool mUp = true;
    /// State as known to the entries, which lags behind the engine.
    bool mListed = true;
    std::uint32_t mStaleLoad = 0;
  };
  struct entry
  {
    bool mUp = true;
    std::size_t mNextRoundRobin = 0;
    std::vector<std::uint32_t> mOutstanding;
    std::deque<testkit::job> mQueue;
  };
  struct open_request
  {
    testkit::job mJob;
    std::size_t mEntry = 0;
    std::optional<std::size_t> mEngine;
  };

  auto Record(testkit::history_event aEvent) -> void
  {
    mHistory.push_back({ mLoop.Now(), std::move(aEvent) });
  }

  auto Arrive(const testkit::arrival& aArrival) -> void
  {
    auto index = aArrival.mEntry;
    while (!mEntries[index].mUp) {
      index = (index + 1) % mEntries.size();
    }
    auto request = aArrival.mJob;
    request.mExchange = exchange_id{ mNextExchange++ };
    Record(testkit::request_sent{ request, "entry-" + std::to_string(index) });
    mOpenRequests[request.mExchange] = { request, index, std::nullopt };
    mLoop.After(request.mTimeout, [this, id = request.mExchange] { Expire(id); });
    if (mPolicy == baseline_policy::FirstComeFirstServed) {
      mEntries[index].mQueue.push_back(std::move(request));
      DrainQueue(index);
      return;
    }
    if (const auto chosen = Choose(index, request)) {
      Send(request.mExchange, *chosen);
    } else {
      Refuse(request.mExchange);
    }
  }

  auto Refuse(exchange_id aExchange) -> void
  {
    Record(testkit::request_refused{ aExchange, refusal::NoEndpoint, run_state::NotRun });
    mOpenRequests.erase(aExchange);
  }

  [[nodiscard]] auto Candidates(std::size_t aEntry, const testkit::job& aJob) const
    -> std::vector<std::size_t>
  {
    auto found = std::vector<std::size_t>{};
    for (auto index = std::size_t{ 0 }; index < mEngines.size(); ++index) {
      const auto& each = *mEngines[index];
      const auto wanted = aJob.mIsModel ? service_kind::Model : service_kind::Plain;
      if (each.mKind == wanted && each.mListed && !IsPartitioned(aEntry, each)) {
        found.push_back(index);
      }
    }
    return found;
  }

  [[nodiscard]] auto IsPartitioned(std::size_t aEntry, const engine& aEngine) const -> bool
  {
    return (mSettings.mEntryZones[aEntry] == mPartitionedZone) !=
           (aEngine.mZone == mPartitionedZone);
  }

  auto Choose(std::size_t aEntry, const testkit::job& aJob) -> std::optional<std::size_t>
  {
    const auto candidates = Candidates(aEntry, aJob);
    if (candidates.empty()) {
      return std::nullopt;
    }
    auto& from = mEntries[aEntry];
    const auto any = [&] { return candidates[mRandom.UniformBelow(candidates.size())]; };
    switch (mPolicy) {
      case baseline_policy::Random:
        return any();
      case baseline_policy::RoundRobin:
        return candidates[from.mNextRoundRobin++ % candidates.size()];
      case baseline_policy::LeastOutstanding:
        return *std::ranges::min_element(
          candidates, {}, [&](std::size_t aIndex) { return from.mOutstanding[aIndex]; });
      case baseline_policy::PowerOfTwoStale: {
        const auto first = any();
        const auto second = any();
        return mEngines[first]->mStaleLoad <= mEngines[second]->mStaleLoad ? first : second;
      }
      case baseline_policy::PrefixHash: {
        const auto key = aJob.mPrefix.empty() ? mRandom.Bits() : aJob.mPrefix.front().mValue;
        return *std::ranges::max_element(candidates, {}, [&](std::size_t aIndex) {
          return RendezvousWeight(key, mEngines[aIndex]->mName);
        });
      }
      case baseline_policy::FirstComeFirstServed:
        break;
    }
    return std::nullopt;
  }

  /// Dispatches from the head of an entry's queue while an engine has a free slot by that entry's
  /// own count.
  auto DrainQueue(std::size_t aEntry) -> void
  {
    auto& from = mEntries[aEntry];
    while (!from.mQueue.empty()) {
      const auto& next = from.mQueue.front();
      if (!mOpenRequests.contains(next.mExchange)) {
        from.mQueue.pop_front();
        continue;
      }
      auto chosen = std::optional<std::size_t>{};
      for (const auto index : Candidates(aEntry, next)) {
        const auto slots =
          std::max<std::size_t>(1, mEngines[index]->mConfig.mMaxConcurrency / mEntries.size());
        if (from.mOutstanding[index] < slots &&
            (!chosen || from.mOutstanding[index] < from.mOutstanding[*chosen])) {
          chosen = index;
        }
      }
      if (!chosen) {
        return;
      }
      const auto exchange = next.mExchange;
      from.mQueue.pop_front();
      Send(exchange, *chosen);
    }
  }

  [[nodiscard]] auto Delay(std::size_t aEntry, const engine& aEngine) -> duration
  {
    if (mSettings.mEntryZones[aEntry] == aEngine.mZone) {
      return mSettings.mLocalDelay;
    }
    return mSettings.mZoneDelay + FromSeconds(mRandom.Uniform01() * ToSeconds(mSettings.mJitter));
  }

  auto Send(exchange_id aExchange, std::size_t aEngine) -> void
  {
    auto& request = mOpenRequests.at(aExchange);
    request.mEngine = aEngine;
    ++mEntries[request.mEntry].mOutstanding[aEngine];
    auto& target = *mEngines[aEngine];
    mLoop.After(mSettings.mCallerDelay + Delay(request.mEntry, target), [this, aExchange, &target] {
      const auto found = mOpenRequests.find(aExchange);
      if (found == mOpenRequests.end()) {
        return;
      }
      if (!target.mUp) {
        FailRequest(aExchange);
        return;
      }
      Record(
        testkit::execution_started{ aExchange, request_id{ 1, aExchange.mValue }, target.mName });
      target.mEngine->Submit(request_id{ 1, aExchange.mValue }, found->second.mJob);
    });
  }

  auto OnEngineEvent(engine& aEngine, const engine_event& aEvent) -> void
  {
    const auto id =
      std::visit(overloaded{
                   [](const engine_answer_data& aInner) { return std::optional(aInner.mRequest); },
                   [](const engine_answer_end& aInner) { return std::optional(aInner.mRequest); },
                   [](const engine_failure& aInner) { return std::optional(aInner.mRequest); },
                   [](const auto&) { return std::optional<request_id>{}; },
                 },
                 aEvent);
    if (!id) {
      return;
    }
    const auto exchange = exchange_id{ id->mSequence };
    const auto found = mOpenRequests.find(exchange);
    if (found == mOpenRequests.end()) {
      return;
    }
    if (IsPartitioned(found->second.mEntry, aEngine)) {
      mDelayedEvents.emplace_back(&aEngine, aEvent);
      return;
    }
    const auto delay = Delay(found->second.mEntry, aEngine) + mSettings.mCallerDelay;
    // TCP delivers the parts of one answer in order.
    auto& last = mLastDelivery[exchange];
    last = std::max(last, mLoop.Now() + delay);
    mLoop.At(last, [this, exchange, aEvent] { Deliver(exchange, aEvent); });
  }

  auto Deliver(exchange_id aExchange, const engine_event& aEvent) -> void
  {
    if (!mOpenRequests.contains(aExchange)) {
      return;
    }
    std::visit(overloaded{
                 [&](const engine_answer_data& aData) {
                   Record(testkit::answer_received{ aExchange, aData.mBytes });
                 },
                 [&](const engine_answer_end&) {
                   Record(testkit::answer_finished{ aExchange });
                   Close(aExchange);
                 },
                 [&](const engine_failure&) { FailRequest(aExchange); },
                 [](const auto&) {},
               },
               aEvent);
  }

  auto FailRequest(exchange_id aExchange) -> void
  {
    Record(testkit::answer_broken{ aExchange });
    Close(aExchange);
  }

  auto Close(exchange_id aExchange) -> void
  {
    const auto request = std::move(mOpenRequests.at(aExchange));
    mOpenRequests.erase(aExchange);
    mLastDelivery.erase(aExchange);
    if (request.mEngine) {
      --mEntries[request.mEntry].mOutstanding[*request.mEngine];
    }
    DrainQueue(request.mEntry);
  }

  auto Expire(exchange_id aExchange) -> void
  {
    const auto found = mOpenRequests.find(aExchange);
    if (found == mOpenRequests.end()) {
      return;
    }
    if (found->second.mEngine) {
      mEngines[*found->second.mEngine]->mEngine->Cancel(request_id{ 1, aExchange.mValue });
    }
    FailRequest(aExchange);
  }

  auto ReportLoads() -> void
  {
    for (auto& each : mEngines) {
      mLoop.After(kLoadLag, [target = each.get(), load = each->mEngine->Load().mRunning] {
        target->mStaleLoad = load;
      });
    }
    mLoop.After(kLoadInterval, [this] { ReportLoads(); });
  }

  auto CrashEngine(engine& aEngine) -> void
  {
    aEngine.mUp = false;
    aEngine.mEngine->Crash();
    mLoop.After(kListLag, [&aEngine] { aEngine.mListed = aEngine.mUp; });
  }

  auto Inject(const scenario::fault& aFault) -> void
  {
    using kind = scenario::fault::kind;
    if (aFault.mKind == kind::Partition) {
      mPartitionedZone = aFault.mTarget;
    } else if (aFault.mKind == kind::Heal) {
      mPartitionedZone.clear();
      for (const auto& [source, event] : std::exchange(mDelayedEvents, {})) {
        OnEngineEvent(*source, event);
      }
    } else if (aFault.mKind == kind::LoseZone) {
      LoseZone(aFault.mTarget);
    }
    for (auto& each : mEngines) {
      if (each->mName != aFault.mTarget) {
        continue;
      }
      if (aFault.mKind == kind::SlowEndpoint) {
        each->mEngine->SetSlowdown(aFault.mFactor);
      } else if (aFault.mKind == kind::LoseEndpoint) {
        CrashEngine(*each);
      } else if (aFault.mKind == kind::ReplaceEndpoint) {
        Replace(*each);
      }
    }
  }

  auto LoseZone(const std::string& aZone) -> void
  {
    for (auto& each : mEngines) {
      if (each->mZone == aZone) {
        CrashEngine(*each);
      }
    }
    auto lost = std::vector<exchange_id>{};
    for (auto index = std::size_t{ 0 }; index < mEntries.size(); ++index) {
      mEntries[index].mUp = mEntries[index].mUp && mSettings.mEntryZones[index] != aZone;
    }
    for (const auto& [exchange, request] : mOpenRequests) {
      if (!mEntries[request.mEntry].mUp) {
        lost.push_back(exchange);
      }
    }
    for (const auto exchange : lost) {
      FailRequest(exchange);
    }
  }

  auto Replace(engine& aEngine) -> void
  {
    mLoop.After(kListLag, [&aEngine] { aEngine.mListed = false; });
    mLoop.After(kDrainTime, [&aEngine] {
      aEngine.mUp = false;
      aEngine.mEngine->Crash();
    });
    mLoop.After(kDrainTime + kRestartTime, [&aEngine] { aEngine.mUp = true; });
    mLoop.After(kDrainTime + kRestartTime + kListLag, [&aEngine] { aEngine.mListed = true; });
  }

  [[nodiscard]] auto SampleIdle() const -> idle_sample
  {
    auto sample = idle_sample{};
    auto waiting = std::size_t{ 0 };
    for (const auto& [exchange, request] : mOpenRequests) {
      waiting += request.mJob.mIsModel ? 1 : 0;
    }
    for (const auto& each : mEngines) {
      if (each->mKind == service_kind::Model && each->mUp) {
        ++sample.mEngines;
        sample.mIdleEngines += each->mEngine->Running() == 0 ? 1 : 0;
        waiting -= std::min(waiting, each->mEngine->Running());
      }
    }
    sample.mWaiting = waiting;
    return sample;
  }

  baseline_policy mPolicy;
  const scenario& mScenario;
  const testkit::fleet_settings& mSettings;
  testkit::event_loop mLoop;
  random_source mRandom;
  std::shared_ptr<const fleet_config> mConfig;
  std::vector<std::unique_ptr<engine>> mEngines;
  std::vector<entry> mEntries;
  std::map<exchange_id, open_request> mOpenRequests;
  std::map<exchange_id, time_point> mLastDelivery;
  std::vector<std::pair<engine*, engine_event>> mDelayedEvents;
  std::string mPartitionedZone;
  std::uint64_t mNextExchange = 1;
  testkit::history mHistory;
};

} // namespace

auto RunBaseline(baseline_policy aPolicy, const scenario& aScenario) -> run_result
{
  return baseline_run(aPolicy, aScenario).Run();
}

} // namespace bronzering::bench
