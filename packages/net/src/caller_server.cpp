#include <bronzering/net/caller_server.h>

#include "caller_worker.h"
#include "tcp_address.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace bronzering {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Delay after a failed accept, which is usually caused by a lack of file descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr int kListenBacklog = 4096;

} // namespace

struct caller_server::state
{
  state(caller_server_settings aSettings,
        boost::asio::io_context& aControl,
        caller_events aEvents,
        metrics_registry& aMetrics)
    : mShared(std::move(aSettings), aControl, std::move(aEvents), aMetrics)
  {
    for (std::size_t i = 0; i < std::max<std::size_t>(1, mShared.mSettings.mThreads); ++i) {
      mWorkers.push_back(std::make_unique<caller_worker>(mShared, i));
    }
    mAcceptor = std::make_unique<tcp::acceptor>(mWorkers.front()->Context());
    mAcceptRetryTimer = std::make_unique<boost::asio::steady_timer>(mWorkers.front()->Context());
  }

  auto Listen() -> outcome<void>;
  auto Accept() -> void;
  auto OnAccepted(error_code aError, tcp::socket aSocket, caller_worker& aWorker) -> void;

  caller_shared_state mShared;
  std::vector<std::unique_ptr<caller_worker>> mWorkers;
  std::unique_ptr<tcp::acceptor> mAcceptor;
  std::unique_ptr<boost::asio::steady_timer> mAcceptRetryTimer;
  std::size_t mNextWorker = 0;
  std::uint16_t mPort = 0;
  bool mIsStopped = false;
};

auto caller_server::state::Listen() -> outcome<void>
{
  BOOST_LEAF_AUTO(endpoint, ParseTcpAddress(mShared.mSettings.mListen));
  error_code error;
  const auto fail = [&](const char* aStep) {
    return boost::leaf::new_error(io_failure{ std::string(aStep) + " " + mShared.mSettings.mListen +
                                              " failed: " + error.message() });
  };
  if (mAcceptor->open(endpoint.protocol(), error)) {
    return fail("opening a socket for");
  }
  if (mAcceptor->set_option(tcp::acceptor::reuse_address(true), error) ||
      mAcceptor->bind(endpoint, error)) {
    return fail("binding to");
  }
  if (mAcceptor->listen(kListenBacklog, error)) {
    return fail("listening on");
  }
  mPort = mAcceptor->local_endpoint(error).port();
  return {};
}

auto caller_server::state::Accept() -> void
{
  auto& worker = *mWorkers[mNextWorker++ % mWorkers.size()];
  mAcceptor->async_accept(worker.Context(),
                          [this, &worker](const error_code& aError, tcp::socket aSocket) {
                            OnAccepted(aError, std::move(aSocket), worker);
                          });
}

auto caller_server::state::OnAccepted(error_code aError,
                                      tcp::socket aSocket,
                                      caller_worker& aWorker) -> void
{
  if (!mAcceptor->is_open()) {
    return;
  }
  if (aError) {
    mAcceptRetryTimer->expires_after(kAcceptRetryDelay);
    mAcceptRetryTimer->async_wait([this](const error_code& aWaitError) {
      if (!aWaitError && mAcceptor->is_open()) {
        Accept();
      }
    });
    return;
  }

  if (mShared.mConnections.fetch_add(1) >= mShared.mSettings.mMaxConnections) {
    mShared.mConnections.fetch_sub(1);
    mShared.mRejectedCounter.Add();
    error_code ignored;
    aSocket.close(ignored);
  } else {
    boost::asio::post(aWorker.Context(), [&aWorker, socket = std::move(aSocket)]() mutable {
      aWorker.Add(std::move(socket));
    });
  }
  Accept();
}

caller_server::caller_server(caller_server_settings aSettings,
                             boost::asio::io_context& aControl,
                             caller_events aEvents,
                             metrics_registry& aMetrics)
  : mState(std::make_unique<state>(std::move(aSettings), aControl, std::move(aEvents), aMetrics))
{
}

caller_server::~caller_server()
{
  Stop();
}

auto caller_server::Start() -> outcome<void>
{
  BOOST_LEAF_CHECK(mState->Listen());
  mState->Accept();
  for (const auto& worker : mState->mWorkers) {
    worker->Run();
  }
  return {};
}

auto caller_server::Port() const -> std::uint16_t
{
  return mState->mPort;
}

auto caller_server::SetConfiguration(std::shared_ptr<const fleet_config> aConfig) -> void
{
  mState->mShared.SetConfig(std::move(aConfig));
}

auto caller_server::Apply(caller_action aAction) -> void
{
  const auto exchange = std::visit([](const auto& aItem) { return aItem.mExchange; }, aAction);
  const auto index = caller_worker::IndexOf(exchange);
  if (index < mState->mWorkers.size()) {
    mState->mWorkers[index]->Apply(std::move(aAction));
  }
}

auto caller_server::StopAccepting() -> void
{
  boost::asio::post(mState->mWorkers.front()->Context(), [state = mState.get()] {
    error_code ignored;
    state->mAcceptor->close(ignored);
    state->mAcceptRetryTimer->cancel();
    // Posted from here, so that connections that were already accepted are added first.
    for (const auto& worker : state->mWorkers) {
      worker->BeginDrain();
    }
  });
}

auto caller_server::OpenExchanges() const -> std::size_t
{
  return mState->mShared.mExchanges.load();
}

auto caller_server::Stop() -> void
{
  if (std::exchange(mState->mIsStopped, true)) {
    return;
  }
  mState->mShared.mEvents.Close();
  for (const auto& worker : mState->mWorkers) {
    worker->Stop();
  }
  error_code ignored;
  mState->mAcceptor->close(ignored);
}

} // namespace bronzering
