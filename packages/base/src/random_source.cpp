#include <bronzering/base/random_source.h>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <cassert>

namespace bronzering {

// Boost's distributions, unlike the standard ones, give the same numbers with every library.

random_source::random_source(std::uint64_t aSeed)
  : mEngine(aSeed)
{
}

auto random_source::UniformBelow(std::uint64_t aBound) -> std::uint64_t
{
  assert(aBound > 0);
  return boost::random::uniform_int_distribution<std::uint64_t>(0, aBound - 1)(mEngine);
}

auto random_source::Uniform01() -> double
{
  return boost::random::uniform_01<double>()(mEngine);
}

auto random_source::Exponential(double aMean) -> double
{
  assert(aMean > 0);
  return boost::random::exponential_distribution<double>(1 / aMean)(mEngine);
}

auto random_source::Bits() -> std::uint64_t
{
  return mEngine();
}

} // namespace bronzering
