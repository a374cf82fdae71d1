#include "endpoint_connection_pool.h"

#include "socket_options.h"
#include "with_timeout.h"

#include <bronzering/base/boot_clock.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Endpoints may close an idle connection this much earlier than announced.
constexpr auto kIdleMargin = duration(std::chrono::milliseconds(500));
constexpr auto kMaxIdlePerEndpoint = std::size_t{ 24 };

} // namespace

auto MaxPooledConnections(std::uint32_t aAccepted, std::size_t aEntries) -> std::size_t
{
  assert(aEntries > 0);
  return aAccepted == 0 ? kMaxIdlePerEndpoint
                        : std::min(kMaxIdlePerEndpoint, aAccepted / 2 / aEntries);
}

endpoint_connection_pool::endpoint_connection_pool(boost::asio::io_context& aContext)
  : mContext(aContext)
{
}

auto endpoint_connection_pool::Acquire(const std::string& aEndpoint,
                                       const std::string& aAddress,
                                       duration aMaxIdle,
                                       duration aTimeout)
  -> boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>
{
  const auto now = ReadBootClock();
  auto& idle = mIdleConnections[aEndpoint];
  while (!idle.empty()) {
    auto pooled = std::move(idle.back());
    idle.pop_back();
    if (now < pooled.mUsableUntil && now - pooled.mSince <= aMaxIdle &&
        IsOpenAndIdle(pooled.mSocket)) {
      co_return std::move(pooled.mSocket);
    }
  }

  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return std::nullopt;
  }
  auto socket = boost::asio::ip::tcp::socket(mContext);
  auto connected = co_await WithTimeout(
    socket.async_connect(*endpoint, boost::asio::as_tuple(boost::asio::use_awaitable)), aTimeout);
  if (!connected || std::get<0>(*connected)) {
    co_return std::nullopt;
  }
  ConfigureSocket(socket);
  co_return socket;
}

auto endpoint_connection_pool::Release(const std::string& aEndpoint,
                                       boost::asio::ip::tcp::socket aSocket,
                                       duration aIdleLimit,
                                       std::size_t aMaxPooled,
                                       time_point aNow) -> void
{
  auto& idle = mIdleConnections[aEndpoint];
  if (aIdleLimit > kIdleMargin && idle.size() < aMaxPooled) {
    idle.push_back({ std::move(aSocket), aNow, aNow + aIdleLimit - kIdleMargin });
  }
}

auto endpoint_connection_pool::Prune(const std::vector<std::string>& aEndpoints, time_point aNow)
  -> void
{
  std::erase_if(mIdleConnections, [&aEndpoints](const auto& aEntry) {
    return std::find(aEndpoints.begin(), aEndpoints.end(), aEntry.first) == aEndpoints.end();
  });
  for (auto& [endpoint, idle] : mIdleConnections) {
    std::erase_if(idle, [aNow](idle_connection& aPooled) {
      return aNow >= aPooled.mUsableUntil || !IsOpenAndIdle(aPooled.mSocket);
    });
  }
}

} // namespace bronzering
