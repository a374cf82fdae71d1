#include "gateway_harness.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <catch2/catch.hpp>

#include <thread>

using namespace bronzering;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

/// Sends a request on an idle connection while the gateway stands still for aFreeze, and returns
/// the status of its response; 0 if there is none.
auto AskDuring(tcp::socket& aSocket, std::chrono::milliseconds aFreeze) -> awaitable<unsigned>
{
  boost::asio::write(aSocket, boost::asio::buffer(RequestText("/once/x", "Deadline-Ms: 300\r\n")));
  std::this_thread::sleep_for(aFreeze);
  auto buffer = boost::beast::flat_buffer();
  auto response = boost::beast::http::response<boost::beast::http::string_body>();
  const auto [error, count] = co_await boost::beast::http::async_read(
    aSocket, buffer, response, boost::asio::as_tuple(boost::asio::use_awaitable));
  co_return error ? 0U : response.result_int();
}

auto Connect(gateway_fixture& aFixture) -> awaitable<tcp::socket>
{
  auto socket = tcp::socket(aFixture.Context());
  co_await socket.async_connect(
    tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), aFixture.CallerPort()),
    boost::asio::use_awaitable);
  co_return socket;
}

} // namespace

// A busy entry that was being stopped closed connections on which a request had just arrived.
TEST_CASE("a request that has arrived is answered although idle connections are being closed",
          "[idle_connection]")
{
  auto fixture = gateway_fixture("127.0.0.1", {}, {}, 4s);
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  fixture.Publish(TestDocument(), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto socket = co_await Connect(fixture);
    fixture.Gateway().Stop();
    // Idle connections are closed 2.5 s later.
    co_await Pause(2'450ms);
    const auto status = co_await AskDuring(socket, 150ms);
    CHECK(status == 200);
  });
}
