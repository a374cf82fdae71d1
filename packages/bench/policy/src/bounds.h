#pragma once

#include "run_result.h"

#include <string>
#include <vector>

namespace bronzering::bench {

/// Results of all policies in one scenario, and of bronzering with the top tier's requests alone.
struct comparison
{
  const scenario* mScenario = nullptr;
  run_result mBronzering;
  run_result mTopTierAlone;
  std::vector<run_result> mBaselines;
};

/// Returns one line for each bound on performance and fairness in docs/design.md ("Measures") that
/// is violated.
[[nodiscard]] auto BrokenBounds(const comparison& aComparison) -> std::vector<std::string>;

} // namespace bronzering::bench
