#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_table.h>

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// A request that is queued until an endpoint is chosen.
struct dispatch_ticket
{
  exchange_id mExchange;
  std::string mService;
  token_work mWork;
  request_rank mRank;
  /// The request has the most urgent rank and may wait in the queue of an endpoint.
  bool mIsUrgent = false;
  time_point mArrived;
  /// Latency objective, counted from mArrived.
  duration mObjective{};
  time_point mDeadline;
  /// Endpoints that were already tried for this request.
  std::vector<std::string> mExcluded;
  /// A retry of a request that may have run or has delivered events. It does not wait here: it is
  /// sent at once if there is any endpoint, and rejected otherwise.
  bool mIsRetry = false;
};

struct dispatch_decision
{
  exchange_id mExchange;
  /// Endpoint to send the request to; empty if the request is rejected.
  std::optional<endpoint_table::choice> mEndpoint;
  /// For rejections: time after which the caller should retry.
  duration mRetryAfter{};
  /// Inputs of the decision, for the log: the endpoint's expected latency, the time left until the
  /// latency objective, and the number of other requests in the queue.
  duration mExpected{};
  duration mAllowed{};
  std::size_t mWaiting = 0;
};

/// Priority queue that decides when a request is sent and when it is rejected, by rank and then by
/// order of arrival. Engines admit requests in order of arrival and have no priorities. Therefore
/// only the most urgent requests may wait in an endpoint's queue, as long as their latency
/// objective can still be met; all others need a free slot. Under overload, a slot that becomes
/// free thus goes to an urgent request, whichever entry received it. A request waits in this queue
/// only briefly and is then rejected with a retry delay, because a long queue would delay every
/// request beyond its objective. Not thread-safe: owned by the control thread.
class dispatch_queue
{
public:
  explicit dispatch_queue(endpoint_table& aEndpoints);

  /// Precondition: the exchange is not queued.
  auto Add(dispatch_ticket aTicket) -> void;
  auto Cancel(exchange_id aExchange) -> void;
  /// Returns the decisions that can be made now and removes their tickets from the queue. A
  /// dispatched ticket is added to the outstanding work of its endpoint.
  [[nodiscard]] auto Decide(time_point aNow) -> std::vector<dispatch_decision>;
  [[nodiscard]] auto empty() const -> bool { return mTickets.empty(); }
  [[nodiscard]] auto size() const -> std::size_t { return mTickets.size(); }

private:
  struct queue_key
  {
    request_rank mRank;
    std::uint64_t mArrival = 0;
    // clang-tidy 14 reports the zero in a defaulted comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const queue_key&) const = default;
  };

  [[nodiscard]] auto DecideOne(const dispatch_ticket& aTicket, time_point aNow)
    -> std::optional<dispatch_decision>;
  [[nodiscard]] auto ChooseFor(const dispatch_ticket& aTicket, time_point aNow)
    -> std::optional<endpoint_table::choice>;
  [[nodiscard]] auto RequirementOf(const dispatch_ticket& aTicket) const -> slot_requirement;

  endpoint_table& mEndpoints;
  std::map<queue_key, dispatch_ticket> mTickets;
  std::unordered_map<exchange_id, queue_key> mQueueKeys;
  std::uint64_t mArrivals = 0;
  /// Services without a free slot, as found since Decide was called.
  std::set<std::string, std::less<>> mFullServices;
};

} // namespace bronzering
