#pragma once

#include <cstdint>
#include <random>

namespace bronzering {

/// Seeded pseudo-random number generator: the same seed gives the same sequence. Not thread-safe;
/// components that draw random numbers each own one.
class random_source
{
public:
  explicit random_source(std::uint64_t aSeed);

  /// Uniform in [0, aBound). Precondition: aBound > 0.
  [[nodiscard]] auto UniformBelow(std::uint64_t aBound) -> std::uint64_t;
  /// Uniform in [0, 1).
  [[nodiscard]] auto Uniform01() -> double;
  /// Exponentially distributed with mean aMean. Precondition: aMean > 0.
  [[nodiscard]] auto Exponential(double aMean) -> double;
  /// Uniform over all 64-bit values.
  [[nodiscard]] auto Bits() -> std::uint64_t;

private:
  std::mt19937_64 mEngine;
};

} // namespace bronzering
