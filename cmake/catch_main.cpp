#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>

namespace {

// Fixes RapidCheck's seed, which otherwise differs in each run; RC_PARAMS in the environment takes
// precedence.
[[maybe_unused]] const auto kPropertySeed = ::setenv("RC_PARAMS", "seed=20", 0);

} // namespace
