#include "link_metrics.h"

#include <string>

namespace bronzering {

link_metrics::link_metrics(metrics_registry& aMetrics)
  : mBytesSent(aMetrics.Counter("bronzering_link_bytes_sent_total"))
  , mBytesReceived(aMetrics.Counter("bronzering_link_bytes_received_total"))
  , mMessagesSent(aMetrics.Counter("bronzering_link_messages_sent_total"))
  , mMessagesReceived(aMetrics.Counter("bronzering_link_messages_received_total"))
  , mUnknownMessages(aMetrics.Counter("bronzering_link_unknown_messages_total"))
  , mMalformedInput(aMetrics.Counter("bronzering_link_malformed_input_total"))
  , mReconnects(aMetrics.Counter("bronzering_link_reconnects_total"))
  , mResentFragments(aMetrics.Counter("bronzering_link_resent_fragments_total"))
  , mDuplicates(aMetrics.Counter("bronzering_link_duplicate_fragments_total"))
  , mFailedHandshakes(aMetrics.Counter("bronzering_link_failed_handshakes_total"))
  , mRefusedConnections(aMetrics.Counter("bronzering_link_refused_connections_total"))
  , mConnections(aMetrics.Gauge("bronzering_link_accepted_connections"))
  , mSessions(aMetrics.Gauge("bronzering_link_sessions"))
{
  for (const auto& [reason, name] : kLossReasonNames.mEntries) {
    const auto labels = "reason=\"" + std::string(name) + "\"";
    mSessionsLost[static_cast<std::size_t>(reason)] =
      &aMetrics.Counter("bronzering_link_sessions_lost_total", labels);
  }
}

} // namespace bronzering
