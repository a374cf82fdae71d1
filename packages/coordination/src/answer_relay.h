#pragma once

#include <bronzering/coordination/messages.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace bronzering {

/// Forwards the answer of one request from the endpoint to the entry. Tracks the byte offsets of
/// the stream and buffers the bytes that exceed the entry's flow-control window. Owned by the
/// agent's control thread; not thread-safe.
class answer_relay
{
public:
  /// Number of bytes that may be sent before the first window message; equals the default answer
  /// window of entries.
  static constexpr std::uint64_t kInitialWindow = 256ULL * 1024;

  /// Appends bytes of the answer; bytes that were already received are ignored. Returns false if
  /// there is a gap before aOffset: the stream must then be resumed from Received().
  [[nodiscard]] auto OnData(std::uint64_t aOffset,
                            std::string aBytes,
                            std::uint64_t aGeneratedTokens) -> bool
  {
    if (aOffset > mReceived) {
      return false;
    }
    const auto known = mReceived - aOffset;
    if (known > 0) {
      aBytes.erase(0, std::min<std::uint64_t>(known, aBytes.size()));
    }
    mReceived += aBytes.size();
    mGeneratedTokens = std::max(mGeneratedTokens, aGeneratedTokens);
    if (mPending.empty()) {
      mPending = std::move(aBytes);
    } else {
      mPending += aBytes;
    }
    return true;
  }

  /// Sets the total number of bytes that the entry accepts. The window never shrinks.
  auto Allow(std::uint64_t aTotalBytes) -> void
  {
    mAllowed = mWindowKnown ? std::max(mAllowed, aTotalBytes) : std::max(mSent, aTotalBytes);
    mWindowKnown = true;
  }

  /// Removes and returns the next part that fits into the window; empty if there is none.
  [[nodiscard]] auto TakeSendable(request_id aRequest) -> std::optional<answer_data>
  {
    const auto room = mAllowed - std::min(mAllowed, mSent);
    if (mPending.empty() || room == 0) {
      return std::nullopt;
    }
    auto part = answer_data{ aRequest, mSent, {}, mGeneratedTokens };
    if (mPending.size() <= room) {
      part.mBytes = std::move(mPending);
      mPending.clear();
    } else {
      part.mBytes = mPending.substr(0, room);
      mPending.erase(0, room);
    }
    mSent += part.mBytes.size();
    return part;
  }

  /// Drops the buffered bytes and counts them as sent, so that reading can continue.
  auto Discard() -> void
  {
    mSent += mPending.size();
    mPending.clear();
  }

  /// Whether bytes are waiting for the window, so that reading from the endpoint should pause.
  [[nodiscard]] auto IsBlocked() const -> bool { return !mPending.empty(); }
  [[nodiscard]] auto Received() const -> std::uint64_t { return mReceived; }
  [[nodiscard]] auto Sent() const -> std::uint64_t { return mSent; }
  [[nodiscard]] auto GeneratedTokens() const -> std::uint64_t { return mGeneratedTokens; }

private:
  std::string mPending;
  std::uint64_t mReceived = 0;
  std::uint64_t mSent = 0;
  std::uint64_t mAllowed = kInitialWindow;
  std::uint64_t mGeneratedTokens = 0;
  bool mWindowKnown = false;
};

} // namespace bronzering
