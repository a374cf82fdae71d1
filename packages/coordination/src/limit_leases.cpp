#include <bronzering/coordination/limit_leases.h>

#include <bronzering/coordination/limit_owner.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Leases are returned if nothing was spent from their budget for this time, a quarter of the lease
/// lifetime.
constexpr auto kUnusedLeaseTimeout = std::chrono::milliseconds(500);
/// Leases are prefetched for the demand of this many seconds, so that one exchange with the owner
/// covers many requests.
constexpr auto kPrefetchSeconds = 0.25;
/// Timeout of a lease request. An owner replies within half a second, or after one lease lifetime
/// if it is new.
constexpr auto kLeaseRequestTimeout = std::chrono::seconds(3);
constexpr auto kTolerance = 1e-6;
/// Largest number of lease requests sent to an owner at once.
constexpr auto kMaxLeaseRequests = 64;

} // namespace

auto limit_leases::Configure(const fleet_config& aConfig) -> void
{
  for (const auto& [name, limit] : aConfig.mLimits) {
    mBudgets[name].mBurst = limit.mBurst;
  }
  // Keeps removed budgets as long as requests wait for them.
  std::erase_if(mBudgets, [&](const auto& aItem) {
    return !aConfig.mLimits.contains(aItem.first) && aItem.second.mWaiters.empty();
  });
}

auto limit_leases::SetOwner(std::string_view aBudget, std::optional<peer_id> aOwner, instant aNow)
  -> void
{
  const auto found = mBudgets.find(aBudget);
  if (found == mBudgets.end() || found->second.mOwner == aOwner) {
    return;
  }
  found->second.mOwner = aOwner;
  found->second.mPendingRequests.clear();
  RequestMissing(found->first, found->second, aNow);
}

auto limit_leases::Held(const local_budget& aBudget, instant aNow) const -> double
{
  auto sum = 0.0;
  for (const auto& lease : aBudget.mLeases) {
    if (lease.mExpires > aNow.mMonotonic) {
      sum += lease.mAmount;
    }
  }
  return sum;
}

auto limit_leases::AreCovered(const std::vector<spending>& aNeeds, instant aNow) const -> bool
{
  return std::all_of(aNeeds.begin(), aNeeds.end(), [&](const spending& aNeed) {
    const auto found = mBudgets.find(aNeed.mBudget);
    return found != mBudgets.end() && Held(found->second, aNow) + kTolerance >= aNeed.mAmount;
  });
}

auto limit_leases::TakeFromLeases(std::vector<spending> aNeeds, instant aNow)
  -> std::vector<spending>
{
  for (auto& need : aNeeds) {
    auto& budget = mBudgets.find(need.mBudget)->second;
    auto left = need.mAmount;
    need.mExpires = aNow.mMonotonic + kLeaseLifetime;
    // Spends from the lease that expires first.
    std::sort(
      budget.mLeases.begin(), budget.mLeases.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.mExpires < aRight.mExpires;
      });
    while (!budget.mLeases.empty() && left > 0) {
      auto& lease = budget.mLeases.front();
      if (lease.mExpires > aNow.mMonotonic) {
        const auto part = std::min(left, lease.mAmount);
        lease.mAmount -= part;
        left -= part;
        need.mExpires = std::min(need.mExpires, lease.mExpires);
        if (lease.mAmount > 0) {
          break;
        }
      }
      budget.mLeases.pop_front();
    }

    // Updates the demand from which later prefetches are sized.
    if (aNow.mMonotonic - budget.mSecondStart >= std::chrono::seconds(1)) {
      const auto isNext = aNow.mMonotonic - budget.mSecondStart < std::chrono::seconds(2);
      budget.mSpentLastSecond = isNext ? budget.mSpentThisSecond : 0;
      budget.mSpentThisSecond = 0;
      budget.mSecondStart = aNow.mMonotonic;
    }
    budget.mSpentThisSecond += need.mAmount;
    budget.mSpent += need.mAmount;
    budget.mLastSpent = aNow.mMonotonic;
  }
  return aNeeds;
}

