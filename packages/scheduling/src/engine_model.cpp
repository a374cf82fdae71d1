#include <bronzering/scheduling/engine_model.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

constexpr auto kUsagePeriod = std::chrono::milliseconds(500);
/// Accepted step time relative to that of a batch of one when even a batch of one misses the
/// inter-token target, as on a slowed engine. Running one request at a time would lose throughput
/// without meeting the target.
constexpr auto kMissedTargetStepFactor = 1.25;
/// Events delayed by a pause of this process arrive in a burst within this time after it.
constexpr auto kEventBurstAfterPause = std::chrono::milliseconds(100);
/// Assumed service time of a plain endpoint until one has been measured.
constexpr auto kInitialPlainServiceTime = std::chrono::milliseconds(10);

auto MakeRateEstimator(const engine_limits& aLimits) -> engine_rate_estimator
{
  return { aLimits.mPrefillTokensPerSecond,
           aLimits.mIsModel ? aLimits.mStepTime : duration(kInitialPlainServiceTime),
           aLimits.mMaxConcurrency };
}

auto ProcessingTime(std::uint64_t aTokens, double aTokensPerSecond) -> duration
{
  return FromSeconds(static_cast<double>(aTokens) / aTokensPerSecond);
}

auto UncachedTokens(const work_estimate& aWork) -> std::uint64_t
{
  return aWork.mPromptTokens - std::min(aWork.mPromptTokens, aWork.mCachedTokens);
}

} // namespace

engine_model::engine_model(engine_limits aLimits)
  : mLimits(aLimits)
  , mRates(MakeRateEstimator(aLimits))
  , mUsageHistory{}
{
}

auto engine_model::Configure(engine_limits aLimits) -> void
{
  const auto ratesChanged = aLimits.mIsModel != mLimits.mIsModel ||
                            aLimits.mMaxConcurrency != mLimits.mMaxConcurrency ||
                            aLimits.mPrefillTokensPerSecond != mLimits.mPrefillTokensPerSecond ||
                            aLimits.mStepTime != mLimits.mStepTime;
  mLimits = aLimits;
  if (ratesChanged) {
    mRates = MakeRateEstimator(aLimits);
  }
}

auto engine_model::CheckAdmission(const work_estimate& aWork, time_point aNow) const -> admission
{
  if (aNow >= aWork.mDeadline) {
    return admission::DeadlineTooShort;
  }
  if (mLimits.mIsModel) {
    return AssessModel(aWork, aNow);
  }
  return FreeSlots() > 0 ? admission::Admit : admission::Wait;
}

auto engine_model::AssessModel(const work_estimate& aWork, time_point aNow) const -> admission
{
  // Reject requests that can never run here.
  const auto requiredKvTokens = aWork.mPromptTokens + aWork.mOutputTokens;
  if (requiredKvTokens > mLimits.mKvTokens) {
    return admission::TooLarge;
  }
  const auto prefillRate = mRates.PrefillTokensPerSecond(aNow);
  const auto ownPrefill = ProcessingTime(UncachedTokens(aWork), prefillRate);
  const auto outputSteps = static_cast<duration::rep>(aWork.mOutputTokens);
  const auto timeLeft = aWork.mDeadline - aNow;
  if (ownPrefill + mRates.StepTime(1, aNow) * outputSteps > timeLeft) {
    return admission::DeadlineTooShort;
  }

  // Check the free capacity in the batch and in the KV cache.
  if (FreeSlots() == 0 || requiredKvTokens > FreeKvTokens()) {
    return admission::Wait;
  }

  // Find the strictest targets of this request and the admitted ones, and the prefill backlog.
  auto firstTokenTarget = aWork.mFirstTokenTarget;
  auto interTokenTarget = aWork.mInterTokenTarget;
  auto backlog = std::uint64_t{ 0 };
  for (const auto& [request, state] : mRequests) {
    interTokenTarget = std::min(interTokenTarget, state.mEstimate.mInterTokenTarget);
    if (!state.mFirstTokenAt) {
      firstTokenTarget = std::min(firstTokenTarget, state.mEstimate.mFirstTokenTarget);
      backlog += UncachedTokens(state.mEstimate);
    }
  }

  // Check the step time with this request in the batch.
  const auto stepTime = mRates.StepTime(OccupiedSlots() + 1, aNow);
  const auto stepTimeP95 = mRates.StepTimeP95(OccupiedSlots() + 1, aNow);
  const auto singleRequestP95 = mRates.StepTimeP95(1, aNow);
  const auto stepBound =
    singleRequestP95 <= interTokenTarget
      ? interTokenTarget
      : FromSeconds(std::max(ToSeconds(interTokenTarget),
                             kMissedTargetStepFactor * ToSeconds(singleRequestP95)));
  if (stepTimeP95 > stepBound) {
    return admission::Wait;
  }

  // Check the first token. A prompt that misses its target even without a backlog is admitted once
  // the backlog is empty.
  const auto firstToken = ProcessingTime(backlog, prefillRate) + ownPrefill + stepTime;
  if (backlog > 0 && firstToken > firstTokenTarget) {
    return admission::Wait;
  }
  return firstToken + stepTime * outputSteps > timeLeft ? admission::Wait : admission::Admit;
}

auto engine_model::Reserve(request_id aRequest, const work_estimate& aWork) -> void
{
  auto reserved = request_state{};
  reserved.mEstimate = aWork;
  reserved.mKvTokens = aWork.mPromptTokens + aWork.mOutputTokens;
  mReservedKvTokens += reserved.mKvTokens;
  [[maybe_unused]] const auto inserted = mRequests.emplace(aRequest, reserved).second;
  assert(inserted);
}

