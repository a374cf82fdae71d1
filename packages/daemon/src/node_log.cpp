#include <bronzering/daemon/node_log.h>

#include <bronzering/daemon/process_start.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>

namespace bronzering {

namespace {

/// How long the end of the process waits for the log's reader.
constexpr auto kPatience = std::chrono::seconds(1);
/// Decisions on the way of a request that goes well.
constexpr auto kRoutine =
  std::array<std::string_view, 6>{ "dispatch", "grant", "submit", "end", "completed", "resumed" };

auto ClassOf(std::string_view aWhat) -> log_priority
{
  return std::ranges::find(kRoutine, aWhat) == kRoutine.end() ? log_priority::Notable
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
    mLog.Write(ClassOf(what), what, std::move(fields), ReadClocks().mMonotonic);
  }
}

auto node_log::End(std::string_view aEvent, boost::json::object aFields) -> void
{
  Write(aEvent, std::move(aFields));
  if (!mLog.Close(kPatience)) {
    std::_Exit(EXIT_FAILURE);
  }
}

} // namespace bronzering
