#pragma once

#include <bronzering/base/metrics.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/prompt_quarantine.h>
#include <bronzering/log/event_log.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <string_view>
#include <vector>

namespace bronzering {

/// The share of a quarantine by which the entry at aAddress makes its trials later, 0 to a quarter.
/// Thread-safe.
[[nodiscard]] auto TrialDelay(std::string_view aAddress) -> double;

/// Tells crashes of endpoints from broken connections and passes them to the prompt_quarantine. A
/// process that has crashed refuses connections; an endpoint that only broke off an answer, or
/// whose connection the network reset, accepts them. Control thread only.
class crash_monitor
{
public:
  /// The references must outlive the monitor.
  crash_monitor(boost::asio::io_context& aContext,
                prompt_quarantine& aQuarantine,
                event_log& aLog,
                metrics_registry& aMetrics);

  /// Reports that the endpoint ended the connection of a request with aParts before it answered.
  /// Tries to connect to the endpoint, once for all requests reported meanwhile.
  auto OnBrokenAttempt(const endpoint_table::choice& aEndpoint, std::vector<prompt_part_key> aParts)
    -> void;

private:
  auto Check(endpoint_table::choice aEndpoint, crash_id aCrash) -> boost::asio::awaitable<void>;

  boost::asio::io_context& mContext;
  prompt_quarantine& mQuarantine;
  event_log& mLog;
  metrics_registry& mMetrics;
  /// The parts of the requests that were broken off, by possible crash.
  std::map<crash_id, std::vector<std::vector<prompt_part_key>>> mBrokenAttempts;
};

} // namespace bronzering
