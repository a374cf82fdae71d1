#include "entry_state.h"

#include <bronzering/base/metrics.h>

#include <array>
#include <ctime>

namespace bronzering {

namespace {

/// Date of an HTTP header, for example "Sun, 06 Nov 1994 08:49:37 GMT" (RFC 9110).
auto HttpDate(wall_time aTime) -> std::string
{
  const auto seconds = static_cast<std::time_t>(
    std::chrono::floor<std::chrono::seconds>(aTime.time_since_epoch()).count());
  auto fields = std::tm{};
  gmtime_r(&seconds, &fields);
  constexpr auto kDays = std::array{ "Sun", "Mon", "Tue", "Wed", "Thu", "Fri", "Sat" };
  constexpr auto kMonths = std::array{ "Jan", "Feb", "Mar", "Apr", "May", "Jun",
                                       "Jul", "Aug", "Sep", "Oct", "Nov", "Dec" };
  auto text = std::array<char, 64>{};
  const auto length = std::snprintf(text.data(),
                                    text.size(),
                                    "%s, %02d %s %04d %02d:%02d:%02d GMT",
                                    kDays.at(static_cast<std::size_t>(fields.tm_wday)),
                                    fields.tm_mday,
                                    kMonths.at(static_cast<std::size_t>(fields.tm_mon)),
                                    fields.tm_year + 1900,
                                    fields.tm_hour,
                                    fields.tm_min,
                                    fields.tm_sec);
  return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

auto entry_node::state::FindDispatched(peer_id aPeer, request_id aRequest) -> entry_request*
{
  auto* request = FindRequest(aRequest);
  if (request == nullptr || request->mAgent != aPeer) {
    return nullptr;
  }
  const auto current = request->mLifecycle.State();
  return current == request_state::Dispatched || current == request_state::Answering ? request
                                                                                     : nullptr;
}

auto entry_node::state::OnHead(peer_id aPeer, answer_head aHead, instant aNow) -> void
{
  auto* request = FindDispatched(aPeer, aHead.mRequest);
  if (request == nullptr) {
    return;
  }
  if (!request->mLifecycle.Process(request_event::HeadReceived)) {
    CountViolation();
    Fail(*request, refusal::EndpointFailed, true, aNow);
    return;
  }
  SetTimer(*request);

  // Tell the caller how long the service will exist (RFC 8594, RFC 9745).
  auto headers = std::move(aHead.mHeaders);
  if (request->mShutdown) {
    headers.push_back({ "Sunset", HttpDate(*request->mShutdown) });
  }
  if (request->mDeprecation) {
    const auto seconds =
      std::chrono::floor<std::chrono::seconds>(request->mDeprecation->time_since_epoch());
    headers.push_back({ "Deprecation", "@" + std::to_string(seconds.count()) });
  }
  mActions.emplace_back(
    start_answer{ request->mCaller.mExchange, aHead.mStatus, std::move(headers) });
  const auto labels = "service=\"" + request->mService + "\",tier=\"" + request->mTier + "\"";
  mMetrics.Histogram("bronzering_entry_first_byte_seconds", labels)
    .Observe(ToSeconds(aNow.mMonotonic - request->mArrived));
}

auto entry_node::state::OnData(peer_id aPeer, answer_data aData, instant aNow) -> void
{
  auto* request = FindDispatched(aPeer, aData.mRequest);
  if (request == nullptr) {
    return;
  }
  if (request->mLifecycle.State() != request_state::Answering || !request->mAnswer.Accept(aData)) {
    CountViolation();
    Fail(*request, refusal::EndpointFailed, true, aNow);
    return;
  }
  if (!aData.mBytes.empty()) {
    mActions.emplace_back(continue_answer{ request->mCaller.mExchange, std::move(aData.mBytes) });
  }
}

auto entry_node::state::OnEnd(peer_id aPeer, const answer_end& aEnd, instant aNow) -> void
{
  auto* request = FindDispatched(aPeer, aEnd.mRequest);
  if (request == nullptr) {
    return;
  }
  mAgents.NoteCached(request->mEndpoint, *request, aEnd.mCachedTokens);
  if (aEnd.mOutcome != answer_outcome::Completed) {
    Fail(*request, refusal::EndpointFailed, false, aNow);
    return;
  }
  if (request->mLifecycle.State() != request_state::Answering ||
      !request->mAnswer.IsFullyReceived(aEnd.mTotalBytes)) {
    CountViolation();
    Fail(*request, refusal::EndpointFailed, false, aNow);
    return;
  }
  mActions.emplace_back(finish_answer{ request->mCaller.mExchange });
  Count("bronzering_entry_answers_total", *request, ",outcome=\"completed\"");
  Log(*request, "completed", aNow);
  Close(*request, aNow);
}

auto entry_node::state::OnAnswerBytesDelivered(exchange_id aExchange, std::uint64_t aTotalBytes)
  -> void
{
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  auto* request = FindRequest(found->second);
  if (request->mLifecycle.State() != request_state::Answering) {
    return;
  }
  if (const auto limit = request->mAnswer.OnProgress(aTotalBytes)) {
    Send(request->mAgent, window{ request->mId, *limit });
  }
}

auto entry_node::state::OnCallerDisconnected(exchange_id aExchange, instant aNow) -> void
{
  const auto found = mExchanges.find(aExchange);
  if (found == mExchanges.end()) {
    return;
  }
  auto& request = *FindRequest(found->second);
  if (!request.mLifecycle.ProvablyNotRun()) {
    Send(request.mAgent, cancel{ request.mId });
  }
  Count("bronzering_entry_answers_total", request, ",outcome=\"caller_gone\"");
  Log(request, "caller_gone", aNow);
  Close(request, aNow);
}

auto entry_node::state::Expire(entry_request& aRequest, instant aNow) -> void
{
  if (!aRequest.mLifecycle.ProvablyNotRun()) {
    Send(aRequest.mAgent, cancel{ aRequest.mId });
  }
  Refuse(aRequest, refusal::DeadlineExceeded, std::nullopt, {}, aNow);
}

auto entry_node::state::Fail(entry_request& aRequest, refusal aReason, bool aCancel, instant aNow)
  -> void
{
  if (aCancel) {
    Send(aRequest.mAgent, cancel{ aRequest.mId });
  }
  if (aRequest.mLifecycle.State() != request_state::Answering) {
    Refuse(aRequest, aReason, std::nullopt, {}, aNow);
    return;
  }
  // Breaking the connection off shows the caller that the answer is not whole.
  mActions.emplace_back(abort_answer{ aRequest.mCaller.mExchange });
  Count("bronzering_entry_answers_total", aRequest, ",outcome=\"aborted\"");
  Log(aRequest, "abort", aNow);
  Close(aRequest, aNow);
}

auto entry_node::state::Refuse(entry_request& aRequest,
                               refusal aReason,
                               std::optional<duration> aRetryAfter,
                               std::string aDetail,
                               instant aNow) -> void
{
  // "Not run" needs proof for this attempt, and for a key also that no earlier attempt may have
  // run.
  auto runState = run_state::Unknown;
  if (aReason == refusal::KeyAlreadyRun) {
    runState = run_state::Ran;
  } else if (aReason != refusal::KeyInProgress && aReason != refusal::KeyUnknown &&
             aRequest.mLifecycle.ProvablyNotRun() &&
             !(aRequest.mKey && mKeys.MayHaveRun(*aRequest.mKey))) {
    runState = run_state::NotRun;
  }
  mActions.emplace_back(refuse_request{ .mExchange = aRequest.mCaller.mExchange,
                                        .mReason = aReason,
                                        .mRunState = runState,
                                        .mHttpStatus = HttpStatusOf(aReason),
                                        .mRetryAfter = aRetryAfter,
                                        .mDetail = std::move(aDetail) });
  const auto name = std::string(kRefusalNames.NameOf(aReason));
  Count("bronzering_entry_refusals_total", aRequest, ",reason=\"" + name + "\"");
  Log(aRequest, name, aNow);
  Close(aRequest, aNow);
}

auto entry_node::state::Close(entry_request& aRequest, instant aNow) -> void
{
  // What certainly did not run costs nothing.
  if (aRequest.mLifecycle.ProvablyNotRun()) {
    Withdraw(aRequest, std::nullopt);
    mLeases.Refund(aRequest.mSpendings, aNow);
  }
  mLeases.Cancel(aRequest.mId);
  mWaiting.Remove(aRequest.mId);
  if (aRequest.mTimerAt) {
    mTimers.erase({ *aRequest.mTimerAt, aRequest.mId });
  }
  [[maybe_unused]] const auto isClosed = aRequest.mLifecycle.Process(request_event::Closed);
  mExchanges.erase(aRequest.mCaller.mExchange);
  mRequests.erase(aRequest.mId);
}

} // namespace bronzering
