// The second attempt of exchange, which is made when the answer to the first one is late.

#include "exchange.h"

#include <bronzering/base/boot_clock.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

namespace bronzering {

namespace {

/// Completion token with which an awaited operation returns its error code instead of throwing.
constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// A late request that may not be hedged yet is looked at again after a fraction of its delay, and
/// not before digests can tell of another load.
constexpr auto kRecheckFraction = 8;
constexpr auto kMinRecheck = duration(std::chrono::milliseconds(10));
/// A request that was queued for longer had to wait for a slot. A busy machine may hold one up for
/// a shorter time.
constexpr auto kShortWait = duration(std::chrono::milliseconds(5));

} // namespace

struct exchange::hedged_attempts
{
  hedged_attempts(boost::asio::io_context& aContext, attempt& aFirst)
    : mFirst(aFirst)
    , mDelayTimer(aContext)
    , mCancelSignals{ boost::asio::steady_timer(aContext), boost::asio::steady_timer(aContext) }
  {
    for (auto& signal : mCancelSignals) {
      signal.expires_at(boost::asio::steady_timer::time_point::max());
    }
  }

  [[nodiscard]] auto IndexOf(const attempt& aAttempt) const -> std::size_t
  {
    return aAttempt.mId == mFirst.mId ? 0 : 1;
  }
  [[nodiscard]] auto At(std::size_t aIndex) -> attempt& { return aIndex == 0 ? mFirst : *mSecond; }

