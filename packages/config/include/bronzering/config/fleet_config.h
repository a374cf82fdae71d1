#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

enum class service_kind
{
  Model,
  Plain
};
inline constexpr auto kServiceKindNames = name_table<service_kind, 2>{
  { { { service_kind::Model, "model" }, { service_kind::Plain, "plain" } } }
};

/// A priority class with its latency targets. Rank 0 is the highest priority.
struct tier_config
{
  std::string mName;
  std::uint32_t mRank = 0;
  duration mFirstTokenTarget{};
  duration mInterTokenTarget{};
  /// Deadline of a request whose caller sets none.
  duration mDefaultTimeout{};
};

/// A service that callers address: a model or a plain application service.
struct service_config
{
  std::string mName;
  service_kind mKind = service_kind::Plain;
  /// Value of the `model` field that selects a model service; empty for plain services.
  std::string mModel;
  /// Path prefix that selects a plain service, for example "/stock"; empty for model services.
  std::string mPathPrefix;
  /// Whether a repeated call has the same effect as a single one. Model services are always
  /// idempotent.
  bool mIdempotent = true;
  /// How long an idempotency key of a non-idempotent service is remembered.
  duration mIdempotencyWindow = std::chrono::hours(2);
  std::optional<wall_time> mDeprecation;
  std::optional<wall_time> mShutdown;
};

/// A group of callers of one organisation that share a tier and bearer tokens.
struct caller_config
{
  std::string mName;
  std::string mTier;
  /// SHA-256 digests of the bearer tokens, 64 lower-case hexadecimal digits each.
  std::vector<std::string> mTokenDigests;
  /// Services these callers may use.
  std::vector<std::string> mServices;
};

struct organisation_config
{
  std::string mName;
  /// Share of capacity relative to other organisations of the same tier.
  double mWeight = 1;
  std::vector<caller_config> mCallers;
};

enum class limit_scope
{
  Service,
  Organisation,
  Model,
  WeightStore
};
inline constexpr auto kLimitScopeNames =
  name_table<limit_scope, 4>{ { { { limit_scope::Service, "service" },
                                  { limit_scope::Organisation, "organisation" },
                                  { limit_scope::Model, "model" },
                                  { limit_scope::WeightStore, "weight_store" } } } };

enum class limit_unit
{
  Requests,
  Tokens,
  Bytes
};
inline constexpr auto kLimitUnitNames =
  name_table<limit_unit, 3>{ { { { limit_unit::Requests, "requests" },
                                 { limit_unit::Tokens, "tokens" },
                                 { limit_unit::Bytes, "bytes" } } } };

/// A rate limit that applies to the whole fleet.
struct limit_config
{
  std::string mName;
  limit_scope mScope = limit_scope::Service;
  /// Name of the service, organisation or model; empty for the weight store.
  std::string mTarget;
  limit_unit mUnit = limit_unit::Requests;
  double mRatePerSecond = 0;
  double mBurst = 0;
};

enum class fencing_support
{
  Checked,
  Ignored
};
inline constexpr auto kFencingSupportNames = name_table<fencing_support, 2>{
  { { { fencing_support::Checked, "checked" }, { fencing_support::Ignored, "ignored" } } }
};

/// An engine that serves requests and is managed by one agent.
struct endpoint_config
{
  std::string mName;
  service_kind mKind = service_kind::Plain;
  std::vector<std::string> mServices;
  /// Hardware generation; 1 is the oldest.
  std::uint32_t mGeneration = 1;
  fencing_support mFencing = fencing_support::Checked;
  /// Maximum number of concurrent requests; for model endpoints, the maximum batch size.
  std::uint32_t mMaxConcurrency = 1;
  /// KV cache capacity in tokens; model endpoints only.
  std::uint64_t mKvTokens = 0;
  /// Initial values of the estimated rates; model endpoints only.
  double mPrefillTokensPerSecond = 0;
  duration mStepTime{};
  /// Model version and adapters to load; an empty version leaves the loaded one unchanged.
  std::string mModelVersion;
  std::vector<std::string> mAdapters;
  std::uint64_t mWeightBytes = 0;
};

/// Parameters of candidate selection at entries.
struct routing_config
{
  /// Number of agents to which a ticket is announced initially.
  std::uint32_t mInitialCandidates = 3;
  /// Number of agents per service to which an entry keeps connections.
  std::uint32_t mAgentsPerService = 32;
  /// Time without a grant after which a ticket is announced to twice as many agents.
  duration mWidenAfter = std::chrono::milliseconds(20);
  /// Penalty added to the score of agents in another availability zone.
  duration mCrossZonePenalty = std::chrono::milliseconds(5);
  /// Maximum ratio of retries to requests.
  double mRetryRatio = 0.1;
};

/// The active configuration of one process. Immutable once built and shared by pointer.
/// All maps are keyed by object name.
struct fleet_config
{
  revision mRevision;
  std::map<std::string, tier_config, std::less<>> mTiers;
  std::map<std::string, service_config, std::less<>> mServices;
  std::map<std::string, organisation_config, std::less<>> mOrganisations;
  std::map<std::string, limit_config, std::less<>> mLimits;
  std::map<std::string, endpoint_config, std::less<>> mEndpoints;
  routing_config mRouting;
};

} // namespace bronzering
