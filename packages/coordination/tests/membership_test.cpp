#include <bronzering/coordination.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace bronzering;

namespace {

auto Entry(const std::string& aVm, vm_state aState = vm_state::Live) -> vm_entry
{
  return { aVm, process_role::Entry, "zone-a", {}, aVm + ":1", aState };
}

auto Agent(const std::string& aName, vm_state aState = vm_state::Live) -> vm_entry
{
  return { "vm-" + aName, process_role::Agent, "zone-a", aName, aName + ":1", aState };
}

auto IdentityOf(const vm_entry& aEntry) -> process_identity
{
  return { aEntry.mRole, aEntry.mVm, aEntry.mAvailabilityZone, aEntry.mEndpoint, { 1 } };
}

auto Numbered(const std::string& aPrefix, int aCount) -> std::vector<std::string>
{
  auto names = std::vector<std::string>{};
  for (auto number = 0; number < aCount; ++number) {
    names.push_back(aPrefix + std::to_string(1000 + number));
  }
  return names;
}

} // namespace

// Guards against uneven load: independent random subsets would give some agents twice as many links
// as others.
TEST_CASE("subsets load agents evenly and move few links when an agent is removed", "[membership]")
{
  const auto entries = Numbered("entry-", 42);
  auto agents = Numbered("agent-", 120);
  auto counts = std::map<std::string, int>{};
  auto before = std::map<std::string, std::set<std::string>>{};
  for (const auto& entry : entries) {
    for (const auto& agent : ChooseSubset(entry, entries, agents, 32)) {
      ++counts[agent];
      before[entry].insert(agent);
    }
    CHECK(before[entry].size() == 32);
  }
  for (const auto& agent : agents) {
    CHECK(counts[agent] >= 9);
    CHECK(counts[agent] <= 13);
  }

  agents.pop_back();
  auto moved = 0;
  for (const auto& entry : entries) {
    for (const auto& agent : ChooseSubset(entry, entries, agents, 32)) {
      moved += before[entry].contains(agent) ? 0 : 1;
    }
  }
  WARN("links moved by the loss of one agent of 120: " << moved << " of " << 42 * 32);
  CHECK(moved <= 42 * 32 / 10);
}

// Guards against too many readers, which would exceed the call limit of the configuration service,
// and against none, which would stop configuration updates.
TEST_CASE("three live processes of a zone read the configuration", "[membership]")
{
  auto list = std::vector<vm_entry>{};
  for (auto number = 0; number < 8; ++number) {
    list.push_back(number % 2 == 0 ? Entry("entry-" + std::to_string(number))
                                   : Agent("agent-" + std::to_string(number)));
  }
  const auto readers = [&](const std::vector<vm_entry>& aList) {
    auto names = std::vector<vm_entry>{};
    for (const auto& process : aList) {
      auto members = membership(IdentityOf(process));
      members.OnVmList(aList);
      if (process.mState == vm_state::Live && members.IsConfigurationReader()) {
        names.push_back(process);
      }
    }
    return names;
  };
  const auto first = readers(list);
  REQUIRE(first.size() == 3);

  auto changed = list;
  std::find(changed.begin(), changed.end(), first[0])->mState = vm_state::Leaving;
  CHECK(readers(changed).size() == 3);
}

// Guards against relying on the stale VM list for failed processes, or on sessions for leaving
// ones.
TEST_CASE("reachable entries have a working session and are not listed as leaving", "[membership]")
{
  auto members = membership(IdentityOf(Entry("entry-1")));
  members.OnVmList({ Entry("entry-1"), Entry("entry-2"), Entry("entry-3") });
  CHECK(members.ReachableEntries() == std::vector<std::string>{ "entry-1" });
  CHECK(members.ListedEntryCount() == 3);

  members.OnPeerUp({ 1 }, IdentityOf(Entry("entry-2")), "entry-2:1");
  members.OnPeerUp({ 2 }, IdentityOf(Entry("entry-3")), "entry-3:1");
  CHECK(members.ReachableEntries().size() == 3);
  members.OnPeerSilent({ 1 }, true);
  CHECK(members.ReachableEntries().size() == 2);
  members.OnPeerSilent({ 1 }, false);
  members.OnVmList({ Entry("entry-1"), Entry("entry-2", vm_state::Leaving), Entry("entry-3") });
  CHECK(members.ReachableEntries() == std::vector<std::string>{ "entry-1", "entry-3" });
  CHECK(members.ListedEntryCount() == 2);
}

// Guards against truncating an answer by closing the link that transmits it.
TEST_CASE("links to unlisted processes are closed once they are not in use", "[membership]")
{
  const auto never = [](const std::string&) { return false; };
  const auto always = [](const std::string&) { return true; };
  auto members = membership(IdentityOf(Entry("entry-2")));
  members.OnVmList({ Entry("entry-1"), Entry("entry-2"), Entry("entry-3"), Agent("a") });
  CHECK(members.UpdateLinks(nullptr, {}, never).mOpen ==
        std::vector<std::string>{ "a:1", "entry-3:1" });
  members.OnVmList({ Entry("entry-2"), Entry("entry-3") });
  CHECK(members.UpdateLinks(nullptr, {}, always).mClose.empty());
  CHECK(members.UpdateLinks(nullptr, {}, never).mClose == std::vector<std::string>{ "a:1" });
}

// Guards against entries and agents that disagree on the owner or the creation time of a key.
TEST_CASE("idempotency keys have one owner and may carry their creation time", "[membership]")
{
  auto config = fleet_config{};
  config.mEndpoints["s1"].mServices = { "orders" };
  config.mEndpoints["s2"].mServices = { "orders" };
  config.mEndpoints["x"].mServices = { "stock" };
  auto owners = std::set<std::string>{};
  for (auto number = 0; number < 50; ++number) {
    owners.insert(KeyOwner(config, "orders", DigestKey("o", "orders", std::to_string(number))));
  }
  CHECK(owners == std::set<std::string>{ "s1", "s2" });
  CHECK(KeyOwner(config, "none", { 1 }).empty());
  CHECK(DigestKey("a", "bc", "d") != DigestKey("ab", "c", "d"));

  const auto created = CreationTimeOf("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  REQUIRE(created);
  CHECK(created->time_since_epoch() == std::chrono::milliseconds(1645557742000));
  CHECK_FALSE(CreationTimeOf("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
  CHECK_FALSE(CreationTimeOf("order-17"));
}
