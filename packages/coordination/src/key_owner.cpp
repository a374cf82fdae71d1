#include "key_owner.h"

#include <bronzering/base/hash.h>

#include <utility>

namespace bronzering {

auto KeyOwner(std::span<const std::string> aEndpoints, key_digest aKey) -> std::string
{
  const std::string* owner = nullptr;
  auto highest = std::uint64_t{ 0 };
  for (const auto& endpoint : aEndpoints) {
    const auto weight = RendezvousWeight(aKey.mValue, endpoint);
    if (owner == nullptr || std::pair(weight, endpoint) > std::pair(highest, *owner)) {
      owner = &endpoint;
      highest = weight;
    }
  }
  return owner == nullptr ? std::string{} : *owner;
}

} // namespace bronzering
