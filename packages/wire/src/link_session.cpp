#include <bronzering/wire/link_session.h>

#include <bronzering/base/overloaded.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bronzering {

namespace {

/// Returns aInitial doubled for each failure, limited to aMax.
auto ExponentialDelay(duration aInitial, unsigned aFailures, duration aMax) -> duration
{
  return std::min(aMax, aInitial * (std::int64_t{ 1 } << std::min(aFailures, 16U)));
}

} // namespace

link_session::link_session(process_identity aSelf,
                           std::uint64_t aSession,
                           std::uint64_t aSeed,
                           link_settings aSettings,
                           time_point aNow)
  : mRole(link_role::Opener)
  , mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mSession(aSession)
  , mRandom(aSeed)
  , mLastFrameTime(aNow)
  , mProbeInterval(aSettings.mMinProbeInterval)
{
  StartAttempt(aNow);
}

link_session::link_session(process_identity aSelf,
                           const hello& aHello,
                           std::uint64_t aSeed,
                           link_settings aSettings,
                           time_point aNow)
  : mRole(link_role::Acceptor)
  , mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mPeer(aHello.mIdentity)
  , mSession(aHello.mSession)
  , mRandom(aSeed)
  , mState(connection_state::Unconfirmed)
  , mAttempt(aHello.mAttempt)
  , mHelloPending(true)
  , mLastFrameTime(aNow)
  , mProbeInterval(aSettings.mMinProbeInterval)
  , mOutageStart(aNow)
{
  assert(CanBegin(aHello));
}

auto link_session::CanBegin(const hello& aHello) -> bool
{
  return aHello.mPeerIncarnation == incarnation() && aHello.mReceived == 0 && aHello.mAttempt > 0;
}

auto link_session::RefusalOf(const process_identity& aSelf, const hello& aHello) -> hello
{
  auto result = hello();
  result.mStatus = hello_status::UnknownSession;
  result.mIdentity = aSelf;
  result.mSession = aHello.mSession;
  result.mAttempt = aHello.mAttempt;
  result.mPeerIncarnation = aHello.mIdentity.mIncarnation;
  return result;
}

auto link_session::HelloToSend() const -> hello
{
  auto result = hello();
  result.mIdentity = mSelf;
  result.mSession = mSession;
  result.mAttempt = mAttempt;
  result.mPeerIncarnation = mPeer.mIncarnation;
  result.mReceived = mReceived;
  return result;
}

auto link_session::IsOpen() const -> bool
{
  return mState == connection_state::Unconfirmed || mState == connection_state::Working;
}

auto link_session::CanTimeOut() const -> bool
{
  // An opener that has never reached its peer keeps retrying until it is closed.
  return mRole == link_role::Acceptor || mReportedUp;
}

auto link_session::StartAttempt(time_point aNow) -> void
{
  ++mAttempt;
  mState = connection_state::Connecting;
  mRetryAt.reset();
  mAttemptDeadline =
    aNow + ExponentialDelay(mSettings.mMinAttemptTimeout, mFailures, mSettings.mMaxAttemptTimeout);
  mActions.emplace_back(open_connection{ mAttempt });
}

auto link_session::OnConnected(std::uint64_t aAttempt, time_point) -> void
{
  assert(mRole == link_role::Opener);
  if (!mLost && aAttempt == mAttempt && mState == connection_state::Connecting) {
    mState = connection_state::AwaitingHello;
    mHelloPending = true;
  }
}

auto link_session::OnDisconnected(std::uint64_t aAttempt, time_point aNow) -> void
{
  if (!mLost && aAttempt == mAttempt && mState != connection_state::None) {
    DropConnection(aNow, aNow, !IsOpen());
  }
}

auto link_session::DropConnection(time_point aOutageStart, time_point aNow, bool aIsFailure) -> void
{
  mActions.emplace_back(close_connection{ mAttempt });
  mState = connection_state::None;
  mHelloPending = false;
  mAttemptDeadline.reset();
  mAckAwaitedSince.reset();
  mProbeSentAt.reset();
  mProbePending = false;
  mAckDue.reset();
  mAckPending = false;
  mOutageStart = mOutageStart.value_or(aOutageStart);

  if (mRole == link_role::Acceptor) {
    if (mSuperseded) {
      EndSession(loss_reason::PeerReplaced);
    }
    return;
  }
  // After a connection that worked, the first reconnection attempt starts without delay.
  if (aIsFailure || mFailures > 0) {
    const auto backoff = ExponentialDelay(mSettings.mMinBackoff, mFailures, mSettings.mMaxBackoff);
    mRetryAt = aNow + FromSeconds(ToSeconds(backoff) * (0.5 + mRandom.Uniform01()));
    ++mFailures;
  } else {
    ++mFailures;
    StartAttempt(aNow);
  }
}

