#include "exchange.h"

#include "within.h"

#include <bronzering/base/boot_clock.h>

#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

/// Time for a connection to an endpoint; a round trip between availability zones takes a tenth.
constexpr auto kConnectTimeout = duration(std::chrono::milliseconds(300));
/// A kept connection may be closed by the endpoint just as a request is sent on it; the risk grows
/// with its age, and a request that may not be repeated takes less of it.
constexpr auto kMaxIdle = duration(std::chrono::seconds(30));
constexpr auto kMaxIdleOnce = duration(std::chrono::seconds(2));
/// Silence beyond this many times the expected time, plus a fixed part, counts against the
/// endpoint.
constexpr auto kPatienceFactor = 3;
constexpr auto kWholePatience = duration(std::chrono::milliseconds(150));
constexpr auto kStreamPatience = duration(std::chrono::milliseconds(600));
/// Silence between two events of a stream.
constexpr auto kEventPatience = duration(std::chrono::milliseconds(1'000));
/// Sends of one request, declined ones included.
constexpr auto kMaxSends = 4U;
/// A stop lets streams that begin early enough end by themselves.
constexpr auto kLastStreamAfterStop = duration(std::chrono::milliseconds(2'800));
constexpr auto kLastRequestAfterStop = duration(std::chrono::milliseconds(5'500));
constexpr auto kStoppingRetryAfter = duration(std::chrono::milliseconds(50));
constexpr auto kUnconfiguredWait = duration(std::chrono::milliseconds(400));
constexpr auto kUnconfiguredRetryAfter = duration(std::chrono::milliseconds(500));
/// Callers honour a time to come back up to this share of the time they have left.
constexpr auto kMaxRetryShare = 1.0 / 3;
constexpr auto kMaxAnswerBytes = std::size_t{ 64 } * 1024 * 1024;

auto Micros(duration aDuration) -> std::int64_t
{
  return aDuration.count();
}

} // namespace

exchange::exchange(gateway_state& aState, http_request aRequest, caller_reply& aReply)
  : mState(aState)
  , mReply(aReply)
  , mId{ ++aState.mExchanges }
  , mArrived(ReadBootClock())
  , mRoutes(aState.mRoutes)
  , mFacts(ReadFacts(aRequest, aState.mDialect))
  , mRequest(std::move(aRequest))
  , mDeadline(mArrived)
{
}

exchange::~exchange()
{
  if (!mIsFinished) {
    Finish(exchange_end::CallerGone, 0, "caller closed the connection");
  }
}

auto exchange::Serve() -> boost::asio::awaitable<void>
{
  if (!co_await Admit()) {
    co_return;
  }
  const auto isInTime = co_await Within(
    [](exchange& aSelf) -> boost::asio::awaitable<bool> {
      co_await aSelf.Run();
      co_return true;
    }(*this),
    Left(ReadBootClock()));
  if (isInTime || mIsFinished) {
    co_return;
  }
  if (mReply.HasStarted()) {
    Finish(exchange_end::TimedOut, 0, "stream exceeded its time");
  } else if (mRuns == 0) {
    co_await Refuse(503, "no endpoint within the deadline", {});
  } else {
    co_await WriteProblem(504, "no answer within the deadline", false, {});
    Finish(exchange_end::TimedOut, 504, "no answer within the deadline");
  }
}

auto exchange::Admit() -> boost::asio::awaitable<bool>
{
  // A process that knows no configuration cannot tell what is allowed. After a start it takes a
  // moment.
  if (!mRoutes) {
    co_await Within(
      mState.mDocumentKnown.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)),
      kUnconfiguredWait);
    mRoutes = mState.mRoutes;
  }
  if (!mRoutes) {
    co_await Refuse(503, "no configuration yet", kUnconfiguredRetryAfter);
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
  mOrganisation = mRoutes->FindOrganisation(mFacts.mKey);
  const auto needsKey = !mRoutes->Document().mOrganisations.empty() && !mRoute->mIsPublic;
  if (needsKey && mOrganisation == nullptr) {
    co_await WriteProblem(401, "unknown key", true, {});
    Finish(exchange_end::Rejected, 401, "unknown key");
    co_return false;
  }
  if (mFacts.mId.empty()) {
    co_await WriteProblem(400, "no request id", true, {});
    Finish(exchange_end::Rejected, 400, "no request id");
    co_return false;
  }

  mService = route_table::PickService(*mRoute, mState.mRandom.Uniform01());
  mRank = { mOrganisation == nullptr ? 0 : mOrganisation->mPriority, mRoute->mPriority };
  mDeadline = mArrived + std::min(mRoute->mTimeout, mFacts.mPatience.value_or(mRoute->mTimeout));
  if (IsStopped()) {
    co_await Refuse(503, "shutting down", kStoppingRetryAfter);
    co_return false;
  }

  if (mOrganisation != nullptr && mOrganisation->mRate > 0) {
    const auto units =
      !mOrganisation->mCountsTokens ? 1
      : mFacts.mCounted
        ? static_cast<double>(mFacts.mCounted->mPromptTokens + mFacts.mCounted->mOutputTokens)
        : mOrganisation->mDefaultUnits;
    const auto wait = mState.mQuotas.Spend(mOrganisation->mName, units, mArrived);
    if (wait > duration::zero()) {
      mRefusedUnits = units;
      co_await Refuse(429, "limit of the organisation", wait);
      co_return false;
    }
    mUnits = units;
  }
  mState.mRepeats[mService].OnRequest(mArrived);
  mRequest = ForwardedRequest(std::move(mRequest), mState.mDialect);
  co_return true;
}

auto exchange::Run() -> boost::asio::awaitable<void>
{
  for (;;) {
    const auto decision = co_await mState.mWaiter.Wait(Ticket());
    mDecision = decision;
    if (!decision.mEndpoint) {
      if (mRuns > 0) {
        co_await Fail(502, "no other endpoint for a repeat");
      } else {
        co_await Refuse(503, "no endpoint can answer in time", decision.mRetryAfter);
      }
      co_return;
    }

    const auto endpoint = *decision.mEndpoint;
    mState.mLog.Write(log_priority::Routine,
                      "dispatched",
                      { { "request", mFacts.mId },
                        { "endpoint", endpoint.mId },
                        { "expected_us", Micros(decision.mExpected) },
                        { "allowed_us", Micros(decision.mAllowed) },
                        { "waiting", decision.mWaiting },
                        { "send", mSends + 1 } },
                      ReadBootClock());
    const auto outcome = co_await SendOnce(endpoint, decision.mExpected);
    if (outcome == send_outcome::Done) {
      co_return;
    }
    mTried.push_back(endpoint.mId);
    if (outcome == send_outcome::Repeat) {
      continue;
    }
    // A request that reached no endpoint costs nobody anything when it is sent once more.
    const auto isRepeatable = outcome != send_outcome::MayHaveRun || MayRepeat();
    const auto isFree = outcome == send_outcome::NotReached;
    if (!isRepeatable || mSends >= kMaxSends || !(isFree || TakeRepeat())) {
      if (mRuns == 0) {
        co_await Refuse(503, "endpoints declined", mRoute->mObjective);
      } else {
        co_await Fail(502, "endpoint failed");
      }
      co_return;
    }
  }
}

auto exchange::SendOnce(const endpoint_table::choice& aEndpoint, duration aExpected)
  -> boost::asio::awaitable<send_outcome>
{
  // The endpoint's account is settled however this send ends.
  struct settlement
  {
    gateway_state& mState;
    exchange_id mId;
    attempt_result mResult = attempt_result::Abandoned;
    ~settlement()
    {
      mState.mEndpoints.End(mId, mResult, ReadBootClock());
      mState.mWaiter.Wake();
    }
  } account{ mState, mId };

  ++mSends;
  mLastEndpoint = aEndpoint.mId;
  const auto* service = mState.mEndpoints.ServiceOf(mService);
  const auto maxKept =
    KeptConnections(service == nullptr ? 0 : service->mMaxConnections, mState.mPeers.MemberCount());
  auto call = engine_call(mState.mConnections, aEndpoint.mId, mState.mDialect.mRequestId, maxKept);
  const auto maxIdle = mRoute->mRetryPolicy == retry_policy::Once ? kMaxIdleOnce : kMaxIdle;
  if (!co_await call.Open(aEndpoint.mAddress, maxIdle, kConnectTimeout)) {
    account.mResult = attempt_result::Unreachable;
    co_return send_outcome::NotReached;
  }

  // From here on the request may run, until the endpoint says that it did not.
  ++mRuns;
  const auto sent = ReadBootClock();
  mFirstSent = mFirstSent.value_or(sent);
  WatchSilence(
    call, aExpected * kPatienceFactor + (mRoute->mIsStream ? kStreamPatience : kWholePatience));
  if (!co_await call.Send(ComposeRequest(aEndpoint.mId))) {
    account.mResult = attempt_result::Failed;
    co_return send_outcome::MayHaveRun;
  }
  if (call.Status() == 421) {
    --mRuns;
    account.mResult = attempt_result::Unreachable;
    co_return send_outcome::NotRun;
  }
  if (call.Fields().count(mState.mDialect.mNotRun) > 0) {
    --mRuns;
    account.mResult = attempt_result::Declined;
    co_return send_outcome::NotRun;
  }
  const auto isSuccess = call.Status() >= 200 && call.Status() < 300;
  if (isSuccess && call.Fields()[mState.mDialect.mResponseSeal].empty()) {
    account.mResult = attempt_result::Failed;
    co_return send_outcome::MayHaveRun;
  }
  if (isSuccess && mRoute->mIsStream) {
    co_return co_await RelayStream(call, account.mResult);
  }
  co_return co_await RelayWhole(call, account.mResult);
}

auto exchange::RelayWhole(engine_call& aCall, attempt_result& aResult)
  -> boost::asio::awaitable<send_outcome>
{
  auto body = std::string();
  for (;;) {
    const auto part = co_await aCall.ReadSome();
    if (!part || body.size() > kMaxAnswerBytes) {
      aResult = attempt_result::Failed;
      co_return send_outcome::MayHaveRun;
    }
    if (part->empty()) {
      break;
    }
    body += *part;
  }

  // An endpoint's own error is worth another try where the route allows one; the answer is passed
  // on otherwise. A stream that has begun cannot take another status.
  const auto isError = aCall.Status() >= 500;
  aResult = isError ? attempt_result::Failed : attempt_result::Answered;
  if (mReply.HasStarted()) {
    co_return send_outcome::MayHaveRun;
  }
  if (isError && MayRepeat() && mSends < kMaxSends && Left(ReadBootClock()) > mRoute->mObjective &&
      TakeRepeat()) {
    co_return send_outcome::Repeat;
  }
  mFirstEvent = ReadBootClock();
  co_await mReply.WriteWhole(aCall.Status(), aCall.Fields(), body);
  Finish(exchange_end::Answered, aCall.Status(), isError ? "endpoint answered with an error" : "");
  co_return send_outcome::Done;
}

auto exchange::RelayStream(engine_call& aCall, attempt_result& aResult)
  -> boost::asio::awaitable<send_outcome>
{
  const auto head = aCall.Fields();
  const auto status = aCall.Status();
  mEvents.BeginRun();
  for (;;) {
    const auto bytes = co_await aCall.ReadSome();
    if (!bytes) {
      aResult = attempt_result::Failed;
      co_return send_outcome::MayHaveRun;
    }
    const auto now = ReadBootClock();
    WatchSilence(aCall, kEventPatience);
    auto part = mEvents.Add(*bytes);
    if (bytes->empty()) {
      part.mBytes += mEvents.Rest();
    }
    mState.mEndpoints.OnEvents(mId, part.mEvents, now);
    if (part.mEvents > 0) {
      if (mLastEvent) {
        mLongestPause = std::max<duration>(mLongestPause, now - *mLastEvent);
      }
      mLastEvent = now;
    }
    if (part.mHasGap) {
      aResult = attempt_result::Failed;
      co_return send_outcome::MayHaveRun;
    }

    // The head goes out with the first event, so that a run which breaks before it can be repeated.
    auto isWritten = true;
    if (!part.mBytes.empty() || (bytes->empty() && !mReply.HasStarted())) {
      if (mReply.HasStarted()) {
        isWritten = co_await mReply.ContinueStream(part.mBytes);
      } else {
        mFirstEvent = now;
        isWritten = co_await mReply.StartStream(status, head, part.mBytes);
      }
    }
    if (isWritten && bytes->empty()) {
      aResult = attempt_result::Answered;
      isWritten = co_await mReply.FinishStream();
      Finish(exchange_end::Answered, status, "");
      co_return send_outcome::Done;
    }
    if (!isWritten) {
      Finish(exchange_end::CallerGone, status, "caller closed the connection");
      co_return send_outcome::Done;
    }
  }
}

auto exchange::WatchSilence(engine_call& aCall, duration aPatience) -> void
{
  aCall.WatchSilence(aPatience, [this, &aCall] {
    const auto now = ReadBootClock();
    mState.mEndpoints.OnStall(mId, now);
    const auto isAborted = MayRepeat() && mSends < kMaxSends;
    mState.mLog.Write(log_priority::Notable,
                      "endpoint_silent",
                      { { "request", mFacts.mId },
                        { "endpoint", mLastEndpoint },
                        { "events", mEvents.EventCount() },
                        { "aborted", isAborted } },
                      now);
    if (isAborted) {
      aCall.Abort();
    }
  });
}

auto exchange::Refuse(unsigned aStatus, std::string_view aReason, duration aRetryAfter)
  -> boost::asio::awaitable<void>
{
  const auto now = ReadBootClock();
  if (mUnits > 0 && mOrganisation != nullptr) {
    mState.mQuotas.Refund(mOrganisation->mName, mUnits, now);
  }
  const auto patience =
    mFacts.mPatience.value_or(mRoute == nullptr ? kUnconfiguredRetryAfter * 3 : mRoute->mTimeout);
  const auto left = std::max(duration::zero(), duration(mArrived + patience - now));
  const auto retryAfter = std::min(aRetryAfter, FromSeconds(ToSeconds(left) * kMaxRetryShare));
  mRetryAfter = retryAfter;
  co_await WriteProblem(aStatus, aReason, true, retryAfter);
  Finish(exchange_end::Refused, aStatus, aReason);
}

auto exchange::Fail(unsigned aStatus, std::string_view aReason) -> boost::asio::awaitable<void>
{
  if (mReply.HasStarted()) {
    Finish(exchange_end::Cut, 0, aReason);
    co_return;
  }
  co_await WriteProblem(aStatus, aReason, false, {});
  Finish(exchange_end::Failed, aStatus, aReason);
}

auto exchange::WriteProblem(unsigned aStatus,
                            std::string_view aReason,
                            bool aIsNotRun,
                            duration aRetryAfter) -> boost::asio::awaitable<void>
{
  auto fields = http_fields();
  fields.set(http::field::content_type, "application/problem+json");
  if (!mFacts.mId.empty()) {
    fields.set(mState.mDialect.mRequestId, mFacts.mId);
  }
  if (aRetryAfter > duration::zero()) {
    fields.set(http::field::retry_after, fmt::format("{:.3f}", ToSeconds(aRetryAfter)));
  }
  auto problem = boost::json::object();
  problem["title"] = aReason;
  problem["status"] = aStatus;
  problem["not_run"] = aIsNotRun ? boost::json::value(true) : boost::json::value("unknown");
  if (mState.mIsStopping) {
    mReply.CloseAfterwards();
  }
  co_await mReply.WriteWhole(aStatus, fields, boost::json::serialize(problem));
}

auto exchange::IsStopped() const -> bool
{
  if (!mState.mIsStopping) {
    return false;
  }
  const auto since = mArrived - mState.mStoppedAt;
  return since > (mRoute->mIsStream ? kLastStreamAfterStop : kLastRequestAfterStop);
}

auto exchange::Left(time_point aNow) const -> duration
{
  return std::max(duration::zero(), duration(mDeadline - aNow));
}

auto exchange::MayRepeat() const -> bool
{
  if (mRuns >= mRoute->mMaxAttempts) {
    return false;
  }
  switch (mRoute->mRetryPolicy) {
    case retry_policy::Once:
      return false;
    case retry_policy::Repeatable:
      return !mReply.HasStarted();
    case retry_policy::Resumable:
      return true;
  }
  return false;
}

auto exchange::TakeRepeat() -> bool
{
  return mState.mRepeats[mService].TryTake(mState.mPeers.MemberCount(), ReadBootClock());
}

auto exchange::ComposeRequest(const std::string& aEndpoint) const -> http_request
{
  const auto& dialect = mState.mDialect;
  auto request = mRequest;
  const auto left = std::chrono::floor<std::chrono::milliseconds>(Left(ReadBootClock()));
  request.set(dialect.mDeadline, std::to_string(left.count()));
  request.set(dialect.mExpectedEndpoint, aEndpoint);
  if (mOrganisation != nullptr) {
    request.set(dialect.mOrganisation, mOrganisation->mName);
  }
  if (!mEvents.LastId().empty()) {
    request.set(dialect.mLastEventId, mEvents.LastId());
  }
  return request;
}

auto exchange::Ticket() const -> dispatch_ticket
{
  auto ticket = dispatch_ticket();
  ticket.mExchange = mId;
  ticket.mService = mService;
  ticket.mWork = mFacts.mEstimated;
  ticket.mRank = mRank;
  ticket.mIsUrgent = mRank <= mRoutes->MostUrgent();
  ticket.mArrived = mArrived;
  ticket.mObjective = mRoute->mObjective;
  ticket.mDeadline = mDeadline;
  ticket.mExcluded = mTried;
  ticket.mIsRetry = mRuns > 0;
  return ticket;
}

auto exchange::AddInputs(boost::json::object& aLine) const -> void
{
  aLine["retry_after_us"] = Micros(mRetryAfter);
  aLine["revision"] = mState.mItems.Revision();
  aLine["source_reachable"] = mState.mItems.IsSourceReachable();
  aLine["live_peers"] = mState.mPeers.LivePeers().size();
  if (mDecision) {
    aLine["expected_us"] = Micros(mDecision->mExpected);
    aLine["allowed_us"] = Micros(mDecision->mAllowed);
    aLine["waiting"] = mDecision->mWaiting;
  }
  if (mUnits > 0 || mRefusedUnits > 0) {
    aLine["units"] = std::max(mUnits, mRefusedUnits);
    aLine["limit_level"] = mState.mQuotas.Level(mOrganisation->mName, ReadBootClock());
  }
}

auto exchange::Finish(exchange_end aEnd, unsigned aStatus, std::string_view aReason) -> void
{
  mIsFinished = true;
  const auto now = ReadBootClock();
  const auto end = kExchangeEndNames.NameOf(aEnd);
  auto line = boost::json::object{ { "request", mFacts.mId },
                                   { "outcome", end },
                                   { "status", aStatus },
                                   { "total_us", Micros(now - mArrived) } };
  if (!aReason.empty()) {
    line["reason"] = aReason;
  }
  if (mRoute != nullptr) {
    line["route"] = mRoute->mName;
    line["priority"] = mRank.mRoute;
    line["configuration"] = mRoutes->Document().mVersion;
    line["left_us"] = Micros(mDeadline - now);
    line["prompt_tokens"] = mFacts.mEstimated.mPromptTokens;
    line["output_tokens"] = mFacts.mEstimated.mOutputTokens;
  }
  if (mOrganisation != nullptr) {
    line["organisation"] = mOrganisation->mName;
  }
  if (mSends > 0) {
    line["service"] = mService;
    line["endpoint"] = mLastEndpoint;
    line["sends"] = mSends;
    line["events"] = mEvents.EventCount();
  }
  if (aEnd == exchange_end::Refused || aEnd == exchange_end::Failed) {
    AddInputs(line);
  }
  if (mFirstSent) {
    line["sent_us"] = Micros(*mFirstSent - mArrived);
  }
  if (mFirstEvent) {
    line["first_us"] = Micros(*mFirstEvent - mArrived);
  }
  if (mLongestPause > duration::zero()) {
    line["longest_pause_us"] = Micros(mLongestPause);
  }
  mState.mLog.Write(aEnd == exchange_end::Answered ? log_priority::Routine : log_priority::Notable,
                    "request_ended",
                    std::move(line),
                    now);

  // Metrics.
  const auto labels =
    fmt::format("service=\"{}\",priority=\"{}\",outcome=\"{}\"", mService, mRank.mRoute, end);
  mState.mMetrics.Histogram("bronzering_request_seconds", labels)
    .Observe(ToSeconds(now - mArrived));
  if (mFirstSent) {
    mState.mMetrics.Histogram("bronzering_dispatch_seconds", labels)
      .Observe(ToSeconds(*mFirstSent - mArrived));
  }
  if (mFirstEvent) {
    mState.mMetrics.Histogram("bronzering_first_event_seconds", labels)
      .Observe(ToSeconds(*mFirstEvent - mArrived));
  }
}

} // namespace bronzering
