#pragma once

#include <bronzering/base/time.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace boost::asio {
class io_context;
}

namespace bronzering {

/// Runs the threads of a daemon and handles its timer and signals. The control thread is the one
/// that calls Run; the traffic threads serve connections. Owned by the daemon. Methods other than
/// the accessors must be called on the control thread, on which the handlers are called too.
class daemon_event_loop
{
public:
  struct handlers
  {
    /// Called when the timer set with SetTimer has expired.
    std::function<void()> mOnTimer;
    /// Called on the first SIGTERM or SIGINT.
    std::function<void()> mOnStop;
    /// Called on a further SIGTERM or SIGINT. The process exits when this returns.
    std::function<void()> mOnForcedStop;
  };

  explicit daemon_event_loop(std::size_t aTrafficThreads);
  ~daemon_event_loop();
  daemon_event_loop(const daemon_event_loop&) = delete;
  auto operator=(const daemon_event_loop&) -> daemon_event_loop& = delete;

  [[nodiscard]] auto Control() -> boost::asio::io_context&;
  [[nodiscard]] auto Traffic() -> boost::asio::io_context&;

  /// Sets the timer, replacing the previous time. It expires after one second at the latest, so
  /// that time during which the VM was suspended is detected.
  auto SetTimer(std::optional<time_point> aAt) -> void;
  /// Runs the event loop until Stop is called. Does not return after mOnForcedStop.
  auto Run(handlers aHandlers) -> void;
  /// Makes Run return after the current event and join the traffic threads.
  auto Stop() -> void;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
