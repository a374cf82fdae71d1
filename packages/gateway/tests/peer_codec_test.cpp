#include "peer_codec.h"

#include <catch2/catch.hpp>

using namespace bronzering;
using namespace std::chrono_literals;

TEST_CASE("a decoded digest equals the encoded one", "[peer_codec]")
{
  auto digest = peer_digest();
  digest.mSender = "10.0.0.1";
  digest.mIncarnation = 77;
  digest.mSequence = 5;
  digest.mIsLeaving = true;
  digest.mPosition = { 4, 900 };
  digest.mIsSourceStable = true;
  digest.mIsFull = true;
  digest.mConfigurationVersion = 31;
  digest.mLoads = { { 42, 3, 5000, 700 } };
  digest.mSpeeds = { { 44, 4ms, 15.5 } };
  digest.mOrganisationUsage = { { 43, 1234.5 } };
  digest.mCrashEvidence = { { 45, 46, 1500ms, true }, { 45, 47, 0ms, false } };
  digest.mDemand = 12.5;
  digest.mRateLimits = { { 48, 4.3, 250ms }, { 49, std::nullopt, 0ms } };
  digest.mPeers = { "10.0.0.2" };
  digest.mZone = 78;
  const auto datagrams = EncodeDigests(digest_hop::Direct, std::vector{ digest });
  REQUIRE(datagrams.size() == 1);
  const auto message = DecodeDigests(datagrams[0]);
  REQUIRE(message);
  CHECK(message->mHop == digest_hop::Direct);
  REQUIRE(message->mDigests.size() == 1);
  const auto* decoded = &message->mDigests[0];
  CHECK(decoded->mZone == 78);
  CHECK(decoded->mSender == digest.mSender);
  CHECK(decoded->mIncarnation == 77);
  CHECK(decoded->mSequence == 5);
  CHECK(decoded->mIsLeaving);
  CHECK(decoded->mPosition == source_position{ 4, 900 });
  CHECK(decoded->mIsSourceStable);
  CHECK(decoded->mIsFull);
  CHECK(decoded->mConfigurationVersion == 31);
  REQUIRE(decoded->mLoads.size() == 1);
  CHECK(decoded->mLoads[0].mKey == 42);
  CHECK(decoded->mLoads[0].mRequests == 3);
  CHECK(decoded->mLoads[0].mPromptTokens == 5000);
  CHECK(decoded->mLoads[0].mOutputTokens == 700);
  REQUIRE(decoded->mSpeeds.size() == 1);
  CHECK(decoded->mSpeeds[0].mKey == 44);
  CHECK(decoded->mSpeeds[0].mTokenTime == 4ms);
  CHECK(decoded->mSpeeds[0].mPromptTokenMicros == Approx(15.5));
  REQUIRE(decoded->mOrganisationUsage.size() == 1);
  CHECK(decoded->mOrganisationUsage[0].mTotal == 1234.5);
  CHECK(decoded->mCrashEvidence == digest.mCrashEvidence);
  CHECK(decoded->mDemand == 12.5);
  CHECK(decoded->mRateLimits == digest.mRateLimits);
  CHECK(decoded->mPeers == digest.mPeers);
}

TEST_CASE("malformed and truncated digests are rejected", "[peer_codec]")
{
  auto digest = peer_digest();
  digest.mSender = "10.0.0.1";
  digest.mLoads = { { 42, 3, 5000, 700 } };
  const auto hop = GENERATE(digest_hop::Direct, digest_hop::BetweenZones, digest_hop::WithinZone);
  const auto bytes = EncodeDigests(hop, std::vector{ digest }).at(0);
  CHECK(!DecodeDigests(""));
  CHECK(!DecodeDigests("not a digest at all, but long enough to be read as one"));
  for (auto length = std::size_t{ 1 }; length < bytes.size() / 2; ++length) {
    CHECK(!DecodeDigests(std::string_view(bytes).substr(0, length)));
  }
}

