#pragma once

#include <bronzering/base/ids.h>

#include <cstdint>

namespace bronzering {

/// Generates the incarnation of a process that starts now. Thread-safe.
[[nodiscard]] auto NewIncarnation() -> incarnation;

/// Generates a random seed from the operating system's entropy source. Thread-safe.
[[nodiscard]] auto NewSeed() -> std::uint64_t;

} // namespace bronzering
