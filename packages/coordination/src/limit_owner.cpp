#include <bronzering/coordination/limit_owner.h>

#include <boost/json.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bronzering {

namespace {

/// A request that would wait longer is refused immediately, so that its caller learns early when to
/// retry.
constexpr auto kLongestWait = std::chrono::milliseconds(500);
/// Absorbs rounding, so that a request for the exact amount accrued is granted.
constexpr auto kTolerance = 1e-6;

} // namespace

auto limit_owner::Configure(const fleet_config& aConfig, instant aNow) -> void
{
  std::erase_if(mBudgets,
                [&](const auto& aItem) { return !aConfig.mLimits.contains(aItem.first); });
  for (const auto& [name, limit] : aConfig.mLimits) {
    auto& budget = mBudgets[name];
    Accrue(budget, aNow);
    budget.mRate = limit.mRatePerSecond;
    budget.mBurst = limit.mBurst;
    budget.mAvailable = std::min(budget.mAvailable, budget.mBurst);
  }
}

auto limit_owner::SetOwned(std::string_view aBudget, bool aOwned, instant aNow) -> void
{
  const auto found = mBudgets.find(aBudget);
  if (found == mBudgets.end() || found->second.mOwned == aOwned) {
    return;
  }
  auto& budget = found->second;
  budget.mOwned = aOwned;
  budget.mAvailable = 0;
  budget.mAccruedUntil = aNow.mMonotonic + kLeaseLifetime;
  // Waiting entries send their requests to the new owner when their view of the fleet changes, or
  // time out.
  budget.mWaiting.clear();
}

auto limit_owner::Owns(std::string_view aBudget) const -> bool
{
  const auto found = mBudgets.find(aBudget);
  return found != mBudgets.end() && found->second.mOwned;
}

auto limit_owner::SetShare(double aShare, instant aNow) -> void
{
  assert(aShare >= 0 && aShare <= 1);
  if (aShare == mShare) {
    return;
  }
  for (auto& [name, budget] : mBudgets) {
    Accrue(budget, aNow);
  }
  mShare = aShare;
}

auto limit_owner::Accrue(owned_budget& aBudget, instant aNow) const -> void
{
  if (aNow.mMonotonic <= aBudget.mAccruedUntil) {
    return;
  }
  const auto seconds = ToSeconds(aNow.mMonotonic - aBudget.mAccruedUntil);
  aBudget.mAccruedUntil = aNow.mMonotonic;
  if (aBudget.mOwned) {
    aBudget.mAvailable =
      std::min(aBudget.mBurst, aBudget.mAvailable + aBudget.mRate * mShare * seconds);
  }
}

auto limit_owner::TimeUntil(const owned_budget& aBudget, double aAmount, instant aNow) const
  -> std::optional<duration>
{
  if (aAmount > aBudget.mBurst + kTolerance) {
    return std::nullopt;
  }
  auto needed = aAmount - aBudget.mAvailable;
  for (const auto& waiting : aBudget.mWaiting) {
    needed += waiting.mAmount;
  }
  const auto startDelay = std::max(duration::zero(), aBudget.mAccruedUntil - aNow.mMonotonic);
  if (needed <= kTolerance) {
    return duration::zero();
  }
  const auto rate = aBudget.mRate * mShare;
  constexpr auto kLongestSeconds = 3600.0;
  const auto seconds = rate > 0 ? std::min(needed / rate, kLongestSeconds) : kLongestSeconds;
  // Rounded up, so that the amount is available when the timer fires.
  return startDelay + FromSeconds(seconds) + std::chrono::microseconds(1);
}