auto link_session::OnAccepted(const hello& aHello, time_point aNow) -> bool
{
  assert(mRole == link_role::Acceptor);
  // Connections may arrive out of order; only the one with the highest attempt number is used.
  const auto isSameSession = aHello.mSession == mSession &&
                             aHello.mIdentity.mIncarnation == mPeer.mIncarnation &&
                             (aHello.mPeerIncarnation == mSelf.mIncarnation ||
                              (aHello.mPeerIncarnation == incarnation() && !mReportedUp));
  if (mLost || !isSameSession || aHello.mAttempt <= mAttempt) {
    return false;
  }

  if (mState != connection_state::None) {
    mActions.emplace_back(close_connection{ mAttempt });
  }
  mAttempt = aHello.mAttempt;
  mState = connection_state::Unconfirmed;
  mOutageStart = mOutageStart.value_or(aNow);
  if (!Resume(aHello.mReceived, aNow)) {
    return false;
  }
  mHelloPending = true;
  return true;
}

auto link_session::Resume(std::uint64_t aReceived, time_point aNow) -> bool
{
  // The session cannot resume when the peer no longer has fragments that it acknowledged, or
  // acknowledges fragments that were never sent.
  if (aReceived < mAcknowledged || aReceived >= mNextSequence) {
    EndSession(loss_reason::ProtocolViolation);
    return false;
  }
  ++mCounts.mConnections;
  mNextToResend = 0;
  OnAcknowledged(aReceived, aNow);
  mAckAwaitedSince.reset();
  mProbeSentAt.reset();
  mProbePending = false;
  mAckDue.reset();
  mAckPending = false;
  mProbeInterval = mSettings.mMinProbeInterval;
  mLastFrameTime = aNow;
  return true;
}

auto link_session::ConfirmWorking(time_point) -> void
{
  mState = connection_state::Working;
  mAttemptDeadline.reset();
  if (!mReportedUp) {
    mReportedUp = true;
    mActions.emplace_back(link_up{ mPeer });
  }
  // While fragments are unacknowledged, only a new acknowledgement shows that the link works.
  if (mUnacknowledged.empty()) {
    EndOutage();
  }
}

auto link_session::EndOutage() -> void
{
  mOutageStart.reset();
  if (mReportedSilent) {
    mReportedSilent = false;
    mActions.emplace_back(link_silent{ false });
  }
}

auto link_session::OnFrame(std::uint64_t aAttempt, const frame& aFrame, time_point aNow) -> void
{
  if (mLost || aAttempt != mAttempt || mState == connection_state::None) {
    return;
  }
  if (const auto* reply = std::get_if<hello>(&aFrame)) {
    OnHello(*reply, aNow);
    return;
  }
  if (!IsOpen()) {
    DropConnection(aNow, aNow, true);
    return;
  }
  OnFrameReceived(aNow);
  std::visit(overloaded{ [](const hello&) {},
                         [&](const ack& aAck) {
                           OnAcknowledged(aAck.mReceived, aNow);
                           mAckPending = mAckPending || aAck.mReplyWanted;
                         },
                         [&](const fragment& aFragment) {
                           OnAcknowledged(aFragment.mReceived, aNow);
                           OnFragment(aFragment, aNow);
                         },
                         [&](const goodbye&) { EndSession(loss_reason::PeerClosed); },
                         [](const unknown_frame&) {} },
             aFrame);
}

auto link_session::OnHello(const hello& aHello, time_point aNow) -> void
{
  const auto isReply = mRole == link_role::Opener && mState == connection_state::AwaitingHello &&
                       aHello.mSession == mSession && aHello.mAttempt == mAttempt &&
                       aHello.mPeerIncarnation == mSelf.mIncarnation;
  if (!isReply) {
    DropConnection(aNow, aNow, true);
    return;
  }

  // The session cannot continue with a process that does not know it, or with another process.
  const auto isSamePeer = !mReportedUp || aHello.mIdentity.mIncarnation == mPeer.mIncarnation;
  if (aHello.mStatus != hello_status::Accepted || !isSamePeer) {
    if (mReportedUp) {
      EndSession(loss_reason::PeerReplaced);
    } else {
      DropConnection(aNow, aNow, true);
    }
    return;
  }

  mPeer = aHello.mIdentity;
  if (!Resume(aHello.mReceived, aNow)) {
    return;
  }
  ConfirmWorking(aNow);
  // The ack tells the peer that its hello arrived.
  mAckPending = true;
}

