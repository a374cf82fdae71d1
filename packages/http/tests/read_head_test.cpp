#include <bronzering/http.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/_experimental/test/stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace bronzering;
namespace http = boost::beast::http;
using parser = http::response_parser<http::string_body>;

namespace {

struct head_read
{
  std::optional<boost::system::error_code> mError;
  unsigned mStatus = 0;
  std::string mRest;
};

/// Reads a head from a stream that yields at most aReadBytes at a time and then ends.
auto ReadFrom(const std::string& aText, std::size_t aReadBytes) -> head_read
{
  auto context = boost::asio::io_context();
  auto stream = boost::beast::test::stream(context, aText);
  stream.read_size(aReadBytes);
  stream.close_remote();
  auto input = boost::beast::flat_buffer(1024);
  auto reader = parser();
  reader.header_limit(512);
  auto result = head_read();
  AsyncReadHead(
    stream, input, reader, [&](boost::system::error_code aError) { result.mError = aError; });
  CHECK_FALSE(result.mError);
  context.run();
  result.mStatus = reader.get().result_int();
  result.mRest = std::string(static_cast<const char*>(input.cdata().data()), input.size());
  return result;
}

} // namespace

// A reader that checks only what arrives in one piece misses what is split between two.
TEST_CASE("a head is read whatever pieces it arrives in", "[read_head]")
{
  const auto size = GENERATE(1U, 2U, 3U, 5U, 8U, 17U, 1000U);
  CAPTURE(size);
  const auto whole = ReadFrom("HTTP/1.1 204 No Content\r\nX: a b\r\nY:\r\n\r\n", size);
  CHECK(whole.mError == boost::system::error_code());
  CHECK(whole.mStatus == 204);
  const auto expect = [&](const std::string& aText, http::error aError) {
    INFO(aText);
    CHECK(ReadFrom(aText, size).mError == make_error_code(aError));
  };
  expect("HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", http::error::bad_obs_fold);
  expect("HTTP/1.1 200 OK\r\nX: a\r\n\tY: b\r\nZ: c\r\n\r\n", http::error::bad_obs_fold);
  expect("HTTP/1.1 200 OK\r\nX:\r\n \r\n\r\n", http::error::bad_obs_fold);
  expect("HTTP/1.1 200 OK\r\n X: a\r\n\r\n", http::error::bad_field);
  expect("HTTP/1.1 000 OK\r\n\r\n", http::error::bad_status);
  expect("garbage\r\n\r\n", http::error::bad_version);
  expect("HTTP/1.1 200 OK\r\nX: a\r\n", http::error::partial_message);
  expect("", http::error::end_of_stream);
  expect("HTTP/1.1 200 OK\r\nX: " + std::string(2000, 'a'), http::error::header_limit);
}

TEST_CASE("bytes behind a head stay in the buffer", "[read_head]")
{
  const auto result = ReadFrom("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n a\r\n b", 1000);
  CHECK(result.mError == boost::system::error_code());
  CHECK(result.mRest == " a\r\n b");
}

// A head that has arrived with the one before it must not wait for further bytes.
TEST_CASE("a head that is in the buffer is read without the stream", "[read_head]")
{
  auto context = boost::asio::io_context();
  auto stream = boost::beast::test::stream(
    context, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  auto input = boost::beast::flat_buffer();
  auto statuses = std::vector<unsigned>();
  for (auto head = 0; head < 2; ++head) {
    auto reader = parser();
    AsyncReadHead(stream, input, reader, [&](boost::system::error_code aError) {
      CHECK_FALSE(aError);
      statuses.push_back(reader.get().result_int());
    });
    context.restart();
    context.run();
  }
  CHECK(statuses == std::vector<unsigned>{ 103, 200 });
}
