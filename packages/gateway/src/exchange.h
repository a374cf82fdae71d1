#pragma once

#include "endpoint_call.h"
#include "event_splitter.h"
#include "gateway_state.h"
#include "request_fields.h"
#include "response_writer.h"

#include <bronzering/base/name_table.h>

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// How an exchange ended. The names appear in logs and metrics.
enum class exchange_end
{
  /// A complete response of an endpoint was forwarded, whatever its status.
  Answered,
  /// Not executed by any endpoint, for example for lack of capacity, quota or time. The caller may
  /// retry.
  Refused,
  /// Not executed, since the request has no route, an unknown key or no request id.
  Rejected,
  /// The endpoint failed, or whether it executed the request is unknown, and no attempt is left.
  Failed,
  /// The response is incomplete: a stream that had started broke off and could not be resumed.
  Cut,
  /// The route's timeout or the caller's deadline expired after the request was sent. If it cannot
  /// have been executed, it is Refused instead.
  TimedOut,
  /// The caller disconnected before the end of the response.
  CallerGone
};
inline constexpr auto kExchangeEndNames =
  name_table<exchange_end, 7>{ { { { exchange_end::Answered, "answered" },
                                   { exchange_end::Refused, "refused" },
                                   { exchange_end::Rejected, "rejected" },
                                   { exchange_end::Failed, "failed" },
                                   { exchange_end::Cut, "cut" },
                                   { exchange_end::TimedOut, "timed_out" },
                                   { exchange_end::CallerGone, "caller_gone" } } } };

/// One request from its arrival to the end of its response: admission, waiting for an endpoint, the
/// attempts, and the retries that its route allows. An attempt sends the request to one endpoint; a
/// retry is an attempt after the first. Writes exactly one final log line. Owned by the
/// caller_session of the connection that the request arrived on; control thread only.
class exchange
{
public:
  /// aBody is the memory that the request's body takes.
  exchange(gateway_state& aState,
           http_request aRequest,
           memory_reservation aBody,
           response_writer& aWriter);
  ~exchange();
  exchange(const exchange&) = delete;
  auto operator=(const exchange&) -> exchange& = delete;

  /// Serves the request within its route's timeout and the caller's deadline.
  auto Serve() -> boost::asio::awaitable<void>;
  /// Records that the process was asked to stop: the request ends before the process does.
  auto OnStopRequested() -> void { mExpiry.cancel(); }

private:
  /// Maximum number of attempts of one request, including those that the endpoint declined.
  static constexpr auto kMaxSends = 4U;
  /// Events after which an endpoint counts as answering. An endpoint that crashes on a request may
  /// still have sent its first event.
  static constexpr auto kAnsweringEvents = 2U;

  /// What an attempt means for the request.
  enum class execution_outcome
  {
    /// The response has been delivered, or the caller has disconnected.
    Done,
    /// No connection to the endpoint.
    NotReached,
    /// The endpoint reported that it did not execute the request.
    NotExecuted,
    /// Whether the endpoint executed the request is unknown.
    MayHaveExecuted,
    /// The endpoint responded with an error (5xx), and a retry has been taken from the budget.
    Retry
  };
  static constexpr auto kExecutionOutcomeNames = name_table<execution_outcome, 5>{
    { { { execution_outcome::Done, "done" },
        { execution_outcome::NotReached, "not_reached" },
        { execution_outcome::NotExecuted, "not_executed" },
        { execution_outcome::MayHaveExecuted, "may_have_executed" },
        { execution_outcome::Retry, "retry" } } }
  };

  /// One sending of the request to an endpoint.
  struct attempt
  {
    /// Identifies the attempt in the endpoint_table.
    exchange_id mId;
    endpoint_table::choice mEndpoint;
    time_point mStarted;
    /// Events of the stream that this attempt delivered.
    std::uint64_t mEvents = 0;
    /// Why the response could not be read to its end; no error if it could.
    boost::system::error_code mReadError;
  };

  /// Why a second attempt is made beside the first one: its answer is late, or its endpoint has
  /// fallen silent, also in the middle of a stream.
  enum class second_attempt_kind
  {
    Hedge,
    Takeover
  };

  /// An error that an endpoint answered, kept until another attempt has answered.
  struct kept_error
  {
    unsigned mStatus;
    http_fields mFields;
    std::string mBody;
    memory_reservation mMemory;
  };

