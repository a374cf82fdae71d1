// The log lines and metrics of exchange.

#include "exchange.h"

#include <bronzering/base/boot_clock.h>

#include <boost/json/value_from.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace bronzering {

namespace {

auto Micros(duration aDuration) -> std::int64_t
{
  return aDuration.count();
}

} // namespace

auto exchange::LogDispatch(const dispatch_decision& aDecision) -> void
{
  auto line = boost::json::object{ { "request", mMetadata.mId },
                                   { "endpoint", aDecision.mEndpoint->mId },
                                   { "expected_us", Micros(aDecision.mExpected) },
                                   { "allowed_us", Micros(aDecision.mAllowed) },
                                   { "waiting", aDecision.mWaiting },
                                   { "send", mSends + 1 } };
  if (mSpentUnits > 0) {
    line["organisation"] = mOrganisation->mName;
    line["units"] = mSpentUnits;
  }
  mState.mLog.Write(log_priority::Routine, "dispatched", std::move(line), ReadBootClock());
}

auto exchange::LogFailedAttempt(const attempt& aAttempt, execution_outcome aOutcome) -> void
{
  const auto now = ReadBootClock();
  auto line =
    boost::json::object{ { "request", mMetadata.mId },
                         { "endpoint", aAttempt.mEndpoint.mId },
                         { "outcome", kExecutionOutcomeNames.NameOf(aOutcome) },
                         { "send", mSends },
                         { "attempt_us", Micros(now - aAttempt.mStarted) },
                         { "events", aAttempt.mEvents },
                         { "shared_parts", boost::json::value_from(mMetadata.mSharedParts) } };
  if (aAttempt.mReadError) {
    line["read_error"] = aAttempt.mReadError.message();
  }
  if (const auto fault = FaultOf(aAttempt.mReadError)) {
    const auto name = kResponseFaultNames.NameOf(*fault);
    line["broken_answer"] = name;
    mState.mMetrics
      .Counter("bronzering_broken_answers_total",
               fmt::format("service=\"{}\",fault=\"{}\"", mService, name))
      .Add();
  }
  mState.mLog.Write(log_priority::Notable, "attempt_failed", std::move(line), now);
  mState.mMetrics
    .Counter("bronzering_attempt_failures_total",
             fmt::format(
               "service=\"{}\",outcome=\"{}\"", mService, kExecutionOutcomeNames.NameOf(aOutcome)))
    .Add();
}

auto exchange::AddDecisionInputs(boost::json::object& aLine) const -> void
{
  aLine["retry_after_us"] = Micros(mRetryAfter);
  aLine["revision"] = mState.mItems.Position().mRevision;
  aLine["history"] = mState.mItems.Position().mHistory;
  aLine["source_reachable"] = mState.mItems.IsSourceReachable();
  aLine["live_peers"] = mState.mPeers.LiveCount();
  if (mState.mShutdown.IsStopping()) {
    aLine["until_last_answer_us"] = Micros(mState.mShutdown.LastAnswer() - ReadBootClock());
  }
  if (mDecision) {
    aLine["expected_us"] = Micros(mDecision->mExpected);
    aLine["allowed_us"] = Micros(mDecision->mAllowed);
    aLine["waiting"] = mDecision->mWaiting;
    if (mDecision->mPlaceExpected) {
      aLine["place_expected_us"] = Micros(*mDecision->mPlaceExpected);
    }
  }
  if (const auto limited = mState.mEndpoints.RateLimitedCount(mService, ReadBootClock())) {
    aLine["rate_limited"] = limited;
  }
  if (mQuarantineVerdict) {
    if (const auto at = *mQuarantineVerdict->mRejectedKey; at < mMetadata.mSharedParts.size()) {
      aLine["suspected_part"] = mMetadata.mSharedParts[at];
    } else {
      aLine["suspected_request"] = true;
    }
    aLine["crashes"] = mQuarantineVerdict->mCrashes;
  }
  if (mSpentUnits > 0 || mRefusedUnits > 0) {
    aLine["units"] = std::max(mSpentUnits, mRefusedUnits);
    aLine["limit_level"] = mState.mRateLimiter.Level(mOrganisation->mName, ReadBootClock());
  }
}

auto exchange::Finish(exchange_end aEnd, unsigned aStatus, std::string_view aReason) -> void
{
  mIsFinished = true;
  SettleSecondAttempt(second_attempt_result::Abandoned);
  const auto now = ReadBootClock();
  const auto end = kExchangeEndNames.NameOf(aEnd);
  auto line = boost::json::object{ { "request", mMetadata.mId },
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
    line["prompt_tokens"] = mMetadata.mEstimatedWork.mPromptTokens;
    line["output_tokens"] = mMetadata.mEstimatedWork.mOutputTokens;
  }
  if (!mMetadata.mSharedParts.empty()) {
    line["shared_parts"] = boost::json::value_from(mMetadata.mSharedParts);
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
  if (mHedgeResult) {
    line["hedge"] = kSecondAttemptResultNames.NameOf(*mHedgeResult);
  }
  if (mTakeoverResult) {
    line["takeover"] = kSecondAttemptResultNames.NameOf(*mTakeoverResult);
  }
  if (aEnd == exchange_end::Refused || aEnd == exchange_end::Failed) {
    AddDecisionInputs(line);
  }
  if (mFirstSent) {
    line["sent_us"] = Micros(*mFirstSent - mArrived);
  }
  if (mFirstEvent) {
    line["first_us"] = Micros(*mFirstEvent - mArrived);
  }
  if (mLongestEventGap > duration::zero()) {
    line["longest_pause_us"] = Micros(mLongestEventGap);
  }
  mState.mLog.Write(aEnd == exchange_end::Answered ? log_priority::Routine : log_priority::Notable,
                    "request_ended",
                    std::move(line),
                    now);

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