auto limit_leases::Spend(request_id aRequest,
                         std::uint32_t aRank,
                         std::vector<spending> aNeeds,
                         instant aNow) -> std::optional<std::vector<spending>>
{
  assert(!mWaiting.contains(aRequest));

  // An amount above the burst can never be available at one time.
  for (const auto& need : aNeeds) {
    const auto found = mBudgets.find(need.mBudget);
    if (found == mBudgets.end() || need.mAmount > found->second.mBurst + kTolerance) {
      mResolutions.push_back({ aRequest, false, {}, duration::zero() });
      return std::nullopt;
    }
  }

  // A request must not overtake one of the same or a higher tier that waits for the same budget.
  const auto mustWait = std::any_of(aNeeds.begin(), aNeeds.end(), [&](const spending& aNeed) {
    const auto& waiters = mBudgets.find(aNeed.mBudget)->second.mWaiters;
    return !waiters.empty() && waiters.begin()->mRank <= aRank;
  });
  if (!mustWait && AreCovered(aNeeds, aNow)) {
    auto spent = TakeFromLeases(std::move(aNeeds), aNow);
    for (const auto& part : spent) {
      Prefetch(part.mBudget, mBudgets.find(part.mBudget)->second, aNow);
    }
    return spent;
  }

  const auto entry = queue_position{ aRank, ++mArrivals, aRequest };
  const auto& waiting =
    mWaiting.emplace(aRequest, waiter{ entry, std::move(aNeeds) }).first->second;
  for (const auto& need : waiting.mNeeds) {
    auto& budget = mBudgets.find(need.mBudget)->second;
    budget.mWaiters.insert(entry);
    budget.mNeeded += need.mAmount;
    budget.mLargestNeed = std::max(budget.mLargestNeed, need.mAmount);
    RequestMissing(need.mBudget, budget, aNow);
  }
  return std::nullopt;
}

auto limit_leases::Shortfall(const local_budget& aBudget, instant aNow) const -> double
{
  auto missing = aBudget.mNeeded - Held(aBudget, aNow);
  for (const auto& pending : aBudget.mPendingRequests) {
    missing -= pending.mAmount;
  }
  return missing;
}

auto limit_leases::RequestMissing(const std::string& aName, local_budget& aBudget, instant aNow)
  -> void
{
  if (!aBudget.mOwner) {
    return;
  }
  // Splits the amount into lease requests of at most the largest single need, so that the owner can
  // grant some of them.
  auto left = Shortfall(aBudget, aNow);
  for (auto part = 0; part < kMaxLeaseRequests && left > kTolerance; ++part) {
    const auto amount = std::min(left, aBudget.mLargestNeed);
    aBudget.mPendingRequests.push_back({ amount, aNow.mMonotonic });
    mMessages.emplace_back(*aBudget.mOwner, lease_request{ aName, amount });
    left -= amount;
  }
}

auto limit_leases::Prefetch(const std::string& aName, local_budget& aBudget, instant aNow) -> void
{
  if (!aBudget.mOwner || !aBudget.mPendingRequests.empty() ||
      aNow.mMonotonic < aBudget.mNoPrefetchBefore) {
    return;
  }
  const auto perSecond = std::max(aBudget.mSpentThisSecond, aBudget.mSpentLastSecond);
  const auto target = std::min(perSecond * kPrefetchSeconds, aBudget.mBurst);
  const auto held = Held(aBudget, aNow);
  if (held < target / 2) {
    aBudget.mPendingRequests.push_back({ target - held, aNow.mMonotonic });
    mMessages.emplace_back(*aBudget.mOwner, lease_request{ aName, target - held });
  }
}

auto limit_leases::Cancel(request_id aRequest) -> void
{
  const auto found = mWaiting.find(aRequest);
  if (found == mWaiting.end()) {
    return;
  }
  for (const auto& need : found->second.mNeeds) {
    auto& budget = mBudgets.find(need.mBudget)->second;
    budget.mWaiters.erase(found->second.mPosition);
    budget.mNeeded -= need.mAmount;
    if (budget.mWaiters.empty()) {
      budget.mNeeded = 0;
      budget.mLargestNeed = 0;
    }
  }
  mWaiting.erase(found);
}

auto limit_leases::Refund(const std::vector<spending>& aSpendings, instant aNow) -> void
{
  for (const auto& part : aSpendings) {
    const auto found = mBudgets.find(part.mBudget);
    if (found == mBudgets.end()) {
      continue;
    }
    auto& budget = found->second;
    budget.mSpent -= part.mAmount;
    if (part.mExpires > aNow.mMonotonic) {
      budget.mLeases.push_back({ part.mAmount, part.mExpires });
      ServeWaiters(found->first, aNow);
    } else if (budget.mOwner) {
      mMessages.emplace_back(*budget.mOwner, lease_return{ found->first, part.mAmount });
    }
  }
}

auto limit_leases::OnGrant(peer_id aPeer, const lease_grant& aGrant, instant aNow) -> void
{
  const auto found = mBudgets.find(aGrant.mBudget);
  if (found == mBudgets.end() || found->second.mOwner != aPeer ||
      found->second.mPendingRequests.empty()) {
    return;
  }
  auto& budget = found->second;
  if (aGrant.mAmount > 0) {
    // The owner grants requests in the order sent. The lifetime counts from the time of the
    // request, so that a delayed message cannot prolong the lease.
    const auto oldest = budget.mPendingRequests.front();
    budget.mPendingRequests.pop_front();
    const auto expires = oldest.mSent + aGrant.mLifetime;
    if (expires > aNow.mMonotonic) {
      budget.mLeases.push_back({ std::min(aGrant.mAmount, oldest.mAmount), expires });
    }
    ServeWaiters(found->first, aNow);
    RequestMissing(found->first, budget, aNow);
    return;
  }

  // The owner refuses the newest request that reached it. Removing the last one keeps the earlier
  // send times for the grants that are still to arrive.
  budget.mPendingRequests.pop_back();
  budget.mNoPrefetchBefore = aNow.mMonotonic + aGrant.mLifetime;
  RefuseUncovered(budget, aGrant.mLifetime, aNow);
}

