#include <bronzering/dispatch/answer_times.h>
#include <bronzering/dispatch/shutdown_schedule.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Shares of the grace period that are over at LastAnswer and at ProcessEnd. The time between them
/// is for writing the answers, the rest for writing the log.
constexpr auto kAnswerShare = 0.88;
constexpr auto kProcessShare = 0.92;

} // namespace

auto shutdown_schedule::Begin(time_point aNow, duration aGrace) -> void
{
  assert(!mRequested);
  mRequested = aNow;
  mGrace = aGrace;
}

auto shutdown_schedule::SinceRequest(time_point aNow) const -> duration
{
  assert(mRequested);
  return aNow - *mRequested;
}

auto shutdown_schedule::ProcessEnd() const -> time_point
{
  assert(mRequested);
  return *mRequested + FromSeconds(ToSeconds(mGrace) * kProcessShare);
}

auto shutdown_schedule::LastAnswer() const -> time_point
{
  assert(mRequested);
  return *mRequested + FromSeconds(ToSeconds(mGrace) * kAnswerShare);
}

auto shutdown_schedule::LimitDeadline(time_point aDeadline) const -> time_point
{
  return mRequested ? std::min(aDeadline, LastAnswer()) : aDeadline;
}

auto shutdown_schedule::MayStart(const work& aWork, time_point aNow) const -> bool
{
  if (!mRequested || aWork.mDeadline <= LastAnswer()) {
    return true;
  }
  return aWork.mArrived - *mRequested <= kEstimateCutoff &&
         aNow + WithEstimateMargin(aWork.mExpected) <= LastAnswer();
}

} // namespace bronzering
