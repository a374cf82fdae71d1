#pragma once

#include <string>
#include <vector>

namespace bronzering {

/// Names of the HTTP headers that the gateway reads and sets between callers and endpoints. They
/// are compared case-insensitively.
struct header_names
{
  /// Request id. Endpoints copy it into their responses.
  std::string mRequestId;
  /// Milliseconds that the caller waits. Forwarded with the time that remains.
  std::string mDeadline;
  /// Prompt tokens and maximum output tokens, separated by a comma.
  std::string mTokenCounts;
  /// The caller's estimate of the number of output tokens.
  std::string mOutputHint;
  /// The parts of the prompt in order, as comma-separated "id:tokens". Requests share parts, except
  /// for the last one.
  std::string mPromptParts;
  /// Set on forwarded requests: the caller's organisation.
  std::string mOrganisation;
  /// Set on forwarded requests: the id of the only endpoint that may execute the request.
  std::string mExpectedEndpoint;
  /// Set by endpoints: authenticates a response. A 2xx response without it did not come from the
  /// endpoint.
  std::string mResponseSeal;
  /// Set by endpoints: the request was not executed.
  std::string mNotRun;
  /// Set by endpoints: the requests per second that the endpoint takes from all entries.
  std::string mRateLimit;
  /// Set to 1 by an endpoint that is shutting down, in all its answers.
  std::string mLeaving;
  /// Id of the last delivered event, set when a stream is resumed.
  std::string mLastEventId;
  /// Headers that are removed from callers' requests: those that the gateway sets itself, and those
  /// that control the engine.
  std::vector<std::string> mReserved;
};

} // namespace bronzering
