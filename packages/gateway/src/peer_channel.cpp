#include "peer_channel.h"

#include "peer_codec.h"

#include <bronzering/base/boot_clock.h>
#include <bronzering/base/incarnation.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace bronzering {

namespace {

constexpr auto kUseTuple = boost::asio::as_tuple(boost::asio::use_awaitable);
/// Minimum time between two digests. The interval grows with the number of live peers, which bounds
/// the number of datagrams that an entry sends and receives a second.
constexpr auto kDigestInterval = duration(std::chrono::milliseconds(40));
constexpr auto kIntervalPerPeer = duration(std::chrono::milliseconds(5));
/// Every how many digests one is full: it carries all totals, learned speeds and known peers.
constexpr auto kFullDigestEvery = 20U;
/// Number of digests that repeat changed crash evidence or rate limits, and of full digests for a
/// new peer, since datagrams may be lost.
constexpr auto kRepeats = 3U;
/// Maximum numbers of rows of crash evidence and statements on rate limits in one digest.
constexpr auto kMaxEvidence = std::size_t{ 48 };
constexpr auto kMaxRateLimits = std::size_t{ 48 };
/// A peer that has sent this many digests has been running for at least 4 s.
constexpr auto kEstablishedSequence = 100U;

} // namespace

peer_channel::peer_channel(gateway_state& aState, std::function<void()> aOnNewerItems)
  : mState(aState)
  , mOnNewerItems(std::move(aOnNewerItems))
  , mSocket(aState.mContext)
  , mIncarnation(NewIncarnation().mValue)
{
}

auto peer_channel::Open() -> outcome<void>
{
  auto error = boost::system::error_code();
  const auto address = boost::asio::ip::make_address_v4(mState.mSettings.mAddress, error);
  if (!error) {
    mSocket.open(boost::asio::ip::udp::v4(), error);
  }
  if (!error) {
    mSocket.bind({ address, mState.mSettings.mPeerPort }, error);
  }
  if (error) {
    return boost::leaf::new_error(io_failure{ "cannot bind the peer port at " +
                                              mState.mSettings.mAddress + ": " + error.message() });
  }
  return {};
}

auto peer_channel::Receive() -> boost::asio::awaitable<void>
{
  auto sender = boost::asio::ip::udp::endpoint();
  for (;;) {
    auto [error, count] =
      co_await mSocket.async_receive_from(boost::asio::buffer(mInput), sender, kUseTuple);
    if (error == boost::asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue;
    }
    const auto digest = DecodeDigest({ mInput.data(), count });
    const auto now = ReadBootClock();
    if (!digest || !mState.mPeers.OnDigest(*digest, now)) {
      continue;
    }
    const auto isEstablished = digest->mSequence > kEstablishedSequence;
    if (isEstablished) {
      mState.mRateLimiter.OnEstablishedPeer(now);
    }
    if (digest->mIsLeaving) {
      mState.mRateLimiter.OnPeerShutdown(digest->mSender);
    } else {
      mState.mRateLimiter.OnPeerUsage({ digest->mSender,
                                        digest->mIncarnation,
                                        digest->mIsFull,
                                        isEstablished,
                                        digest->mOrganisationUsage },
                                      now);
    }
    mState.mQuarantine.Merge(digest->mCrashEvidence, now);
    auto& rateLimits = mState.mEndpoints.RateLimits();
    ReportRateLimits(digest->mSender, rateLimits.Merge(digest->mRateLimits, now), now);
    mState.mEndpoints.SetPeerLoads(digest->mSender, digest->mLoads);
    mState.mEndpoints.SetPeerSpeeds(digest->mSpeeds);
    ReportPeerChanges(now);
    UpdateConfigurationLag(*digest, now);
    mState.mDispatchWaiter.Wake();
    if (digest->mPosition > mState.mItems.Position() || mState.mConfigurationLag.IsLate(now)) {
      mOnNewerItems();
    }
  }
}

auto peer_channel::Send() -> boost::asio::awaitable<void>
{
  auto timer = boost::asio::steady_timer(mState.mContext);
  while (mSocket.is_open()) {
    const auto now = ReadBootClock();
    ReportPeerChanges(now);
    auto members = mState.mPeers.Demands();
    members.push_back({ mState.mSettings.mAddress, mState.mDemand.At(now) });
    mState.mEndpoints.RateLimits().SetMembers(std::move(members), now);
    SendDigest();
    const auto peers = static_cast<duration::rep>(mState.mPeers.LivePeers().size());
    timer.expires_after(std::max(kDigestInterval, kIntervalPerPeer * peers));
    co_await timer.async_wait(kUseTuple);
  }
}

auto peer_channel::AnnounceShutdown() -> void
{
  SendDigest();
}

