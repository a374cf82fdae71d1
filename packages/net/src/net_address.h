#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace bronzering {

/// Parses "address:port" with a numeric IP address; IPv6 addresses are in brackets. Thread-safe.
[[nodiscard]] auto ParseEndpoint(std::string_view aText)
  -> std::optional<boost::asio::ip::tcp::endpoint>;
[[nodiscard]] auto ParseEndpoint(std::string_view aAddress, std::uint16_t aPort)
  -> std::optional<boost::asio::ip::tcp::endpoint>;

} // namespace bronzering
