#pragma once

#include <bronzering/base/time.h>

#include <cstdint>

namespace bronzering {

/// Detects that this entry's configuration stays behind a peer's. Entries get each version at
/// slightly different times, so an entry is late only if it still lacks a version some time after
/// a peer was known to have it. Not thread-safe: owned by the control thread.
class configuration_lag
{
public:
  /// Time within which an entry that is connected to the source gets what its peers have.
  static constexpr auto kTolerance = std::chrono::milliseconds(1'000);

  /// Updates the state with the version in force at this entry and the one that a peer has just
  /// reported; 0 means none.
  auto Update(std::uint64_t aOwnVersion, std::uint64_t aPeerVersion, time_point aNow) -> void
  {
    if (aOwnVersion >= mExpectedVersion) {
      mExpectedVersion = 0;
    }
    if (mExpectedVersion == 0 && aPeerVersion > aOwnVersion) {
      mExpectedVersion = aPeerVersion;
      mExpectedSince = aNow;
    }
  }
  /// Starts the time anew, after an attempt to get the version from a peer.
  auto Restart(time_point aNow) -> void { mExpectedSince = aNow; }
  /// Whether a version that a peer had kTolerance ago is still missing.
  [[nodiscard]] auto IsLate(time_point aNow) const -> bool
  {
    return mExpectedVersion > 0 && aNow - mExpectedSince >= kTolerance;
  }
  /// The oldest version known to be missing; 0 if there is none.
  [[nodiscard]] auto ExpectedVersion() const -> std::uint64_t { return mExpectedVersion; }

private:
  std::uint64_t mExpectedVersion = 0;
  time_point mExpectedSince;
};

} // namespace bronzering
