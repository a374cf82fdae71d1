#include "agent_state.h"

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

constexpr auto kResumeInterval = std::chrono::milliseconds(200);

auto OutcomeLabel(answer_outcome aOutcome) -> std::string
{
  return "outcome=\"" + std::string(kAnswerOutcomeNames.NameOf(aOutcome)) + "\"";
}

} // namespace

auto agent_node::state::FindRunning(request_id aRequest) -> agent_request*
{
  const auto found = mRequests.find(aRequest);
  const auto running = found != mRequests.end() && found->second.mPhase == request_phase::Running &&
                       !found->second.mEnd;
  return running ? &found->second : nullptr;
}

auto agent_node::state::FindRunning(peer_id aPeer, request_id aRequest) -> agent_request*
{
  const auto found = mRequests.find(aRequest);
  const auto running = found != mRequests.end() && found->second.mPhase == request_phase::Running &&
                       found->second.mPeer == aPeer;
  return running ? &found->second : nullptr;
}

auto agent_node::state::OnEngine(engine_answer_head aHead, instant aNow) -> void
{
  auto* request = FindRunning(aHead.mRequest);
  if (request == nullptr) {
    return;
  }
  ClearInterruption(*request, aNow);
  if (request->mStatus) {
    return; // A resumed stream may repeat the head.
  }
  request->mStatus = aHead.mStatus;
  if (!request->mDiscarded) {
    Send(request->mPeer, answer_head{ aHead.mRequest, aHead.mStatus, std::move(aHead.mHeaders) });
  }
}

auto agent_node::state::OnEngine(engine_answer_data aData, instant aNow) -> void
{
  auto* request = FindRunning(aData.mRequest);
  if (request == nullptr) {
    return;
  }
  if (!request->mAnswer.OnData(aData.mOffset, std::move(aData.mBytes), aData.mGeneratedTokens)) {
    mDecisions.Add(aNow, aData.mRequest, "gap");
    request->mHasCallFailed = true;
    MarkInterrupted(*request, aNow);
    return;
  }
  ClearInterruption(*request, aNow);
  mModel.OnTokens(aData.mRequest, aData.mGeneratedTokens, aNow.mMonotonic);

  // Output beyond the estimate is charged as it is generated.
  if (IsModel() && aData.mGeneratedTokens > request->mEstimate.mOutputTokens) {
    const auto& work = request->mEstimate;
    AdjustCharge(
      *request,
      static_cast<double>(work.mPromptTokens - work.mCachedTokens + aData.mGeneratedTokens));
  }
  SendAvailableData(*request);
}

auto agent_node::state::OnEngine(engine_answer_end aEnd, instant aNow) -> void
{
  auto* request = FindRunning(aEnd.mRequest);
  if (request == nullptr) {
    return;
  }
  ClearInterruption(*request, aNow);
  mModel.Complete(aEnd.mRequest, aEnd.mPromptTokens, aEnd.mCachedTokens, aNow.mMonotonic);
  if (IsModel()) {
    mCache.OnRequestCompleted(request->mTicket.mPrefix, aEnd.mPromptTokens, aEnd.mCachedTokens);
    const auto cached = std::min(aEnd.mPromptTokens, aEnd.mCachedTokens);
    AdjustCharge(*request,
                 static_cast<double>(aEnd.mPromptTokens - cached + aEnd.mGeneratedTokens));
  }
  if (request->mTicket.mKey) {
    mKeys->Finish(*request->mTicket.mKey, request->mStatus.value_or(0), aNow);
  }
  request->mEnd = aEnd;
  SendAvailableData(*request);
  FinishIfDelivered(*request, aNow);
}

auto agent_node::state::OnEngine(const engine_failure& aFailure, instant aNow) -> void
{
  auto* request = FindRunning(aFailure.mRequest);
  if (request == nullptr) {
    return;
  }
  mDecisions.Add(aNow, aFailure.mRequest, "engine_failure", aFailure.mWhat);

  // No byte of the request reached the endpoint, which proves that it did not run.
  const auto id = aFailure.mRequest;
  if (!aFailure.mStarted && !request->mStatus && request->mAnswer.Received() == 0 &&
      !request->mInterruptedSince) {
    const auto peer = request->mPeer;
    if (request->mTicket.mKey) {
      mKeys->Release(*request->mTicket.mKey);
    }
    mModel.Release(id);
    AdjustCharge(*request, 0);
    const auto discarded = request->mDiscarded;
    RemoveRequest(id);
    if (!discarded) {
      Decline(peer, { id, decline_reason::EndpointDown, {}, 0 }, aNow);
    }
    return;
  }

  if (IsModel()) {
    request->mHasCallFailed = true;
    MarkInterrupted(*request, aNow);
  } else {
    EndAnswer(*request, answer_outcome::Failed, aNow);
  }
}

