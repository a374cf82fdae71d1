#pragma once

#include <bronzering/base/ids.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bronzering {

/// The requests of one entry that wait for dispatch, bounded in total and per organisation. When a
/// bound is reached, the newest request of the lowest tier among those that count towards the bound
/// is evicted; a new request is refused only if none of them is of a lower tier. Every operation is
/// O(log n) in the number of waiting requests. Not thread-safe: owned by the control thread.
class waiting_list
{
public:
  struct offer_result
  {
    bool mAccepted = false;
    /// Request that was evicted; the caller of Offer must refuse it.
    std::optional<request_id> mEvicted;
  };

  /// Precondition: both bounds are above zero.
  waiting_list(std::size_t aMaxTotal, std::size_t aMaxPerOrganisation);

  /// Rank 0 is the highest tier. Precondition: the request is not in the list.
  auto Offer(request_id aRequest, std::string_view aOrganisation, std::uint32_t aRank)
    -> offer_result;
  /// Ignores requests that are not in the list.
  auto Remove(request_id aRequest) -> void;

  [[nodiscard]] auto Count() const -> std::size_t { return mByRequest.size(); }
  [[nodiscard]] auto CountOf(std::string_view aOrganisation) const -> std::size_t;
  /// Whether a bound is used to three quarters or more. The entry then sends tickets to all
  /// candidate agents, before requests have to be shed.
  [[nodiscard]] auto IsNearlyFull(std::string_view aOrganisation) const -> bool
  {
    return Count() * 4 >= mMaxTotal * 3 || CountOf(aOrganisation) * 4 >= mMaxPerOrganisation * 3;
  }
  [[nodiscard]] auto CountsByOrganisation() const -> std::map<std::string, std::size_t>;
  [[nodiscard]] auto CountsByRank() const -> std::map<std::uint32_t, std::size_t>;

private:
  /// Position in the eviction order: by tier, the highest first, then by arrival, the oldest first.
  struct eviction_key
  {
    std::uint32_t mRank = 0;
    std::uint64_t mArrival = 0;
    request_id mRequest;
    // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const eviction_key&) const = default;
  };
  struct waiting_request
  {
    eviction_key mKey;
    std::string mOrganisation;
  };

  std::size_t mMaxTotal;
  std::size_t mMaxPerOrganisation;
  std::uint64_t mArrivalCount = 0;
  std::set<eviction_key> mEvictionOrder;
  std::map<std::string, std::set<eviction_key>, std::less<>> mByOrganisation;
  std::unordered_map<request_id, waiting_request> mByRequest;
};

} // namespace bronzering
