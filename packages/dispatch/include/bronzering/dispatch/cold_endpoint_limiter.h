#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_incarnation_key.h>
#include <bronzering/dispatch/endpoint_rate_limiter.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bronzering {

/// Keeps the requests of all entries to a cold endpoint within what its service tolerates, when a
/// zone of endpoints returns at once and every entry sees them idle. A cold endpoint that gets more
/// crashes.
///
/// Each cold endpoint has a few owners among the entries, found by rendezvous hashing, so that the
/// death or the start of an entry changes only its own part. Each owner keeps a token bucket for
/// the rate divided by kOwners, however few members are known: an entry that starts in a network
/// partition does not know the others. All other entries send nothing to the endpoint while it is
/// cold.
/// Entries may disagree about the members for as long as digests take; the bursts of kOwners
/// buckets are small enough for that. Members that fall silent are remembered, because they may run
/// on the other side of a network partition. An entry that has just started knows neither its peers
/// nor what it has sent before, and owns nothing until it has settled.
/// Not thread-safe: owned by the control thread.
class cold_endpoint_limiter
{
public:
  /// Entries that send to one cold endpoint.
  static constexpr std::size_t kOwners = 4;
  /// Time after the first members were set in which an entry owns nothing. It is longer than the
  /// longest interval between digests, so its peers have answered by then.
  static constexpr auto kSettlingTime = std::chrono::seconds(1);
  /// Requests that an owner may send at once.
  static constexpr auto kBurst = 1.0;
  /// How long a member is remembered that is not in the list any more.
  static constexpr auto kMemberMemory = std::chrono::minutes(10);
  /// Lowest rate that is shared out, in requests per second.
  static constexpr auto kMinRate = endpoint_rate_limiter::kMinRate;

  /// aSelf is the address of this entry.
  explicit cold_endpoint_limiter(std::string aSelf);

  /// Updates the entries that share the endpoints. Precondition: this entry is one of them.
  auto SetMembers(const std::vector<entry_demand>& aMembers, time_point aNow) -> void;
  /// Records that the endpoint is cold until aUntil, and the requests per second that it tolerates
  /// from all entries. Precondition: aRate > 0.
  auto SetCold(endpoint_incarnation_key aEndpoint, double aRate, time_point aUntil, time_point aNow)
    -> void;
  auto SetWarm(endpoint_incarnation_key aEndpoint) -> void { mCold.erase(aEndpoint); }
  auto RemoveExpired(time_point aNow) -> void;

  [[nodiscard]] auto IsCold(endpoint_incarnation_key aEndpoint, time_point aNow) const -> bool;
  /// Time until this entry may send a request to the endpoint: zero if it may now, also if the
  /// endpoint is not cold; the rest of the cold time if it is no owner.
  [[nodiscard]] auto TimeToAdmission(endpoint_incarnation_key aEndpoint, time_point aNow) const
    -> duration;
  /// Requests per second that this entry may send to the endpoint, 0 if it is no owner; empty if
  /// the endpoint is not cold.
  [[nodiscard]] auto OwnRate(endpoint_incarnation_key aEndpoint, time_point aNow) const
    -> std::optional<double>;
  /// Takes a request from this entry's share. Does nothing if the endpoint is not cold.
  auto OnSent(endpoint_incarnation_key aEndpoint, time_point aNow) -> void;
  [[nodiscard]] auto ColdCount(time_point aNow) const -> std::size_t;

private:
  struct cold_state
  {
    double mRate = 0;
    time_point mUntil;
    /// This entry's part of mRate; 0 if it is no owner.
    double mShare = 0;
    /// Requests that this entry may send at once, as of mRefilled.
    double mLevel = 0;
    time_point mRefilled;
  };

  [[nodiscard]] auto Find(endpoint_incarnation_key aEndpoint, time_point aNow) const
    -> const cold_state*;
  [[nodiscard]] auto ShareOf(endpoint_incarnation_key aEndpoint, double aRate) const -> double;
  [[nodiscard]] static auto LevelAt(const cold_state& aState, time_point aNow) -> double;
  static auto SetShare(cold_state& aState, double aShare, time_point aNow) -> void;

  std::string mSelf;
  /// The members, with the time at which they were last in the list.
  std::map<std::string, time_point> mMembers;
  /// When the members were first set; empty before.
  std::optional<time_point> mStarted;
  bool mIsSettled = false;
  std::map<endpoint_incarnation_key, cold_state> mCold;
};

} // namespace bronzering
