#include <bronzering/dispatch/peer_table.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

const auto kStart = time_point(1h);

auto Digest(std::string aSender, std::uint64_t aIncarnation, std::uint64_t aSequence) -> peer_digest
{
  auto digest = peer_digest();
  digest.mSender = std::move(aSender);
  digest.mIncarnation = aIncarnation;
  digest.mSequence = aSequence;
  return digest;
}

auto Contains(const std::vector<std::string>& aList, const std::string& aText) -> bool
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

} // namespace

TEST_CASE("entries discover each other through a common seed", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  table.SetSeeds({ "10.0.0.1", "10.0.0.2" });
  CHECK(table.Targets() == std::vector<std::string>{ "10.0.0.2" });

  auto digest = Digest("10.0.0.2", 1, 1);
  digest.mPeers = { "10.0.0.1", "10.0.0.3" };
  REQUIRE(table.OnDigest(digest, kStart));
  const auto targets = table.Targets();
  CHECK(Contains(targets, "10.0.0.2"));
  CHECK(Contains(targets, "10.0.0.3"));
  CHECK(!Contains(targets, "10.0.0.1"));
}

// Entries that start together granted limits on their own until they knew each other.
TEST_CASE("all entries that a peer lists are contacted at once", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  auto digest = Digest("10.0.0.2", 1, 1);
  for (auto host = 3; host < 30; ++host) {
    digest.mPeers.push_back("10.0.0." + std::to_string(host));
  }
  REQUIRE(table.OnDigest(digest, kStart));
  const auto targets = table.Targets();
  for (const auto& address : digest.mPeers) {
    CHECK(Contains(targets, address));
  }
  // Those that do not answer are tried again one by one.
  CHECK(table.Targets().size() == 2);
}

TEST_CASE("outdated, duplicate and own digests are ignored", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  REQUIRE(table.OnDigest(Digest("10.0.0.2", 5, 10), kStart));
  CHECK(!table.OnDigest(Digest("10.0.0.2", 5, 10), kStart));
  CHECK(!table.OnDigest(Digest("10.0.0.2", 5, 9), kStart));
  CHECK(!table.OnDigest(Digest("10.0.0.2", 4, 99), kStart));
  CHECK(!table.OnDigest(Digest("10.0.0.1", 5, 11), kStart));
}

TEST_CASE("digests of an entry that restarted after its clock stepped back are accepted",
          "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  REQUIRE(table.OnDigest(Digest("10.0.0.2", 5000, 10), kStart));
  const auto later = kStart + peer_table::kLiveTimeout + 100ms;
  static_cast<void>(table.TakeChanges(later));
  CHECK(table.OnDigest(Digest("10.0.0.2", 3000, 1), later));
  CHECK(table.LivePeers().size() == 1);
}

TEST_CASE("an entry that timed out stays a member, one that shut down does not", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  REQUIRE(table.OnDigest(Digest("10.0.0.2", 1, 1), kStart));
  auto leaving = Digest("10.0.0.3", 1, 1);
  leaving.mIsLeaving = true;
  REQUIRE(table.OnDigest(leaving, kStart));
  CHECK(table.TakeChanges(kStart).size() == 2);
  CHECK(table.MemberCount() == 3);

  CHECK(table.TakeChanges(kStart + 2s).size() == 2);
  CHECK(table.LivePeers().empty());
  CHECK(table.MemberCount() == 2);
  // Digests are still sent to a peer that timed out.
  CHECK(Contains(table.Targets(), "10.0.0.2"));

  static_cast<void>(table.TakeChanges(kStart + 2s + peer_table::kRemovalTimeout));
  CHECK(table.MemberCount() == 1);
}

TEST_CASE("a live peer with a stable source confirms the revision that it holds", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  auto digest = Digest("10.0.0.2", 1, 1);
  digest.mPosition = { 0, 20 };
  REQUIRE(table.OnDigest(digest, kStart));
  CHECK(!table.IsConfirmedByPeer({ 0, 20 }));
  digest.mSequence = 2;
  digest.mIsSourceStable = true;
  REQUIRE(table.OnDigest(digest, kStart));
  CHECK(table.IsConfirmedByPeer({ 0, 20 }));
  CHECK(table.IsConfirmedByPeer({ 0, 19 }));
  CHECK(!table.IsConfirmedByPeer({ 0, 21 }));
  static_cast<void>(table.TakeChanges(kStart + 1s));
  CHECK(!table.IsConfirmedByPeer({ 0, 20 }));
}

TEST_CASE("the live peer with the newest revision is found", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  auto second = Digest("10.0.0.2", 1, 1);
  second.mPosition = { 0, 7 };
  auto third = Digest("10.0.0.3", 1, 1);
  third.mPosition = { 0, 9 };
  REQUIRE(table.OnDigest(second, kStart));
  REQUIRE(table.OnDigest(third, kStart));
  CHECK(table.FindNewerPeer({ 0, 7 }) == std::optional<std::string>("10.0.0.3"));
  CHECK(!table.FindNewerPeer({ 0, 9 }));
}

TEST_CASE("a peer in a later history is newer whatever its revision", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  auto digest = Digest("10.0.0.2", 1, 1);
  digest.mPosition = { 2, 7 };
  digest.mIsSourceStable = true;
  REQUIRE(table.OnDigest(digest, kStart));
  CHECK(table.FindNewerPeer({ 1, 900 }) == std::optional<std::string>("10.0.0.2"));
  CHECK(!table.FindNewerPeer({ 3, 1 }));
  CHECK(table.IsConfirmedByPeer({ 1, 900 }));
  CHECK(!table.IsConfirmedByPeer({ 3, 1 }));
}

TEST_CASE("the live peer with the highest configuration is found", "[peer_table]")
{
  auto table = peer_table("10.0.0.1");
  auto second = Digest("10.0.0.2", 1, 1);
  second.mConfigurationVersion = 7;
  second.mPosition = { 0, 9 };
  auto third = Digest("10.0.0.3", 1, 1);
  third.mConfigurationVersion = 8;
  REQUIRE(table.OnDigest(second, kStart));
  REQUIRE(table.OnDigest(third, kStart));
  CHECK(table.FindPeerWithConfigurationAbove(6) == std::optional<std::string>("10.0.0.3"));
  CHECK(!table.FindPeerWithConfigurationAbove(8));
}
