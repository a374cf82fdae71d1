#include "peer_test_support.h"

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

auto MessagesOf(const std::vector<peer_event>& aEvents) -> std::vector<peer_message>
{
  auto messages = std::vector<peer_message>();
  for (const auto& event : aEvents) {
    if (const auto* received = std::get_if<peer_received>(&event)) {
      messages.push_back(received->mMessage);
    }
  }
  return messages;
}

auto MakeWithdraw(std::uint64_t aSequence) -> withdraw
{
  return { { 1, aSequence } };
}

} // namespace

TEST_CASE("two peers open a session and exchange messages in order", "[peer]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2);
  auto entry = test_process(process_role::Entry, "vm-a", 1);
  entry.Network().Open(agent.Address());
  entry.Network().Open(agent.Address());

  const auto atEntry = entry.WaitForPeer();
  const auto atAgent = agent.WaitForPeer();
  REQUIRE(atEntry != peer_id());
  REQUIRE(atAgent != peer_id());
  const auto up = std::get<peer_up>(entry.Events().front());
  CHECK(up.mListed == agent.Address());
  CHECK(up.mIdentity.mVm == "vm-b");
  CHECK(std::get<peer_up>(agent.Events().front()).mListed.empty());

  for (auto i = std::uint64_t{ 0 }; i < 1000; ++i) {
    entry.Network().Send(atEntry, MakeWithdraw(i));
  }
  agent.Network().Send(atAgent, lease_grant{ "budget", 2.5, 2s });
  REQUIRE(agent.WaitForCount<peer_received>(1000));
  REQUIRE(entry.WaitForCount<peer_received>(1));
  auto next = std::uint64_t{ 0 };
  for (const auto& message : MessagesOf(agent.Events())) {
    REQUIRE(message == peer_message(MakeWithdraw(next++)));
  }
  CHECK(MessagesOf(entry.Events())[0] == peer_message(lease_grant{ "budget", 2.5, 2s }));
}

// Guards against a session that stays open after Close, and against Stop dropping the last part of
// an answer.
TEST_CASE("Close and Stop end sessions after delivering their messages", "[peer]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2);
  auto entry = test_process(process_role::Entry, "vm-a", 1);
  entry.Network().Open(agent.Address());
  REQUIRE(entry.WaitForPeer() != peer_id());
  const auto atAgent = agent.WaitForPeer();
  entry.Network().Close(agent.Address());
  REQUIRE(entry.WaitForCount<peer_down>(1));
  REQUIRE(agent.WaitForCount<peer_down>(1));
  agent.Network().Send(atAgent, MakeWithdraw(1));

  entry.Network().Open(agent.Address());
  const auto again = agent.WaitForPeer(1);
  REQUIRE(again != atAgent);
  agent.Network().Send(again, answer_data{ { 1, 1 }, 0, std::string(3'000'000, 'x'), 1 });
  agent.Network().Send(again,
                       answer_end{ { 1, 1 }, answer_outcome::Completed, 3'000'000, 0, 0, 0 });
  auto done = std::atomic<bool>(false);
  agent.Network().Stop(10s, [&] { done = true; });
  REQUIRE(entry.WaitForCount<peer_down>(2));
  const auto messages = MessagesOf(entry.Events());
  REQUIRE_FALSE(messages.empty());
  CHECK(std::holds_alternative<answer_end>(messages.back()));
  auto offset = std::uint64_t{ 0 };
  for (const auto& message : messages) {
    if (const auto* data = std::get_if<answer_data>(&message)) {
      REQUIRE(data->mOffset == offset);
      offset += data->mBytes.size();
    }
  }
  CHECK(offset == 3'000'000);
}

// Guards against resuming the session of a process that has been replaced at the same address.
TEST_CASE("a restarted process gets a new session", "[peer]")
{
  auto entry = test_process(process_role::Entry, "vm-a", 1);
  auto port = std::uint16_t{ 0 };
  {
    auto first = test_process(process_role::Agent, "vm-b", 2);
    port = first.Network().Port();
    entry.Network().Open(first.Address());
    REQUIRE(entry.WaitForPeer() != peer_id());
  }
  auto second = test_process(
    process_role::Agent, "vm-b", 3, [&](auto& aSettings) { aSettings.mListenPort = port; });
  REQUIRE(entry.WaitForPeer(1) != peer_id());
  REQUIRE(entry.WaitForCount<peer_down>(1));
}

