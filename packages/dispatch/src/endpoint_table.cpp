#include <bronzering/dispatch/endpoint_table.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace bronzering {

namespace {

// A duration that is given as a bare number is in microseconds.

/// Assumed speed of a model without measurements, that of a large model on current hardware: time
/// per generated token, and microseconds per prompt token.
constexpr auto kDefaultTokenTime = duration(4'000);
constexpr auto kDefaultPromptTokenMicros = 20.0;
/// Assumed time per request of an endpoint without measurements whose service is not a model.
constexpr auto kDefaultServiceTime = duration(30'000);
/// Round trip and fixed cost of the first event, without prefill.
constexpr auto kFirstEventBase = duration(30'000);
/// Expected round-trip cost of an endpoint in another availability zone.
constexpr auto kCrossZoneDelay = duration(10'000);
/// What is added to the expected latency of a cold endpoint when endpoints are compared. It is
/// slower than measured by an unknown factor, so an idle warm endpoint is preferred.
constexpr auto kColdHandicap = duration(50'000);

/// Longest expected wait in an endpoint's own queue: what digests between availability zones take.
/// Without it a slot would stay empty until the entries that hold requests learn that it is free. A
/// longer queue there could not be put in another order when a more urgent request arrives, and
/// would be lost with the endpoint.
constexpr auto kMaxSlotWait = duration(std::chrono::milliseconds(200));

/// Weights of a new sample in the exponential moving averages of measured speeds, 0 to 1.
constexpr auto kTokenTimeWeight = 0.05;
constexpr auto kPromptTimeWeight = 0.15;
constexpr auto kServiceTimeWeight = 0.1;
constexpr auto kSlotTimeWeight = 0.05;
/// Shorter prompts are not measured: fixed costs dominate their prefill time.
constexpr auto kMinMeasuredPromptTokens = 512U;
/// A longer time per token is a stall and is not measured as generation speed.
constexpr auto kMaxMeasuredTokenTime = duration(100'000);
/// Minimum remaining output assumed for a request that exceeds its estimate.
constexpr auto kMinRemainingTokens = 32U;

/// Weight of one result in the moving average of the failure rate (0 to 1), and the time that a
/// caller loses by a failed attempt: until the failure is noticed and the request is sent again. An
/// endpoint's expected latency includes it in proportion to its failure rate.
constexpr auto kFailureWeight = 0.1;
constexpr auto kFailurePenalty = duration(std::chrono::milliseconds(400));
/// Number of consecutive failures of any kind from which on an endpoint is avoided. An unreachable
/// or stalled endpoint is avoided from the first failure on.
constexpr auto kFailuresToAvoid = 2U;
/// Avoidance starts with the first duration and doubles with each failure beyond kFailuresToAvoid,
/// up to the maximum.
constexpr auto kFirstAvoidance = duration(std::chrono::milliseconds(500));
constexpr auto kMaxAvoidance = duration(std::chrono::seconds(2));
/// Keeps the doubling from overflowing. It is large enough that kMaxAvoidance is always the
/// effective limit.
constexpr auto kMaxAvoidanceDoublings = 3U;

auto UpdateAverage(double aOld, double aSample, double aWeight) -> double
{
  return aOld == 0 ? aSample : aOld + aWeight * (aSample - aOld);
}

auto TokenTimeOf(const endpoint_speed& aSpeed) -> duration
{
  return aSpeed.mTokenTime == duration::zero() ? kDefaultTokenTime : aSpeed.mTokenTime;
}

auto ServiceTimeOf(const endpoint_speed& aSpeed) -> duration
{
  return aSpeed.mTokenTime == duration::zero() ? kDefaultServiceTime : aSpeed.mTokenTime;
}

auto UsableShare(slot_requirement aRequirement) -> rate_share
{
  return aRequirement == slot_requirement::FreeSlot ? rate_share::Unreserved : rate_share::Whole;
}

} // namespace

auto HashEndpointId(std::string_view aId) -> endpoint_key
{
  return static_cast<endpoint_key>(HashText(aId));
}

endpoint_table::endpoint_table(std::string aAvailabilityZone, std::string aSelf)
  : mPreference(aSelf, std::move(aAvailabilityZone))
  , mRateLimits(aSelf)
  , mColdLimits(std::move(aSelf))
{
}

auto endpoint_table::Configure(const std::vector<service_spec>& aServices) -> void
{
  mServices.clear();
  for (const auto& service : aServices) {
    mServices.emplace(service.mName, service);
  }
  std::erase_if(mSlotTimes,
                [this](const auto& aEntry) { return !mServices.contains(aEntry.first); });
}

auto endpoint_table::Apply(std::vector<listed_endpoint> aEndpoints, time_point aNow) -> void
{
  mRateLimits.SetEndpoints(aEndpoints, aNow);
  auto previous = std::move(mEndpoints);
  mEndpoints.clear();
  for (auto& listed : aEndpoints) {
    const auto found = previous.find(listed.mId);
    auto state = endpoint_state{};
    if (found != previous.end() && found->second.mListed.mIncarnation == listed.mIncarnation) {
      state = std::move(found->second);
    } else {
      state.mAvoidUntil = aNow;
      state.mStatedColdUntil = aNow;
      state.mReturnColdUntil = aNow;
    }
    // An item that is read again says nothing new about the time that is left.
    if (listed.mWritten != state.mListed.mWritten) {
      state.mStatedColdUntil = aNow + listed.mColdLeft;
    }
    state.mIncarnationKey = HashEndpointIncarnation(listed.mId, listed.mIncarnation);
    state.mOwnLoad.mKey = HashEndpointId(listed.mId);
    state.mSpeed.mKey = state.mOwnLoad.mKey;
    const auto* service = ServiceOf(listed.mService);
    state.mHandicap = mPreference.Handicap(
      listed.mId, listed.mAvailabilityZone, service != nullptr && service->mIsModel);
    state.mIsEvacuated = mEvacuatedZones.contains(listed.mAvailabilityZone);
    auto id = listed.mId;
    state.mListed = std::move(listed);
    UpdateColdLimit(state, aNow);
    mEndpoints.emplace(std::move(id), std::move(state));
  }
  mByService.clear();
  for (auto& [id, endpoint] : mEndpoints) {
    mByService[endpoint.mListed.mService].push_back(&endpoint);
  }
}

auto endpoint_table::SetEvacuatedZones(std::set<std::string> aZones, time_point aNow) -> void
{
  mEvacuatedZones = std::move(aZones);
  for (auto& [id, endpoint] : mEndpoints) {
    const auto isEvacuated = mEvacuatedZones.contains(endpoint.mListed.mAvailabilityZone);
    const auto wasEvacuated = std::exchange(endpoint.mIsEvacuated, isEvacuated);
    const auto* service = ServiceOf(endpoint.mListed.mService);
    if (wasEvacuated && !isEvacuated && service != nullptr) {
      endpoint.mReturnColdUntil = aNow + service->mColdTime;
      UpdateColdLimit(endpoint, aNow);
    }
  }
}

auto endpoint_table::SetMembers(const std::vector<entry_demand>& aMembers,
                                time_point aNow,
                                bool aIsIsolated) -> void
{
  mRateLimits.SetMembers(aMembers, aNow);
  if (!aIsIsolated) {
    mColdLimits.SetMembers(aMembers, aNow);
  }
}

auto endpoint_table::UpdateColdLimit(const endpoint_state& aEndpoint, time_point aNow) -> void
{
  const auto* service = ServiceOf(aEndpoint.mListed.mService);
  const auto until = std::max(aEndpoint.mStatedColdUntil, aEndpoint.mReturnColdUntil);
  if (service != nullptr && service->mColdRate > 0 && until > aNow) {
    mColdLimits.SetCold(aEndpoint.mIncarnationKey, service->mColdRate, until, aNow);
  } else {
    mColdLimits.SetWarm(aEndpoint.mIncarnationKey);
  }
}

auto endpoint_table::TimeToAdmission(const endpoint_state& aEndpoint,
                                     slot_requirement aRequirement,
                                     time_point aNow) const -> std::optional<duration>
{
  const auto limited =
    mRateLimits.TimeToAdmission(aEndpoint.mIncarnationKey, UsableShare(aRequirement), aNow);
  const auto cold = mColdLimits.TimeToAdmission(aEndpoint.mIncarnationKey, aNow);
  return limited ? std::optional(std::max(*limited, cold)) : std::nullopt;
}

auto endpoint_table::OwnRate(const endpoint_state& aEndpoint, time_point aNow) const -> double
{
  constexpr auto kUnlimited = std::numeric_limits<double>::max();
  return std::min(mRateLimits.OwnRate(aEndpoint.mIncarnationKey).value_or(kUnlimited),
                  mColdLimits.OwnRate(aEndpoint.mIncarnationKey, aNow).value_or(kUnlimited));
}

template<class Visitor>
auto endpoint_table::ForEachPlace(const service_spec& aService,
                                  const std::vector<std::string>& aExcluded,
                                  slot_requirement aRequirement,
                                  time_point aNow,
                                  Visitor&& aVisitor) const -> void
{
  const auto listedEndpoints = mByService.find(aService.mName);
  if (listedEndpoints == mByService.end()) {
    return;
  }
  const auto& endpoints = listedEndpoints->second;
  const auto isCandidate = [&](const endpoint_state& aEndpoint) {
    return !IsClosed(aEndpoint) && aEndpoint.mPausedUntil <= aNow &&
           mColdLimits.OwnRate(aEndpoint.mIncarnationKey, aNow) != 0.0 &&
           std::find(aExcluded.begin(), aExcluded.end(), aEndpoint.mListed.mId) == aExcluded.end();
  };
  // A failing endpoint tends to have free slots. As long as there is a candidate that is not
  // avoided, avoided endpoints are not chosen, even if all others are full.
  const auto hasHealthy =
    std::any_of(endpoints.begin(), endpoints.end(), [&](const endpoint_state* aEndpoint) {
      return aEndpoint->mAvoidUntil <= aNow && isCandidate(*aEndpoint);
    });
  for (const auto* endpoint : endpoints) {
    if ((hasHealthy && endpoint->mAvoidUntil > aNow) || !isCandidate(*endpoint)) {
      continue;
    }
    const auto total = TotalLoad(*endpoint);
    const auto hasConnection =
      aService.mMaxConnections == 0 || total.mRequests < aService.mMaxConnections;
    const auto hasSlot = total.mRequests < endpoint->mListed.mSlots ||
                         (aRequirement == slot_requirement::FreeSlotOrQueue &&
                          SlotWait(*endpoint, aService, total) <= kMaxSlotWait);
    const auto admission = TimeToAdmission(*endpoint, aRequirement, aNow);
    if (hasConnection && hasSlot && admission == duration::zero() && !aVisitor(*endpoint, total)) {
      return;
    }
  }
}

auto endpoint_table::Choose(std::string_view aService,
                            const token_work& aWork,
                            const std::vector<std::string>& aExcluded,
                            slot_requirement aRequirement,
                            const answer_times& aAllowed,
                            time_point aNow) const -> std::optional<choice>
{
  const auto* service = ServiceOf(aService);
  if (service == nullptr) {
    return std::nullopt;
  }
  auto best = std::optional<choice>();
  auto leastCost = duration::max();
  ForEachPlace(*service,
               aExcluded,
               aRequirement,
               aNow,
               [&](const endpoint_state& aEndpoint, const endpoint_load& aTotal) {
                 const auto expected = ExpectedTimes(aEndpoint, *service, aTotal, aWork);
                 const auto isCold = mColdLimits.IsCold(aEndpoint.mIncarnationKey, aNow);
                 const auto cost = expected.mFirstEvent + aEndpoint.mHandicap +
                                   (isCold ? kColdHandicap : duration::zero());
                 if (FitsInto(expected, aAllowed) && (!best || cost < leastCost)) {
                   leastCost = cost;
                   const auto& listed = aEndpoint.mListed;
                   best = choice{ listed.mId,
                                  listed.mIncarnation,
                                  listed.mAddress,
                                  expected,
                                  aTotal.mRequests < listed.mSlots };
                 }
                 return true;
               });
  return best;
}

auto endpoint_table::HasPlace(std::string_view aService,
                              slot_requirement aRequirement,
                              time_point aNow) const -> bool
{
  auto isFound = false;
  if (const auto* service = ServiceOf(aService); service != nullptr) {
    ForEachPlace(*service, {}, aRequirement, aNow, [&](const auto&, const auto&) {
      isFound = true;
      return false;
    });
  }
  return isFound;
}

auto endpoint_table::ShortestTimes(std::string_view aService, const token_work& aWork) const
  -> std::optional<answer_times>
{
  const auto* service = ServiceOf(aService);
  const auto endpoints = mByService.find(aService);
  auto shortest = std::optional<answer_times>();
  if (service == nullptr || endpoints == mByService.end()) {
    return shortest;
  }
  for (const auto* endpoint : endpoints->second) {
    if (IsClosed(*endpoint)) {
      continue;
    }
    const auto times = ExpectedTimes(*endpoint, *service, {}, aWork);
    if (!shortest || times.mEnd < shortest->mEnd) {
      shortest = times;
    }
  }
  return shortest;
}

auto endpoint_table::PlaceRate(std::string_view aService,
                               const token_work& aWork,
                               const std::vector<std::string>& aExcluded,
                               time_point aNow) const -> double
{
  const auto* service = ServiceOf(aService);
  const auto endpoints = mByService.find(aService);
  if (service == nullptr || endpoints == mByService.end()) {
    return 0;
  }
  // Endpoints that are avoided or want a pause count only if there is no other.
  auto openRate = 0.0;
  auto closedRate = 0.0;
  for (const auto* endpoint : endpoints->second) {
    if (IsClosed(*endpoint) ||
        std::find(aExcluded.begin(), aExcluded.end(), endpoint->mListed.mId) != aExcluded.end()) {
      continue;
    }
    const auto rate = PlaceRate(*endpoint, OccupiedTime(*endpoint, *service, aWork), aNow);
    const auto isOpen = ClosedFor(*endpoint, aNow) == duration::zero();
    (isOpen ? openRate : closedRate) += rate;
  }
  return openRate > 0 ? openRate : closedRate;
}

auto endpoint_table::OccupiedTime(const endpoint_state& aEndpoint,
                                  const service_spec& aService,
                                  const token_work& aWork) const -> duration
{
  const auto slotTime = mSlotTimes.find(aService.mName);
  const auto occupied = slotTime != mSlotTimes.end()
                          ? slotTime->second
                          : ExpectedTimes(aEndpoint, aService, {}, aWork).mEnd;
  return std::max<duration>(occupied, duration(1));
}

auto endpoint_table::PlaceRate(const endpoint_state& aEndpoint,
                               duration aOccupied,
                               time_point aNow) const -> double
{
  const auto rate = mRateLimits.OwnDemandShare() * aEndpoint.mListed.mSlots / ToSeconds(aOccupied);
  // A cold endpoint of other entries is a place for later, with its usual rate.
  return IsColdForOthers(aEndpoint, aNow) ? rate : std::min(rate, OwnRate(aEndpoint, aNow));
}

auto endpoint_table::IsColdForOthers(const endpoint_state& aEndpoint, time_point aNow) const -> bool
{
  return mColdLimits.OwnRate(aEndpoint.mIncarnationKey, aNow) == 0.0;
}

auto endpoint_table::ClosedFor(const endpoint_state& aEndpoint, time_point aNow) const -> duration
{
  const auto cold = IsColdForOthers(aEndpoint, aNow)
                      ? mColdLimits.TimeToAdmission(aEndpoint.mIncarnationKey, aNow)
                      : duration::zero();
  return std::max(
    { cold, duration(aEndpoint.mAvoidUntil - aNow), duration(aEndpoint.mPausedUntil - aNow) });
}

auto endpoint_table::ForecastPlaces(std::string_view aService,
                                    const token_work& aWork,
                                    time_point aNow) const -> std::vector<endpoint_forecast>
{
  auto forecasts = std::vector<endpoint_forecast>();
  const auto* service = ServiceOf(aService);
  const auto endpoints = mByService.find(aService);
  if (service == nullptr || endpoints == mByService.end()) {
    return forecasts;
  }
  struct own_requests
  {
    std::uint64_t mIncarnation = 0;
    own_ends mEnds;
  };
  auto own = std::unordered_map<std::string_view, own_requests>();
  for (const auto* endpoint : endpoints->second) {
    own[endpoint->mListed.mId].mIncarnation = endpoint->mListed.mIncarnation;
  }
  const auto slotTime = mSlotTimes.find(aService);
  for (const auto& [exchange, sent] : mOutstanding) {
    const auto found = own.find(sent.mEndpoint);
    if (found == own.end() || found->second.mIncarnation != sent.mIncarnation) {
      continue;
    }
    auto end = sent.mExpectedEnd;
    if (service->mIsModel && sent.mHadFreeSlot && !sent.mHasFirstEvent &&
        slotTime != mSlotTimes.end()) {
      // The length of an answer that has not begun may be no more than a limit that the caller set.
      end = std::min(end, sent.mSent + slotTime->second);
    }
    // A request that is overdue is expected to take as long again as it is late, so that one that
    // never ends soon promises no place.
    const auto left = duration(end - aNow);
    auto& ends = found->second.mEnds;
    ends.mTimes.push_back(left < duration::zero() ? -left : left);
    ends.mMaybeQueued += !sent.mHadFreeSlot && !sent.mHasFirstEvent ? 1 : 0;
  }
  forecasts.reserve(endpoints->second.size());
  for (const auto* endpoint : endpoints->second) {
    if (IsClosed(*endpoint)) {
      continue;
    }
    auto forecast = endpoint_forecast();
    forecast.mId = endpoint->mListed.mId;
    const auto closed = ClosedFor(*endpoint, aNow);
    forecast.mIsOpen = closed == duration::zero();
    forecast.mPeriod = OccupiedTime(*endpoint, *service, aWork);
    forecast.mRate = PlaceRate(*endpoint, forecast.mPeriod, aNow);
    if (IsColdForOthers(*endpoint, aNow) || forecast.mRate < OwnRate(*endpoint, aNow)) {
      forecast.mPlaces =
        ComingPlaces(*endpoint, *service, std::move(own[forecast.mId].mEnds), forecast.mPeriod);
      for (auto& place : forecast.mPlaces) {
        place.mTime = std::max(place.mTime, closed);
      }
    }
    forecasts.push_back(std::move(forecast));
  }
  return forecasts;
}

auto endpoint_table::ComingPlaces(const endpoint_state& aEndpoint,
                                  const service_spec& aService,
                                  own_ends aOwnEnds,
                                  duration aOccupied) const -> std::vector<coming_place>
{
  const auto slots = std::size_t{ std::max(aEndpoint.mListed.mSlots, 1U) };
  const auto peers = mPeerTotals.find(aEndpoint.mOwnLoad.mKey);
  const auto peerLoad = peers == mPeerTotals.end() ? endpoint_load() : peers->second;

  // Requests that exceed the slots wait at the endpoint; of this entry's, the last to end.
  const auto requests = aOwnEnds.mTimes.size() + peerLoad.mRequests;
  const auto queued = requests - std::min(requests, slots);
  const auto ownQueued = std::min(queued, aOwnEnds.mMaybeQueued);
  const auto peersRunning =
    peerLoad.mRequests - std::min<std::size_t>(peerLoad.mRequests, queued - ownQueued);
  auto& own = aOwnEnds.mTimes;
  std::sort(own.begin(), own.end());
  own.resize(own.size() - ownQueued);

  auto places = std::vector<coming_place>();
  places.reserve(slots);
  for (const auto& end : own) {
    places.push_back({ end, true });
  }
  const auto spread = [&places](std::size_t aCount, duration aWithin) {
    for (auto index = std::size_t{ 1 }; index <= aCount; ++index) {
      const auto part = static_cast<double>(index) / static_cast<double>(aCount + 1);
      places.push_back({ FromSeconds(ToSeconds(aWithin) * part), false });
    }
  };
  auto within = aOccupied;
  if (aService.mIsModel && peerLoad.mRequests > 0) {
    const auto meanTokens =
      std::max<std::uint64_t>(peerLoad.mOutputTokens / peerLoad.mRequests, kMinRemainingTokens);
    within = 2 * TokenTimeOf(EffectiveSpeed(aEndpoint)) * static_cast<duration::rep>(meanTokens);
  }
  spread(peersRunning, within);
  // Slots that are free now are of no use to the requests that wait; when they will be, is not
  // known.
  spread(slots - std::min(slots, places.size()), aOccupied);

  // Those that wait at the endpoint take the slots that become free first.
  const auto isLater = [](const auto& aLeft, const auto& aRight) {
    return aLeft.mTime > aRight.mTime;
  };
  std::make_heap(places.begin(), places.end(), isLater);
  for (auto index = std::size_t{ 0 }; index < queued; ++index) {
    std::pop_heap(places.begin(), places.end(), isLater);
    places.back() = { places.back().mTime + aOccupied, index < ownQueued };
    std::push_heap(places.begin(), places.end(), isLater);
  }
  return places;
}

auto endpoint_table::Begin(exchange_id aExchange,
                           const std::string& aEndpoint,
                           const token_work& aWork,
                           time_point aNow) -> void
{
  assert(!mOutstanding.contains(aExchange));
  const auto found = mEndpoints.find(aEndpoint);
  if (found == mEndpoints.end()) {
    return;
  }
  auto& endpoint = found->second;
  const auto total = TotalLoad(endpoint);
  const auto* service = ServiceOf(endpoint.mListed.mService);
  const auto expected =
    service == nullptr ? answer_times() : ExpectedTimes(endpoint, *service, total, aWork);
  mOutstanding.emplace(aExchange,
                       outstanding_request{ aEndpoint,
                                            endpoint.mListed.mIncarnation,
                                            aWork,
                                            aWork.mOutputTokens,
                                            total.mPromptTokens,
                                            total.mRequests < endpoint.mListed.mSlots,
                                            false,
                                            aNow,
                                            aNow,
                                            aNow,
                                            aNow + expected.mEnd });
  mRateLimits.OnSent(endpoint.mIncarnationKey, aNow);
  mColdLimits.OnSent(endpoint.mIncarnationKey, aNow);
  ++endpoint.mOwnLoad.mRequests;
  endpoint.mOwnLoad.mPromptTokens += aWork.mPromptTokens;
  endpoint.mOwnLoad.mOutputTokens += aWork.mOutputTokens;
}

auto endpoint_table::OnEvents(exchange_id aExchange, std::uint32_t aEvents, time_point aNow) -> void
{
  const auto found = mOutstanding.find(aExchange);
  if (found == mOutstanding.end() || aEvents == 0) {
    return;
  }
  auto& sent = found->second;
  auto* endpoint = Find(sent);
  if (endpoint == nullptr) {
    return;
  }
  const auto* service = ServiceOf(endpoint->mListed.mService);
  const auto tokens =
    std::uint64_t{ aEvents } * (service == nullptr ? 1 : service->mTokensPerEvent);

  // The first event gives the prefill speed, later events the generation speed.
  if (!sent.mHasFirstEvent) {
    MeasurePrefillSpeed(*endpoint, sent, aNow);
    sent.mHasFirstEvent = true;
    sent.mFirstEvent = aNow;
    endpoint->mOwnLoad.mPromptTokens -=
      std::min(endpoint->mOwnLoad.mPromptTokens, sent.mWork.mPromptTokens);
  } else {
    MeasureGenerationSpeed(*endpoint, sent, tokens, aNow);
  }
  sent.mLastEvent = aNow;

  // A request that exceeds its estimate is still generating, so its remaining output does not fall
  // below kMinRemainingTokens, or below its estimate if that is smaller.
  const auto least = std::min<std::uint64_t>(sent.mRemainingTokens, kMinRemainingTokens);
  const auto remaining =
    std::max(least, sent.mRemainingTokens - std::min(sent.mRemainingTokens, tokens));
  endpoint->mOwnLoad.mOutputTokens -=
    std::min(endpoint->mOwnLoad.mOutputTokens, sent.mRemainingTokens - remaining);
  sent.mRemainingTokens = remaining;
  if (service != nullptr && service->mIsModel) {
    sent.mExpectedEnd =
      aNow + TokenTimeOf(EffectiveSpeed(*endpoint)) * static_cast<duration::rep>(remaining);
  }
}

auto endpoint_table::End(exchange_id aExchange, attempt_result aResult, time_point aNow) -> void
{
  const auto found = mOutstanding.find(aExchange);
  if (found == mOutstanding.end()) {
    return;
  }
  const auto sent = found->second;
  mOutstanding.erase(found);
  auto* endpoint = Find(sent);
  if (endpoint == nullptr) {
    return;
  }

  // Subtract the request from the outstanding work.
  auto& ownLoad = endpoint->mOwnLoad;
  ownLoad.mRequests -= std::min(ownLoad.mRequests, 1U);
  if (!sent.mHasFirstEvent) {
    ownLoad.mPromptTokens -= std::min(ownLoad.mPromptTokens, sent.mWork.mPromptTokens);
  }
  ownLoad.mOutputTokens -= std::min(ownLoad.mOutputTokens, sent.mRemainingTokens);

  if (aResult == attempt_result::Answered || aResult == attempt_result::Failed) {
    MeasureSlotTime(*endpoint, sent, aNow);
  }

  // Update health and, for services that are not models, speed.
  switch (aResult) {
    case attempt_result::Answered: {
      const auto* service = ServiceOf(endpoint->mListed.mService);
      if (service != nullptr && !service->mIsModel && sent.mHadFreeSlot) {
        MeasureServiceTime(*endpoint, aNow - sent.mSent);
      }
      endpoint->mConsecutiveFailures = 0;
      endpoint->mFailureRate -= kFailureWeight * endpoint->mFailureRate;
      break;
    }
    case attempt_result::Declined:
      // It is full, whatever is known of its load. A request that is sent there before a slot is
      // free only loses its caller's time.
      endpoint->mAvoidUntil = std::max(endpoint->mAvoidUntil, aNow + SlotInterval(*endpoint));
      break;
    case attempt_result::Unreachable:
      AddFailure(*endpoint, kFirstAvoidance, aNow);
      break;
    case attempt_result::Failed:
      AddFailure(*endpoint, duration::zero(), aNow);
      break;
    case attempt_result::Abandoned:
      break;
  }
}

auto endpoint_table::OnOvertaken(exchange_id aExchange, duration aTime) -> void
{
  const auto found = mOutstanding.find(aExchange);
  auto* endpoint = found == mOutstanding.end() ? nullptr : Find(found->second);
  const auto* service = endpoint == nullptr ? nullptr : ServiceOf(endpoint->mListed.mService);
  if (service == nullptr || !found->second.mHadFreeSlot || found->second.mHasFirstEvent) {
    return;
  }
  const auto previous = endpoint->mSpeed;
  if (service->mIsModel) {
    MeasurePrefillSpeed(*endpoint, found->second, found->second.mSent + aTime);
  } else {
    MeasureServiceTime(*endpoint, aTime);
  }
  endpoint->mSpeed.mTokenTime = std::max(endpoint->mSpeed.mTokenTime, previous.mTokenTime);
  endpoint->mSpeed.mPromptTokenMicros =
    std::max(endpoint->mSpeed.mPromptTokenMicros, previous.mPromptTokenMicros);
}

auto endpoint_table::OnStall(exchange_id aExchange, time_point aNow) -> void
{
  const auto found = mOutstanding.find(aExchange);
  if (found == mOutstanding.end()) {
    return;
  }
  if (auto* endpoint = Find(found->second); endpoint != nullptr) {
    AddFailure(*endpoint, kFirstAvoidance, aNow);
  }
}

auto endpoint_table::OnLeavingAnswer(const std::string& aEndpoint, std::uint64_t aIncarnation)
  -> bool
{
  const auto found = mEndpoints.find(aEndpoint);
  if (found == mEndpoints.end() || found->second.mListed.mIncarnation != aIncarnation) {
    return false;
  }
  return !std::exchange(found->second.mHasAnsweredLeaving, true);
}

auto endpoint_table::OnPauseRequested(const std::string& aEndpoint,
                                      std::uint64_t aIncarnation,
                                      duration aPause,
                                      time_point aNow) -> bool
{
  assert(aPause >= duration::zero() && aPause <= kMaxPause);
  const auto found = mEndpoints.find(aEndpoint);
  if (found == mEndpoints.end() || found->second.mListed.mIncarnation != aIncarnation) {
    return false;
  }
  auto& until = found->second.mPausedUntil;
  until = std::max(until, aNow + aPause);
  return true;
}

auto endpoint_table::SetPeerLoads(const std::string& aPeer,
                                  const std::vector<endpoint_load>& aLoads) -> void
{
  auto& loads = mPeerLoads[aPeer];
  SubtractFromPeerTotals(loads);
  loads = aLoads;
  AddToPeerTotals(loads);
}

auto endpoint_table::AddToPeerTotals(const std::vector<endpoint_load>& aLoads) -> void
{
  for (const auto& load : aLoads) {
    auto& total = mPeerTotals[load.mKey];
    total.mRequests += load.mRequests;
    total.mPromptTokens += load.mPromptTokens;
    total.mOutputTokens += load.mOutputTokens;
  }
}

auto endpoint_table::SubtractFromPeerTotals(const std::vector<endpoint_load>& aLoads) -> void
{
  for (const auto& load : aLoads) {
    const auto found = mPeerTotals.find(load.mKey);
    if (found == mPeerTotals.end()) {
      continue; // An empty row, which a peer should not send, has no total.
    }
    auto& total = found->second;
    total.mRequests -= load.mRequests;
    total.mPromptTokens -= load.mPromptTokens;
    total.mOutputTokens -= load.mOutputTokens;
    if (total.mRequests == 0 && total.mPromptTokens == 0 && total.mOutputTokens == 0) {
      mPeerTotals.erase(found);
    }
  }
}

auto endpoint_table::SetPeerSpeeds(const std::vector<endpoint_speed>& aSpeeds) -> void
{
  for (const auto& speed : aSpeeds) {
    mPeerSpeeds.insert_or_assign(speed.mKey, speed);
  }
}

auto endpoint_table::DropPeer(std::string_view aPeer) -> void
{
  if (const auto found = mPeerLoads.find(aPeer); found != mPeerLoads.end()) {
    SubtractFromPeerTotals(found->second);
    mPeerLoads.erase(found);
  }
}

auto endpoint_table::KnownLoad(std::string_view aEndpoint) const -> endpoint_load
{
  const auto found = mEndpoints.find(aEndpoint);
  return found == mEndpoints.end() ? endpoint_load() : TotalLoad(found->second);
}

auto endpoint_table::OwnLoads() const -> std::vector<endpoint_load>
{
  auto loads = std::vector<endpoint_load>();
  for (const auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mOwnLoad.mRequests > 0) {
      loads.push_back(endpoint.mOwnLoad);
    }
  }
  return loads;
}

auto endpoint_table::OwnSpeeds() const -> std::vector<endpoint_speed>
{
  auto speeds = std::vector<endpoint_speed>();
  for (const auto& [id, endpoint] : mEndpoints) {
    const auto& speed = endpoint.mSpeed;
    if (speed.mTokenTime > duration::zero() || speed.mPromptTokenMicros > 0) {
      speeds.push_back(speed);
    }
  }
  return speeds;
}

auto endpoint_table::RateLimitedCount(std::string_view aService, time_point aNow) const
  -> std::size_t
{
  return static_cast<std::size_t>(
    std::count_if(mEndpoints.begin(), mEndpoints.end(), [&](const auto& aEntry) {
      return aEntry.second.mListed.mService == aService &&
             mRateLimits.TimeToAdmission(aEntry.second.mIncarnationKey, rate_share::Whole, aNow) !=
               duration::zero();
    }));
}

auto endpoint_table::TimeToAdmission(std::string_view aService,
                                     slot_requirement aRequirement,
                                     time_point aNow) const -> duration
{
  auto earliest = std::optional<duration>();
  for (const auto& [id, endpoint] : mEndpoints) {
    if (endpoint.mListed.mService != aService || IsClosed(endpoint)) {
      continue;
    }
    const auto time = TimeToAdmission(endpoint, aRequirement, aNow);
    if (time) {
      const auto wait = std::max<duration>(*time, endpoint.mPausedUntil - aNow);
      earliest = std::min(earliest.value_or(wait), wait);
    }
  }
  return earliest.value_or(duration::zero());
}

auto endpoint_table::Endpoints() const -> std::vector<listed_endpoint>
{
  auto endpoints = std::vector<listed_endpoint>();
  endpoints.reserve(mEndpoints.size());
  for (const auto& [id, endpoint] : mEndpoints) {
    endpoints.push_back(endpoint.mListed);
  }
  return endpoints;
}

auto endpoint_table::ServiceOf(std::string_view aName) const -> const service_spec*
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : &found->second;
}

auto endpoint_table::TotalLoad(const endpoint_state& aEndpoint) const -> endpoint_load
{
  auto total = aEndpoint.mOwnLoad;
  if (const auto found = mPeerTotals.find(total.mKey); found != mPeerTotals.end()) {
    total.mRequests += found->second.mRequests;
    total.mPromptTokens += found->second.mPromptTokens;
    total.mOutputTokens += found->second.mOutputTokens;
  }
  return total;
}

auto endpoint_table::EffectiveSpeed(const endpoint_state& aEndpoint) const -> endpoint_speed
{
  auto speed = aEndpoint.mSpeed;
  if (const auto found = mPeerSpeeds.find(speed.mKey); found != mPeerSpeeds.end()) {
    if (speed.mTokenTime == duration::zero()) {
      speed.mTokenTime = found->second.mTokenTime;
    }
    if (speed.mPromptTokenMicros == 0) {
      speed.mPromptTokenMicros = found->second.mPromptTokenMicros;
    }
  }
  return speed;
}

auto endpoint_table::SlotInterval(const endpoint_state& aEndpoint) const -> duration
{
  const auto slotTime = mSlotTimes.find(aEndpoint.mListed.mService);
  const auto known = slotTime == mSlotTimes.end() ? kDefaultServiceTime : slotTime->second;
  return known / std::max(aEndpoint.mListed.mSlots, 1U);
}

auto endpoint_table::SlotWait(const endpoint_state& aEndpoint,
                              const service_spec& aService,
                              const endpoint_load& aTotal) const -> duration
{
  const auto slots = std::max(aEndpoint.mListed.mSlots, 1U);
  if (aTotal.mRequests < slots) {
    return duration::zero();
  }
  const auto waiting = static_cast<double>(aTotal.mRequests - slots + 1);
  const auto speed = EffectiveSpeed(aEndpoint);
  if (!aService.mIsModel) {
    const auto serviceTime = ServiceTimeOf(speed);
    return FromSeconds(ToSeconds(serviceTime) * waiting / slots);
  }
  // A slot becomes free when one of the running requests has generated its remaining output.
  const auto meanRemaining = std::max(static_cast<double>(aTotal.mOutputTokens) / aTotal.mRequests,
                                      static_cast<double>(kMinRemainingTokens));
  return FromSeconds(ToSeconds(TokenTimeOf(speed)) * waiting * meanRemaining / slots);
}

auto endpoint_table::ExpectedTimes(const endpoint_state& aEndpoint,
                                   const service_spec& aService,
                                   const endpoint_load& aTotal,
                                   const token_work& aWork) const -> answer_times
{
  const auto speed = EffectiveSpeed(aEndpoint);
  auto first = SlotWait(aEndpoint, aService, aTotal) +
               FromSeconds(ToSeconds(kFailurePenalty) * aEndpoint.mFailureRate);
  if (!mPreference.IsOwnZone(aEndpoint.mListed.mAvailabilityZone)) {
    first += kCrossZoneDelay;
  }
  if (!aService.mIsModel) {
    first += ServiceTimeOf(speed);
    return { first, first };
  }

  // Prompts are prefilled one after another.
  const auto tokenTime = TokenTimeOf(speed);
  const auto promptMicros =
    speed.mPromptTokenMicros == 0 ? kDefaultPromptTokenMicros : speed.mPromptTokenMicros;
  const auto prefill =
    static_cast<double>(aTotal.mPromptTokens + aWork.mPromptTokens) * promptMicros;
  first += duration(static_cast<duration::rep>(prefill)) + kFirstEventBase +
           tokenTime * aService.mTokensPerEvent;
  return { first, first + tokenTime * static_cast<duration::rep>(aWork.mOutputTokens) };
}

auto endpoint_table::AddFailure(endpoint_state& aEndpoint,
                                duration aFirstAvoidance,
                                time_point aNow) -> void
{
  aEndpoint.mFailureRate += kFailureWeight * (1 - aEndpoint.mFailureRate);
  ++aEndpoint.mConsecutiveFailures;
  auto avoidance = aFirstAvoidance;
  if (aEndpoint.mConsecutiveFailures >= kFailuresToAvoid) {
    const auto doublings =
      std::min(aEndpoint.mConsecutiveFailures - kFailuresToAvoid, kMaxAvoidanceDoublings);
    avoidance = std::min<duration>(kFirstAvoidance * (1U << doublings), kMaxAvoidance);
  }
  aEndpoint.mAvoidUntil = std::max(aEndpoint.mAvoidUntil, aNow + avoidance);
}

auto endpoint_table::MeasureServiceTime(endpoint_state& aEndpoint, duration aTime) -> void
{
  // For services that are not models, mTokenTime holds the time per request.
  auto& serviceTime = aEndpoint.mSpeed.mTokenTime;
  serviceTime =
    duration(static_cast<duration::rep>(UpdateAverage(static_cast<double>(serviceTime.count()),
                                                      static_cast<double>(aTime.count()),
                                                      kServiceTimeWeight)));
}

auto endpoint_table::MeasurePrefillSpeed(endpoint_state& aEndpoint,
                                         const outstanding_request& aSent,
                                         time_point aNow) -> void
{
  const auto tokens = aSent.mWork.mPromptTokens + aSent.mQueuedPromptTokens;
  if (!aSent.mHadFreeSlot || tokens < kMinMeasuredPromptTokens) {
    return;
  }
  const auto elapsed = std::max<duration>(aNow - aSent.mSent - kFirstEventBase, duration(1));
  const auto sample = static_cast<double>(elapsed.count()) / static_cast<double>(tokens);
  aEndpoint.mSpeed.mPromptTokenMicros =
    UpdateAverage(aEndpoint.mSpeed.mPromptTokenMicros, sample, kPromptTimeWeight);
}

auto endpoint_table::MeasureGenerationSpeed(endpoint_state& aEndpoint,
                                            const outstanding_request& aSent,
                                            std::uint64_t aTokens,
                                            time_point aNow) -> void
{
  const auto sample = duration((aNow - aSent.mLastEvent) /
                               static_cast<duration::rep>(std::max<std::uint64_t>(aTokens, 1)));
  if (sample > kMaxMeasuredTokenTime) {
    return;
  }
  aEndpoint.mSpeed.mTokenTime = duration(static_cast<duration::rep>(
    UpdateAverage(static_cast<double>(aEndpoint.mSpeed.mTokenTime.count()),
                  static_cast<double>(sample.count()),
                  kTokenTimeWeight)));
}

auto endpoint_table::MeasureSlotTime(const endpoint_state& aEndpoint,
                                     const outstanding_request& aSent,
                                     time_point aNow) -> void
{
  const auto* service = ServiceOf(aEndpoint.mListed.mService);
  if (service == nullptr) {
    return;
  }
  auto sample = duration(aNow - aSent.mSent);
  if (!aSent.mHadFreeSlot) {
    // Under overload most requests wait in the endpoint's queue first. They get the slot shortly
    // before their first event; without events it is not known when.
    if (!aSent.mHasFirstEvent) {
      return;
    }
    sample = duration(aNow - aSent.mFirstEvent) +
             ExpectedTimes(aEndpoint, *service, {}, aSent.mWork).mFirstEvent;
  }
  auto& average = mSlotTimes[service->mName];
  average = duration(static_cast<duration::rep>(UpdateAverage(
    static_cast<double>(average.count()), static_cast<double>(sample.count()), kSlotTimeWeight)));
}

auto endpoint_table::Find(const outstanding_request& aSent) -> endpoint_state*
{
  const auto found = mEndpoints.find(aSent.mEndpoint);
  if (found == mEndpoints.end() || found->second.mListed.mIncarnation != aSent.mIncarnation) {
    return nullptr;
  }
  return &found->second;
}

} // namespace bronzering
