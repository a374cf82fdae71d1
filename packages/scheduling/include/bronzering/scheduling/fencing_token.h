#pragma once

#include <bronzering/base/ids.h>

#include <algorithm>
#include <cstdint>

namespace bronzering {

/// Source of the fencing tokens of one endpoint. Tokens start at the agent's start time in
/// milliseconds shifted left by 20 bits, grow with each command, and are never below what the
/// engine reports. Owned by the agent's control thread.
class fencing_token_source
{
public:
  explicit fencing_token_source(incarnation aIncarnation)
    : mLast(aIncarnation.mValue & ~kCounterMask)
  {
  }

  /// The token for the next command, higher than all before.
  [[nodiscard]] auto Next() -> std::uint64_t { return ++mLast; }
  /// Makes sure that later tokens are above one that the engine reported.
  auto Observe(std::uint64_t aReported) -> void { mLast = std::max(mLast, aReported); }
  /// The highest token known.
  [[nodiscard]] auto Last() const -> std::uint64_t { return mLast; }

private:
  static constexpr std::uint64_t kCounterMask = (1ULL << 20) - 1;
  std::uint64_t mLast;
};

} // namespace bronzering
