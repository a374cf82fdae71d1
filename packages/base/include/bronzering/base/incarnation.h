#pragma once

#include <bronzering/base/ids.h>

#include <cstdint>

namespace bronzering {

/// An incarnation for a process that starts now. Thread-safe.
[[nodiscard]] auto NewIncarnation() -> incarnation;

/// A seed that differs between processes. Thread-safe.
[[nodiscard]] auto NewSeed() -> std::uint64_t;

} // namespace bronzering
