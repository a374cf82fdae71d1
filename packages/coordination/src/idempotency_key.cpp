#include <bronzering/coordination/idempotency_key.h>

#include <bronzering/base/hash.h>

#include <algorithm>
#include <charconv>

namespace bronzering {

auto DigestKey(std::string_view aOrganisation, std::string_view aService, std::string_view aKey)
  -> key_digest
{
  // Hashes each string separately, so that different triples with the same concatenation get
  // different digests.
  const auto scope = CombineHashes(HashText(aOrganisation), HashText(aService));
  return { CombineHashes(scope, HashText(aKey)) };
}

auto KeyOwner(const fleet_config& aConfig, std::string_view aService, key_digest aKey)
  -> std::string
{
  auto owner = std::string{};
  auto highest = std::uint64_t{ 0 };
  for (const auto& [name, endpoint] : aConfig.mEndpoints) {
    const auto& services = endpoint.mServices;
    if (std::find(services.begin(), services.end(), aService) == services.end()) {
      continue;
    }
    const auto weight = RendezvousWeight(aKey.mValue, name);
    if (owner.empty() || weight > highest) {
      owner = name;
      highest = weight;
    }
  }
  return owner;
}

auto CreationTimeOf(std::string_view aKey) -> std::optional<wall_time>
{
  // xxxxxxxx-xxxx-7xxx-[89ab]xxx-xxxxxxxxxxxx
  constexpr auto kLength = std::size_t{ 36 };
  if (aKey.size() != kLength) {
    return std::nullopt;
  }
  auto digits = std::string{};
  for (auto index = std::size_t{ 0 }; index < kLength; ++index) {
    const auto isDash = index == 8 || index == 13 || index == 18 || index == 23;
    const auto character = aKey[index];
    if (isDash) {
      if (character != '-') {
        return std::nullopt;
      }
      continue;
    }
    const auto isHex = (character >= '0' && character <= '9') ||
                       (character >= 'a' && character <= 'f') ||
                       (character >= 'A' && character <= 'F');
    if (!isHex) {
      return std::nullopt;
    }
    digits.push_back(character);
  }
  constexpr auto kVariants = std::string_view("89abAB");
  if (digits[12] != '7' || kVariants.find(digits[16]) == std::string_view::npos) {
    return std::nullopt;
  }
  auto milliseconds = std::uint64_t{ 0 };
  std::from_chars(digits.data(), digits.data() + 12, milliseconds, 16);
  return wall_time(std::chrono::milliseconds(milliseconds));
}

} // namespace bronzering
