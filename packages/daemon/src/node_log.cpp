#include <bronzering/daemon/node_log.h>

#include <bronzering/daemon/process_start.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>

namespace bronzering {

namespace {

/// How long Close waits for the log's reader.
constexpr auto kLogCloseTimeout = std::chrono::seconds(1);
/// Events of a request that succeeds.
constexpr auto kRoutineEvents =
  std::array<std::string_view, 6>{ "dispatch", "grant", "submit", "end", "completed", "resumed" };

auto PriorityOf(std::string_view aEvent) -> log_priority
{
  return std::ranges::find(kRoutineEvents, aEvent) == kRoutineEvents.end() ? log_priority::Notable
                                                                           : log_priority::Routine;
}

} // namespace

node_log::node_log(std::string_view aVm, metrics_registry& aMetrics)
  : mLog(aVm, aMetrics)
{
}

auto node_log::Write(std::string_view aEvent, boost::json::object aFields) -> void
{
  mLog.Write(log_priority::Notable, aEvent, std::move(aFields), ReadClocks().mMonotonic);
}

auto node_log::WriteDecisions(std::vector<boost::json::object> aDecisions) -> void
{
  for (auto& fields : aDecisions) {
    const auto what = std::string(fields.at("what").as_string());
    fields.stable_erase("what");
    mLog.Write(PriorityOf(what), what, std::move(fields), ReadClocks().mMonotonic);
  }
}

auto node_log::Close(std::string_view aEvent, boost::json::object aFields) -> void
{
  Write(aEvent, std::move(aFields));
  if (!mLog.Close(kLogCloseTimeout)) {
    std::_Exit(EXIT_FAILURE);
  }
}

} // namespace bronzering
