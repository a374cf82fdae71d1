// The second attempt of exchange, which is made beside the first one when the answer is late (a
// hedge) or the endpoint has fallen silent (a takeover).

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
#include <utility>

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

struct exchange::parallel_attempts
{
  parallel_attempts(boost::asio::io_context& aContext, attempt& aFirst)
    : mFirst(aFirst)
    , mSecondTimer(aContext)
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
  /// The second attempt, and whether it has been chosen but not sent yet.
  std::optional<attempt> mSecond;
  bool mIsSecondDue = false;
  /// What the second attempt is made for.
  second_attempt_kind mKind = second_attempt_kind::Hedge;
  std::array<bool, 2> mIsRunning{ true, false };
  /// What the attempts that have ended mean for the request; empty for one that was cancelled.
  std::array<std::optional<execution_outcome>, 2> mOutcomes;
  /// The attempt whose answer is forwarded; empty while either may still answer, also when a
  /// takeover has begun in the middle of a stream.
  std::optional<std::size_t> mWinner;
  /// The attempt that ended last.
  std::size_t mLast = 0;
  /// Runs until the second attempt may be a hedge; cancelled when it is due or not needed any more.
  boost::asio::steady_timer mSecondTimer;
  /// Never expire; cancelled to cancel the attempt.
  std::array<boost::asio::steady_timer, 2> mCancelSignals;
};

