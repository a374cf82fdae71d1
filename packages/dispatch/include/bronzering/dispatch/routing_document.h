#pragma once

#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>
#include <bronzering/dispatch/source_position.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// Whether a request may be retried after an attempt that may have run.
enum class retry_policy
{
  /// Not retried once it may have started (non-idempotent requests).
  Once,
  /// Idempotent: the whole request may be retried.
  Repeatable,
  /// A stream may be resumed on another endpoint after the last delivered event.
  Resumable
};
inline constexpr auto kRetryPolicyNames =
  name_table<retry_policy, 3>{ { { { retry_policy::Once, "once" },
                                   { retry_policy::Repeatable, "repeatable" },
                                   { retry_policy::Resumable, "resumable" } } } };

/// A service and its share of a route's requests.
struct weighted_service
{
  std::string mService;
  std::uint32_t mWeight = 1;

  auto operator==(const weighted_service&) const -> bool = default;
};

/// Rules for the requests that match a host and path prefix; the longest matching prefix wins.
struct route_spec
{
  std::string mName;
  /// Lower case, without a port.
  std::string mHost;
  std::string mPrefix;
  std::vector<weighted_service> mServices;
  retry_policy mRetryPolicy = retry_policy::Once;
  bool mIsStream = false;
  bool mIsPublic = false;
  /// Maximum time until the response is complete.
  duration mTimeout{};
  /// Time without an event, also before the first one, after which callers leave a stream; empty if
  /// they wait until their deadline.
  std::optional<duration> mMaxEventGap;
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// Maximum number of endpoints that one request may be sent to.
  std::uint32_t mMaxAttempts = 1;

  auto operator==(const route_spec&) const -> bool = default;
};

struct service_spec
{
  std::string mName;
  /// Maximum number of connections that an endpoint accepts in total; 0 means unlimited.
  std::uint32_t mMaxConnections = 0;
  /// Model services batch prompts, so their load is measured in tokens; for other services only
  /// the number of requests counts.
  bool mIsModel = false;
  /// Number of tokens in one event of a stream.
  std::uint32_t mTokensPerEvent = 1;
  /// Requests per second that a cold endpoint takes from all entries in total; 0 means no limit.
  double mColdRate = 0;
  /// How long an endpoint stays cold when it has become cold.
  duration mColdTime{};
};

/// An organisation with its API keys and its rate limit, which applies to all entries in total.
struct organisation_spec
{
  std::string mName;
  std::vector<std::string> mKeys;
  /// Takes precedence over the priority of the route; 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// Token bucket parameters: units per second and burst size in units. A rate of 0 means no
  /// limit.
  double mRate = 0;
  double mBurst = 0;
  /// True if the unit is a token, false if it is a request.
  bool mCountsTokens = false;
  /// Units charged for a request without token counts.
  double mDefaultUnits = 1;
};

/// Limits on requests from callers.
struct caller_limits
{
  std::uint32_t mMaxHeaderBytes = 16U * 1024;
  std::uint64_t mMaxBodyBytes = 4UL * 1024 * 1024;
  duration mHeaderTimeout = std::chrono::seconds(3);
  duration mIdleTimeout = std::chrono::seconds(15);
};

/// Urgency of a request, compared by organisation first and then by route. Lower is more urgent.
struct request_rank
{
  std::uint32_t mOrganisation = 0;
  std::uint32_t mRoute = 0;
  // clang-tidy 14 reports the zero in a defaulted comparison as a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const request_rank&) const = default;
};

/// One version of the operator's configuration for handling requests.
struct routing_document
{
  std::uint64_t mVersion = 0;
  std::vector<route_spec> mRoutes;
  std::vector<service_spec> mServices;
  std::vector<organisation_spec> mOrganisations;
  /// Whether requests need a key of an organisation, except on public routes. If there are no
  /// organisations, no key is valid. False only if the operator manages no organisations at all.
  bool mRequiresKey = true;
  caller_limits mLimits;
};

/// An endpoint as published by the platform.
struct listed_endpoint
{
  /// Identifies the endpoint. A restart under the same id has another mIncarnation.
  std::string mId;
  std::uint64_t mIncarnation = 0;
  std::string mService;
  /// Numeric IP address and port, "address:port".
  std::string mAddress;
  std::string mAvailabilityZone;
  std::uint32_t mSlots = 1;
  bool mIsLeaving = false;
  /// How much longer the endpoint was cold when it wrote its item, at mWritten. A cold endpoint is
  /// slow and takes only a few requests per second.
  duration mColdLeft{};
  source_position mWritten;
  /// Number that the endpoint has given the write at mWritten, if it numbers its writes.
  std::optional<std::uint64_t> mWriteNumber;
};

} // namespace bronzering