// Guards against an agent that keeps the session of an entry process which has been restarted.
TEST_CASE("a newer incarnation ends the older session that has no connection", "[peer]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 5);
  {
    auto first = test_process(process_role::Entry, "vm-a", 1);
    first.Network().Open(agent.Address());
    REQUIRE(agent.WaitForPeer() != peer_id());
  }
  auto second = test_process(process_role::Entry, "vm-a", 2);
  second.Network().Open(agent.Address());
  REQUIRE(agent.WaitForPeer(1) != peer_id());
  CHECK(agent.WaitForCount<peer_down>(1));
}

// Guards against requests that stall on a dead connection although a new one could be opened.
TEST_CASE("a connection without traffic is replaced and the session resumes", "[peer]")
{
  for (const auto direction : { 0, 1, 2 }) {
    INFO("direction " << direction);
    auto agent = test_process(process_role::Agent, "vm-b", 2);
    auto proxy = tcp_proxy(agent.Network().Port());
    auto entry = test_process(process_role::Entry, "vm-a", 1);
    entry.Network().Open(proxy.Address());
    const auto atEntry = entry.WaitForPeer();
    const auto atAgent = agent.WaitForPeer();

    entry.Network().Send(atEntry, MakeWithdraw(0));
    REQUIRE(agent.WaitForCount<peer_received>(1));
    proxy.DropTraffic(direction != 1, direction != 0);
    for (auto i = std::uint64_t{ 1 }; i <= 100; ++i) {
      entry.Network().Send(atEntry, MakeWithdraw(i));
      agent.Network().Send(atAgent, MakeWithdraw(i));
    }
    REQUIRE(agent.WaitForCount<peer_received>(101));
    REQUIRE(entry.WaitForCount<peer_received>(100));
    CHECK(MessagesOf(agent.Events()).size() == 101);
    CHECK(MessagesOf(entry.Events()).back() == peer_message(MakeWithdraw(100)));
    CHECK(test_process::CountOf<peer_down>(entry.Events()) == 0);
    CHECK(entry.Metric("bronzering_link_reconnects_total") >= 1);
  }
}

// Guards against head-of-line blocking: a grant must not wait for the end of a long answer.
TEST_CASE("a long answer does not delay other messages", "[peer]")
{
  auto agent = test_process(process_role::Agent, "vm-b", 2);
  auto entry = test_process(process_role::Entry, "vm-a", 1, [](auto& aSettings) {
    aSettings.mMaxUnhandledBytes = 64 * 1024;
  });
  entry.Network().Open(agent.Address());
  REQUIRE(entry.WaitForPeer() != peer_id());
  const auto atAgent = agent.WaitForPeer();

  // The entry reads only as much as its limit and the socket buffers allow, so that most of the
  // answer is still queued when the grant is sent.
  auto body = std::string();
  body.resize(28'000'000, 'x');
  entry.PauseEvents(true);
  agent.Network().Send(atAgent, answer_data{ { 1, 1 }, 0, body, 1 });
  agent.Network().Send(atAgent, answer_end{ { 1, 1 }, answer_outcome::Completed, 28'000'000 });
  agent.Network().Send(atAgent, grant{ { 1, 2 }, { 3 }, 1s, 0 });
  agent.Network().Send(atAgent, answer_head{ { 1, 3 }, 200, {} });
  entry.PauseEvents(false);

  REQUIRE(entry.WaitFor([](const auto& aEvents) {
    const auto messages = MessagesOf(aEvents);
    return !messages.empty() && std::holds_alternative<answer_end>(messages.back());
  }));
  const auto messages = MessagesOf(entry.Events());
  const auto isGrant = [](const auto& aMessage) { return std::holds_alternative<grant>(aMessage); };
  const auto isHead = [](const auto& aMessage) {
    return std::holds_alternative<answer_head>(aMessage);
  };
  CHECK(std::count_if(messages.begin(), messages.end(), isGrant) == 1);
  CHECK(std::count_if(messages.begin(), messages.end(), isHead) == 1);
}
