#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_incarnation_key.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Identifies a prompt part of one service in messages between peers.
using prompt_part_key = std::uint64_t;
[[nodiscard]] auto HashPromptPart(std::string_view aService, std::string_view aPart)
  -> prompt_part_key;
/// The key of a whole request: two requests have the same key if all arguments are equal. aCaller
/// is the organisation's name, or empty. Keys of requests have kRequestKeyBit set, those of parts
/// have not, so that peers can tell them apart.
[[nodiscard]] auto HashWholeRequest(std::string_view aService,
                                    std::string_view aCaller,
                                    std::string_view aMethod,
                                    std::string_view aTarget,
                                    std::string_view aBody) -> prompt_part_key;
constexpr auto kRequestKeyBit = prompt_part_key{ 1 } << 63U;

/// Identifies a crash by the incarnation of the endpoint that it ended.
using crash_id = endpoint_incarnation_key;

/// A prompt part was in a request that an endpoint had not begun to answer when it crashed.
struct crash_evidence
{
  prompt_part_key mPart = 0;
  crash_id mCrash = 0;
  /// Time since the crash.
  duration mAge{};
  /// A request with the part has been answered since, so the part was not the cause.
  bool mIsRefuted = false;

  auto operator==(const crash_evidence&) const -> bool = default;
};

/// Finds prompt parts that crash endpoints, and keeps requests with them from further endpoints.
///
/// Evidence is what the victims of different crashes have in common. A part is suspected when
/// requests with it were unanswered at several crashes and none has been answered since. A request
/// is rejected if it contains a suspected part, unless a part that it does not contain explains the
/// same crashes. That spares requests that only share other parts with the cause, and those that
/// were at the endpoint by chance. The quarantine ends after a time that grows with the number of
/// crashes; then one request at a time is admitted as a trial. An answer clears the part.
///
/// Evidence only grows until it expires: merging that of peers is commutative and idempotent, and
/// any peer can pass on what an entry has learned before it restarted. Its size is bounded whatever
/// parts callers send. Not thread-safe: owned by the control thread.
class prompt_quarantine
{
public:
  /// Crashes from which on a part is suspected.
  static constexpr std::size_t kCrashesToSuspect = 2;
  /// The same for a part that has been answered within kProvenTime. Its crashes may have a common
  /// cause other than requests, so they must also span kMinProvenSpan, and its quarantine does not
  /// grow.
  static constexpr std::size_t kCrashesToSuspectProven = 4;
  static constexpr auto kProvenTime = std::chrono::minutes(1);
  static constexpr auto kMinProvenSpan = std::chrono::seconds(1);
  /// Quarantine after kCrashesToSuspect crashes, the factor for each further crash, and the limit.
  static constexpr auto kFirstQuarantine = std::chrono::seconds(5);
  static constexpr auto kQuarantineGrowth = 4;
  static constexpr auto kMaxQuarantine = std::chrono::minutes(10);
  /// Time for the outcome of a trial to become known, after which another one may be made.
  static constexpr auto kTrialTime = std::chrono::seconds(5);
  /// Crashes kept for each part, the newest first.
  static constexpr std::size_t kMaxCrashes = 8;
  /// Maximum number of parts with evidence, and of parts known to have been answered.
  static constexpr std::size_t kMaxParts = 512;
  static constexpr std::size_t kMaxProvenParts = 4096;

  /// Whether a request may be sent to an endpoint.
  struct verdict
  {
    /// Position of the part for which the request is rejected; empty if it is admitted.
    std::optional<std::size_t> mRejectedPart;
    /// For rejections: time until the next trial, and the crashes behind it.
    duration mRetryAfter{};
    std::size_t mCrashes = 0;
    /// The request is admitted only to find out whether its suspected part still crashes endpoints.
    bool mIsTrial = false;
  };

  /// aTrialDelay is the share of a quarantine (0 to 1) by which this entry makes its trials later
  /// than the earliest entry, so that entries rarely make them at the same time.
  explicit prompt_quarantine(double aTrialDelay = 0)
    : mTrialDelay(aTrialDelay)
  {
  }

  /// Records that a request with aParts was unanswered when an endpoint crashed.
  auto OnCrash(crash_id aCrash, const std::vector<prompt_part_key>& aParts, time_point aNow)
    -> void;
  /// Records that an endpoint has answered a request with aParts.
  auto OnAnswer(const std::vector<prompt_part_key>& aParts, time_point aNow) -> void;
  /// Records that a response to the whole request aRequest came to its regular end. A rejection
  /// that says that the request has not run is no such response.
  auto OnRequestAnswered(prompt_part_key aRequest, time_point aNow) -> void;
  /// Merges evidence of a peer.
  auto Merge(const std::vector<crash_evidence>& aEvidence, time_point aNow) -> void;
  /// Decides about a request with aParts. An admitted trial counts as sent.
  [[nodiscard]] auto Judge(const std::vector<prompt_part_key>& aParts, time_point aNow) -> verdict;
  auto RemoveExpired(time_point aNow) -> void;

  /// Evidence for peers, of the parts with most crashes first, at most aLimit entries.
  [[nodiscard]] auto Evidence(std::size_t aLimit, time_point aNow) const
    -> std::vector<crash_evidence>;
  /// Number of changes of the evidence so far by what this entry itself has seen.
  [[nodiscard]] auto OwnChanges() const -> std::uint64_t { return mOwnChanges; }
  /// Number of parts that are suspected at present.
  [[nodiscard]] auto SuspectCount(time_point aNow) const -> std::size_t;

private:
  struct crash_record
  {
    crash_id mCrash = 0;
    time_point mSeen;
    bool mIsRefuted = false;
  };
  struct part_state
  {
    /// The newest first.
    std::vector<crash_record> mCrashes;
    time_point mNextTrial;
  };

  /// Returns whether the evidence has changed.
  auto Add(prompt_part_key aPart, const crash_record& aRecord) -> bool;
  auto MakeRoom(prompt_part_key aPart) -> void;
  [[nodiscard]] auto WasAnsweredSince(prompt_part_key aPart, time_point aSince) const -> bool;
  [[nodiscard]] auto IsSuspected(prompt_part_key aPart,
                                 const part_state& aState,
                                 time_point aNow) const -> bool;
  /// Whether a part outside of aParts was unanswered at all of the crashes of aState.
  [[nodiscard]] auto IsExplainedWithout(const std::vector<prompt_part_key>& aParts,
                                        const part_state& aState) const -> bool;
  [[nodiscard]] auto NextTrial(prompt_part_key aPart,
                               const part_state& aState,
                               time_point aNow) const -> time_point;
  [[nodiscard]] static auto Expiry(const part_state& aState) -> time_point;

  double mTrialDelay;
  std::map<prompt_part_key, part_state> mParts;
  std::unordered_map<prompt_part_key, time_point> mLastAnswers;
  std::uint64_t mOwnChanges = 0;
};

} // namespace bronzering
