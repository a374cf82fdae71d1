#pragma once

#include <bronzering/base/metrics.h>
#include <bronzering/base/random_source.h>
#include <bronzering/config/config_store.h>
#include <bronzering/coordination/agent_node.h>
#include <bronzering/coordination/entry_node.h>
#include <bronzering/testkit/event_loop.h>
#include <bronzering/testkit/fake_engine.h>
#include <bronzering/testkit/history.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bronzering::testkit {

/// Bugs injected into a run to test that the history checker detects them.
enum class injected_bug
{
  None,
  /// Records a second execution of every 50th exchange.
  DispatchTwice,
  /// Reverses the ranks of the tiers in the tickets that are sent.
  InvertTiers,
  /// Delivers response bytes to the exchange with the next id, if it is open.
  CrossAnswers,
  /// Records responses that were aborted as finished.
  TruncateAnswers,
  /// Records each refused request as not run.
  ClaimNotRun,
  /// Removes the idempotency keys from the tickets that are sent.
  ForgetKeys,
  /// Drain does not reach the process, and the VM list does not show the process as leaving.
  IgnoreLeaving,
  /// A draining process stops without waiting for its work and its messages.
  StopAtOnce,
  /// Records that a process reverts from a later revision to revision 1.
  RevertRevision
};
inline constexpr auto kInjectedBugNames =
  name_table<injected_bug, 10>{ { { { injected_bug::None, "none" },
                                    { injected_bug::DispatchTwice, "dispatch twice" },
                                    { injected_bug::InvertTiers, "invert tiers" },
                                    { injected_bug::CrossAnswers, "cross answers" },
                                    { injected_bug::TruncateAnswers, "truncate answers" },
                                    { injected_bug::ClaimNotRun, "claim not run" },
                                    { injected_bug::ForgetKeys, "forget keys" },
                                    { injected_bug::IgnoreLeaving, "ignore leaving" },
                                    { injected_bug::StopAtOnce, "stop at once" },
                                    { injected_bug::RevertRevision, "revert revision" } } } };

struct fleet_settings
{
  std::uint64_t mSeed = 1;
  /// Availability zone of each entry.
  std::vector<std::string> mEntryZones;
  /// Availability zone of each endpoint in the configuration document.
  std::map<std::string, std::string> mEndpointZones;
  /// Configuration document with which the run starts.
  std::string mDocument;
  /// One-way delay within and between availability zones. Messages between zones take up to mJitter
  /// longer.
  duration mLocalDelay = std::chrono::microseconds(100);
  duration mZoneDelay = std::chrono::milliseconds(3);
  duration mJitter = std::chrono::milliseconds(1);
  /// Fraction of messages between zones that TCP retransmits after a packet loss, which adds
  /// mRetransmit to the delay. No message is lost.
  double mLoss = 0.001;
  duration mRetransmit = std::chrono::milliseconds(200);
  /// Delay until a request reaches its entry, and until the entry learns that the caller has
  /// received response bytes.
  duration mCallerDelay = std::chrono::milliseconds(1);
  /// Age of the load reports that engines publish.
  duration mLoadLag = std::chrono::seconds(1);
  /// Age of the VM lists that processes receive, except for the first list.
  duration mVmListLag = std::chrono::seconds(2);
  injected_bug mInjectedBug = injected_bug::None;
};

/// Simulates entry and agent nodes, their links and their endpoints in one process and in virtual
/// time. Runs are deterministic for the same settings, seed and calls. Not thread-safe.
class fleet
{
public:
  explicit fleet(fleet_settings aSettings);
  ~fleet();
  fleet(const fleet&) = delete;
  auto operator=(const fleet&) -> fleet& = delete;

  [[nodiscard]] auto Loop() -> event_loop& { return mLoop; }
  /// Advances virtual time by aTime.
  auto Run(duration aTime) -> void { mLoop.RunUntil(mLoop.Now() + aTime); }

  /// Sends a job, which describes one request of a caller, to an entry now and returns the exchange
  /// id assigned to it.
  auto Submit(std::size_t aEntry, job aJob) -> exchange_id;
  /// The caller of this exchange closes its connection.
  auto DisconnectCaller(exchange_id aExchange) -> void;

  // Faults, which take effect at once. Processes are named "entry-0", "agent engine-1" (the agent
  // of the endpoint "engine-1") and so on.
  auto Kill(const std::string& aProcess) -> void;
  auto Restart(const std::string& aProcess) -> void;
  /// Stops the process from handling events for the given time; it then handles them all at once.
  auto Pause(const std::string& aProcess, duration aTime) -> void;
  /// Drains the process as SIGTERM does; it stops once it is drained.
  auto Drain(const std::string& aProcess) -> void;
  /// Partitions the network between the named processes and the others until Heal.
  auto Partition(std::set<std::string> aSide) -> void;
  auto Heal() -> void;
  /// Publishes a configuration document. During an outage of the configuration service no process
  /// receives it.
  auto Publish(const std::string& aDocument) -> revision;
  auto SetConfigurationOutage(bool aDown) -> void { mConfigurationDown = aDown; }
  /// Makes the configuration service return the first document until the next Publish.
  auto ServeStaleDocument() -> void;
  /// The simulated engine that serves an endpoint.
  [[nodiscard]] auto Engine(const std::string& aEndpoint) -> fake_engine&;

