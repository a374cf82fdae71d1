#pragma once

#include <bronzering/base/errors.h>

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace bronzering {

/// Sets TCP_NODELAY, and TCP_USER_TIMEOUT so that the kernel closes a connection whose peer no
/// longer acknowledges data.
auto ConfigureSocket(boost::asio::ip::tcp::socket& aSocket) -> void;

/// Whether the other side has closed or reset the connection, as far as it has nothing unread
/// before that. Asks the operating system, so it holds also while the event loop is late.
[[nodiscard]] auto IsClosedByPeer(boost::asio::ip::tcp::socket& aSocket) -> bool;

/// Whether the other side has closed or reset the connection, also behind bytes that are unread.
[[nodiscard]] auto IsHungUp(boost::asio::ip::tcp::socket& aSocket) -> bool;

/// Whether an idle connection is still open and has nothing to read.
[[nodiscard]] auto IsOpenAndIdle(boost::asio::ip::tcp::socket& aSocket) -> bool;

/// Closes the connection with a TCP reset, so that the other side stops at once. Ignores errors.
auto AbortSocket(boost::asio::ip::tcp::socket& aSocket) -> void;

/// Parses a numeric "address:port"; empty when malformed.
[[nodiscard]] auto ParseEndpoint(std::string_view aText)
  -> std::optional<boost::asio::ip::tcp::endpoint>;

} // namespace bronzering
