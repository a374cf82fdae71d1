#pragma once

#include <string>
#include <vector>

namespace bronzering {

/// The names under which callers and endpoints exchange what the gateway has to know of a request.
/// All are compared without regard to case.
struct header_names
{
  /// Names a request; endpoints repeat it in their answers.
  std::string mRequestId;
  /// Milliseconds that the caller will wait; replaced by what is left when a request is sent on.
  std::string mDeadline;
  /// Prompt tokens and most output tokens, separated by a comma.
  std::string mTokenCounts;
  /// The caller's estimate of the output tokens.
  std::string mOutputHint;
  /// Set for the endpoint: the caller's organisation.
  std::string mOrganisation;
  /// Set for the endpoint: the id of the only endpoint that may run the request.
  std::string mExpectedEndpoint;
  /// Set by endpoints: authenticates an answer. A success without it is not the endpoint's.
  std::string mResponseSeal;
  /// Set by endpoints: the request was not run.
  std::string mNotRun;
  /// Id of the last event that was delivered, when a stream goes on.
  std::string mLastEventId;
  /// Headers that a caller may not set: those above that the gateway sets, and the engine's
  /// controls.
  std::vector<std::string> mReserved;
};

} // namespace bronzering
