#include "peer_test_support.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <array>
#include <future>
#include <stdexcept>

namespace bronzering {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

} // namespace

running_context::running_context(std::size_t aThreads)
  : mWorkGuard(boost::asio::make_work_guard(mContext))
{
  for (auto i = std::size_t{ 0 }; i < aThreads; ++i) {
    mThreads.emplace_back([this] { mContext.run(); });
  }
}

running_context::~running_context()
{
  mContext.stop();
  for (auto& thread : mThreads) {
    thread.join();
  }
}

test_process::test_process(process_role aRole,
                           const std::string& aVm,
                           std::uint64_t aIncarnation,
                           const settings_modifier& aModifySettings)
  : mTraffic(std::make_unique<running_context>(2))
  , mControl(std::make_unique<running_context>(1))
{
  auto settings = peer_network_settings();
  settings.mIdentity = { aRole, aVm, "zone-1", "", { aIncarnation } };
  settings.mListenAddress = "127.0.0.1";
  settings.mPresharedKey = kTestKey;
  settings.mSeed = aIncarnation;
  if (aModifySettings) {
    aModifySettings(settings);
  }
  mNetwork = std::make_unique<peer_network>(
    mControl->Get(), mTraffic->Get(), settings, mMetrics, [this](peer_event aEvent) {
      auto lock = std::unique_lock(mMutex);
      mChanged.wait(lock, [this] { return !mArePaused; });
      mEvents.push_back(std::move(aEvent));
      mChanged.notify_all();
    });
  if (!mNetwork->Start()) {
    throw std::runtime_error("the peer network did not start");
  }
}

test_process::~test_process()
{
  PauseEvents(false);
  auto destroyed = std::promise<void>();
  boost::asio::post(mControl->Get(), [&] {
    mNetwork.reset();
    destroyed.set_value();
  });
  destroyed.get_future().wait();
  mControl.reset();
  mTraffic.reset();
}

auto test_process::Address() const -> std::string
{
  return "127.0.0.1:" + std::to_string(mNetwork->Port());
}

auto test_process::WaitFor(const std::function<bool(const std::vector<peer_event>&)>& aPredicate)
  -> bool
{
  auto lock = std::unique_lock(mMutex);
  return mChanged.wait_for(lock, std::chrono::seconds(20), [&] { return aPredicate(mEvents); });
}

auto test_process::WaitForPeer(std::size_t aIndex) -> peer_id
{
  auto found = peer_id();
  WaitFor([&](const auto& aEvents) {
    auto index = std::size_t{ 0 };
    for (const auto& event : aEvents) {
      const auto* up = std::get_if<peer_up>(&event);
      if (up != nullptr && index++ == aIndex) {
        found = up->mPeer;
        return true;
      }
    }
    return false;
  });
  return found;
}

auto test_process::Events() -> std::vector<peer_event>
{
  const auto lock = std::lock_guard(mMutex);
  return mEvents;
}

auto test_process::PauseEvents(bool aPause) -> void
{
  const auto lock = std::lock_guard(mMutex);
  mArePaused = aPause;
  mChanged.notify_all();
}

struct tcp_proxy::proxied_connection
{
  explicit proxied_connection(boost::asio::io_context& aContext)
    : mOpener(aContext)
    , mAcceptor(aContext)
  {
  }
  tcp::socket mOpener;
  tcp::socket mAcceptor;
  std::array<std::atomic<bool>, 2> mIsDropping = {};
  std::array<std::array<char, 4096>, 2> mBuffers;
};

tcp_proxy::tcp_proxy(std::uint16_t aTarget)
  : mContext(1)
  , mTarget(boost::asio::ip::address_v4::loopback(), aTarget)
  , mAcceptor(mContext.Get(), { boost::asio::ip::address_v4::loopback(), 0 })
{
  boost::asio::post(mContext.Get(), [this] { Accept(); });
}

auto tcp_proxy::Address() const -> std::string
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

auto tcp_proxy::DropTraffic(bool aFromOpener, bool aFromAcceptor) -> void
{
  const auto lock = std::lock_guard(mMutex);
  for (const auto& weak : mConnections) {
    if (const auto connection = weak.lock()) {
      connection->mIsDropping[0] = connection->mIsDropping[0] || aFromOpener;
      connection->mIsDropping[1] = connection->mIsDropping[1] || aFromAcceptor;
    }
  }
}

auto tcp_proxy::Accept() -> void
{
  auto connection = std::make_shared<proxied_connection>(mContext.Get());
  mAcceptor.async_accept(connection->mOpener, [this, connection](error_code aError) {
    if (aError) {
      return;
    }
    {
      const auto lock = std::lock_guard(mMutex);
      mConnections.push_back(connection);
    }
    auto error = error_code();
    connection->mAcceptor.connect(mTarget, error);
    if (!error) {
      Forward(connection, true);
      Forward(connection, false);
    }
    Accept();
  });
}

auto tcp_proxy::Forward(std::shared_ptr<proxied_connection> aConnection, bool aFromOpener) -> void
{
  auto& from = aFromOpener ? aConnection->mOpener : aConnection->mAcceptor;
  auto& to = aFromOpener ? aConnection->mAcceptor : aConnection->mOpener;
  auto& buffer = aConnection->mBuffers[aFromOpener ? 0 : 1];
  from.async_read_some(boost::asio::buffer(buffer),
                       [connection = std::move(aConnection), &to, &buffer, aFromOpener](
                         error_code aError, std::size_t aCount) {
                         // While traffic is dropped, neither data nor the end of the connection is
                         // forwarded.
                         auto ignored = error_code();
                         if (connection->mIsDropping[aFromOpener ? 0 : 1]) {
                           if (!aError) {
                             Forward(connection, aFromOpener);
                           }
                           return;
                         }
                         if (aError) {
                           to.close(ignored);
                           return;
                         }
                         boost::asio::write(to, boost::asio::buffer(buffer, aCount), ignored);
                         Forward(connection, aFromOpener);
                       });
}

} // namespace bronzering