TEST_CASE("relayed digests fit the path's MTU and keep their senders", "[peer_codec]")
{
  auto digests = std::vector<peer_digest>(20);
  for (auto index = std::size_t{ 0 }; index < digests.size(); ++index) {
    digests[index].mSender = "10.0.0." + std::to_string(index + 1);
    digests[index].mLoads.resize(index % 7, endpoint_load{ 42, 3, 5000, 700 });
  }
  const auto hop = GENERATE(digest_hop::BetweenZones, digest_hop::WithinZone);
  const auto datagrams = EncodeDigests(hop, digests);
  CHECK(datagrams.size() > 1);
  auto senders = std::vector<std::string>();
  for (const auto& datagram : datagrams) {
    CHECK(datagram.size() <= 1'472);
    const auto message = DecodeDigests(datagram);
    REQUIRE(message);
    CHECK(message->mHop == hop);
    for (const auto& digest : message->mDigests) {
      senders.push_back(digest.mSender);
    }
  }
  REQUIRE(senders.size() == digests.size());
  for (auto index = std::size_t{ 0 }; index < digests.size(); ++index) {
    CHECK(senders[index] == digests[index].mSender);
  }
}

TEST_CASE("a decoded snapshot equals the encoded one", "[peer_codec]")
{
  const auto text = std::string("a\0b", 3);
  const auto snapshot = published_snapshot{
    12, { { "key", text, 11, 2, true } }, 3, { { { "late", text, 12, 3 }, 1'500ms } }
  };
  const auto decoded = DecodeSnapshot(EncodeSnapshot(snapshot), published_items());
  REQUIRE(decoded);
  CHECK(decoded->Position() == source_position{ 3, 12 });
  REQUIRE(decoded->mItems.size() == 1);
  CHECK(decoded->mItems[0].mKey == "key");
  CHECK(decoded->mItems[0].mValue == snapshot.mItems[0].mValue);
  CHECK(decoded->mItems[0].Position() == source_position{ 2, 11 });
  CHECK(decoded->mItems[0].mIsExpired);
  REQUIRE(decoded->mWithheld.size() == 1);
  CHECK(decoded->mWithheld[0].mItem.mKey == "late");
  CHECK(decoded->mWithheld[0].mItem.mValue == text);
  CHECK(decoded->mWithheld[0].mItem.Position() == source_position{ 3, 12 });
  CHECK(decoded->mWithheld[0].mAge == 1'500ms);
}

// All items took longer than the timeout on a slow link, so an entry that was cut off from the
// store went on sending to endpoints that were leaving.
TEST_CASE("a peer that has items is sent only what has changed", "[peer_codec]")
{
  const auto large = std::string(500'000, 'x');
  auto held = published_items();
  held.ApplySnapshot({ 8, { { "document", large, 5, 2 }, { "gone", "", 6, 2 } }, 2 },
                     item_origin::Peer,
                     time_point(1h));
  const auto snapshot =
    published_snapshot{ 12, { { "document", large, 5, 2 }, { "worker", "leaving", 9, 2 } }, 2 };
  const auto update = EncodeSnapshot(snapshot, held.Position());
  CHECK(update.size() < 1'000);
  const auto decoded = DecodeSnapshot(update, held);
  REQUIRE(decoded);
  REQUIRE(decoded->mItems.size() == 2);
  CHECK(decoded->mItems[0].mValue == large);
  CHECK(decoded->mItems[1].mValue == "leaving");

  // Revisions of another history say nothing, and what is not held cannot be left out.
  CHECK(EncodeSnapshot(snapshot, source_position{ 1, 8 }).size() > large.size());
  CHECK(!DecodeSnapshot(update, published_items()));
}

TEST_CASE("a request for items names what its sender has", "[peer_codec]")
{
  CHECK(ItemsTarget({}) == "/items");
  const auto target = ItemsTarget(source_position{ 3, 17 });
  CHECK(ParseItemsTarget(target)->mKnown == source_position{ 3, 17 });
  CHECK(!ParseItemsTarget("/items")->mKnown);
  for (const auto* other : { "/metrics", "/items/", "/items/3", "/items/a/b", "/itemsx/1/2", "" }) {
    CHECK(!ParseItemsTarget(other));
  }
}
