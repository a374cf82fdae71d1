#pragma once

#include <bronzering/base/time.h>
#include <bronzering/dispatch/endpoint_incarnation_key.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Identifies what requests that crash endpoints may have in common, in messages between peers: a
/// prompt part of one service, or a whole request.
using suspect_key = std::uint64_t;
[[nodiscard]] auto HashPromptPart(std::string_view aService, std::string_view aPart) -> suspect_key;
/// The key of a whole request: two requests have the same key if all arguments are equal. aCaller
/// is the organisation's name, or empty. Keys of requests have kRequestKeyBit set, those of parts
/// have not, so that peers can tell them apart.
[[nodiscard]] auto HashWholeRequest(std::string_view aService,
                                    std::string_view aCaller,
                                    std::string_view aMethod,
                                    std::string_view aTarget,
                                    std::string_view aBody) -> suspect_key;
constexpr auto kRequestKeyBit = suspect_key{ 1 } << 63U;

/// Identifies a crash by the incarnation of the endpoint that it ended.
using crash_id = endpoint_incarnation_key;

/// A request was broken off when an endpoint crashed.
struct crash_evidence
{
  /// The request, or a part of its prompt if the endpoint had not begun to answer.
  suspect_key mPart = 0;
  crash_id mCrash = 0;
  /// Time since the crash.
  duration mAge{};
  /// A request with the key has been answered since, so it was not the cause.
  bool mIsRefuted = false;

  auto operator==(const crash_evidence&) const -> bool = default;
};

