#include "crash_monitor.h"

#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>
#include <bronzering/base/hash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <utility>

namespace bronzering {

namespace {

constexpr auto kConnectTimeout = duration(std::chrono::milliseconds(300));

} // namespace

auto TrialDelay(std::string_view aAddress) -> double
{
  constexpr auto kSteps = 256U;
  constexpr auto kMaxDelay = 0.25;
  return kMaxDelay * static_cast<double>(HashText(aAddress) % kSteps) / kSteps;
}

crash_monitor::crash_monitor(boost::asio::io_context& aContext,
                             crash_quarantine& aQuarantine,
                             event_log& aLog,
                             metrics_registry& aMetrics)
  : mContext(aContext)
  , mQuarantine(aQuarantine)
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

auto crash_monitor::OnBrokenAttempt(const endpoint_table::choice& aEndpoint,
                                    std::vector<suspect_key> aKeys,
                                    bool aWasAnswering) -> void
{
  const auto crash = HashEndpointIncarnation(aEndpoint.mId, aEndpoint.mIncarnation);
  const auto [check, isFirst] = mChecks.try_emplace(crash);
  check->second.mAttempts.push_back({ std::move(aKeys), aWasAnswering });
  if (isFirst) {
    check->second.mEnd = std::make_shared<boost::asio::steady_timer>(
      mContext, boost::asio::steady_timer::time_point::max());
    boost::asio::co_spawn(mContext, Check(aEndpoint, crash), boost::asio::detached);
  }
}

auto crash_monitor::AwaitCheck(const endpoint_table::choice& aEndpoint)
  -> boost::asio::awaitable<void>
{
  const auto check = mChecks.find(HashEndpointIncarnation(aEndpoint.mId, aEndpoint.mIncarnation));
  if (check == mChecks.end()) {
    co_return;
  }
  const auto end = check->second.mEnd;
  co_await WithTimeout(end->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable)),
                       kMaxCheckWait);
}

auto crash_monitor::Check(endpoint_table::choice aEndpoint, crash_id aCrash)
  -> boost::asio::awaitable<void>
{
  auto isRefused = false;
  if (const auto address = ParseEndpoint(aEndpoint.mAddress)) {
    auto socket = boost::asio::ip::tcp::socket(mContext);
    const auto connected = co_await WithTimeout(
      socket.async_connect(*address, boost::asio::as_tuple(boost::asio::use_awaitable)),
      kConnectTimeout);
    isRefused = connected && std::get<0>(*connected) == boost::asio::error::connection_refused;
  }
  const auto check = std::move(mChecks.extract(aCrash).mapped());
  const auto& attempts = check.mAttempts;
  const auto unanswered = std::count_if(
    attempts.begin(), attempts.end(), [](const auto& aAttempt) { return !aAttempt.mWasAnswering; });
  const auto now = ReadBootClock();
  mLog.Write(log_priority::Notable,
             isRefused ? "endpoint_crashed" : "endpoint_broke_off",
             { { "endpoint", aEndpoint.mId },
               { "address", aEndpoint.mAddress },
               { "broken_off", attempts.size() },
               { "unanswered", unanswered } },
             now);
  if (isRefused) {
    mMetrics.Counter("bronzering_endpoint_crashes_total").Add();
    for (const auto& attempt : attempts) {
      mQuarantine.OnCrash(aCrash, attempt.mKeys, now);
    }
  }
  check.mEnd->cancel();
}

} // namespace bronzering
