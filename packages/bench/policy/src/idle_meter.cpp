#include "idle_meter.h"

#include <utility>

namespace bronzering::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto kSampleInterval = 50ms;

} // namespace

idle_meter::idle_meter(testkit::event_loop& aLoop,
                       time_point aFrom,
                       time_point aTo,
                       std::function<idle_sample()> aSample)
  : mLoop(aLoop)
  , mTo(aTo)
  , mSample(std::move(aSample))
{
  mLoop.At(aFrom, [this] { TakeSample(); });
}

auto idle_meter::Share() const -> double
{
  return mEngines == 0 ? 0 : static_cast<double>(mIdleEngines) / static_cast<double>(mEngines);
}

auto idle_meter::TakeSample() -> void
{
  const auto sample = mSample();
  if (sample.mWaiting >= sample.mEngines) {
    mEngines += sample.mEngines;
    mIdleEngines += sample.mIdleEngines;
  }
  if (mLoop.Now() < mTo) {
    mLoop.After(kSampleInterval, [this] { TakeSample(); });
  }
}

} // namespace bronzering::bench
