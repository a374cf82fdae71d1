#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/dispatch/decaying_rate.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/place_plan.h>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
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
  /// No request is more urgent, so this one may wait in the queue of an endpoint.
  bool mIsUrgent = false;
  /// When the caller leaves if no event has arrived since the last one, or since its request.
  time_point mFirstEventBy;
  /// When the caller's time for the whole answer is over.
  time_point mDeadline;
  /// Endpoints that were already tried for this request.
  std::vector<std::string> mExcluded;
  /// Only a free slot will do, whatever the service and the rank.
  bool mNeedsFreeSlot = false;
};

struct dispatch_decision
{
  exchange_id mExchange;
  /// Endpoint to send the request to; empty if the request is rejected.
  std::optional<endpoint_table::choice> mEndpoint;
  /// For rejections: time until a place is expected for the request; empty if none in which it
  /// could end in time is in sight.
  std::optional<duration> mPlaceExpected;
  /// Inputs of the decision, for the log: the endpoint's expected latency, the time in which the
  /// first event has to come, and the number of other requests in the queue.
  duration mExpected{};
  duration mAllowed{};
  std::size_t mWaiting = 0;
};

/// Priority queue that decides when a request is sent and when it is rejected, by rank and then by
/// what must start first to end in its caller's time. So a request that waits is overtaken within
/// its rank only by one that has less time, and requests alike keep their order of arrival.
///
/// A request is sent only where it is expected to be answered before its caller leaves. It waits as
/// long as that stays possible: until its latest start, the caller's time less the work itself. It
/// is rejected as soon as the requests before it, or the more urgent ones that keep arriving, leave
/// no place for it by then, so that its caller loses no time and may be served elsewhere. Whether a
/// request was sent before makes no difference: what counts is the time that its caller still has.
///
/// Engines admit requests in order of arrival and have no priorities. Therefore only the most
/// urgent requests may wait in a model's own queue; all others need a free slot. Under overload, a
/// slot that becomes free thus goes to an urgent request, whichever entry received it. Requests to
/// services that are not models end sooner than entries learn of a free slot, so all of them may.
/// Not thread-safe: owned by the control thread.
class dispatch_queue
{
public:
  explicit dispatch_queue(endpoint_table& aEndpoints);

  /// Precondition: the exchange is not queued.
  auto Add(dispatch_ticket aTicket, time_point aNow) -> void;
  auto Cancel(exchange_id aExchange) -> void;
  /// Returns the decisions that can be made now and removes their tickets from the queue. A
  /// dispatched ticket is added to the outstanding work of its endpoint.
  [[nodiscard]] auto Decide(time_point aNow) -> std::vector<dispatch_decision>;
  /// The endpoint that a request that is not queued would be sent to now; empty if it would not.
  [[nodiscard]] auto Preview(const dispatch_ticket& aTicket, time_point aNow) const
    -> std::optional<endpoint_table::choice>;
  /// Whether a request that is not queued could wait for a place and still end in time.
  [[nodiscard]] auto MayWait(const dispatch_ticket& aTicket, time_point aNow) const -> bool;
  /// Time until a place is expected for a request that is not queued, behind those that would go
  /// before it; empty if none is in sight.
  [[nodiscard]] auto TimeToPlace(const dispatch_ticket& aTicket, time_point aNow) const
    -> std::optional<duration>;
  /// Whether a request waits for the service.
  [[nodiscard]] auto HasWaiting(std::string_view aService) const -> bool;
  [[nodiscard]] auto empty() const -> bool { return mTickets.empty(); }
  [[nodiscard]] auto size() const -> std::size_t { return mTickets.size(); }

private:
  struct queue_key
  {
    request_rank mRank;
    /// Started later, the request would probably end after its caller has left.
    time_point mLatestStart;
    std::uint64_t mArrival = 0;
    // clang-tidy 14 reports the zero in a defaulted comparison as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const queue_key&) const = default;
  };
  /// What a call of Decide has found out so far about the places of a service that a requirement
  /// allows. Sending takes capacity and frees none, so a service without a place stays without one.
  struct place_outlook
  {
    bool mHasPlace = true;
    std::optional<duration> mAdmission;
  };
  struct service_outlook
  {
    place_outlook mFreeSlots;
    place_outlook mQueuePositions;
    /// Requests that keep waiting, before the one that is looked at.
    std::size_t mWaiting = 0;
    std::optional<std::vector<endpoint_forecast>> mForecasts;
    /// Made from mForecasts, by the endpoints that are excluded.
    std::map<std::vector<std::string>, place_plan> mPlans;
    /// Rank of the last request without excluded endpoints, how many more urgent ones arrive, and
    /// how far its plan was used.
    std::optional<request_rank> mRank;
    double mMoreUrgentRate = 0;
    std::size_t mPlanned = 0;

    /// A request was sent, so the forecasts no longer hold.
    auto DropPlans() -> void;
    [[nodiscard]] auto PlacesOf(slot_requirement aRequirement) -> place_outlook&
    {
      return aRequirement == slot_requirement::FreeSlot ? mFreeSlots : mQueuePositions;
    }
  };

  [[nodiscard]] auto DecideOne(const dispatch_ticket& aTicket,
                               time_point aLatestStart,
                               service_outlook& aOutlook,
                               time_point aNow) -> std::optional<dispatch_decision>;
  [[nodiscard]] auto ChooseFor(const dispatch_ticket& aTicket,
                               service_outlook& aOutlook,
                               time_point aNow) const -> std::optional<endpoint_table::choice>;
  /// Time until a place is expected for the request, behind those that keep waiting before it;
  /// empty if none is in sight.
  [[nodiscard]] auto TimeToPlace(const dispatch_ticket& aTicket,
                                 service_outlook& aOutlook,
                                 time_point aNow) const -> std::optional<duration>;
  [[nodiscard]] auto LatestStart(const dispatch_ticket& aTicket) const -> time_point;
  [[nodiscard]] auto RequirementOf(const dispatch_ticket& aTicket) const -> slot_requirement;
  /// Requests per second of more urgent ranks that arrive for the same service.
  [[nodiscard]] auto MoreUrgentRate(const dispatch_ticket& aTicket, time_point aNow) const
    -> double;
  auto RecordArrival(const dispatch_ticket& aTicket, time_point aNow) -> void;

  endpoint_table& mEndpoints;
  std::map<queue_key, dispatch_ticket> mTickets;
  std::unordered_map<exchange_id, queue_key> mQueueKeys;
  std::uint64_t mArrivals = 0;
  std::map<std::string, std::map<request_rank, decaying_rate>, std::less<>> mArrivalRates;
};

} // namespace bronzering
