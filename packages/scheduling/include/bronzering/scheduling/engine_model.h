#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>
#include <bronzering/scheduling/engine_rate_estimator.h>

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace bronzering {

/// Configured capacity of an endpoint and initial values of its measured rates. A model engine
/// processes the prompt of a request first (prefill) and then generates one token per step for each
/// request of the batch. The KV cache holds the state of all prompt and generated tokens.
struct engine_limits
{
  /// False for endpoints of plain services, which are limited by mMaxConcurrency only.
  bool mIsModel = false;
  /// Number of requests that may run at the same time; the largest batch of a model engine.
  std::uint32_t mMaxConcurrency = 1;
  /// Capacity of the KV cache in tokens. This and the members below apply to model engines only.
  std::uint64_t mKvTokens = 0;
  /// Prompt tokens processed per second, not counting those in the prefix cache.
  double mPrefillTokensPerSecond = 0;
  /// Duration of one step with a batch of one request.
  duration mStepTime{};
};

/// Estimated work of one request.
struct work_estimate
{
  std::uint64_t mPromptTokens = 0;
  /// Prompt tokens that are expected to be in the prefix cache.
  std::uint64_t mCachedTokens = 0;
  std::uint64_t mOutputTokens = 0;
  duration mFirstTokenTarget{};
  duration mInterTokenTarget{};
  time_point mDeadline;
};

enum class admission
{
  /// The request fits now.
  Admit,
  /// The request does not fit now, but fits an idle engine.
  Wait,
  /// The request exceeds the KV cache of this engine.
  TooLarge,
  /// The deadline cannot be met even by an idle engine.
  DeadlineTooShort
};
inline constexpr auto kAdmissionNames =
  name_table<admission, 4>{ { { { admission::Admit, "admit" },
                                { admission::Wait, "wait" },
                                { admission::TooLarge, "too_large" },
                                { admission::DeadlineTooShort, "deadline_too_short" } } } };

/// Admission control of one endpoint. A model engine admits by free KV cache, predicted step time,
/// prefill backlog and deadline; a plain endpoint by concurrency. This class counts the work
/// that its agent has granted or dispatched; load reports, which arrive late, are used only to
/// detect load from other clients. Owned by the agent's control thread; not thread-safe.
class engine_model
{
public:
  explicit engine_model(engine_limits aLimits);

  /// Applies new limits. Measured rates are kept unless the kind of endpoint, the concurrency or a
  /// configured rate changed.
  auto Configure(engine_limits aLimits) -> void;

  /// Whether this request fits now.
  [[nodiscard]] auto CheckAdmission(const work_estimate& aWork, time_point aNow) const -> admission;

  /// Reserves capacity for a granted request. Precondition: the request has no reservation.
  auto Reserve(request_id aRequest, const work_estimate& aWork) -> void;
  /// Records that the request was sent to the endpoint; reserves its capacity if that has not been
  /// done.
  auto Start(request_id aRequest, const work_estimate& aWork, time_point aNow) -> void;
  /// Records the number of tokens that the endpoint has generated so far for a request. The
  /// interval since the last call is a sample of the step time, except after SkipNextTokenInterval.
  /// Unknown requests are ignored.
  auto OnTokens(request_id aRequest, std::uint64_t aGenerated, time_point aNow) -> void;
  /// Excludes the next interval between tokens of this request from the measurement, because
  /// reading its answer was paused or interrupted.
  auto SkipNextTokenInterval(request_id aRequest) -> void;
  /// Called when this process resumes after having been paused. Excludes intervals that span the
  /// pause and the burst of delayed events after it from the measurement.
  auto OnProcessResumed(time_point aNow) -> void;
  /// Records a complete answer, with the token counts reported by the engine.
  auto Complete(request_id aRequest,
                std::uint64_t aPromptTokens,
                std::uint64_t aCachedTokens,
                time_point aNow) -> void;
  /// Frees the capacity of a request that was revoked, cancelled or failed, without a measurement.
  auto Release(request_id aRequest) -> void;

  /// Applies the engine's own load report, which arrives late.
  auto OnLoadReport(std::uint32_t aRunning, std::uint64_t aFreeKvTokens, time_point aNow) -> void;

  /// Number of requests that are granted or running, including those of other clients.
  [[nodiscard]] auto OccupiedSlots() const -> std::uint32_t;
  [[nodiscard]] auto FreeSlots() const -> std::uint32_t;
  [[nodiscard]] auto FreeKvTokens() const -> std::uint64_t;
  [[nodiscard]] auto PrefillTokensPerSecond(time_point aNow) const -> double;
  /// For model engines, the predicted step time at the current batch size. For plain endpoints, the
  /// predicted service time of a request at the current concurrency.
  [[nodiscard]] auto StepTime(time_point aNow) const -> duration;
  [[nodiscard]] auto Limits() const -> const engine_limits& { return mLimits; }

private:
  struct request_state
  {
    work_estimate mEstimate;
    std::uint64_t mKvTokens = 0;
    bool mStarted = false;
    bool mSkipNextInterval = false;
    /// This process was paused while the request ran.
    bool mSpansPause = false;
    std::uint64_t mGenerated = 0;
    time_point mStartedAt;
    /// Earliest time at which prefill could begin: the request's start, or the end of the prefill
    /// before it.
    time_point mPrefillStart;
    std::optional<time_point> mFirstTokenAt;
    time_point mLastTokenAt;
  };
  /// Peak usage by this agent within one period of kUsagePeriod (half a second).
  struct usage_sample
  {
    std::int64_t mPeriod = -1;
    std::uint32_t mRunning = 0;
    std::uint64_t mKvTokens = 0;
  };

  auto RecordUsage(time_point aNow) -> void;
  auto Remove(request_id aRequest) -> void;
  [[nodiscard]] auto AssessModel(const work_estimate& aWork, time_point aNow) const -> admission;

  engine_limits mLimits;
  engine_rate_estimator mRates;
  std::unordered_map<request_id, request_state> mRequests;
  /// End of the burst of delayed events after a pause of this process.
  time_point mIgnoreSamplesUntil;
  /// Sums over mRequests.
  std::uint64_t mReservedKvTokens = 0;
  std::uint32_t mStartedCount = 0;
  /// Load from other clients, derived from load reports.
  std::uint32_t mOtherClientsRunning = 0;
  std::uint64_t mOtherClientsKvTokens = 0;
  /// The usage in the latest periods, indexed by period modulo the size. These cover at least
  /// the last 2 seconds, because a load report may describe any moment of the last seconds.
  std::array<usage_sample, 5> mUsageHistory;
  /// Time of the latest first token of any request, after which the engine could begin the next
  /// prefill.
  time_point mLastFirstToken;
};

} // namespace bronzering
