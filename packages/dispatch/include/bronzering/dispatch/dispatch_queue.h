#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_table.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// A request that waits for an endpoint.
struct dispatch_ticket
{
  exchange_id mExchange;
  std::string mService;
  token_work mWork;
  request_rank mRank;
  /// It is as urgent as any, and may queue at endpoints.
  bool mIsUrgent = false;
  time_point mArrived;
  /// Latency objective, counted from mArrived.
  duration mObjective{};
  time_point mDeadline;
  /// Endpoints that it was sent to already.
  std::vector<std::string> mExcluded;
  /// It may have run, or has already delivered events: it is sent as soon as there is an endpoint.
  bool mIsRetry = false;
};

struct dispatch_decision
{
  exchange_id mExchange;
  /// Where to send the request; empty when it is refused.
  std::optional<endpoint_table::choice> mEndpoint;
  /// For refusals: when capacity is expected.
  duration mRetryAfter{};
  /// Inputs of the decision, for the log.
  duration mExpected{};
  duration mAllowed{};
  std::size_t mWaiting = 0;
};

/// Decides when a request is sent and when it is refused, by rank and then by arrival. Engines
/// admit in the order of arrival and know no priorities. The most urgent requests may therefore
/// queue at an endpoint while their objective can be met; the others need a free place, so that
/// under overload a place that becomes free is an urgent request's, whichever entry it came to. A
/// request waits here for a short time only and is then refused with a time to come back: long
/// queues would make all of them late. Not thread-safe: owned by the control thread.
class dispatch_queue
{
public:
  explicit dispatch_queue(endpoint_table& aEndpoints);

  /// Precondition: the exchange does not wait already.
  auto Add(dispatch_ticket aTicket) -> void;
  auto Cancel(exchange_id aExchange) -> void;
  /// Decides what can be decided now. A ticket that is decided has left the queue, and a dispatched
  /// one is counted at its endpoint.
  [[nodiscard]] auto Decide(time_point aNow) -> std::vector<dispatch_decision>;
  [[nodiscard]] auto empty() const -> bool { return mTickets.empty(); }
  [[nodiscard]] auto size() const -> std::size_t { return mTickets.size(); }

private:
  struct place
  {
    request_rank mRank;
    std::uint64_t mArrival = 0;
    // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const place&) const = default;
  };

  [[nodiscard]] auto DecideOne(const dispatch_ticket& aTicket, time_point aNow) const
    -> std::optional<dispatch_decision>;
  [[nodiscard]] auto ClaimOf(const dispatch_ticket& aTicket) const -> place_claim;

  endpoint_table& mEndpoints;
  std::map<place, dispatch_ticket> mTickets;
  std::unordered_map<exchange_id, place> mPlaces;
  std::uint64_t mArrivals = 0;
};

} // namespace bronzering
