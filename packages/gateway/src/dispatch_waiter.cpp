#include "dispatch_waiter.h"

#include <bronzering/base/boot_clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bronzering {

namespace {

/// Decisions also depend on the passing of time and on learned speeds, for which nothing calls
/// Wake.
constexpr auto kDecideInterval = std::chrono::milliseconds(10);

} // namespace

dispatch_waiter::dispatch_waiter(boost::asio::io_context& aContext, endpoint_table& aEndpoints)
  : mContext(aContext)
  , mEndpoints(aEndpoints)
  , mQueue(aEndpoints)
  , mTimer(aContext)
{
}

auto dispatch_waiter::Wait(dispatch_ticket aTicket) -> boost::asio::awaitable<dispatch_decision>
{
  const auto exchange = aTicket.mExchange;
  auto entry = pending_wait{ boost::asio::steady_timer(mContext), std::nullopt };
  entry.mSignal.expires_at(boost::asio::steady_timer::time_point::max());
  mWaiting.emplace(exchange, &entry);
  mQueue.Add(std::move(aTicket), ReadBootClock());

  // Withdraws the ticket if the wait ends before the decision, and releases the slot at the
  // endpoint if the wait was cancelled after the decision.
  struct ticket_guard
  {
    dispatch_waiter& mOwner;
    exchange_id mExchange;
    pending_wait& mEntry;
    bool mIsTaken = false;
    ~ticket_guard()
    {
      mOwner.mWaiting.erase(mExchange);
      if (!mEntry.mDecision) {
        mOwner.mQueue.Cancel(mExchange);
      } else if (!mIsTaken) {
        mOwner.mEndpoints.End(mExchange, attempt_result::Abandoned, ReadBootClock());
      }
    }
  } guard{ *this, exchange, entry };

  Decide();
  while (!entry.mDecision) {
    ArmTimer();
    co_await entry.mSignal.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  guard.mIsTaken = true;
  co_return std::move(*entry.mDecision);
}

auto dispatch_waiter::Wake() -> void
{
  if (mQueue.empty() || mIsDecisionPosted) {
    return;
  }
  mIsDecisionPosted = true;
  boost::asio::post(mContext, [this] {
    mIsDecisionPosted = false;
    Decide();
  });
}

auto dispatch_waiter::Decide() -> void
{
  for (auto& decision : mQueue.Decide(ReadBootClock())) {
    const auto found = mWaiting.find(decision.mExchange);
    found->second->mDecision = std::move(decision);
    found->second->mSignal.cancel();
  }
}

auto dispatch_waiter::ArmTimer() -> void
{
  if (mIsTimerArmed) {
    return;
  }
  mIsTimerArmed = true;
  mTimer.expires_after(kDecideInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    mIsTimerArmed = false;
    if (aError) {
      return;
    }
    Decide();
    if (!mQueue.empty()) {
      ArmTimer();
    }
  });
}

} // namespace bronzering
