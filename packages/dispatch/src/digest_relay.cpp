#include <bronzering/dispatch/digest_relay.h>

#include <bronzering/base/hash.h>

#include <algorithm>

namespace bronzering {

digest_relay::digest_relay(std::string aSelf, zone_key aZone)
  : mSelf(std::move(aSelf))
  , mZone(aZone)
{
}

auto digest_relay::Keep(const peer_digest& aDigest, time_point aNow) -> void
{
  const auto [found, isNew] = mKept.try_emplace(aDigest.mSender, kept_digest{ aDigest, aNow });
  if (isNew) {
    return;
  }
  auto& kept = found->second;
  AddAge(kept.mDigest, aNow - kept.mReceived);
  MergeDigest(kept.mDigest, aDigest);
  kept.mReceived = aNow;
}

auto digest_relay::TakeRound(const std::vector<peer_table::live_peer>& aLive, time_point aNow)
  -> std::vector<addressed_digests>
{
  const auto perFleet = kRoundPerEntry * static_cast<duration::rep>(aLive.size() + 1);
  const auto interval = std::min<duration>(perFleet, kMaxRound);
  if (mKept.empty() || (mLastRound && aNow - *mLastRound < interval)) {
    return {};
  }
  mLastRound = aNow;
  ++mRounds;

  // Entries that are shutting down do not speak, and receive nothing to pass on.
  auto ownZone = std::vector<std::string_view>{ mSelf };
  auto otherZones = std::map<zone_key, std::vector<std::string_view>>();
  for (const auto& peer : aLive) {
    if (peer.mIsLeaving || peer.mZone == kUnknownZone) {
      continue;
    }
    (peer.mZone == mZone ? ownZone : otherZones[peer.mZone]).push_back(peer.mAddress);
  }

  auto kept = std::vector<peer_digest>();
  for (auto& [sender, entry] : mKept) {
    AddAge(entry.mDigest, aNow - entry.mReceived);
    kept.push_back(std::move(entry.mDigest));
  }
  mKept.clear();
  RemoveRepeatedEvidence(kept);

  auto messages = std::vector<addressed_digests>();
  for (const auto& [zone, entries] : otherZones) {
    const auto speaker = SpeakerIndex(zone, ownZone);
    if (!speaker) {
      continue;
    }
    // Speakers take turns among the receivers from different ones on.
    const auto receiver = (mRounds + *speaker * entries.size() / kSpeakers) % entries.size();
    messages.push_back({ { std::string(entries[receiver]) }, { digest_hop::BetweenZones, kept } });
  }
  return messages;
}

auto digest_relay::SpeakerIndex(zone_key aZone, const std::vector<std::string_view>& aOwnZone) const
  -> std::optional<std::size_t>
{
  const auto own = RendezvousWeight(aZone, mSelf);
  const auto before =
    static_cast<std::size_t>(std::count_if(aOwnZone.begin(), aOwnZone.end(), [&](auto aEntry) {
      return RendezvousWeight(aZone, aEntry) > own;
    }));
  return before < kSpeakers ? std::optional(before) : std::nullopt;
}

} // namespace bronzering
