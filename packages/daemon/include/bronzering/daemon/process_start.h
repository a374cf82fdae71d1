#pragma once

#include <bronzering/base/errors.h>
#include <bronzering/base/ids.h>
#include <bronzering/base/incarnation.h>
#include <bronzering/base/time.h>

#include <cstdint>
#include <memory>

namespace bronzering {

/// The time on both clocks, as nodes expect it. Thread-safe.
[[nodiscard]] auto ReadClocks() -> instant;

/// A TCP port of 127.0.0.1 that no other process can hold at the same time. The kernel frees it
/// when the process ends, however it ends, so that a paused process still holds it.
class exclusive_port
{
public:
  /// Fails with io_failure when another process holds the port.
  [[nodiscard]] static auto Hold(std::uint16_t aPort) -> outcome<exclusive_port>;
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
