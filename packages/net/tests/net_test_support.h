#pragma once

#include <bronzering/base/metrics.h>
#include <bronzering/net/caller_server.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace bronzering {

/// A control thread that runs an io_context until it is destroyed.
class control_thread
{
public:
  control_thread()
    : mWork(boost::asio::make_work_guard(mContext))
    , mThread([this] { mContext.run(); })
  {
  }
  ~control_thread()
  {
    mContext.stop();
    mThread.join();
  }
  auto Context() -> boost::asio::io_context& { return mContext; }

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork;
  std::thread mThread;
};

/// A caller_server whose requests are handled by a function on the control thread. Records the
/// server's events, which tests can wait for.
class server_fixture
{
public:
  using handler = std::function<void(caller_server&, const caller_request&)>;

  server_fixture(caller_server_settings aSettings, handler aHandle)
  {
    caller_events events;
    events.mRequest = [this, handle = std::move(aHandle)](const caller_request& aRequest) {
      Record([&] { mRequests.push_back(aRequest); });
      handle(*mServer, aRequest);
    };
    events.mProgress = [this](exchange_id aExchange, std::uint64_t aBytes) {
      Record([&] { mProgress[aExchange.mValue] = aBytes; });
    };
    events.mGone = [this](exchange_id aExchange) {
      Record([&] { mGone.insert(aExchange.mValue); });
    };
    mServer = std::make_unique<caller_server>(
      std::move(aSettings), mControl.Context(), std::move(events), mMetrics);
    const auto started = boost::leaf::try_handle_all(
      [&]() -> outcome<bool> {
        BOOST_LEAF_CHECK(mServer->Start());
        return true;
      },
      [] { return false; });
    if (!started) {
      throw std::runtime_error("the server did not start");
    }
  }

  /// Waits until the condition on the recorded events holds. There is no timeout of its own: a
  /// failure shows as the timeout of the test run.
  template<class Condition>
  auto WaitFor(Condition aCondition) -> void
  {
    auto lock = std::unique_lock(mMutex);
    mChanged.wait(lock, [&] { return aCondition(*this); });
  }
  auto Server() -> caller_server& { return *mServer; }
  auto Metrics() -> metrics_registry& { return mMetrics; }

  std::vector<caller_request> mRequests;
  std::map<std::uint64_t, std::uint64_t> mProgress;
  std::set<std::uint64_t> mGone;

private:
  template<class Change>
  auto Record(Change aChange) -> void
  {
    const auto lock = std::lock_guard(mMutex);
    aChange();
    mChanged.notify_all();
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  metrics_registry mMetrics;
  // Declared before mControl, so that the server is destroyed after the control thread, which may
  // still use it.
  std::unique_ptr<caller_server> mServer;
  control_thread mControl;
};

/// A blocking TCP client of a loopback port.
class raw_client
{
public:
  explicit raw_client(std::uint16_t aPort)
    : mSocket(mContext)
  {
    mSocket.connect({ boost::asio::ip::address_v4::loopback(), aPort });
  }

  auto Send(const std::string& aText) -> void
  {
    boost::system::error_code ignored;
    boost::asio::write(mSocket, boost::asio::buffer(aText), ignored);
  }
  /// Reads up to and including the marker, or less if the connection ends first.
  auto ReadUntil(const std::string& aMarker) -> std::string
  {
    boost::system::error_code error;
    const auto count =
      boost::asio::read_until(mSocket, boost::asio::dynamic_buffer(mInput), aMarker, error);
    return Take(error ? mInput.size() : count);
  }
  auto ReadAll() -> std::string
  {
    boost::system::error_code error;
    boost::asio::read(mSocket, boost::asio::dynamic_buffer(mInput), error);
    return Take(mInput.size());
  }
  auto Socket() -> boost::asio::ip::tcp::socket& { return mSocket; }

private:
  auto Take(std::size_t aCount) -> std::string
  {
    auto text = mInput.substr(0, aCount);
    mInput.erase(0, aCount);
    return text;
  }

  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
  std::string mInput;
};

/// Responds with the request's body, without a Content-Length header.
inline auto Echo(caller_server& aServer, const caller_request& aRequest) -> void
{
  aServer.Apply(start_answer{ aRequest.mExchange, 200, { { "X-Kind", "echo" } } });
  aServer.Apply(continue_answer{ aRequest.mExchange, aRequest.mBody });
  aServer.Apply(finish_answer{ aRequest.mExchange });
}

} // namespace bronzering