auto agent_node::state::OnEngine(engine_load aLoad, instant aNow) -> void
{
  mFencing.Observe(aLoad.mHighestFencingToken);
  mModel.OnLoadReport(aLoad.mRunning, aLoad.mFreeKvTokens, aNow.mMonotonic);
  mReconciler.OnLoadReport(aLoad);
}

auto agent_node::state::OnEngine(const engine_cache_event& aEvent, instant /*aNow*/) -> void
{
  mCache.OnEvent(aEvent.mSequence, aEvent.mStored, aEvent.mEvicted);
}

auto agent_node::state::OnEngine(const engine_command_result& aResult, instant aNow) -> void
{
  mDecisions.Add(
    aNow, {}, aResult.mAccepted ? "command_accepted" : "command_refused", aResult.mWhat);
  mReconciler.OnResult(aResult, aNow.mMonotonic);
}

auto agent_node::state::OnEngine(engine_health aHealth, instant aNow) -> void
{
  if (mEndpointUp == aHealth.mUp) {
    return;
  }
  mEndpointUp = aHealth.mUp;
  mDecisions.Add(aNow, {}, aHealth.mUp ? "endpoint_up" : "endpoint_down");

  // All streams of a model engine that went down are interrupted, even if their connections have
  // not failed yet. Those whose calls have failed are resumed when the engine is up again. The
  // others go on: a busy engine may miss a health check and still be at work.
  for (const auto id : mRunning) {
    auto& request = mRequests.find(id)->second;
    if (!IsModel() || request.mEnd) {
      continue;
    }
    if (!aHealth.mUp) {
      MarkInterrupted(request, aNow);
    } else if (request.mHasCallFailed) {
      request.mResumeAt = aNow.mMonotonic;
    } else {
      ClearInterruption(request, aNow);
    }
  }
  if (!aHealth.mUp) {
    mCache.Reset();
    mReconciler.OnRestart();
  }
  UpdateLifecycle(aNow);
}

auto agent_node::state::MarkInterrupted(agent_request& aRequest, instant aNow) -> void
{
  // Resumes at once the first time, and after an interval when the resumed stream fails again.
  mModel.SkipNextTokenInterval(aRequest.mTicket.mRequest);
  if (!aRequest.mInterruptedSince) {
    aRequest.mInterruptedSince = aNow.mMonotonic;
    aRequest.mResumeAt = aNow.mMonotonic;
  } else if (!aRequest.mResumeAt) {
    aRequest.mResumeAt = aNow.mMonotonic + kResumeInterval;
  }
}

auto agent_node::state::ClearInterruption(agent_request& aRequest, instant aNow) -> void
{
  if (aRequest.mInterruptedSince) {
    mDecisions.Add(aNow, aRequest.mTicket.mRequest, "resumed");
    aRequest.mInterruptedSince.reset();
    aRequest.mHasCallFailed = false;
    aRequest.mResumeAt.reset();
  }
}

auto agent_node::state::RunStreamTimers(instant aNow) -> void
{
  const auto now = aNow.mMonotonic;
  const auto ids = std::vector<request_id>(mRunning.begin(), mRunning.end());
  for (const auto id : ids) {
    auto& request = mRequests.find(id)->second;
    const auto peer = mPeers.find(request.mPeer);
    const auto silentTooLong = peer != mPeers.end() && peer->second.mSilentSince &&
                               now - *peer->second.mSilentSince >= mSettings.mOrphanTimeout;

    if (IsModel() && (silentTooLong || (request.mCancelAt && *request.mCancelAt <= now))) {
      CancelStream(id, "orphaned", aNow);
    } else if (request.mInterruptedSince && now - *request.mInterruptedSince >= kResumeTimeout) {
      mActions.emplace_back(cancel_on_engine{ id });
      EndAnswer(request, answer_outcome::Failed, aNow);
    } else if (request.mResumeAt && *request.mResumeAt <= now && mEndpointUp) {
      request.mResumeAt.reset();
      mActions.emplace_back(resume_engine_stream{ id, request.mAnswer.Received() });
    }
  }
}

