// Message transfer in link_session: sequence numbers, acknowledgement and reassembly.

#include <bronzering/wire/link_session.h>

#include <algorithm>
#include <utility>

namespace bronzering {

namespace {

/// Memory overhead counted for each buffered message, so that the limit also holds for many small
/// messages.
constexpr std::size_t kMessageOverheadBytes = 128;

} // namespace

auto link_session::OnAcknowledged(std::uint64_t aReceived, time_point aNow) -> void
{
  if (aReceived >= mNextSequence) {
    EndSession(loss_reason::ProtocolViolation);
    return;
  }
  if (aReceived <= mAcknowledged) {
    return;
  }

  // Release the fragments that the peer has received.
  mAcknowledged = aReceived;
  while (!mUnacknowledged.empty() && mUnacknowledged.front().mSequence <= aReceived) {
    const auto& done = mUnacknowledged.front().mFragment;
    if (done.mLast) {
      mSendBytes -= done.mPayload->size() + kMessageOverheadBytes;
    }
    mUnacknowledged.pop_front();
    mNextToResend -= std::min<std::size_t>(mNextToResend, 1);
  }

  // A new acknowledgement shows that both directions work.
  if (mNextToResend > 0) {
    mAckAwaitedSince = aNow;
  } else {
    mAckAwaitedSince.reset();
  }
  if (mState == connection_state::Working) {
    EndOutage();
  }
  FinishClosing(aNow);
}

auto link_session::OnFragment(const fragment& aFragment, time_point aNow) -> void
{
  if (mLost) {
    return;
  }
  if (aFragment.mSequence <= mReceived) {
    ++mCounts.mDuplicates;
    mAckPending = true;
    return;
  }
  if (aFragment.mSequence != mReceived + 1) {
    DropConnection(aNow, aNow, true);
    return;
  }

  mReceived = aFragment.mSequence;
  mProbeInterval = mSettings.mMinProbeInterval;
  mBytesSinceAck += aFragment.mBytes.size();
  if (mBytesSinceAck >= mSettings.mAckBytes) {
    mAckPending = true;
  } else if (!mAckDue) {
    mAckDue = aNow + mSettings.mAckDelay;
  }
  Reassemble(aFragment);
}

auto link_session::Reassemble(const fragment& aFragment) -> void
{
  // Fast path for a message that consists of one fragment.
  const auto position = mPartial.find(aFragment.mStream);
  if (position == mPartial.end() && aFragment.mLast) {
    ++mCounts.mMessagesReceived;
    mActions.emplace_back(link_payload{ std::string(aFragment.mBytes) });
    return;
  }

  auto& partial = position == mPartial.end() ? mPartial[aFragment.mStream] : position->second;
  partial.append(aFragment.mBytes);
  mPartialBytes += aFragment.mBytes.size();
  if (partial.size() > mSettings.mMaxMessageBytes || mPartialBytes > mSettings.mMaxPartialBytes) {
    EndSession(loss_reason::ProtocolViolation);
    return;
  }
  if (aFragment.mLast) {
    ++mCounts.mMessagesReceived;
    mPartialBytes -= partial.size();
    mActions.emplace_back(link_payload{ std::move(partial) });
    mPartial.erase(aFragment.mStream);
  }
}

auto link_session::Send(std::string aPayload, message_class aClass, time_point) -> void
{
  if (mLost) {
    return;
  }
  const auto bufferedBytes = aPayload.size() + kMessageOverheadBytes;
  if (aPayload.size() > mSettings.mMaxMessageBytes ||
      mSendBytes + bufferedBytes > mSettings.mMaxResendBytes) {
    EndSession(loss_reason::Overflow);
    return;
  }
  mSendBytes += bufferedBytes;
  ++mCounts.mMessagesSent;
  mQueue.Push(std::move(aPayload), aClass);
}

auto link_session::HasOutput(std::uint64_t aAttempt) const -> bool
{
  if (aAttempt != mAttempt) {
    return false;
  }
  if (mHelloPending) {
    return true;
  }
  if (!IsOpen()) {
    return false;
  }
  return mGoodbyePending || (!mLost && (mAckPending || mProbePending || !mQueue.IsEmpty() ||
                                        mNextToResend < mUnacknowledged.size()));
}

auto link_session::Produce(std::uint64_t aAttempt,
                           std::size_t aMaxBytes,
                           std::string& aOut,
                           time_point aNow) -> void
{
  if (!HasOutput(aAttempt)) {
    return;
  }
  if (mHelloPending) {
    mHelloPending = false;
    AppendFrame(HelloToSend(), aOut);
  }
  if (!IsOpen()) {
    return;
  }
  if (mGoodbyePending) {
    mGoodbyePending = false;
    AppendFrame(goodbye(), aOut);
  }
  if (mLost) {
    return;
  }

  // Fragments that an earlier connection may have lost are resent first, because their sequence
  // numbers are lower.
  const auto limit = aOut.size() + aMaxBytes;
  while (mNextToResend < mUnacknowledged.size() && aOut.size() < limit) {
    ++mCounts.mResentFragments;
    AppendSequenced(mUnacknowledged[mNextToResend++], aOut, aNow);
  }
  while (mNextToResend == mUnacknowledged.size() && aOut.size() < limit) {
    auto next = mQueue.Pop();
    if (!next) {
      break;
    }
    mUnacknowledged.push_back({ mNextSequence++, *std::move(next) });
    ++mNextToResend;
    AppendSequenced(mUnacknowledged.back(), aOut, aNow);
  }

  if (mAckPending || mProbePending) {
    AppendFrame(ack{ mReceived, mProbePending }, aOut);
    mAckPending = false;
    mProbePending = false;
    mAckDue.reset();
    mBytesSinceAck = 0;
  }
}

auto link_session::AppendSequenced(const sequenced_fragment& aSequenced,
                                   std::string& aOut,
                                   time_point aNow) -> void
{
  const auto& part = aSequenced.mFragment;
  AppendFrame(fragment{ aSequenced.mSequence, mReceived, part.mStream, part.mLast, part.Bytes() },
              aOut);
  mAckAwaitedSince = mAckAwaitedSince.value_or(aNow);
  mProbeInterval = mSettings.mMinProbeInterval;

  // The fragment carries an acknowledgement and expects one, so no separate ack is needed.
  mAckPending = false;
  mProbePending = false;
  mAckDue.reset();
  mBytesSinceAck = 0;
}

} // namespace bronzering
