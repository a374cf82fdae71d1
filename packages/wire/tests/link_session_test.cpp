#include "virtual_link.h"

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

/// Checks that the messages received by each side are a prefix of those sent by the other, and are
/// complete if aMustBeComplete is set.
auto CheckDelivery(const virtual_link& aLink, bool aMustBeComplete) -> void
{
  for (const auto side : { 0, 1 }) {
    const auto& sent = aLink.Sent(1 - side);
    const auto& received = aLink.Received(side);
    REQUIRE(received.size() <= sent.size());
    for (auto i = std::size_t{ 0 }; i < received.size(); ++i) {
      REQUIRE(received[i] == sent[i]);
    }
    if (aMustBeComplete) {
      REQUIRE(received.size() == sent.size());
    }
  }
}

} // namespace

TEST_CASE("messages arrive once and in order without network faults", "[link]")
{
  auto link = virtual_link(1);
  link.Run(1s);
  REQUIRE(link.IsUp(0));
  REQUIRE(link.IsUp(1));
  for (auto i = 0; i < 100; ++i) {
    link.Send(0, i % 7 == 0 ? 50'000 : 20);
    link.Send(1, 20);
    link.Run(10ms);
  }
  link.Run(1s);
  CheckDelivery(link, true);
  CHECK(link.Counts(0).mConnections == 1);
  CHECK_FALSE(link.WasSilent(0));
}

// Guards against loss, duplicates and reordering when connections fail at any time: during the
// handshake, with messages in flight, in one direction or both.
TEST_CASE("messages arrive once and in order despite disconnects and dropped traffic", "[link]")
{
  for (auto seed = std::uint64_t{ 1 }; seed <= 300; ++seed) {
    INFO("seed " << seed);
    auto link = virtual_link(seed);
    auto random = random_source(seed * 7919);
    for (auto step = 0; step < 200; ++step) {
      if (link.IsUp(0) && link.IsUp(1)) {
        link.Send(static_cast<int>(random.UniformBelow(2)),
                  random.UniformBelow(10) == 0 ? 40'000 : 30);
      }
      switch (random.UniformBelow(12)) {
        case 0:
          link.Disconnect(random.UniformBelow(2) == 0, random.UniformBelow(2) == 0);
          break;
        case 1:
          link.DropTraffic(random.UniformBelow(2) == 0, true);
          break;
        case 2:
          link.DelayNextAttempt(FromSeconds(random.Uniform01() * 3));
          break;
        default:
          break;
      }
      link.Run(FromSeconds(random.Exponential(0.1)));
    }
    link.Run(25s);
    REQUIRE_FALSE(link.IsLost(0));
    REQUIRE_FALSE(link.IsLost(1));
    CheckDelivery(link, true);
  }
}

// Guards against lost messages that are not reported: after outages of up to a minute, either all
// messages arrive or both sides report that the session is lost.
TEST_CASE("after long outages all messages arrive or the session is lost", "[link]")
{
  auto lostCount = 0;
  for (auto seed = std::uint64_t{ 1 }; seed <= 100; ++seed) {
    INFO("seed " << seed);
    auto link = virtual_link(seed);
    auto random = random_source(seed * 104729);
    link.Run(1s);
    for (auto step = 0; step < 5; ++step) {
      link.SetNetwork(false);
      for (auto i = 0; i < 5; ++i) {
        link.Send(static_cast<int>(random.UniformBelow(2)),
                  random.UniformBelow(2) == 0 ? 40'000 : 30);
      }
      link.Run(FromSeconds(random.Exponential(12)));
      link.SetNetwork(true);
      link.Run(FromSeconds(random.Exponential(3)));
    }
    link.Run(60s);
    REQUIRE(link.IsLost(0) == link.IsLost(1));
    CheckDelivery(link, !link.IsLost(0));
    lostCount += link.IsLost(0) ? 1 : 0;
  }
  CHECK(lostCount > 0);
  CHECK(lostCount < 100);
}

TEST_CASE("a duplicate fragment is ignored and a sequence gap closes the connection", "[link]")
{
  auto first = hello();
  first.mIdentity = { process_role::Entry, "a", "z", "", { 1 } };
  first.mAttempt = 1;
  auto session = link_session({}, first, 1, {}, time_point());
  const auto part = fragment{ 1, 0, 0, true, "message" };
  session.OnFrame(1, part, time_point());
  session.OnFrame(1, part, time_point());
  // The session reported link_up and delivered the message once.
  CHECK(session.TakeActions().size() == 2);
  CHECK(session.Counts().mDuplicates == 1);
  session.OnFrame(1, fragment{ 3, 0, 1, true, "later" }, time_point());
  const auto actions = session.TakeActions();
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<close_connection>(actions[0]));
}

// Guards against a link that stays unusable when only one direction of its connection fails.
TEST_CASE("a connection that fails in one direction is replaced without message loss", "[link]")
{
  for (const auto side : { 0, 1 }) {
    for (const auto sender : { 0, 1 }) {
      INFO("silent side " << side << ", sender " << sender);
      auto link = virtual_link(5);
      link.Run(1s);
      link.Send(sender, 10);
      link.Run(100ms);
      link.DropTraffic(side == 0, false);
      for (auto i = 0; i < 10; ++i) {
        link.Send(sender, 10);
        link.Run(50ms);
      }
      link.Run(3s);
      CheckDelivery(link, true);
      CHECK(link.Counts(0).mConnections == 2);
      CHECK_FALSE(link.IsLost(0));
      CHECK_FALSE(link.WasSilent(sender));
    }
  }
}

// Guards against a session that is never reported lost while the network stays down.
TEST_CASE("a session without a connection is silent after 2 s and lost after 30 s", "[link]")
{
  auto link = virtual_link(9);
  link.Run(1s);
  link.SetNetwork(false);
  link.Send(0, 10);
  link.Run(1900ms);
  CHECK_FALSE(link.WasSilent(0));
  link.Run(300ms);
  CHECK(link.WasSilent(0));
  link.Run(26s);
  CHECK_FALSE(link.IsLost(0));
  link.Run(3s);
  CHECK(link.IsLost(0));
  link.Run(15s);
  CHECK(link.IsLost(1));
}

TEST_CASE("a session resumes when the network returns before 30 s", "[link]")
{
  auto link = virtual_link(9);
  link.Run(1s);
  link.SetNetwork(false);
  link.Send(0, 10);
  link.Send(1, 10);
  link.Run(20s);
  link.SetNetwork(true);
  link.Run(5s);
  CheckDelivery(link, true);
  CHECK(link.WasSilent(0));
  CHECK_FALSE(link.IsSilent(0));
  CHECK_FALSE(link.IsSilent(1));
}

// Guards against delivering messages of an old session to a restarted peer.
TEST_CASE("a session is lost when the peer restarts", "[link]")
{
  auto link = virtual_link(3);
  link.Run(1s);
  link.Send(0, 10);
  link.Run(1s);
  link.RestartAcceptor();
  link.Send(0, 10);
  link.Run(3s);
  CHECK(link.IsLost(0));
  CHECK(link.LossReason(0) == loss_reason::PeerReplaced);
  CHECK(link.Received(1).size() == 1);
}

// Guards against unbounded memory use when the peer does not acknowledge messages.
TEST_CASE("a session is lost when its resend buffer overflows", "[link]")
{
  auto link = virtual_link(4);
  link.Run(1s);
  link.SetNetwork(false);
  for (auto i = 0; i < 40 && !link.IsLost(0); ++i) {
    link.Send(0, 1'000'000);
  }
  CHECK(link.IsLost(0));
  CHECK(link.LossReason(0) == loss_reason::Overflow);
}

// Guards against probes that exceed the traffic budget of an idle link.
TEST_CASE("an idle link sends one probe and one reply every 10 s", "[link]")
{
  auto link = virtual_link(6);
  link.Run(60s);
  const auto before = link.Transmissions();
  link.Run(600s);
  CHECK(link.Transmissions() - before <= 122);
  CHECK(link.Transmissions() - before >= 116);
  CHECK(link.Counts(0).mConnections == 1);
}

// Guards against an undetected failure of an idle link.
TEST_CASE("an idle connection that drops all traffic is replaced", "[link]")
{
  auto link = virtual_link(6);
  link.Run(60s);
  link.DropTraffic(true, true);
  link.Run(14s);
  CHECK(link.Counts(0).mConnections == 2);
  CHECK_FALSE(link.IsSilent(0));
  CHECK_FALSE(link.IsSilent(1));
}

TEST_CASE("closing delivers all sent messages and notifies the peer", "[link]")
{
  auto link = virtual_link(8);
  link.Run(1s);
  link.Send(0, 100'000);
  link.Close(0, 2s);
  link.Run(1s);
  CheckDelivery(link, true);
  CHECK(link.LossReason(0) == loss_reason::Closed);
  CHECK(link.LossReason(1) == loss_reason::PeerClosed);
}

// Guards against resuming a session from another process than the one that began it, or with
// another process than the one that accepted it.
TEST_CASE("a hello with another incarnation does not resume a session", "[link]")
{
  const auto self = process_identity{ process_role::Agent, "b", "z", "e", { 2 } };
  auto first = hello();
  first.mIdentity = { process_role::Entry, "a", "z", "", { 1 } };
  first.mSession = 77;
  first.mAttempt = 1;
  auto session = link_session(self, first, 1, {}, time_point());

  auto other = first;
  other.mAttempt = 2;
  other.mIdentity.mIncarnation = { 5 };
  CHECK_FALSE(session.OnAccepted(other, time_point()));
  other = first;
  other.mAttempt = 2;
  other.mPeerIncarnation = { 9 };
  CHECK_FALSE(session.OnAccepted(other, time_point()));
  CHECK_FALSE(link_session::CanBegin(other));
  other.mPeerIncarnation = { 2 };
  CHECK(session.OnAccepted(other, time_point()));
  other.mAttempt = 1;
  CHECK_FALSE(session.OnAccepted(other, time_point()));
}

// Guards against a large answer that delays a grant, and against reordering within a request.
TEST_CASE("urgent messages overtake only bulk messages of other requests", "[link]")
{
  const auto big = std::string(100'000, 'x');
  const auto one = request_id{ 1, 1 };
  const auto two = request_id{ 1, 2 };
  auto queue = send_queue();
  queue.Push(big, { message_urgency::Bulk, one });
  queue.Push(big, { message_urgency::Bulk, two });
  static_cast<void>(queue.Pop());
  queue.Push("urgent", { message_urgency::Urgent, {} });
  queue.Push("cancel", { message_urgency::Urgent, one });

  CHECK(queue.Pop()->Bytes() == "urgent");
  auto streams = std::vector<std::uint32_t>();
  auto last = std::string();
  while (auto next = queue.Pop()) {
    streams.push_back(next->mStream);
    last = *next->mPayload;
  }
  // The two large messages alternate; the cancel follows the bulk message of the same request.
  CHECK(streams[0] != streams[1]);
  CHECK(streams[0] == streams[2]);
  CHECK(std::count(streams.begin(), streams.end(), 3U) == 1);
  CHECK(std::find(streams.begin(), streams.end(), 3U) >
        std::find(streams.rbegin(), streams.rend(), 0U).base() - 1);
}
