#include "socket_options.h"

#include <boost/asio/ip/address.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <chrono>

namespace bronzering {

namespace {

/// TCP_USER_TIMEOUT: a connection is closed when data stays unacknowledged for this long.
constexpr auto kUserTimeout = std::chrono::milliseconds(3'000);

enum class peeked
{
  Nothing,
  Bytes,
  End
};

auto Peek(boost::asio::ip::tcp::socket& aSocket) -> peeked
{
  auto byte = char();
  const auto received =
    ::recv(aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return peeked::Bytes;
  }
  const auto isOpen = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return isOpen ? peeked::Nothing : peeked::End;
}

} // namespace

auto ConfigureSocket(boost::asio::ip::tcp::socket& aSocket) -> void
{
  auto ignored = boost::system::error_code();
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  const auto timeout = static_cast<unsigned>(kUserTimeout.count());
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

auto IsOpenAndIdle(boost::asio::ip::tcp::socket& aSocket) -> bool
{
  return Peek(aSocket) == peeked::Nothing;
}

auto IsClosedByPeer(boost::asio::ip::tcp::socket& aSocket) -> bool
{
  return Peek(aSocket) == peeked::End;
}

auto IsHungUp(boost::asio::ip::tcp::socket& aSocket) -> bool
{
  auto asked = pollfd{ aSocket.native_handle(), POLLRDHUP, 0 };
  return ::poll(&asked, 1, 0) > 0 && (asked.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

auto AbortSocket(boost::asio::ip::tcp::socket& aSocket) -> void
{
  auto ignored = boost::system::error_code();
  aSocket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  aSocket.close(ignored);
}

auto ParseEndpoint(std::string_view aText) -> std::optional<boost::asio::ip::tcp::endpoint>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto error = boost::system::error_code();
  const auto address = boost::asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  const auto digits = aText.substr(colon + 1);
  auto port = std::uint16_t{ 0 };
  const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error || status != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace bronzering
