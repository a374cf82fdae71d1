#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/coordination/messages.h>

#include <boost/json/fwd.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bronzering {

/// Lifetime of a lease. A new owner waits for the same time before it grants any amount, so that
/// the leases granted by its predecessor have expired.
inline constexpr auto kLeaseLifetime = std::chrono::seconds(2);

/// Server side of the budget leases, for the budgets that hash to one entry. Requests are granted
/// in full and in order of arrival. A request that would have to wait for more than half a second
/// is refused with a zero amount and the time to wait. Peer zero is the entry itself. Not
/// thread-safe: owned by the control thread.
class limit_owner
{
public:
  /// Sets rates and bursts. Removes budgets that are no longer configured.
  auto Configure(const fleet_config& aConfig, instant aNow) -> void;
  /// Sets whether this entry owns a configured budget. A newly owned budget starts empty and
  /// accrues nothing for one lease lifetime.
  auto SetOwned(std::string_view aBudget, bool aOwned, instant aNow) -> void;
  [[nodiscard]] auto Owns(std::string_view aBudget) const -> bool;
  /// Sets the fraction of the listed entries that is reachable, by which all rates are scaled.
  /// Precondition: 0 <= aShare <= 1.
  auto SetShare(double aShare, instant aNow) -> void;

  /// Requests an amount. The reply is returned by TakeGrants, immediately or later. Requests for a
  /// budget that is not owned here get a zero amount.
  auto Request(peer_id aPeer, const lease_request& aRequest, instant aNow) -> void;
  auto Return(const lease_return& aReturn, instant aNow) -> void;
  /// Removes the waiting requests of a lost session.
  auto OnPeerDown(peer_id aPeer) -> void;

  auto OnTimer(instant aNow) -> void;
  [[nodiscard]] auto NextTimer() const -> std::optional<time_point>;
  [[nodiscard]] auto TakeGrants() -> std::vector<std::pair<peer_id, lease_grant>>;
  /// Owned budgets with their available and granted amounts and the number of waiting requests.
  [[nodiscard]] auto Dump(instant aNow) const -> boost::json::value;

private:
  struct waiting_request
  {
    peer_id mPeer;
    double mAmount = 0;
    time_point mRequestedAt;
  };
  struct owned_budget
  {
    double mRate = 0;
    double mBurst = 0;
    bool mOwned = false;
    double mAvailable = 0;
    double mGranted = 0;
    /// Time up to which accrual has been counted. In the future while a new owner waits.
    time_point mAccruedUntil;
    std::deque<waiting_request> mWaiting;
  };

  auto Accrue(owned_budget& aBudget, instant aNow) const -> void;
  auto GrantWaiting(const std::string& aName, owned_budget& aBudget, instant aNow) -> void;
  /// Time until aAmount is available in addition to the waiting requests; empty if never.
  auto TimeUntil(const owned_budget& aBudget, double aAmount, instant aNow) const
    -> std::optional<duration>;

  std::map<std::string, owned_budget, std::less<>> mBudgets;
  std::vector<std::pair<peer_id, lease_grant>> mGrants;
  double mShare = 1;
};

} // namespace bronzering
