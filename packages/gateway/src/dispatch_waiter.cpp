#include "dispatch_waiter.h"

#include <bronzering/base/boot_clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace bronzering {

namespace {

/// Peers' digests and learned speeds change the expectations without any event of this entry.
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
  auto entry = waiting{ boost::asio::steady_timer(mContext), std::nullopt };
  entry.mSignal.expires_at(boost::asio::steady_timer::time_point::max());
  mWaiting.emplace(exchange, &entry);
  mQueue.Add(std::move(aTicket));

  // Takes the ticket back if the wait ends in any way before it was decided, and gives back the
  // place at the endpoint if the decision came too late.
  struct withdrawal
  {
    dispatch_waiter& mOwner;
    exchange_id mExchange;
    waiting& mEntry;
    bool mIsTaken = false;
    ~withdrawal()
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
  if (mQueue.empty() || mIsPosted) {
    return;
  }
  mIsPosted = true;
  boost::asio::post(mContext, [this] {
    mIsPosted = false;
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
  if (mIsArmed) {
    return;
  }
  mIsArmed = true;
  mTimer.expires_after(kDecideInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    mIsArmed = false;
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
