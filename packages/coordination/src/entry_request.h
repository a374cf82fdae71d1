#pragma once

#include "answer_stream.h"
#include "request_lifecycle.h"

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/coordination/entry_node.h>
#include <bronzering/coordination/limit_leases.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// State of one request at its entry, from acceptance until the answer is complete. Owned by
/// entry_node; used on the control thread only.
struct entry_request
{
  /// A ticket that was sent to one agent.
  struct announcement
  {
    peer_id mPeer;
    time_point mSent;
    bool mDeclined = false;
    decline_reason mReason = decline_reason::Leaving;
    /// Earliest time at which another ticket may be sent to the agent after a decline.
    time_point mRetryAt;
  };

  /// Id used in messages to agents. Each attempt after a decline uses a new id, so that late
  /// messages about an earlier attempt are not attributed to the current one.
  request_id mId;
  caller_request mCaller;
  std::string mOrganisation;
  std::string mTier;
  std::uint32_t mRank = 0;
  std::string mService;
  service_kind mKind = service_kind::Plain;
  bool mIdempotent = true;
  std::optional<wall_time> mDeprecation;
  std::optional<wall_time> mShutdown;
  std::optional<key_digest> mKey;
  std::optional<wall_time> mKeyCreated;
  time_point mArrived;
  time_point mDeadline;

  request_lifecycle mLifecycle;
  std::vector<spending> mSpendings;

  std::vector<announcement> mAnnouncements;
  /// Maximum number of agents that may currently hold a ticket.
  std::size_t mTicketLimit = 0;
  std::uint32_t mDeclines = 0;
  std::uint32_t mRetries = 0;
  /// When the next tickets or retry are due.
  std::optional<time_point> mNextStepAt;
  /// Time since which no agent of the service has accepted work; empty if one does.
  std::optional<time_point> mNoAgentSince;
  /// Time under which the request is in the timer set; empty if it is not in the set.
  std::optional<time_point> mTimerAt;

  peer_id mAgent;
  std::string mEndpoint;
  answer_stream mAnswer;
};

} // namespace bronzering
