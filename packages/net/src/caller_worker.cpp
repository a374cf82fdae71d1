#include "caller_worker.h"

#include "caller_connection.h"

#include <bronzering/base/overloaded.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace bronzering {

namespace {

/// The upper bits of an exchange id contain the worker index.
constexpr unsigned kWorkerShift = kExchangeBits - 8;

auto SweepInterval(const caller_server_settings& aSettings) -> duration
{
  const auto shortest =
    std::min({ aSettings.mIdleTimeout, aSettings.mReadTimeout, aSettings.mWriteTimeout });
  return std::clamp<duration>(
    shortest / 4, std::chrono::milliseconds(5), std::chrono::milliseconds(500));
}

auto Deliver(const caller_events& aEvents, caller_event& aEvent) -> void
{
  std::visit(overloaded{
               [&](caller_request& aRequest) { aEvents.mRequest(std::move(aRequest)); },
               [&](const caller_progress& aProgress) {
                 aEvents.mProgress(aProgress.mExchange, aProgress.mTotalBytes);
               },
               [&](const caller_disconnect& aDisconnect) { aEvents.mGone(aDisconnect.mExchange); },
             },
             aEvent);
}

} // namespace

caller_shared_state::caller_shared_state(caller_server_settings aSettings,
                                         boost::asio::io_context& aControl,
                                         caller_events aEvents,
                                         metrics_registry& aMetrics)
  : mSettings(std::move(aSettings))
  , mEvents(aControl,
            [events = std::move(aEvents)](caller_event& aEvent) { Deliver(events, aEvent); })
  , mConnectionGauge(aMetrics.Gauge("bronzering_caller_connections"))
  , mRequestCounter(aMetrics.Counter("bronzering_caller_requests_total"))
  , mMalformedCounter(aMetrics.Counter("bronzering_caller_malformed_total"))
  , mTimeoutCounter(aMetrics.Counter("bronzering_caller_timeouts_total"))
  , mDisconnectCounter(aMetrics.Counter("bronzering_caller_gone_total"))
  , mRejectedCounter(aMetrics.Counter("bronzering_caller_connections_rejected_total"))
{
}

auto caller_shared_state::Config() const -> std::shared_ptr<const fleet_config>
{
  const auto lock = std::lock_guard(mConfigMutex);
  return mConfig;
}

auto caller_shared_state::SetConfig(std::shared_ptr<const fleet_config> aConfig) -> void
{
  const auto lock = std::lock_guard(mConfigMutex);
  mConfig = std::move(aConfig);
}

caller_worker::caller_worker(caller_shared_state& aShared, std::uint64_t aIndex)
  : mShared(aShared)
  , mIndex(aIndex)
  , mContext(1)
  , mWorkGuard(boost::asio::make_work_guard(mContext))
  , mSweepTimer(mContext)
  , mActions(mContext, [this](caller_action& aAction) { Execute(aAction); })
{
}

caller_worker::~caller_worker()
{
  Stop();
}

auto caller_worker::Run() -> void
{
  mThread = std::thread([this] {
    ArmSweep();
    mContext.run();
  });
}

auto caller_worker::Stop() -> void
{
  if (!mThread.joinable()) {
    return;
  }
  mContext.stop();
  mThread.join();
  mActions.Close();
  const auto connections = std::vector(mConnections.begin(), mConnections.end());
  for (const auto& connection : connections) {
    connection->CloseWithoutEvent();
  }
}

auto caller_worker::BeginDrain() -> void
{
  boost::asio::post(mContext, [this] {
    mIsDraining = true;
    const auto connections = std::vector(mConnections.begin(), mConnections.end());
    for (const auto& connection : connections) {
      connection->CloseIfIdle();
    }
  });
}

auto caller_worker::Add(boost::asio::ip::tcp::socket aSocket) -> void
{
  const auto connection = std::make_shared<caller_connection>(*this, std::move(aSocket));
  mConnections.insert(connection);
  mShared.mConnectionGauge.Add(1);
  connection->Start();
}

auto caller_worker::Remove(const std::shared_ptr<caller_connection>& aConnection) -> void
{
  if (mConnections.erase(aConnection) > 0) {
    mShared.mConnections.fetch_sub(1);
    mShared.mConnectionGauge.Add(-1);
  }
}

auto caller_worker::OpenExchange(caller_connection& aConnection) -> exchange_id
{
  const auto exchange = exchange_id{ (mIndex << kWorkerShift) | mNextExchange++ };
  mExchanges.emplace(exchange, &aConnection);
  mShared.mExchanges.fetch_add(1);
  return exchange;
}

auto caller_worker::CloseExchange(exchange_id aExchange) -> void
{
  if (mExchanges.erase(aExchange) > 0) {
    mShared.mExchanges.fetch_sub(1);
  }
}

auto caller_worker::IndexOf(exchange_id aExchange) -> std::uint64_t
{
  return aExchange.mValue >> kWorkerShift;
}

auto caller_worker::Execute(caller_action& aAction) -> void
{
  const auto exchange = std::visit([](const auto& aItem) { return aItem.mExchange; }, aAction);
  const auto found = mExchanges.find(exchange);
  if (found == mExchanges.end()) {
    return;
  }
  auto& connection = *found->second;
  std::visit([&](auto& aItem) { connection.Execute(aItem); }, aAction);
}

auto caller_worker::ArmSweep() -> void
{
  mSweepTimer.expires_after(SweepInterval(mShared.mSettings));
  mSweepTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Sweep();
      ArmSweep();
    }
  });
}

auto caller_worker::Sweep() -> void
{
  const auto now = std::chrono::steady_clock::now();
  std::vector<std::shared_ptr<caller_connection>> expired;
  for (const auto& connection : mConnections) {
    if (connection->IsExpired(now)) {
      expired.push_back(connection);
    }
  }
  for (const auto& connection : expired) {
    connection->OnExpired();
  }
}

} // namespace bronzering
