#include "net_address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace bronzering {

auto ParseEndpoint(std::string_view aText) -> std::optional<boost::asio::ip::tcp::endpoint>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  auto port = std::uint16_t{ 0 };
  const auto digits = aText.substr(colon + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  auto address = aText.substr(0, colon);
  if (address.size() >= 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  return ParseEndpoint(address, port);
}

auto ParseEndpoint(std::string_view aAddress, std::uint16_t aPort)
  -> std::optional<boost::asio::ip::tcp::endpoint>
{
  auto error = boost::system::error_code();
  const auto address = boost::asio::ip::make_address(std::string(aAddress), error);
  if (error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, aPort);
}

} // namespace bronzering