  attempt& mFirst;
  std::optional<attempt> mSecond;
  std::array<bool, 2> mIsRunning{ true, false };
  /// What the attempts that have ended mean for the request; empty for one that was cancelled.
  std::array<std::optional<execution_outcome>, 2> mOutcomes;
  /// The attempt whose answer is forwarded.
  std::optional<std::size_t> mWinner;
  /// The attempt that ended last.
  std::size_t mLast = 0;
  /// Runs until the request may be hedged; cancelled when it need not be any more.
  boost::asio::steady_timer mDelayTimer;
  /// Never expire; cancelled to cancel the attempt.
  std::array<boost::asio::steady_timer, 2> mCancelSignals;
};

auto exchange::SendHedged(attempt& aFirst, duration aExpected, duration aDelay)
  -> boost::asio::awaitable<execution_outcome>
{
  using namespace boost::asio::experimental::awaitable_operators;
  auto attempts = hedged_attempts(mState.mContext, aFirst);
  // Ends the outstanding request of an attempt that was cancelled before it started.
  struct attempts_guard
  {
    exchange& mOwner;
    hedged_attempts& mAttempts;
    ~attempts_guard()
    {
      const auto now = ReadBootClock();
      auto& endpoints = mOwner.mState.mEndpoints;
      endpoints.End(mAttempts.mFirst.mId, attempt_result::Abandoned, now);
      if (mAttempts.mSecond) {
        endpoints.End(mAttempts.mSecond->mId, attempt_result::Abandoned, now);
      }
      mOwner.mHedgedAttempts = nullptr;
    }
  };
  {
    const auto guard = attempts_guard{ *this, attempts };
    mHedgedAttempts = &attempts;
    co_await (RunHedgedAttempt(attempts, 0, aExpected) && RunHedge(attempts, aDelay));
  }
  const auto& outcomes = attempts.mOutcomes;
  if (attempts.mWinner) {
    const auto winner = *attempts.mWinner;
    if (winner == 1) {
      aFirst = *attempts.mSecond;
    }
    co_return outcomes[winner].value_or(execution_outcome::Done);
  }
  const auto last = outcomes[attempts.mLast];
  if (!last) {
    // The request itself was cancelled.
    co_return execution_outcome::Done;
  }
  if (attempts.mLast == 1) {
    aFirst = *attempts.mSecond;
  }
  // If either attempt may have been executed, the request may have been.
  const auto mayHaveExecuted =
    std::find(outcomes.begin(), outcomes.end(), execution_outcome::MayHaveExecuted) !=
    outcomes.end();
  co_return mayHaveExecuted ? execution_outcome::MayHaveExecuted : *last;
}

auto exchange::RunHedgedAttempt(hedged_attempts& aAttempts, std::size_t aIndex, duration aExpected)
  -> boost::asio::awaitable<void>
{
  using namespace boost::asio::experimental::awaitable_operators;
  auto& current = aAttempts.At(aIndex);
  const auto result = co_await (SendOnce(current, aExpected) ||
                                aAttempts.mCancelSignals[aIndex].async_wait(kUseTuple));
  aAttempts.mIsRunning[aIndex] = false;
  if (aIndex == 0) {
    aAttempts.mDelayTimer.cancel();
  }
  const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
  if (result.index() == 1 || IsOvertaken(current) ||
      cancellation.cancelled() != boost::asio::cancellation_type::none) {
    co_return;
  }
  const auto outcome = std::get<0>(result);
  aAttempts.mOutcomes[aIndex] = outcome;
  aAttempts.mLast = aIndex;
  if (aIndex == 1 && outcome != execution_outcome::Done) {
    SettleHedge(hedge_result::Failed);
  }
  if (aAttempts.mIsRunning[1 - aIndex]) {
    RecordFailedAttempt(current, outcome);
  }
}

auto exchange::RunHedge(hedged_attempts& aAttempts, duration aDelay) -> boost::asio::awaitable<void>
{
  auto wait = duration(aAttempts.mFirst.mStarted + aDelay - ReadBootClock());
  auto choice = std::optional<endpoint_table::choice>();
  while (!choice) {
    aAttempts.mDelayTimer.expires_after(std::max(wait, duration::zero()));
    co_await aAttempts.mDelayTimer.async_wait(kUseTuple);
    const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
    if (!aAttempts.mIsRunning[0] || aAttempts.mWinner ||
        cancellation.cancelled() != boost::asio::cancellation_type::none) {
      co_return;
    }
    choice = TakeHedge(aAttempts, ReadBootClock());
    wait = std::max(aDelay / kRecheckFraction, kMinRecheck);
  }

  const auto now = ReadBootClock();
  const auto id = exchange_id{ ++mState.mExchangeCount };
  mState.mEndpoints.Begin(id, choice->mId, mMetadata.mEstimatedWork, now);
  mState.mHedges.OnHedge(mService, now);
  mIsHedged = true;
  mTriedEndpoints.push_back(aAttempts.mFirst.mEndpoint.mId);
  mState.mLog.Write(log_priority::Notable,
                    "hedge_sent",
                    { { "request", mMetadata.mId },
                      { "endpoint", aAttempts.mFirst.mEndpoint.mId },
                      { "hedge_endpoint", choice->mId },
                      { "elapsed_us", duration(now - aAttempts.mFirst.mStarted).count() },
                      { "delay_us", aDelay.count() },
                      { "percentile", hedge_policy::kPercentile },
                      { "expected_us", choice->mExpected.mFirstEvent.count() },
                      { "expected_end_us", choice->mExpected.mEnd.count() } },
                    now);
  const auto expected = choice->mExpected.mFirstEvent;
  aAttempts.mSecond = attempt{ id, std::move(*choice), now, 0, {} };
  aAttempts.mIsRunning[1] = true;
  co_await RunHedgedAttempt(aAttempts, 1, expected);
}

auto exchange::TakeHedge(const hedged_attempts& aAttempts, time_point aNow)
  -> std::optional<endpoint_table::choice>
{
  // A stall may just have taken a retry, which makes a second attempt of its own.
  if (mIsRetryTaken || mSends >= kMaxSends || !MayRetry()) {
    return std::nullopt;
  }
  auto choice = mState.mHedges.ChooseEndpoint(mState.mDispatchWaiter.Queue(),
                                              TicketForOthers(),
                                              HedgeClass(),
                                              aNow - aAttempts.mFirst.mStarted,
                                              aNow);
  if (!choice || !MayStart(choice->mExpected.mEnd) || mResponseWriter.IsCallerGone() ||
      !TakeRetry()) {
    return std::nullopt;
  }
  // A part of the prompt may have become suspect since the first attempt.
  if (!mPartKeys.empty() && mState.mQuarantine.Judge(mPartKeys, aNow).mRejectedPart) {
    return std::nullopt;
  }
  return choice;
}

auto exchange::HedgeDelay() const -> std::optional<duration>
{
  const auto& hedges = mState.mHedges;
  if (!hedges.IsOn() || mIsHedged || mRoute->mRetryPolicy == retry_policy::Once ||
      mExecutions + 2 > mRoute->mMaxAttempts || mResponseWriter.HasStarted() ||
      mEvents.EventCount() > 0) {
    return std::nullopt;
  }
  return hedges.DelayOf(HedgeClass());
}

auto exchange::IsOvertaken(const attempt& aAttempt) const -> bool
{
  return mHedgedAttempts != nullptr && mHedgedAttempts->mWinner &&
         *mHedgedAttempts->mWinner != mHedgedAttempts->IndexOf(aAttempt);
}

auto exchange::HasRival(const attempt& aAttempt) const -> bool
{
  return mHedgedAttempts != nullptr && !mHedgedAttempts->mWinner &&
         mHedgedAttempts->mIsRunning[1 - mHedgedAttempts->IndexOf(aAttempt)];
}

auto exchange::ClaimAnswer(const attempt& aAttempt) -> bool
{
  if (mHedgedAttempts == nullptr) {
    return true;
  }
  auto& attempts = *mHedgedAttempts;
  if (attempts.mWinner) {
    return !IsOvertaken(aAttempt);
  }
  const auto index = attempts.IndexOf(aAttempt);
  const auto other = 1 - index;
  const auto hadRival = HasRival(aAttempt);
  attempts.mWinner = index;
  attempts.mDelayTimer.cancel();
  mLastEndpoint = aAttempt.mEndpoint.mId;
  SettleHedge(index == 1 ? hedge_result::Won : hedge_result::Lost);
  if (hadRival) {
    const auto now = ReadBootClock();
    const auto& loser = attempts.At(other);
    const auto time = mState.mHedges.OnCancelled(HedgeClass(), duration(now - loser.mStarted), now);
    // The time of a model's whole answer says nothing about its speed without its events.
    const auto* service = mState.mEndpoints.ServiceOf(mService);
    if (mRoute->mIsStream || (service != nullptr && !service->mIsModel)) {
      mState.mEndpoints.OnOvertaken(loser.mId, time);
    }
    attempts.mCancelSignals[other].cancel();
  }
  return true;
}

auto exchange::SettleHedge(hedge_result aResult) -> void
{
  if (!mIsHedged || mHedgeResult) {
    return;
  }
  mHedgeResult = aResult;
  mState.mHedges.OnResult(mService, aResult);
  mState.mMetrics
    .Counter(
      "bronzering_hedges_total",
      fmt::format("service=\"{}\",result=\"{}\"", mService, kHedgeResultNames.NameOf(aResult)))
    .Add();
}

auto exchange::RecordAnswerTime(const attempt& aAttempt, time_point aNow) -> void
{
  // The time of an overtaken attempt is recorded when the other one answers.
  if (mState.mHedges.IsOn() && mRoute->mRetryPolicy != retry_policy::Once && !mFirstEvent &&
      !IsOvertaken(aAttempt)) {
    mState.mHedges.OnAnswer(HedgeClass(), duration(aNow - aAttempt.mStarted), aNow);
  }
}

auto exchange::RecordShortage(const dispatch_decision& aDecision, duration aWaited) -> void
{
  const auto now = ReadBootClock();
  const auto& endpoint = aDecision.mEndpoint;
  if (!endpoint || aWaited > kShortWait ||
      (!endpoint->mHasFreeSlot &&
       !mState.mEndpoints.HasPlace(mService, slot_requirement::FreeSlot, now))) {
    mState.mHedges.OnShortage(mService, now);
  }
}

auto exchange::RecordFailedAttempt(const attempt& aAttempt, execution_outcome aOutcome) -> void
{
  LogFailedAttempt(aAttempt, aOutcome);
  ReportBrokenAttempt(aAttempt);
  mTriedEndpoints.push_back(aAttempt.mEndpoint.mId);
  if (aOutcome == execution_outcome::NotExecuted && mState.mHedges.IsOn()) {
    mState.mHedges.OnShortage(mService, ReadBootClock());
  }
}

auto exchange::HedgeClass() const -> hedge_class
{
  return HedgeClassOf(mService, mRoute->mName, mMetadata.mEstimatedWork, mRoute->mIsStream);
}

} // namespace bronzering
