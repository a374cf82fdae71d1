#pragma once

#include <bronzering/base/errors.h>

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace bronzering {

/// Parses "address:port" with a numeric IP address; IPv6 addresses are in brackets. Fails with
/// malformed_input. Thread-safe.
[[nodiscard]] auto ParseTcpAddress(const std::string& aText)
  -> outcome<boost::asio::ip::tcp::endpoint>;

} // namespace bronzering
