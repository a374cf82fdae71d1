#pragma once

#include <bronzering/base/ids.h>

#include <algorithm>
#include <cstdint>

namespace bronzering {

/// Generates the fencing tokens of one endpoint. Tokens start at the agent's start time in
/// milliseconds shifted left by 20 bits, increase with each command, and are always above the
/// highest token that the engine has reported. Owned by the agent's control thread.
class fencing_token_source
{
public:
  explicit fencing_token_source(incarnation aIncarnation)
    : mLast(aIncarnation.mValue & ~kCounterMask)
  {
  }

  /// Returns the token for the next command, higher than all previous ones.
  [[nodiscard]] auto Next() -> std::uint64_t { return ++mLast; }
  /// Makes later tokens higher than a token that the engine reported.
  auto Observe(std::uint64_t aReported) -> void { mLast = std::max(mLast, aReported); }
  /// The highest token generated or reported so far.
  [[nodiscard]] auto Last() const -> std::uint64_t { return mLast; }

private:
  static constexpr std::uint64_t kCounterMask = (1ULL << 20) - 1;
  std::uint64_t mLast;
};

} // namespace bronzering
