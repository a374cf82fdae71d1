#pragma once

#include <bronzering/testkit.h>

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace bronzering::testkit {

/// Kinds of faults that a schedule can apply to a run.
enum class fault_kind
{
  KillEntry,
  KillAgent,
  PauseEntry,
  PauseAgent,
  DrainAgent,
  Partition,
  Heal,
  SlowEngine,
  CrashEngine,
  BreakStreams,
  ConfigurationOutage,
  ConfigurationBack,
  StaleDocument,
  PublishDocument,
  CallersLeave
};
inline constexpr auto kFaultKindNames =
  name_table<fault_kind, 15>{ { { { fault_kind::KillEntry, "kill entry" },
                                  { fault_kind::KillAgent, "kill agent" },
                                  { fault_kind::PauseEntry, "pause entry" },
                                  { fault_kind::PauseAgent, "pause agent" },
                                  { fault_kind::DrainAgent, "drain agent" },
                                  { fault_kind::Partition, "partition" },
                                  { fault_kind::Heal, "heal" },
                                  { fault_kind::SlowEngine, "slow engine" },
                                  { fault_kind::CrashEngine, "crash engine" },
                                  { fault_kind::BreakStreams, "break streams" },
                                  { fault_kind::ConfigurationOutage, "configuration outage" },
                                  { fault_kind::ConfigurationBack, "configuration back" },
                                  { fault_kind::StaleDocument, "stale document" },
                                  { fault_kind::PublishDocument, "publish document" },
                                  { fault_kind::CallersLeave, "callers leave" } } } };

/// One fault of a schedule. The target selects the process, engine or callers. The size is a
/// duration, the slowdown of an engine, or the bit mask of the processes on one side of a
/// partition.
struct fault_step
{
  std::uint32_t mAtMilliseconds = 0;
  fault_kind mKind = fault_kind::KillEntry;
  std::uint32_t mTarget = 0;
  std::uint32_t mSizeMilliseconds = 0;
};

auto operator<<(std::ostream& aOut, const fault_step& aStep) -> std::ostream&;

struct fault_run_result
{
  std::vector<violation> mViolations;
  std::uint64_t mHash = 0;
  /// Requests that ended with a whole answer.
  std::uint64_t mFinished = 0;
  /// All requests sent, with the repeated ones.
  std::uint64_t mSent = 0;
};
/// Runs the small deployment with the given faults for 6 s of arrivals and then until all deadlines
/// have passed. Some callers repeat a request with the same idempotency key through the other
/// entry.
[[nodiscard]] auto RunWithFaults(std::uint64_t aSeed,
                                 const std::vector<fault_step>& aFaults,
                                 injected_bug aInjectedBug = injected_bug::None,
                                 double aLoad = 1.5) -> fault_run_result;

} // namespace bronzering::testkit
