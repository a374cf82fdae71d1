#include "exchange.h"

#include "text_number.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>
#include <bronzering/dispatch/return_delay.h>

#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

/// Connect timeout, ten times a round trip between availability zones.
constexpr auto kConnectTimeout = duration(std::chrono::milliseconds(300));
/// Maximum idle time of a pooled connection that is reused. The endpoint may close it just as a
/// request is sent, which becomes more likely the longer it is idle; requests that must not be
/// retried use a shorter limit.
constexpr auto kMaxIdleTime = duration(std::chrono::seconds(30));
constexpr auto kMaxIdleTimeNoRetry = duration(std::chrono::seconds(2));
/// A response counts as stalled, which is charged to the endpoint, when it is not there after the
/// expected time multiplied by this factor, plus a fixed time. Of a stream the first bytes count.
constexpr auto kStallFactor = 3;
constexpr auto kResponseStallMargin = duration(std::chrono::milliseconds(150));
constexpr auto kStreamStallMargin = duration(std::chrono::milliseconds(600));
/// Another entry can serve a request at once that this one refuses because it is shutting down. The
/// delay spreads the callers of its connections over the other entries' event loops.
constexpr auto kStoppingReturn = duration(std::chrono::milliseconds(50));
/// How long a request waits for the first routing document after a start. Where that was in vain,
/// the caller returns after about as long again.
constexpr auto kConfigurationWait = duration(std::chrono::milliseconds(400));
/// Time that a caller is taken to have left if it names none and its route is not known.
constexpr auto kDefaultTimeLeft = duration(std::chrono::milliseconds(1'500));
/// Maximum number of bytes of an endpoint's malformed value that are logged.
constexpr auto kMaxLoggedValue = std::size_t{ 64 };
/// Reasons in answers and logs.
constexpr auto kStoppingReason = std::string_view("shutting down");
constexpr auto kNoEndpointReason = std::string_view("no endpoint can answer in time");

} // namespace

exchange::exchange(gateway_state& aState,
                   http_request aRequest,
                   memory_reservation aBody,
                   response_writer& aWriter)
  : mState(aState)
  , mResponseWriter(aWriter)
  , mId{ ++aState.mExchangeCount }
  , mArrived(ReadBootClock())
  , mRoutes(aState.mRoutes)
  , mMetadata(ReadRequestMetadata(aRequest, aState.mHeaderNames))
  , mRequest(std::move(aRequest))
  , mBodyMemory(std::move(aBody))
  , mDeadline(mArrived)
  , mExpiry(aState.mContext)
{
}

exchange::~exchange()
{
  if (mIsFinished) {
    return;
  }
  if (mState.mShutdown.IsStopping() && ReadBootClock() >= mState.mShutdown.ProcessEnd()) {
    Finish(exchange_end::Cut, 0, "process ended");
  } else {
    Finish(exchange_end::CallerGone, 0, "caller closed the connection");
  }
}

auto exchange::Serve() -> boost::asio::awaitable<void>
{
  // In a flood, requests are read so late that their callers have left.
  if (mResponseWriter.IsCallerGone()) {
    Finish(exchange_end::CallerGone, 0, "caller closed the connection before it was served");
    co_return;
  }
  if (!co_await Admit()) {
    co_return;
  }
  using namespace boost::asio::experimental::awaitable_operators;
  const auto first = co_await (Run() || AwaitExpiry());
  const auto hasExpired = first.index() == 1;
  if (hasExpired && !mIsFinished) {
    co_await AnswerExpired();
  }
}

auto exchange::AwaitExpiry() -> boost::asio::awaitable<void>
{
  for (;;) {
    const auto left = TimeLeft(ReadBootClock());
    if (left == duration::zero()) {
      co_return;
    }
    mExpiry.expires_after(left);
    co_await mExpiry.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
    if (cancellation.cancelled() != boost::asio::cancellation_type::none) {
      co_return;
    }
  }
}

auto exchange::AnswerExpired() -> boost::asio::awaitable<void>
{
  const auto isStopped = ReadBootClock() < mDeadline;
  if (mResponseWriter.HasStarted()) {
    Finish(isStopped ? exchange_end::Cut : exchange_end::TimedOut,
           0,
           isStopped ? kStoppingReason : "stream exceeded its time");
  } else if (isStopped) {
    co_await AnswerStopping();
  } else if (mExecutions == 0) {
    co_await Refuse(503, "no endpoint within the deadline", {});
  } else if (mKeptError) {
    co_await ForwardKeptError();
  } else {
    co_await WriteProblem(504, "no answer within the deadline", false, {});
    Finish(exchange_end::TimedOut, 504, "no answer within the deadline");
  }
}

auto exchange::AnswerStopping() -> boost::asio::awaitable<void>
{
  mState.mMetrics.Counter("bronzering_shutdown_refusals_total").Add();
  if (mExecutions == 0) {
    co_await Refuse(503, kStoppingReason, kStoppingReturn);
  } else {
    co_await Fail(502, kStoppingReason);
  }
}

auto exchange::Admit() -> boost::asio::awaitable<bool>
{
  // Without a routing document nothing can be authorised or routed. After a start the document
  // takes a moment to arrive.
  if (!mRoutes) {
    co_await WithTimeout(
      mState.mFirstDocumentAdopted.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)),
      kConfigurationWait);
    mRoutes = mState.mRoutes;
  }
  if (!mRoutes) {
    co_await Refuse(503, "no configuration yet", kConfigurationWait);
    co_return false;
  }
  mRoute = mRoutes->FindRoute(
    std::string_view(mRequest[http::field::host].data(), mRequest[http::field::host].size()),
    std::string_view(mRequest.target().data(), mRequest.target().size()));
  if (mRoute == nullptr) {
    co_await WriteProblem(404, "no route", true, {});
    Finish(exchange_end::Rejected, 404, "no route");
    co_return false;
  }
  mOrganisation = mRoutes->FindOrganisation(mMetadata.mKey);
  if (mOrganisation == nullptr && mRoutes->RequiresKey(*mRoute)) {
    co_await WriteProblem(401, "unknown key", true, {});
    Finish(exchange_end::Rejected, 401, "unknown key");
    co_return false;
  }
  if (mMetadata.mId.empty()) {
    co_await WriteProblem(400, "no request id", true, {});
    Finish(exchange_end::Rejected, 400, "no request id");
    co_return false;
  }

  mService = route_table::PickService(*mRoute, mState.mRandom.Uniform01());
  for (const auto& part : mMetadata.mSharedParts) {
    mPartKeys.push_back(HashPromptPart(mService, part));
  }
  mRank = { mOrganisation == nullptr ? 0 : mOrganisation->mPriority, mRoute->mPriority };
  mDeadline =
    mArrived + std::min(mRoute->mTimeout, mMetadata.mCallerTimeout.value_or(mRoute->mTimeout));
  if (!MayStart(duration::zero())) {
    co_await AnswerStopping();
    co_return false;
  }

  if (const auto wait = TimeToLimit(0); wait > duration::zero()) {
    co_await RefuseOverLimit(wait);
    co_return false;
  }
  mState.mRetryBudgets[mService].OnRequest(mArrived);
  if (mState.mHedges.IsOn()) {
    mState.mHedges.OnRequest(mService);
  }
  mState.mDemand.OnEvent(ReadBootClock());
  mRequestKey = HashWholeRequest(
    mService,
    mOrganisation == nullptr ? std::string_view() : mOrganisation->mName,
    std::string_view(mRequest.method_string().data(), mRequest.method_string().size()),
    std::string_view(mRequest.target().data(), mRequest.target().size()),
    mRequest.body());
  mRequest = ForwardedRequest(std::move(mRequest), mState.mHeaderNames);
  co_return true;
}

