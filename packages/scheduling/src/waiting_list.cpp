#include <bronzering/scheduling/waiting_list.h>

#include <cassert>

namespace bronzering {

waiting_list::waiting_list(std::size_t aMaxTotal, std::size_t aMaxPerOrganisation)
  : mMaxTotal(aMaxTotal)
  , mMaxPerOrganisation(aMaxPerOrganisation)
{
  assert(aMaxTotal > 0 && aMaxPerOrganisation > 0);
}

auto waiting_list::Offer(request_id aRequest, std::string_view aOrganisation, std::uint32_t aRank)
  -> offer_result
{
  assert(!mByRequest.contains(aRequest));

  // Find the bound that is reached, and evict from the requests that count towards it.
  auto result = offer_result{};
  const std::set<eviction_key>* evictable = nullptr;
  if (CountOf(aOrganisation) >= mMaxPerOrganisation) {
    evictable = &mByOrganisation.find(aOrganisation)->second;
  } else if (Count() >= mMaxTotal) {
    evictable = &mEvictionOrder;
  }
  if (evictable != nullptr) {
    const auto last = *evictable->rbegin();
    if (last.mRank <= aRank) {
      return result;
    }
    result.mEvicted = last.mRequest;
    Remove(last.mRequest);
  }

  const auto entry = eviction_key{ aRank, ++mArrivalCount, aRequest };
  mEvictionOrder.insert(entry);
  mByOrganisation[std::string(aOrganisation)].insert(entry);
  mByRequest.emplace(aRequest, waiting_request{ entry, std::string(aOrganisation) });
  result.mAccepted = true;
  return result;
}

auto waiting_list::Remove(request_id aRequest) -> void
{
  const auto found = mByRequest.find(aRequest);
  if (found == mByRequest.end()) {
    return;
  }
  const auto& [entry, organisation] = found->second;
  mEvictionOrder.erase(entry);
  const auto group = mByOrganisation.find(organisation);
  group->second.erase(entry);
  if (group->second.empty()) {
    mByOrganisation.erase(group);
  }
  mByRequest.erase(found);
}

auto waiting_list::CountOf(std::string_view aOrganisation) const -> std::size_t
{
  const auto found = mByOrganisation.find(aOrganisation);
  return found == mByOrganisation.end() ? 0 : found->second.size();
}

auto waiting_list::CountsByOrganisation() const -> std::map<std::string, std::size_t>
{
  auto counts = std::map<std::string, std::size_t>{};
  for (const auto& [organisation, group] : mByOrganisation) {
    counts.emplace(organisation, group.size());
  }
  return counts;
}

auto waiting_list::CountsByRank() const -> std::map<std::uint32_t, std::size_t>
{
  auto counts = std::map<std::uint32_t, std::size_t>{};
  for (const auto& entry : mEvictionOrder) {
    ++counts[entry.mRank];
  }
  return counts;
}

} // namespace bronzering
