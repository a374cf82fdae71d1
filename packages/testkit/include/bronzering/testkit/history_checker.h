#pragma once

#include <bronzering/base/name_table.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/testkit/history.h>

#include <string>
#include <vector>

namespace bronzering::testkit {

/// The guarantees that docs/design.md lists as promises; a run must break none of them.
enum class promise
{
  DispatchedOnce,
  TierOrder,
  OwnWholeAnswer,
  TrueNotRun,
  KeyRunsOnce,
  NoWorkWhenLeaving,
  GracefulStop,
  ConfigurationForward,
  ConfigurationSpread
};
inline constexpr auto kPromiseNames =
  name_table<promise, 9>{ { { { promise::DispatchedOnce, "dispatched once" },
                              { promise::TierOrder, "tier order" },
                              { promise::OwnWholeAnswer, "own whole answer" },
                              { promise::TrueNotRun, "true not run" },
                              { promise::KeyRunsOnce, "key runs once" },
                              { promise::NoWorkWhenLeaving, "no work when leaving" },
                              { promise::GracefulStop, "graceful stop" },
                              { promise::ConfigurationForward, "configuration forward" },
                              { promise::ConfigurationSpread, "configuration spread" } } } };

struct violation
{
  promise mPromise = promise::DispatchedOnce;
  time_point mWhen;
  std::string mWhat;
};

struct check_options
{
  /// Endpoints by name, to decide whether a shed request could still have run there in time.
  std::map<std::string, endpoint_config, std::less<>> mEndpoints;
  /// Checks that each document reaches every process in time. Turn it off for runs in which
  /// partitions or stopped processes may delay the propagation.
  bool mCheckSpread = true;
  /// Processes in which each published document has to come into force.
  std::vector<std::string> mProcesses;
  /// End of the run; documents published too shortly before it are not checked.
  time_point mEnd;
};

/// Checks the history of one run against every promise and returns the violations, in order of
/// time. Thread-safe.
[[nodiscard]] auto CheckHistory(const history& aHistory, const check_options& aOptions)
  -> std::vector<violation>;

/// Formats a violation in one line: promise, time and description.
[[nodiscard]] auto ToString(const violation& aViolation) -> std::string;

} // namespace bronzering::testkit