auto exchange::Run() -> boost::asio::awaitable<void>
{
  for (;;) {
    auto verdict = JudgeSending();
    if (verdict.mRejectedKey) {
      co_await RefuseQuarantined(verdict);
      co_return;
    }
    const auto queued = ReadBootClock();
    const auto decision = co_await mState.mDispatchWaiter.Wait(Ticket());
    mDecision = decision;
    if (mState.mHedges.IsOn()) {
      RecordShortage(decision, ReadBootClock() - queued);
    }
    if (!decision.mEndpoint) {
      if (mExecutions > 0) {
        co_await Fail(502, kNoEndpointReason);
      } else {
        co_await Refuse(503, kNoEndpointReason, decision.mPlaceExpected);
      }
      co_return;
    }

    if (mResponseWriter.IsCallerGone()) {
      mState.mEndpoints.End(mId, attempt_result::Abandoned, ReadBootClock());
      Finish(exchange_end::CallerGone, 0, "caller closed the connection before the dispatch");
      co_return;
    }
    const auto endpoint = *decision.mEndpoint;
    if (!MayStart(endpoint.mExpected.mEnd)) {
      mState.mEndpoints.End(mId, attempt_result::Abandoned, ReadBootClock());
      mState.mDispatchWaiter.Wake();
      co_await AnswerStopping();
      co_return;
    }
    // Endpoints may have crashed while the request waited.
    if (!verdict.mIsTrial) {
      verdict = JudgeSending();
      if (verdict.mRejectedKey) {
        mState.mEndpoints.End(mId, attempt_result::Abandoned, ReadBootClock());
        mState.mDispatchWaiter.Wake();
        co_await RefuseQuarantined(verdict);
        co_return;
      }
    }
    // Units are taken only now: those of requests that wait and may still be refused would be
    // missing to others of the organisation.
    if (mSpentUnits == 0) {
      if (const auto wait = TimeToLimit(LimitUnits()); wait > duration::zero()) {
        mState.mEndpoints.End(mId, attempt_result::Abandoned, ReadBootClock());
        mState.mDispatchWaiter.Wake();
        co_await RefuseOverLimit(wait);
        co_return;
      }
      mSpentUnits = LimitUnits();
    }
    LogDispatch(decision);
    auto current = attempt{ mId, endpoint, ReadBootClock(), 0, {} };
    auto outcome = execution_outcome::Done;
    if (MayAttemptTwice() && !verdict.mIsTrial) {
      outcome = co_await SendParallel(current, decision.mExpected, HedgeDelay());
    } else {
      outcome = co_await SendOnce(current, decision.mExpected);
    }
    if (outcome == execution_outcome::Done) {
      co_return;
    }
    RecordFailedAttempt(current, outcome);
    if (outcome == execution_outcome::Retry) {
      continue;
    }
    // A request that reached no endpoint caused no load, so its retry is not taken from the budget.
    const auto isRepeatable = outcome != execution_outcome::MayHaveExecuted || MayRetry();
    const auto isFree = outcome == execution_outcome::NotReached;
    if (!isRepeatable || mSends >= kMaxSends || !(isFree || TakeRetry())) {
      if (mExecutions == 0) {
        const auto place = mState.mDispatchWaiter.Queue().TimeToPlace(Ticket(), ReadBootClock());
        co_await Refuse(503, "endpoints declined", place);
      } else {
        co_await Fail(502, "endpoint failed");
      }
      co_return;
    }
    // If the endpoint has crashed, that counts against the next attempt.
    co_await mState.mCrashMonitor.AwaitCheck(current.mEndpoint);
  }
}

