#include "scenario.h"

#include <algorithm>
#include <utility>

namespace bronzering::bench {

namespace {

using namespace std::chrono_literals;
using testkit::deployment;

/// Upper limit of the top tier's demand, as a share of the model capacity.
constexpr auto kTopTierLoad = 0.4;

auto Start() -> time_point
{
  // Allows the links to be established before the first request.
  return testkit::event_loop{}.Now() + 5s;
}

/// Adds arrivals with a total model demand of aLoad times the capacity. The top tier's demand is
/// limited to kTopTierLoad; the lower tiers make up the rest.
auto AddModelLoad(testkit::workload& aWorkload,
                  const deployment& aDeployment,
                  double aCapacity,
                  double aLoad,
                  duration aLength) -> void
{
  auto lowerShare = 0.0;
  auto topShare = 0.0;
  for (const auto& part : aDeployment.mClasses) {
    if (part.mIsModel) {
      (part.mRank == 0 ? topShare : lowerShare) += part.mShare;
    }
  }
  const auto topLoad = std::min(kTopTierLoad, topShare * aLoad);
  for (const auto& part : aDeployment.mClasses) {
    const auto load = part.mRank == 0 ? topLoad * part.mShare / topShare
                                      : (aLoad - topLoad) * part.mShare / lowerShare;
    if (part.mIsModel) {
      aWorkload.AddClass(part, load * aCapacity, Start(), Start() + aLength);
    } else {
      aWorkload.AddClass(part, part.mShare, Start(), Start() + aLength);
    }
  }
}

auto Capacity(const deployment& aDeployment) -> double
{
  auto store = config_store{};
  store.ApplyDocument(revision{ 1 }, aDeployment.mFleet.mDocument);
  return ModelCapacity(aDeployment, *store.Current());
}

auto MakeScenario(std::string aName, const deployment& aDeployment, double aLoad, duration aLength)
  -> scenario
{
  auto result = scenario{
    .mName = std::move(aName), .mDeployment = aDeployment, .mLength = aLength, .mLoad = aLoad
  };
  auto arrivals = testkit::workload(result.mDeployment, aDeployment.mFleet.mSeed + 17);
  AddModelLoad(arrivals, result.mDeployment, Capacity(aDeployment), aLoad, aLength);
  result.mArrivals = arrivals.Take();
  return result;
}

auto MakeBurst(const deployment& aDeployment, duration aLength) -> scenario
{
  auto result = scenario{
    .mName = "burst of one organisation", .mDeployment = aDeployment, .mLength = aLength, .mLoad = 2
  };
  const auto capacity = Capacity(aDeployment);
  auto arrivals = testkit::workload(result.mDeployment, aDeployment.mFleet.mSeed + 18);
  AddModelLoad(arrivals, result.mDeployment, capacity, 0.5, aLength);
  for (const auto& part : result.mDeployment.mClasses) {
    if (part.mIsModel && part.mRank == 2) {
      arrivals.AddBurst(part,
                        result.mDeployment.mOrganisations.front().first,
                        capacity * 1.5,
                        Start() + aLength / 3,
                        Start() + 2 * aLength / 3);
    }
  }
  result.mArrivals = arrivals.Take();
  return result;
}

/// Every organisation's demand in one tier exceeds its share, by different amounts.
auto MakeBacklog(const deployment& aDeployment, duration aLength) -> scenario
{
  auto result = scenario{ .mName = "equal shares",
                          .mDeployment = aDeployment,
                          .mLength = aLength,
                          .mLoad = 2,
                          .mTopTierFits = false,
                          .mMeasuresFairness = true };
  const auto capacity = Capacity(aDeployment);
  auto arrivals = testkit::workload(result.mDeployment, aDeployment.mFleet.mSeed + 19);
  for (const auto& part : result.mDeployment.mClasses) {
    if (!part.mIsModel || part.mRank != 1) {
      continue;
    }
    const auto count = result.mDeployment.mOrganisations.size();
    for (auto index = std::size_t{ 0 }; index < count; ++index) {
      // Requests of this class are shorter than the average of the mix, so the engines serve more
      // of them than the computed capacity.
      const auto rate =
        capacity * (4.0 + 2.0 * static_cast<double>(index)) / static_cast<double>(count);
      arrivals.AddBurst(
        part, result.mDeployment.mOrganisations[index].first, rate, Start(), Start() + aLength);
    }
  }
  result.mArrivals = arrivals.Take();
  return result;
}

} // namespace

auto MakeScenarios(std::uint64_t aSeed, duration aLength) -> std::vector<scenario>
{
  using kind = scenario::fault::kind;
  auto scenarios = std::vector<scenario>{};
  for (const auto& currentDeployment :
       { testkit::MakeWorkshop(aSeed), testkit::MakeShops(aSeed) }) {
    scenarios.push_back(MakeScenario("half load", currentDeployment, 0.5, aLength));
    scenarios.push_back(MakeScenario("full load", currentDeployment, 1, aLength));
    scenarios.push_back(MakeScenario("2x overload", currentDeployment, 2, aLength));
    scenarios.push_back(MakeScenario("5x overload", currentDeployment, 5, aLength));
    scenarios.push_back(MakeBurst(currentDeployment, aLength));
    scenarios.push_back(MakeBacklog(currentDeployment, aLength));

    auto slow = MakeScenario("one engine slowed 5x", currentDeployment, 0.7, aLength);
    slow.mFaults = { { aLength / 4, kind::SlowEndpoint, "engine-0", 5 },
                     { 3 * aLength / 4, kind::SlowEndpoint, "engine-0", 1 } };
    scenarios.push_back(std::move(slow));

    auto lost = MakeScenario("agent lost at peak", currentDeployment, 1, aLength);
    lost.mFaults = { { aLength / 2, kind::LoseEndpoint, "engine-1" } };
    scenarios.push_back(std::move(lost));

    const auto& zone = currentDeployment.mFleet.mEntryZones.back();
    auto zoneLost = MakeScenario("zone lost", currentDeployment, 0.5, aLength);
    zoneLost.mFaults = { { aLength / 2, kind::LoseZone, zone } };
    scenarios.push_back(std::move(zoneLost));

    auto partition = MakeScenario("partition", currentDeployment, 0.5, aLength);
    partition.mFaults = { { aLength / 3, kind::Partition, zone }, { 2 * aLength / 3, kind::Heal } };
    scenarios.push_back(std::move(partition));

    auto rolling = MakeScenario("rolling replacement", currentDeployment, 0.6, aLength);
    auto at = duration{ aLength / 10 };
    const auto step =
      aLength * 8 / 10 / static_cast<int>(currentDeployment.mFleet.mEndpointZones.size());
    for (const auto& [endpoint, unused] : currentDeployment.mFleet.mEndpointZones) {
      rolling.mFaults.push_back({ at, kind::ReplaceEndpoint, endpoint });
      at += step;
    }
    scenarios.push_back(std::move(rolling));
  }
  return scenarios;
}

auto TopTierAlone(const scenario& aScenario) -> scenario
{
  auto alone = aScenario;
  alone.mName += ", top tier alone";
  std::erase_if(alone.mArrivals, [](const auto& aArrival) { return aArrival.mJob.mRank != 0; });
  return alone;
}

} // namespace bronzering::bench