  [[nodiscard]] auto Entry(std::size_t aIndex) -> entry_node*;
  [[nodiscard]] auto Agent(const std::string& aEndpoint) -> agent_node*;
  [[nodiscard]] auto History() const -> const history& { return mHistory; }
  [[nodiscard]] auto Configuration() const -> const fleet_config& { return *mConfig; }
  [[nodiscard]] auto ProcessNames() const -> std::vector<std::string>;
  /// Number of submitted jobs for model services whose exchange has not ended.
  [[nodiscard]] auto OpenModelExchanges() const -> std::size_t;
  /// Number of messages that processes have sent to each other so far.
  [[nodiscard]] auto MessagesSent() const -> std::uint64_t { return mMessagesSent; }

private:
  struct process;
  struct session;

  auto StartProcess(process& aProcess) -> void;
  /// Runs aEvent on the process now, or when its pause ends. Drops it if the process dies first.
  auto Deliver(process& aProcess, std::function<void(process&)> aEvent) -> void;
  auto Handle(process& aProcess, const std::function<void(process&)>& aEvent) -> void;
  auto ScheduleResume(process& aProcess) -> void;
  auto Flush(process& aProcess) -> void;
  auto StopOnceFlushed(process& aProcess) -> void;
  auto ScheduleTimer(process& aProcess) -> void;
  auto Perform(process& aProcess, entry_action aAction) -> void;
  auto Perform(process& aProcess, agent_action aAction) -> void;
  auto OpenSession(process& aFrom, const std::string& aAddress) -> void;
  auto ConnectSession(const std::shared_ptr<session>& aSession) -> void;
  /// Takes the pointer by value, since callers pass references to elements that this call erases.
  auto CloseSession(std::shared_ptr<session> aSession) -> void;
  auto SendMessage(process& aFrom, peer_id aPeer, peer_message aMessage) -> void;
  auto InjectBug(peer_message& aMessage) const -> void;
  auto RecordTicketReachability(const session& aSession, const process& aAgent, bool aReachable)
    -> void;
  auto RecordGrant(exchange_id aExchange, const std::string& aEndpoint) -> void;
  auto Transmit(const std::shared_ptr<session>& aSession, bool aForward, peer_message aMessage)
    -> void;
  auto CheckSessions() -> void;
  auto SubmitToEngine(process& aProcess, const submit_to_engine& aSubmit) -> void;
  auto OnEngineEvent(process& aProcess, engine_event aEvent) -> void;
  auto RecordMessage(const session& aSession, bool aForward, const peer_message& aMessage) -> void;
  auto RecordSections(process& aProcess) -> void;
  auto PublishVmList() -> void;
  auto ReportLoads() -> void;
  auto SendDocument(process& aProcess) -> void;
  auto EndExchange(exchange_id aExchange) -> void;
  [[nodiscard]] auto Delay(const process& aFrom, const process& aTo) -> duration;
  /// Whether the network partition separates two processes.
  [[nodiscard]] auto AreCut(const process& aFrom, const process& aTo) const -> bool;
  [[nodiscard]] auto FindProcess(const std::string& aName) -> process&;
  auto Record(history_event aEvent) -> void;

  fleet_settings mSettings;
  event_loop mLoop;
  random_source mRandom;
  metrics_registry mMetrics;
  std::shared_ptr<const fleet_config> mConfig;
  std::map<std::string, std::unique_ptr<process>> mProcesses;
  std::vector<std::shared_ptr<session>> mSessions;
  std::map<exchange_id, job> mJobs;
  /// Entry that serves each open exchange.
  std::map<exchange_id, std::string> mOpenExchanges;
  /// Grants recorded so far. An execution without one was dispatched on a credit.
  std::set<std::pair<exchange_id, std::string>> mGranted;
  /// Processes on one side of the network partition; empty if there is none.
  std::set<std::string> mIsolatedProcesses;
  /// All configuration documents so far with their revisions.
  std::vector<std::pair<revision, std::string>> mDocuments;
  bool mConfigurationDown = false;
  bool mServeStale = false;
  std::uint64_t mNextExchange = 1;
  std::uint64_t mNextPeer = 1;
  std::uint64_t mMessagesSent = 0;
  history mHistory;
};

} // namespace bronzering::testkit
