#include "bounds.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace bronzering::bench {

namespace {

constexpr auto kTopTierGoodput = 0.99;
constexpr auto kFirstTokenSeconds = 0.36;
constexpr auto kTokenGapSeconds = 0.036;
constexpr auto kPercentile = 0.95;
constexpr auto kUnfairness = 0.10;
constexpr auto kWastedShare = 0.02;
constexpr auto kIdleShare = 0.05;
/// Goodput differences below one request in a thousand are noise from individual arrivals.
constexpr auto kGoodputResolution = 0.001;

class bound_list
{
public:
  explicit bound_list(std::string aContext)
    : mContext(std::move(aContext))
  {
  }

  auto AtMost(const std::string& aWhat, double aValue, double aBound) -> void
  {
    Check(aValue <= aBound, aWhat, aValue, "at most", aBound);
  }
  auto AtLeast(const std::string& aWhat, double aValue, double aBound) -> void
  {
    Check(aValue >= aBound, aWhat, aValue, "at least", aBound);
  }
  [[nodiscard]] auto Take() -> std::vector<std::string> { return std::move(mBroken); }

private:
  auto Check(bool aHolds,
             const std::string& aWhat,
             double aValue,
             const char* aRelation,
             double aBound) -> void
  {
    if (!aHolds) {
      char text[160];
      std::snprintf(text, sizeof text, ": %.4f, %s %.4f", aValue, aRelation, aBound);
      mBroken.push_back(mContext + ": " + aWhat + text);
    }
  }

  std::string mContext;
  std::vector<std::string> mBroken;
};

} // namespace

auto BrokenBounds(const comparison& aComparison) -> std::vector<std::string>
{
  const auto& run = aComparison.mBronzering;
  const auto& scenario = *aComparison.mScenario;
  auto bounds = bound_list(run.mDeployment + ", " + run.mScenario);
  if (scenario.mMeasuresFairness) {
    bounds.AtMost("broken promises", static_cast<double>(run.mViolations.size()), 0);
    bounds.AtMost("unfairness", run.mUnfairness, kUnfairness);
    bounds.AtMost("idle capacity", run.mIdleShare, kIdleShare);
    return bounds.Take();
  }
  const auto& top = run.mTiers.at(0);

  // Violations of guarantees are never tolerated.
  bounds.AtMost("broken promises", static_cast<double>(run.mViolations.size()), 0);

  // Load from lower tiers must have almost no effect on the top tier.
  if (scenario.mLoad >= 2) {
    bounds.AtLeast("top tier goodput against alone",
                   top.Goodput(),
                   kTopTierGoodput * aComparison.mTopTierAlone.mTiers.at(0).Goodput());
    bounds.AtMost("wasted prefill", run.WastedShare(), kWastedShare);
  }
  bounds.AtMost("idle capacity", run.mIdleShare, kIdleShare);
  if (scenario.mTopTierFits) {
    bounds.AtMost("top tier first token p95",
                  Percentile(top.mFirstTokenSeconds, kPercentile),
                  kFirstTokenSeconds);
    bounds.AtMost(
      "top tier token gap p95", Percentile(top.mTokenGapSeconds, kPercentile), kTokenGapSeconds);
  }

  // Compares goodput with each baseline, tier by tier from the top. Under overload, wasted prefill
  // must also be at most a third of the best baseline's.
  auto leastWaste = 1.0;
  for (const auto& baseline : aComparison.mBaselines) {
    leastWaste = std::min(leastWaste, baseline.WastedShare());
  }
  if (scenario.mLoad >= 2) {
    bounds.AtMost("wasted prefill against the best baseline", run.WastedShare(), leastWaste / 3);
  }
  for (const auto& baseline : aComparison.mBaselines) {
    for (const auto& [rank, tier] : run.mTiers) {
      const auto baselineGoodput = baseline.mTiers.at(rank).Goodput();
      bounds.AtLeast("goodput of tier " + std::to_string(rank) + " against " + baseline.mPolicy,
                     tier.Goodput(),
                     baselineGoodput - kGoodputResolution);
      // Lower tiers are only comparable while the higher ones are served equally well: a baseline
      // may shed a higher tier to serve a lower one.
      if (std::abs(tier.Goodput() - baselineGoodput) > kGoodputResolution) {
        break;
      }
    }
  }
  return bounds.Take();
}

} // namespace bronzering::bench