  /// Two attempts at the request at the same time, of which the first to answer is forwarded. Until
  /// the second one is sent, it waits for its time.
  struct parallel_attempts;

  auto Admit() -> boost::asio::awaitable<bool>;
  auto Run() -> boost::asio::awaitable<void>;
  /// Returns when no time is left.
  auto AwaitExpiry() -> boost::asio::awaitable<void>;
  /// Gives the request that Run has not answered in time its final answer.
  auto AnswerExpired() -> boost::asio::awaitable<void>;
  /// Answers a request that would outlast the process and is therefore not sent to an endpoint.
  auto AnswerStopping() -> boost::asio::awaitable<void>;
  /// Makes one attempt. aExpected is the expected time until the first event, or until the response
  /// for services that are not models; the timeout of the stall timer is derived from it.
  auto SendOnce(attempt& aAttempt, duration aExpected) -> boost::asio::awaitable<execution_outcome>;
  /// Makes one attempt, and second ones at other endpoints if it is later than aHedgeDelay or
  /// silent. An attempt is only given up for one that has answered. On failure of both, aFirst
  /// becomes the one that failed last.
  auto SendParallel(attempt& aFirst, duration aExpected, std::optional<duration> aHedgeDelay)
    -> boost::asio::awaitable<execution_outcome>;
  /// Makes one of two attempts; it is cancelled as soon as the other one has answered.
  auto RunAttempt(parallel_attempts& aAttempts, std::size_t aIndex, duration aExpected)
    -> boost::asio::awaitable<void>;
  /// Makes the second attempts that become due while the first one is in progress.
  auto RunSecondAttempts(parallel_attempts& aAttempts, std::optional<duration> aHedgeDelay)
    -> boost::asio::awaitable<void>;
  /// Returns when a second attempt is due, or false when the first one has ended.
  auto AwaitSecondAttempt(parallel_attempts& aAttempts, std::optional<duration> aHedgeDelay)
    -> boost::asio::awaitable<bool>;
  /// Takes a place for the second attempt, which is due then.
  auto BeginSecondAttempt(parallel_attempts& aAttempts,
                          endpoint_table::choice aEndpoint,
                          second_attempt_kind aKind,
                          time_point aNow) -> void;
  auto BeginHedge(parallel_attempts& aAttempts,
                  endpoint_table::choice aEndpoint,
                  duration aDelay,
                  time_point aNow) -> void;
  /// Lets another endpoint take over from a silent one, if there is one that can and a retry may be
  /// taken. The silent attempt goes on until the other one has answered.
  auto TakeOver(const attempt& aSilent, time_point aNow) -> bool;
  /// Whether the request or a part of its prompt has become suspect. If not, a request that is only
  /// admitted as a trial counts as sent.
  [[nodiscard]] auto IsQuarantined(time_point aNow) -> bool;
  /// Chooses the endpoint of a hedge, and takes the retry for it. Empty if none may be sent now.
  [[nodiscard]] auto TakeHedge(const parallel_attempts& aAttempts, time_point aNow)
    -> std::optional<endpoint_table::choice>;
  /// Time after which the next attempt may be hedged; empty if it may not.
  [[nodiscard]] auto HedgeDelay() const -> std::optional<duration>;
  /// Whether another attempt has answered first.
  [[nodiscard]] auto IsOvertaken(const attempt& aAttempt) const -> bool;
  /// Whether another attempt at the request may still answer.
  [[nodiscard]] auto HasRival(const attempt& aAttempt) const -> bool;
  /// Makes the attempt the one whose answer is forwarded and cancels the other one. False if the
  /// other one has answered first.
  [[nodiscard]] auto ClaimAnswer(const attempt& aAttempt) -> bool;
  /// Records the result of the second attempt, unless none was sent or its result is known.
  auto SettleSecondAttempt(second_attempt_result aResult) -> void;
  /// Passes the time of an answer, or a first event, on to the hedge_policy.
  auto RecordAnswerTime(const attempt& aAttempt, time_point aNow) -> void;
  /// Passes on that the service had no free slot for the request, if that is so.
  auto RecordShortage(const dispatch_decision& aDecision, duration aWaited) -> void;
  [[nodiscard]] auto HedgeClass() const -> hedge_class;
  /// The part of SendOnce that follows the connection's establishment.
  auto Transfer(endpoint_call& aCall,
                attempt& aAttempt,
                duration aExpected,
                attempt_result& aResult) -> boost::asio::awaitable<execution_outcome>;
  /// Records what the header of an answer says about the endpoint itself.
  auto RecordEndpointState(const endpoint_call& aCall, const attempt& aAttempt) -> void;
  auto RecordRequestedPause(const endpoint_call& aCall, const attempt& aAttempt) -> void;
  /// Records the rate limit that the endpoint names in its answer.
  auto RecordRateLimit(const endpoint_call& aCall, const attempt& aAttempt) -> void;
  /// Precondition: aDecision names an endpoint.
  auto LogDispatch(const dispatch_decision& aDecision) -> void;
  auto LogFailedAttempt(const attempt& aAttempt, execution_outcome aOutcome) -> void;
  /// Records a failed attempt, and that its endpoint was tried.
  auto RecordFailedAttempt(const attempt& aAttempt, execution_outcome aOutcome) -> void;
  auto RelayBuffered(endpoint_call& aCall, const attempt& aAttempt, attempt_result& aResult)
    -> boost::asio::awaitable<execution_outcome>;
  auto RelayStream(endpoint_call& aCall, const attempt& aAttempt, attempt_result& aResult)
    -> boost::asio::awaitable<execution_outcome>;
  /// Calls OnStall unless it is armed again or the attempt ends within aTimeout.
  auto ArmStallTimer(endpoint_call& aCall, const attempt& aAttempt, duration aTimeout) -> void;
  /// Reports a stall of the endpoint, and lets another one take over if that is possible now.
  auto OnStall(endpoint_call& aCall, const attempt& aAttempt) -> void;
  /// Whether the request would be sent to an endpoint that has not been tried now, and end in time.
  [[nodiscard]] auto CanBeSentElsewhere(time_point aNow) const -> bool;
  /// Whether the request is expected to end in time at an endpoint that has not been tried, even if
  /// it has to wait for a place there.
  [[nodiscard]] auto CanEndElsewhere(time_point aNow) const -> bool;

