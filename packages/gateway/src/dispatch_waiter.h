#pragma once

#include <bronzering/dispatch/dispatch_queue.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <unordered_map>

namespace bronzering {

/// Lets coroutines wait for the decisions of a dispatch_queue. The queue is evaluated whenever the
/// outstanding work changes, and at short intervals while requests wait. Control thread only.
class dispatch_waiter
{
public:
  dispatch_waiter(boost::asio::io_context& aContext, endpoint_table& aEndpoints);

  /// Waits for the decision on the ticket. Cancelling the wait withdraws the ticket.
  auto Wait(dispatch_ticket aTicket) -> boost::asio::awaitable<dispatch_decision>;
  /// The queue, for questions about requests that do not wait.
  [[nodiscard]] auto Queue() const -> const dispatch_queue& { return mQueue; }
  /// Schedules an evaluation after the outstanding work or the list of endpoints has changed.
  auto Wake() -> void;
  [[nodiscard]] auto WaitingCount() const -> std::size_t { return mQueue.size(); }

private:
  struct pending_wait
  {
    boost::asio::steady_timer mSignal;
    std::optional<dispatch_decision> mDecision;
  };

  auto Decide() -> void;
  auto ArmTimer() -> void;

  boost::asio::io_context& mContext;
  endpoint_table& mEndpoints;
  dispatch_queue mQueue;
  std::unordered_map<exchange_id, pending_wait*> mWaiting;
  boost::asio::steady_timer mTimer;
  bool mIsTimerArmed = false;
  bool mIsDecisionPosted = false;
};

} // namespace bronzering
