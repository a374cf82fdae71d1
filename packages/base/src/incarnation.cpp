#include <bronzering/base/incarnation.h>

#include <chrono>
#include <random>

namespace bronzering {

auto NewIncarnation() -> incarnation
{
  constexpr auto kRandomBits = 20U;
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  const auto random = NewSeed() & ((std::uint64_t{ 1 } << kRandomBits) - 1);
  return { (static_cast<std::uint64_t>(milliseconds.count()) << kRandomBits) | random };
}

auto NewSeed() -> std::uint64_t
{
  auto device = std::random_device();
  return (std::uint64_t{ device() } << 32U) | device();
}

} // namespace bronzering
