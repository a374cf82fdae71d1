#pragma once

#include <bronzering/base/metrics.h>
#include <bronzering/net/peer_network.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bronzering {

inline const auto kTestKey = std::string("a secret of the test fleet");

/// An io_context and the threads that run it until destruction.
class running_context
{
public:
  explicit running_context(std::size_t aThreads);
  ~running_context();
  auto Get() -> boost::asio::io_context& { return mContext; }

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWorkGuard;
  std::vector<std::thread> mThreads;
};

/// A peer_network with its own threads. Records its events.
class test_process
{
public:
  using settings_modifier = std::function<void(peer_network_settings&)>;
  test_process(process_role aRole,
               const std::string& aVm,
               std::uint64_t aIncarnation,
               const settings_modifier& aModifySettings = {});
  /// Destroys the network on its control thread.
  ~test_process();

  auto Network() -> peer_network& { return *mNetwork; }
  [[nodiscard]] auto Address() const -> std::string;
  /// Waits until the predicate holds for the events received so far; false after 20 s.
  auto WaitFor(const std::function<bool(const std::vector<peer_event>&)>& aPredicate) -> bool;
  /// Waits for the peer_up event with this zero-based index and returns its id, or a null id on
  /// timeout.
  auto WaitForPeer(std::size_t aIndex = 0) -> peer_id;
  /// Waits until at least aCount events of one type were received.
  template<class Event>
  auto WaitForCount(std::size_t aCount) -> bool
  {
    return WaitFor([&](const auto& aEvents) { return CountOf<Event>(aEvents) >= aCount; });
  }
  [[nodiscard]] auto Events() -> std::vector<peer_event>;
  [[nodiscard]] auto Metric(const std::string& aName) -> std::uint64_t
  {
    return mMetrics.Counter(aName).Value();
  }
  /// Blocks event handling on the control thread until the next call with false.
  auto PauseEvents(bool aPause) -> void;

  template<class Event>
  static auto CountOf(const std::vector<peer_event>& aEvents) -> std::size_t
  {
    auto count = std::size_t{ 0 };
    for (const auto& event : aEvents) {
      count += std::holds_alternative<Event>(event) ? 1 : 0;
    }
    return count;
  }

private:
  metrics_registry mMetrics;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<peer_event> mEvents;
  bool mArePaused = false;
  std::unique_ptr<running_context> mTraffic;
  std::unique_ptr<running_context> mControl;
  std::unique_ptr<peer_network> mNetwork;
};

/// TCP proxy to a loopback port that can drop the traffic of existing connections.
class tcp_proxy
{
public:
  explicit tcp_proxy(std::uint16_t aTarget);
  [[nodiscard]] auto Address() const -> std::string;
  /// Drops all data of the current connections from now on, in one or both directions.
  auto DropTraffic(bool aFromOpener, bool aFromAcceptor) -> void;

private:
  struct proxied_connection;
  auto Accept() -> void;
  static auto Forward(std::shared_ptr<proxied_connection> aConnection, bool aFromOpener) -> void;

  std::mutex mMutex;
  std::vector<std::weak_ptr<proxied_connection>> mConnections;
  running_context mContext;
  boost::asio::ip::tcp::endpoint mTarget;
  boost::asio::ip::tcp::acceptor mAcceptor;
};

} // namespace bronzering
