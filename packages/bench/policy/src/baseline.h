#pragma once

#include "run_result.h"

#include <bronzering/base/name_table.h>

namespace bronzering::bench {

/// Reference policies without agents: an entry sends each request directly to an engine.
enum class baseline_policy
{
  Random,
  RoundRobin,
  LeastOutstanding,
  PowerOfTwoStale,
  FirstComeFirstServed,
  PrefixHash
};
inline constexpr auto kBaselinePolicyNames = name_table<baseline_policy, 6>{
  { { { baseline_policy::Random, "random" },
      { baseline_policy::RoundRobin, "round robin" },
      { baseline_policy::LeastOutstanding, "least outstanding" },
      { baseline_policy::PowerOfTwoStale, "power of two, stale load" },
      { baseline_policy::FirstComeFirstServed, "first come first served" },
      { baseline_policy::PrefixHash, "prefix hash" } } }
};

[[nodiscard]] auto RunBaseline(baseline_policy aPolicy, const scenario& aScenario) -> run_result;

/// Simulates the scenario with entry and agent nodes.
[[nodiscard]] auto RunBronzering(const scenario& aScenario) -> run_result;

} // namespace bronzering::bench
