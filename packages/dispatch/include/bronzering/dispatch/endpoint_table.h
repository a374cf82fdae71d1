#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/dispatch/answer_times.h>
#include <bronzering/dispatch/cold_endpoint_limiter.h>
#include <bronzering/dispatch/endpoint_preference.h>
#include <bronzering/dispatch/endpoint_rate_limiter.h>
#include <bronzering/dispatch/place_plan.h>
#include <bronzering/dispatch/routing_document.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Size of a request in tokens; zero for services that are not models.
struct token_work
{
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;
};

/// Identifies an endpoint in messages between peers: a 32-bit hash of its id.
using endpoint_key = std::uint32_t;
[[nodiscard]] auto HashEndpointId(std::string_view aId) -> endpoint_key;

/// Outstanding work of one entry at one endpoint, as reported to its peers.
struct endpoint_load
{
  endpoint_key mKey = 0;
  std::uint32_t mRequests = 0;
  /// Prompt tokens of requests that have not received their first event.
  std::uint64_t mPromptTokens = 0;
  /// Estimated output tokens still to be generated.
  std::uint64_t mOutputTokens = 0;
};

/// Speed of an endpoint as measured by one entry and reported to its peers. 0 means not measured.
struct endpoint_speed
{
  endpoint_key mKey = 0;
  /// Time per generated token, or per request for services that are not models.
  duration mTokenTime{};
  double mPromptTokenMicros = 0;
};

/// Result of sending a request to an endpoint.
enum class attempt_result
{
  Answered,
  /// The endpoint reported that it is full and did not run the request.
  Declined,
  /// The connection failed, or another endpoint now has the address. The request did not run.
  Unreachable,
  /// An error, an incomplete or malformed response, or a timeout.
  Failed,
  /// The caller disconnected or its deadline passed. Does not affect the endpoint's health.
  Abandoned
};

/// Which capacity of an endpoint a request may use.
enum class slot_requirement
{
  /// Free slots only.
  FreeSlot,
  /// Free slots, or else a position in the endpoint's own queue if a slot is expected to become
  /// free soon. What is kept of a rate limit for urgent requests may be used too.
  FreeSlotOrQueue
};

/// Load balancer over the endpoints of all services. Combines the platform's list, the outstanding
/// work of all entries, measured speeds, recent failures and the rate limits that endpoints name,
/// and chooses the endpoint with the lowest expected time to the first event, among similar ones by
/// an endpoint_preference. Nothing is sent to endpoints of an evacuated availability zone, and only
/// little to a cold endpoint. Not thread-safe: owned by the control thread.
class endpoint_table
{
public:
  /// Longest pause that an endpoint may ask for.
  static constexpr auto kMaxPause = std::chrono::hours(1);

  struct choice
  {
    std::string mId;
    std::uint64_t mIncarnation = 0;
    std::string mAddress;
    answer_times mExpected;
    /// Whether one of its slots is free, as far as known.
    bool mHasFreeSlot = false;
  };

  /// aSelf is the address of this entry.
  explicit endpoint_table(std::string aAvailabilityZone, std::string aSelf = {});

  auto Configure(const std::vector<service_spec>& aServices) -> void;
  /// Replaces the list of endpoints. Load, speed and failures of endpoints that did not restart are
  /// kept.
  auto Apply(std::vector<listed_endpoint> aEndpoints, time_point aNow) -> void;
  /// Replaces the availability zones whose endpoints are not chosen. Endpoints of a zone that is no
  /// longer in the list count as cold for the cold time of their service: they may have become cold
  /// meanwhile, and what they last published may not tell it yet.
  auto SetEvacuatedZones(std::set<std::string> aZones, time_point aNow) -> void;
  [[nodiscard]] auto EvacuatedZones() const -> const std::set<std::string>&
  {
    return mEvacuatedZones;
  }
  /// Replaces the entries that share the endpoints. aIsIsolated says that there should be others,
  /// but none was heard yet. Precondition: this entry is one of them.
  auto SetMembers(const std::vector<entry_demand>& aMembers, time_point aNow, bool aIsIsolated)
    -> void;

