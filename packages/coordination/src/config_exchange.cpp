#include <bronzering/coordination/config_exchange.h>

#include <bronzering/base/hash.h>

#include <boost/json.hpp>

#include <algorithm>

namespace bronzering {

namespace {

/// How long a starting process waits for its peers before it applies a document of the
/// configuration service, which may be stale.
constexpr auto kStartupPeerTimeout = std::chrono::seconds(3);
/// Timeout for a peer's reply to a request for sections, after which the next peer is asked.
constexpr auto kReplyTimeout = std::chrono::seconds(1);
/// Periodic announcements propagate the time of the last confirmation to processes that do not read
/// the configuration service. One per peer every 30 seconds costs about 2 bytes per second and
/// link.
constexpr auto kAnnounceInterval = std::chrono::seconds(30);
/// Age sent if the configuration was never confirmed.
constexpr auto kNeverConfirmed = duration::max() / 4;

auto ToUnixSeconds(wall_time aTime) -> std::int64_t
{
  return std::chrono::duration_cast<std::chrono::seconds>(aTime.time_since_epoch()).count();
}

} // namespace

auto config_exchange::RecordStart(instant aNow) -> void
{
  mStarted = mStarted.value_or(aNow.mMonotonic);
}

auto config_exchange::OnPeerUp(peer_id aPeer, instant aNow) -> void
{
  RecordStart(aNow);
  mPeers[aPeer] = {};
  Send(aPeer, FullDigest(aNow));
  if (!mNextAnnouncement) {
    mNextAnnouncement = aNow.mMonotonic + kAnnounceInterval;
  }
}

auto config_exchange::OnPeerDown(peer_id aPeer) -> void
{
  mPeers.erase(aPeer);
}

auto config_exchange::OnDigest(peer_id aPeer, const config_digest& aDigest, instant aNow) -> void
{
  const auto peer = mPeers.find(aPeer);
  if (peer == mPeers.end()) {
    return;
  }
  peer->second.mAnnouncedRevision = std::max(peer->second.mAnnouncedRevision, aDigest.mRevision);

  // Reply to a full digest with all sections that are newer in this process.
  auto theirsIsNewer = aDigest.mRevision > mStore.Revision();
  const auto isFull = !aDigest.mSections.empty() || aDigest.mRevision == revision{};
  if (isFull) {
    auto lacking = config_sections{ .mRevision = mStore.Revision(),
                                    .mSections = {},
                                    .mAllNames = mStore.Names(),
                                    .mConfirmedAgo = {} };
    for (const auto& [ownName, section] : mStore.Sections()) {
      const auto& name = ownName;
      // A section that the latest document does not contain is still active here only because its
      // removal was rejected. It must not be sent to peers.
      if (!std::binary_search(lacking.mAllNames.begin(), lacking.mAllNames.end(), name)) {
        continue;
      }
      const auto known = std::find_if(aDigest.mSections.begin(),
                                      aDigest.mSections.end(),
                                      [&](const auto& aKnown) { return aKnown.mName == name; });
      if (known == aDigest.mSections.end()) {
        if (mStore.Revision() >= aDigest.mRevision) {
          lacking.mSections.push_back(section);
        }
      } else if (HashText(section.mText) == known->mHash) {
        // Identical text; at most the revision numbers differ.
      } else if (section.mRevision > known->mRevision) {
        lacking.mSections.push_back(section);
      } else if (section.mRevision < known->mRevision) {
        theirsIsNewer = true;
      }
    }
    if (!lacking.mSections.empty() || mStore.Revision() > aDigest.mRevision) {
      lacking.mConfirmedAgo = ConfirmedAgo(aNow);
      Send(aPeer, std::move(lacking));
    }
  } else if (aDigest.mRevision < mStore.Revision()) {
    Send(aPeer, Announcement(aNow));
  }
  RecordConfirmation(aDigest.mRevision, aDigest.mConfirmedAgo, aNow);

  // A reply from one peer completes the startup wait, unless its newer sections are still to
  // arrive.
  if (!theirsIsNewer) {
    BecomeReady(aNow);
  } else if (isFull) {
    // The peer received the full digest of this process when the session was established and will
    // reply to it.
    peer->second.mRequestedRevision = std::max(peer->second.mRequestedRevision, aDigest.mRevision);
    mReplyDeadline = mReplyDeadline.value_or(aNow.mMonotonic + kReplyTimeout);
  } else {
    RequestNewerSections(aNow);
  }
}

auto config_exchange::OnSections(peer_id aPeer, const config_sections& aSections, instant aNow)
  -> void
{
  const auto peer = mPeers.find(aPeer);
  if (peer != mPeers.end()) {
    peer->second.mAnnouncedRevision =
      std::max(peer->second.mAnnouncedRevision, aSections.mRevision);
    peer->second.mRequestedRevision =
      std::max(peer->second.mRequestedRevision, aSections.mRevision);
  }
  const auto before = mStore.Revision();
  const auto current = mStore.Current();
  mStore.ApplySections(aSections.mRevision, aSections.mSections, aSections.mAllNames);
  mChanged = mChanged || mStore.Current() != current;
  RecordConfirmation(aSections.mRevision, aSections.mConfirmedAgo, aNow);
  mReplyDeadline.reset();
  AnnounceChange(before, aPeer, aNow);
  BecomeReady(aNow);
  RequestNewerSections(aNow);
}

auto config_exchange::OnDocument(revision aRevision, std::string_view aDocument, instant aNow)
  -> void
{
  RecordStart(aNow);
  if (mReady) {
    ApplyDocument(aRevision, aDocument, aNow);
  } else if (!mDeferredDocument || mDeferredDocument->first < aRevision) {
    mDeferredDocument.emplace(aRevision, std::string(aDocument));
  }
}

auto config_exchange::ApplyDocument(revision aRevision, std::string_view aDocument, instant aNow)
  -> void
{
  const auto before = mStore.Revision();
  const auto current = mStore.Current();
  mStore.ApplyDocument(aRevision, aDocument);
  mChanged = mChanged || mStore.Current() != current;
  RecordConfirmation(aRevision, duration::zero(), aNow);
  AnnounceChange(before, std::nullopt, aNow);
}

auto config_exchange::AnnounceChange(revision aBefore, std::optional<peer_id> aSource, instant aNow)
  -> void
{
  if (mStore.Revision() == aBefore) {
    return;
  }
  mActiveSince = aNow.mWall;
  for (const auto& [peer, known] : mPeers) {
    if (peer != aSource && known.mAnnouncedRevision < mStore.Revision()) {
      Send(peer, Announcement(aNow));
    }
  }
}

auto config_exchange::OnPeersListed(bool aAnyListed, instant aNow) -> void
{
  RecordStart(aNow);
  if (!aAnyListed) {
    BecomeReady(aNow);
  }
}

auto config_exchange::BecomeReady(instant aNow) -> void
{
  if (mReady) {
    return;
  }
  mReady = true;
  if (mDeferredDocument) {
    const auto [held, text] = *std::exchange(mDeferredDocument, std::nullopt);
    ApplyDocument(held, text, aNow);
  }
}

auto config_exchange::RequestNewerSections(instant aNow) -> void
{
  if (mReplyDeadline && aNow.mMonotonic < *mReplyDeadline) {
    return;
  }
  mReplyDeadline.reset();
  for (auto& [peer, known] : mPeers) {
    if (known.mAnnouncedRevision > mStore.Revision() &&
        known.mRequestedRevision < known.mAnnouncedRevision) {
      known.mRequestedRevision = known.mAnnouncedRevision;
      mReplyDeadline = aNow.mMonotonic + kReplyTimeout;
      Send(peer, FullDigest(aNow));
      return;
    }
  }
}

auto config_exchange::OnTimer(instant aNow) -> void
{
  RecordStart(aNow);
  if (!mReady && aNow.mMonotonic >= *mStarted + kStartupPeerTimeout) {
    BecomeReady(aNow);
  }
  if (mReplyDeadline && aNow.mMonotonic >= *mReplyDeadline) {
    RequestNewerSections(aNow);
  }
  if (mNextAnnouncement && aNow.mMonotonic >= *mNextAnnouncement) {
    mNextAnnouncement = aNow.mMonotonic + kAnnounceInterval;
    for (const auto& [peer, known] : mPeers) {
      Send(peer, Announcement(aNow));
    }
  }
}

auto config_exchange::NextTimer() const -> std::optional<time_point>
{
  auto next = mNextAnnouncement;
  const auto include = [&](time_point aTime) { next = next ? std::min(*next, aTime) : aTime; };
  if (!mReady) {
    include(mStarted ? *mStarted + kStartupPeerTimeout : time_point{});
  }
  if (mReplyDeadline) {
    include(*mReplyDeadline);
  }
  return next;
}

auto config_exchange::FullDigest(instant aNow) const -> config_digest
{
  auto digest = config_digest{ .mRevision = {}, .mSections = {}, .mConfirmedAgo = {} };
  for (const auto& [name, section] : mStore.Sections()) {
    digest.mSections.push_back({ name, section.mRevision, HashText(section.mText) });
  }
  if (!digest.mSections.empty()) {
    digest.mRevision = mStore.Revision();
  }
  digest.mConfirmedAgo = ConfirmedAgo(aNow);
  return digest;
}

auto config_exchange::Announcement(instant aNow) const -> config_digest
{
  return { .mRevision = mStore.Revision(), .mSections = {}, .mConfirmedAgo = ConfirmedAgo(aNow) };
}

auto config_exchange::ConfirmedAgo(instant aNow) const -> duration
{
  return mConfirmedAt ? std::max(duration::zero(), aNow.mMonotonic - *mConfirmedAt)
                      : duration(kNeverConfirmed);
}

auto config_exchange::RecordConfirmation(revision aRevision, duration aAgo, instant aNow) -> void
{
  // A confirmation of a different revision does not apply to the active one.
  if (aRevision != mStore.Revision() || aRevision == revision{} || aAgo < duration::zero() ||
      aAgo >= kNeverConfirmed) {
    return;
  }
  const auto confirmed = aNow.mMonotonic - aAgo;
  if (!mConfirmedAt || confirmed > *mConfirmedAt) {
    mConfirmedAt = confirmed;
  }
}

auto config_exchange::Send(peer_id aPeer, peer_message aMessage) -> void
{
  mMessages.emplace_back(aPeer, std::move(aMessage));
}

auto config_exchange::TakeMessages() -> std::vector<std::pair<peer_id, peer_message>>
{
  return std::exchange(mMessages, {});
}

auto config_exchange::TakeChanged() -> bool
{
  return std::exchange(mChanged, false);
}

auto config_exchange::Current() const -> std::shared_ptr<const fleet_config>
{
  return mStore.Current();
}

auto config_exchange::Dump(instant aNow) const -> boost::json::value
{
  auto sections = boost::json::object{};
  for (const auto& [name, section] : mStore.Sections()) {
    sections[name] = section.mRevision.mValue;
  }
  auto rejected = boost::json::array{};
  for (const auto& problem : mStore.Problems()) {
    rejected.push_back(
      boost::json::object{ { "section", problem.mSection }, { "why", ToString(problem) } });
  }
  auto dump = boost::json::object{ { "revision", mStore.Revision().mValue },
                                   { "ready", mReady },
                                   { "sections", std::move(sections) },
                                   { "rejected", std::move(rejected) } };
  if (mActiveSince) {
    dump["in_force_since"] = ToUnixSeconds(*mActiveSince);
  }
  if (mConfirmedAt) {
    dump["confirmed_seconds_ago"] = ToSeconds(ConfirmedAgo(aNow));
  }
  return dump;
}

} // namespace bronzering
