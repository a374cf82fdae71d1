#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzering {

/// The grants and credits issued by an agent that have not been redeemed, revoked or expired. Each
/// id can be redeemed at most once. Owned by the agent's control thread; not thread-safe.
class grant_table
{
public:
  /// Ids start above the incarnation number, so that ids issued by an earlier process are never
  /// valid. aLifetime applies to every grant and credit.
  grant_table(incarnation aIncarnation, duration aLifetime);

  /// Precondition: the request holds no grant.
  auto IssueGrant(peer_id aPeer, request_id aRequest, time_point aNow) -> grant_id;
  auto IssueCredits(peer_id aPeer, std::string_view aService, std::size_t aCount, time_point aNow)
    -> std::vector<grant_id>;

  enum class redemption
  {
    Grant,
    Credit,
    Invalid
  };
  /// Redeems an id and removes it. Returns Invalid if the id is unknown, was redeemed before, has
  /// expired, or was issued to another peer, for another request or for another service.
  auto Redeem(grant_id aGrant,
              peer_id aPeer,
              request_id aRequest,
              std::string_view aService,
              time_point aNow) -> redemption;

  /// Revokes the grant of a request, if it has one.
  auto Revoke(request_id aRequest) -> void;
  auto RevokeCredits() -> void;
  /// Revokes all grants and credits of a peer.
  auto RevokePeer(peer_id aPeer) -> void;
  /// Removes expired grants and credits. Returns the requests whose grants have expired.
  auto Expire(time_point aNow) -> std::vector<request_id>;

  [[nodiscard]] auto NextExpiry() const -> std::optional<time_point>;
  [[nodiscard]] auto Credits(peer_id aPeer, std::string_view aService) const -> std::size_t;
  [[nodiscard]] auto size() const -> std::size_t { return mIssued.size(); }

private:
  struct issued
  {
    peer_id mPeer;
    /// Empty for a credit.
    std::optional<request_id> mRequest;
    /// Empty for a grant.
    std::string mService;
    time_point mExpiry;
  };
  using table = std::map<grant_id, issued>;

  auto Erase(table::iterator aEntry) -> table::iterator;

  duration mLifetime;
  grant_id mLast;
  /// In order of issue, which is the order of expiry.
  table mIssued;
  std::unordered_map<request_id, grant_id> mGrantOf;
  std::map<std::pair<peer_id, std::string>, std::size_t, std::less<>> mCredits;
};

} // namespace bronzering