  /// Returns the best endpoint of a service that is not draining, not in aExcluded, has the
  /// capacity that aRequirement asks for, and is expected to answer within aAllowed; empty if there
  /// is none. Endpoints with recent failures are used only if no other candidate exists.
  [[nodiscard]] auto Choose(std::string_view aService,
                            const token_work& aWork,
                            const std::vector<std::string>& aExcluded,
                            slot_requirement aRequirement,
                            const answer_times& aAllowed,
                            time_point aNow) const -> std::optional<choice>;
  /// Whether some endpoint has the capacity that aRequirement asks for, however long it takes.
  [[nodiscard]] auto HasPlace(std::string_view aService,
                              slot_requirement aRequirement,
                              time_point aNow) const -> bool;
  /// Shortest expected times of the work at an endpoint of the service that has nothing else to do;
  /// empty if the service has no endpoint.
  [[nodiscard]] auto ShortestTimes(std::string_view aService, const token_work& aWork) const
    -> std::optional<answer_times>;
  /// Places per second that this entry can expect to get at the endpoints of a service while all of
  /// them are busy: its share, by its callers' demand, of the slots that become free, as far as the
  /// endpoints' rate limits allow. Endpoints in aExcluded are left out. aWork stands for the
  /// requests of the service as long as no answer of it was measured.
  [[nodiscard]] auto PlaceRate(std::string_view aService,
                               const token_work& aWork,
                               const std::vector<std::string>& aExcluded,
                               time_point aNow) const -> double;
  /// What each endpoint of a service offers to requests that wait: the slots that its requests in
  /// progress leave, and the part of PlaceRate that it adds. The ends of this entry's own requests
  /// follow from when they were sent and what has arrived; those of the peers' requests, of which
  /// only the number and the remaining tokens are known, are assumed to be spread evenly.
  [[nodiscard]] auto ForecastPlaces(std::string_view aService,
                                    const token_work& aWork,
                                    time_point aNow) const -> std::vector<endpoint_forecast>;
  /// Share of this entry in the demand of all callers, 0 to 1.
  [[nodiscard]] auto OwnDemandShare() const -> double { return mRateLimits.OwnDemandShare(); }

  /// Records that a request is sent to an endpoint. Precondition: the exchange has no outstanding
  /// request.
  auto Begin(exchange_id aExchange,
             const std::string& aEndpoint,
             const token_work& aWork,
             time_point aNow) -> void;
  /// Records events that arrived in the response. Unknown exchanges are ignored.
  auto OnEvents(exchange_id aExchange, std::uint32_t aEvents, time_point aNow) -> void;
  /// Records that the endpoint has sent nothing for longer than expected. The request stays
  /// outstanding.
  auto OnStall(exchange_id aExchange, time_point aNow) -> void;
  /// Records that an outstanding request is about to be abandoned because another attempt at it has
  /// answered, and aTime, which it would probably have taken: for models until the first event.
  /// That only makes the endpoint's measured speed slower, never faster. Unknown exchanges are
  /// ignored.
  auto OnOvertaken(exchange_id aExchange, duration aTime) -> void;
  /// Records the end of an outstanding request. Unknown exchanges are ignored.
  auto End(exchange_id aExchange, attempt_result aResult, time_point aNow) -> void;

  /// Records that an endpoint has answered that it is shutting down. It is not chosen any more,
  /// until it restarts. Returns false if that is known already, or the endpoint is not listed.
  auto OnLeavingAnswer(const std::string& aEndpoint, std::uint64_t aIncarnation) -> bool;

  /// Records that an endpoint turned a request away and asks this entry to send it nothing for
  /// aPause. Returns false if the endpoint is not listed. Precondition: 0 <= aPause <= kMaxPause.
  auto OnPauseRequested(const std::string& aEndpoint,
                        std::uint64_t aIncarnation,
                        duration aPause,
                        time_point aNow) -> bool;

  /// Replaces the peer's outstanding work. Endpoints missing from aLoads have none.
  auto SetPeerLoads(const std::string& aPeer, const std::vector<endpoint_load>& aLoads) -> void;
  /// Merges speeds measured by a peer. They are kept after DropPeer.
  auto SetPeerSpeeds(const std::vector<endpoint_speed>& aSpeeds) -> void;
  auto DropPeer(std::string_view aPeer) -> void;
  /// Outstanding work of all entries at an endpoint, as this entry knows it; none if the endpoint
  /// is not listed.
  [[nodiscard]] auto KnownLoad(std::string_view aEndpoint) const -> endpoint_load;
  /// This entry's own outstanding work, for endpoints with outstanding requests.
  [[nodiscard]] auto OwnLoads() const -> std::vector<endpoint_load>;
  /// Speeds measured by this entry.
  [[nodiscard]] auto OwnSpeeds() const -> std::vector<endpoint_speed>;

