#include <bronzering/base/hash.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bronzering {

auto HashText(std::string_view aText, std::uint64_t aSeed) -> std::uint64_t
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

auto CombineHashes(std::uint64_t aFirst, std::uint64_t aSecond) -> std::uint64_t
{
  return XXH3_64bits_withSeed(&aFirst, sizeof aFirst, aSecond);
}

auto RendezvousWeight(std::uint64_t aKey, std::string_view aNode) -> std::uint64_t
{
  return HashText(aNode, aKey);
}

} // namespace bronzering
