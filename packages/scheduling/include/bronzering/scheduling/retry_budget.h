#pragma once

#include <bronzering/base/random_source.h>
#include <bronzering/base/time.h>

#include <cstdint>

namespace bronzering {

/// Limits the retries of one entry to a ratio of its recent requests, so that retries cannot
/// amplify an overload. Each request adds the ratio to an allowance and each retry takes one from
/// it; the upper bound of the allowance limits the effect of older requests. Not thread-safe: owned
/// by the control thread.
class retry_budget
{
public:
  /// Initial value and upper bound of the allowance: covers the few refusals of a restarted agent
  /// at an entry without traffic.
  static constexpr double kMaxAllowance = 10;

  auto OnRequest(double aRetryRatio) -> void;
  /// Takes one retry from the allowance; false when there is none.
  [[nodiscard]] auto TryTake() -> bool;
  [[nodiscard]] auto Allowance() const -> double { return mAllowance; }

private:
  double mAllowance = kMaxAllowance;
};

/// Backoff before retry aAttempt, counted from 1: uniformly distributed below a bound that doubles
/// from 10 ms up to 1 s, so that requests declined by an agent at the same time are not retried at
/// the same time.
[[nodiscard]] auto JitteredBackoff(std::uint32_t aAttempt, random_source& aRandom) -> duration;

} // namespace bronzering