  [[nodiscard]] auto RateLimits() -> endpoint_rate_limiter& { return mRateLimits; }
  [[nodiscard]] auto ColdLimits() -> cold_endpoint_limiter& { return mColdLimits; }
  /// Number of endpoints of a service whose rate limit leaves this entry no urgent request now.
  [[nodiscard]] auto RateLimitedCount(std::string_view aService, time_point aNow) const
    -> std::size_t;
  /// Time until some endpoint of the service takes a request of this entry again, as far as its
  /// rate limit, the limit of a cold endpoint and the pause that it asked for tell; zero if one
  /// does now, or none will.
  [[nodiscard]] auto TimeToAdmission(std::string_view aService,
                                     slot_requirement aRequirement,
                                     time_point aNow) const -> duration;

  [[nodiscard]] auto Endpoints() const -> std::vector<listed_endpoint>;
  [[nodiscard]] auto ServiceOf(std::string_view aName) const -> const service_spec*;

private:
  struct endpoint_state
  {
    listed_endpoint mListed;
    endpoint_incarnation_key mIncarnationKey = 0;
    endpoint_load mOwnLoad;
    endpoint_speed mSpeed;
    std::uint32_t mConsecutiveFailures = 0;
    time_point mAvoidUntil;
    /// Moving average of the failure rate, 0 to 1.
    double mFailureRate = 0;
    /// Whether it has answered this entry that it is shutting down, whatever the list says.
    bool mHasAnsweredLeaving = false;
    /// Until when it has asked this entry to send it nothing.
    time_point mPausedUntil;
    /// Whether its availability zone is evacuated.
    bool mIsEvacuated = false;
    /// Until when it is cold by its own statement, and because its zone has returned.
    time_point mStatedColdUntil;
    time_point mReturnColdUntil;
    /// What this entry's preference adds to the expected latency when endpoints are compared.
    duration mHandicap{};
  };
  struct outstanding_request
  {
    std::string mEndpoint;
    std::uint64_t mIncarnation = 0;
    token_work mWork;
    std::uint64_t mRemainingTokens = 0;
    std::uint64_t mQueuedPromptTokens = 0;
    bool mHadFreeSlot = false;
    bool mHasFirstEvent = false;
    time_point mSent;
    time_point mFirstEvent;
    time_point mLastEvent;
    time_point mExpectedEnd;
  };
  /// Whether nothing new is sent to the endpoint: it is shutting down, according to the list or to
  /// its own answers, or its availability zone is evacuated.
  [[nodiscard]] static auto IsClosed(const endpoint_state& aEndpoint) -> bool
  {
    return aEndpoint.mListed.mIsLeaving || aEndpoint.mHasAnsweredLeaving || aEndpoint.mIsEvacuated;
  }
  /// Tells the limiter whether the endpoint is cold, if its service limits what cold ones get.
  auto UpdateColdLimit(const endpoint_state& aEndpoint, time_point aNow) -> void;
  /// Time until this entry may send a request to the endpoint, by the rate limit that it names and
  /// the limit for cold endpoints; empty if it has no share.
  [[nodiscard]] auto TimeToAdmission(const endpoint_state& aEndpoint,
                                     slot_requirement aRequirement,
                                     time_point aNow) const -> std::optional<duration>;
  /// Requests per second that both limits allow this entry to send to the endpoint.
  [[nodiscard]] auto OwnRate(const endpoint_state& aEndpoint, time_point aNow) const -> double;
  auto AddToPeerTotals(const std::vector<endpoint_load>& aLoads) -> void;
  auto SubtractFromPeerTotals(const std::vector<endpoint_load>& aLoads) -> void;
  /// Outstanding work of this entry and its peers.
  [[nodiscard]] auto TotalLoad(const endpoint_state& aEndpoint) const -> endpoint_load;
  /// Speed measured by this entry, or by a peer where this entry has no measurement.
  [[nodiscard]] auto EffectiveSpeed(const endpoint_state& aEndpoint) const -> endpoint_speed;
  /// Calls aVisitor with each endpoint of the service that may take a request now, and its total
  /// load, until aVisitor returns false.
  template<class Visitor>
  auto ForEachPlace(const service_spec& aService,
                    const std::vector<std::string>& aExcluded,
                    slot_requirement aRequirement,
                    time_point aNow,
                    Visitor&& aVisitor) const -> void;
  /// Time for which a request occupies a slot of the endpoint. aWork stands for the requests of the
  /// service as long as no answer of it was measured.
  [[nodiscard]] auto OccupiedTime(const endpoint_state& aEndpoint,
                                  const service_spec& aService,
                                  const token_work& aWork) const -> duration;
  /// Places per second that this entry can expect at the endpoint if a request occupies a slot for
  /// aOccupied.
  [[nodiscard]] auto PlaceRate(const endpoint_state& aEndpoint,
                               duration aOccupied,
                               time_point aNow) const -> double;
  /// Whether the endpoint is cold and belongs to other entries as long as it is.
  [[nodiscard]] auto IsColdForOthers(const endpoint_state& aEndpoint, time_point aNow) const
    -> bool;
  /// Time until the endpoint is no longer avoided, paused or cold for other entries; zero if it is
  /// not.
  [[nodiscard]] auto ClosedFor(const endpoint_state& aEndpoint, time_point aNow) const -> duration;
  /// This entry's outstanding requests at an endpoint.
  struct own_ends
  {
    /// When they are expected to end.
    std::vector<duration> mTimes;
    /// Number of those that may still wait in the endpoint's own queue.
    std::size_t mMaybeQueued = 0;
  };
  /// The times at which the endpoint's slots become free for requests that are not sent yet.
  [[nodiscard]] auto ComingPlaces(const endpoint_state& aEndpoint,
                                  const service_spec& aService,
                                  own_ends aOwnEnds,
                                  duration aOccupied) const -> std::vector<coming_place>;
  /// Mean time after which one of the endpoint's slots becomes free while all are in use.
  [[nodiscard]] auto SlotInterval(const endpoint_state& aEndpoint) const -> duration;
  /// Expected wait in the endpoint's own queue until a slot is free; zero if one is.
  [[nodiscard]] auto SlotWait(const endpoint_state& aEndpoint,
                              const service_spec& aService,
                              const endpoint_load& aTotal) const -> duration;
  [[nodiscard]] auto ExpectedTimes(const endpoint_state& aEndpoint,
                                   const service_spec& aService,
                                   const endpoint_load& aTotal,
                                   const token_work& aWork) const -> answer_times;
  static auto AddFailure(endpoint_state& aEndpoint, duration aFirstAvoidance, time_point aNow)
    -> void;
  /// Records the time of a request to a service that is not a model.
  static auto MeasureServiceTime(endpoint_state& aEndpoint, duration aTime) -> void;
  auto MeasurePrefillSpeed(endpoint_state& aEndpoint,
                           const outstanding_request& aSent,
                           time_point aNow) -> void;
  auto MeasureGenerationSpeed(endpoint_state& aEndpoint,
                              const outstanding_request& aSent,
                              std::uint64_t aTokens,
                              time_point aNow) -> void;
  /// Records the time for which an answered request has occupied a slot.
  auto MeasureSlotTime(const endpoint_state& aEndpoint,
                       const outstanding_request& aSent,
                       time_point aNow) -> void;
  [[nodiscard]] auto Find(const outstanding_request& aSent) -> endpoint_state*;

  endpoint_preference mPreference;
  endpoint_rate_limiter mRateLimits;
  cold_endpoint_limiter mColdLimits;
  std::set<std::string> mEvacuatedZones;
  std::map<std::string, service_spec, std::less<>> mServices;
  std::map<std::string, endpoint_state, std::less<>> mEndpoints;
  /// Moving average of the time for which a request occupies a slot, by service.
  std::map<std::string, duration, std::less<>> mSlotTimes;
  /// The elements of mEndpoints by service.
  std::map<std::string, std::vector<endpoint_state*>, std::less<>> mByService;
  std::unordered_map<exchange_id, outstanding_request> mOutstanding;
  std::map<std::string, std::vector<endpoint_load>, std::less<>> mPeerLoads;
  /// Sums of mPeerLoads by endpoint, kept up to date so that a choice costs the same whatever the
  /// number of peers.
  std::unordered_map<endpoint_key, endpoint_load> mPeerTotals;
  std::unordered_map<endpoint_key, endpoint_speed> mPeerSpeeds;
};

} // namespace bronzering
