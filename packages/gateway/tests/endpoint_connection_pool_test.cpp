#include "endpoint_connection_pool.h"

#include <bronzering/base/boot_clock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bronzering;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// An endpoint that accepts connections and sends nothing.
class accepting_endpoint
{
public:
  explicit accepting_endpoint(boost::asio::io_context& aContext)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
  {
  }

  [[nodiscard]] auto Address() const -> std::string
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  tcp::acceptor mAcceptor;
};

/// How many of aCount connections that were returned to the pool are reused.
auto CountReused(int aCount, std::size_t aMaxPooled) -> int
{
  auto context = boost::asio::io_context(1);
  auto endpoint = accepting_endpoint(context);
  auto connections = endpoint_connection_pool(context);
  auto reused = 0;
  boost::asio::co_spawn(
    context,
    [&]() -> boost::asio::awaitable<void> {
      auto ports = std::vector<std::uint16_t>();
      auto open = std::vector<tcp::socket>();
      const auto address = endpoint.Address();
      for (auto index = 0; index < aCount; ++index) {
        auto socket = co_await connections.Acquire("one", address, 10s, 1s);
        REQUIRE(socket);
        ports.push_back(socket->local_endpoint().port());
        open.push_back(std::move(*socket));
      }
      for (auto& socket : open) {
        connections.Release("one", std::move(socket), 10s, aMaxPooled, ReadBootClock());
      }
      open.clear();
      for (auto index = 0; index < aCount; ++index) {
        auto socket = co_await connections.Acquire("one", address, 10s, 1s);
        REQUIRE(socket);
        const auto port = socket->local_endpoint().port();
        reused += std::find(ports.begin(), ports.end(), port) == ports.end() ? 0 : 1;
        open.push_back(std::move(*socket));
      }
    },
    boost::asio::detached);
  context.run();
  return reused;
}

} // namespace

TEST_CASE("connections are pooled up to the endpoint's limit", "[endpoint_connection_pool]")
{
  CHECK(CountReused(4, 8) == 4);
  CHECK(CountReused(4, 1) == 1);
  CHECK(CountReused(4, 0) == 0);
}

TEST_CASE("all entries together pool at most half of the connections that an endpoint accepts",
          "[endpoint_connection_pool]")
{
  CHECK(MaxPooledConnections(110, 5) == 11);
  CHECK(MaxPooledConnections(370, 5) == 24);
  CHECK(MaxPooledConnections(4, 40) == 0);
  CHECK(MaxPooledConnections(0, 5) == 24);
}
