#include <bronzering/dispatch/peer_table.h>

#include <algorithm>

namespace bronzering {

peer_table::peer_table(std::string aSelf, zone_key aZone)
  : mSelf(std::move(aSelf))
  , mZone(aZone)
{
}

auto peer_table::SetSeeds(const std::vector<std::string>& aSeeds) -> void
{
  mSeeds.clear();
  for (const auto& seed : aSeeds) {
    if (seed != mSelf) {
      mSeeds.push_back(seed);
    }
  }
}

auto peer_table::OnDigest(const peer_digest& aDigest, time_point aNow) -> bool
{
  if (aDigest.mSender == mSelf) {
    return false;
  }
  auto& peer = mPeers.try_emplace(aDigest.mSender).first->second;
  // An entry that restarts after its clock stepped back has a lower incarnation. It is accepted
  // only once the previous run has timed out.
  if ((aDigest.mIncarnation < peer.mIncarnation && peer.mIsLive) ||
      (aDigest.mIncarnation == peer.mIncarnation && aDigest.mSequence <= peer.mSequence)) {
    return false;
  }
  if (!peer.mIsLive) {
    mChanges.push_back({ aDigest.mSender, true });
  }
  peer = peer_state{ aDigest.mIncarnation,
                     aDigest.mSequence,
                     aDigest.mPosition,
                     aDigest.mConfigurationVersion,
                     aDigest.mIsSourceStable,
                     true,
                     aDigest.mIsLeaving,
                     aDigest.mWithheldWrites,
                     aDigest.mDemand,
                     aDigest.mZone,
                     aNow };
  mCandidates.erase(aDigest.mSender);
  for (const auto& address : aDigest.mPeers) {
    if (address != mSelf && !mPeers.contains(address)) {
      mCandidates.try_emplace(address, candidate{ aNow, false });
    }
  }
  return true;
}

auto peer_table::TakeChanges(time_point aNow) -> std::vector<change>
{
  for (auto next = mPeers.begin(); next != mPeers.end();) {
    auto& peer = next->second;
    const auto sinceDigest = aNow - peer.mLastDigest;
    if (peer.mIsLive && sinceDigest > kLiveTimeout) {
      peer.mIsLive = false;
      mChanges.push_back({ next->first, false });
    }
    const auto isRemoved = !peer.mIsLive && (peer.mIsLeaving || sinceDigest > kRemovalTimeout);
    next = isRemoved ? mPeers.erase(next) : std::next(next);
  }
  std::erase_if(mCandidates, [aNow](const auto& aCandidate) {
    return aNow - aCandidate.second.mListed > kCandidateTimeout;
  });
  return std::exchange(mChanges, {});
}

auto peer_table::Targets() -> std::vector<std::string>
{
  auto targets = std::vector<std::string>();
  for (const auto& [address, peer] : mPeers) {
    if (peer.mIsLive && (peer.mZone == mZone || peer.mZone == kUnknownZone)) {
      targets.push_back(address);
    }
  }

  // Entries that start together have to find each other before they share limits.
  auto contacted = std::size_t{ 0 };
  for (auto& [address, listed] : mCandidates) {
    if (!listed.mIsContacted && contacted < kMaxNewCandidates) {
      listed.mIsContacted = true;
      targets.push_back(address);
      ++contacted;
    }
  }

  // Each round also tries one address that sends no digests: an unknown seed, a peer that timed
  // out, or an address listed by a peer.
  auto candidates = std::vector<std::string>();
  for (const auto& seed : mSeeds) {
    if (const auto found = mPeers.find(seed); found == mPeers.end()) {
      candidates.push_back(seed);
    }
  }
  for (const auto& [address, peer] : mPeers) {
    if (!peer.mIsLive) {
      candidates.push_back(address);
    }
  }
  for (const auto& [address, listed] : mCandidates) {
    candidates.push_back(address);
  }
  if (!candidates.empty()) {
    targets.push_back(candidates[mNextCandidate++ % candidates.size()]);
  }
  return targets;
}

auto peer_table::LivePeers() const -> std::vector<live_peer>
{
  auto live = std::vector<live_peer>();
  for (const auto& [address, peer] : mPeers) {
    if (peer.mIsLive) {
      live.push_back({ address, peer.mZone, peer.mIsLeaving });
    }
  }
  return live;
}

auto peer_table::ZonePeers() const -> std::vector<std::string>
{
  auto peers = std::vector<std::string>();
  for (const auto& [address, peer] : mPeers) {
    if (peer.mIsLive && peer.mZone == mZone) {
      peers.push_back(address);
    }
  }
  return peers;
}

auto peer_table::LiveCount() const -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    mPeers.begin(), mPeers.end(), [](const auto& aEntry) { return aEntry.second.mIsLive; }));
}

auto peer_table::MemberCount() const -> std::size_t
{
  return 1 + mPeers.size();
}

auto peer_table::Demands() const -> std::vector<entry_demand>
{
  auto demands = std::vector<entry_demand>();
  for (const auto& [address, peer] : mPeers) {
    demands.push_back({ address, peer.mDemand });
  }
  return demands;
}

auto peer_table::IsConfirmedByPeer(source_position aPosition) const -> bool
{
  return std::any_of(mPeers.begin(), mPeers.end(), [aPosition](const auto& aEntry) {
    const auto& peer = aEntry.second;
    return peer.mIsLive && peer.mIsSourceStable && peer.mPosition >= aPosition;
  });
}

auto peer_table::FindNewerPeer(source_position aPosition) const -> std::optional<std::string>
{
  auto best = std::optional<std::string>();
  for (const auto& [address, peer] : mPeers) {
    if (peer.mIsLive && peer.mPosition > aPosition) {
      aPosition = peer.mPosition;
      best = address;
    }
  }
  return best;
}

auto peer_table::FindPeerWithholdingMoreThan(std::size_t aCount) const -> std::optional<std::string>
{
  auto best = std::optional<std::string>();
  for (const auto& [address, peer] : mPeers) {
    if (peer.mIsLive && peer.mWithheldWrites > aCount) {
      aCount = peer.mWithheldWrites;
      best = address;
    }
  }
  return best;
}

auto peer_table::FindPeerWithConfigurationAbove(std::uint64_t aVersion) const
  -> std::optional<std::string>
{
  auto best = std::optional<std::string>();
  for (const auto& [address, peer] : mPeers) {
    if (peer.mIsLive && peer.mConfigurationVersion > aVersion) {
      aVersion = peer.mConfigurationVersion;
      best = address;
    }
  }
  return best;
}

} // namespace bronzering
