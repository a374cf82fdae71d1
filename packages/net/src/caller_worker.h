#pragma once

#include "batch_queue.h"

#include <bronzering/base/metrics.h>
#include <bronzering/net/caller_server.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>

namespace bronzering {

class caller_connection;

/// Events to the control thread: bytes written of a response, and a caller's disconnect.
struct caller_progress
{
  exchange_id mExchange;
  std::uint64_t mTotalBytes = 0;
};
struct caller_disconnect
{
  exchange_id mExchange;
};
using caller_event = std::variant<caller_request, caller_progress, caller_disconnect>;

/// State shared by the traffic threads of one caller_server. Thread-safe.
struct caller_shared_state
{
  caller_shared_state(caller_server_settings aSettings,
                      boost::asio::io_context& aControl,
                      caller_events aEvents,
                      metrics_registry& aMetrics);

  [[nodiscard]] auto Config() const -> std::shared_ptr<const fleet_config>;
  auto SetConfig(std::shared_ptr<const fleet_config> aConfig) -> void;

  const caller_server_settings mSettings;
  batch_queue<caller_event> mEvents;
  std::atomic<std::size_t> mConnections = 0;
  std::atomic<std::size_t> mExchanges = 0;
  gauge& mConnectionGauge;
  counter& mRequestCounter;
  counter& mMalformedCounter;
  counter& mTimeoutCounter;
  counter& mDisconnectCounter;
  counter& mRejectedCounter;

private:
  mutable std::mutex mConfigMutex;
  std::shared_ptr<const fleet_config> mConfig;
};

/// One traffic thread of a caller_server with its connections. One timer checks the deadlines of
/// all connections, so that idle connections need no timers. Owned by caller_server. Methods run
/// on the traffic thread unless noted otherwise.
class caller_worker
{
public:
  caller_worker(caller_shared_state& aShared, std::uint64_t aIndex);
  ~caller_worker();
  caller_worker(const caller_worker&) = delete;
  auto operator=(const caller_worker&) -> caller_worker& = delete;

  /// Starts the thread. Called once, from any thread.
  auto Run() -> void;
  /// Closes all connections and joins the thread. Called from any other thread.
  auto Stop() -> void;
  /// Queues an action. Thread-safe.
  auto Apply(caller_action aAction) -> void { mActions.Push(std::move(aAction)); }
  /// Closes idle connections, and the others after their current exchange. Thread-safe.
  auto BeginDrain() -> void;

  auto Add(boost::asio::ip::tcp::socket aSocket) -> void;
  auto Remove(const std::shared_ptr<caller_connection>& aConnection) -> void;
  /// Registers a new exchange for the connection.
  auto OpenExchange(caller_connection& aConnection) -> exchange_id;
  auto CloseExchange(exchange_id aExchange) -> void;
  [[nodiscard]] auto IsDraining() const -> bool { return mIsDraining; }
  [[nodiscard]] auto Shared() -> caller_shared_state& { return mShared; }
  [[nodiscard]] auto Context() -> boost::asio::io_context& { return mContext; }
  /// Index of the worker that owns an exchange. Thread-safe.
  [[nodiscard]] static auto IndexOf(exchange_id aExchange) -> std::uint64_t;

private:
  auto Execute(caller_action& aAction) -> void;
  auto ArmSweep() -> void;
  auto Sweep() -> void;

  caller_shared_state& mShared;
  const std::uint64_t mIndex;
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWorkGuard;
  boost::asio::steady_timer mSweepTimer;
  batch_queue<caller_action> mActions;
  std::unordered_set<std::shared_ptr<caller_connection>> mConnections;
  std::unordered_map<exchange_id, caller_connection*> mExchanges;
  std::uint64_t mNextExchange = 1;
  bool mIsDraining = false;
  std::thread mThread;
};

} // namespace bronzering