auto exchange::SendOnce(attempt& aAttempt, duration aExpected)
  -> boost::asio::awaitable<execution_outcome>
{
  // Ends the outstanding request in the endpoint table however this attempt ends.
  struct outstanding_guard
  {
    gateway_state& mState;
    exchange_id mId;
    attempt_result mResult = attempt_result::Abandoned;
    ~outstanding_guard()
    {
      mState.mEndpoints.End(mId, mResult, ReadBootClock());
      mState.mDispatchWaiter.Wake();
    }
  } guard{ mState, aAttempt.mId };

  ++mSends;
  const auto& endpoint = aAttempt.mEndpoint;
  mLastEndpoint = endpoint.mId;
  const auto* service = mState.mEndpoints.ServiceOf(mService);
  const auto maxPooled = MaxPooledConnections(service == nullptr ? 0 : service->mMaxConnections,
                                              mState.mPeers.MemberCount());
  auto call =
    endpoint_call(mState.mConnections, endpoint.mId, mState.mHeaderNames.mRequestId, maxPooled);
  const auto maxIdle =
    mRoute->mRetryPolicy == retry_policy::Once ? kMaxIdleTimeNoRetry : kMaxIdleTime;
  const auto isOpen = co_await call.Open(endpoint.mAddress, maxIdle, kConnectTimeout);
  // An attempt that is cancelled fails by no fault of its endpoint.
  const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
  const auto isCancelled = [&] {
    return IsOvertaken(aAttempt) ||
           (mParallelAttempts != nullptr &&
            cancellation.cancelled() != boost::asio::cancellation_type::none);
  };
  if (!isOpen || isCancelled()) {
    guard.mResult = isCancelled() ? attempt_result::Abandoned : attempt_result::Unreachable;
    co_return execution_outcome::NotReached;
  }
  const auto eventsBefore = mEvents.EventCount();
  const auto outcome = co_await Transfer(call, aAttempt, aExpected, guard.mResult);
  aAttempt.mEvents = mEvents.EventCount() - eventsBefore;
  aAttempt.mReadError = call.ReadError();
  if (outcome != execution_outcome::Done && isCancelled()) {
    guard.mResult = attempt_result::Abandoned;
  }
  co_return outcome;
}

