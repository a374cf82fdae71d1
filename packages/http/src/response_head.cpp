#include <bronzering/http/response_head.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
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

/// Checks that a reader which ignores a field, or reads it otherwise, finds the same end of the
/// body.
auto CheckFraming(const response_head& aHead) -> boost::system::error_code
{
  const auto encodings = aHead.count(http::field::transfer_encoding);
  const auto hasLength = aHead.count(http::field::content_length) > 0;
  const auto hasNoBody = IsInterim(aHead) || aHead.result() == http::status::no_content;
  if (hasNoBody && hasLength && aHead[http::field::content_length] != "0") {
    return http::error::bad_content_length;
  }
  if (encodings == 0) {
    return {};
  }
  // No request allows another transfer coding, and HTTP/1.0 has none.
  const auto isChunked =
    encodings == 1 && boost::beast::iequals(aHead[http::field::transfer_encoding], "chunked");
  const auto isAllowed = !hasNoBody && !hasLength && aHead.version() >= 11;
  return isChunked && isAllowed ? boost::system::error_code() : http::error::bad_transfer_encoding;
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
  return CheckFraming(aHead);
}

} // namespace bronzering
