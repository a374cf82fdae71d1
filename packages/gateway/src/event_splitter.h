#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzering {

/// Cuts a stream of server-sent events into whole events, so that no partial event is passed on,
/// and reads their ids. Events with an id that was seen before are dropped, as after a resumption.
/// Not thread-safe.
class event_splitter
{
public:
  struct part
  {
    /// Whole events, ready to be passed on.
    std::string mBytes;
    std::uint32_t mEvents = 0;
    /// An id was skipped: the stream does not continue where it ended.
    bool mHasGap = false;
  };

  /// Takes the next bytes of the current run.
  auto Add(std::string_view aBytes) -> part;
  /// The rest after the last whole event; the run has ended.
  [[nodiscard]] auto Rest() const -> const std::string& { return mPending; }
  /// A new run of the same request begins: the rest of the last one is dropped.
  auto BeginRun() -> void;
  /// Id of the last event that was passed on; empty before the first.
  [[nodiscard]] auto LastId() const -> const std::string& { return mLastId; }
  [[nodiscard]] auto EventCount() const -> std::uint64_t { return mEvents; }

private:
  std::string mPending;
  std::string mLastId;
  std::uint64_t mEvents = 0;
  bool mIsResumed = false;
};

} // namespace bronzering