auto exchange::Transfer(endpoint_call& aCall,
                        attempt& aAttempt,
                        duration aExpected,
                        attempt_result& aResult) -> boost::asio::awaitable<execution_outcome>
{
  // From here on the request may be executed, unless the endpoint reports that it was not.
  ++mExecutions;
  const auto sent = ReadBootClock();
  mFirstSent = mFirstSent.value_or(sent);
  ArmStallTimer(aCall,
                aAttempt,
                aExpected * kStallFactor +
                  (mRoute->mIsStream ? kStreamStallMargin : kResponseStallMargin));
  if (!co_await aCall.Send(ComposeRequest(aAttempt.mEndpoint.mId))) {
    aResult = attempt_result::Failed;
    co_return execution_outcome::MayHaveExecuted;
  }
  if (aCall.Status() == 421) {
    --mExecutions;
    aResult = attempt_result::Unreachable;
    co_return execution_outcome::NotExecuted;
  }
  RecordEndpointState(aCall, aAttempt);
  if (aCall.Fields().count(mState.mHeaderNames.mNotRun) > 0) {
    --mExecutions;
    aResult = attempt_result::Declined;
    co_return execution_outcome::NotExecuted;
  }
  if (mRoute->mRetryPolicy == retry_policy::Once) {
    ReleaseBody();
  }
  const auto isSuccess = aCall.Status() >= 200 && aCall.Status() < 300;
  if (isSuccess && aCall.Fields()[mState.mHeaderNames.mResponseSeal].empty()) {
    aResult = attempt_result::Failed;
    co_return execution_outcome::MayHaveExecuted;
  }
  // A stream is forwarded in chunks, which would be surplus bytes behind an answer that has no
  // body.
  const auto isStream = mRoute->mIsStream && (aCall.HasBody() || mResponseWriter.HasStarted());
  if (isSuccess && isStream) {
    co_return co_await RelayStream(aCall, aAttempt, aResult);
  }
  co_return co_await RelayBuffered(aCall, aAttempt, aResult);
}