/// Finds requests and prompt parts that crash endpoints, and keeps them from further endpoints.
///
/// Evidence is what the victims of different crashes have in common: a prompt part, or the whole
/// request if a caller sends it again. Such a key is suspected when requests with it were broken
/// off at several crashes and none has been answered since. A request is rejected if one of its
/// keys is suspected, unless a key that it does not have explains the same crashes. That spares
/// requests that only share other parts with the cause, and those that were at the endpoint by
/// chance. The quarantine ends after a time that grows with the number of crashes; then one request
/// at a time is admitted as a trial. An answer clears the key.
///
/// Whole requests differ from parts in what they are held to. Endpoints that crash together by
/// themselves break off the same popular request several times at once, so the crashes of a request
/// must span kMinRequestSpan. Two requests that were at the same crashes explain each other, and
/// one of them may be the cause, so an explanation spares a request only below kCrashesToCondemn. A
/// request counts as answered when its response has ended: it may crash the endpoint after some
/// events.
///
/// Evidence only grows until it expires: merging that of peers is commutative and idempotent, and
/// any peer can pass on what an entry has learned before it restarted. Its size is bounded whatever
/// callers send; keys with few crashes give way to keys with more, and older ones to newer ones.
/// Not thread-safe: owned by the control thread.
class crash_quarantine
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
  /// The crashes of a whole request must span this time for it to be suspected.
  static constexpr auto kMinRequestSpan = std::chrono::seconds(1);
  /// Crashes from which on a whole request is rejected even if another key explains them.
  static constexpr std::size_t kCrashesToCondemn = 3;
  /// Quarantine after kCrashesToSuspect crashes, the factor for each further crash, and the limit.
  static constexpr auto kFirstQuarantine = std::chrono::seconds(5);
  static constexpr auto kQuarantineGrowth = 4;
  static constexpr auto kMaxQuarantine = std::chrono::minutes(10);
  /// Time for the outcome of a trial to become known, after which another one may be made.
  static constexpr auto kTrialTime = std::chrono::seconds(5);
  /// Crashes kept for each key: the newest and the first.
  static constexpr std::size_t kMaxCrashes = 8;
  /// How often what this entry itself has seen is sent to peers, since messages may be lost.
  static constexpr auto kNewsRepeats = 3U;
  /// Maximum number of keys with evidence, and of parts known to have been answered.
  static constexpr std::size_t kMaxParts = 512;
  static constexpr std::size_t kMaxProvenParts = 4096;

  /// Whether a request may be sent to an endpoint.
  struct verdict
  {
    /// Position of the key for which the request is rejected, the one with the longest quarantine;
    /// empty if it is admitted.
    std::optional<std::size_t> mRejectedKey;
    /// For rejections: time until the next trial, and the crashes behind it.
    duration mRetryAfter{};
    std::size_t mCrashes = 0;
    /// The request is admitted only to find out whether its suspected part still crashes endpoints.
    bool mIsTrial = false;
  };

  /// aTrialDelay is the share of a quarantine (0 to 1) by which this entry makes its trials later
  /// than the earliest entry, so that entries rarely make them at the same time.
  explicit crash_quarantine(double aTrialDelay = 0)
    : mTrialDelay(aTrialDelay)
  {
  }

  /// Records that a request with the keys aParts was broken off when an endpoint crashed. Parts of
  /// its prompt are among them only if the endpoint had not begun to answer.
  auto OnCrash(crash_id aCrash, const std::vector<suspect_key>& aParts, time_point aNow) -> void;
  /// Records that an endpoint has begun to answer a request with the prompt parts aParts.
  auto OnAnswer(const std::vector<suspect_key>& aParts, time_point aNow) -> void;
  /// Records that a response to the whole request aRequest came to its regular end. A rejection
  /// that says that the request has not run is no such response.
  auto OnRequestAnswered(suspect_key aRequest, time_point aNow) -> void;
  /// Merges evidence of a peer.
  auto Merge(const std::vector<crash_evidence>& aEvidence, time_point aNow) -> void;
  /// Decides about a request with the keys aParts, its own among them. An admitted trial counts as
  /// sent.
  [[nodiscard]] auto Judge(const std::vector<suspect_key>& aParts, time_point aNow) -> verdict;
  auto RemoveExpired(time_point aNow) -> void;

  /// Evidence for peers, at most aLimit entries: of the keys with most crashes first for one half,
  /// then of what this entry itself has seen since, then of all keys in turn.
  [[nodiscard]] auto TakeEvidence(std::size_t aLimit, time_point aNow)
    -> std::vector<crash_evidence>;
  /// Whether this entry itself has seen what peers may not know yet.
  [[nodiscard]] auto HasNews() const -> bool { return mNews > 0; }
  /// Number of keys with evidence.
  [[nodiscard]] auto Size() const -> std::size_t { return mParts.size(); }
  /// Number of keys that are suspected at present.
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
    /// Of a whole request, the last answer; those of parts are in mLastAnswers.
    std::optional<time_point> mLastAnswer;
    /// How often it is still to be sent as news, and when it was sent last.
    std::uint32_t mNewsRepeats = 0;
    std::uint64_t mLastTaken = 0;
  };
  /// Orders keys by their number of crashes that no answer has refuted, then by the last crash.
  struct rank
  {
    std::size_t mCrashes = 0;
    time_point mLastCrash;
    suspect_key mPart = 0;

    auto operator<=>(const rank&) const = default;
  };
  using part_map = std::map<suspect_key, part_state>;

  /// Returns whether the evidence has changed.
  auto Add(suspect_key aPart, const crash_record& aRecord) -> bool;
  /// Returns whether there is room for a key of this rank.
  auto MakeRoom(const rank& aRank) -> bool;
  auto Erase(part_map::iterator aPart) -> part_map::iterator;
  /// An answer to a request with the key refutes all its evidence.
  auto Refute(suspect_key aPart) -> void;
  auto SetNews(part_state& aState, std::uint32_t aRepeats) -> void;
  [[nodiscard]] static auto RankOf(suspect_key aPart, const part_state& aState) -> rank;
  [[nodiscard]] auto WasAnsweredSince(suspect_key aPart, time_point aSince) const -> bool;
  [[nodiscard]] auto IsSuspected(suspect_key aPart, const part_state& aState, time_point aNow) const
    -> bool;
  /// Whether a key outside of aParts was broken off at all of the crashes of aState.
  [[nodiscard]] auto IsExplainedWithout(const std::vector<suspect_key>& aParts,
                                        const part_state& aState) const -> bool;
  /// Whether the key is suspected even if another one explains its crashes.
  [[nodiscard]] static auto IsCondemned(suspect_key aPart, const part_state& aState) -> bool;
  [[nodiscard]] auto NextTrial(suspect_key aPart, const part_state& aState, time_point aNow) const
    -> time_point;
  [[nodiscard]] static auto Expiry(const part_state& aState) -> time_point;

  double mTrialDelay;
  part_map mParts;
  /// One for each key of mParts.
  std::set<rank> mRanks;
  std::unordered_map<suspect_key, time_point> mLastAnswers;
  /// Number of keys with mNewsRepeats above zero.
  std::size_t mNews = 0;
  std::uint64_t mTaken = 0;
};

} // namespace bronzering
