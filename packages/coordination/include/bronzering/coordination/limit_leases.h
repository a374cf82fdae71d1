#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/messages.h>

#include <boost/json/fwd.hpp>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bronzering {

/// An amount of one budget that a request needs or has spent.
struct spending
{
  std::string mBudget;
  double mAmount = 0;
  /// Expiry of the lease from which the amount was spent.
  time_point mExpires{};
};

/// Client side of the budget leases of one entry: holds small leases, spends from several budgets
/// atomically for each request, requests missing amounts from the budgets' owners, and returns
/// unused amounts. Waiting requests are served by tier, then by arrival. Not thread-safe: owned by
/// the control thread.
class limit_leases
{
public:
  /// Result for a request that had to wait: either what it spent, or a refusal with the time after
  /// which to retry.
  struct resolution
  {
    request_id mRequest;
    bool mSpent = false;
    std::vector<spending> mSpendings;
    duration mRetryAfter{};
  };

  auto Configure(const fleet_config& aConfig) -> void;
  /// Sets the session to a budget's owner. Peer zero is this entry; empty if the owner is not
  /// reachable. After a change of owner, pending amounts are requested again from the new owner.
  auto SetOwner(std::string_view aBudget, std::optional<peer_id> aOwner, instant aNow) -> void;

  /// Spends all of aNeeds or nothing. Returns the spendings if the leases suffice. Otherwise the
  /// request waits, and its result is returned by TakeResolutions. Precondition: the request is not
  /// already waiting.
  auto Spend(request_id aRequest, std::uint32_t aRank, std::vector<spending> aNeeds, instant aNow)
    -> std::optional<std::vector<spending>>;
  /// Removes a waiting request. Does nothing if the request is not waiting.
  auto Cancel(request_id aRequest) -> void;
  /// Returns what was spent by a request that did not run.
  auto Refund(const std::vector<spending>& aSpendings, instant aNow) -> void;

  auto OnGrant(peer_id aPeer, const lease_grant& aGrant, instant aNow) -> void;
  auto OnTimer(instant aNow) -> void;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;
  /// Returns all leases to their owners, for shutdown.
  auto ReturnAll(instant aNow) -> void;

  [[nodiscard]] auto TakeResolutions() -> std::vector<resolution>;
  [[nodiscard]] auto TakeMessages() -> std::vector<std::pair<peer_id, peer_message>>;
  /// Amounts spent in total and held now, by budget.
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;

private:
  struct held_lease
  {
    double mAmount = 0;
    time_point mExpires;
  };
  struct queue_position
  {
    std::uint32_t mRank = 0;
    std::uint64_t mArrival = 0;
    request_id mRequest;
    // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const queue_position&) const = default;
  };
  struct waiter
  {
    queue_position mPosition;
    std::vector<spending> mNeeds;
  };
  struct pending_request
  {
    double mAmount = 0;
    time_point mSent;
  };
  struct local_budget
  {
    std::optional<peer_id> mOwner;
    double mBurst = 0;
    std::deque<held_lease> mLeases;
    std::deque<pending_request> mPendingRequests;
    std::set<queue_position> mWaiters;
    /// Sum and maximum of the amounts that the waiters need.
    double mNeeded = 0;
    double mLargestNeed = 0;
    double mSpent = 0;
    time_point mLastSpent;
    /// No amount is prefetched before this time.
    time_point mNoPrefetchBefore;
    /// Amounts spent in the current and the previous second, from which the size of a prefetch is
    /// computed.
    time_point mSecondStart;
    double mSpentThisSecond = 0;
    double mSpentLastSecond = 0;
  };

  auto Held(const local_budget& aBudget, instant aNow) const -> double;
  auto AreCovered(const std::vector<spending>& aNeeds, instant aNow) const -> bool;
  auto TakeFromLeases(std::vector<spending> aNeeds, instant aNow) -> std::vector<spending>;
  /// Amount that waiting requests need beyond what is held and already requested.
  auto Shortfall(const local_budget& aBudget, instant aNow) const -> double;
  auto RequestMissing(const std::string& aName, local_budget& aBudget, instant aNow) -> void;
  auto Prefetch(const std::string& aName, local_budget& aBudget, instant aNow) -> void;
  auto ServeWaiters(std::string_view aBudget, instant aNow) -> void;
  auto RefuseUncovered(local_budget& aBudget, duration aRetryAfter, instant aNow) -> void;
  auto Return(const std::string& aName, local_budget& aBudget, instant aNow) -> void;

  std::map<std::string, local_budget, std::less<>> mBudgets;
  std::unordered_map<request_id, waiter> mWaiting;
  std::uint64_t mArrivals = 0;
  std::vector<resolution> mResolutions;
  std::vector<std::pair<peer_id, peer_message>> mMessages;
};

} // namespace bronzering
