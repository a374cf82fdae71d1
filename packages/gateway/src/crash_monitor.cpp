#include "crash_monitor.h"

#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>
#include <bronzering/base/hash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

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
                             prompt_quarantine& aQuarantine,
                             event_log& aLog,
                             metrics_registry& aMetrics)
  : mContext(aContext)
  , mQuarantine(aQuarantine)
  , mLog(aLog)
  , mMetrics(aMetrics)
{
}

auto crash_monitor::OnBrokenAttempt(const endpoint_table::choice& aEndpoint,
                                    std::vector<prompt_part_key> aParts) -> void
{
  const auto crash = HashEndpointIncarnation(aEndpoint.mId, aEndpoint.mIncarnation);
  const auto [broken, isFirst] = mBrokenAttempts.try_emplace(crash);
  broken->second.push_back(std::move(aParts));
  if (isFirst) {
    boost::asio::co_spawn(mContext, Check(aEndpoint, crash), boost::asio::detached);
  }
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
  const auto attempts = std::move(mBrokenAttempts.extract(aCrash).mapped());
  const auto now = ReadBootClock();
  mLog.Write(log_priority::Notable,
             isRefused ? "endpoint_crashed" : "endpoint_broke_off",
             { { "endpoint", aEndpoint.mId },
               { "address", aEndpoint.mAddress },
               { "unanswered", attempts.size() } },
             now);
  if (!isRefused) {
    co_return;
  }
  mMetrics.Counter("bronzering_endpoint_crashes_total").Add();
  for (const auto& parts : attempts) {
    mQuarantine.OnCrash(aCrash, parts, now);
  }
}

} // namespace bronzering
