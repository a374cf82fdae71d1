#include "gateway_harness.h"

#include "peer_codec.h"

#include <bronzering/base/hash.h>

#include <catch2/catch.hpp>

#include <span>

using namespace bronzering;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::udp;

namespace {

constexpr auto kSender = std::string_view("127.0.0.9");

/// Sends digests of one peer that has admitted aUnits of the organisation of TestDocument.
struct reporting_peer
{
  auto Report(double aUnits) -> void
  {
    auto digest = peer_digest();
    digest.mSender = kSender;
    digest.mZone = HashZone("a");
    digest.mIncarnation = 1;
    digest.mSequence = ++mSequence;
    digest.mIsFull = true;
    digest.mIsLeaving = mIsLeaving;
    digest.mOrganisationUsage = { { HashText("lamps"), aUnits } };
    for (const auto& datagram : EncodeDigests(digest_hop::Direct, std::span(&digest, 1))) {
      mSocket.send_to(boost::asio::buffer(datagram), mTarget);
    }
  }

  udp::socket mSocket;
  udp::endpoint mTarget;
  std::uint64_t mSequence = 0;
  bool mIsLeaving = false;
};

} // namespace

// In a flood, small entries read one digest for each round of their event loop, fewer than came in,
// and admitted more of an organisation than its limit, since they knew only old reports of others.
TEST_CASE("digests that have arrived are read before the next request is admitted",
          "[peer_channel]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  auto document = TestDocument();
  document.mOrganisations[0].mRate = 1;
  document.mOrganisations[0].mBurst = 1;
  document.mOrganisations[0].mCountsTokens = true;
  fixture.Publish(std::move(document), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto peer = reporting_peer{ udp::socket(fixture.Context(), udp::v4()), fixture.PeerAddress() };
    peer.Report(1);
    co_await Pause(50ms);

    // All of these arrive before the gateway runs again.
    constexpr auto kUnchanged = 99;
    for (auto digest = 0; digest < kUnchanged; ++digest) {
      peer.Report(1);
    }
    peer.Report(1000);
    auto request = RequestText("/once/x", "Tokens: 1,1\r\nDeadline-Ms: 3000\r\n");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    CHECK(answer->mStatus == 429);
  });
}

// Nobody charged what an entry admitted between its stop request and its end.
TEST_CASE("what a peer admits while it shuts down counts against the limit", "[peer_channel]")
{
  auto fixture = gateway_fixture();
  auto endpoint = scripted_endpoint(fixture.Context(), "e1", CompleteAnswer);
  auto document = TestDocument();
  document.mOrganisations[0].mRate = 1;
  document.mOrganisations[0].mBurst = 1;
  document.mOrganisations[0].mCountsTokens = true;
  fixture.Publish(std::move(document), { endpoint.Listed() });
  fixture.Run([&]() -> awaitable<void> {
    auto peer = reporting_peer{ udp::socket(fixture.Context(), udp::v4()), fixture.PeerAddress() };
    peer.Report(1);
    co_await Pause(50ms);
    peer.mIsLeaving = true;
    peer.Report(1);
    peer.Report(1000);
    co_await Pause(50ms);
    auto request = RequestText("/once/x", "Tokens: 1,1\r\nDeadline-Ms: 3000\r\n");
    const auto answer = co_await fixture.Ask(std::move(request));
    REQUIRE(answer);
    CHECK(answer->mStatus == 429);
  });
}
