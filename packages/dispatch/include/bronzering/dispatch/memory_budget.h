#pragma once

#include <cstddef>

namespace bronzering {

/// Bounds the bytes that a process holds for all its callers together: bodies that are read,
/// answers that wait for slow callers, and input that is buffered ahead. Limits per request do not
/// bound their sum. A holder takes bytes before it reads them. Part of the budget is kept for small
/// holders, so that small requests go on while large ones wait. Not thread-safe: owned by the
/// control thread.
class memory_budget
{
public:
  /// A holder of at most so many bytes is small.
  static constexpr auto kSmallBytes = std::size_t{ 64 } * 1024;
  /// Part of the budget that only small holders may take.
  static constexpr auto kSmallShare = 0.25;

  /// aLimit is the number of bytes that may be held; 0 means that they are counted but not limited.
  explicit memory_budget(std::size_t aLimit);

  /// Takes aBytes more for a holder that has aTotal bytes with them. Returns false, and takes
  /// nothing, if too few are left. Precondition: aBytes <= aTotal.
  [[nodiscard]] auto TryTake(std::size_t aBytes, std::size_t aTotal) -> bool;
  /// Precondition: aBytes <= Held().
  auto Return(std::size_t aBytes) -> void;

  [[nodiscard]] auto Held() const -> std::size_t { return mHeld; }
  [[nodiscard]] auto Limit() const -> std::size_t { return mLimit; }

private:
  std::size_t mLimit;
  std::size_t mHeld = 0;
};

/// The bytes that one holder has taken from a memory_budget, which must outlive it. Returns them at
/// its end.
class memory_reservation
{
public:
  explicit memory_reservation(memory_budget& aBudget)
    : mBudget(&aBudget)
  {
  }
  memory_reservation(memory_reservation&& aOther) noexcept;
  auto operator=(memory_reservation&& aOther) noexcept -> memory_reservation&;
  memory_reservation(const memory_reservation&) = delete;
  auto operator=(const memory_reservation&) -> memory_reservation& = delete;
  ~memory_reservation() { Release(); }

  /// Makes it a reservation of aBytes. Returns false, and changes nothing, if too few are left.
  [[nodiscard]] auto TryResize(std::size_t aBytes) -> bool;
  auto Release() -> void;
  [[nodiscard]] auto Bytes() const -> std::size_t { return mBytes; }

private:
  memory_budget* mBudget;
  std::size_t mBytes = 0;
};

} // namespace bronzering