auto exchange::RecordEndpointState(const endpoint_call& aCall, const attempt& aAttempt) -> void
{
  RecordRateLimit(aCall, aAttempt);
  RecordRequestedPause(aCall, aAttempt);
  const auto& endpoint = aAttempt.mEndpoint;
  const auto isLeaving = aCall.Fields()[mState.mHeaderNames.mLeaving] == "1";
  if (isLeaving && mState.mEndpoints.OnLeavingAnswer(endpoint.mId, endpoint.mIncarnation)) {
    mState.mLog.Write(log_priority::Notable,
                      "endpoint_answered_leaving",
                      { { "endpoint", endpoint.mId }, { "request", mMetadata.mId } },
                      ReadBootClock());
  }
}

auto exchange::RecordRequestedPause(const endpoint_call& aCall, const attempt& aAttempt) -> void
{
  const auto text = aCall.Fields()[http::field::retry_after];
  if (aCall.Status() != 503 || text.empty()) {
    return;
  }
  const auto now = ReadBootClock();
  const auto& endpoint = aAttempt.mEndpoint;
  const auto seconds = ParseDecimal({ text.data(), text.size() });
  if (!seconds) {
    mState.mLog.Write(
      log_priority::Notable,
      "requested_pause_malformed",
      { { "endpoint", endpoint.mId }, { "value", text.substr(0, kMaxLoggedValue) } },
      now);
    return;
  }
  const auto pause = FromSeconds(std::min(*seconds, ToSeconds(endpoint_table::kMaxPause)));
  if (mState.mEndpoints.OnPauseRequested(endpoint.mId, endpoint.mIncarnation, pause, now)) {
    mState.mLog.Write(
      log_priority::Routine,
      "endpoint_paused",
      { { "endpoint", endpoint.mId }, { "request", mMetadata.mId }, { "pause_us", pause.count() } },
      now);
  }
}

auto exchange::RecordRateLimit(const endpoint_call& aCall, const attempt& aAttempt) -> void
{
  const auto now = ReadBootClock();
  const auto& endpoint = aAttempt.mEndpoint;
  const auto text = aCall.Fields()[mState.mHeaderNames.mRateLimit];
  const auto limit = ParseDecimal({ text.data(), text.size() });
  if (!limit && !text.empty()) {
    mState.mLog.Write(
      log_priority::Notable,
      "rate_limit_malformed",
      { { "endpoint", endpoint.mId }, { "value", text.substr(0, kMaxLoggedValue) } },
      now);
    return;
  }
  const auto key = HashEndpointIncarnation(endpoint.mId, endpoint.mIncarnation);
  if (mState.mEndpoints.RateLimits().OnAnswer(key, limit, aAttempt.mStarted, now)) {
    mState.mLog.Write(log_priority::Notable,
                      "rate_limit_changed",
                      { { "endpoint", endpoint.mId },
                        { "limit_per_s", limit ? boost::json::value(*limit) : nullptr },
                        { "request", mMetadata.mId } },
                      now);
  }
}

auto exchange::CanBeSentElsewhere(time_point aNow) const -> bool
{
  const auto other = mState.mDispatchWaiter.Queue().Preview(TicketForOthers(), aNow);
  return other && MayStart(other->mExpected.mEnd);
}

auto exchange::CanEndElsewhere(time_point aNow) const -> bool
{
  return CanBeSentElsewhere(aNow) ||
         (MayStart(duration::zero()) &&
          mState.mDispatchWaiter.Queue().MayWait(TicketForOthers(), aNow));
}

auto exchange::RefuseQuarantined(const crash_quarantine::verdict& aVerdict)
  -> boost::asio::awaitable<void>
{
  const auto isPart = *aVerdict.mRejectedKey < mPartKeys.size();
  const auto reason = isPart ? std::string_view("a part of the prompt crashed endpoints")
                             : std::string_view("the request crashed endpoints");
  mQuarantineVerdict = aVerdict;
  mState.mMetrics
    .Counter(isPart ? "bronzering_quarantine_refusals_total"
                    : "bronzering_request_quarantine_refusals_total")
    .Add();
  if (mExecutions > 0) {
    co_await Fail(502, reason);
  } else {
    co_await RefuseFor(503, reason, aVerdict.mRetryAfter);
  }
}

