#pragma once

#include "request_run.h"

namespace bronzering {

struct configuration_costs
{
  double mOrganisations = 0;
  double mDocumentBytes = 0;
  double mHeapBytes = 0;
  double mChangeNanoseconds = 0;
  double mPeerChangeNanoseconds = 0;
  double mAnnouncementBytes = 0;
  double mDigestBytes = 0;
  double mSectionsBytes = 0;
};

struct measured_costs
{
  run_costs mRun;
  configuration_costs mSmall;
  configuration_costs mLarge;
  double mWaitingBytes = 0;
  double mTicketBytes = 0;
  double mSessionBytes = 0;
  /// Encoded size of a lease_request and its lease_grant.
  double mLeaseBytes = 0;
};

/// Prints the extrapolated costs of each role at the planned size and compares them with the
/// bounds.
auto PrintExtrapolation(const measured_costs& aMeasured) -> void;

} // namespace bronzering
