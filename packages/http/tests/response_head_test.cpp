#include <bronzering/http.h>

#include <boost/beast/http/error.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

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

// A coding that is ignored, or a body where the status allows none, ends elsewhere for other
// readers.
TEST_CASE("fields that contradict each other about the body are broken", "[response_head]")
{
  const auto check = [](unsigned aStatus,
                        std::vector<std::pair<http::field, std::string>> aFields,
                        boost::system::error_code aError,
                        unsigned aVersion = 11) {
    auto head = HeadWith(aStatus);
    head.version(aVersion);
    for (const auto& [name, value] : aFields) {
      INFO(value);
      head.insert(name, value);
    }
    CAPTURE(aStatus, aVersion);
    CHECK(CheckHead(head) == aError);
  };
  constexpr auto kLength = http::field::content_length;
  constexpr auto kCoding = http::field::transfer_encoding;
  const auto badCoding = make_error_code(http::error::bad_transfer_encoding);
  const auto badLength = make_error_code(http::error::bad_content_length);
  check(200, {}, {});
  check(200, { { kLength, "5" } }, {});
  check(200, { { kLength, "5" }, { kLength, "5" } }, {});
  check(200, { { kCoding, "chunked" } }, {});
  check(200, { { kCoding, "Chunked" } }, {});
  check(304, { { kLength, "5" } }, {});
  check(204, { { kLength, "0" } }, {});
  check(200, { { kLength, "5" } }, {}, 10);
  check(200, { { kCoding, "chunked" }, { kLength, "5" } }, badCoding);
  check(200, { { kCoding, "chunked" }, { kCoding, "chunked" } }, badCoding);
  check(200, { { kCoding, "gzip, chunked" } }, badCoding);
  check(200, { { kCoding, "identity" } }, badCoding);
  check(200, { { kCoding, "" } }, badCoding);
  check(200, { { kCoding, "chunked" } }, badCoding, 10);
  for (const auto status : { 100U, 103U, 204U }) {
    check(status, {}, {});
    check(status, { { kLength, "5" } }, badLength);
    check(status, { { kCoding, "chunked" } }, badCoding);
  }
}
