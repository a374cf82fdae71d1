#pragma once

#include <bronzering/log/event_log.h>

#include <boost/json/object.hpp>

#include <string_view>
#include <vector>

namespace bronzering {

/// The log of a daemon: its own life, and each decision of its node. Control thread only.
class node_log
{
public:
  /// aVm is repeated in every line.
  node_log(std::string_view aVm, metrics_registry& aMetrics);

  auto Write(std::string_view aEvent, boost::json::object aFields) -> void;
  /// Decisions as nodes give them; "what" becomes the event.
  auto WriteDecisions(std::vector<boost::json::object> aDecisions) -> void;
  /// Writes the last line and waits for the output. Ends the process if its reader has stalled.
  auto End(std::string_view aEvent, boost::json::object aFields) -> void;

private:
  event_log mLog;
};

} // namespace bronzering
