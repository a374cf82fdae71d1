#pragma once

#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bronzering {

/// What may be repeated of a request whose first run did not end well.
enum class retry_policy
{
  /// Nothing: a request that may have started is never sent again.
  Once,
  /// The whole request, any number of times.
  Repeatable,
  /// A stream goes on elsewhere after the last event that was delivered.
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
};

/// Requests that belong together: host and longest path prefix select the route.
struct route_spec
{
  std::string mName;
  /// In lower case, without port.
  std::string mHost;
  std::string mPrefix;
  std::vector<weighted_service> mServices;
  retry_policy mRetryPolicy = retry_policy::Once;
  bool mIsStream = false;
  bool mIsPublic = false;
  /// Longest time to the end of the answer.
  duration mTimeout{};
  /// Latency objective: the whole answer, or the first event of a stream.
  duration mObjective{};
  /// 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// Endpoints that one request may be run on.
  std::uint32_t mMaxAttempts = 1;
};

struct service_spec
{
  std::string mName;
  /// Connections that an endpoint accepts from all callers together; 0 for any number.
  std::uint32_t mMaxConnections = 0;
  /// Model services admit prompts into a batch; plain services only count requests.
  bool mIsModel = false;
  /// Tokens in one event of a stream.
  std::uint32_t mTokensPerEvent = 1;
};

/// An organisation, its keys and its limit over all entries together.
struct organisation_spec
{
  std::string mName;
  std::vector<std::string> mKeys;
  /// Compared before the priority of the route; 0 is the most urgent.
  std::uint32_t mPriority = 0;
  /// Units a second and at once; a rate of 0 means no limit.
  double mRate = 0;
  double mBurst = 0;
  /// True when requests count by their tokens, otherwise each counts as one.
  bool mCountsTokens = false;
  /// Units of a request that names no token counts.
  double mDefaultUnits = 1;
};

/// Bounds on what callers may send.
struct caller_limits
{
  std::uint32_t mMaxHeaderBytes = 16U * 1024;
  std::uint64_t mMaxBodyBytes = 4UL * 1024 * 1024;
  duration mHeaderTimeout = std::chrono::seconds(3);
  duration mIdleTimeout = std::chrono::seconds(15);
};

/// How urgent a request is: first by its organisation, then by its route. Lower is more urgent.
struct request_rank
{
  std::uint32_t mOrganisation = 0;
  std::uint32_t mRoute = 0;
  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const request_rank&) const = default;
};

/// One version of everything that operators decide about requests.
struct routing_document
{
  std::uint64_t mVersion = 0;
  std::vector<route_spec> mRoutes;
  std::vector<service_spec> mServices;
  std::vector<organisation_spec> mOrganisations;
  caller_limits mLimits;
};

/// One endpoint as the platform lists it.
struct listed_endpoint
{
  /// Names one start of the endpoint; a restart under the same name has another mIncarnation.
  std::string mId;
  std::uint64_t mIncarnation = 0;
  std::string mService;
  /// Numeric "address:port".
  std::string mAddress;
  std::string mAvailabilityZone;
  std::uint32_t mSlots = 1;
  bool mIsLeaving = false;
};

} // namespace bronzering
