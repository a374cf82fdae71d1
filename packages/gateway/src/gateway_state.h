#pragma once

#include <bronzering/base/random_source.h>
#include <bronzering/dispatch/dispatch_queue.h>
#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/dispatch/fleet_rate_limiter.h>
#include <bronzering/dispatch/fleet_retry_budget.h>
#include <bronzering/dispatch/peer_table.h>
#include <bronzering/dispatch/published_items.h>
#include <bronzering/dispatch/route_table.h>
#include <bronzering/gateway/gateway_settings.h>
#include <bronzering/gateway/header_names.h>
#include <bronzering/log/event_log.h>

#include "dispatch_waiter.h"
#include "endpoint_connections.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bronzering {

/// What the parts of one entry_gateway share. Owned by the gateway; control thread only.
struct gateway_state
{
  gateway_state(boost::asio::io_context& aContext,
                gateway_settings aSettings,
                header_names aDialect,
                event_log& aLog,
                metrics_registry& aMetrics)
    : mContext(aContext)
    , mSettings(std::move(aSettings))
    , mDialect(std::move(aDialect))
    , mLog(aLog)
    , mMetrics(aMetrics)
    , mRandom(mSettings.mSeed)
    , mEndpoints(mSettings.mAvailabilityZone)
    , mWaiter(aContext, mEndpoints)
    , mConnections(aContext)
    , mQuotas(mSettings.mQuotaTolerance)
    , mPeers(mSettings.mAddress)
    , mDocumentKnown(aContext)
  {
    mDocumentKnown.expires_at(boost::asio::steady_timer::time_point::max());
  }

  boost::asio::io_context& mContext;
  const gateway_settings mSettings;
  const header_names mDialect;
  event_log& mLog;
  metrics_registry& mMetrics;
  random_source mRandom;

  /// Null until a routing document is known.
  std::shared_ptr<const route_table> mRoutes;
  published_items mItems;
  endpoint_table mEndpoints;
  dispatch_waiter mWaiter;
  endpoint_connections mConnections;
  fleet_rate_limiter mQuotas;
  /// By service.
  std::map<std::string, fleet_retry_budget, std::less<>> mRepeats;
  peer_table mPeers;
  /// Cancelled when the first routing document is adopted.
  boost::asio::steady_timer mDocumentKnown;
  std::uint64_t mExchanges = 0;
  bool mIsStopping = false;
  /// When the stop began; only while mIsStopping.
  time_point mStoppedAt;
};

} // namespace bronzering
