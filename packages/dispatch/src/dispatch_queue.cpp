#include <bronzering/dispatch/dispatch_queue.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Requests per second below which a rank counts as silent and is forgotten.
constexpr auto kSilentRate = 0.01;

} // namespace

dispatch_queue::dispatch_queue(endpoint_table& aEndpoints)
  : mEndpoints(aEndpoints)
{
}

auto dispatch_queue::Add(dispatch_ticket aTicket, time_point aNow) -> void
{
  assert(!mQueueKeys.contains(aTicket.mExchange));
  RecordArrival(aTicket, aNow);
  const auto key = queue_key{ aTicket.mRank, LatestStart(aTicket), ++mArrivals };
  mQueueKeys.emplace(aTicket.mExchange, key);
  mTickets.emplace(key, std::move(aTicket));
}

auto dispatch_queue::Cancel(exchange_id aExchange) -> void
{
  const auto found = mQueueKeys.find(aExchange);
  if (found == mQueueKeys.end()) {
    return;
  }
  mTickets.erase(found->second);
  mQueueKeys.erase(found);
}

auto dispatch_queue::Decide(time_point aNow) -> std::vector<dispatch_decision>
{
  auto decisions = std::vector<dispatch_decision>();
  auto outlooks = std::map<std::string, service_outlook, std::less<>>();
  for (auto next = mTickets.begin(); next != mTickets.end();) {
    const auto& ticket = next->second;
    auto& outlook = outlooks[ticket.mService];
    auto decision = DecideOne(ticket, next->first.mLatestStart, outlook, aNow);
    if (!decision) {
      ++outlook.mWaiting;
      ++next;
      continue;
    }
    if (decision->mEndpoint) {
      mEndpoints.Begin(ticket.mExchange, decision->mEndpoint->mId, ticket.mWork, aNow);
      outlook.DropPlans();
    }
    decision->mWaiting = mTickets.size() - 1;
    decisions.push_back(std::move(*decision));
    mQueueKeys.erase(ticket.mExchange);
    next = mTickets.erase(next);
  }
  return decisions;
}

auto dispatch_queue::DecideOne(const dispatch_ticket& aTicket,
                               time_point aLatestStart,
                               service_outlook& aOutlook,
                               time_point aNow) -> std::optional<dispatch_decision>
{
  auto decision = dispatch_decision();
  decision.mExchange = aTicket.mExchange;
  decision.mAllowed = aTicket.mFirstEventBy - aNow;
  decision.mEndpoint = ChooseFor(aTicket, aOutlook, aNow);
  if (decision.mEndpoint) {
    decision.mExpected = decision.mEndpoint->mExpected.mFirstEvent;
    return decision;
  }

  decision.mPlaceExpected = TimeToPlace(aTicket, aOutlook, aNow);
  if (decision.mPlaceExpected && aNow + *decision.mPlaceExpected <= aLatestStart) {
    return std::nullopt;
  }
  if (aNow > aLatestStart) {
    // Whenever a place comes, the work takes longer than the caller waits.
    decision.mPlaceExpected.reset();
  }
  return decision;
}

auto dispatch_queue::service_outlook::DropPlans() -> void
{
  mForecasts.reset();
  mPlans.clear();
  mPlanned = 0;
}

auto dispatch_queue::ChooseFor(const dispatch_ticket& aTicket,
                               service_outlook& aOutlook,
                               time_point aNow) const -> std::optional<endpoint_table::choice>
{
  const auto requirement = RequirementOf(aTicket);
  auto& places = aOutlook.PlacesOf(requirement);
  if (!places.mHasPlace) {
    return std::nullopt;
  }
  const auto allowed = answer_times{ aTicket.mFirstEventBy - aNow, aTicket.mDeadline - aNow };
  auto best = mEndpoints.Choose(
    aTicket.mService, aTicket.mWork, aTicket.mExcluded, requirement, allowed, aNow);
  if (!best) {
    places.mHasPlace = mEndpoints.HasPlace(aTicket.mService, requirement, aNow);
  }
  return best;
}

auto dispatch_queue::Preview(const dispatch_ticket& aTicket, time_point aNow) const
  -> std::optional<endpoint_table::choice>
{
  auto outlook = service_outlook();
  return ChooseFor(aTicket, outlook, aNow);
}

auto dispatch_queue::HasWaiting(std::string_view aService) const -> bool
{
  return std::any_of(mTickets.begin(), mTickets.end(), [aService](const auto& aQueued) {
    return aQueued.second.mService == aService;
  });
}

