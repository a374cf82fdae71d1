#pragma once

#include <bronzering/log/event_log.h>

#include <boost/json/object.hpp>

#include <string_view>
#include <vector>

namespace bronzering {

/// Event log of a daemon, for its start and stop and for the decisions of its node. Control thread
/// only.
class node_log
{
public:
  /// aVm is written in every line.
  node_log(std::string_view aVm, metrics_registry& aMetrics);

  auto Write(std::string_view aEvent, boost::json::object aFields) -> void;
  /// Writes the decisions returned by a node; the "what" field becomes the event.
  auto WriteDecisions(std::vector<boost::json::object> aDecisions) -> void;
  /// Writes the last event and flushes the log. Exits the process if the log's reader has stalled.
  auto Close(std::string_view aEvent, boost::json::object aFields) -> void;

private:
  event_log mLog;
};

} // namespace bronzering
