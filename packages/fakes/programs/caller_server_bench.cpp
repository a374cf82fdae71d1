#include <bronzering/base/metrics.h>
#include <bronzering/fakes/fake_http_client.h>
#include <bronzering/net/caller_server.h>

#include <CLI/CLI.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>

using namespace bronzering;

namespace {

auto ResidentBytes() -> std::size_t
{
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Opens a plain socket, which allocates no memory in this process that would be measured.
auto OpenSocket(std::uint16_t aPort) -> int
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    std::perror("connect");
    std::exit(1);
  }
  return descriptor;
}

auto MeasureIdleConnections(caller_server& aServer, gauge& aConnections, std::int64_t aCount)
  -> void
{
  std::vector<int> sockets;
  sockets.reserve(static_cast<std::size_t>(aCount));
  const auto before = ResidentBytes();
  const auto initialConnections = aConnections.Value();
  while (static_cast<std::int64_t>(sockets.size()) < aCount) {
    sockets.push_back(OpenSocket(aServer.Port()));
  }
  while (aConnections.Value() < initialConnections + aCount) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const auto residentGrowth = ResidentBytes() - before;
  std::printf("idle connections: %lld, resident bytes each: %.0f\n",
              static_cast<long long>(aCount),
              static_cast<double>(residentGrowth) / static_cast<double>(aCount));
  for (const auto descriptor : sockets) {
    ::close(descriptor);
  }
}

/// Measures closed-loop clients: each waits for its response before it sends the next request.
auto MeasureRequests(caller_server& aServer, int aClients, double aSeconds) -> void
{
  std::atomic<std::uint64_t> count = 0;
  std::vector<double> latencies;
  std::vector<std::thread> threads;
  const auto start = std::chrono::steady_clock::now();
  const auto end = start + std::chrono::duration<double>(aSeconds);
  for (int i = 0; i < aClients; ++i) {
    threads.emplace_back([&, isFirst = i == 0] {
      fake_http_client client(aServer.Port());
      auto now = std::chrono::steady_clock::now();
      while (now < end) {
        const auto response =
          client.Call("GET", "/stock/lamp", { { "Authorization", "Bearer t" } });
        if (response.mStatus != 200) {
          std::exit(1);
        }
        const auto then = std::exchange(now, std::chrono::steady_clock::now());
        if (isFirst) {
          latencies.push_back(std::chrono::duration<double>(now - then).count());
        }
        ++count;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::sort(latencies.begin(), latencies.end());
  std::printf("clients: %d, requests a second: %.0f, median of one client: %.0f us\n",
              aClients,
              static_cast<double>(count) / aSeconds,
              latencies[latencies.size() / 2] * 1e6);
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  std::int64_t connections = 10'000;
  int clients = 4;
  double seconds = 3;
  CLI::App app{ "Measures a caller_server with one traffic thread and immediate responses" };
  app.add_option("--connections", connections, "Idle connections to open");
  app.add_option("--clients", clients, "Number of clients that send requests concurrently");
  app.add_option("--seconds", seconds, "Duration of each measurement in seconds");
  CLI11_PARSE(app, aCount, aArguments);

  // Both ends of each connection are in this process, so it needs two descriptors for each.
  rlimit limit = {};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  connections = std::min(connections, static_cast<std::int64_t>(limit.rlim_cur) / 2 - 100);

  boost::asio::io_context control;
  auto work = boost::asio::make_work_guard(control);
  metrics_registry metrics;
  caller_server_settings settings;
  settings.mMaxConnections = static_cast<std::size_t>(connections) + 100;
  std::unique_ptr<caller_server> server;
  caller_events events;
  events.mRequest = [&](const caller_request& aRequest) {
    server->Apply(start_answer{ aRequest.mExchange, 200, { { "Content-Length", "2" } } });
    server->Apply(continue_answer{ aRequest.mExchange, "{}" });
    server->Apply(finish_answer{ aRequest.mExchange });
  };
  events.mProgress = [](exchange_id, std::uint64_t) {};
  events.mGone = [](exchange_id) {};
  server = std::make_unique<caller_server>(settings, control, events, metrics);
  boost::leaf::try_handle_all([&]() -> outcome<void> { return server->Start(); },
                              [] { std::exit(1); });
  std::thread thread([&] { control.run(); });

  MeasureIdleConnections(*server, metrics.Gauge("bronzering_caller_connections"), connections);
  MeasureRequests(*server, 1, seconds);
  MeasureRequests(*server, clients, seconds);

  control.stop();
  thread.join();
  server->Stop();
  return 0;
}
