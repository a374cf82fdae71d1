#pragma once

#include <bronzering/testkit/fleet.h>

namespace bronzering::testkit {

/// A process of the fleet: its node while it is alive and, if it is an agent, its endpoint.
struct fleet::process
{
  process_identity mIdentity;
  std::string mName;
  std::string mAddress;
  std::unique_ptr<entry_node> mEntry;
  std::unique_ptr<agent_node> mAgent;
  std::shared_ptr<fake_engine> mEngine;
  bool mLeaving = false;
  bool mWatching = false;
  time_point mPausedUntil;
  /// Events that arrived while the process was paused, in order.
  std::deque<std::function<void(process&)>> mDeferredEvents;
  std::optional<time_point> mTimerAt;
  std::map<peer_id, std::shared_ptr<session>> mPeers;
  /// Sessions that this process opened, by the address of the peer.
  std::map<std::string, std::shared_ptr<session>> mOpened;
  std::map<std::string, revision> mRecordedSections;

  [[nodiscard]] auto IsAlive() const -> bool { return mEntry || mAgent; }
};

/// A session between two processes. Delivers reliably and in order while both are alive.
struct fleet::session
{
  process* mFrom = nullptr;
  process* mTo = nullptr;
  peer_id mFromPeer;
  peer_id mToPeer;
  incarnation mFromIncarnation;
  incarnation mToIncarnation;
  bool mUp = false;
  bool mClosed = false;
  bool mReportedSilent = false;
  std::optional<time_point> mBrokenSince;
  /// Arrival of the latest message in each direction. Later messages never arrive before it.
  time_point mLastForward;
  time_point mLastBackward;
  /// Messages sent during a partition, with true for the forward direction. Sent on by Heal.
  std::deque<std::pair<bool, peer_message>> mHeld;

  [[nodiscard]] auto AreBothEndsAlive() const -> bool
  {
    return mFrom->IsAlive() && mTo->IsAlive() &&
           mFrom->mIdentity.mIncarnation == mFromIncarnation &&
           mTo->mIdentity.mIncarnation == mToIncarnation;
  }
};

} // namespace bronzering::testkit
