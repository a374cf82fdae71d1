#pragma once

#include <bronzering/coordination/messages.h>

#include <cstdint>
#include <optional>

namespace bronzering {

/// Position of one answer on its way to the caller: checks that no byte is missing, repeated or
/// sent beyond the window, and opens the window as the caller takes bytes. Owned by the request;
/// used on the control thread only.
class answer_stream
{
public:
  explicit answer_stream(std::uint64_t aWindowBytes = 0);

  /// Whether the part continues the answer within the window. If so it is counted.
  [[nodiscard]] auto Accept(const answer_data& aData) -> bool;
  /// Whether the whole body was received.
  [[nodiscard]] auto IsFullyReceived(std::uint64_t aTotalBytes) const -> bool;
  /// The caller has taken this many bytes in all. Returns the total that the agent may send, if it
  /// grew enough to be told.
  [[nodiscard]] auto OnProgress(std::uint64_t aTotalBytes) -> std::optional<std::uint64_t>;
  /// The total that the agent may send at first.
  [[nodiscard]] auto Limit() const -> std::uint64_t { return mLimit; }
  [[nodiscard]] auto Received() const -> std::uint64_t { return mReceived; }

private:
  std::uint64_t mWindowBytes;
  std::uint64_t mReceived = 0;
  std::uint64_t mLimit;
};

} // namespace bronzering