auto exchange::SendParallel(attempt& aFirst,
                            duration aExpected,
                            std::optional<duration> aHedgeDelay)
  -> boost::asio::awaitable<execution_outcome>
{
  using namespace boost::asio::experimental::awaitable_operators;
  auto attempts = parallel_attempts(mState.mContext, aFirst);
  // Ends the outstanding request of an attempt that was cancelled before it started.
  struct attempts_guard
  {
    exchange& mOwner;
    parallel_attempts& mAttempts;
    ~attempts_guard()
    {
      const auto now = ReadBootClock();
      auto& endpoints = mOwner.mState.mEndpoints;
      endpoints.End(mAttempts.mFirst.mId, attempt_result::Abandoned, now);
      if (mAttempts.mSecond) {
        endpoints.End(mAttempts.mSecond->mId, attempt_result::Abandoned, now);
      }
      mOwner.mParallelAttempts = nullptr;
    }
  };
  {
    const auto guard = attempts_guard{ *this, attempts };
    mParallelAttempts = &attempts;
    co_await (RunAttempt(attempts, 0, aExpected) && RunSecondAttempts(attempts, aHedgeDelay));
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

auto exchange::RunAttempt(parallel_attempts& aAttempts, std::size_t aIndex, duration aExpected)
  -> boost::asio::awaitable<void>
{
  using namespace boost::asio::experimental::awaitable_operators;
  auto& current = aAttempts.At(aIndex);
  const auto result = co_await (SendOnce(current, aExpected) ||
                                aAttempts.mCancelSignals[aIndex].async_wait(kUseTuple));
  aAttempts.mIsRunning[aIndex] = false;
  if (aIndex == 0) {
    aAttempts.mSecondTimer.cancel();
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
    SettleSecondAttempt(second_attempt_result::Failed);
  }
  if (aAttempts.mIsRunning[1 - aIndex]) {
    RecordFailedAttempt(current, outcome);
  }
}

auto exchange::RunSecondAttempts(parallel_attempts& aAttempts, std::optional<duration> aHedgeDelay)
  -> boost::asio::awaitable<void>
{
  // A first attempt that outlives a second one may fall silent again.
  while (aAttempts.mIsRunning[0] && aAttempts.mWinner != 1U) {
    const auto mayHedge = !mIsHedged && !mResponseWriter.HasStarted();
    const auto hedgeDelay = mayHedge ? aHedgeDelay : std::nullopt;
    const auto isDue = co_await AwaitSecondAttempt(aAttempts, hedgeDelay);
    if (!isDue) {
      co_return;
    }
    aAttempts.mIsSecondDue = false;
    if (aAttempts.mWinner) {
      // The first endpoint has answered in the meantime.
      mState.mEndpoints.End(aAttempts.mSecond->mId, attempt_result::Abandoned, ReadBootClock());
      mState.mDispatchWaiter.Wake();
      continue;
    }
    aAttempts.mIsRunning[1] = true;
    co_await RunAttempt(aAttempts, 1, aAttempts.mSecond->mEndpoint.mExpected.mFirstEvent);
  }
}

auto exchange::AwaitSecondAttempt(parallel_attempts& aAttempts, std::optional<duration> aHedgeDelay)
  -> boost::asio::awaitable<bool>
{
  auto next = aHedgeDelay ? std::optional(aAttempts.mFirst.mStarted + *aHedgeDelay) : std::nullopt;
  while (!aAttempts.mIsSecondDue) {
    if (next) {
      aAttempts.mSecondTimer.expires_after(
        std::max(duration(*next - ReadBootClock()), duration::zero()));
    } else {
      aAttempts.mSecondTimer.expires_at(boost::asio::steady_timer::time_point::max());
    }
    co_await aAttempts.mSecondTimer.async_wait(kUseTuple);
    const auto cancellation = co_await boost::asio::this_coro::cancellation_state;
    if (!aAttempts.mIsRunning[0] ||
        cancellation.cancelled() != boost::asio::cancellation_type::none) {
      co_return false;
    }
    const auto now = ReadBootClock();
    if (aAttempts.mWinner) {
      next.reset();
    } else if (!aAttempts.mIsSecondDue && next && now >= *next) {
      if (auto choice = TakeHedge(aAttempts, now)) {
        BeginHedge(aAttempts, std::move(*choice), *aHedgeDelay, now);
      }
      next = now + std::max(*aHedgeDelay / kRecheckFraction, kMinRecheck);
    }
  }
  co_return true;
}

auto exchange::BeginSecondAttempt(parallel_attempts& aAttempts,
                                  endpoint_table::choice aEndpoint,
                                  second_attempt_kind aKind,
                                  time_point aNow) -> void
{
  const auto id = exchange_id{ ++mState.mExchangeCount };
  mState.mEndpoints.Begin(id, aEndpoint.mId, mMetadata.mEstimatedWork, aNow);
  mTriedEndpoints.push_back(aAttempts.mFirst.mEndpoint.mId);
  aAttempts.mSecond = attempt{ id, std::move(aEndpoint), aNow, 0, {} };
  aAttempts.mIsSecondDue = true;
  aAttempts.mKind = aKind;
  mSecondAttempt = aKind;
}

auto exchange::BeginHedge(parallel_attempts& aAttempts,
                          endpoint_table::choice aEndpoint,
                          duration aDelay,
                          time_point aNow) -> void
{
  mState.mHedges.OnHedge(mService, aNow);
  mIsHedged = true;
  mState.mLog.Write(log_priority::Notable,
                    "hedge_sent",
                    { { "request", mMetadata.mId },
                      { "endpoint", aAttempts.mFirst.mEndpoint.mId },
                      { "hedge_endpoint", aEndpoint.mId },
                      { "elapsed_us", duration(aNow - aAttempts.mFirst.mStarted).count() },
                      { "delay_us", aDelay.count() },
                      { "percentile", hedge_policy::kPercentile },
                      { "expected_us", aEndpoint.mExpected.mFirstEvent.count() },
                      { "expected_end_us", aEndpoint.mExpected.mEnd.count() } },
                    aNow);
  BeginSecondAttempt(aAttempts, std::move(aEndpoint), second_attempt_kind::Hedge, aNow);
}

auto exchange::TakeOver(const attempt& aSilent, time_point aNow) -> bool
{
  if (mParallelAttempts == nullptr || mSends >= kMaxSends || !MayRetry()) {
    return false;
  }
  auto& attempts = *mParallelAttempts;
  const auto isAlone =
    attempts.IndexOf(aSilent) == 0 && !attempts.mIsSecondDue && !attempts.mIsRunning[1];
  if (!isAlone || IsOvertaken(aSilent)) {
    return false;
  }
  auto other = mState.mDispatchWaiter.Queue().Preview(TicketForOthers(), aNow);
  if (!other || !MayStart(other->mExpected.mEnd) || IsQuarantined(aNow) || !TakeRetry()) {
    return false;
  }
  mState.mLog.Write(log_priority::Notable,
                    "takeover_sent",
                    { { "request", mMetadata.mId },
                      { "endpoint", aSilent.mEndpoint.mId },
                      { "takeover_endpoint", other->mId },
                      { "events", mEvents.EventCount() },
                      { "elapsed_us", duration(aNow - aSilent.mStarted).count() },
                      { "expected_us", other->mExpected.mFirstEvent.count() },
                      { "expected_end_us", other->mExpected.mEnd.count() } },
                    aNow);
  BeginSecondAttempt(attempts, std::move(*other), second_attempt_kind::Takeover, aNow);
  // Whichever endpoint sends the next event goes on with the answer.
  attempts.mWinner.reset();
  attempts.mSecondTimer.cancel();
  return true;
}

auto exchange::IsQuarantined(time_point aNow) -> bool
{
  return mState.mQuarantine.Judge(QuarantineKeys(), aNow).mRejectedKey.has_value();
}

auto exchange::TakeHedge(const parallel_attempts& aAttempts, time_point aNow)
  -> std::optional<endpoint_table::choice>
{
  if (mSends >= kMaxSends || !MayRetry()) {
    return std::nullopt;
  }
  auto choice = mState.mHedges.ChooseEndpoint(mState.mDispatchWaiter.Queue(),
                                              TicketForOthers(),
                                              HedgeClass(),
                                              aNow - aAttempts.mFirst.mStarted,
                                              aNow);
  // A part of the prompt, or the request itself, may have become suspect since the first attempt.
  if (!choice || !MayStart(choice->mExpected.mEnd) || mResponseWriter.IsCallerGone() ||
      IsQuarantined(aNow) || !TakeRetry()) {
    return std::nullopt;
  }
  return choice;
}

auto exchange::HedgeDelay() const -> std::optional<duration>
{
  const auto& hedges = mState.mHedges;
  if (!hedges.IsOn() || mIsHedged || !MayAttemptTwice() || mResponseWriter.HasStarted() ||
      mEvents.EventCount() > 0) {
    return std::nullopt;
  }
  return hedges.DelayOf(HedgeClass());
}

auto exchange::IsOvertaken(const attempt& aAttempt) const -> bool
{
  return mParallelAttempts != nullptr && mParallelAttempts->mWinner &&
         *mParallelAttempts->mWinner != mParallelAttempts->IndexOf(aAttempt);
}

auto exchange::HasRival(const attempt& aAttempt) const -> bool
{
  return mParallelAttempts != nullptr && !mParallelAttempts->mWinner &&
         mParallelAttempts->mIsRunning[1 - mParallelAttempts->IndexOf(aAttempt)];
}

auto exchange::ClaimAnswer(const attempt& aAttempt) -> bool
{
  if (mParallelAttempts == nullptr) {
    return true;
  }
  auto& attempts = *mParallelAttempts;
  if (attempts.mWinner) {
    return !IsOvertaken(aAttempt);
  }
  const auto index = attempts.IndexOf(aAttempt);
  const auto other = 1 - index;
  const auto hadRival = HasRival(aAttempt);
  attempts.mWinner = index;
  mLastEndpoint = aAttempt.mEndpoint.mId;
  SettleSecondAttempt(index == 1 ? second_attempt_result::Won : second_attempt_result::Lost);
  if (!hadRival) {
    return true;
  }
  // That an endpoint fell silent has been recorded already.
  if (attempts.mKind == second_attempt_kind::Hedge) {
    const auto now = ReadBootClock();
    const auto& loser = attempts.At(other);
    const auto time = mState.mHedges.OnCancelled(HedgeClass(), duration(now - loser.mStarted), now);
    // The time of a model's whole answer says nothing about its speed without its events.
    const auto* service = mState.mEndpoints.ServiceOf(mService);
    if (mRoute->mIsStream || (service != nullptr && !service->mIsModel)) {
      mState.mEndpoints.OnOvertaken(loser.mId, time);
    }
  }
  attempts.mCancelSignals[other].cancel();
  return true;
}

auto exchange::SettleSecondAttempt(second_attempt_result aResult) -> void
{
  const auto kind = std::exchange(mSecondAttempt, std::nullopt);
  if (!kind) {
    return;
  }
  const auto result = kSecondAttemptResultNames.NameOf(aResult);
  const auto labels = fmt::format("service=\"{}\",result=\"{}\"", mService, result);
  switch (*kind) {
    case second_attempt_kind::Hedge:
      mHedgeResult = aResult;
      mState.mHedges.OnResult(mService, aResult);
      mState.mMetrics.Counter("bronzering_hedges_total", labels).Add();
      return;
    case second_attempt_kind::Takeover:
      mTakeoverResult = aResult;
      mState.mMetrics.Counter("bronzering_takeovers_total", labels).Add();
      return;
  }
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
