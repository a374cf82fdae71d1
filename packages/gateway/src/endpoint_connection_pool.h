#pragma once

#include <bronzering/base/time.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// A pool of keep-alive connections to endpoints. Control thread only.
class endpoint_connection_pool
{
public:
  explicit endpoint_connection_pool(boost::asio::io_context& aContext);

  /// Returns a pooled connection that has been idle for at most aMaxIdle, or else a new one. Empty
  /// when no connection could be established within aTimeout.
  auto Acquire(const std::string& aEndpoint,
               const std::string& aAddress,
               duration aMaxIdle,
               duration aTimeout)
    -> boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>;
  /// Returns a connection to the pool after its response was read completely. aIdleLimit is the
  /// time for which the endpoint keeps an idle connection open, aMaxPooled the maximum number of
  /// pooled connections to the endpoint.
  auto Release(const std::string& aEndpoint,
               boost::asio::ip::tcp::socket aSocket,
               duration aIdleLimit,
               std::size_t aMaxPooled,
               time_point aNow) -> void;
  /// Closes expired connections, and those to endpoints that are not in aEndpoints.
  auto Prune(const std::vector<std::string>& aEndpoints, time_point aNow) -> void;

private:
  struct idle_connection
  {
    boost::asio::ip::tcp::socket mSocket;
    time_point mSince;
    time_point mUsableUntil;
  };

  boost::asio::io_context& mContext;
  std::map<std::string, std::vector<idle_connection>, std::less<>> mIdleConnections;
};

/// The number of idle connections to one endpoint that each of aEntries entries may pool. All
/// entries together use at most half of the connections that the endpoint accepts, because an
/// endpoint at its limit resets connections that carry requests. An aAccepted of 0 means that the
/// endpoint has no limit.
[[nodiscard]] auto MaxPooledConnections(std::uint32_t aAccepted, std::size_t aEntries)
  -> std::size_t;

} // namespace bronzering
