#include "http_call.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace bronzering;
using boost::asio::ip::tcp;

namespace {

struct call_record
{
  std::uint32_t mStatus = 0;
  std::string mBody;
  bool mIsWhole = false;
  std::string mFailure;
};

/// Makes one call to a server that sends the given response and closes the connection.
auto CallFixedAnswer(const std::string& aAnswer) -> call_record
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 });
  const auto endpoint = acceptor.local_endpoint();
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(aAnswer), ignored);
  });

  call_record record;
  boost::asio::io_context traffic;
  connection_pool pool(traffic, 4, std::chrono::seconds(5));
  http_call_events events;
  events.mHead = [&](std::uint32_t aStatus, const std::vector<header_field>&) {
    record.mStatus = aStatus;
  };
  events.mBody = [&](const std::string& aBytes) { record.mBody += aBytes; };
  events.mEnd = [&] { record.mIsWhole = true; };
  events.mFailure = [&](bool, std::string aWhat) { record.mFailure = std::move(aWhat); };
  const http_call_limits limits{
    std::chrono::seconds(10), std::chrono::seconds(10), std::chrono::seconds(10), 1024
  };
  std::make_shared<http_call>(pool, endpoint, limits, events)->Start({ "GET", "/", {}, {} });
  traffic.run();
  server.join();
  return record;
}

} // namespace

TEST_CASE("only a response with an explicit end is complete")
{
  // Guards against treating a truncated response of an endpoint as complete.
  const auto chunks =
    std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
  CHECK(CallFixedAnswer(chunks + "0\r\n\r\n").mIsWhole);
  CHECK(CallFixedAnswer("HTTP/1.1 204 No Content\r\n\r\n").mIsWhole);
  CHECK(CallFixedAnswer("HTTP/1.1 103 Early Hints\r\n\r\n" + chunks + "0\r\n\r\n").mStatus == 200);

  for (const auto& text : { chunks,
                            std::string("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"),
                            std::string("HTTP/1.1 200 OK\r\n\r\nab"),
                            std::string("HTTP/1.1 200 OK\r\nX: ") + std::string(5000, 'x') +
                              "\r\nContent-Length: 0\r\n\r\n",
                            std::string("nonsense\r\n\r\n"),
                            std::string() }) {
    INFO(text);
    const auto record = CallFixedAnswer(text);
    CHECK_FALSE(record.mIsWhole);
    CHECK_FALSE(record.mFailure.empty());
  }
}

// A status of 000 was passed on to the caller, and a folded field as one with a longer value.
TEST_CASE("a response that is not valid HTTP fails the call before its head is passed on")
{
  const auto* head = GENERATE("HTTP/1.1 000 OK\r\n",
                              "HTTP/1.1 099 OK\r\n",
                              "HTTP/1.1 101 Switching\r\n",
                              "HTTP/1.1 600 Odd\r\n",
                              "HTTP/1.1 2000 OK\r\n",
                              "HTTP/1.1 200 OK\r\nX Y: v\r\n",
                              "HTTP/1.1 200 OK\r\nX : v\r\n",
                              "HTTP/1.1 200 OK\r\nX\x01: v\r\n",
                              "HTTP/1.1 200 OK\r\n X: v\r\n",
                              "HTTP/1.1 200 OK\r\nX: v\r\n w\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
                              "HTTP/1.1 103 Early Hints\r\n",
                              "HTTP/1.1 204 No Content\r\n");
  INFO(head);
  const auto body = std::string("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nsmuggled");
  const auto record =
    CallFixedAnswer(head + ("Content-Length: " + std::to_string(body.size())) + "\r\n\r\n" + body);
  CHECK(record.mStatus == 0);
  CHECK(record.mBody.empty());
  CHECK_FALSE(record.mIsWhole);
  CHECK_FALSE(record.mFailure.empty());
}

TEST_CASE("an unusual but valid response is passed on")
{
  for (const auto status : { 200, 299, 304, 418, 599 }) {
    const auto record =
      CallFixedAnswer("HTTP/1.1 " + std::to_string(status) + " \r\nX:\r\nY: \xe9\r\n" +
                      (status == 304 ? "" : "Content-Length: 0\r\n") + "\r\n");
    CHECK(record.mStatus == static_cast<std::uint32_t>(status));
    CHECK(record.mIsWhole);
  }
}