auto link_session::OnFrameReceived(time_point aNow) -> void
{
  mLastFrameTime = aNow;
  mFailures = 0;
  if (mProbeSentAt) {
    mProbeSentAt.reset();
    mProbePending = false;
    mProbeInterval = std::min(mProbeInterval * 2, mSettings.mMaxProbeInterval);
  }
  if (mState == connection_state::Unconfirmed) {
    ConfirmWorking(aNow);
  }
}

auto link_session::Close(time_point aDeadline, time_point aNow) -> void
{
  if (!mLost) {
    mCloseDeadline = aDeadline;
    FinishClosing(aNow);
  }
}

auto link_session::FinishClosing(time_point aNow) -> void
{
  const auto allAcknowledged = mUnacknowledged.empty() && mQueue.IsEmpty();
  if (!mLost && mCloseDeadline && (allAcknowledged || aNow >= *mCloseDeadline || !mReportedUp)) {
    EndSession(loss_reason::Closed);
  }
}

auto link_session::OnSuperseded(time_point) -> void
{
  mSuperseded = true;
  if (!mLost && mState != connection_state::Working) {
    EndSession(loss_reason::PeerReplaced);
  }
}

auto link_session::EndSession(loss_reason aReason) -> void
{
  if (mLost) {
    return;
  }
  mLost = true;
  mGoodbyePending = IsOpen() && aReason != loss_reason::PeerClosed;
  mUnacknowledged.clear();
  mQueue = send_queue();
  mPartial.clear();
  mSendBytes = 0;
  mPartialBytes = 0;
  mActions.emplace_back(link_lost{ aReason });
}

auto link_session::ProbeInterval() const -> duration
{
  // The acceptor waits a fifth longer, so that usually only the opener sends probes.
  return mRole == link_role::Opener ? mProbeInterval : mProbeInterval + mProbeInterval / 5;
}

auto link_session::OnTimer(time_point aNow) -> void
{
  if (mLost) {
    return;
  }
  if (mAckDue && aNow >= *mAckDue) {
    mAckDue.reset();
    mAckPending = true;
  }
  CloseTimedOutConnection(aNow);
  if (mState == connection_state::Working && !mProbeSentAt &&
      aNow >= mLastFrameTime + ProbeInterval()) {
    mProbeSentAt = aNow;
    mProbePending = true;
  }
  if (mRetryAt && aNow >= *mRetryAt) {
    StartAttempt(aNow);
  }
  ReportOutage(aNow);
  FinishClosing(aNow);
}

auto link_session::CloseTimedOutConnection(time_point aNow) -> void
{
  if (mAttemptDeadline && aNow >= *mAttemptDeadline) {
    DropConnection(aNow, aNow, true);
    return;
  }
  for (const auto& since : { mAckAwaitedSince, mProbeSentAt }) {
    if (IsOpen() && since && aNow >= *since + mSettings.mResponseTimeout) {
      DropConnection(*since, aNow, false);
      return;
    }
  }
}

auto link_session::ReportOutage(time_point aNow) -> void
{
  if (mLost || !mOutageStart) {
    return;
  }
  if (mReportedUp && !mReportedSilent && aNow >= *mOutageStart + mSettings.mSilentAfter) {
    mReportedSilent = true;
    mActions.emplace_back(link_silent{ true });
  }
  if (CanTimeOut() && aNow >= *mOutageStart + mSettings.mLostAfter) {
    EndSession(loss_reason::Silence);
  }
}

auto link_session::NextTimer() const -> std::optional<time_point>
{
  if (mLost) {
    return std::nullopt;
  }
  auto next = std::optional<time_point>();
  const auto consider = [&](std::optional<time_point> aTime, duration aDelay = {}) {
    if (aTime && (!next || *aTime + aDelay < *next)) {
      next = *aTime + aDelay;
    }
  };
  consider(mAckDue);
  consider(mAttemptDeadline);
  consider(mRetryAt);
  consider(mCloseDeadline);
  if (IsOpen()) {
    consider(mAckAwaitedSince, mSettings.mResponseTimeout);
    consider(mProbeSentAt, mSettings.mResponseTimeout);
  }
  if (mState == connection_state::Working && !mProbeSentAt) {
    consider(mLastFrameTime, ProbeInterval());
  }
  if (mReportedUp && !mReportedSilent) {
    consider(mOutageStart, mSettings.mSilentAfter);
  }
  if (CanTimeOut()) {
    consider(mOutageStart, mSettings.mLostAfter);
  }
  return next;
}

auto link_session::TakeActions() -> std::vector<link_action>
{
  return std::exchange(mActions, {});
}

} // namespace bronzering
