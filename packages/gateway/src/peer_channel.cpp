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
/// Datagrams that are read in a row. Bounds how long a sender of many holds up everything else.
constexpr auto kMaxReadInRow = 256;

} // namespace

peer_channel::peer_channel(gateway_state& aState, std::function<void()> aOnNewerItems)
  : mState(aState)
  , mOnNewerItems(std::move(aOnNewerItems))
  , mSocket(aState.mContext)
  , mExchange(aState.mSettings.mAddress,
              HashZone(aState.mSettings.mAvailabilityZone),
              NewIncarnation().mValue,
              { aState.mPeers, aState.mEndpoints, aState.mRateLimiter, aState.mQuarantine })
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
  if (!error) {
    mSocket.non_blocking(true, error);
  }
  if (error) {
    return boost::leaf::new_error(io_failure{ "cannot bind the peer port at " +
                                              mState.mSettings.mAddress + ": " + error.message() });
  }
  return {};
}

auto peer_channel::Receive() -> boost::asio::awaitable<void>
{
  for (;;) {
    const auto [error] =
      co_await mSocket.async_wait(boost::asio::ip::udp::socket::wait_read, kUseTuple);
    if (error == boost::asio::error::operation_aborted) {
      co_return;
    }
    // A round of the event loop takes longer the more callers there are. One datagram for each
    // would let digests wait and get lost when the load on the fleet changes most.
    for (auto count = 0; count < kMaxReadInRow && ReadDatagram(); ++count) {
    }
  }
}

auto peer_channel::ReadDatagram() -> bool
{
  auto sender = boost::asio::ip::udp::endpoint();
  auto error = boost::system::error_code();
  const auto count = mSocket.receive_from(boost::asio::buffer(mInput), sender, 0, error);
  if (error) {
    return false;
  }
  auto message = DecodeDigests({ mInput.data(), count });
  if (!message) {
    mState.mMetrics.Counter("bronzering_peer_datagrams_rejected_total").Add();
    return true;
  }
  const auto now = ReadBootClock();
  OnReceived(mExchange.OnMessage(std::move(*message), now), now);
  return true;
}

auto peer_channel::OnReceived(const digest_exchange::received& aReceived, time_point aNow) -> void
{
  if (aReceived.mAccepted.empty()) {
    return;
  }
  SendTo(aReceived.mForwardTo, digest_hop::WithinZone, aReceived.mAccepted);
  for (const auto& changed : aReceived.mRateLimits) {
    ReportRateLimit(changed, aNow);
  }
  ReportPeerChanges(aNow);
  auto isNewer = false;
  const auto& items = mState.mItems;
  for (const auto& digest : aReceived.mAccepted) {
    UpdateConfigurationLag(digest, aNow);
    isNewer = isNewer || digest.mPosition > items.Position() ||
              (digest.mWithheldWrites > items.WithheldCount() && items.MayHaveLateWrites(aNow));
  }
  // Waiting requests are decided about at short intervals anyway; in a large fleet, digests arrive
  // far more often.
  if (isNewer || mState.mConfigurationLag.IsLate(aNow)) {
    mOnNewerItems();
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
    mState.mEndpoints.SetMembers(members, now, IsIsolated());
    SendDigests();
    timer.expires_after(mExchange.Interval());
    co_await timer.async_wait(kUseTuple);
  }
}

auto peer_channel::IsIsolated() const -> bool
{
  const auto& seeds = mState.mSettings.mSeeds;
  return mState.mPeers.MemberCount() == 1 &&
         std::any_of(seeds.begin(), seeds.end(), [this](const std::string& aSeed) {
           return aSeed != mState.mSettings.mAddress;
         });
}

auto peer_channel::AnnounceShutdown() -> void
{
  SendDigests();
}

auto peer_channel::AnnounceEnd() -> void
{
  SendDigests(true);
}

auto peer_channel::SendDigests(bool aHasEnded) -> void
{
  const auto now = ReadBootClock();
  const auto status = digest_exchange::entry_status{
    mState.mShutdown.IsStopping(),
    aHasEnded,
    mState.mRoutes ? mState.mItems.Position() : source_position(),
    mState.ConfigurationVersion(),
    mState.mItems.IsSourceStable(now),
    static_cast<std::uint32_t>(mState.mItems.WithheldCount()),
    mState.mDemand.At(now),
  };
  for (const auto& message : mExchange.TakeMessages(status, now)) {
    SendTo(message.mTargets, message.mMessage.mHop, message.mMessage.mDigests);
  }
}

auto peer_channel::SendTo(const std::vector<std::string>& aTargets,
                          digest_hop aHop,
                          const std::vector<peer_digest>& aDigests) -> void
{
  if (aTargets.empty()) {
    return;
  }
  const auto datagrams = EncodeDigests(aHop, aDigests);
  for (const auto& target : aTargets) {
    auto error = boost::system::error_code();
    const auto address = boost::asio::ip::make_address_v4(target, error);
    if (error) {
      continue; // Only an address that a peer listed, not one that sent a digest, can be invalid.
    }
    for (const auto& datagram : datagrams) {
      // A send error is handled like a lost datagram: a later digest replaces it.
      mSocket.send_to(
        boost::asio::buffer(datagram), { address, mState.mSettings.mPeerPort }, 0, error);
    }
  }
}

auto peer_channel::ReportRateLimit(const digest_exchange::changed_rate_limit& aChanged,
                                   time_point aNow) -> void
{
  const auto& [peer, statement] = aChanged;
  const auto& limit = statement.mLimit;
  mState.mLog.Write(log_priority::Notable,
                    "rate_limit_changed",
                    { { "endpoint", mState.mEndpoints.RateLimits().IdOf(statement.mEndpoint) },
                      { "limit_per_s", limit ? boost::json::value(*limit) : nullptr },
                      { "age_us", statement.mAge.count() },
                      { "peer", peer } },
                    aNow);
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
  for (const auto& change : mExchange.TakeChanges(aNow)) {
    mState.mLog.Write(log_priority::Notable,
                      change.mIsUp ? "peer_up" : "peer_silent",
                      { { "peer", change.mPeer },
                        { "live", mState.mPeers.LiveCount() },
                        { "members", mState.mPeers.MemberCount() } },
                      aNow);
  }
}

} // namespace bronzering
