#pragma once

#include <bronzering/base/errors.h>

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace bronzering {

/// Sends small messages at once, and lets the kernel end a connection whose other side no longer
/// acknowledges anything.
auto ConfigureSocket(boost::asio::ip::tcp::socket& aSocket) -> void;

/// Whether an idle connection is still open and has nothing to read.
[[nodiscard]] auto IsQuiet(boost::asio::ip::tcp::socket& aSocket) -> bool;

/// Closes with a reset, so that the other side stops at once. Ignores failures.
auto AbortSocket(boost::asio::ip::tcp::socket& aSocket) -> void;

/// Parses a numeric "address:port"; empty when malformed.
[[nodiscard]] auto ParseEndpoint(std::string_view aText)
  -> std::optional<boost::asio::ip::tcp::endpoint>;

} // namespace bronzering
