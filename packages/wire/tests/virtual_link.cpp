#include "virtual_link.h"

#include <bronzering/base/overloaded.h>

namespace bronzering {

virtual_link::virtual_link(std::uint64_t aSeed)
  : mRandom(aSeed)
{
  mSides[0].mIdentity = { process_role::Entry, "vm-a", "zone-1", "", { 100 } };
  mSides[1].mIdentity = { process_role::Agent, "vm-b", "zone-1", "lamp", { 200 } };
  mSides[0].mSession = std::make_unique<link_session>(
    mSides[0].mIdentity, mRandom.Bits(), aSeed, link_settings(), mNow);
}

auto virtual_link::Schedule(duration aDelay, std::function<void()> aEvent) -> void
{
  mEvents.emplace(mNow + aDelay, std::move(aEvent));
}

auto virtual_link::Run(duration aTime) -> void
{
  const auto end = mNow + aTime;
  ProcessSides();
  while (true) {
    // The earliest of the next network event, the sessions' timers and the end of the run.
    auto next = end;
    if (!mEvents.empty()) {
      next = std::min(next, mEvents.begin()->first);
    }
    for (const auto& side : mSides) {
      if (side.mSession && side.mSession->NextTimer()) {
        next = std::min(next, std::max(mNow, *side.mSession->NextTimer()));
      }
    }
    mNow = next;
    for (auto& side : mSides) {
      if (side.mSession && side.mSession->NextTimer() && *side.mSession->NextTimer() <= mNow) {
        side.mSession->OnTimer(mNow);
      }
    }
    ProcessSides();
    if (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const auto event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
      ProcessSides();
    } else if (mNow >= end) {
      return;
    }
  }
}

auto virtual_link::Send(int aSide, std::size_t aBytes) -> void
{
  auto& side = mSides[Index(aSide)];
  auto text = std::to_string(side.mSent.size()) + ":" + std::string(aBytes, 'x');
  side.mSent.push_back(text);
  // All messages share one ordering key, so that the tests can compare whole sequences.
  side.mSession->Send(std::move(text), { message_urgency::Bulk, { 1, 1 } }, mNow);
  ProcessSides();
}

auto virtual_link::Close(int aSide, duration aTimeout) -> void
{
  mSides[Index(aSide)].mSession->Close(mNow + aTimeout, mNow);
  ProcessSides();
}

auto virtual_link::Disconnect(bool aNotifyOpener, bool aNotifyAcceptor) -> void
{
  auto& connection = mConnections[mCurrentAttempt];
  connection.mDropsFrom = { true, true };
  const auto isNotified = std::array{ aNotifyOpener, aNotifyAcceptor };
  for (const auto side : { 0, 1 }) {
    if (isNotified[Index(side)] && mSides[Index(side)].mSession) {
      mSides[Index(side)].mSession->OnDisconnected(mCurrentAttempt, mNow);
    }
  }
  ProcessSides();
}

auto virtual_link::DropTraffic(bool aFromOpener, bool aBoth) -> void
{
  auto& connection = mConnections[mCurrentAttempt];
  connection.mDropsFrom[aFromOpener ? 0 : 1] = true;
  if (aBoth) {
    connection.mDropsFrom = { true, true };
  }
}

auto virtual_link::SetNetwork(bool aWorks) -> void
{
  mNetworkWorks = aWorks;
  if (!aWorks) {
    DropTraffic(true, true);
  }
}

auto virtual_link::RestartAcceptor() -> void
{
  Disconnect(false, false);
  mSides[1].mSession.reset();
  mSides[1].mIdentity.mIncarnation = { 201 };
}

auto virtual_link::ProcessSides() -> void
{
  while (ProcessSide(0) || ProcessSide(1)) {
  }
}

auto virtual_link::ProcessSide(int aSide) -> bool
{
  auto& side = mSides[Index(aSide)];
  if (!side.mSession) {
    return false;
  }
  auto madeProgress = false;
  for (auto& action : side.mSession->TakeActions()) {
    madeProgress = true;
    HandleAction(aSide, std::move(action));
  }
  for (const auto& [attempt, connection] : mConnections) {
    if (side.mSession->HasOutput(attempt)) {
      madeProgress = true;
      auto bytes = std::string();
      side.mSession->Produce(attempt, 32'000, bytes, mNow);
      Transmit(aSide, attempt, std::move(bytes));
    }
  }
  return madeProgress;
}

auto virtual_link::HandleAction(int aSide, link_action aAction) -> void
{
  auto& side = mSides[Index(aSide)];
  std::visit(
    overloaded{
      [&](const open_connection& aOpen) {
        const auto attempt = aOpen.mAttempt;
        mConnections[attempt];
        const auto delay =
          std::exchange(mAttemptDelay, duration()) + duration(mRandom.UniformBelow(2000));
        if (mNetworkWorks) {
          mCurrentAttempt = attempt;
          Schedule(delay, [this, attempt] { mSides[0].mSession->OnConnected(attempt, mNow); });
        }
      },
      [&](const close_connection& aClose) { CloseFrom(aSide, aClose.mAttempt); },
      [&](const link_up&) { side.mUp = true; },
      [&](const link_silent& aSilent) {
        side.mSilent = aSilent.mSilent;
        side.mWasSilent = side.mWasSilent || aSilent.mSilent;
      },
      [&](const link_lost& aLost) { side.mLoss = aLost.mReason; },
      [&](link_payload& aPayload) { side.mReceived.push_back(std::move(aPayload.mBytes)); } },
    aAction);
}

auto virtual_link::CloseFrom(int aSide, std::uint64_t aAttempt) -> void
{
  auto& connection = mConnections[aAttempt];
  connection.mClosed[Index(aSide)] = true;
  if (connection.mDropsFrom[Index(aSide)]) {
    return;
  }
  // The peer sees the close after all data sent before it.
  const auto arrival = std::max(connection.mLastArrival[Index(1 - aSide)], mNow + duration(500));
  Schedule(arrival - mNow, [this, aSide, aAttempt] {
    if (auto& session = mSides[Index(1 - aSide)].mSession) {
      session->OnDisconnected(aAttempt, mNow);
    }
  });
}

auto virtual_link::Transmit(int aFrom, std::uint64_t aAttempt, std::string aBytes) -> void
{
  auto& connection = mConnections[aAttempt];
  ++mTransmissions;
  if (connection.mDropsFrom[Index(aFrom)]) {
    return;
  }
  auto& last = connection.mLastArrival[Index(1 - aFrom)];
  last = std::max(last, mNow + duration(200 + mRandom.UniformBelow(5000)));
  Schedule(last - mNow, [this, aFrom, aAttempt, bytes = std::move(aBytes)] {
    if (!mConnections[aAttempt].mDropsFrom[Index(aFrom)]) {
      Receive(1 - aFrom, aAttempt, bytes);
    }
  });
}

auto virtual_link::Receive(int aTo, std::uint64_t aAttempt, const std::string& aBytes) -> void
{
  auto& connection = mConnections[aAttempt];
  if (connection.mClosed[Index(aTo)]) {
    return;
  }
  auto& decoder = connection.mDecoders[Index(aTo)];
  decoder.Feed(aBytes);
  while (true) {
    const auto next = decoder.Next();
    if (!next || !*next) {
      return;
    }
    if (aTo == 1 && std::holds_alternative<hello>(**next)) {
      AcceptHello(aAttempt, std::get<hello>(**next));
    } else if (mSides[Index(aTo)].mSession) {
      mSides[Index(aTo)].mSession->OnFrame(aAttempt, **next, mNow);
    }
  }
}

auto virtual_link::AcceptHello(std::uint64_t aAttempt, const hello& aHello) -> void
{
  auto& acceptor = mSides[1];
  if (acceptor.mSession && acceptor.mSession->OnAccepted(aHello, mNow)) {
    return;
  }
  if (!acceptor.mSession && link_session::CanBegin(aHello)) {
    acceptor.mSession =
      std::make_unique<link_session>(acceptor.mIdentity, aHello, 3, link_settings(), mNow);
    return;
  }
  if (!acceptor.mSession) {
    auto reply = std::string();
    AppendFrame(link_session::RefusalOf(acceptor.mIdentity, aHello), reply);
    Transmit(1, aAttempt, std::move(reply));
  }
  CloseFrom(1, aAttempt);
}

} // namespace bronzering
