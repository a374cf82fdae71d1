#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_incarnation_key.h>
#include <bronzering/dispatch/routing_document.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// What an endpoint last said about its rate limit, as one entry passes it on to its peers.
struct rate_limit_statement
{
  endpoint_incarnation_key mEndpoint = 0;
  /// Requests per second from all entries; empty if the endpoint no longer names a limit.
  std::optional<double> mLimit;
  /// Time since the answer that said so.
  duration mAge{};

  auto operator==(const rate_limit_statement&) const -> bool = default;
};

/// An entry that shares the endpoints, and the requests per second that its callers send.
struct entry_demand
{
  /// Numeric IP address of the entry.
  std::string mAddress;
  double mRequestsPerSecond = 0;
};

/// Which part of this entry's share of a rate limit a request may use.
enum class rate_share
{
  /// Only what is not kept for urgent requests.
  Unreserved,
  /// All of it.
  Whole
};

/// Keeps the requests of all entries to an endpoint within the rate limit that the endpoint names
/// in its answers. A limit holds until the endpoint answers without one.
///
/// Each limit is divided among the entries without agreement between them: every entry knows the
/// members and their demand from digests, computes the same owners and shares, and keeps a token
/// bucket for its own share. The number of owners is bounded by the limit, so that their bursts
/// together stay small however many entries there are. Statements of an endpoint spread through
/// digests, so an entry that seldom gets an answer from it knows them too; the newest counts.
/// Not thread-safe: owned by the control thread.
class endpoint_rate_limiter
{
public:
  /// An endpoint has about as many owners as it takes requests in this time, but at least
  /// kMinOwners.
  static constexpr auto kOwnerTime = std::chrono::seconds(1);
  static constexpr std::size_t kMinOwners = 4;
  /// Level of the bucket from which on an urgent request is sent. Other requests need a whole
  /// request, and get it only where no urgent one has come in between.
  static constexpr auto kUrgentLevel = 0.5;
  /// A bucket holds the requests of this time, but at least one.
  static constexpr auto kBurstTime = std::chrono::milliseconds(100);
  /// Lowest rate that is shared out, in requests per second, so that the end of a very low limit is
  /// noticed.
  static constexpr auto kMinRate = 0.2;
  /// Lowest demand that an entry's share is computed from, in requests per second.
  static constexpr auto kMinDemand = 0.5;
  /// Time after which the statements of an endpoint that is not listed are forgotten.
  static constexpr auto kUnlistedTime = std::chrono::minutes(1);
  /// Maximum number of endpoints with a statement.
  static constexpr std::size_t kMaxStatements = 8192;

  /// aSelf is the address of this entry, which is the only member at first.
  explicit endpoint_rate_limiter(std::string aSelf);

  /// Replaces the list of endpoints.
  auto SetEndpoints(const std::vector<listed_endpoint>& aEndpoints, time_point aNow) -> void;
  /// Replaces the entries that share the limits. Precondition: this entry is one of them.
  auto SetMembers(std::vector<entry_demand> aMembers, time_point aNow) -> void;

  /// Records what an answer says about the endpoint's limit; empty if it names none. The request
  /// was sent at aSent. Returns whether the known limit has changed.
  auto OnAnswer(endpoint_incarnation_key aEndpoint,
                std::optional<double> aLimit,
                time_point aSent,
                time_point aNow) -> bool;
  /// Merges statements that a peer knows. Returns those that changed a known limit.
  auto Merge(const std::vector<rate_limit_statement>& aStatements, time_point aNow)
    -> std::vector<rate_limit_statement>;
  auto RemoveExpired(time_point aNow) -> void;

  /// Time until this entry may send a request to the endpoint; zero if it may now, empty if it has
  /// no share of the endpoint's limit.
  [[nodiscard]] auto TimeToAdmission(endpoint_incarnation_key aEndpoint,
                                     rate_share aUsable,
                                     time_point aNow) const -> std::optional<duration>;
  /// Requests per second that this entry may send to the endpoint; empty if it names no limit.
  [[nodiscard]] auto OwnRate(endpoint_incarnation_key aEndpoint) const -> std::optional<double>;
  /// This entry's share of what callers send to all entries, 0 to 1. At least that of an equal
  /// division, since the demand on an entry that has just started or was just found is not known.
  [[nodiscard]] auto OwnDemandShare() const -> double { return mOwnDemandShare; }
  /// Takes a request from this entry's share.
  auto OnSent(endpoint_incarnation_key aEndpoint, time_point aNow) -> void;

  /// Statements for peers, at most aLimit. Consecutive calls go through all of them in turn.
  [[nodiscard]] auto TakeStatements(std::size_t aLimit, time_point aNow)
    -> std::vector<rate_limit_statement>;
  /// Number of changes of known limits so far by answers that this entry received.
  [[nodiscard]] auto OwnChanges() const -> std::uint64_t { return mOwnChanges; }
  /// Number of endpoints with a known limit.
  [[nodiscard]] auto LimitedCount() const -> std::size_t;
  /// The id of a listed endpoint; empty if it is not listed.
  [[nodiscard]] auto IdOf(endpoint_incarnation_key aEndpoint) const -> std::string_view;

private:
  struct limit_state
  {
    std::optional<double> mLimit;
    /// When the endpoint said so.
    time_point mStated;
    /// This entry's share of the limit in requests per second; 0 if it is not an owner.
    double mShare = 0;
    /// Requests that this entry may send at once, as of mRefilled.
    double mLevel = 0;
    time_point mRefilled;
  };
  struct listed_position
  {
    std::string mId;
    /// Position among the endpoints of the service, 0 to 1.
    double mPosition = 0;
  };

  auto Update(endpoint_incarnation_key aEndpoint,
              std::optional<double> aLimit,
              time_point aStated,
              time_point aNow) -> bool;
  auto UpdateShares(time_point aNow) -> void;
  [[nodiscard]] auto ShareOf(endpoint_incarnation_key aEndpoint, double aLimit) const -> double;
  [[nodiscard]] static auto LevelAt(const limit_state& aState, time_point aNow) -> double;

  std::string mSelf;
  /// Ordered by address, the same on all entries.
  std::vector<entry_demand> mMembers;
  double mOwnDemandShare = 1;
  std::unordered_map<endpoint_incarnation_key, listed_position> mListed;
  std::map<endpoint_incarnation_key, limit_state> mLimits;
  /// The last endpoint returned by TakeStatements.
  endpoint_incarnation_key mLastTaken = 0;
  std::uint64_t mOwnChanges = 0;
};

} // namespace bronzering
