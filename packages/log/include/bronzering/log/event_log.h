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

/// How much a line matters when not all can be written.
enum class log_priority
{
  /// The course of a request that went well.
  Routine,
  /// Refusals, failures, and changes of what the process believes.
  Notable
};

/// Structured log on standard output, one JSON object a line. Lines are written by a thread of
/// their own through a bounded queue, so that a reader that stops reading delays nothing; lines
/// over the bound of their class are counted and left out. Owned by the program; Write is called on
/// the control thread.
class event_log
{
public:
  /// Lines a second of each class.
  static constexpr std::uint32_t kRoutineLines = 200;
  static constexpr std::uint32_t kNotableLines = 400;

  /// aProcess is repeated in every line.
  event_log(std::string_view aProcess, metrics_registry& aMetrics);
  ~event_log();
  event_log(const event_log&) = delete;
  auto operator=(const event_log&) -> event_log& = delete;

  /// aFields must not hold keys, tokens or contents of requests.
  auto Write(log_priority aClass,
             std::string_view aEvent,
             boost::json::object aFields,
             time_point aNow) -> void;
  /// Ends the log once all queued lines are written; false if they are not after aPatience. The
  /// output's reader has stalled then, and returning from main would wait for it. May be called
  /// again; nothing may be written afterwards.
  [[nodiscard]] auto Close(std::chrono::milliseconds aPatience) -> bool;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace bronzering
