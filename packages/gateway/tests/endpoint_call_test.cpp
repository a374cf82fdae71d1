#include "endpoint_call.h"

#include "gateway_harness.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace bronzering;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto kStallTimeout = 20ms;

/// Answers a request with a header and, later, with a body. The thread then stands still, so that
/// the body has arrived and the stall timer has expired when it goes on.
auto AnswerThenFreeze(tcp::acceptor& aAcceptor) -> awaitable<void>
{
  auto socket = co_await aAcceptor.async_accept(boost::asio::use_awaitable);
  const auto head =
    std::string_view("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\n");
  co_await boost::asio::async_write(socket, boost::asio::buffer(head), boost::asio::use_awaitable);
  co_await Pause(5ms);
  boost::asio::write(socket, boost::asio::buffer(std::string_view("whole")));
  std::this_thread::sleep_for(3 * kStallTimeout);
  co_await Pause(5ms);
}

} // namespace

// An entry that woke from a freeze ended with a segmentation fault.
TEST_CASE("a stall timer that expired before the call ended does nothing afterwards",
          "[endpoint_call]")
{
  auto context = boost::asio::io_context(1);
  auto acceptor =
    tcp::acceptor(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  auto connections = endpoint_connection_pool(context);
  auto hasFired = false;
  auto isDone = false;
  const auto test = [&]() -> awaitable<void> {
    auto call = endpoint_call(connections, "e1", "Request-Id", 1);
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const auto isOpen = co_await call.Open(address, 1s, 1s);
    REQUIRE(isOpen);
    auto request = http_request(boost::beast::http::verb::get, "/", 11);
    request.set("Request-Id", "r1");
    const auto hasHead = co_await call.Send(forwarded_request(request.base()));
    REQUIRE(hasHead);
    call.ArmStallTimer(kStallTimeout, [&] { hasFired = true; });
    const auto body = co_await call.ReadSome();
    call.Abort();
    CHECK(body == "whole");
    co_await Pause(5ms);
    isDone = true;
  };
  boost::asio::co_spawn(context, AnswerThenFreeze(acceptor), boost::asio::detached);
  boost::asio::co_spawn(context, test(), [](std::exception_ptr aFailure) {
    if (aFailure) {
      std::rethrow_exception(aFailure);
    }
  });
  context.run_for(10s);
  CHECK(isDone);
  CHECK_FALSE(hasFired);
}
