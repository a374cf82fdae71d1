#include "endpoint_connections.h"

#include "socket_options.h"
#include "within.h"

#include <bronzering/base/boot_clock.h>

#include <algorithm>
#include <cassert>

namespace bronzering {

namespace {

/// Endpoints may close an idle connection this much earlier than announced.
constexpr auto kIdleMargin = duration(std::chrono::milliseconds(500));
constexpr auto kMaxIdlePerEndpoint = std::size_t{ 24 };

} // namespace

auto KeptConnections(std::uint32_t aAccepted, std::size_t aEntries) -> std::size_t
{
  assert(aEntries > 0);
  return aAccepted == 0 ? kMaxIdlePerEndpoint
                        : std::min(kMaxIdlePerEndpoint, aAccepted / 2 / aEntries);
}

endpoint_connections::endpoint_connections(boost::asio::io_context& aContext)
  : mContext(aContext)
{
}

auto endpoint_connections::Take(const std::string& aEndpoint,
                                const std::string& aAddress,
                                duration aMaxIdle,
                                duration aTimeout)
  -> boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>
{
  const auto now = ReadBootClock();
  auto& idle = mIdle[aEndpoint];
  while (!idle.empty()) {
    auto kept = std::move(idle.back());
    idle.pop_back();
    if (now < kept.mUsableUntil && now - kept.mSince <= aMaxIdle && IsQuiet(kept.mSocket)) {
      co_return std::move(kept.mSocket);
    }
  }

  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return std::nullopt;
  }
  auto socket = boost::asio::ip::tcp::socket(mContext);
  auto connected = co_await Within(
    socket.async_connect(*endpoint, boost::asio::as_tuple(boost::asio::use_awaitable)), aTimeout);
  if (!connected || std::get<0>(*connected)) {
    co_return std::nullopt;
  }
  ConfigureSocket(socket);
  co_return socket;
}

auto endpoint_connections::Give(const std::string& aEndpoint,
                                boost::asio::ip::tcp::socket aSocket,
                                duration aIdleLimit,
                                std::size_t aMaxKept,
                                time_point aNow) -> void
{
  auto& idle = mIdle[aEndpoint];
  if (aIdleLimit > kIdleMargin && idle.size() < aMaxKept) {
    idle.push_back({ std::move(aSocket), aNow, aNow + aIdleLimit - kIdleMargin });
  }
}

auto endpoint_connections::Prune(const std::vector<std::string>& aEndpoints, time_point aNow)
  -> void
{
  std::erase_if(mIdle, [&aEndpoints](const auto& aEntry) {
    return std::find(aEndpoints.begin(), aEndpoints.end(), aEntry.first) == aEndpoints.end();
  });
  for (auto& [endpoint, idle] : mIdle) {
    std::erase_if(idle, [aNow](idle_connection& aKept) {
      return aNow >= aKept.mUsableUntil || !IsQuiet(aKept.mSocket);
    });
  }
}

} // namespace bronzering
