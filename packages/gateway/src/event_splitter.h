#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzering {

/// Splits a stream of server-sent events into complete events, so that no partial event is
/// forwarded, and tracks their ids. After a resumption, events that were already forwarded are
/// dropped. Not thread-safe.
class event_splitter
{
public:
  struct part
  {
    /// Complete events, ready to be forwarded.
    std::string mBytes;
    std::uint32_t mEvents = 0;
    /// An id was skipped: the resumed stream does not continue after the last forwarded event.
    bool mHasGap = false;
  };

  /// Adds the next bytes of the current attempt.
  auto Add(std::string_view aBytes) -> part;
  /// The bytes after the last complete event. Unless it is empty, a stream that ends here was
  /// broken off.
  [[nodiscard]] auto PartialEvent() const -> const std::string& { return mPending; }
  /// Starts a new attempt at the same request and discards the partial event of the previous one.
  auto BeginAttempt() -> void;
  /// Id of the last forwarded event; empty before the first.
  [[nodiscard]] auto LastId() const -> const std::string& { return mLastId; }
  [[nodiscard]] auto EventCount() const -> std::uint64_t { return mEvents; }

private:
  std::string mPending;
  std::string mLastId;
  std::uint64_t mEvents = 0;
  bool mIsResumed = false;
};

} // namespace bronzering
