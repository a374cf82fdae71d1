#pragma once

#include <bronzering/base/time.h>

#include <chrono>
#include <optional>

namespace bronzering {

/// Decides which work a process may still start after it was asked to stop. Work that can last
/// longer than the process is not started, whether it is new, queued, retried or resumed: cutting
/// it off would leave its caller without an answer, while another process can still serve it.
/// Not thread-safe: owned by the control thread.
class shutdown_schedule
{
public:
  /// Work whose end is only estimated may be started if its request arrived this soon after the
  /// stop request. Load balancers notice within that time that the process is not ready any more.
  /// Later callers are better served by another process: an estimate that fails would cut them off.
  static constexpr auto kEstimateCutoff = std::chrono::milliseconds(2'800);

  /// What is known of a request when it is about to be sent to an endpoint.
  struct work
  {
    time_point mArrived;
    /// When its caller, its route or its endpoint gives it up.
    time_point mDeadline;
    /// Expected time until the end of the response; zero if nothing is known.
    duration mExpected{};
  };

  /// Records the stop request. aGrace is the time until the process must have ended; without any,
  /// it ends at once. Precondition: the process is not stopping yet.
  auto Begin(time_point aNow, duration aGrace) -> void;

  [[nodiscard]] auto IsStopping() const -> bool { return mRequested.has_value(); }
  /// Time since the stop request. Precondition: IsStopping().
  [[nodiscard]] auto SinceRequest(time_point aNow) const -> duration;
  /// When the process ends. Precondition: IsStopping().
  [[nodiscard]] auto ProcessEnd() const -> time_point;
  /// When requests that are still in progress get their final answer, shortly before ProcessEnd.
  /// Precondition: IsStopping().
  [[nodiscard]] auto LastAnswer() const -> time_point;
  /// The deadline, or LastAnswer if that is earlier.
  [[nodiscard]] auto LimitDeadline(time_point aDeadline) const -> time_point;
  /// Whether the work can end before LastAnswer: it must do so by its deadline, or, if its request
  /// arrived before kEstimateCutoff, according to the estimate. True if the process is not
  /// stopping.
  [[nodiscard]] auto MayStart(const work& aWork, time_point aNow) const -> bool;

private:
  std::optional<time_point> mRequested;
  duration mGrace{};
};

} // namespace bronzering