  /// Decides whether the request may be sent now, and logs a trial.
  [[nodiscard]] auto JudgeSending() -> crash_quarantine::verdict;
  /// The keys under which the request may be suspected: its prompt parts, then itself.
  [[nodiscard]] auto QuarantineKeys() const -> std::vector<suspect_key>;
  /// Refuses a request that is quarantined or has a quarantined part.
  auto RefuseQuarantined(const crash_quarantine::verdict& aVerdict) -> boost::asio::awaitable<void>;
  /// Passes on that the endpoint broke the attempt off, if that is so.
  auto ReportBrokenAttempt(const attempt& aAttempt) -> void;
  /// Passes on that a response came to its regular end.
  auto RecordRegularEnd(const endpoint_call& aCall) -> void;
  /// Refuses the request. aExpected is the time after which it could be served; empty if that is
  /// not known.
  auto Refuse(unsigned aStatus, std::string_view aReason, std::optional<duration> aExpected)
    -> boost::asio::awaitable<void>;
  /// Units that the request takes from its organisation's limit; 0 if there is none.
  [[nodiscard]] auto LimitUnits() const -> double;
  /// Takes units from the organisation's limit. Returns zero on success, otherwise the time until
  /// the limit allows a request again. No units only ask for that time.
  [[nodiscard]] auto TimeToLimit(double aUnits) -> duration;
  auto RefuseOverLimit(duration aWait) -> boost::asio::awaitable<void>;
  /// Refuses the request with exactly the given retry delay.
  auto RefuseFor(unsigned aStatus, std::string_view aReason, duration aRetryAfter)
    -> boost::asio::awaitable<void>;
  auto Fail(unsigned aStatus, std::string_view aReason) -> boost::asio::awaitable<void>;
  auto WriteProblem(unsigned aStatus,
                    std::string_view aReason,
                    bool aIsNotExecuted,
                    duration aRetryAfter) -> boost::asio::awaitable<void>;

