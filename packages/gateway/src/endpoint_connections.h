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

/// Connections to endpoints, kept open between requests. Control thread only.
class endpoint_connections
{
public:
  explicit endpoint_connections(boost::asio::io_context& aContext);

  /// A kept connection that may stay idle no longer than aMaxIdle, or a new one; empty when the
  /// endpoint could not be reached within aTimeout.
  auto Take(const std::string& aEndpoint,
            const std::string& aAddress,
            duration aMaxIdle,
            duration aTimeout)
    -> boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>>;
  /// Keeps a connection whose answer was read to its end. aIdleLimit is how long the endpoint keeps
  /// it open, aMaxKept how many connections to it may be idle here.
  auto Give(const std::string& aEndpoint,
            boost::asio::ip::tcp::socket aSocket,
            duration aIdleLimit,
            std::size_t aMaxKept,
            time_point aNow) -> void;
  /// Closes kept connections that are too old and those of endpoints that are not in aEndpoints.
  auto Prune(const std::vector<std::string>& aEndpoints, time_point aNow) -> void;

private:
  struct idle_connection
  {
    boost::asio::ip::tcp::socket mSocket;
    time_point mSince;
    time_point mUsableUntil;
  };

  boost::asio::io_context& mContext;
  std::map<std::string, std::vector<idle_connection>, std::less<>> mIdle;
};

/// Idle connections to an endpoint that one of aEntries may keep. Together they keep half of what
/// the endpoint accepts at most, since idle ones would make it reset those that carry requests; 0
/// accepted connections stand for no bound.
[[nodiscard]] auto KeptConnections(std::uint32_t aAccepted, std::size_t aEntries) -> std::size_t;

} // namespace bronzering