auto exchange::ReportBrokenAttempt(const attempt& aAttempt) -> void
{
  // The gateway itself aborts attempts that stall.
  const auto brokeOff =
    aAttempt.mReadError && aAttempt.mReadError != boost::asio::error::operation_aborted;
  if (!brokeOff) {
    return;
  }
  // Once it is answering, the endpoint has read the prompt, but may still crash on the request.
  const auto wasAnswering = aAttempt.mEvents >= kAnsweringEvents;
  mState.mCrashMonitor.OnBrokenAttempt(aAttempt.mEndpoint,
                                       wasAnswering ? std::vector<suspect_key>{ mRequestKey }
                                                    : QuarantineKeys(),
                                       wasAnswering);
}

auto exchange::JudgeSending() -> crash_quarantine::verdict
{
  const auto now = ReadBootClock();
  const auto verdict = mState.mQuarantine.Judge(QuarantineKeys(), now);
  if (verdict.mIsTrial) {
    mState.mLog.Write(
      log_priority::Notable, "quarantine_trial", { { "request", mMetadata.mId } }, now);
  }
  return verdict;
}

auto exchange::QuarantineKeys() const -> std::vector<suspect_key>
{
  auto keys = mPartKeys;
  keys.push_back(mRequestKey);
  return keys;
}

auto exchange::Refuse(unsigned aStatus, std::string_view aReason, std::optional<duration> aExpected)
  -> boost::asio::awaitable<void>
{
  const auto callerTimeout =
    mMetadata.mCallerTimeout.value_or(mRoute == nullptr ? kDefaultTimeLeft : mRoute->mTimeout);
  const auto left =
    std::max(duration::zero(), duration(mArrived + callerTimeout - ReadBootClock()));
  co_await RefuseFor(aStatus, aReason, ReturnDelay(aExpected, left, mState.mRandom.Uniform01()));
}

auto exchange::LimitUnits() const -> double
{
  if (mOrganisation == nullptr || mOrganisation->mRate <= 0) {
    return 0;
  }
  if (!mOrganisation->mCountsTokens) {
    return 1;
  }
  const auto& work = mMetadata.mDeclaredWork;
  return work ? static_cast<double>(work->mPromptTokens + work->mOutputTokens)
              : mOrganisation->mDefaultUnits;
}

auto exchange::TimeToLimit(double aUnits) -> duration
{
  return LimitUnits() == 0
           ? duration::zero()
           : mState.mRateLimiter.Spend(mOrganisation->mName, aUnits, ReadBootClock());
}

auto exchange::RefuseOverLimit(duration aWait) -> boost::asio::awaitable<void>
{
  mRefusedUnits = LimitUnits();
  co_await Refuse(429, "limit of the organisation", aWait);
}

auto exchange::RefuseFor(unsigned aStatus, std::string_view aReason, duration aRetryAfter)
  -> boost::asio::awaitable<void>
{
  if (mSpentUnits > 0 && mOrganisation != nullptr) {
    mState.mRateLimiter.Refund(mOrganisation->mName, mSpentUnits, ReadBootClock());
  }
  mRetryAfter = aRetryAfter;
  co_await WriteProblem(aStatus, aReason, true, aRetryAfter);
  Finish(exchange_end::Refused, aStatus, aReason);
}

auto exchange::Fail(unsigned aStatus, std::string_view aReason) -> boost::asio::awaitable<void>
{
  if (mResponseWriter.HasStarted()) {
    Finish(exchange_end::Cut, 0, aReason);
    co_return;
  }
  if (mKeptError) {
    co_await ForwardKeptError();
    co_return;
  }
  co_await WriteProblem(aStatus, aReason, false, {});
  Finish(exchange_end::Failed, aStatus, aReason);
}

