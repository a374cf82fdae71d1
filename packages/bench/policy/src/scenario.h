#pragma once

#include <bronzering/testkit.h>

#include <functional>
#include <string>
#include <vector>

namespace bronzering::bench {

/// A workload with injected faults that every policy is run against.
struct scenario
{
  std::string mName;
  testkit::deployment mDeployment;
  std::vector<testkit::arrival> mArrivals;
  /// Duration of the arrivals; the run continues until the last answer is due.
  duration mLength{};
  /// Model demand as a multiple of the capacity.
  double mLoad = 1;
  /// Whether the top tier's own demand is below capacity throughout.
  bool mTopTierFits = true;
  /// Whether every organisation has a backlog in tier 1, so that their shares can be compared.
  bool mMeasuresFairness = false;

  /// A fault injected at an offset from the start. Baselines have no agent processes, so faults of
  /// endpoints only affect their engines.
  struct fault
  {
    enum class kind
    {
      SlowEndpoint,
      LoseEndpoint,
      ReplaceEndpoint,
      LoseZone,
      Partition,
      Heal
    };
    duration mAt{};
    kind mKind = kind::SlowEndpoint;
    /// Endpoint or availability zone.
    std::string mTarget;
    double mFactor = 1;
  };
  std::vector<fault> mFaults;
};

/// Returns all scenarios for both deployments; the seed determines them completely.
[[nodiscard]] auto MakeScenarios(std::uint64_t aSeed, duration aLength) -> std::vector<scenario>;

/// Returns the scenario restricted to the top tier's requests, for comparison.
[[nodiscard]] auto TopTierAlone(const scenario& aScenario) -> scenario;

} // namespace bronzering::bench
