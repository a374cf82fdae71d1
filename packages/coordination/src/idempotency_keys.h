#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// What this agent knows about the request with a key.
enum class key_state
{
  /// The request has not run within the window and may run now.
  New,
  /// This endpoint does not own the key under the current configuration.
  NotOwner,
  /// This agent cannot tell whether the request ran.
  Unknown,
  /// The request was claimed, and its outcome is not recorded yet.
  InProgress,
  /// The request ran within the window.
  AlreadyRun,
  /// The key is new, but the table has no space for it. Returned by Claim only, never stored.
  Full
};

/// Result of Check and Claim.
struct key_verdict
{
  key_state mState = key_state::Unknown;
  /// HTTP status of the earlier run; AlreadyRun only.
  std::uint32_t mStatus = 0;
};

/// The idempotency keys owned by one endpoint. Ensures that the request with a key runs at most
/// once within the window of its service, which is the time for which the outcome is kept. A key
/// that may have run before this process became its owner is reported as Unknown, unless its
/// creation time proves that it is newer. Owned by the agent's control thread; not thread-safe.
class idempotency_keys
{
public:
  /// aStarted is the start time of the process. Keys that ran earlier are not known.
  idempotency_keys(std::string aEndpoint, instant aStarted, std::size_t aMaxKeys = 1'000'000);

  /// Sets the endpoints that the configuration lists for a service, and its window.
  auto Configure(std::string_view aService,
                 duration aWindow,
                 std::vector<std::string> aEndpoints,
                 instant aNow) -> void;
  /// Records that the current configuration was confirmed to be the latest at this time. If the
  /// last confirmation is older than the window, owned keys that are not in the table are reported
  /// as Unknown, since they may have another owner by now.
  auto OnConfigurationConfirmed(time_point aWhen) -> void;

  /// Returns whether a request with this key may run, without claiming the key.
  [[nodiscard]] auto Check(std::string_view aService,
                           key_digest aKey,
                           std::optional<wall_time> aCreated,
                           instant aNow) const -> key_verdict;
  /// Like Check; a new key becomes InProgress. Must be followed by Finish, MarkUnknown or Release.
  auto Claim(std::string_view aService,
             key_digest aKey,
             std::optional<wall_time> aCreated,
             instant aNow) -> key_verdict;

  /// The request with this key has run and its response had this HTTP status.
  auto Finish(key_digest aKey, std::uint32_t aStatus, instant aNow) -> void;
  /// It is not known whether the request with this key took effect.
  auto MarkUnknown(key_digest aKey, instant aNow) -> void;
  /// The request with this key is proven not to have run. The key is New again.
  auto Release(key_digest aKey) -> void;

  /// Removes keys whose window has passed.
  auto Expire(time_point aNow) -> void;
  [[nodiscard]] auto size() const -> std::size_t { return mKeys.size(); }

private:
  /// The endpoints of a service from mSince until the next element of the history.
  struct ownership
  {
    instant mSince;
    std::vector<std::string> mEndpoints;
  };
  struct service_keys
  {
    duration mWindow{};
    std::deque<ownership> mHistory;
  };
  struct key_record
  {
    key_state mState = key_state::InProgress;
    std::uint32_t mStatus = 0;
    /// The window of the service when the key was claimed.
    duration mWindow{};
    /// Set when the outcome is recorded; a key in progress does not expire.
    time_point mExpiresAt;
  };

  [[nodiscard]] auto OwnedSince(const service_keys& aService, key_digest aKey) const -> instant;
  auto SetOutcome(key_digest aKey, key_state aState, std::uint32_t aStatus, instant aNow) -> void;

  std::string mEndpoint;
  instant mStarted;
  std::size_t mMaxKeys;
  /// Last time at which the current configuration was confirmed to be the latest.
  std::optional<time_point> mConfirmed;
  std::map<std::string, service_keys, std::less<>> mServices;
  /// The keys of all services, since the digest covers the service.
  std::unordered_map<key_digest, key_record> mKeys;
  /// Keys that are no longer in progress, by the time at which they are removed.
  std::multimap<time_point, key_digest> mKeysByExpiry;
};

} // namespace bronzering