auto limit_owner::Request(peer_id aPeer, const lease_request& aRequest, instant aNow) -> void
{
  const auto refuse = [&](duration aWait) {
    mGrants.emplace_back(aPeer, lease_grant{ aRequest.mBudget, 0, aWait });
  };
  const auto found = mBudgets.find(aRequest.mBudget);
  if (found == mBudgets.end() || !found->second.mOwned || !std::isfinite(aRequest.mAmount) ||
      aRequest.mAmount <= 0) {
    refuse(kLongestWait);
    return;
  }
  auto& budget = found->second;
  Accrue(budget, aNow);
  const auto startDelay = std::max(duration::zero(), budget.mAccruedUntil - aNow.mMonotonic);
  const auto wait = TimeUntil(budget, aRequest.mAmount, aNow);
  if (!wait || *wait > startDelay + kLongestWait) {
    refuse(wait.value_or(kLeaseLifetime));
    return;
  }
  budget.mWaiting.push_back({ aPeer, aRequest.mAmount, aNow.mMonotonic });
  GrantWaiting(found->first, budget, aNow);
}

auto limit_owner::GrantWaiting(const std::string& aName, owned_budget& aBudget, instant aNow)
  -> void
{
  Accrue(aBudget, aNow);
  while (!aBudget.mWaiting.empty()) {
    const auto& first = aBudget.mWaiting.front();
    if (first.mAmount > aBudget.mAvailable + kTolerance) {
      break;
    }
    // The receiver counts the lifetime from the time of its request, so the time that the request
    // waited here is added.
    const auto lifetime = aNow.mMonotonic - first.mRequestedAt + kLeaseLifetime;
    mGrants.emplace_back(first.mPeer, lease_grant{ aName, first.mAmount, lifetime });
    aBudget.mAvailable = std::max(0.0, aBudget.mAvailable - first.mAmount);
    aBudget.mGranted += first.mAmount;
    aBudget.mWaiting.pop_front();
  }
}

auto limit_owner::Return(const lease_return& aReturn, instant aNow) -> void
{
  const auto found = mBudgets.find(aReturn.mBudget);
  if (found == mBudgets.end() || !found->second.mOwned || !std::isfinite(aReturn.mAmount) ||
      aReturn.mAmount <= 0) {
    return;
  }
  // An amount that this owner never granted cannot be returned to it.
  auto& budget = found->second;
  Accrue(budget, aNow);
  const auto amount = std::min(aReturn.mAmount, budget.mGranted);
  budget.mGranted -= amount;
  budget.mAvailable = std::min(budget.mBurst, budget.mAvailable + amount);
  GrantWaiting(found->first, budget, aNow);
}

auto limit_owner::OnPeerDown(peer_id aPeer) -> void
{
  for (auto& [name, budget] : mBudgets) {
    std::erase_if(budget.mWaiting,
                  [&](const waiting_request& aWaiting) { return aWaiting.mPeer == aPeer; });
  }
}

auto limit_owner::OnTimer(instant aNow) -> void
{
  for (auto& [name, budget] : mBudgets) {
    GrantWaiting(name, budget, aNow);
  }
}

auto limit_owner::NextTimer() const -> std::optional<time_point>
{
  auto next = std::optional<time_point>{};
  for (const auto& [name, budget] : mBudgets) {
    if (budget.mWaiting.empty()) {
      continue;
    }
    const auto needed = budget.mWaiting.front().mAmount - budget.mAvailable;
    const auto rate = budget.mRate * mShare;
    if (rate <= 0) {
      continue;
    }
    const auto due = budget.mAccruedUntil + FromSeconds(std::max(0.0, needed) / rate) +
                     std::chrono::microseconds(1);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}

auto limit_owner::TakeGrants() -> std::vector<std::pair<peer_id, lease_grant>>
{
  return std::exchange(mGrants, {});
}

auto limit_owner::Dump(instant aNow) const -> boost::json::value
{
  auto budgets = boost::json::object{};
  for (const auto& [name, budget] : mBudgets) {
    if (!budget.mOwned) {
      continue;
    }
    const auto wait = std::max(duration::zero(), budget.mAccruedUntil - aNow.mMonotonic);
    budgets[name] = boost::json::object{ { "rate", budget.mRate * mShare },
                                         { "available", budget.mAvailable },
                                         { "granted", budget.mGranted },
                                         { "waiting", budget.mWaiting.size() },
                                         { "starts_in_seconds", ToSeconds(wait) } };
  }
  return boost::json::object{ { "share", mShare }, { "budgets", std::move(budgets) } };
}

} // namespace bronzering