auto engine_model::Start(request_id aRequest, const work_estimate& aWork, time_point aNow) -> void
{
  if (!mRequests.contains(aRequest)) {
    Reserve(aRequest, aWork);
  }
  auto& state = mRequests.find(aRequest)->second;
  assert(!state.mStarted);
  state.mStarted = true;
  state.mStartedAt = aNow;
  state.mPrefillStart = aNow;
  ++mStartedCount;
  RecordUsage(aNow);
}

auto engine_model::OnTokens(request_id aRequest, std::uint64_t aGenerated, time_point aNow) -> void
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end() || !found->second.mStarted ||
      aGenerated <= found->second.mGenerated) {
    return;
  }
  auto& state = found->second;

  // The engine prefills one prompt at a time, so this prefill began after the previous first token.
  if (!state.mFirstTokenAt) {
    state.mFirstTokenAt = aNow;
    state.mPrefillStart = std::max(state.mStartedAt, mLastFirstToken);
    mLastFirstToken = aNow;
  } else if (!state.mSkipNextInterval && aNow >= mIgnoreSamplesUntil) {
    const auto steps = static_cast<duration::rep>(aGenerated - state.mGenerated);
    mRates.AddStepSample(
      mStartedCount + mOtherClientsRunning, (aNow - state.mLastTokenAt) / steps, aNow);
  }
  state.mSkipNextInterval = false;
  state.mGenerated = aGenerated;
  state.mLastTokenAt = aNow;

  // An answer longer than estimated uses more of the KV cache than was reserved.
  const auto used = state.mEstimate.mPromptTokens + aGenerated;
  if (used > state.mKvTokens) {
    mReservedKvTokens += used - state.mKvTokens;
    state.mKvTokens = used;
    RecordUsage(aNow);
  }
}

auto engine_model::SkipNextTokenInterval(request_id aRequest) -> void
{
  const auto found = mRequests.find(aRequest);
  if (found != mRequests.end()) {
    found->second.mSkipNextInterval = true;
  }
}

auto engine_model::OnProcessResumed(time_point aNow) -> void
{
  mIgnoreSamplesUntil = aNow + kEventBurstAfterPause;
  for (auto& [request, state] : mRequests) {
    state.mSkipNextInterval = true;
    state.mSpansPause = true;
  }
}

auto engine_model::Complete(request_id aRequest,
                            std::uint64_t aPromptTokens,
                            std::uint64_t aCachedTokens,
                            time_point aNow) -> void
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  const auto& state = found->second;
  if (state.mSpansPause) {
    Remove(aRequest);
    return;
  }
  if (!mLimits.mIsModel) {
    mRates.AddStepSample(std::max(1U, mStartedCount), aNow - state.mStartedAt, aNow);
  } else if (state.mFirstTokenAt) {
    const auto uncached = aPromptTokens - std::min(aPromptTokens, aCachedTokens);
    mRates.AddPrefillSample(uncached, *state.mFirstTokenAt - state.mPrefillStart, aNow);
  }
  Remove(aRequest);
}

auto engine_model::Release(request_id aRequest) -> void
{
  Remove(aRequest);
}

auto engine_model::Remove(request_id aRequest) -> void
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  mReservedKvTokens -= found->second.mKvTokens;
  mStartedCount -= found->second.mStarted ? 1 : 0;
  mRequests.erase(found);
}

auto engine_model::RecordUsage(time_point aNow) -> void
{
  const auto period = aNow.time_since_epoch() / duration(kUsagePeriod);
  auto& sample = mUsageHistory[static_cast<std::size_t>(period) % mUsageHistory.size()];
  if (sample.mPeriod != period) {
    sample = { period, 0, 0 };
  }
  sample.mRunning = std::max(sample.mRunning, mStartedCount);
  sample.mKvTokens = std::max(sample.mKvTokens, mReservedKvTokens);
}

auto engine_model::OnLoadReport(std::uint32_t aRunning,
                                std::uint64_t aFreeKvTokens,
                                time_point aNow) -> void
{
  // The report may describe any moment of the last seconds. Only usage above this agent's own peak
  // in that time is attributed to other clients.
  RecordUsage(aNow);
  const auto period = aNow.time_since_epoch() / duration(kUsagePeriod);
  auto ownRunning = std::uint32_t{ 0 };
  auto ownKv = std::uint64_t{ 0 };
  for (const auto& sample : mUsageHistory) {
    if (period - sample.mPeriod < static_cast<std::int64_t>(mUsageHistory.size())) {
      ownRunning = std::max(ownRunning, sample.mRunning);
      ownKv = std::max(ownKv, sample.mKvTokens);
    }
  }
  const auto usedKv = mLimits.mKvTokens - std::min(mLimits.mKvTokens, aFreeKvTokens);
  mOtherClientsRunning = aRunning - std::min(aRunning, ownRunning);
  mOtherClientsKvTokens = usedKv - std::min(usedKv, ownKv);
}

auto engine_model::OccupiedSlots() const -> std::uint32_t
{
  return static_cast<std::uint32_t>(mRequests.size()) + mOtherClientsRunning;
}

auto engine_model::FreeSlots() const -> std::uint32_t
{
  return mLimits.mMaxConcurrency - std::min(mLimits.mMaxConcurrency, OccupiedSlots());
}

auto engine_model::FreeKvTokens() const -> std::uint64_t
{
  return mLimits.mKvTokens - std::min(mLimits.mKvTokens, mReservedKvTokens + mOtherClientsKvTokens);
}

auto engine_model::PrefillTokensPerSecond(time_point aNow) const -> double
{
  return mLimits.mIsModel ? mRates.PrefillTokensPerSecond(aNow) : 0;
}

auto engine_model::StepTime(time_point aNow) const -> duration
{
  return mRates.StepTime(std::max(1U, OccupiedSlots()), aNow);
}

} // namespace bronzering
