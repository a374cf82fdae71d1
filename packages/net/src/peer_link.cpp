#include "peer_link.h"

#include <bronzering/base/boot_clock.h>
#include <bronzering/base/overloaded.h>
#include <bronzering/wire/message_codec.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <algorithm>
#include <utility>

namespace bronzering {

namespace {

/// Maximum size of one write, which an urgent message may have to wait for.
constexpr std::size_t kMaxWriteBytes = std::size_t{ 32 } * 1024;

} // namespace

peer_link::peer_link(boost::asio::any_io_executor aStrand,
                     peer_link_settings aSettings,
                     link_callbacks aCallbacks,
                     link_metrics& aMetrics)
  : mStrand(std::move(aStrand))
  , mTimer(mStrand)
  , mSettings(std::move(aSettings))
  , mCallbacks(std::move(aCallbacks))
  , mMetrics(aMetrics)
{
}

template<class Function>
auto peer_link::OnStrand(Function aFunction) -> void
{
  boost::asio::dispatch(
    mStrand,
    [self = shared_from_this(), function = std::move(aFunction)]() mutable { function(*self); });
}

auto peer_link::Open(boost::asio::ip::tcp::endpoint aEndpoint,
                     std::string aListed,
                     std::uint64_t aSession) -> void
{
  OnStrand([aEndpoint, listed = std::move(aListed), aSession](peer_link& aSelf) mutable {
    if (aSelf.mIsAborted) {
      return;
    }
    aSelf.mEndpoint = aEndpoint;
    aSelf.mListed = std::move(listed);
    aSelf.mSession.emplace(aSelf.mSettings.mIdentity,
                           aSession,
                           aSelf.mSettings.mSeed,
                           aSelf.mSettings.mLink,
                           ReadBootClock());
    aSelf.ProcessSession();
  });
}

auto peer_link::Accept(std::shared_ptr<peer_connection> aConnection, hello aHello) -> void
{
  OnStrand([connection = std::move(aConnection), peerHello = std::move(aHello)](peer_link& aSelf) {
    const auto closeConnection = [&] {
      boost::asio::dispatch(connection->Executor(), [connection] { connection->Close(); });
    };
    if (aSelf.mIsAborted || aSelf.mIsFinished) {
      closeConnection();
      return;
    }
    const auto now = ReadBootClock();
    if (!aSelf.mSession) {
      aSelf.mSession.emplace(
        aSelf.mSettings.mIdentity, peerHello, aSelf.mSettings.mSeed, aSelf.mSettings.mLink, now);
    } else if (!aSelf.mSession->OnAccepted(peerHello, now)) {
      closeConnection();
      aSelf.ProcessSession();
      return;
    }
    aSelf.mTransports[peerHello.mAttempt].mConnection = connection;
    // The decoder may hold frames that arrived together with the hello.
    aSelf.HandleFrames(peerHello.mAttempt);
    aSelf.Read(peerHello.mAttempt);
    aSelf.ProcessSession();
  });
}

auto peer_link::Send(peer_message aMessage) -> void
{
  // Posted rather than dispatched, so that messages are not encoded on the caller's thread.
  boost::asio::post(mStrand, [self = shared_from_this(), message = std::move(aMessage)] {
    if (self->mSession && !self->mSession->IsLost()) {
      self->mSession->Send(EncodeMessage(message), ClassOf(message), ReadBootClock());
      self->ProcessSession();
    }
  });
}

auto peer_link::Close(duration aGrace) -> void
{
  OnStrand([aGrace](peer_link& aSelf) {
    if (aSelf.mSession) {
      const auto now = ReadBootClock();
      aSelf.mSession->Close(now + aGrace, now);
      aSelf.ProcessSession();
    }
  });
}

auto peer_link::OnSuperseded() -> void
{
  OnStrand([](peer_link& aSelf) {
    if (aSelf.mSession) {
      aSelf.mSession->OnSuperseded(ReadBootClock());
      aSelf.ProcessSession();
    }
  });
}

auto peer_link::Abort() -> void
{
  OnStrand([](peer_link& aSelf) {
    aSelf.mIsAborted = true;
    aSelf.mTimer.cancel();
    while (!aSelf.mTransports.empty()) {
      aSelf.CloseConnection(aSelf.mTransports.begin()->first);
    }
    aSelf.mSession.reset();
  });
}

auto peer_link::OnHandled(std::size_t aBytes) -> void
{
  const auto before = mUnhandledBytes.fetch_sub(aBytes);
  const auto bound = mSettings.mMaxUnhandledBytes / 2;
  if (before > bound && before - aBytes <= bound) {
    OnStrand([](peer_link& aSelf) {
      for (auto& [attempt, record] : aSelf.mTransports) {
        if (std::exchange(record.mIsPaused, false)) {
          aSelf.Read(attempt);
        }
      }
    });
  }
}

auto peer_link::ProcessSession() -> void
{
  if (mIsAborted || !mSession) {
    return;
  }
  for (auto& action : mSession->TakeActions()) {
    Execute(std::move(action));
  }
  // Executing an action may remove a transport, so the attempts are copied.
  auto attempts = std::vector<std::uint64_t>();
  for (const auto& [attempt, record] : mTransports) {
    if (!record.mIsWriting && mSession->HasOutput(attempt)) {
      attempts.push_back(attempt);
    }
  }
  for (const auto attempt : attempts) {
    Write(attempt);
  }
  UpdateMetrics();
  FlushEvents();
  FinishWhenDone();
  ArmTimer();
}

auto peer_link::Execute(link_action aAction) -> void
{
  std::visit(overloaded{ [&](const open_connection& aOpen) { OpenConnection(aOpen.mAttempt); },
                         [&](const close_connection& aClose) { CloseConnection(aClose.mAttempt); },
                         [&](const link_up& aUp) {
                           mPeer = mCallbacks.mRegister(shared_from_this());
                           mMetrics.mSessions.Add(1);
                           mEvents.emplace_back(peer_up{ *mPeer, aUp.mPeer, mListed });
                         },
                         [&](const link_silent& aSilent) {
                           mEvents.emplace_back(peer_silent{ *mPeer, aSilent.mSilent });
                         },
                         [&](const link_lost& aLost) {
                           if (mPeer) {
                             mMetrics.mSessions.Add(-1);
                             mMetrics.mSessionsLost[static_cast<std::size_t>(aLost.mReason)]->Add();
                             mEvents.emplace_back(peer_down{ *mPeer });
                           }
                         },
                         [&](const link_payload& aPayload) { HandlePayload(aPayload.mBytes); } },
             aAction);
}

auto peer_link::HandlePayload(const std::string& aBytes) -> void
{
  if (mSession->IsLost()) {
    return;
  }
  auto message = DecodeMessage(aBytes);
  if (!message) {
    // The peer is authenticated but sent a malformed message. The session is closed, since
    // continuing would silently lose that message.
    mMetrics.mMalformedInput.Add();
    const auto now = ReadBootClock();
    mSession->Close(now, now);
    boost::asio::post(mStrand, [self = shared_from_this()] { self->ProcessSession(); });
    return;
  }
  if (!*message) {
    mMetrics.mUnknownMessages.Add();
    return;
  }
  mEventBytes += aBytes.size();
  mEvents.emplace_back(peer_received{ *mPeer, **std::move(message) });
}

auto peer_link::OpenConnection(std::uint64_t aAttempt) -> void
{
  auto connection = std::make_shared<peer_connection>(peer_connection::tcp::socket(mStrand),
                                                      mCallbacks.mTlsContext());
  mTransports[aAttempt].mConnection = connection;
  connection->Connect(mEndpoint, [self = shared_from_this(), aAttempt](bool aOk) {
    if (!self->mTransports.contains(aAttempt) || !self->mSession) {
      return;
    }
    if (aOk) {
      self->mSession->OnConnected(aAttempt, ReadBootClock());
      self->Read(aAttempt);
    } else {
      self->mMetrics.mFailedHandshakes.Add();
      self->mSession->OnDisconnected(aAttempt, ReadBootClock());
    }
    self->ProcessSession();
  });
}

auto peer_link::CloseConnection(std::uint64_t aAttempt) -> void
{
  const auto position = mTransports.find(aAttempt);
  if (position == mTransports.end()) {
    return;
  }
  auto connection = std::move(position->second.mConnection);
  mTransports.erase(position);
  boost::asio::dispatch(connection->Executor(), [connection] { connection->Close(); });
}

auto peer_link::Read(std::uint64_t aAttempt) -> void
{
  const auto position = mTransports.find(aAttempt);
  if (position == mTransports.end()) {
    return;
  }
  if (mUnhandledBytes.load() > mSettings.mMaxUnhandledBytes) {
    position->second.mIsPaused = true;
    return;
  }
  const auto connection = position->second.mConnection;
  boost::asio::dispatch(connection->Executor(), [self = shared_from_this(), connection, aAttempt] {
    connection->Read([self, connection, aAttempt](std::string_view aBytes) {
      self->OnStrand([aAttempt, aBytes](peer_link& aSelf) { aSelf.OnBytes(aAttempt, aBytes); });
    });
  });
}

auto peer_link::OnBytes(std::uint64_t aAttempt, std::string_view aBytes) -> void
{
  const auto position = mTransports.find(aAttempt);
  if (position == mTransports.end() || !mSession) {
    return;
  }
  if (aBytes.empty()) {
    CloseConnection(aAttempt);
    mSession->OnDisconnected(aAttempt, ReadBootClock());
    ProcessSession();
    return;
  }
  mMetrics.mBytesReceived.Add(aBytes.size());
  position->second.mConnection->Decoder().Feed(aBytes);
  HandleFrames(aAttempt);
  ProcessSession();
  Read(aAttempt);
}

auto peer_link::HandleFrames(std::uint64_t aAttempt) -> void
{
  const auto connection = mTransports[aAttempt].mConnection;
  const auto now = ReadBootClock();
  while (true) {
    const auto next = connection->Decoder().Next();
    if (!next) {
      mMetrics.mMalformedInput.Add();
      CloseConnection(aAttempt);
      mSession->OnDisconnected(aAttempt, now);
      return;
    }
    if (!*next) {
      return;
    }
    mSession->OnFrame(aAttempt, **next, now);
  }
}

auto peer_link::Write(std::uint64_t aAttempt) -> void
{
  auto& record = mTransports[aAttempt];
  auto bytes = std::string();
  mSession->Produce(aAttempt, kMaxWriteBytes, bytes, ReadBootClock());
  if (bytes.empty()) {
    return;
  }
  mMetrics.mBytesSent.Add(bytes.size());
  record.mIsWriting = true;
  boost::asio::dispatch(
    record.mConnection->Executor(),
    [self = shared_from_this(),
     connection = record.mConnection,
     data = std::move(bytes),
     aAttempt]() mutable {
      connection->Write(std::move(data), [self, aAttempt](bool aOk) {
        self->OnStrand([aAttempt, aOk](peer_link& aSelf) { aSelf.OnWritten(aAttempt, aOk); });
      });
    });
}

auto peer_link::OnWritten(std::uint64_t aAttempt, bool aOk) -> void
{
  const auto position = mTransports.find(aAttempt);
  if (position == mTransports.end() || !mSession) {
    return;
  }
  position->second.mIsWriting = false;
  if (!aOk) {
    CloseConnection(aAttempt);
    mSession->OnDisconnected(aAttempt, ReadBootClock());
  }
  ProcessSession();
}

auto peer_link::ArmTimer() -> void
{
  const auto next = mSession->NextTimer();
  if (next == mTimerExpiry || mIsFinished) {
    return;
  }
  // An earlier expiry is kept: a spurious wake-up costs less than moving the timer on each frame.
  if (next && mTimerExpiry && *mTimerExpiry <= *next) {
    return;
  }
  mTimerExpiry = next;
  if (!next) {
    mTimer.cancel();
    return;
  }
  mTimer.expires_after(std::max(duration(), *next - ReadBootClock()));
  mTimer.async_wait([self = shared_from_this()](boost::system::error_code aError) {
    if (!aError && self->mSession) {
      self->mTimerExpiry.reset();
      self->mSession->OnTimer(ReadBootClock());
      self->ProcessSession();
    }
  });
}

auto peer_link::UpdateMetrics() -> void
{
  const auto& counts = mSession->Counts();
  mMetrics.mMessagesSent.Add(counts.mMessagesSent - mReportedCounts.mMessagesSent);
  mMetrics.mMessagesReceived.Add(counts.mMessagesReceived - mReportedCounts.mMessagesReceived);
  mMetrics.mResentFragments.Add(counts.mResentFragments - mReportedCounts.mResentFragments);
  mMetrics.mDuplicates.Add(counts.mDuplicates - mReportedCounts.mDuplicates);
  // The first connection does not count as a reconnect.
  const auto reconnects = std::max<std::uint64_t>(counts.mConnections, 1);
  mMetrics.mReconnects.Add(reconnects - std::max<std::uint64_t>(mReportedCounts.mConnections, 1));
  mReportedCounts = counts;
}

auto peer_link::FlushEvents() -> void
{
  if (!mEvents.empty()) {
    mUnhandledBytes += mEventBytes;
    mCallbacks.mDeliver(
      shared_from_this(), std::exchange(mEvents, {}), std::exchange(mEventBytes, 0));
  }
}

auto peer_link::FinishWhenDone() -> void
{
  if (!mSession->IsLost() || mIsFinished) {
    return;
  }
  // Connections with pending output stay open, so that the goodbye frame reaches the peer.
  for (auto position = mTransports.begin(); position != mTransports.end();) {
    auto& [attempt, record] = *position;
    if (record.mIsWriting || mSession->HasOutput(attempt)) {
      ++position;
      continue;
    }
    const auto connection = record.mConnection;
    boost::asio::dispatch(connection->Executor(), [connection] { connection->CloseGracefully(); });
    position = mTransports.erase(position);
  }
  if (mTransports.empty()) {
    mIsFinished = true;
    mTimer.cancel();
    mCallbacks.mOnFinished(shared_from_this());
    return;
  }
  // The deadline closes connections to peers that do not read.
  for (auto& [attempt, record] : mTransports) {
    const auto connection = record.mConnection;
    boost::asio::dispatch(connection->Executor(),
                          [connection] { connection->SetDeadline(std::chrono::seconds(1)); });
  }
}

} // namespace bronzering
