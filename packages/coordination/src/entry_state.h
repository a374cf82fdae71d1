#pragma once

#include "agent_table.h"
#include "attempted_keys.h"
#include "caller_directory.h"
#include "decision_log.h"
#include "entry_request.h"

#include <bronzering/base/random_source.h>
#include <bronzering/coordination/config_exchange.h>
#include <bronzering/coordination/entry_node.h>
#include <bronzering/coordination/limit_leases.h>
#include <bronzering/coordination/limit_owner.h>
#include <bronzering/coordination/membership.h>
#include <bronzering/scheduling/retry_budget.h>
#include <bronzering/scheduling/waiting_list.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzering {

/// HTTP status of a refusal.
[[nodiscard]] auto HttpStatusOf(refusal aReason) -> std::uint32_t;

/// What an entry_node consists of. Its functions are grouped by the source files that hold them.
/// Functions that may close a request say so: afterwards the reference to it is invalid.
struct entry_node::state
{
  state(entry_settings aSettings, metrics_registry& aMetrics);

  // entry_admission.cpp: from a caller's request to a waiting one.
  auto OnRequest(caller_request aRequest, instant aNow) -> void;
  /// Reason to refuse the request before it costs anything; empty when it may be accepted.
  auto CheckRequest(const caller_request& aRequest,
                    const caller_directory::caller& aCaller,
                    const service_config* aService,
                    instant aNow) -> std::optional<refusal>;
  auto MakeRequest(caller_request aRequest,
                   const caller_directory::caller& aCaller,
                   const service_config& aService,
                   instant aNow) -> std::unique_ptr<entry_request>;
  auto ClosesBefore(entry_request& aRequest, instant aNow) -> bool;
  auto SpendLimits(entry_request& aRequest, const service_config& aService, instant aNow) -> void;
  auto OnLimitsResolved(limit_leases::resolution aResolution, instant aNow) -> void;
  auto RefuseUnaccepted(const caller_request& aRequest, refusal aReason, instant aNow) -> void;

  // entry_routing.cpp: from a waiting request to a dispatched one. All but SendTicket and Withdraw
  // may close the request.
  auto Announce(entry_request& aRequest, bool aWiden, instant aNow) -> void;
  /// For the first half of the tier's first-token target, removes candidates that are not expected
  /// to meet it while others are: the first grant would often come from a slow engine. Returns when
  /// the request has to be announced to them as well.
  auto LeaveOutSlow(const entry_request& aRequest,
                    std::vector<agent_table::candidate>& aCandidates,
                    instant aNow) const -> std::optional<time_point>;
  auto AnnounceToKeyOwner(entry_request& aRequest, instant aNow) -> void;
  auto AwaitAgent(entry_request& aRequest, instant aNow) -> void;
  auto TryCredit(entry_request& aRequest,
                 const std::vector<agent_table::candidate>& aCandidates,
                 instant aNow) -> bool;
  auto SendTicket(entry_request& aRequest, peer_id aPeer, instant aNow) -> void;
  auto Withdraw(entry_request& aRequest, std::optional<peer_id> aExcept) -> void;
  auto OnGrant(peer_id aPeer, const grant& aGrant, instant aNow) -> void;
  auto Dispatch(entry_request& aRequest, peer_id aPeer, grant_id aGrant, instant aNow) -> void;
  auto OnDecline(peer_id aPeer, const decline& aDecline, instant aNow) -> void;
  auto OnTicketDeclined(entry_request& aRequest, const decline& aDecline, instant aNow) -> void;
  auto OnDispatchDeclined(entry_request& aRequest, const decline& aDecline, instant aNow) -> void;
  /// Refuses a keyed request as its owner decided; false when the reason does not concern the key.
  auto RefuseByKey(entry_request& aRequest, const decline& aDecline, instant aNow) -> bool;
  auto Retry(entry_request& aRequest, const decline& aDecline, instant aNow) -> void;
  /// Gives the request a new id towards agents, so that messages about the old one are ignored.
  auto Rename(entry_request& aRequest) -> void;
  auto ReachFurther(const std::string& aService, instant aNow) -> void;
  auto StepWaiting(std::string_view aEndpoint, instant aNow) -> void;

