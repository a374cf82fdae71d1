#include "fleet_process.h"

#include <bronzering/base/overloaded.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace bronzering::testkit {

namespace {

using namespace std::chrono_literals;

/// A peer without a working connection for this long is considered dead for routing.
constexpr auto kSilentAfter = 2s;
/// A session that stays broken for this long is closed.
constexpr auto kLostAfter = 30s;
constexpr auto kCheckInterval = 100ms;

} // namespace

auto fleet::Delay(const process& aFrom, const process& aTo) -> duration
{
  const auto sameZone = aFrom.mIdentity.mAvailabilityZone == aTo.mIdentity.mAvailabilityZone;
  auto delay = sameZone ? mSettings.mLocalDelay : mSettings.mZoneDelay;
  if (!sameZone) {
    delay += duration(static_cast<duration::rep>(mRandom.Uniform01() *
                                                 static_cast<double>(mSettings.mJitter.count())));
    if (mRandom.Uniform01() < mSettings.mLoss) {
      delay += mSettings.mRetransmit;
    }
  }
  return delay;
}

auto fleet::AreCut(const process& aFrom, const process& aTo) const -> bool
{
  return mIsolatedProcesses.contains(aFrom.mName) != mIsolatedProcesses.contains(aTo.mName);
}

auto fleet::OpenSession(process& aFrom, const std::string& aAddress) -> void
{
  if (aFrom.mOpened.contains(aAddress)) {
    return;
  }
  const auto target = mProcesses.find(aAddress);
  if (target == mProcesses.end()) {
    return;
  }
  auto opened = std::make_shared<session>();
  opened->mFrom = &aFrom;
  opened->mTo = target->second.get();
  opened->mFromIncarnation = aFrom.mIdentity.mIncarnation;
  aFrom.mOpened[aAddress] = opened;
  mSessions.push_back(opened);
  ConnectSession(opened);
}

auto fleet::ConnectSession(const std::shared_ptr<session>& aSession) -> void
{
  // The handshake takes two round trips.
  const auto delay = 4 * Delay(*aSession->mFrom, *aSession->mTo);
  mLoop.After(delay, [this, aSession] {
    auto& from = *aSession->mFrom;
    auto& to = *aSession->mTo;
    if (aSession->mClosed || aSession->mUp || !from.IsAlive() || !to.IsAlive() ||
        AreCut(from, to) || from.mIdentity.mIncarnation != aSession->mFromIncarnation ||
        to.mPausedUntil > mLoop.Now()) {
      return;
    }
    aSession->mUp = true;
    aSession->mToIncarnation = to.mIdentity.mIncarnation;
    aSession->mFromPeer = peer_id{ mNextPeer++ };
    aSession->mToPeer = peer_id{ mNextPeer++ };
    from.mPeers[aSession->mFromPeer] = aSession;
    to.mPeers[aSession->mToPeer] = aSession;
    const auto fromIdentity = from.mIdentity;
    const auto toIdentity = to.mIdentity;
    Deliver(to, [this, aSession, fromIdentity](process& aTarget) {
      aTarget.mEntry
        ? aTarget.mEntry->OnPeerUp(aSession->mToPeer, fromIdentity, "", mLoop.Instant())
        : aTarget.mAgent->OnPeerUp(aSession->mToPeer, fromIdentity, mLoop.Instant());
    });
    Deliver(from, [this, aSession, toIdentity](process& aTarget) {
      const auto peer = aSession->mFromPeer;
      aTarget.mEntry
        ? aTarget.mEntry->OnPeerUp(peer, toIdentity, aSession->mTo->mAddress, mLoop.Instant())
        : aTarget.mAgent->OnPeerUp(peer, toIdentity, mLoop.Instant());
    });
  });
}

auto fleet::CloseSession(std::shared_ptr<session> aSession) -> void
{
  if (aSession->mClosed) {
    return;
  }
  aSession->mClosed = true;
  const auto end = [&](process& aEnd, peer_id aPeer, incarnation aIncarnation) {
    if (aEnd.mIdentity.mIncarnation != aIncarnation || !aSession->mUp) {
      return;
    }
    aEnd.mPeers.erase(aPeer);
    Deliver(aEnd, [this, aSession, aPeer](process& aTarget) {
      RecordTicketReachability(*aSession, aTarget, false);
      aTarget.mEntry ? aTarget.mEntry->OnPeerDown(aPeer, mLoop.Instant())
                     : aTarget.mAgent->OnPeerDown(aPeer, mLoop.Instant());
    });
  };
  if (aSession->mFrom->mIdentity.mIncarnation == aSession->mFromIncarnation) {
    std::erase_if(aSession->mFrom->mOpened,
                  [&](const auto& aOpened) { return aOpened.second == aSession; });
  }
  end(*aSession->mFrom, aSession->mFromPeer, aSession->mFromIncarnation);
  end(*aSession->mTo, aSession->mToPeer, aSession->mToIncarnation);
  std::erase(mSessions, aSession);
}

