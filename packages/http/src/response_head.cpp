#include <bronzering/http/response_head.h>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace bronzering {

namespace http = boost::beast::http;

namespace {

auto IsValidStatus(unsigned aStatus) -> bool
{
  // No request asks for another protocol.
  const auto isUpgrade = aStatus == static_cast<unsigned>(http::status::switching_protocols);
  return aStatus >= 100 && aStatus < 600 && !isUpgrade;
}

} // namespace

auto IsInterim(const response_head& aHead) -> bool
{
  return aHead.result_int() < 200;
}

auto CheckHead(const response_head& aHead) -> boost::system::error_code
{
  if (!IsValidStatus(aHead.result_int())) {
    return http::error::bad_status;
  }
  return {};
}

} // namespace bronzering