  // entry_answers.cpp: answers, refusals and the end of requests.
  auto OnHead(peer_id aPeer, answer_head aHead, instant aNow) -> void;
  auto OnData(peer_id aPeer, answer_data aData, instant aNow) -> void;
  auto OnEnd(peer_id aPeer, const answer_end& aEnd, instant aNow) -> void;
  auto OnAnswerBytesDelivered(exchange_id aExchange, std::uint64_t aTotalBytes) -> void;
  auto OnCallerDisconnected(exchange_id aExchange, instant aNow) -> void;
  auto Expire(entry_request& aRequest, instant aNow) -> void;
  /// The answer cannot be completed: refuses if its head is not out, otherwise breaks it off.
  auto Fail(entry_request& aRequest, refusal aReason, bool aCancel, instant aNow) -> void;
  auto Refuse(entry_request& aRequest,
              refusal aReason,
              std::optional<duration> aRetryAfter,
              std::string aDetail,
              instant aNow) -> void;
  auto Close(entry_request& aRequest, instant aNow) -> void;
  auto FindDispatched(peer_id aPeer, request_id aRequest) -> entry_request*;

  // entry_peers.cpp: sessions, configuration, limits and timers.
  auto OnPeerUp(peer_id aPeer, process_identity aIdentity, std::string aListed, instant aNow)
    -> void;
  auto OnPeerSilent(peer_id aPeer, bool aSilent, instant aNow) -> void;
  auto OnPeerDown(peer_id aPeer, instant aNow) -> void;
  auto OnMessage(peer_id aPeer, peer_message aMessage, instant aNow) -> void;
  auto OnLeaseRequest(peer_id aPeer, const lease_request& aRequest, instant aNow) -> void;
  auto OnAgentStatus(peer_id aPeer, const agent_status& aStatus, instant aNow) -> void;
  auto OnVmList(std::vector<vm_entry> aList, instant aNow) -> void;
  auto AdoptConfiguration(instant aNow) -> void;
  auto UpdateOwners(instant aNow) -> void;
  auto UpdateLinks() -> void;
  auto UpdateConfigurationReader() -> void;
  auto OnTimer(instant aNow) -> void;
  auto NextTimer() const -> std::optional<time_point>;
  /// Passes on what the parts have to say to each other and to peers. Ends every event.
  auto Settle(instant aNow) -> void;

  // entry_dump.cpp
  auto Dump(instant aNow) const -> boost::json::value;
  auto DumpWaiting() const -> boost::json::value;
  auto DumpSessions() const -> boost::json::value;
  auto DumpEndpoints(instant aNow) const -> boost::json::value;

  // entry_node.cpp: helpers used by all.
  auto Send(peer_id aPeer, peer_message aMessage) -> void;
  auto FindRequest(request_id aId) -> entry_request*;
  auto SetTimer(entry_request& aRequest) -> void;
  auto Log(const entry_request& aRequest, std::string_view aWhat, instant aNow) -> void;
  auto Count(std::string_view aName, const entry_request& aRequest, std::string_view aMore = {})
    -> void;
  auto CountViolation() -> void;

  entry_settings mSettings;
  metrics_registry& mMetrics;
  random_source mRandom;
  config_exchange mExchange;
  membership mMembers;
  caller_directory mDirectory;
  agent_table mAgents;
  limit_owner mOwner;
  limit_leases mLeases;
  waiting_list mWaiting;
  retry_budget mRetryBudget;
  attempted_keys mKeys;
  decision_log mLog;

  /// Ordered by id, which is the order of arrival and makes every walk deterministic.
  std::map<request_id, std::unique_ptr<entry_request>> mRequests;
  std::map<exchange_id, request_id> mExchanges;
  std::set<std::pair<time_point, request_id>> mTimers;

  /// An agent's lease request that this entry passes on to the owner.
  struct forwarded_lease
  {
    peer_id mAgent;
    lease_request mRequest;
  };
  std::map<request_id, forwarded_lease> mForwarded;
  std::uint64_t mLastForwarded = 0;

  /// By service: multiple of the usual number of agents linked to, after requests found no room.
  std::map<std::string, std::uint32_t, std::less<>> mReach;
  time_point mReachChanged;
  std::optional<bool> mWatching;
  bool mDraining = false;
  std::vector<entry_action> mActions;
};

} // namespace bronzering