auto fleet::SendMessage(process& aFrom, peer_id aPeer, peer_message aMessage) -> void
{
  const auto found = aFrom.mPeers.find(aPeer);
  if (found == aFrom.mPeers.end()) {
    return;
  }
  ++mMessagesSent;
  InjectBug(aMessage);
  if (const auto* granted = std::get_if<grant>(&aMessage)) {
    RecordGrant(bronzering::ExchangeOf(granted->mRequest), aFrom.mIdentity.mEndpoint);
  } else if (const auto* declined = std::get_if<decline>(&aMessage)) {
    Record(ticket_left{ bronzering::ExchangeOf(declined->mRequest), aFrom.mIdentity.mEndpoint });
  }
  const auto current = found->second;
  const auto forward = current->mFrom == &aFrom && current->mFromPeer == aPeer;
  if (AreCut(*current->mFrom, *current->mTo)) {
    current->mHeld.emplace_back(forward, std::move(aMessage));
    return;
  }
  Transmit(current, forward, std::move(aMessage));
}

auto fleet::InjectBug(peer_message& aMessage) const -> void
{
  auto* announced = std::get_if<ticket>(&aMessage);
  if (auto* dispatched = std::get_if<dispatch>(&aMessage)) {
    announced = &dispatched->mTicket;
  }
  if (!announced) {
    return;
  }
  if (mSettings.mInjectedBug == injected_bug::InvertTiers) {
    const auto rank = mConfig->mTiers.at(announced->mTier).mRank;
    const auto inverted = static_cast<std::uint32_t>(mConfig->mTiers.size() - 1) - rank;
    for (const auto& [name, tier] : mConfig->mTiers) {
      if (tier.mRank == inverted) {
        announced->mTier = name;
        break;
      }
    }
  }
  if (mSettings.mInjectedBug == injected_bug::ForgetKeys) {
    announced->mKey.reset();
  }
}

auto fleet::RecordTicketReachability(const session& aSession,
                                     const process& aAgent,
                                     bool aReachable) -> void
{
  // Recorded when the agent itself learns of the change, since it can only act on what it knows.
  const auto& entry = &aAgent == aSession.mFrom ? *aSession.mTo : *aSession.mFrom;
  if (!aAgent.mAgent || entry.mIdentity.mRole != process_role::Entry) {
    return;
  }
  const auto& endpoint = aAgent.mIdentity.mEndpoint;
  if (aReachable) {
    Record(tickets_regained{ endpoint, entry.mName });
  } else {
    Record(tickets_lost{ endpoint, entry.mName });
  }
}

auto fleet::RecordGrant(exchange_id aExchange, const std::string& aEndpoint) -> void
{
  mGranted.insert({ aExchange, aEndpoint });
  Record(ticket_granted{ aExchange, aEndpoint });
}

auto fleet::Transmit(const std::shared_ptr<session>& aSession, bool aForward, peer_message aMessage)
  -> void
{
  auto& from = aForward ? *aSession->mFrom : *aSession->mTo;
  auto& to = aForward ? *aSession->mTo : *aSession->mFrom;
  auto& last = aForward ? aSession->mLastForward : aSession->mLastBackward;
  last = std::max(last, mLoop.Now() + Delay(from, to));
  mLoop.At(last, [this, aSession, aForward, message = std::move(aMessage)] {
    auto& target = aForward ? *aSession->mTo : *aSession->mFrom;
    if (aSession->mClosed || !aSession->AreBothEndsAlive()) {
      return;
    }
    if (AreCut(*aSession->mFrom, *aSession->mTo)) {
      aSession->mHeld.emplace_back(aForward, message);
      return;
    }
    Deliver(target, [this, aSession, aForward, message](process& aTarget) {
      RecordMessage(*aSession, aForward, message);
      const auto peer = aForward ? aSession->mToPeer : aSession->mFromPeer;
      if (!aTarget.mPeers.contains(peer)) {
        return;
      }
      aTarget.mEntry ? aTarget.mEntry->OnMessage(peer, message, mLoop.Instant())
                     : aTarget.mAgent->OnMessage(peer, message, mLoop.Instant());
    });
  });
}

