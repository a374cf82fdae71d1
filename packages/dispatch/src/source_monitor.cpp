#include <bronzering/dispatch/source_monitor.h>

#include <algorithm>

namespace bronzering {

source_monitor::source_monitor(source_bounds aBounds)
  : mBounds(aBounds)
{
}

auto source_monitor::OnFailure(time_point aNow) -> void
{
  mIsReachable = false;
  mFailedAt = mFailedAt.value_or(aNow);
  ++mFailures;
}

auto source_monitor::OnAnswer(time_point aNow) -> std::optional<source_interruption>
{
  auto interruption = std::optional<source_interruption>();
  if (mFailedAt) {
    interruption = Classify(aNow);
    auto graceEnd = time_point(aNow + kRenewalGrace);
    if (interruption == source_interruption::Uncertain && mBounds.mRemovalLimit) {
      // A removal that is learned of only now may be as old as the answer before.
      graceEnd =
        std::min<time_point>(graceEnd, *mLastAnswer + *mBounds.mRemovalLimit - kRemovalMargin);
    }
    if (interruption != source_interruption::Connection) {
      mGraceEnd = std::max(mGraceEnd, graceEnd);
      mLastDisturbance = aNow;
    }
  } else if (!mLastAnswer) {
    mLastDisturbance = aNow;
  }
  mIsReachable = true;
  mLastAnswer = aNow;
  mFailedAt.reset();
  mFailures = 0;
  return interruption;
}

auto source_monitor::OnRestored(time_point aNow) -> void
{
  mGraceEnd = aNow + kRenewalGrace;
  mLastDisturbance = aNow;
}

auto source_monitor::MaxWait() const -> duration
{
  if (!mBounds.mRemovalLimit) {
    return kRenewalGrace;
  }
  return std::clamp<duration>(
    *mBounds.mRemovalLimit - kRemovalMargin, duration::zero(), kRenewalGrace);
}

auto source_monitor::Classify(time_point aNow) const -> source_interruption
{
  const auto isPrompt = mFailures == 1 && aNow - *mFailedAt <= kPromptRecovery;
  if (!mLastAnswer) {
    // The source may have failed before the first call.
    return isPrompt ? source_interruption::Connection : source_interruption::Outage;
  }
  if (aNow - *mLastAnswer < mBounds.mRenewalInterval) {
    return source_interruption::Connection;
  }
  return isPrompt ? source_interruption::Uncertain : source_interruption::Outage;
}

} // namespace bronzering
