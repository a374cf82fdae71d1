#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/random_source.h>
#include <bronzering/base/time.h>
#include <bronzering/coordination/messages.h>
#include <bronzering/scheduling/prefix_cache_index.h>

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

class caller_directory;
class membership;
struct entry_request;

/// State that an entry keeps for each agent with a session: load, credits, network distance and
/// cached prefixes. Not thread-safe: owned by the control thread.
class agent_table
{
public:
  struct candidate
  {
    peer_id mPeer;
    std::string mEndpoint;
    duration mScore{};
    duration mCompletion{};
  };

  agent_table(std::string aOwnZone, std::uint64_t aSeed);

  auto OnPeerUp(peer_id aPeer, const process_identity& aIdentity) -> void;
  auto OnPeerDown(peer_id aPeer) -> void;
  auto OnStatus(peer_id aPeer, const agent_status& aStatus) -> void;
  auto OnCredit(peer_id aPeer, const credit& aCredit, instant aNow) -> void;
  /// Removes and returns an unexpired credit; empty if there is none.
  [[nodiscard]] auto TakeCredit(peer_id aPeer, std::string_view aService, instant aNow)
    -> std::optional<grant_id>;
  [[nodiscard]] auto HasCredit(peer_id aPeer, std::string_view aService, instant aNow) const
    -> bool;
  /// Discards all credits of an agent, after it declined one of them.
  auto DropCredits(peer_id aPeer) -> void;

  /// Returns the agents with a working session that can serve the request, best first. Agents that
  /// are draining or leaving are excluded.
  [[nodiscard]] auto Rank(const caller_directory& aDirectory,
                          const membership& aMembers,
                          const entry_request& aRequest) -> std::vector<candidate>;
  /// Whether the agent is expected to accept new work. True until its first status arrives, unless
  /// its session is silent or the agent is leaving.
  [[nodiscard]] auto Accepts(peer_id aPeer, const membership& aMembers) const -> bool;

  auto RecordDispatch(peer_id aPeer, const entry_request& aRequest) -> void;
  /// Records how many of the request's prompt tokens the agent reported as cached.
  auto RecordCachedTokens(std::string_view aEndpoint,
                          const entry_request& aRequest,
                          std::uint64_t aCachedTokens) -> void;
  /// aTime: time between a ticket and its grant. The minimum approximates the network round trip.
  auto RecordRoundTrip(peer_id aPeer, duration aTime) -> void;
  [[nodiscard]] auto EndpointOf(peer_id aPeer) const -> std::string;
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;

private:
  struct usable_credit
  {
    grant_id mGrant;
    time_point mExpires;
  };
  struct agent
  {
    process_identity mIdentity;
    std::optional<agent_status> mStatus;
    /// Work dispatched by this entry since the agent's last status.
    std::uint64_t mOutstandingCost = 0;
    std::uint32_t mOutstandingRequests = 0;
    std::optional<duration> mRoundTrip;
    std::map<std::string, std::deque<usable_credit>, std::less<>> mCredits;
  };

  std::string mOwnZone;
  random_source mRandom;
  prefix_cache_index mPrefixes;
  std::map<peer_id, agent> mAgents;
};

} // namespace bronzering
