#include <bronzering/dispatch/digest_exchange.h>

#include <algorithm>

namespace bronzering {

digest_exchange::digest_exchange(std::string aSelf,
                                 zone_key aZone,
                                 std::uint64_t aIncarnation,
                                 parts aParts)
  : mSelf(std::move(aSelf))
  , mZone(aZone)
  , mIncarnation(aIncarnation)
  , mParts(aParts)
  , mRelay(mSelf, aZone)
{
}

auto digest_exchange::TakeMessages(const entry_status& aStatus, time_point aNow)
  -> std::vector<addressed_digests>
{
  auto digest = OwnDigest(aStatus, aNow);
  auto messages = std::vector<addressed_digests>();
  auto direct = addressed_digests();
  if (aStatus.mHasEnded) {
    for (auto& peer : mParts.mPeers.LivePeers()) {
      direct.mTargets.push_back(std::move(peer.mAddress));
    }
  } else {
    mRelay.Keep(digest, aNow);
    messages = mRelay.TakeRound(mParts.mPeers.LivePeers(), aNow);
    direct.mTargets = mParts.mPeers.Targets();
  }
  direct.mMessage.mDigests.push_back(std::move(digest));
  messages.push_back(std::move(direct));
  return messages;
}

auto digest_exchange::Interval() const -> duration
{
  const auto peers = static_cast<duration::rep>(mParts.mPeers.ZonePeers().size());
  return std::max<duration>(kInterval, kIntervalPerPeer * peers);
}

auto digest_exchange::OnMessage(digest_message aMessage, time_point aNow) -> received
{
  auto result = received();
  for (auto& digest : aMessage.mDigests) {
    if (digest.mSender == mSelf) {
      continue;
    }
    ApplyEvidence(digest, aNow, result);
    if (!mParts.mPeers.OnDigest(digest, aNow)) {
      continue;
    }
    Apply(digest, aNow);
    if (aMessage.mHop == digest_hop::Direct && digest.mZone == mZone) {
      mRelay.Keep(digest, aNow);
    }
    result.mAccepted.push_back(std::move(digest));
  }
  if (aMessage.mHop == digest_hop::BetweenZones && !result.mAccepted.empty()) {
    result.mForwardTo = mParts.mPeers.ZonePeers();
  }
  return result;
}

auto digest_exchange::TakeChanges(time_point aNow) -> std::vector<peer_table::change>
{
  auto changes = mParts.mPeers.TakeChanges(aNow);
  for (const auto& change : changes) {
    if (change.mIsUp) {
      // A peer that has just started knows nothing yet.
      mFullRepeats = kRepeats;
      RepeatRateLimits();
    } else {
      mParts.mEndpoints.DropPeer(change.mPeer);
    }
  }
  return changes;
}

auto digest_exchange::OwnDigest(const entry_status& aStatus, time_point aNow) -> peer_digest
{
  auto digest = peer_digest();
  digest.mSender = mSelf;
  digest.mZone = mZone;
  digest.mIncarnation = mIncarnation;
  digest.mSequence = ++mSequence;
  digest.mIsLeaving = aStatus.mIsLeaving;
  digest.mHasEnded = aStatus.mHasEnded;
  digest.mPosition = aStatus.mPosition;
  digest.mConfigurationVersion = aStatus.mConfigurationVersion;
  digest.mIsSourceStable = aStatus.mIsSourceStable;
  digest.mWithheldWrites = aStatus.mWithheldWrites;
  digest.mDemand = aStatus.mDemand;
  digest.mLoads = mParts.mEndpoints.OwnLoads();
  digest.mOrganisationUsage = mParts.mRateLimiter.Totals();
  // Only full digests carry data that changes slowly, and the unchanged totals, whose last message
  // may have been lost.
  digest.mIsFull = mSequence % kFullDigestEvery == 1 || mFullRepeats > 0 || aStatus.mHasEnded;
  mFullRepeats -= std::min(mFullRepeats, 1U);
  if (digest.mIsFull) {
    digest.mSpeeds = mParts.mEndpoints.OwnSpeeds();
    for (auto& peer : mParts.mPeers.LivePeers()) {
      digest.mPeers.push_back(std::move(peer.mAddress));
    }
  } else {
    digest.mOrganisationUsage = ChangedUsage(std::move(digest.mOrganisationUsage));
  }
  UpdateRepeats();
  if (mParts.mQuarantine.HasNews() || digest.mIsFull) {
    digest.mCrashEvidence = mParts.mQuarantine.TakeEvidence(kMaxEvidence, aNow);
  }
  if (mRateLimitRepeats > 0 || digest.mIsFull) {
    digest.mRateLimits = mParts.mEndpoints.RateLimits().TakeStatements(kMaxRateLimits, aNow);
    mRateLimitRepeats -= std::min(mRateLimitRepeats, 1U);
  }
  return digest;
}

auto digest_exchange::ChangedUsage(std::vector<organisation_usage> aTotals)
  -> std::vector<organisation_usage>
{
  std::erase_if(aTotals, [this](const organisation_usage& aTotal) {
    const auto [sent, isNew] = mSentTotals.try_emplace(aTotal.mKey, aTotal.mTotal);
    const auto isUnchanged = !isNew && sent->second == aTotal.mTotal;
    sent->second = aTotal.mTotal;
    return isUnchanged;
  });
  return aTotals;
}

auto digest_exchange::UpdateRepeats() -> void
{
  const auto& rateLimits = mParts.mEndpoints.RateLimits();
  if (rateLimits.OwnChanges() != mSentRateLimitChanges) {
    mSentRateLimitChanges = rateLimits.OwnChanges();
    RepeatRateLimits();
  }
}

auto digest_exchange::RepeatRateLimits() -> void
{
  // Digests go through all statements in turn.
  const auto limited = mParts.mEndpoints.RateLimits().LimitedCount();
  mRateLimitRepeats = kRepeats * static_cast<std::uint32_t>(1 + limited / kMaxRateLimits);
}

auto digest_exchange::ApplyEvidence(const peer_digest& aDigest,
                                    time_point aNow,
                                    received& aReceived) -> void
{
  mParts.mQuarantine.Merge(aDigest.mCrashEvidence, aNow);
  for (auto& statement : mParts.mEndpoints.RateLimits().Merge(aDigest.mRateLimits, aNow)) {
    aReceived.mRateLimits.push_back({ aDigest.mSender, statement });
  }
}

auto digest_exchange::Apply(const peer_digest& aDigest, time_point aNow) -> void
{
  auto& limiter = mParts.mRateLimiter;
  const auto isEstablished = aDigest.mSequence > kEstablishedSequence;
  if (isEstablished) {
    limiter.OnEstablishedPeer(aNow);
  }
  // A peer that is shutting down goes on admitting requests until it ends.
  limiter.OnPeerUsage({ aDigest.mSender,
                        aDigest.mIncarnation,
                        aDigest.mIsFull,
                        isEstablished,
                        aDigest.mOrganisationUsage },
                      aNow);
  if (aDigest.mHasEnded) {
    limiter.OnPeerEnd(aDigest.mSender);
  }
  mParts.mEndpoints.SetPeerLoads(aDigest.mSender, aDigest.mLoads);
  mParts.mEndpoints.SetPeerSpeeds(aDigest.mSpeeds);
}

} // namespace bronzering