auto fleet::CheckSessions() -> void
{
  // Iterates over a copy, since CloseSession removes sessions from mSessions.
  const auto sessions = mSessions;
  for (const auto& current : sessions) {
    if (!current->mUp) {
      if (current->mFrom->mIdentity.mIncarnation != current->mFromIncarnation ||
          !current->mFrom->IsAlive()) {
        CloseSession(current);
      } else {
        ConnectSession(current);
      }
      continue;
    }
    const auto restarted = current->mFrom->mIdentity.mIncarnation != current->mFromIncarnation ||
                           current->mTo->mIdentity.mIncarnation != current->mToIncarnation;
    const auto paused = current->mFrom->mPausedUntil > mLoop.Now() + kCheckInterval ||
                        current->mTo->mPausedUntil > mLoop.Now() + kCheckInterval;
    const auto broken =
      !current->AreBothEndsAlive() || AreCut(*current->mFrom, *current->mTo) || paused;
    if (!broken) {
      current->mBrokenSince.reset();
    } else if (!current->mBrokenSince) {
      current->mBrokenSince = mLoop.Now();
    }

    const auto age = current->mBrokenSince ? mLoop.Now() - *current->mBrokenSince : duration{};
    if ((restarted && !AreCut(*current->mFrom, *current->mTo)) || age >= kLostAfter) {
      CloseSession(current);
      continue;
    }
    const auto silent = age >= kSilentAfter;
    if (silent != current->mReportedSilent) {
      current->mReportedSilent = silent;
      const auto notify = [&](process& aEnd, peer_id aPeer, incarnation aIncarnation) {
        if (aEnd.mIdentity.mIncarnation == aIncarnation) {
          Deliver(aEnd, [this, current, aPeer, silent](process& aTarget) {
            RecordTicketReachability(*current, aTarget, !silent);
            aTarget.mEntry ? aTarget.mEntry->OnPeerSilent(aPeer, silent, mLoop.Instant())
                           : aTarget.mAgent->OnPeerSilent(aPeer, silent, mLoop.Instant());
          });
        }
      };
      notify(*current->mFrom, current->mFromPeer, current->mFromIncarnation);
      notify(*current->mTo, current->mToPeer, current->mToIncarnation);
    }
  }
  mLoop.After(kCheckInterval, [this] { CheckSessions(); });
}

auto fleet::RecordMessage(const session& aSession, bool aForward, const peer_message& aMessage)
  -> void
{
  const auto& receiver = aForward ? *aSession.mTo : *aSession.mFrom;
  std::visit(overloaded{
               [&](const ticket& aTicket) {
                 Record(ticket_arrived{ bronzering::ExchangeOf(aTicket.mRequest),
                                        receiver.mIdentity.mEndpoint });
               },
               [&](const withdraw& aWithdraw) {
                 Record(ticket_left{ bronzering::ExchangeOf(aWithdraw.mRequest),
                                     receiver.mIdentity.mEndpoint });
               },
               [](const auto&) {},
             },
             aMessage);
}

auto fleet::Kill(const std::string& aProcess) -> void
{
  auto& killed = FindProcess(aProcess);
  if (!killed.IsAlive()) {
    return;
  }
  // The node may be on the call stack, for example when it reports that it is drained, so it is
  // destroyed in a later event.
  mLoop.After(0us,
              [entry = std::shared_ptr<entry_node>(std::move(killed.mEntry)),
               agent = std::shared_ptr<agent_node>(std::move(killed.mAgent))] {});
  if (killed.mIdentity.mRole == process_role::Agent) {
    Record(tickets_lost{ killed.mIdentity.mEndpoint, "" });
  }
  killed.mEntry.reset();
  killed.mAgent.reset();
  killed.mPeers.clear();
  killed.mOpened.clear();
  killed.mWatching = false;
  killed.mDeferredEvents.clear();

  auto lost = std::vector<exchange_id>{};
  for (const auto& [exchange, entry] : mOpenExchanges) {
    if (entry == aProcess) {
      lost.push_back(exchange);
    }
  }
  for (const auto exchange : lost) {
    Record(answer_broken{ exchange });
    EndExchange(exchange);
  }
}

auto fleet::Restart(const std::string& aProcess) -> void
{
  Kill(aProcess);
  auto& started = FindProcess(aProcess);
  // A restart replaces the VM of an agent, including its engine.
  if (started.mEngine) {
    started.mEngine->Crash();
  }
  StartProcess(started);
}

auto fleet::Pause(const std::string& aProcess, duration aTime) -> void
{
  auto& until = FindProcess(aProcess).mPausedUntil;
  until = std::max(until, mLoop.Now() + aTime);
}

auto fleet::Drain(const std::string& aProcess) -> void
{
  auto& target = FindProcess(aProcess);
  target.mLeaving = true;
  if (target.mAgent) {
    Record(endpoint_leaving{ target.mIdentity.mEndpoint });
  }
  if (mSettings.mInjectedBug == injected_bug::IgnoreLeaving) {
    return;
  }
  Deliver(target, [this](process& aTarget) {
    aTarget.mEntry ? aTarget.mEntry->BeginDrain(mLoop.Instant())
                   : aTarget.mAgent->BeginDrain(mLoop.Instant());
  });
}

auto fleet::Partition(std::set<std::string> aSide) -> void
{
  mIsolatedProcesses = std::move(aSide);
}

auto fleet::Heal() -> void
{
  mIsolatedProcesses.clear();
  for (const auto& current : mSessions) {
    auto held = std::move(current->mHeld);
    current->mHeld.clear();
    for (auto& [forward, message] : held) {
      Transmit(current, forward, std::move(message));
    }
  }
}

} // namespace bronzering::testkit
