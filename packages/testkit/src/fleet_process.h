#pragma once

#include <bronzering/testkit/fleet.h>

namespace bronzering::testkit {

/// One process of the fleet: its node while it lives, and its endpoint if it is an agent.
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
  /// What came while the process was paused, in order.
  std::deque<std::function<void(process&)>> mUnread;
  std::optional<time_point> mTimerAt;
  std::map<peer_id, std::shared_ptr<session>> mPeers;
  /// Sessions this process opened, by the address.
  std::map<std::string, std::shared_ptr<session>> mOpened;
  std::map<std::string, revision> mSectionsSeen;

  [[nodiscard]] auto IsAlive() const -> bool { return mEntry || mAgent; }
};

/// A session between two processes: ordered, reliable while both live.
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
  /// Arrival of the latest message in each direction; keeps the order.
  time_point mLastForward;
  time_point mLastBackward;
  /// Messages sent while the link is cut, delivered when the session resumes.
  std::deque<std::pair<bool, peer_message>> mHeld;

  [[nodiscard]] auto EndsLive() const -> bool
  {
    return mFrom->IsAlive() && mTo->IsAlive() &&
           mFrom->mIdentity.mIncarnation == mFromIncarnation &&
           mTo->mIdentity.mIncarnation == mToIncarnation;
  }
};

} // namespace bronzering::testkit
