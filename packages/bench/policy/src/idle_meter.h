#pragma once

#include <bronzering/testkit/event_loop.h>

#include <cstddef>
#include <functional>

namespace bronzering::bench {

/// State of the model engines at one point in time.
struct idle_sample
{
  std::size_t mEngines = 0;
  std::size_t mIdleEngines = 0;
  /// Model requests that are not running on any engine.
  std::size_t mWaiting = 0;
};

/// Samples the engines every 50 ms and counts idle ones while at least one request per engine is
/// waiting. A smaller number of requests may merely be in transit.
class idle_meter
{
public:
  idle_meter(testkit::event_loop& aLoop,
             time_point aFrom,
             time_point aTo,
             std::function<idle_sample()> aSample);
  idle_meter(const idle_meter&) = delete;
  auto operator=(const idle_meter&) -> idle_meter& = delete;

  /// Idle share of the engines over all samples with a backlog; zero if there are none.
  [[nodiscard]] auto Share() const -> double;

private:
  auto TakeSample() -> void;

  testkit::event_loop& mLoop;
  time_point mTo;
  std::function<idle_sample()> mSample;
  std::size_t mEngines = 0;
  std::size_t mIdleEngines = 0;
};

} // namespace bronzering::bench
