// How exchange relays the answer of an endpoint to the caller.

#include "exchange.h"

#include <bronzering/base/boot_clock.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bronzering {

namespace {

/// A stream is stalled when nothing is received for this long.
constexpr auto kEventStallTimeout = duration(std::chrono::milliseconds(1'000));
/// Maximum size of a buffered answer and of one event. Endpoints in trouble may send bytes without
/// end, and several such answers have to fit into the entry's memory.
constexpr auto kMaxAnswerBytes = std::size_t{ 8 } * 1024 * 1024;
constexpr auto kMaxEventBytes = std::size_t{ 1 } * 1024 * 1024;
/// How often an answer for which there is no memory is looked at again.
constexpr auto kMemoryRecheck = std::chrono::milliseconds(50);
/// Reason in answers and logs.
constexpr auto kEndpointErrorReason = std::string_view("endpoint answered with an error");

} // namespace

auto exchange::RelayBuffered(endpoint_call& aCall, const attempt& aAttempt, attempt_result& aResult)
  -> boost::asio::awaitable<execution_outcome>
{
  auto held = memory_reservation(mState.mMemory);
  auto body = std::string();
  const auto length = std::min<std::uint64_t>(aCall.ContentLength().value_or(0), kMaxAnswerBytes);
  const auto reserve = [&](std::size_t aBytes) -> boost::asio::awaitable<void> {
    if (!held.TryResize(aBytes)) {
      aCall.DisarmStallTimer();
      co_await AwaitMemory(held, aBytes);
      ArmStallTimer(aCall, aAttempt, kEventStallTimeout);
    }
  };
  if (length > 0) {
    co_await reserve(length);
    body.reserve(length);
  }
  for (;;) {
    const auto part = co_await aCall.ReadSome();
    if (part && body.size() + part->size() > held.Bytes()) {
      const auto larger = std::max(body.size() + part->size(), 2 * held.Bytes());
      co_await reserve(larger);
      body.reserve(larger);
    }
    if (!part || body.size() > kMaxAnswerBytes) {
      aResult = attempt_result::Failed;
      co_return execution_outcome::MayHaveExecuted;
    }
    if (part->empty()) {
      break;
    }
    body += *part;
  }

  RecordRegularEnd(aCall);
  // A 5xx response is retried if the route allows it and forwarded otherwise. A stream that has
  // started cannot change its status any more.
  const auto isError = aCall.Status() >= 500;
  aResult = isError ? attempt_result::Failed : attempt_result::Answered;
  if (aCall.Status() >= 200 && aCall.Status() < 300) {
    mState.mQuarantine.OnAnswer(mPartKeys, ReadBootClock());
    RecordAnswerTime(aAttempt, ReadBootClock());
  }
  if (mResponseWriter.HasStarted()) {
    co_return execution_outcome::MayHaveExecuted;
  }
  const auto keepError = [&] {
    mKeptError = kept_error{ aCall.Status(), aCall.Fields(), std::move(body), std::move(held) };
  };
  // An error is forwarded only if no other attempt brings an answer. A hedge that brings one has
  // not won.
  if (isError && HasRival(aAttempt)) {
    keepError();
    co_return execution_outcome::MayHaveExecuted;
  }
  if (isError) {
    SettleSecondAttempt(second_attempt_result::Failed);
  }
  if (!ClaimAnswer(aAttempt)) {
    co_return execution_outcome::MayHaveExecuted;
  }
  if (isError && MayRetry() && mSends < kMaxSends && CanEndElsewhere(ReadBootClock()) &&
      TakeRetry()) {
    keepError();
    co_return execution_outcome::Retry;
  }
  mFirstEvent = ReadBootClock();
  co_await mResponseWriter.WriteComplete(aCall.Status(), aCall.Fields(), body);
  Finish(exchange_end::Answered, aCall.Status(), isError ? kEndpointErrorReason : "");
  co_return execution_outcome::Done;
}

auto exchange::RelayStream(endpoint_call& aCall, const attempt& aAttempt, attempt_result& aResult)
  -> boost::asio::awaitable<execution_outcome>
{
  const auto& head = aCall.Fields();
  const auto status = aCall.Status();
  // Where two attempts may be made, each has its own events until it is the first to answer.
  auto isClaimed = mParallelAttempts == nullptr;
  auto ownEvents = isClaimed ? event_splitter() : mEvents;
  (isClaimed ? mEvents : ownEvents).BeginAttempt();
  auto attemptEvents = 0U;
  auto isAnswering = false;
  for (;;) {
    const auto bytes = co_await aCall.ReadSome();
    // The endpoint is not silent while this entry waits for the caller to read.
    aCall.DisarmStallTimer();
    // The events of the attempt that answers are counted in mEvents. What this one has received
    // since must not be added to them; its cancellation may still be on the way.
    if (IsOvertaken(aAttempt)) {
      aResult = attempt_result::Abandoned;
      co_return execution_outcome::MayHaveExecuted;
    }
    if (!bytes) {
      aResult = attempt_result::Failed;
      co_return execution_outcome::MayHaveExecuted;
    }
    const auto now = ReadBootClock();
    const auto part = (isClaimed ? mEvents : ownEvents).Add(*bytes);
    const auto partialSize = (isClaimed ? mEvents : ownEvents).PartialEvent().size();
    mState.mEndpoints.OnEvents(aAttempt.mId, part.mEvents, now);
    if (attemptEvents == 0 && part.mEvents > 0) {
      RecordAnswerTime(aAttempt, now);
    }
    // A crash ends a response without a length like its regular end does.
    const auto isCutOff =
      bytes->empty() && (partialSize > 0 || (attemptEvents == 0 && aCall.EndsWithConnection()));
    if (part.mEvents > 0 || (bytes->empty() && !isCutOff)) {
      if (!ClaimAnswer(aAttempt)) {
        aResult = attempt_result::Abandoned;
        co_return execution_outcome::MayHaveExecuted;
      }
      if (!std::exchange(isClaimed, true)) {
        std::swap(mEvents, ownEvents);
      }
    }
    if (part.mEvents > 0) {
      if (mLastEvent) {
        mLongestEventGap = std::max<duration>(mLongestEventGap, now - *mLastEvent);
      }
      mLastEvent = now;
    }
    attemptEvents += part.mEvents;
    if (isCutOff || partialSize > kMaxEventBytes) {
      aCall.MarkIncomplete();
      aResult = attempt_result::Failed;
      co_return execution_outcome::MayHaveExecuted;
    }
    const auto isFramedEnd = bytes->empty() && !aCall.EndsWithConnection();
    if (bytes->empty()) {
      RecordRegularEnd(aCall);
    }
    if (!isAnswering && (attemptEvents >= kAnsweringEvents || isFramedEnd)) {
      isAnswering = true;
      mState.mQuarantine.OnAnswer(mPartKeys, now);
    }
    if (part.mHasGap) {
      aResult = attempt_result::Failed;
      co_return execution_outcome::MayHaveExecuted;
    }

    // The header is sent with the first event, so that an attempt that breaks before can be
    // retried.
    auto isWritten = true;
    if (!part.mBytes.empty() || (bytes->empty() && !mResponseWriter.HasStarted())) {
      if (mResponseWriter.HasStarted()) {
        isWritten = co_await mResponseWriter.ContinueStream(part.mBytes);
      } else {
        mFirstEvent = now;
        isWritten = co_await mResponseWriter.StartStream(status, head, part.mBytes);
      }
    }
    if (isWritten && bytes->empty()) {
      aResult = attempt_result::Answered;
      isWritten = co_await mResponseWriter.FinishStream();
      Finish(exchange_end::Answered, status, "");
      co_return execution_outcome::Done;
    }
    if (!isWritten) {
      Finish(exchange_end::CallerGone, status, "caller closed the connection");
      co_return execution_outcome::Done;
    }
    ArmStallTimer(aCall, aAttempt, kEventStallTimeout);
  }
}

auto exchange::RecordRegularEnd(const endpoint_call& aCall) -> void
{
  // A crash ends a response without a length like its regular end does, and an endpoint that
  // answers that it is overloaded has not begun the request.
  const auto isOverloaded = aCall.Status() == 429 || aCall.Status() == 503;
  if (!aCall.EndsWithConnection() && !isOverloaded) {
    mState.mQuarantine.OnRequestAnswered(mRequestKey, ReadBootClock());
  }
}

auto exchange::ForwardKeptError() -> boost::asio::awaitable<void>
{
  assert(mKeptError && !mResponseWriter.HasStarted());
  if (mState.mShutdown.IsStopping()) {
    mResponseWriter.CloseAfterResponse();
  }
  mFirstEvent = ReadBootClock();
  co_await mResponseWriter.WriteComplete(
    mKeptError->mStatus, mKeptError->mFields, mKeptError->mBody);
  Finish(exchange_end::Answered, mKeptError->mStatus, kEndpointErrorReason);
}

auto exchange::AwaitMemory(memory_reservation& aHeld, std::size_t aBytes)
  -> boost::asio::awaitable<void>
{
  // The endpoint is not read meanwhile. The wait ends with the request at the latest.
  auto timer = boost::asio::steady_timer(mState.mContext);
  while (!aHeld.TryResize(aBytes)) {
    timer.expires_after(kMemoryRecheck);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

auto exchange::ArmStallTimer(endpoint_call& aCall, const attempt& aAttempt, duration aTimeout)
  -> void
{
  aCall.ArmStallTimer(aTimeout, [this, &aCall, &aAttempt] { OnStall(aCall, aAttempt); });
}

auto exchange::OnStall(endpoint_call& aCall, const attempt& aAttempt) -> void
{
  const auto now = ReadBootClock();
  mState.mEndpoints.OnStall(aAttempt.mId, now);
  const auto isTakenOver = TakeOver(aAttempt, now);
  mState.mLog.Write(log_priority::Notable,
                    "endpoint_silent",
                    { { "request", mMetadata.mId },
                      { "endpoint", aAttempt.mEndpoint.mId },
                      { "events", mEvents.EventCount() },
                      { "taken_over", isTakenOver } },
                    now);
  if (isTakenOver || HasRival(aAttempt) || MayRetry()) {
    ArmStallTimer(aCall, aAttempt, kEventStallTimeout);
  }
}

} // namespace bronzering
