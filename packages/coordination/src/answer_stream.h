#pragma once

#include <bronzering/coordination/messages.h>

#include <cstdint>
#include <optional>

namespace bronzering {

/// Flow control and integrity check for one response that an entry relays to its caller: verifies
/// that no byte is missing, repeated or beyond the window, and advances the window as the caller
/// reads. Owned by the request; used on the control thread only.
class answer_stream
{
public:
  explicit answer_stream(std::uint64_t aWindowBytes = 0);

  /// Returns whether the part continues the body at the expected offset and within the window, and
  /// counts its bytes if so.
  [[nodiscard]] auto Accept(const answer_data& aData) -> bool;
  /// Whether all aTotalBytes of the body were received.
  [[nodiscard]] auto IsFullyReceived(std::uint64_t aTotalBytes) const -> bool;
  /// The caller has read this many bytes in total. Returns the new total that the agent may send if
  /// it grew enough for a window message.
  [[nodiscard]] auto OnProgress(std::uint64_t aTotalBytes) -> std::optional<std::uint64_t>;
  /// Total number of bytes that the agent may send.
  [[nodiscard]] auto Limit() const -> std::uint64_t { return mLimit; }
  [[nodiscard]] auto Received() const -> std::uint64_t { return mReceived; }

private:
  std::uint64_t mWindowBytes;
  std::uint64_t mReceived = 0;
  std::uint64_t mLimit;
};

} // namespace bronzering
