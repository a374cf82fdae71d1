#pragma once

#include <bronzering/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace bronzering {

/// Idempotency keys with a dispatched request that may have run. While a key is stored, the refusal
/// of a later attempt must not state that the request did not run. The capacity is limited: after
/// the first eviction, every key is treated as attempted. Not thread-safe: owned by the
/// control thread.
class attempted_keys
{
public:
  static constexpr std::size_t kMaxKeys = 100'000;

  /// Counts a dispatched request with this key.
  auto Add(key_digest aKey) -> void
  {
    auto& attempts = mKeys[aKey];
    if (attempts.mCount++ > 0) {
      return;
    }
    attempts.mPosition = mOrder.insert(mOrder.end(), aKey);
    if (mOrder.size() > kMaxKeys) {
      mKeys.erase(mOrder.front());
      mOrder.pop_front();
      mEvictedAny = true;
    }
  }
  /// Removes one dispatched request with this key, which the agent has reported as not run.
  auto Remove(key_digest aKey) -> void
  {
    const auto found = mKeys.find(aKey);
    if (found != mKeys.end() && --found->second.mCount == 0) {
      mOrder.erase(found->second.mPosition);
      mKeys.erase(found);
    }
  }
  [[nodiscard]] auto MayHaveRun(key_digest aKey) const -> bool
  {
    return mEvictedAny || mKeys.contains(aKey);
  }

private:
  struct attempt_count
  {
    std::uint32_t mCount = 0;
    std::list<key_digest>::iterator mPosition;
  };

  std::unordered_map<key_digest, attempt_count> mKeys;
  std::list<key_digest> mOrder;
  bool mEvictedAny = false;
};

} // namespace bronzering
