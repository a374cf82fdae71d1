#pragma once

#include "engine_call.h"

#include <bronzering/dispatch/endpoint_table.h>
#include <bronzering/gateway/header_names.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzering {

/// What the gateway reads from the headers of a caller's request.
struct request_facts
{
  /// Empty when the request names none.
  std::string mId;
  /// The bearer token; empty when there is none.
  std::string mKey;
  /// How long the caller waits; empty when it does not say.
  std::optional<duration> mPatience;
  /// Prompt and most output tokens; empty when the request names none.
  std::optional<token_work> mCounted;
  /// The same with the caller's estimate of the output in place of the most, where there is one.
  token_work mEstimated;
};

/// Reads the facts. Values that cannot be read count as absent. Thread-safe.
[[nodiscard]] auto ReadFacts(const http_request& aRequest, const header_names& aDialect)
  -> request_facts;

/// The request as an endpoint gets it, without the headers that are set for each send: connection
/// headers, the caller's key and reserved headers are left out. Thread-safe.
[[nodiscard]] auto ForwardedRequest(http_request aRequest, const header_names& aDialect)
  -> http_request;

/// Whether the request's framing is beyond doubt: at most one length or chunked encoding, and one
/// host. Others could be read as two requests. Thread-safe.
[[nodiscard]] auto HasPlainFraming(const http_request::header_type& aHeader) -> bool;

} // namespace bronzering
