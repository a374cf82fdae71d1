#pragma once

#include <cassert>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bronzering {

/// Strongly typed integer id; ids with different tags do not convert to each other.
template<class Tag>
struct strong_id
{
  std::uint64_t mValue = 0;
  auto operator<=>(const strong_id&) const = default;
};

/// Identifies one start of a process; increases with each restart. Milliseconds since 1970 in the
/// upper 44 bits, random lower 20 bits.
using incarnation = strong_id<struct incarnation_tag>;
/// Unique within one incarnation of an agent.
using grant_id = strong_id<struct grant_id_tag>;
/// Identifies one peer session within a process; never reused.
using peer_id = strong_id<struct peer_id_tag>;
/// Identifies the HTTP exchange of a caller within one entry process; assigned by the HTTP adapter,
/// which uses at most kExchangeBits of it.
using exchange_id = strong_id<struct exchange_id_tag>;
/// Hash of one block of prompt tokens and all blocks before it.
using prefix_hash = strong_id<struct prefix_hash_tag>;
/// Digest of organisation, service and idempotency key.
using key_digest = strong_id<struct key_digest_tag>;
/// Revision of the configuration document, as numbered by the configuration service.
using revision = strong_id<struct revision_tag>;

/// Id of one attempt to execute a caller's request, unique within the fleet. Consists of the
/// entry's incarnation and a sequence number that combines the exchange and the number of the
/// attempt, so that each attempt has its own id and can be traced to its exchange.
struct request_id
{
  std::uint64_t mEntry = 0;
  std::uint64_t mSequence = 0;
  auto operator<=>(const request_id&) const = default;
};

inline constexpr auto kAttemptBits = 16U;
/// Bits available for an exchange id; the others hold the number of the attempt.
inline constexpr auto kExchangeBits = 64U - kAttemptBits;

/// Attempts of one exchange are numbered from 0. Preconditions: aAttempt < 65536,
/// aExchange uses at most kExchangeBits.
[[nodiscard]] constexpr auto MakeRequestId(incarnation aEntry,
                                           exchange_id aExchange,
                                           std::uint64_t aAttempt) -> request_id
{
  assert(aAttempt >> kAttemptBits == 0);
  assert(aExchange.mValue >> kExchangeBits == 0);
  return { aEntry.mValue, (aExchange.mValue << kAttemptBits) | aAttempt };
}

[[nodiscard]] constexpr auto ExchangeOf(request_id aId) -> exchange_id
{
  return { aId.mSequence >> kAttemptBits };
}

[[nodiscard]] constexpr auto AttemptOf(request_id aId) -> std::uint64_t
{
  return aId.mSequence & ((std::uint64_t{ 1 } << kAttemptBits) - 1);
}

/// Formats the id as 32 hexadecimal digits.
[[nodiscard]] auto ToString(request_id aId) -> std::string;

} // namespace bronzering

template<class Tag>
struct std::hash<bronzering::strong_id<Tag>>
{
  auto operator()(bronzering::strong_id<Tag> aId) const noexcept -> std::size_t
  {
    return std::hash<std::uint64_t>{}(aId.mValue);
  }
};

template<>
struct std::hash<bronzering::request_id>
{
  auto operator()(bronzering::request_id aId) const noexcept -> std::size_t
  {
    // The multiplier is the 64-bit golden ratio, which spreads consecutive sequence numbers.
    return static_cast<std::size_t>(aId.mEntry ^ (aId.mSequence * 0x9e3779b97f4a7c15ULL));
  }
};