auto peer_channel::SendDigest() -> void
{
  auto digest = peer_digest();
  digest.mSender = mState.mSettings.mAddress;
  digest.mIncarnation = mIncarnation;
  digest.mSequence = ++mSequence;
  digest.mIsLeaving = mState.mIsStopping;
  digest.mPosition = mState.mRoutes ? mState.mItems.Position() : source_position();
  digest.mConfigurationVersion = mState.ConfigurationVersion();
  digest.mIsSourceStable = mState.mItems.IsSourceStable(ReadBootClock());
  digest.mDemand = mState.mDemand.At(ReadBootClock());
  digest.mLoads = mState.mEndpoints.OwnLoads();
  digest.mOrganisationUsage = mState.mRateLimiter.Totals();
  // Only full digests carry data that changes slowly, and the unchanged totals, whose last datagram
  // may have been lost.
  digest.mIsFull = mSequence % kFullDigestEvery == 1 || mFullRepeats > 0;
  mFullRepeats -= std::min(mFullRepeats, 1U);
  if (digest.mIsFull) {
    digest.mSpeeds = mState.mEndpoints.OwnSpeeds();
    digest.mPeers = mState.mPeers.LivePeers();
  } else {
    digest.mOrganisationUsage = ChangedUsage(std::move(digest.mOrganisationUsage));
  }
  UpdateRepeats();
  if (mEvidenceRepeats > 0 || digest.mIsFull) {
    digest.mCrashEvidence = mState.mQuarantine.Evidence(kMaxEvidence, ReadBootClock());
    mEvidenceRepeats -= std::min(mEvidenceRepeats, 1U);
  }
  if (mRateLimitRepeats > 0 || digest.mIsFull) {
    digest.mRateLimits =
      mState.mEndpoints.RateLimits().TakeStatements(kMaxRateLimits, ReadBootClock());
    mRateLimitRepeats -= std::min(mRateLimitRepeats, 1U);
  }
  const auto bytes = EncodeDigest(digest);
  for (const auto& target : mState.mPeers.Targets(ReadBootClock())) {
    auto error = boost::system::error_code();
    const auto address = boost::asio::ip::make_address_v4(target, error);
    if (!error) {
      // A send error is handled like a lost datagram: a later digest replaces it.
      mSocket.send_to(
        boost::asio::buffer(bytes), { address, mState.mSettings.mPeerPort }, 0, error);
    }
  }
}

auto peer_channel::ChangedUsage(std::vector<organisation_usage> aTotals)
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

auto peer_channel::UpdateRepeats() -> void
{
  if (mState.mQuarantine.Changes() != mSentEvidenceChanges) {
    mSentEvidenceChanges = mState.mQuarantine.Changes();
    mEvidenceRepeats = kRepeats;
  }
  const auto& rateLimits = mState.mEndpoints.RateLimits();
  if (rateLimits.Changes() != mSentRateLimitChanges) {
    mSentRateLimitChanges = rateLimits.Changes();
    RepeatRateLimits();
  }
}

auto peer_channel::RepeatRateLimits() -> void
{
  // Digests go through all statements in turn.
  const auto limited = mState.mEndpoints.RateLimits().LimitedCount();
  mRateLimitRepeats = kRepeats * static_cast<std::uint32_t>(1 + limited / kMaxRateLimits);
}

auto peer_channel::ReportRateLimits(const std::string& aPeer,
                                    const std::vector<rate_limit_statement>& aChanged,
                                    time_point aNow) -> void
{
  for (const auto& statement : aChanged) {
    const auto& limit = statement.mLimit;
    mState.mLog.Write(log_priority::Notable,
                      "rate_limit_changed",
                      { { "endpoint", mState.mEndpoints.RateLimits().IdOf(statement.mEndpoint) },
                        { "limit_per_s", limit ? boost::json::value(*limit) : nullptr },
                        { "age_us", statement.mAge.count() },
                        { "peer", aPeer } },
                      aNow);
  }
}

auto peer_channel::UpdateConfigurationLag(const peer_digest& aDigest, time_point aNow) -> void
{
  auto& lag = mState.mConfigurationLag;
  const auto own = mState.ConfigurationVersion();
  lag.Update(own, aDigest.mConfigurationVersion, aNow);
  if (!lag.IsLate(aNow) || lag.ExpectedVersion() == mReportedVersion) {
    return;
  }
  mReportedVersion = lag.ExpectedVersion();
  mState.mLog.Write(log_priority::Notable,
                    "configuration_late",
                    { { "version", own },
                      { "expected", lag.ExpectedVersion() },
                      { "peer", aDigest.mSender },
                      { "peer_version", aDigest.mConfigurationVersion },
                      { "source_reachable", mState.mItems.IsSourceReachable() },
                      { "since_answer_us", mState.SinceSourceAnswer(aNow).count() } },
                    aNow);
}

auto peer_channel::ReportPeerChanges(time_point aNow) -> void
{
  for (const auto& change : mState.mPeers.TakeChanges(aNow)) {
    if (change.mIsUp) {
      // A peer that has just started knows nothing yet.
      mFullRepeats = kRepeats;
      RepeatRateLimits();
    } else {
      mState.mEndpoints.DropPeer(change.mPeer);
    }
    mState.mLog.Write(log_priority::Notable,
                      change.mIsUp ? "peer_up" : "peer_silent",
                      { { "peer", change.mPeer },
                        { "live", mState.mPeers.LivePeers().size() },
                        { "members", mState.mPeers.MemberCount() } },
                      aNow);
  }
}

} // namespace bronzering
