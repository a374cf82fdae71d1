#include "peer_test_support.h"

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include <fstream>
#include <iostream>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

auto ProcessorSeconds() -> double
{
  auto usage = rusage();
  ::getrusage(RUSAGE_SELF, &usage);
  const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
  const auto micros = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return static_cast<double>(seconds) + static_cast<double>(micros) / 1e6;
}

auto ResidentKilobytes() -> double
{
  auto pages = std::size_t{ 0 };
  auto file = std::ifstream("/proc/self/statm");
  file >> pages >> pages;
  return static_cast<double>(pages) * 4;
}

auto LinkBytes(test_process& aProcess) -> double
{
  return static_cast<double>(aProcess.Metric("bronzering_link_bytes_sent_total") +
                             aProcess.Metric("bronzering_link_bytes_received_total"));
}

} // namespace

// Measures the figures in docs/protocol.md. Hidden from the default run; start it with
// net_tests "[measure]" -s.
TEST_CASE("cost of a link", "[.][measure]")
{
  auto agent = test_process(
    process_role::Agent, "vm-b", 2, [](auto& aSettings) { aSettings.mListenAddress = "0.0.0.0"; });
  auto entry = test_process(process_role::Entry, "vm-a", 1);
  entry.Network().Open(agent.Address());
  const auto peer = entry.WaitForPeer();
  REQUIRE(agent.WaitForPeer() != peer_id());

  // Busy: sends tickets at full rate, in groups that fit into the resend buffer.
  const auto message = ticket{ { 1, 1 },
                               "lamp-briefs",
                               "organisation",
                               "gold",
                               1000,
                               300,
                               std::vector<prefix_hash>(60),
                               5s,
                               {},
                               {} };
  const auto processorBefore = ProcessorSeconds();
  const auto bytesBefore = LinkBytes(entry);
  const auto begin = std::chrono::steady_clock::now();
  for (auto group = std::size_t{ 1 }; group <= 50; ++group) {
    for (auto i = 0; i < 1000; ++i) {
      entry.Network().Send(peer, message);
    }
    REQUIRE(agent.WaitForCount<peer_received>(group * 1000));
  }
  const auto seconds =
    std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
  std::cout << "busy: " << 50'000 / seconds << " tickets/s, "
            << (LinkBytes(entry) - bytesBefore) / 50'000 << " bytes and "
            << (ProcessorSeconds() - processorBefore) * 1e6 / 50'000
            << " us of processor per ticket, both ends together\n";

  // Memory: every address in 127.0.0.0/8 reaches the same listener, so many links can be opened.
  const auto memoryBefore = ResidentKilobytes();
  const auto port = std::to_string(agent.Network().Port());
  constexpr auto kLinks = 500;
  for (auto i = 0; i < kLinks; ++i) {
    entry.Network().Open("127.0." + std::to_string(1 + i / 250) + "." +
                         std::to_string(1 + i % 250) + ":" + port);
  }
  REQUIRE(entry.WaitForCount<peer_up>(kLinks + 1));
  REQUIRE(agent.WaitForCount<peer_up>(kLinks + 1));
  std::cout << "memory: " << (ResidentKilobytes() - memoryBefore) / kLinks
            << " KB per link, both ends together\n";

  // Idle: after 30 s the heartbeat interval has grown to 10 s.
  std::this_thread::sleep_for(30s);
  const auto idleBytes = LinkBytes(entry);
  const auto idleProcessor = ProcessorSeconds();
  std::this_thread::sleep_for(40s);
  std::cout << "idle: " << (LinkBytes(entry) - idleBytes) / (kLinks + 1) / 40
            << " bytes/s of frames per link, both directions, "
            << (ProcessorSeconds() - idleProcessor) / 40 * 100 << "% of a core for " << kLinks + 1
            << " links, both ends together\n";
}