auto agent_node::state::OnCancel(peer_id aPeer, request_id aRequest, instant aNow) -> void
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || found->second.mPeer != aPeer) {
    return;
  }
  auto& request = found->second;
  if (request.mPhase != request_phase::Running) {
    Drop(aRequest, aNow, "cancelled");
  } else if (IsModel() || request.mEnd) {
    CancelStream(aRequest, "cancelled", aNow);
  } else if (!request.mDiscarded) {
    // A plain call runs to completion; only its response is dropped.
    Send(aPeer, answer_end{ aRequest, answer_outcome::Cancelled, request.mAnswer.Sent(), 0, 0, 0 });
    request.mDiscarded = true;
    SendAvailableData(request);
  }
}

auto agent_node::state::CancelStream(request_id aRequest, std::string_view aWhy, instant aNow)
  -> void
{
  auto& request = mRequests.find(aRequest)->second;
  if (!request.mEnd) {
    mActions.emplace_back(cancel_on_engine{ aRequest });
  }
  mDecisions.Add(aNow, aRequest, aWhy);
  EndAnswer(request, answer_outcome::Cancelled, aNow);
}

auto agent_node::state::OnWindow(peer_id aPeer, const window& aWindow) -> void
{
  auto* request = FindRunning(aPeer, aWindow.mRequest);
  if (request != nullptr) {
    request->mAnswer.Allow(aWindow.mBytes);
    SendAvailableData(*request);
  }
}

auto agent_node::state::SendAvailableData(agent_request& aRequest) -> void
{
  const auto id = aRequest.mTicket.mRequest;
  if (aRequest.mDiscarded) {
    aRequest.mAnswer.Discard();
  }
  while (auto part = aRequest.mAnswer.TakeSendable(id)) {
    Send(aRequest.mPeer, std::move(*part));
  }

  // Pauses reading from the endpoint while the entry's window is exhausted.
  const auto blocked = aRequest.mAnswer.IsBlocked() && !aRequest.mEnd;
  if (blocked != aRequest.mPaused) {
    aRequest.mPaused = blocked;
    mModel.SkipNextTokenInterval(id);
    if (!aRequest.mEnd) {
      mActions.emplace_back(pause_engine_stream{ id, blocked });
    }
  }
}

auto agent_node::state::FinishIfDelivered(agent_request& aRequest, instant aNow) -> void
{
  if (aRequest.mEnd && !aRequest.mAnswer.IsBlocked()) {
    EndAnswer(aRequest, answer_outcome::Completed, aNow);
  }
}

auto agent_node::state::EndAnswer(agent_request& aRequest, answer_outcome aOutcome, instant aNow)
  -> void
{
  const auto id = aRequest.mTicket.mRequest;
  const auto counts = aRequest.mEnd.value_or(engine_answer_end{});
  mModel.Release(id);
  if (aRequest.mTicket.mKey) {
    mKeys->MarkUnknown(*aRequest.mTicket.mKey, aNow);
  }

  // Charges for the tokens generated before a failure or cancellation.
  if (!aRequest.mEnd && IsModel()) {
    const auto generated = aRequest.mAnswer.GeneratedTokens();
    const auto& work = aRequest.mEstimate;
    AdjustCharge(aRequest,
                 static_cast<double>(work.mPromptTokens - work.mCachedTokens + generated));
  }
  if (!aRequest.mDiscarded) {
    Send(aRequest.mPeer,
         answer_end{ id,
                     aOutcome,
                     aRequest.mAnswer.Received(),
                     counts.mPromptTokens,
                     counts.mCachedTokens,
                     counts.mGeneratedTokens });
  }
  mDecisions.Add(aNow, id, "end", kAnswerOutcomeNames.NameOf(aOutcome));
  mMetrics.Counter("bronzering_agent_answers_total", OutcomeLabel(aOutcome)).Add();
  RemoveRequest(id);
}

auto agent_node::state::AdjustCharge(agent_request& aRequest, double aCost) -> void
{
  if (aCost != aRequest.mCharged) {
    mQueue.Charge(
      aRequest.mRank, aRequest.mTicket.mOrganisation, aRequest.mWeight, aCost - aRequest.mCharged);
    aRequest.mCharged = aCost;
  }
}

} // namespace bronzering
