#include "tcp_address.h"

#include <charconv>

namespace bronzering {

using boost::asio::ip::tcp;

auto ParseTcpAddress(const std::string& aText) -> outcome<tcp::endpoint>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return boost::leaf::new_error(malformed_input{ "missing port in address '" + aText + "'" });
  }
  auto host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  std::uint16_t port = 0;
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
    return boost::leaf::new_error(
      malformed_input{ "not a numeric IP address and port: '" + aText + "'" });
  }
  return tcp::endpoint(address, port);
}

} // namespace bronzering
