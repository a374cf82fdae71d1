#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/messages.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// The processes of the fleet as one process sees them: the platform's lagging VM list joined with
/// what its own sessions show. Sessions override the list for death, the list overrides sessions
/// for leaving. Both nodes own one. Not thread-safe: owned by the control thread.
class membership
{
public:
  struct session
  {
    process_identity mIdentity;
    /// Address the session was opened to; empty when the peer opened it.
    std::string mListed;
    bool mSilent = false;
    /// Whether the VM list names the process as leaving.
    bool mLeaving = false;
  };
  struct link_changes
  {
    std::vector<std::string> mOpen;
    std::vector<std::string> mClose;
  };

  explicit membership(process_identity aSelf);

  auto OnVmList(std::vector<vm_entry> aList) -> void;
  auto OnPeerUp(peer_id aPeer, process_identity aIdentity, std::string aListed) -> void;
  auto OnPeerSilent(peer_id aPeer, bool aSilent) -> void;
  auto OnPeerDown(peer_id aPeer) -> void;

  /// Names of the VMs of this entry and of all entries with a working session that are not
  /// leaving, sorted. A leaving entry names itself only if there is no other. An agent's list does
  /// not contain the agent.
  [[nodiscard]] auto ReachableEntries() const -> std::vector<std::string>;
  /// Number of entries that are listed as live or have a working session, this one included.
  [[nodiscard]] auto ListedEntryCount() const -> std::size_t;
  /// The working session to an entry; empty when there is none.
  [[nodiscard]] auto SessionToEntry(std::string_view aVm) const -> std::optional<peer_id>;
  /// The working session to an endpoint's agent with the highest incarnation; empty when there is
  /// none.
  [[nodiscard]] auto SessionToAgent(std::string_view aEndpoint) const -> std::optional<peer_id>;
  /// Null when the session is not known.
  [[nodiscard]] auto Find(peer_id aPeer) const -> const session*;
  [[nodiscard]] auto Sessions() const -> const std::map<peer_id, session>& { return mSessions; }
  [[nodiscard]] auto List() const -> const std::vector<vm_entry>& { return mList; }
  /// Whether the list was received at all, and names any other process.
  [[nodiscard]] auto ListReceived() const -> bool { return mListReceived; }
  [[nodiscard]] auto ListsOtherProcesses() const -> bool;

  /// Whether this process is one of the 3 of its availability zone with the highest rendezvous hash
  /// among the live ones.
  [[nodiscard]] auto IsConfigurationReader() const -> bool;

  /// For entries: which links to open and close. An entry opens links to entries whose VM name is
  /// higher than its own, and to its subset of each service's agents; aReach multiplies the
  /// subset's size by service. A link for which aInUse returns true is not closed.
  [[nodiscard]] auto UpdateLinks(const fleet_config* aConfig,
                                 const std::map<std::string, std::uint32_t, std::less<>>& aReach,
                                 const std::function<bool(const std::string& aAddress)>& aInUse)
    -> link_changes;

private:
  auto IsLeaving(const process_identity& aIdentity) const -> bool;
  auto IsSelf(const vm_entry& aEntry) const -> bool;
  auto WantedAgents(const fleet_config* aConfig,
                    const std::map<std::string, std::uint32_t, std::less<>>& aReach) const
    -> std::set<std::string>;

  process_identity mSelf;
  std::vector<vm_entry> mList;
  bool mListReceived = false;
  std::map<peer_id, session> mSessions;
  std::map<std::string, std::vector<peer_id>, std::less<>> mAgentSessions;
  std::set<std::string> mOpened;
  /// Processes whose last session was lost, by ProcessName; cleared when one is established.
  std::set<std::string> mLost;
};

} // namespace bronzering
