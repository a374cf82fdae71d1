#include "model_reconciler.h"

#include <algorithm>

namespace bronzering {

namespace {

/// Timeout of a lease request. The repeated request may go to another owner.
constexpr auto kLeaseTimeout = std::chrono::seconds(2);
/// Size of one lease in seconds of the budget's rate. Owners refuse amounts that exceed the burst
/// or would keep other requests waiting for longer than this.
constexpr auto kLeaseSeconds = 0.5;
/// Delay before a refused or unconfirmed command is repeated.
constexpr auto kRetryAfter = std::chrono::seconds(5);
/// Loading weights can take minutes. An engine that has not reported the result by then is put back
/// into service with what it has loaded.
constexpr auto kLoadTimeout = std::chrono::minutes(5);
/// Size of an adapter relative to its model. The configuration does not specify it; this is about
/// the size of low-rank adapters.
constexpr auto kRelativeAdapterSize = 0.01;

} // namespace

auto model_reconciler::Configure(const endpoint_config& aEndpoint, const limit_config* aBudget)
  -> void
{
  mWantedVersion = aEndpoint.mModelVersion;
  mWantedAdapters = { aEndpoint.mAdapters.begin(), aEndpoint.mAdapters.end() };
  mWeightBytes = static_cast<double>(aEndpoint.mWeightBytes);
  mBudget.clear();
  mLeaseBytes = mWeightBytes;
  if (aBudget != nullptr) {
    mBudget = aBudget->mName;
    mLeaseBytes = std::min(aBudget->mBurst, aBudget->mRatePerSecond * kLeaseSeconds);
  }
}

auto model_reconciler::NextCommand() const -> std::optional<needs_command>
{
  if (!mLoadedVersion) {
    return std::nullopt;
  }
  if (!mWantedVersion.empty() && *mLoadedVersion != mWantedVersion) {
    return needs_command{ engine_command_kind::LoadModel, mWantedVersion };
  }
  for (const auto& adapter : mWantedAdapters) {
    if (!mLoadedAdapters.contains(adapter)) {
      return needs_command{ engine_command_kind::LoadAdapter, adapter };
    }
  }
  return std::nullopt;
}

auto model_reconciler::BytesOf(const needs_command& aCommand) const -> double
{
  return aCommand.mKind == engine_command_kind::LoadModel ? mWeightBytes
                                                          : mWeightBytes * kRelativeAdapterSize;
}

auto model_reconciler::OnLoadReport(const engine_load& aReport) -> void
{
  mLoadedVersion = aReport.mModelVersion;
  mLoadedAdapters = { aReport.mAdapters.begin(), aReport.mAdapters.end() };
}

auto model_reconciler::OnRestart() -> void
{
  mLoadedVersion.reset();
  Reset();
}

auto model_reconciler::Reset() -> void
{
  mPhase = phase::Settled;
  mTarget.reset();
  mLeased = 0;
  mWakeAt.reset();
}

auto model_reconciler::OnLease(const lease_grant& aLease, time_point aNow) -> void
{
  if (mPhase != phase::Leasing || aLease.mBudget != mBudget) {
    return;
  }
  // The load is a single transfer, so each lease counts as spent as soon as it is granted.
  mLeased += aLease.mAmount;
  mWakeAt = aLease.mAmount > 0 ? aNow : aNow + aLease.mLifetime;
}

auto model_reconciler::NextStep(time_point aNow, bool aEngineIdle) -> step
{
  // A command is in progress: waits for the engine, or retries after a delay.
  const auto due = !mWakeAt || *mWakeAt <= aNow;
  const auto needed = NextCommand();
  const auto unchanged =
    needed && mTarget && needed->mKind == mTarget->mKind && needed->mArgument == mTarget->mArgument;
  if (mPhase == phase::CommandSent || mPhase == phase::Accepted) {
    if (mPhase == phase::CommandSent && !due) {
      return {};
    }
    if (unchanged && !due) {
      return {};
    }
    Reset();
    if (unchanged) {
      mWakeAt = aNow + kRetryAfter;
      return {};
    }
  }
  if (!needed) {
    Reset();
    return {};
  }

  // Starts with the command that is needed now.
  if (!unchanged && mPhase != phase::Settled) {
    Reset();
  }
  if (mPhase == phase::Settled) {
    if (mWakeAt && *mWakeAt > aNow) {
      return {};
    }
    mTarget = needed;
    mLeased = 0;
    mWakeAt.reset();
    mPhase = phase::Leasing;
  }

  if (mPhase == phase::Leasing) {
    const auto remaining = BytesOf(*mTarget) - mLeased;
    if (!mBudget.empty() && remaining > 0) {
      if (mWakeAt && *mWakeAt > aNow) {
        return {};
      }
      mWakeAt = aNow + kLeaseTimeout;
      return needs_lease{ mBudget, std::min(remaining, mLeaseBytes) };
    }
    mPhase = phase::WaitingForIdle;
    mWakeAt.reset();
  }

  // Replacing the model would abort the requests that run on it.
  if (mTarget->mKind == engine_command_kind::LoadModel && !aEngineIdle) {
    return {};
  }
  return *mTarget;
}

auto model_reconciler::OnCommand(std::uint64_t aFencingToken, time_point aNow) -> void
{
  mPhase = phase::CommandSent;
  mToken = aFencingToken;
  mWakeAt = aNow + kLoadTimeout;
}

auto model_reconciler::OnResult(const engine_command_result& aResult, time_point aNow) -> void
{
  if (mPhase != phase::CommandSent || aResult.mFencingToken != mToken) {
    return;
  }
  if (aResult.mAccepted) {
    mPhase = phase::Accepted;
    return;
  }
  Reset();
  mWakeAt = aNow + kRetryAfter;
}

auto model_reconciler::BlocksNewWork() const -> bool
{
  return mTarget && mTarget->mKind == engine_command_kind::LoadModel &&
         (mPhase == phase::WaitingForIdle || mPhase == phase::CommandSent ||
          mPhase == phase::Accepted);
}

auto model_reconciler::NextTimer() const -> std::optional<time_point>
{
  return mWakeAt;
}

auto model_reconciler::Phase() const -> std::string_view
{
  switch (mPhase) {
    case phase::Settled:
      return mWakeAt ? "retry_later" : "settled";
    case phase::Leasing:
      return "leasing";
    case phase::WaitingForIdle:
      return "waiting_for_idle";
    case phase::CommandSent:
      return "loading";
    case phase::Accepted:
      return "confirming";
  }
  return "?";
}

} // namespace bronzering
