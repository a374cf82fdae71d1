#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>
#include <bronzering/scheduling/learned_rates.h>

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bronzering {

/// Size and starting rates of an endpoint.
struct engine_limits
{
  /// False for plain services, whose only limit is mMaxConcurrency.
  bool mIsModel = false;
  std::uint32_t mMaxConcurrency = 1;
  std::uint64_t mKvTokens = 0;
  double mPrefillTokensPerSecond = 0;
  duration mStepTime{};
};

/// What one request asks of the endpoint.
struct work_estimate
{
  std::uint64_t mPromptTokens = 0;
  /// Part of the prompt that is expected to be in the prefix cache.
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mOutputTokens = 0;
  duration mFirstTokenTarget{};
  duration mInterTokenTarget{};
  time_point mDeadline;
};

enum class admission
{
  /// Fits now.
  Admit,
  /// Does not fit now, but would fit the empty engine.
  Wait,
  /// Never fits this engine.
  TooLarge,
  /// Its deadline cannot be met even by the empty engine.
  DeadlineTooShort
};
inline constexpr auto kAdmissionNames =
  name_table<admission, 4>{ { { { admission::Admit, "admit" },
                                { admission::Wait, "wait" },
                                { admission::TooLarge, "too_large" },
                                { admission::DeadlineTooShort, "deadline_too_short" } } } };

/// Decides what fits on an endpoint. Model engines admit by free KV cache, predicted step time,
/// prefill backlog and deadline; plain endpoints by concurrency. Knows the work that its agent has
/// granted or dispatched; load reports, which are late, only reveal use by others. Owned by the
/// agent's control thread; not thread-safe.
class engine_model
{
public:
  explicit engine_model(engine_limits aLimits);

  /// Applies new limits; learned rates are kept unless the configured rates changed.
  auto Configure(engine_limits aLimits) -> void;

  /// Whether this request fits now.
  [[nodiscard]] auto CheckAdmission(const work_estimate& aWork, time_point aNow) const -> admission;

  /// Holds room for a granted request. Precondition: the request holds none.
  auto Reserve(request_id aRequest, const work_estimate& aWork) -> void;
  /// The request was sent to the endpoint, with or without a reservation before.
  auto Start(request_id aRequest, const work_estimate& aWork, time_point aNow) -> void;
  /// The endpoint has generated this many tokens so far. A pause in reading makes the interval
  /// useless as a measurement; see SkipNextTokenInterval. Unknown requests are ignored.
  auto OnTokens(request_id aRequest, std::uint64_t aGenerated, time_point aNow) -> void;
  /// The next interval between tokens of this request is not a measurement of the engine.
  auto SkipNextTokenInterval(request_id aRequest) -> void;
  /// This process was paused and wakes up now: what it measures across the pause, and the burst of
  /// late events after it, say nothing about the engine.
  auto OnProcessResumed(time_point aNow) -> void;
  /// The answer is whole; aCached and aPrompt are as the engine counted them.
  auto Complete(request_id aRequest,
                std::uint64_t aPromptTokens,
                std::uint64_t aCachedTokens,
                time_point aNow) -> void;
  /// Frees the room of a request that was revoked, cancelled or failed; nothing is learned.
  auto Release(request_id aRequest) -> void;

  /// The engine's own view of its load, late.
  auto OnLoadReport(std::uint32_t aRunning, std::uint64_t aFreeKvTokens, time_point aNow) -> void;

  /// Requests on the endpoint or granted.
  [[nodiscard]] auto OccupiedSlots() const -> std::uint32_t;
  [[nodiscard]] auto FreeSlots() const -> std::uint32_t;
  [[nodiscard]] auto FreeKvTokens() const -> std::uint64_t;
  [[nodiscard]] auto PrefillTokensPerSecond(time_point aNow) const -> double;
  /// Predicted step time at the current batch; mean service time for plain endpoints.
  [[nodiscard]] auto StepTime(time_point aNow) const -> duration;
  [[nodiscard]] auto Limits() const -> const engine_limits& { return mLimits; }

private:
  struct work_state
  {
    work_estimate mEstimate;
    std::uint64_t mKvTokens = 0;
    bool mStarted = false;
    bool mSkipInterval = false;
    /// This process was paused while the request ran.
    bool mSpansPause = false;
    std::uint64_t mGenerated = 0;
    time_point mStartedAt;
    /// When the engine could begin with this prompt: at the start or after the prompt before it.
    time_point mPrefillFrom;
    std::optional<time_point> mFirstTokenAt;
    time_point mLastTokenAt;
  };
  /// The highest own use within half a second.
  struct usage_sample
  {
    std::int64_t mPeriod = -1;
    std::uint32_t mRunning = 0;
    std::uint64_t mKvTokens = 0;
  };

  auto Remember(time_point aNow) -> void;
  auto Remove(request_id aRequest) -> void;
  [[nodiscard]] auto AssessModel(const work_estimate& aWork, time_point aNow) const -> admission;

  engine_limits mLimits;
  learned_rates mRates;
  std::unordered_map<request_id, work_state> mWork;
  /// Sums over mWork.
  time_point mIgnoreSamplesUntil;
  std::uint64_t mReservedKv = 0;
  std::uint32_t mStarted = 0;
  /// Use by others, as far as load reports reveal it.
  std::uint32_t mForeignRunning = 0;
  std::uint64_t mForeignKv = 0;
  std::array<usage_sample, 5> mUsage;
  time_point mLastFirstToken;
};

} // namespace bronzering
