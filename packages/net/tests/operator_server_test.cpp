#include "net_test_support.h"

#include <bronzering/net/operator_server.h>

#include <catch2/catch.hpp>

#include <future>

using namespace bronzering;

namespace {

/// An operator server with its own control thread.
class operator_fixture
{
public:
  explicit operator_fixture(operator_server_settings aSettings = {})
    : mServer(
        std::move(aSettings),
        mControl.Context(),
        { [this] { return mIsReady.load(); }, [] { return std::string(R"({"requests":[]})"); } },
        mMetrics)
  {
    mMetrics.Counter("bronzering_things_total").Add(3);
    const auto started = boost::leaf::try_handle_all(
      [&]() -> outcome<bool> {
        BOOST_LEAF_CHECK(mServer.Start());
        return true;
      },
      [] { return false; });
    REQUIRE(started);
  }
  ~operator_fixture()
  {
    auto stopped = std::promise<void>();
    boost::asio::post(mControl.Context(), [&] {
      mServer.Stop();
      stopped.set_value();
    });
    stopped.get_future().wait();
  }

  auto Get(const std::string& aPath, const std::string& aMethod = "GET") -> std::string
  {
    auto client = raw_client(mServer.Port());
    client.Send(aMethod + " " + aPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return client.ReadAll();
  }

  std::atomic<bool> mIsReady = true;
  metrics_registry mMetrics;
  control_thread mControl;
  operator_server mServer;
};

/// The result of FetchFromOperator, or the reason of the failure.
auto Fetch(const std::string& aAddress, const std::string& aPath) -> std::string
{
  return boost::leaf::try_handle_all(
    [&]() -> outcome<std::string> {
      return FetchFromOperator(aAddress, aPath, std::chrono::seconds(5));
    },
    [](const io_failure& aFailure) { return "io: " + aFailure.mWhat; },
    [](const malformed_input& aInput) { return "malformed: " + aInput.mWhat; },
    [] { return std::string("other"); });
}

auto Contains(const std::string& aText, const std::string& aPart) -> bool
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against changes to the four paths that the load balancer and the monitoring depend on.
TEST_CASE("operators can read health, readiness, metrics and state", "[operator]")
{
  auto fixture = operator_fixture();
  CHECK(Contains(fixture.Get("/healthz"), "200 OK"));
  CHECK(Contains(fixture.Get("/readyz"), "200 OK"));
  fixture.mIsReady = false;
  CHECK(Contains(fixture.Get("/readyz"), "503 Service Unavailable"));
  CHECK(Contains(fixture.Get("/healthz"), "200 OK"));
  CHECK(Contains(fixture.Get("/metrics"), "bronzering_things_total 3"));
  CHECK(Contains(fixture.Get("/state"), R"({"requests":[]})"));
  CHECK(Contains(fixture.Get("/state"), "application/json"));

  const auto head = fixture.Get("/healthz", "HEAD");
  CHECK(Contains(head, "Content-Length: 3"));
  CHECK(head.ends_with("\r\n\r\n"));
  CHECK(Contains(fixture.Get("/other"), "404 Not Found"));
  CHECK(Contains(fixture.Get("/state", "DELETE"), "405 Method Not Allowed"));
}

TEST_CASE("an operator connection is kept alive for several requests", "[operator]")
{
  auto fixture = operator_fixture();
  auto client = raw_client(fixture.mServer.Port());
  for (auto i = 0; i < 3; ++i) {
    client.Send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(Contains(client.ReadUntil("ok\n"), "200 OK"));
  }
}

// Guards against a process with a blocked control thread that is not replaced, because its health
// check still succeeds.
TEST_CASE("a blocked control thread makes the process unhealthy", "[operator]")
{
  auto settings = operator_server_settings();
  settings.mControlTimeout = std::chrono::milliseconds(20);
  auto fixture = operator_fixture(settings);
  auto release = std::promise<void>();
  boost::asio::post(fixture.mControl.Context(),
                    [released = release.get_future().share()] { released.wait(); });
  CHECK(Contains(fixture.Get("/healthz"), "503 Service Unavailable"));
  CHECK(Contains(fixture.Get("/metrics"), "200 OK"));
  release.set_value();
}

TEST_CASE("FetchFromOperator returns the state or the reason of the failure", "[operator]")
{
  auto fixture = operator_fixture();
  const auto address = "127.0.0.1:" + std::to_string(fixture.mServer.Port());
  CHECK(Fetch(address, "/state") == R"({"requests":[]})");
  CHECK(Contains(Fetch(address, "/nowhere"), "status 404"));
  CHECK(Contains(Fetch("127.0.0.1:1", "/state"), "io: 127.0.0.1:1: "));
  CHECK(Contains(Fetch("nowhere", "/state"), "malformed: "));
}

TEST_CASE("FetchFromOperator reports an answer that is not valid HTTP", "[operator]")
{
  const auto* answer = GENERATE("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
                                "HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 2\r\n\r\n{}",
                                "HTTP/1.1 200 OK\r\nX: v\r\n w\r\nContent-Length: 2\r\n\r\n{}",
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}");
  auto context = boost::asio::io_context();
  auto acceptor = boost::asio::ip::tcp::acceptor(
    context, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  auto server = std::thread([&] {
    auto socket = acceptor.accept();
    auto request = std::string();
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::asio::write(socket, boost::asio::buffer(std::string_view(answer)));
  });
  INFO(answer);
  CHECK(Contains(Fetch(address, "/state"), "io: " + address + ": bad "));
  server.join();
}
