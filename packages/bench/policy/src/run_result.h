#pragma once

#include "scenario.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bronzering::bench {

/// Outcomes of the requests of one tier, as seen by callers.
struct tier_result
{
  std::uint64_t mSent = 0;
  /// Requests answered completely within the caller's deadline.
  std::uint64_t mUseful = 0;
  std::uint64_t mRefused = 0;
  /// Requests that were neither refused nor answered completely in time.
  std::uint64_t mLost = 0;
  std::vector<double> mFirstTokenSeconds;
  std::vector<double> mTokenGapSeconds;

  [[nodiscard]] auto Goodput() const -> double;
};

/// Results of one policy in one scenario.
struct run_result
{
  std::string mScenario;
  std::string mDeployment;
  std::string mPolicy;
  std::map<std::uint32_t, tier_result> mTiers;
  /// Requests to plain services, which share the entries but not the engines.
  tier_result mPlain;
  std::uint64_t mPrefillTokens = 0;
  std::uint64_t mWastedPrefillTokens = 0;
  /// Tokens of useful answers.
  std::uint64_t mUsefulTokens = 0;
  /// Share of engine time idle while requests waited.
  double mIdleShare = 0;
  /// Largest relative difference of served cost between backlogged organisations of equal weight.
  double mUnfairness = 0;
  std::vector<testkit::violation> mViolations;
  std::uint64_t mHash = 0;

  [[nodiscard]] auto WastedShare() const -> double;
};

/// Returns the value below which the given share of the values lies; zero if there are none.
[[nodiscard]] auto Percentile(std::vector<double> aValues, double aShare) -> double;

/// Computes the results seen by callers from a history.
auto Summarise(const testkit::history& aHistory, run_result& aResult) -> void;

/// Returns the largest relative difference of served cost, over windows of 10 s, between
/// organisations of one tier that had requests waiting throughout the window.
[[nodiscard]] auto Unfairness(const testkit::history& aHistory, std::uint32_t aRank) -> double;

} // namespace bronzering::bench
