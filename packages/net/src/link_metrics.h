#pragma once

#include <bronzering/base/metrics.h>
#include <bronzering/wire/link_session.h>

#include <array>

namespace bronzering {

/// Metrics summed over all links of a process. Thread-safe.
struct link_metrics
{
  explicit link_metrics(metrics_registry& aMetrics);

  counter& mBytesSent;
  counter& mBytesReceived;
  counter& mMessagesSent;
  counter& mMessagesReceived;
  counter& mUnknownMessages;
  counter& mMalformedInput;
  counter& mReconnects;
  counter& mResentFragments;
  counter& mDuplicates;
  /// Indexed by loss_reason.
  std::array<counter*, kLossReasonNames.mEntries.size()> mSessionsLost = {};
  counter& mFailedHandshakes;
  counter& mRefusedConnections;
  gauge& mConnections;
  gauge& mSessions;
};

} // namespace bronzering
