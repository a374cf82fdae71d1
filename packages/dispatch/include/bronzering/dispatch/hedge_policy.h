#pragma once

#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>
#include <bronzering/dispatch/answer_time_histogram.h>
#include <bronzering/dispatch/dispatch_queue.h>
#include <bronzering/dispatch/endpoint_table.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Requests whose answer times are comparable.
struct hedge_class
{
  std::string mService;
  std::string mRoute;
  /// Size of the work on a logarithmic scale; 0 for services that are not models.
  std::uint32_t mSize = 0;
  /// Whether the first event counts as the answer, not the end.
  bool mIsStream = false;

  // clang-tidy 14 reports the zero in a defaulted comparison as a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const hedge_class&) const = default;
};

/// The class of a request. For the first event of a stream only the prompt counts.
[[nodiscard]] auto HedgeClassOf(std::string aService,
                                std::string aRoute,
                                const token_work& aWork,
                                bool aIsStream) -> hedge_class;

/// What became of a second attempt that was made beside the first one. The names appear in logs and
/// metrics.
enum class second_attempt_result
{
  /// It answered first.
  Won,
  /// The first attempt answered first.
  Lost,
  /// It failed while the first attempt was in progress, or both failed.
  Failed,
  /// The caller left, or its time was over, before either answered.
  Abandoned
};
inline constexpr auto kSecondAttemptResultNames =
  name_table<second_attempt_result, 4>{ { { { second_attempt_result::Won, "won" },
                                            { second_attempt_result::Lost, "lost" },
                                            { second_attempt_result::Failed, "failed" },
                                            { second_attempt_result::Abandoned, "abandoned" } } } };

/// Decides when a request in progress may be hedged. A hedge may be sent once the answer is later
/// than a high percentile of the recent answers to such work, and if another endpoint is expected
/// to end earlier. At any time, the hedges of a service are at most the given percentage of its
/// requests, and in any interval at most kMaxSavedHedges more. None is sent shortly after a request
/// of the service found no free slot. Where hedges seldom win, they are only tried now and then.
/// Not thread-safe: owned by the control thread.
class hedge_policy
{
public:
  static constexpr auto kPercentile = 0.95;
  /// Fewer answers give no 95th percentile.
  static constexpr auto kMinAnswers = 40.0;
  /// Hedges that may be saved up while none is needed.
  static constexpr auto kMaxSavedHedges = 10;
  /// How long a service counts as short of slots after a request found none. Digests, in which
  /// entries learn of each other's slots, are up to half a second old.
  static constexpr auto kShortageTime = std::chrono::seconds(1);
  /// Share of hedges that must win; below it, they cost more work than they save time.
  static constexpr auto kMinWinShare = 0.2;
  /// Interval between hedges while too few of them win.
  static constexpr auto kTrialInterval = std::chrono::seconds(10);
  /// Bounds the memory of the histograms to about 200 KB. The one that was not used for longest is
  /// dropped.
  static constexpr auto kMaxClasses = std::size_t{ 256 };

  /// aPercent is the percentage of a service's requests that may be hedged, of which two decimals
  /// count; 0 means none. Precondition: 0 <= aPercent <= 100.
  explicit hedge_policy(double aPercent);

  /// Whether any request may be hedged. If not, nothing needs to be recorded.
  [[nodiscard]] auto IsOn() const -> bool { return mShare > 0; }
  /// Forgets the services that are not in aServices.
  auto RetainServices(const std::vector<service_spec>& aServices) -> void;

  auto OnRequest(std::string_view aService) -> void;
  /// Records that a request of the service had to wait for a slot, or got none.
  auto OnShortage(std::string_view aService, time_point aNow) -> void;
  /// Records the time of an attempt from its sending until its answer, or the first event.
  auto OnAnswer(const hedge_class& aClass, duration aTime, time_point aNow) -> void;
  /// Records that an attempt was cancelled after aElapsed because another one answered first.
  /// Returns the time that it would probably have taken: the median of the times beyond aElapsed.
  /// That is recorded, so that cancelled attempts do not pass for fast ones.
  auto OnCancelled(const hedge_class& aClass, duration aElapsed, time_point aNow) -> duration;

  /// Time after its sending from which a request may be hedged; empty if too few answers are known.
  [[nodiscard]] auto DelayOf(const hedge_class& aClass) const -> std::optional<duration>;
  /// Whether a request that was sent aElapsed ago may be hedged now, as far as this depends on
  /// earlier requests.
  [[nodiscard]] auto MayHedge(const hedge_class& aClass, duration aElapsed, time_point aNow) const
    -> bool;
  /// The endpoint at which a request that was sent aElapsed ago is hedged now; empty if it is not.
  /// No request waits for the service, the endpoint has a free slot, and it is expected to answer
  /// before the first one. Precondition: aTicket excludes the first endpoint.
  [[nodiscard]] auto ChooseEndpoint(const dispatch_queue& aQueue,
                                    dispatch_ticket aTicket,
                                    const hedge_class& aClass,
                                    duration aElapsed,
                                    time_point aNow) const -> std::optional<endpoint_table::choice>;

  /// Records that a hedge is sent. Precondition: MayHedge.
  auto OnHedge(std::string_view aService, time_point aNow) -> void;
  auto OnResult(std::string_view aService, second_attempt_result aResult) -> void;

private:
  struct service_state
  {
    /// Hedges that may be sent now, in units of 1 / kUnitsPerHedge.
    std::int64_t mCredit = 0;
    /// Moving average of the share of hedges that won. The first ones are sent without knowing.
    double mWinShare = 0.5;
    std::optional<time_point> mLastHedge;
    std::optional<time_point> mLastShortage;
  };
  /// A hundredth of a percent of a hedge, so that the limit is kept exactly.
  static constexpr auto kUnitsPerHedge = std::int64_t{ 10'000 };

  [[nodiscard]] auto HistogramOf(const hedge_class& aClass) -> answer_time_histogram&;
  [[nodiscard]] auto StateOf(std::string_view aService) -> service_state&;

  /// What a request adds to the credit of its service.
  std::int64_t mShare;
  std::map<hedge_class, answer_time_histogram> mHistograms;
  std::map<std::string, service_state, std::less<>> mServices;
};

} // namespace bronzering
