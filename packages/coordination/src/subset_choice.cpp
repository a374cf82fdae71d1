#include <bronzering/coordination/subset_choice.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <utility>

namespace bronzering {

namespace {

/// Agent indices, ordered from the highest to the lowest rendezvous hash.
auto RankAgents(std::string_view aEntry, const std::vector<std::string>& aAgents)
  -> std::vector<std::size_t>
{
  const auto key = HashText(aEntry);
  auto weights = std::vector<std::pair<std::uint64_t, std::size_t>>{};
  weights.reserve(aAgents.size());
  for (auto index = std::size_t{ 0 }; index < aAgents.size(); ++index) {
    weights.emplace_back(RendezvousWeight(key, aAgents[index]), index);
  }
  std::sort(weights.rbegin(), weights.rend());
  auto order = std::vector<std::size_t>{};
  order.reserve(weights.size());
  for (const auto& [weight, index] : weights) {
    order.push_back(index);
  }
  return order;
}

} // namespace

auto ChooseSubset(std::string_view aSelf,
                  const std::vector<std::string>& aEntries,
                  const std::vector<std::string>& aAgents,
                  std::size_t aCount) -> std::vector<std::string>
{
  if (aCount >= aAgents.size()) {
    return aAgents;
  }
  assert(std::is_sorted(aEntries.begin(), aEntries.end()));
  // Every agent is chosen by evenShare entries; the remainder is distributed as one extra entry
  // each.
  const auto links = aEntries.size() * aCount;
  const auto evenShare = links / aAgents.size();
  auto extras = links % aAgents.size();
  auto remaining = aEntries.size();
  auto taken = std::vector<std::size_t>(aAgents.size(), 0);
  for (const auto& entry : aEntries) {
    // First choose the agents that reach their share only if all remaining entries choose them,
    // then preferred agents below their share, then any.
    const auto order = RankAgents(entry, aAgents);
    auto chosen = std::vector<std::size_t>{};
    auto isChosen = std::vector<bool>(aAgents.size(), false);
    const auto choose = [&](const auto& aCondition) {
      for (const auto agent : order) {
        if (chosen.size() < aCount && !isChosen[agent] && aCondition(agent)) {
          chosen.push_back(agent);
          isChosen[agent] = true;
          extras -= taken[agent] == evenShare && extras > 0 ? 1 : 0;
        }
      }
    };
    choose([&](std::size_t aAgent) { return taken[aAgent] + remaining <= evenShare; });
    choose([&](std::size_t aAgent) {
      return taken[aAgent] < evenShare || (taken[aAgent] == evenShare && extras > 0);
    });
    choose([](std::size_t) { return true; });
    --remaining;
    for (const auto agent : chosen) {
      ++taken[agent];
    }
    if (entry == aSelf) {
      auto names = std::vector<std::string>{};
      for (const auto agent : chosen) {
        names.push_back(aAgents[agent]);
      }
      return names;
    }
  }
  return {};
}

auto RendezvousOwner(std::string_view aKey, const std::vector<std::string>& aNodes) -> std::string
{
  const auto key = HashText(aKey);
  auto owner = std::string{};
  auto highest = std::uint64_t{ 0 };
  for (const auto& node : aNodes) {
    const auto weight = RendezvousWeight(key, node);
    // Break ties by name, so that the result does not depend on the order of the list.
    if (owner.empty() || weight > highest || (weight == highest && node > owner)) {
      owner = node;
      highest = weight;
    }
  }
  return owner;
}

} // namespace bronzering
