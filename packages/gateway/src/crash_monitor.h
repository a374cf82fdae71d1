#pragma once

#include <bronzering/base/metrics.h>
#include <bronzering/dispatch/crash_quarantine.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/log/event_log.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace bronzering {

/// The share of a quarantine by which the entry at aAddress makes its trials later, 0 to a quarter.
/// Thread-safe.
[[nodiscard]] auto TrialDelay(std::string_view aAddress) -> double;

/// Tells crashes of endpoints from broken connections and passes them to the crash_quarantine. A
/// process that has crashed refuses connections; an endpoint that only broke off an answer, or
/// whose connection the network reset, accepts them. Control thread only.
///
/// Any request that a crash broke off may be its cause, also one whose answer had begun.
class crash_monitor
{
public:
  /// The references must outlive the monitor.
  crash_monitor(boost::asio::io_context& aContext,
                crash_quarantine& aQuarantine,
                event_log& aLog,
                metrics_registry& aMetrics);

  /// Reports that the endpoint ended the connection of a request before the end of its answer.
  /// aKeys are the possible causes: the request's own key and those of its prompt parts.
  /// aWasAnswering tells whether the endpoint counted as answering it. Tries to connect to the
  /// endpoint, once for all requests reported meanwhile.
  auto OnBrokenAttempt(const endpoint_table::choice& aEndpoint,
                       std::vector<suspect_key> aKeys,
                       bool aWasAnswering) -> void;
  /// Returns when it is known whether the endpoint has crashed: at once if no check is in progress,
  /// and after kMaxCheckWait at the latest.
  auto AwaitCheck(const endpoint_table::choice& aEndpoint) -> boost::asio::awaitable<void>;

private:
  /// A connection is refused or accepted within one round trip. Requests to an endpoint whose
  /// machine answers nothing are not held up for longer than this.
  static constexpr auto kMaxCheckWait = std::chrono::milliseconds(50);

  struct broken_attempt
  {
    std::vector<suspect_key> mKeys;
    bool mWasAnswering = false;
  };
  struct pending_check
  {
    std::vector<broken_attempt> mAttempts;
    /// Never expires; cancelled when the check has ended.
    std::shared_ptr<boost::asio::steady_timer> mEnd;
  };

  auto Check(endpoint_table::choice aEndpoint, crash_id aCrash) -> boost::asio::awaitable<void>;

  boost::asio::io_context& mContext;
  crash_quarantine& mQuarantine;
  event_log& mLog;
  metrics_registry& mMetrics;
  /// The checks in progress, by possible crash.
  std::map<crash_id, pending_check> mChecks;
};

} // namespace bronzering
