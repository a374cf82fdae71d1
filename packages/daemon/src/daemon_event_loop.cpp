#include <bronzering/daemon/daemon_event_loop.h>

#include <bronzering/daemon/process_start.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <vector>

namespace bronzering {

namespace {

// steady_timer, unlike the clock of the node, does not advance while the VM is suspended.
constexpr auto kMaxTimerInterval = duration(std::chrono::seconds(1));

} // namespace

struct daemon_event_loop::state
{
  using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  explicit state(std::size_t aThreads)
    : mTrafficThreads(aThreads)
  {
  }

  auto AwaitSignal() -> void
  {
    mSignals.async_wait([this](boost::system::error_code aError, int) {
      if (aError) {
        return;
      }
      if (mIsStopping) {
        mHandlers.mOnForcedStop();
        std::_Exit(EXIT_FAILURE);
      }
      mIsStopping = true;
      mHandlers.mOnStop();
      AwaitSignal();
    });
  }

  std::size_t mTrafficThreads;
  boost::asio::io_context mControl{ 1 };
  boost::asio::io_context mTraffic;
  work_guard mControlWork{ mControl.get_executor() };
  work_guard mTrafficWork{ mTraffic.get_executor() };
  boost::asio::signal_set mSignals{ mControl, SIGTERM, SIGINT };
  boost::asio::steady_timer mTimer{ mControl };
  handlers mHandlers;
  bool mIsStopping = false;
};

daemon_event_loop::daemon_event_loop(std::size_t aTrafficThreads)
  : mState(std::make_unique<state>(aTrafficThreads))
{
}

daemon_event_loop::~daemon_event_loop() = default;

auto daemon_event_loop::Control() -> boost::asio::io_context&
{
  return mState->mControl;
}

auto daemon_event_loop::Traffic() -> boost::asio::io_context&
{
  return mState->mTraffic;
}

auto daemon_event_loop::SetTimer(std::optional<time_point> aAt) -> void
{
  const auto now = ReadClocks().mMonotonic;
  const auto wait =
    aAt ? std::clamp(*aAt - now, duration::zero(), kMaxTimerInterval) : kMaxTimerInterval;
  mState->mTimer.expires_after(wait);
  mState->mTimer.async_wait([state = mState.get()](boost::system::error_code aError) {
    if (!aError && state->mHandlers.mOnTimer) {
      state->mHandlers.mOnTimer();
    }
  });
}

auto daemon_event_loop::Run(handlers aHandlers) -> void
{
  // Writing to a connection that a peer has closed must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  mState->mHandlers = std::move(aHandlers);
  mState->AwaitSignal();
  auto threads = std::vector<std::thread>();
  for (auto i = std::size_t{ 0 }; i < mState->mTrafficThreads; ++i) {
    threads.emplace_back([state = mState.get()] { state->mTraffic.run(); });
  }
  mState->mControl.run();
  mState->mTraffic.stop();
  for (auto& thread : threads) {
    thread.join();
  }
}

auto daemon_event_loop::Stop() -> void
{
  mState->mControl.stop();
}

} // namespace bronzering
