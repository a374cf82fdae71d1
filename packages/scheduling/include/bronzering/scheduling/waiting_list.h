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

/// The requests of one entry that wait for dispatch, bounded in all and per organisation. When a
/// bound is reached, the newest request of the lowest tier under that bound makes room; a new
/// request is refused only if none is of a lower tier. Every operation is O(log n) in the number of
/// waiting requests. Not thread-safe: owned by the control thread.
class waiting_list
{
public:
  struct offer_result
  {
    bool mAccepted = false;
    /// Request that made room and must be refused by the caller of Offer.
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
  /// Whether so much is waiting that requests should be announced everywhere before some are shed.
  [[nodiscard]] auto IsNearlyFull(std::string_view aOrganisation) const -> bool
  {
    return Count() * 4 >= mMaxTotal * 3 || CountOf(aOrganisation) * 4 >= mMaxPerOrganisation * 3;
  }
  [[nodiscard]] auto CountsByOrganisation() const -> std::map<std::string, std::size_t>;
  [[nodiscard]] auto CountsByRank() const -> std::map<std::uint32_t, std::size_t>;

private:
  /// Ordered from the highest tier and oldest request to the lowest tier and newest request.
  struct place
  {
    std::uint32_t mRank = 0;
    std::uint64_t mArrival = 0;
    request_id mRequest;
    // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const place&) const = default;
  };
  struct position
  {
    place mPlace;
    std::string mOrganisation;
  };

  std::size_t mMaxTotal;
  std::size_t mMaxPerOrganisation;
  std::uint64_t mArrivals = 0;
  std::set<place> mAll;
  std::map<std::string, std::set<place>, std::less<>> mByOrganisation;
  std::unordered_map<request_id, position> mByRequest;
};

} // namespace bronzering