auto exchange::WriteProblem(unsigned aStatus,
                            std::string_view aReason,
                            bool aIsNotExecuted,
                            duration aRetryAfter) -> boost::asio::awaitable<void>
{
  auto fields = http_fields();
  fields.set(http::field::content_type, "application/problem+json");
  if (!mMetadata.mId.empty()) {
    fields.set(mState.mHeaderNames.mRequestId, mMetadata.mId);
  }
  if (aRetryAfter > duration::zero()) {
    fields.set(http::field::retry_after, fmt::format("{:.3f}", ToSeconds(aRetryAfter)));
  }
  auto problem = boost::json::object();
  problem["title"] = aReason;
  problem["status"] = aStatus;
  problem["not_run"] = aIsNotExecuted ? boost::json::value(true) : boost::json::value("unknown");
  if (mState.mShutdown.IsStopping()) {
    mResponseWriter.CloseAfterResponse();
  }
  co_await mResponseWriter.WriteComplete(aStatus, fields, boost::json::serialize(problem));
}

auto exchange::MayStart(duration aExpected) const -> bool
{
  return mState.mShutdown.MayStart({ mArrived, mDeadline, aExpected }, ReadBootClock());
}

auto exchange::TimeLeft(time_point aNow) const -> duration
{
  const auto end = mState.mShutdown.LimitDeadline(mDeadline);
  return std::max(duration::zero(), duration(end - aNow));
}

auto exchange::FirstEventBy() const -> time_point
{
  return mRoute->mMaxEventGap
           ? std::min(mDeadline, mLastEvent.value_or(mArrived) + *mRoute->mMaxEventGap)
           : mDeadline;
}

auto exchange::MayRetry() const -> bool
{
  if (mExecutions >= mRoute->mMaxAttempts) {
    return false;
  }
  switch (mRoute->mRetryPolicy) {
    case retry_policy::Once:
      return false;
    case retry_policy::Repeatable:
      return !mResponseWriter.HasStarted();
    case retry_policy::Resumable:
      return true;
  }
  return false;
}

auto exchange::MayAttemptTwice() const -> bool
{
  return mRoute->mRetryPolicy != retry_policy::Once && mExecutions + 2 <= mRoute->mMaxAttempts;
}

auto exchange::TakeRetry() -> bool
{
  return mState.mRetryBudgets[mService].TryTake(mState.mPeers.MemberCount(), ReadBootClock());
}

auto exchange::ReleaseBody() -> void
{
  mRequest.body() = std::string();
  mBodyMemory.Release();
}

auto exchange::ComposeRequest(const std::string& aEndpoint) const -> forwarded_request
{
  const auto& headers = mState.mHeaderNames;
  auto request = forwarded_request(mRequest.base());
  request.body() = { mRequest.body().data(), mRequest.body().size() };
  const auto left = std::chrono::floor<std::chrono::milliseconds>(TimeLeft(ReadBootClock()));
  request.set(headers.mDeadline, std::to_string(left.count()));
  request.set(headers.mExpectedEndpoint, aEndpoint);
  if (mOrganisation != nullptr) {
    request.set(headers.mOrganisation, mOrganisation->mName);
  }
  if (!mEvents.LastId().empty()) {
    request.set(headers.mLastEventId, mEvents.LastId());
  }
  return request;
}

auto exchange::TicketForOthers() const -> dispatch_ticket
{
  auto ticket = Ticket();
  ticket.mExcluded.push_back(mLastEndpoint);
  return ticket;
}

auto exchange::Ticket() const -> dispatch_ticket
{
  auto ticket = dispatch_ticket();
  ticket.mExchange = mId;
  ticket.mService = mService;
  ticket.mWork = mMetadata.mEstimatedWork;
  ticket.mRank = mRank;
  ticket.mIsUrgent = mRank <= mRoutes->MostUrgent();
  ticket.mFirstEventBy = FirstEventBy();
  ticket.mDeadline = mDeadline;
  ticket.mExcluded = mTriedEndpoints;
  return ticket;
}

} // namespace bronzering
