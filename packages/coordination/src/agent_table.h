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

/// What an entry knows about the agents that it has sessions with: load, credits, distance and
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
  /// Takes an unexpired credit; empty when there is none.
  [[nodiscard]] auto TakeCredit(peer_id aPeer, std::string_view aService, instant aNow)
    -> std::optional<grant_id>;
  [[nodiscard]] auto HasCredit(peer_id aPeer, std::string_view aService, instant aNow) const
    -> bool;
  /// The credits of an agent no longer count, after it declined one of them.
  auto DropCredits(peer_id aPeer) -> void;

  /// Agents with a working session that could serve the request, the best first. Draining and
  /// leaving ones are left out.
  [[nodiscard]] auto Rank(const caller_directory& aDirectory,
                          const membership& aMembers,
                          const entry_request& aRequest) -> std::vector<candidate>;
  /// Whether the agent accepts new work, as far as known.
  [[nodiscard]] auto Accepts(peer_id aPeer, const membership& aMembers) const -> bool;

  auto NoteDispatch(peer_id aPeer, const entry_request& aRequest) -> void;
  /// The agent reported how many of the request's prompt tokens were cached.
  auto NoteCached(std::string_view aEndpoint,
                  const entry_request& aRequest,
                  std::uint64_t aCachedTokens) -> void;
  /// Time between a ticket and its grant; the shortest one approximates the round trip.
  auto NoteRoundTrip(peer_id aPeer, duration aTime) -> void;
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
    /// Sent there by this entry since the last status.
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
