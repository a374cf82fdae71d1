#pragma once

#include <bronzering/base/boot_clock.h>
#include <bronzering/base/random_source.h>
#include <bronzering/dispatch/configuration_lag.h>
#include <bronzering/dispatch/crash_quarantine.h>
#include <bronzering/dispatch/decaying_rate.h>
#include <bronzering/dispatch/dispatch_queue.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/fleet_retry_budget.h>
#include <bronzering/dispatch/hedge_policy.h>
#include <bronzering/dispatch/memory_budget.h>
#include <bronzering/dispatch/peer_table.h>
#include <bronzering/dispatch/published_items.h>
#include <bronzering/dispatch/route_table.h>
#include <bronzering/dispatch/shutdown_schedule.h>
#include <bronzering/gateway/gateway_settings.h>
#include <bronzering/gateway/header_names.h>
#include <bronzering/log/event_log.h>

#include "crash_monitor.h"
#include "dispatch_waiter.h"
#include "endpoint_connection_pool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bronzering {

/// Bytes that may be held for callers: what is left of the memory for the process itself and for
/// its connections. 0 means no limit.
[[nodiscard]] inline auto CallerMemory(const gateway_settings& aSettings) -> std::size_t
{
  constexpr auto kUsableShare = 0.9;
  constexpr auto kProcessBytes = std::size_t{ 16 } * 1024 * 1024;
  constexpr auto kConnectionBytes = std::size_t{ 6 } * 1024;
  constexpr auto kLeast = std::size_t{ 8 } * 1024 * 1024;
  if (aSettings.mMemoryBytes == 0) {
    return 0;
  }
  const auto usable =
    static_cast<std::size_t>(kUsableShare * static_cast<double>(aSettings.mMemoryBytes));
  const auto needed = kProcessBytes + aSettings.mMaxConnections * kConnectionBytes;
  return usable > needed + kLeast ? usable - needed : kLeast;
}

/// State shared by the components of one entry_gateway. Owned by the gateway; control thread only.
struct gateway_state
{
  gateway_state(boost::asio::io_context& aContext,
                gateway_settings aSettings,
                header_names aHeaderNames,
                owner_version_reader aVersionOf,
                event_log& aLog,
                metrics_registry& aMetrics)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mHeaderNames(std::move(aHeaderNames))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mRandom(mSettings.mSeed)
    , mItems(std::move(aVersionOf), mSettings.mSourceBounds)
    , mEndpoints(mSettings.mAvailabilityZone, mSettings.mAddress)
    , mDispatchWaiter(aContext, mEndpoints)
    , mConnections(aContext)
    , mRateLimiter(mSettings.mQuotaTolerance)
    , mHedges(mSettings.mHedgePercent)
    , mMemory(CallerMemory(mSettings))
    , mPeers(mSettings.mAddress, HashZone(mSettings.mAvailabilityZone))
    , mQuarantine(TrialDelay(mSettings.mAddress))
    , mCrashMonitor(aContext, mQuarantine, aLog, aMetrics)
    , mFirstDocumentAdopted(aContext)
  {
    mFirstDocumentAdopted.expires_at(boost::asio::steady_timer::time_point::max());
  }

  /// Version of the routing document in force; 0 while none is known.
  [[nodiscard]] auto ConfigurationVersion() const -> std::uint64_t
  {
    return mRoutes ? mRoutes->Document().mVersion : 0;
  }

  /// Time since the source of the items last answered; since the start if it never did.
  [[nodiscard]] auto SinceSourceAnswer(time_point aNow) const -> duration
  {
    return aNow - mLastSourceAnswer;
  }

  boost::asio::io_context& mContext;
  const gateway_settings mSettings;
  const header_names mHeaderNames;
  event_log& mLog;
  metrics_registry& mMetrics;
  random_source mRandom;

  /// Null until a routing document is known.
  std::shared_ptr<const route_table> mRoutes;
  published_items mItems;
  /// History of the source's last answer.
  std::uint64_t mSourceHistory = 0;
  /// When the source of the items last answered; before its first answer, when the entry started.
  time_point mLastSourceAnswer = ReadBootClock();
  /// Requests that callers send to this entry.
  decaying_rate mDemand;
  endpoint_table mEndpoints;
  dispatch_waiter mDispatchWaiter;
  endpoint_connection_pool mConnections;
  fleet_rate_limiter mRateLimiter;
  /// Retry budgets by service.
  std::map<std::string, fleet_retry_budget, std::less<>> mRetryBudgets;
  hedge_policy mHedges;
  memory_budget mMemory;
  /// When a rejected request was last logged, by status.
  std::map<unsigned, time_point> mLastRejectionLog;
  peer_table mPeers;
  configuration_lag mConfigurationLag;
  crash_quarantine mQuarantine;
  crash_monitor mCrashMonitor;
  /// Never expires; cancelled to wake its waiters when a routing document is adopted.
  boost::asio::steady_timer mFirstDocumentAdopted;
  std::uint64_t mExchangeCount = 0;
  shutdown_schedule mShutdown;
};

} // namespace bronzering
