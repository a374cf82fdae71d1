#pragma once

#include <bronzering/base/metrics.h>
#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

namespace bronzering {

/// Importance of a log line. Each level has a rate limit of its own.
enum class log_priority
{
  /// Progress of a request that succeeds.
  Routine,
  /// Refusals, failures and state changes of the process.
  Notable
};

/// Structured log on standard output, one JSON object per line. A separate thread writes the lines
/// from a bounded queue, so that a stalled reader does not block the process; lines over their rate
/// limit are dropped and counted. Owned by the program; Write is called on the control thread.
class event_log
{
public:
  /// Rate limits in lines per second.
  static constexpr std::uint32_t kRoutineLinesPerSecond = 200;
  static constexpr std::uint32_t kNotableLinesPerSecond = 400;

  /// Every line contains aProcess.
  event_log(std::string_view aProcess, metrics_registry& aMetrics);
  ~event_log();
  event_log(const event_log&) = delete;
  auto operator=(const event_log&) -> event_log& = delete;

  /// aFields must not contain keys, tokens or the content of requests.
  auto Write(log_priority aPriority,
             std::string_view aEvent,
             boost::json::object aFields,
             time_point aNow) -> void;
  /// Writes all queued lines and closes the log. Returns false if that takes longer than aTimeout,
  /// which means that the reader of the output has stalled and that returning from main would block
  /// on it. May be called again. Lines that are written afterwards are dropped.
  [[nodiscard]] auto Close(std::chrono::milliseconds aTimeout) -> bool;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
