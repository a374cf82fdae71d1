#include <bronzering/coordination/membership.h>

#include <bronzering/base/hash.h>
#include <bronzering/coordination/subset_choice.h>

#include <algorithm>

namespace bronzering {

namespace {

constexpr auto kReadersPerZone = std::size_t{ 3 };
/// Without a configuration the services of agents are unknown; a few links suffice to receive one.
constexpr auto kAgentsWithoutConfiguration = std::size_t{ 8 };

auto ProcessName(process_role aRole, std::string_view aVm, std::string_view aEndpoint)
  -> std::string
{
  auto name = std::string(kProcessRoleNames.NameOf(aRole));
  name.append("/").append(aVm).append("/").append(aEndpoint);
  return name;
}

auto NameOf(const process_identity& aIdentity) -> std::string
{
  return ProcessName(aIdentity.mRole, aIdentity.mVm, aIdentity.mEndpoint);
}

auto NameOf(const vm_entry& aEntry) -> std::string
{
  return ProcessName(aEntry.mRole, aEntry.mVm, aEntry.mEndpoint);
}

} // namespace

membership::membership(process_identity aSelf)
  : mSelf(std::move(aSelf))
{
}

auto membership::OnVmList(std::vector<vm_entry> aList) -> void
{
  mList = std::move(aList);
  mListReceived = true;

  for (auto& [peer, link] : mSessions) {
    link.mLeaving = IsLeaving(link.mIdentity);
  }

  // A process that is no longer listed needs no memory of its lost session.
  auto names = std::set<std::string>{};
  for (const auto& entry : mList) {
    names.insert(NameOf(entry));
  }
  std::erase_if(mLost, [&](const std::string& aName) { return !names.contains(aName); });
}

auto membership::OnPeerUp(peer_id aPeer, process_identity aIdentity, std::string aListed) -> void
{
  mLost.erase(NameOf(aIdentity));
  if (aIdentity.mRole == process_role::Agent) {
    mAgentSessions[aIdentity.mEndpoint].push_back(aPeer);
  }
  const auto isLeaving = IsLeaving(aIdentity);
  mSessions[aPeer] = { std::move(aIdentity), std::move(aListed), false, isLeaving };
}

auto membership::OnPeerSilent(peer_id aPeer, bool aSilent) -> void
{
  if (const auto found = mSessions.find(aPeer); found != mSessions.end()) {
    found->second.mSilent = aSilent;
  }
}

auto membership::OnPeerDown(peer_id aPeer) -> void
{
  const auto found = mSessions.find(aPeer);
  if (found == mSessions.end()) {
    return;
  }
  const auto name = NameOf(found->second.mIdentity);
  const auto agents = mAgentSessions.find(found->second.mIdentity.mEndpoint);
  if (agents != mAgentSessions.end()) {
    std::erase(agents->second, aPeer);
    if (agents->second.empty()) {
      mAgentSessions.erase(agents);
    }
  }
  mSessions.erase(found);
  const auto hasOther = std::any_of(mSessions.begin(), mSessions.end(), [&](const auto& aOther) {
    return NameOf(aOther.second.mIdentity) == name;
  });
  if (!hasOther) {
    mLost.insert(name);
  }
}

auto membership::Find(peer_id aPeer) const -> const session*
{
  const auto found = mSessions.find(aPeer);
  return found == mSessions.end() ? nullptr : &found->second;
}

auto membership::IsLeaving(const process_identity& aIdentity) const -> bool
{
  return std::any_of(mList.begin(), mList.end(), [&](const vm_entry& aEntry) {
    return aEntry.mState == vm_state::Leaving && aEntry.mVm == aIdentity.mVm &&
           aEntry.mRole == aIdentity.mRole && aEntry.mEndpoint == aIdentity.mEndpoint;
  });
}

auto membership::IsSelf(const vm_entry& aEntry) const -> bool
{
  return NameOf(aEntry) == NameOf(mSelf);
}

auto membership::ListsOtherProcesses() const -> bool
{
  return std::any_of(
    mList.begin(), mList.end(), [this](const vm_entry& aEntry) { return !IsSelf(aEntry); });
}

auto membership::ReachableEntries() const -> std::vector<std::string>
{
  auto names = std::set<std::string>{};
  for (const auto& [peer, link] : mSessions) {
    if (link.mIdentity.mRole == process_role::Entry && !link.mSilent && !link.mLeaving) {
      names.insert(link.mIdentity.mVm);
    }
  }
  if (mSelf.mRole == process_role::Entry && (names.empty() || !IsLeaving(mSelf))) {
    names.insert(mSelf.mVm);
  }
  return { names.begin(), names.end() };
}

auto membership::ListedEntryCount() const -> std::size_t
{
  auto names = std::set<std::string>{};
  for (const auto& name : ReachableEntries()) {
    names.insert(name);
  }
  for (const auto& entry : mList) {
    if (entry.mRole == process_role::Entry && entry.mState == vm_state::Live) {
      names.insert(entry.mVm);
    }
  }
  return names.size();
}

auto membership::SessionToEntry(std::string_view aVm) const -> std::optional<peer_id>
{
  for (const auto& [peer, link] : mSessions) {
    if (link.mIdentity.mRole == process_role::Entry && link.mIdentity.mVm == aVm && !link.mSilent) {
      return peer;
    }
  }
  return std::nullopt;
}

auto membership::SessionToAgent(std::string_view aEndpoint) const -> std::optional<peer_id>
{
  const auto found = mAgentSessions.find(aEndpoint);
  if (found == mAgentSessions.end()) {
    return std::nullopt;
  }
  auto best = std::optional<peer_id>{};
  auto newest = incarnation{};
  for (const auto peer : found->second) {
    const auto& link = mSessions.find(peer)->second;
    if (!link.mSilent && (!best || link.mIdentity.mIncarnation >= newest)) {
      best = peer;
      newest = link.mIdentity.mIncarnation;
    }
  }
  return best;
}

auto membership::IsConfigurationReader() const -> bool
{
  // Live: listed and not leaving, or seen in a session; not lost and not silent.
  auto live = std::set<std::string>{};
  for (const auto& entry : mList) {
    if (entry.mAvailabilityZone == mSelf.mAvailabilityZone && entry.mState == vm_state::Live) {
      live.insert(NameOf(entry));
    }
  }
  for (const auto& name : mLost) {
    live.erase(name);
  }
  for (const auto& [peer, link] : mSessions) {
    if (link.mIdentity.mAvailabilityZone != mSelf.mAvailabilityZone) {
      continue;
    }
    if (link.mSilent || link.mLeaving) {
      live.erase(NameOf(link.mIdentity));
    } else {
      live.insert(NameOf(link.mIdentity));
    }
  }
  live.erase(NameOf(mSelf));

  const auto key = HashText(mSelf.mAvailabilityZone);
  const auto own = RendezvousWeight(key, NameOf(mSelf));
  const auto higher = std::count_if(live.begin(), live.end(), [&](const std::string& aName) {
    return RendezvousWeight(key, aName) > own;
  });
  return static_cast<std::size_t>(higher) < kReadersPerZone;
}

auto membership::WantedAgents(const fleet_config* aConfig,
                              const std::map<std::string, std::uint32_t, std::less<>>& aReach) const
  -> std::set<std::string>
{
  // Endpoints that can be connected to.
  auto listed = std::vector<std::string>{};
  auto entries = std::set<std::string>{ mSelf.mVm };
  for (const auto& entry : mList) {
    if (entry.mState != vm_state::Live) {
      continue;
    }
    if (entry.mRole == process_role::Agent) {
      listed.push_back(entry.mEndpoint);
    } else {
      entries.insert(entry.mVm);
    }
  }
  std::sort(listed.begin(), listed.end());
  const auto sortedEntries = std::vector<std::string>(entries.begin(), entries.end());
  if (aConfig == nullptr) {
    const auto some = ChooseSubset(mSelf.mVm, sortedEntries, listed, kAgentsWithoutConfiguration);
    return { some.begin(), some.end() };
  }

  // Group them by service and choose this entry's share of each.
  auto byService = std::map<std::string, std::vector<std::string>, std::less<>>{};
  for (const auto& name : listed) {
    const auto endpoint = aConfig->mEndpoints.find(name);
    if (endpoint == aConfig->mEndpoints.end()) {
      continue;
    }
    for (const auto& service : endpoint->second.mServices) {
      byService[service].push_back(name);
    }
  }
  auto wanted = std::set<std::string>{};
  for (const auto& [service, agents] : byService) {
    const auto reach = aReach.find(service);
    const auto factor = reach == aReach.end() ? 1U : reach->second;
    const auto count = std::size_t{ aConfig->mRouting.mAgentsPerService } * factor;
    for (const auto& agent : ChooseSubset(mSelf.mVm, sortedEntries, agents, count)) {
      wanted.insert(agent);
    }
  }
  return wanted;
}

auto membership::UpdateLinks(const fleet_config* aConfig,
                             const std::map<std::string, std::uint32_t, std::less<>>& aReach,
                             const std::function<bool(const std::string& aAddress)>& aInUse)
  -> link_changes
{
  const auto agents = WantedAgents(aConfig, aReach);
  auto wanted = std::set<std::string>{};
  for (const auto& entry : mList) {
    const auto isWanted =
      entry.mRole == process_role::Entry ? entry.mVm > mSelf.mVm : agents.contains(entry.mEndpoint);
    if (entry.mState == vm_state::Live && isWanted && !IsSelf(entry)) {
      wanted.insert(entry.mAddress);
    }
  }

  auto changes = link_changes{};
  for (const auto& address : wanted) {
    if (mOpened.insert(address).second) {
      changes.mOpen.push_back(address);
    }
  }
  for (auto address = mOpened.begin(); address != mOpened.end();) {
    if (wanted.contains(*address) || aInUse(*address)) {
      ++address;
    } else {
      changes.mClose.push_back(*address);
      address = mOpened.erase(address);
    }
  }
  return changes;
}

} // namespace bronzering
