#pragma once

#include "endpoint_call.h"

#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/gateway/header_names.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Values that the gateway reads from the headers of a caller's request.
struct request_metadata
{
  /// Request id; empty when the header is missing.
  std::string mId;
  /// The bearer token; empty when there is none.
  std::string mKey;
  /// How long the caller waits; empty when the request does not say.
  std::optional<duration> mCallerTimeout;
  /// Prompt tokens and maximum output tokens; empty when the request does not give them.
  std::optional<token_work> mDeclaredWork;
  /// The same, with the caller's estimate of the output tokens instead of the maximum if there is
  /// one; 0 when the request does not give them.
  token_work mEstimatedWork;
  /// Ids of the prompt parts that other requests may share: all but the last, in order.
  std::vector<std::string> mSharedParts;
};

/// Values that cannot be parsed are treated as missing. Thread-safe.
[[nodiscard]] auto ReadRequestMetadata(const http_request& aRequest,
                                       const header_names& aHeaderNames) -> request_metadata;

/// Turns a caller's request into the request that is forwarded to endpoints: removes the connection
/// headers, the caller's key and the reserved headers. The headers that differ for each attempt are
/// not set here. Thread-safe.
[[nodiscard]] auto ForwardedRequest(http_request aRequest, const header_names& aHeaderNames)
  -> http_request;

/// Whether the request's framing is unambiguous: at most one Content-Length or chunked
/// Transfer-Encoding, and exactly one Host. Anything else may allow request smuggling, where the
/// endpoint reads two requests. Thread-safe.
[[nodiscard]] auto HasUnambiguousFraming(const http_request::header_type& aHeader) -> bool;

} // namespace bronzering
