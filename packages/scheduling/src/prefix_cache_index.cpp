#include <bronzering/scheduling/prefix_cache_index.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

prefix_cache_index::prefix_cache_index(std::size_t aMaxBlocks)
  : mMaxBlocks(aMaxBlocks)
{
  assert(aMaxBlocks > 0);
}

auto prefix_cache_index::NumberOf(std::string_view aEndpoint) const -> endpoint_number
{
  const auto found = mNumbers.find(std::string(aEndpoint));
  return found == mNumbers.end() ? 0 : found->second;
}

auto prefix_cache_index::Record(std::span<const prefix_hash> aPrefix,
                                std::string_view aEndpoint,
                                std::size_t aCachedBlocks) -> void
{
  auto number = NumberOf(aEndpoint);
  if (number == 0) {
    number = ++mLastNumber;
    mNumbers.emplace(aEndpoint, number);
    mNames.emplace(number, aEndpoint);
  }

  // Touch the blocks from the last to the first, so that a prefix is forgotten from its end.
  const auto cached = std::min({ aCachedBlocks, aPrefix.size(), mMaxBlocks });
  for (auto index = cached; index > 0; --index) {
    AddHolder(aPrefix[index - 1], number);
  }
  for (auto index = cached; index < aPrefix.size(); ++index) {
    RemoveHolder(aPrefix[index], number);
  }
}

auto prefix_cache_index::AddHolder(prefix_hash aHash, endpoint_number aEndpoint) -> void
{
  auto found = mBlocks.find(aHash);
  if (found != mBlocks.end()) {
    mOrder.splice(mOrder.begin(), mOrder, found->second);
  } else {
    mOrder.push_front({ aHash, {} });
    mBlocks.emplace(aHash, mOrder.begin());
    if (mBlocks.size() > mMaxBlocks) {
      mBlocks.erase(mOrder.back().mHash);
      mOrder.pop_back();
    }
  }

  // Move the endpoint to the front; the oldest holder drops out.
  auto& holders = mOrder.front().mHolders;
  auto place = std::find(holders.begin(), holders.end(), aEndpoint);
  if (place == holders.end()) {
    place = holders.end() - 1;
  }
  std::move_backward(holders.begin(), place, place + 1);
  holders.front() = aEndpoint;
}

auto prefix_cache_index::RemoveHolder(prefix_hash aHash, endpoint_number aEndpoint) -> void
{
  const auto found = mBlocks.find(aHash);
  if (found == mBlocks.end()) {
    return;
  }
  auto& holders = found->second->mHolders;
  const auto rest = std::remove(holders.begin(), holders.end(), aEndpoint);
  std::fill(rest, holders.end(), endpoint_number{ 0 });
}

auto prefix_cache_index::CachedBlocks(std::span<const prefix_hash> aPrefix,
                                      std::string_view aEndpoint) const -> std::size_t
{
  const auto number = NumberOf(aEndpoint);
  if (number == 0) {
    return 0;
  }
  auto count = std::size_t{ 0 };
  while (count < aPrefix.size()) {
    const auto found = mBlocks.find(aPrefix[count]);
    if (found == mBlocks.end()) {
      break;
    }
    const auto& holders = found->second->mHolders;
    if (std::find(holders.begin(), holders.end(), number) == holders.end()) {
      break;
    }
    ++count;
  }
  return count;
}

auto prefix_cache_index::HoldersOf(prefix_hash aBlock) const -> std::vector<std::string>
{
  auto names = std::vector<std::string>{};
  if (const auto found = mBlocks.find(aBlock); found != mBlocks.end()) {
    for (const auto holder : found->second->mHolders) {
      if (const auto name = mNames.find(holder); name != mNames.end()) {
        names.push_back(name->second);
      }
    }
  }
  return names;
}

auto prefix_cache_index::Forget(std::string_view aEndpoint) -> void
{
  if (const auto number = NumberOf(aEndpoint); number != 0) {
    mNames.erase(number);
    mNumbers.erase(std::string(aEndpoint));
  }
}

} // namespace bronzering
