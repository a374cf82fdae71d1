#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/dispatch/routing_document.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// What one request asks of an endpoint, in tokens; zero for plain services.
struct token_work
{
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;
};

/// Names an endpoint to peers: a short hash of its id.
using endpoint_key = std::uint32_t;
[[nodiscard]] auto KeyOfEndpoint(std::string_view aId) -> endpoint_key;

/// One entry's outstanding work at one endpoint, as told to its peers.
struct endpoint_load
{
  endpoint_key mKey = 0;
  std::uint32_t mRequests = 0;
  /// Prompt tokens of requests without a first event.
  std::uint64_t mPromptTokens = 0;
  /// Output tokens still expected.
  std::uint64_t mOutputTokens = 0;
};

/// What one entry has learned of an endpoint's speed, as told to its peers. 0 means nothing.
struct endpoint_speed
{
  endpoint_key mKey = 0;
  /// Time of one generated token, or of a whole request of a plain service.
  duration mTokenTime{};
  double mPromptTokenMicros = 0;
};

/// How a request that was sent to an endpoint ended.
enum class attempt_result
{
  Answered,
  /// The endpoint said that it has no room, and has not run the request.
  Declined,
  /// No connection, or another endpoint has the address: nothing was run.
  Unreachable,
  /// An error, a broken or malformed answer, or silence.
  Failed,
  /// The caller left or the time was over: says nothing about the endpoint.
  Abandoned
};

/// Which places of an endpoint a request may take.
enum class place_claim
{
  /// Those that are free.
  Free,
  /// Those that are free, and those in the endpoint's own queue.
  Any
};

/// The endpoints of all services as one entry sees them: what the platform lists, the work that all
/// entries have outstanding there, learned speeds, and recent failures. Chooses the endpoint with
/// the earliest expected first event. Not thread-safe: owned by the control thread.
class endpoint_table
{
public:
  struct choice
  {
    std::string mId;
    std::string mAddress;
    /// Expected time from the send to the first event, or to the answer of a plain service.
    duration mExpected{};
    /// Whether the request would have to wait in the endpoint's own queue.
    bool mIsFull = false;
  };

  explicit endpoint_table(std::string aAvailabilityZone);

  auto Configure(const std::vector<service_spec>& aServices) -> void;
  /// Adopts the platform's list. What was learned is kept for endpoints that did not restart.
  auto Apply(std::vector<listed_endpoint> aEndpoints, time_point aNow) -> void;

  /// The best endpoint of a service that is not leaving, not in aExcluded, and open to requests of
  /// this claim; empty when there is none. Endpoints that failed lately are passed over while
  /// others are left.
  [[nodiscard]] auto Choose(std::string_view aService,
                            const token_work& aWork,
                            const std::vector<std::string>& aExcluded,
                            place_claim aClaim,
                            time_point aNow) const -> std::optional<choice>;

  /// A request is sent to an endpoint. Precondition: the exchange has none outstanding.
  auto Begin(exchange_id aExchange,
             const std::string& aEndpoint,
             const token_work& aWork,
             time_point aNow) -> void;
  /// Events of the answer arrived. Unknown exchanges are ignored.
  auto OnEvents(exchange_id aExchange, std::uint32_t aEvents, time_point aNow) -> void;
  /// The endpoint has been silent for longer than expected; the request stays outstanding.
  auto OnStall(exchange_id aExchange, time_point aNow) -> void;
  /// The request is no longer outstanding. Unknown exchanges are ignored.
  auto End(exchange_id aExchange, attempt_result aResult, time_point aNow) -> void;

  /// Replaces the peer's outstanding work; endpoints that are not named have none of it.
  auto SetPeerLoads(const std::string& aPeer, const std::vector<endpoint_load>& aLoads) -> void;
  /// Adds to what the peer has learned. It is kept when the peer is dropped.
  auto SetPeerSpeeds(const std::vector<endpoint_speed>& aSpeeds) -> void;
  auto DropPeer(std::string_view aPeer) -> void;
  /// This entry's own outstanding work, for endpoints that have any.
  [[nodiscard]] auto OwnLoads() const -> std::vector<endpoint_load>;
  /// What this entry has learned itself.
  [[nodiscard]] auto OwnSpeeds() const -> std::vector<endpoint_speed>;

  [[nodiscard]] auto Endpoints() const -> std::vector<listed_endpoint>;
  [[nodiscard]] auto ServiceOf(std::string_view aName) const -> const service_spec*;

private:
  struct endpoint_state
  {
    listed_endpoint mListed;
    endpoint_load mOwn;
    endpoint_speed mSpeed;
    std::uint32_t mFailuresInRow = 0;
    time_point mAvoidUntil;
    /// Share of recent sends that failed.
    double mFailureShare = 0;
  };
  struct outstanding
  {
    std::string mEndpoint;
    std::uint64_t mIncarnation = 0;
    token_work mWork;
    std::uint64_t mRemainingTokens = 0;
    std::uint64_t mPromptTokensAhead = 0;
    bool mHadPlace = false;
    bool mHasFirstEvent = false;
    time_point mSent;
    time_point mLastEvent;
  };
  /// Outstanding work of this entry and its peers.
  [[nodiscard]] auto Total(const endpoint_state& aEndpoint) const -> endpoint_load;
  /// Own measurements, and a peer's where there are none.
  [[nodiscard]] auto Speed(const endpoint_state& aEndpoint) const -> endpoint_speed;
  [[nodiscard]] auto Expected(const endpoint_state& aEndpoint,
                              const service_spec& aService,
                              const endpoint_load& aTotal,
                              const token_work& aWork) const -> duration;
  static auto AddFailure(endpoint_state& aEndpoint, duration aFirstAvoidance, time_point aNow)
    -> void;
  auto LearnFirstEvent(endpoint_state& aEndpoint, const outstanding& aSent, time_point aNow)
    -> void;
  auto LearnTokens(endpoint_state& aEndpoint,
                   const outstanding& aSent,
                   std::uint64_t aTokens,
                   time_point aNow) -> void;
  [[nodiscard]] auto Find(const outstanding& aSent) -> endpoint_state*;

  std::string mAvailabilityZone;
  std::map<std::string, service_spec, std::less<>> mServices;
  std::map<std::string, endpoint_state, std::less<>> mEndpoints;
  std::unordered_map<exchange_id, outstanding> mOutstanding;
  std::map<std::string, std::unordered_map<endpoint_key, endpoint_load>, std::less<>> mPeerLoads;
  std::unordered_map<endpoint_key, endpoint_speed> mPeerSpeeds;
};

} // namespace bronzering
