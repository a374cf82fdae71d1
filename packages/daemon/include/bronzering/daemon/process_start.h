#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/ids.h>
#include <bronzering/base/incarnation.h>
#include <bronzering/base/time.h>

#include <cstdint>
#include <memory>

namespace bronzering {

/// Returns the current time on the monotonic clock and the wall clock. Thread-safe.
[[nodiscard]] auto ReadClocks() -> instant;

/// Interprocess lock based on a TCP port of 127.0.0.1, which only one process can bind at a time.
/// The kernel releases it when the process ends for any reason, but not while the process is
/// paused.
class exclusive_port
{
public:
  /// Binds the port. Fails with io_failure if it is already bound.
  [[nodiscard]] static auto Acquire(std::uint16_t aPort) -> outcome<exclusive_port>;
  exclusive_port(exclusive_port&& aOther) noexcept;
  auto operator=(exclusive_port&&) -> exclusive_port& = delete;
  exclusive_port(const exclusive_port&) = delete;
  auto operator=(const exclusive_port&) -> exclusive_port& = delete;
  ~exclusive_port();

private:
  explicit exclusive_port(int aSocket);
  int mSocket = -1;
};

} // namespace bronzering
