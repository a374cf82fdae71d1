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
class membership
{
public:
  struct session
  {
    process_identity mIdentity;
    /// Address that this process connected to; empty if the peer opened the session.
    std::string mListed;
    bool mSilent = false;
    /// Whether the VM list marks the process as leaving.
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

  /// Sorted VM names of all entries that are not leaving and have a working session, including this
  /// process if it is an entry. A leaving entry includes itself only if there is no other entry.
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

  /// Whether this process should read the configuration service: it is one of the 3 live processes
  /// in its availability zone with the highest rendezvous hashes.
  [[nodiscard]] auto IsConfigurationReader() const -> bool;

  /// For entries: returns the links to open and close. An entry opens links to entries whose VM
  /// name is higher than its own, and to its subset of each service's agents; aLinkFactors
  /// multiplies the subset's size by service. Links for which aInUse returns true are not closed.
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
  std::set<std::string> mOpened;
  /// ProcessNames of the processes whose last session was lost; removed when a session is
  /// re-established.
  std::set<std::string> mLostProcesses;
};

} // namespace bronzering
