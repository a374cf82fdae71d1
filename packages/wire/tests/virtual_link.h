#pragma once

#include <bronzering/base/random_source.h>
#include <bronzering/wire.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bronzering {

/// Connects two sessions, the opener (side 0) and the acceptor (side 1), over a simulated network
/// in virtual time. Connections can be closed, drop traffic in one or both directions, and be
/// delayed.
class virtual_link
{
public:
  explicit virtual_link(std::uint64_t aSeed);

  auto Run(duration aTime) -> void;
  auto Send(int aSide, std::size_t aBytes) -> void;
  auto Close(int aSide, duration aTimeout) -> void;
  /// Ends the current connection. A side is notified immediately if its flag is set, otherwise it
  /// must detect the failure by timeout.
  auto Disconnect(bool aNotifyOpener, bool aNotifyAcceptor) -> void;
  /// Drops all later traffic on the current connection that comes from the opener, or else from the
  /// acceptor; with aBoth, the traffic of both.
  auto DropTraffic(bool aFromOpener, bool aBoth) -> void;
  /// Delays the transport of the next connection attempt, so that it may connect after a later one.
  auto DelayNextAttempt(duration aDelay) -> void { mAttemptDelay = aDelay; }
  auto SetNetwork(bool aWorks) -> void;
  /// Replaces the acceptor's process by a new incarnation without any session.
  auto RestartAcceptor() -> void;

  [[nodiscard]] auto Sent(int aSide) const -> const std::vector<std::string>&
  {
    return mSides[Index(aSide)].mSent;
  }
  [[nodiscard]] auto Received(int aSide) const -> const std::vector<std::string>&
  {
    return mSides[Index(aSide)].mReceived;
  }
  [[nodiscard]] auto IsUp(int aSide) const -> bool { return mSides[Index(aSide)].mUp; }
  [[nodiscard]] auto IsSilent(int aSide) const -> bool { return mSides[Index(aSide)].mSilent; }
  [[nodiscard]] auto WasSilent(int aSide) const -> bool { return mSides[Index(aSide)].mWasSilent; }
  [[nodiscard]] auto IsLost(int aSide) const -> bool
  {
    return mSides[Index(aSide)].mLoss.has_value();
  }
  [[nodiscard]] auto LossReason(int aSide) const -> std::optional<loss_reason>
  {
    return mSides[Index(aSide)].mLoss;
  }
  [[nodiscard]] auto Counts(int aSide) const -> link_counts
  {
    return mSides[Index(aSide)].mSession->Counts();
  }
  [[nodiscard]] auto Transmissions() const -> std::uint64_t { return mTransmissions; }

private:
  struct side_state
  {
    process_identity mIdentity;
    std::unique_ptr<link_session> mSession;
    std::vector<std::string> mSent;
    std::vector<std::string> mReceived;
    bool mUp = false;
    bool mSilent = false;
    bool mWasSilent = false;
    std::optional<loss_reason> mLoss;
  };
  struct connection_state
  {
    std::array<bool, 2> mDropsFrom = {};
    std::array<bool, 2> mClosed = {};
    std::array<frame_decoder, 2> mDecoders;
    std::array<time_point, 2> mLastArrival = {};
  };

  static auto Index(int aSide) -> std::size_t { return static_cast<std::size_t>(aSide); }
  auto Schedule(duration aDelay, std::function<void()> aEvent) -> void;
  auto ProcessSides() -> void;
  auto ProcessSide(int aSide) -> bool;
  auto Transmit(int aFrom, std::uint64_t aAttempt, std::string aBytes) -> void;
  auto Receive(int aTo, std::uint64_t aAttempt, const std::string& aBytes) -> void;
  auto AcceptHello(std::uint64_t aAttempt, const hello& aHello) -> void;
  auto CloseFrom(int aSide, std::uint64_t aAttempt) -> void;
  auto HandleAction(int aSide, link_action aAction) -> void;

  time_point mNow;
  random_source mRandom;
  std::array<side_state, 2> mSides;
  std::map<std::uint64_t, connection_state> mConnections;
  std::multimap<time_point, std::function<void()>> mEvents;
  duration mAttemptDelay{};
  bool mNetworkWorks = true;
  std::uint64_t mCurrentAttempt = 0;
  std::uint64_t mTransmissions = 0;
};

} // namespace bronzering