auto dispatch_queue::MayWait(const dispatch_ticket& aTicket, time_point aNow) const -> bool
{
  const auto place = TimeToPlace(aTicket, aNow);
  return place && aNow + *place <= LatestStart(aTicket);
}

auto dispatch_queue::TimeToPlace(const dispatch_ticket& aTicket, time_point aNow) const
  -> std::optional<duration>
{
  auto outlook = service_outlook();
  const auto key = queue_key{ aTicket.mRank, LatestStart(aTicket), mArrivals };
  const auto end = mTickets.upper_bound(key);
  outlook.mWaiting =
    static_cast<std::size_t>(std::count_if(mTickets.begin(), end, [&](const auto& aQueued) {
      return aQueued.second.mService == aTicket.mService;
    }));
  return TimeToPlace(aTicket, outlook, aNow);
}

auto dispatch_queue::TimeToPlace(const dispatch_ticket& aTicket,
                                 service_outlook& aOutlook,
                                 time_point aNow) const -> std::optional<duration>
{
  if (!aOutlook.mForecasts) {
    aOutlook.mForecasts = mEndpoints.ForecastPlaces(aTicket.mService, aTicket.mWork, aNow);
  }
  const auto* service = mEndpoints.ServiceOf(aTicket.mService);
  const auto& plan = aOutlook.mPlans
                       .try_emplace(aTicket.mExcluded,
                                    *aOutlook.mForecasts,
                                    aTicket.mExcluded,
                                    mEndpoints.OwnDemandShare(),
                                    service != nullptr && service->mIsModel)
                       .first->second;
  if (aOutlook.mRank != aTicket.mRank) {
    aOutlook.mRank = aTicket.mRank;
    aOutlook.mMoreUrgentRate = MoreUrgentRate(aTicket, aNow);
    aOutlook.mPlanned = 0;
  }
  auto first = std::size_t{ 0 };
  auto& from = aTicket.mExcluded.empty() ? aOutlook.mPlanned : first;
  const auto place = plan.TimeTo(aOutlook.mWaiting + 1, aOutlook.mMoreUrgentRate, from);
  if (!place) {
    return std::nullopt;
  }
  const auto requirement = RequirementOf(aTicket);
  auto& admission = aOutlook.PlacesOf(requirement).mAdmission;
  if (!admission) {
    admission = mEndpoints.TimeToAdmission(aTicket.mService, requirement, aNow);
  }
  return std::max(*admission, *place);
}

auto dispatch_queue::LatestStart(const dispatch_ticket& aTicket) const -> time_point
{
  const auto shortest =
    mEndpoints.ShortestTimes(aTicket.mService, aTicket.mWork).value_or(answer_times());
  return std::min(aTicket.mFirstEventBy - WithEstimateMargin(shortest.mFirstEvent),
                  aTicket.mDeadline - WithEstimateMargin(shortest.mEnd));
}

auto dispatch_queue::RequirementOf(const dispatch_ticket& aTicket) const -> slot_requirement
{
  if (aTicket.mNeedsFreeSlot) {
    return slot_requirement::FreeSlot;
  }
  const auto* service = mEndpoints.ServiceOf(aTicket.mService);
  const auto isModel = service != nullptr && service->mIsModel;
  return !isModel || aTicket.mIsUrgent ? slot_requirement::FreeSlotOrQueue
                                       : slot_requirement::FreeSlot;
}

auto dispatch_queue::MoreUrgentRate(const dispatch_ticket& aTicket, time_point aNow) const -> double
{
  auto sum = 0.0;
  if (const auto rates = mArrivalRates.find(aTicket.mService); rates != mArrivalRates.end()) {
    const auto end = rates->second.lower_bound(aTicket.mRank);
    for (auto rank = rates->second.begin(); rank != end; ++rank) {
      sum += rank->second.CertainAt(aNow);
    }
  }
  return sum;
}

auto dispatch_queue::RecordArrival(const dispatch_ticket& aTicket, time_point aNow) -> void
{
  mArrivalRates[aTicket.mService][aTicket.mRank].OnEvent(aNow);
  // Services and ranks come and go with the configuration.
  for (auto& [service, rates] : mArrivalRates) {
    std::erase_if(rates, [aNow](const auto& aRate) { return aRate.second.At(aNow) < kSilentRate; });
  }
  std::erase_if(mArrivalRates, [](const auto& aRates) { return aRates.second.empty(); });
}

} // namespace bronzering