auto limit_leases::ServeWaiters(std::string_view aBudget, instant aNow) -> void
{
  const auto served = mBudgets.find(aBudget);
  auto next = served->second.mWaiters.begin();
  while (next != served->second.mWaiters.end()) {
    const auto request = next->mRequest;
    ++next;
    const auto found = mWaiting.find(request);
    if (AreCovered(found->second.mNeeds, aNow)) {
      auto needs = found->second.mNeeds;
      Cancel(request);
      mResolutions.push_back(
        { request, true, TakeFromLeases(std::move(needs), aNow), duration::zero() });
      continue;
    }
    // A request that lacks this budget blocks those behind it; one that waits for another budget
    // does not.
    const auto& needs = found->second.mNeeds;
    const auto need = std::find_if(
      needs.begin(), needs.end(), [&](const spending& aNeed) { return aNeed.mBudget == aBudget; });
    if (need != needs.end() && Held(served->second, aNow) + kTolerance < need->mAmount) {
      break;
    }
  }
}

auto limit_leases::RefuseUncovered(local_budget& aBudget, duration aRetryAfter, instant aNow)
  -> void
{
  // Refuses the newest request of the lowest tier first, until the needs of the others are held or
  // requested.
  while (!aBudget.mWaiters.empty() && Shortfall(aBudget, aNow) > kTolerance) {
    const auto last = *aBudget.mWaiters.rbegin();
    Cancel(last.mRequest);
    mResolutions.push_back({ last.mRequest, false, {}, aRetryAfter });
  }
}

auto limit_leases::Return(const std::string& aName, local_budget& aBudget, instant aNow) -> void
{
  const auto held = Held(aBudget, aNow);
  aBudget.mLeases.clear();
  if (held > kTolerance && aBudget.mOwner) {
    mMessages.emplace_back(*aBudget.mOwner, lease_return{ aName, held });
  }
}

auto limit_leases::ReturnAll(instant aNow) -> void
{
  for (auto& [name, budget] : mBudgets) {
    Return(name, budget, aNow);
  }
}

auto limit_leases::OnTimer(instant aNow) -> void
{
  for (auto& [name, budget] : mBudgets) {
    if (!budget.mLeases.empty() && budget.mWaiters.empty() &&
        aNow.mMonotonic >= budget.mLastSpent + kUnusedLeaseTimeout) {
      Return(name, budget, aNow);
    }
    std::erase_if(budget.mLeases,
                  [&](const held_lease& aLease) { return aLease.mExpires <= aNow.mMonotonic; });
    if (!budget.mPendingRequests.empty() &&
        aNow.mMonotonic >= budget.mPendingRequests.front().mSent + kLeaseRequestTimeout) {
      budget.mPendingRequests.clear();
      RefuseUncovered(budget, kLeaseLifetime, aNow);
    } else if (!budget.mWaiters.empty()) {
      // Requests the amounts of expired leases again.
      RequestMissing(name, budget, aNow);
    }
  }
}

auto limit_leases::NextTimer() const -> std::optional<time_point>
{
  auto next = std::optional<time_point>{};
  const auto include = [&](time_point aTime) { next = next ? std::min(*next, aTime) : aTime; };
  for (const auto& [name, budget] : mBudgets) {
    for (const auto& lease : budget.mLeases) {
      include(lease.mExpires);
    }
    if (!budget.mLeases.empty() && budget.mWaiters.empty()) {
      include(budget.mLastSpent + kUnusedLeaseTimeout);
    }
    if (!budget.mPendingRequests.empty()) {
      include(budget.mPendingRequests.front().mSent + kLeaseRequestTimeout);
    }
  }
  return next;
}

auto limit_leases::TakeResolutions() -> std::vector<resolution>
{
  return std::exchange(mResolutions, {});
}

auto limit_leases::TakeMessages() -> std::vector<std::pair<peer_id, peer_message>>
{
  return std::exchange(mMessages, {});
}

auto limit_leases::Dump(instant aNow) const -> boost::json::value
{
  auto budgets = boost::json::object{};
  for (const auto& [name, budget] : mBudgets) {
    budgets[name] = boost::json::object{ { "spent", budget.mSpent },
                                         { "held", Held(budget, aNow) },
                                         { "waiting", budget.mWaiters.size() },
                                         { "owner_reachable", budget.mOwner.has_value() } };
  }
  return budgets;
}

} // namespace bronzering