  /// Whether the request may be sent to an endpoint, unless the process ends before the response
  /// does. aExpected is the expected time until the end of the response. Precondition: mRoute is
  /// set.
  [[nodiscard]] auto MayStart(duration aExpected) const -> bool;
  /// Time until the request's deadline, or until the end of the process if that is earlier.
  [[nodiscard]] auto TimeLeft(time_point aNow) const -> duration;
  /// When the caller leaves if no further event arrives.
  [[nodiscard]] auto FirstEventBy() const -> time_point;
  /// Forwards the error that an endpoint answered before its retry, which brought no answer.
  /// Precondition: there is one, and no response has started.
  auto ForwardKeptError() -> boost::asio::awaitable<void>;
  /// Frees the body of a request that cannot be sent again.
  auto ReleaseBody() -> void;
  /// Waits until the process has memory for an answer of aBytes.
  auto AwaitMemory(memory_reservation& aHeld, std::size_t aBytes) -> boost::asio::awaitable<void>;
  /// Whether the route allows another attempt.
  [[nodiscard]] auto MayRetry() const -> bool;
  /// Whether the route allows two more attempts, so that they may be made at the same time.
  [[nodiscard]] auto MayAttemptTwice() const -> bool;
  /// Takes one retry from the service's budget. False when the budget is exhausted.
  [[nodiscard]] auto TakeRetry() -> bool;
  [[nodiscard]] auto ComposeRequest(const std::string& aEndpoint) const -> forwarded_request;
  /// The request as it is queued until an endpoint is chosen.
  [[nodiscard]] auto Ticket() const -> dispatch_ticket;
  /// The same without the endpoint that the request is at now.
  [[nodiscard]] auto TicketForOthers() const -> dispatch_ticket;
  /// Adds the inputs of the dispatch or quota decision to a log line, with the revision of the
  /// published_items that this entry holds.
  auto AddDecisionInputs(boost::json::object& aLine) const -> void;
  auto Finish(exchange_end aEnd, unsigned aStatus, std::string_view aReason) -> void;

  gateway_state& mState;
  response_writer& mResponseWriter;
  exchange_id mId;
  time_point mArrived;
  /// The version in force on arrival, which is used until the exchange ends.
  std::shared_ptr<const route_table> mRoutes;
  request_metadata mMetadata;
  http_request mRequest;
  memory_reservation mBodyMemory;
  const route_spec* mRoute = nullptr;
  const organisation_spec* mOrganisation = nullptr;
  std::string mService;
  /// The shared parts of the prompt; set at admission.
  std::vector<suspect_key> mPartKeys;
  /// Identifies the request with its caller and body, whatever its id; set at admission.
  suspect_key mRequestKey = 0;
  /// Why the request was refused, if it or a part of its prompt is quarantined.
  std::optional<crash_quarantine::verdict> mQuarantineVerdict;
  /// Quota units that were taken from the organisation's limit. Refuse returns them to the limit.
  double mSpentUnits = 0;
  /// Quota units for which the request was refused because the limit was exhausted.
  double mRefusedUnits = 0;
  /// The last dispatch decision; empty before the first.
  std::optional<dispatch_decision> mDecision;
  /// Retry delay sent to the caller when the request was refused; 0 for none.
  duration mRetryAfter{};
  /// Urgency from the priorities of the organisation and the route; set at admission.
  request_rank mRank;
  /// The earlier of the route's timeout and the caller's deadline; set at admission.
  time_point mDeadline;
  /// Runs until no time is left; cancelled when that changes.
  boost::asio::steady_timer mExpiry;

  event_splitter mEvents;
  std::vector<std::string> mTriedEndpoints;
  /// Attempts that an endpoint executed or may have executed.
  std::uint32_t mExecutions = 0;
  /// All attempts, including those that were not executed.
  std::uint32_t mSends = 0;
  std::string mLastEndpoint;
  std::optional<kept_error> mKeptError;
  /// The attempts that are being made, if there may be a second one.
  parallel_attempts* mParallelAttempts = nullptr;
  /// The second attempt whose result is not known yet.
  std::optional<second_attempt_kind> mSecondAttempt;
  bool mIsHedged = false;
  std::optional<second_attempt_result> mHedgeResult;
  /// The result of the last takeover.
  std::optional<second_attempt_result> mTakeoverResult;
  std::optional<time_point> mFirstSent;
  std::optional<time_point> mFirstEvent;
  std::optional<time_point> mLastEvent;
  /// Longest time between two reads that completed an event.
  duration mLongestEventGap{};
  bool mIsFinished = false;
};

} // namespace bronzering
