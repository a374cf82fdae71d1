#pragma once

#include <bronzering/base/name_table.h>
#include <bronzering/base/time.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace bronzering {

/// What the source of published items guarantees about them.
struct source_bounds
{
  /// Interval at which owners renew their items, several times before an item expires. If the
  /// source fails for less than that, none of them expires. Zero: not known.
  duration mRenewalInterval{};
  /// Time after the source has accepted a removal within which it must have taken effect.
  std::optional<duration> mRemovalLimit;
};

/// What the time between a failed call to the source and its next answer says about the source.
enum class source_interruption
{
  /// A connection broke, while the source worked.
  Connection,
  /// A connection broke, or the source failed briefly: items may have expired.
  Uncertain,
  /// The source failed, so that items may have expired although their owners are alive.
  Outage
};
inline constexpr auto kSourceInterruptionNames =
  name_table<source_interruption, 3>{ { { { source_interruption::Connection, "connection" },
                                          { source_interruption::Uncertain, "uncertain" },
                                          { source_interruption::Outage, "outage" } } } };

/// Judges from the answers and failures of calls whether the source is reachable, and how long
/// removals wait after an interruption for owners to renew what may have expired in it. A single
/// failed call is no outage: the source may cut a connection at any time. Not thread-safe: owned by
/// the control thread.
class source_monitor
{
public:
  /// Time after an outage within which owners that are alive write their expired items again.
  static constexpr auto kRenewalGrace = std::chrono::milliseconds(2'200);
  /// A source that works answers the call after a failed one within this time.
  static constexpr auto kPromptRecovery = std::chrono::milliseconds(500);
  /// The part of source_bounds::mRemovalLimit that is left for requests that are on their way.
  static constexpr auto kRemovalMargin = std::chrono::milliseconds(150);

  explicit source_monitor(source_bounds aBounds = {});

  /// Records a call that failed.
  auto OnFailure(time_point aNow) -> void;
  /// Records an answer. Returns what the interruption was that it ends; empty if there was none.
  auto OnAnswer(time_point aNow) -> std::optional<source_interruption>;
  /// Records that the source was restored from an older copy, which may lack recent items.
  auto OnRestored(time_point aNow) -> void;

  [[nodiscard]] auto IsReachable() const -> bool { return mIsReachable; }
  /// Until when removals wait: they must not before the source answers, and should not until then.
  [[nodiscard]] auto GraceEnd() const -> time_point { return mGraceEnd; }
  /// When the source was last restored or became reachable, other than after the loss of a mere
  /// connection.
  [[nodiscard]] auto LastDisturbance() const -> time_point { return mLastDisturbance; }
  /// How long the removal of an item may wait once it is known, within the removal limit.
  [[nodiscard]] auto MaxWait() const -> duration;

private:
  [[nodiscard]] auto Classify(time_point aNow) const -> source_interruption;

  source_bounds mBounds;
  bool mIsReachable = false;
  std::optional<time_point> mLastAnswer;
  /// First failure since the last answer.
  std::optional<time_point> mFailedAt;
  std::uint32_t mFailures = 0;
  time_point mGraceEnd;
  time_point mLastDisturbance;
};

} // namespace bronzering
