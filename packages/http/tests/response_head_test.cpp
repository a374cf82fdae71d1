#include <bronzering/http.h>

#include <boost/beast/http/error.hpp>

#include <catch2/catch.hpp>

using namespace bronzering;
namespace http = boost::beast::http;

namespace {

auto HeadWith(unsigned aStatus) -> response_head
{
  auto head = response_head();
  head.version(11);
  head.result(aStatus);
  return head;
}

} // namespace

// A status of 000 was taken for an interim one, so that the body was read as the next head.
TEST_CASE("a status is interim, final or broken", "[response_head]")
{
  for (auto status = 0U; status <= 999; ++status) {
    INFO(status);
    const auto head = HeadWith(status);
    const auto isValid = status >= 100 && status < 600 && status != 101;
    CHECK(CheckHead(head) ==
          (isValid ? boost::system::error_code() : make_error_code(http::error::bad_status)));
    if (isValid) {
      CHECK(IsInterim(head) == (status < 200));
    }
  }
}
