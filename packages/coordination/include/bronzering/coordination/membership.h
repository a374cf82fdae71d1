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

/// The fleet's processes as known to one process: the platform's VM list, which lags behind,
/// combined with the state of the process's own sessions. Sessions take precedence for detecting
/// failed processes; the list takes precedence for processes that are leaving. Entry and agent
/// nodes each own one. Not thread-safe: owned by the control thread.
///
/// A session connects this process to one peer process and outlives the loss of a connection for a
/// limited time. It is silent while no connection has worked for some time, and working otherwise.
/// Opening a link to an address makes this process keep a session to it until the link is closed.
class membership
{
public:
  struct session
  {
    process_identity mIdentity;
    /// Address from the VM list, "address:port", that this process connected to; empty if the peer
    /// opened the session.
    std::string mListed;
    bool mSilent = false;
    /// Whether the VM list marks the process as leaving.
    bool mLeaving = false;
  };
  /// Addresses, "address:port", to which links are to be opened and closed.
  struct link_changes
  {
    std::vector<std::string> mOpen;
    std::vector<std::string> mClose;
  };

  explicit membership(process_identity aSelf);

  auto OnVmList(std::vector<vm_entry> aList) -> void;
  auto OnPeerUp(peer_id aPeer, process_identity aIdentity, std::string aListed) -> void;
  /// aSilent is false if the session is working again.
  auto OnPeerSilent(peer_id aPeer, bool aSilent) -> void;
  auto OnPeerDown(peer_id aPeer) -> void;

  /// Sorted VM names of all other entries that are not leaving and have a working session, and of
  /// this process if it is an entry. While this process is leaving, its own name is included only
  /// if there is no other.
  [[nodiscard]] auto ReachableEntries() const -> std::vector<std::string>;
  /// Number of entries, including this one, that are listed as live or have a working session.
  [[nodiscard]] auto ListedEntryCount() const -> std::size_t;
  /// A working session to the entry on the VM; empty if there is none.
  [[nodiscard]] auto SessionToEntry(std::string_view aVm) const -> std::optional<peer_id>;
  /// The working session to the endpoint's agent; if there are several, the one with the highest
  /// incarnation. Empty if there is none.
  [[nodiscard]] auto SessionToAgent(std::string_view aEndpoint) const -> std::optional<peer_id>;
  /// Null if the session is unknown.
  [[nodiscard]] auto Find(peer_id aPeer) const -> const session*;
  [[nodiscard]] auto Sessions() const -> const std::map<peer_id, session>& { return mSessions; }
  [[nodiscard]] auto List() const -> const std::vector<vm_entry>& { return mList; }
  [[nodiscard]] auto ListReceived() const -> bool { return mListReceived; }
  /// Whether the VM list contains any process other than this one.
  [[nodiscard]] auto ListsOtherProcesses() const -> bool;

  /// Whether this process should read the configuration service: it is one of the kReadersPerZone
  /// live processes in its availability zone that have the highest RendezvousWeight for the name of
  /// the zone. All processes with the same view of the zone thus choose the same readers.
  [[nodiscard]] auto IsConfigurationReader() const -> bool;

  /// For entries: returns the links to open and close. An entry opens links to entries whose VM
  /// name is higher than its own, and to its subset of each service's agents. aLinkFactors maps a
  /// service to the factor by which its subset is larger than configured; 1 if it is missing. Links
  /// for which aInUse returns true are not closed.
  [[nodiscard]] auto UpdateLinks(
    const fleet_config* aConfig,
    const std::map<std::string, std::uint32_t, std::less<>>& aLinkFactors,
    const std::function<bool(const std::string& aAddress)>& aInUse) -> link_changes;

private:
  auto IsLeaving(const process_identity& aIdentity) const -> bool;
  auto IsSelf(const vm_entry& aEntry) const -> bool;
  auto WantedAgents(const fleet_config* aConfig,
                    const std::map<std::string, std::uint32_t, std::less<>>& aLinkFactors) const
    -> std::set<std::string>;

  process_identity mSelf;
  std::vector<vm_entry> mList;
  bool mListReceived = false;
  std::map<peer_id, session> mSessions;
  std::map<std::string, std::vector<peer_id>, std::less<>> mAgentSessions;
  /// Addresses of the links that UpdateLinks has returned for opening and not for closing since.
  std::set<std::string> mOpened;
  /// Names, "role/VM/endpoint", of the processes whose last session was lost; removed when a
  /// session is re-established or the VM list no longer contains the process.
  std::set<std::string> mLostProcesses;
};

} // namespace bronzering
