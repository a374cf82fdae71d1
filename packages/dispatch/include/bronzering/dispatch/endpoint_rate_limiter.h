#pragma once

#include <bronzering/base/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace bronzering {

/// Identifies one incarnation of an endpoint in messages between peers.
using endpoint_incarnation_key = std::uint64_t;
[[nodiscard]] auto HashEndpointIncarnation(std::string_view aId, std::uint64_t aIncarnation)
  -> endpoint_incarnation_key;

/// Knows the rate limits that endpoints name in their answers. A limit is in requests per second
/// from all entries and holds until the endpoint answers without one. Not thread-safe: owned by the
/// control thread.
class endpoint_rate_limiter
{
public:
  /// Time without an answer after which a statement is forgotten.
  static constexpr auto kMaxStatementAge = std::chrono::minutes(2);

  /// Records what an answer says about the endpoint's limit; empty if it names none. The request
  /// was sent at aSent. Returns whether the known limit has changed.
  auto OnAnswer(endpoint_incarnation_key aEndpoint,
                std::optional<double> aLimit,
                time_point aSent,
                time_point aNow) -> bool;
  auto RemoveExpired(time_point aNow) -> void;

  /// The known limit in requests per second; empty if there is none.
  [[nodiscard]] auto LimitOf(endpoint_incarnation_key aEndpoint) const -> std::optional<double>;
  /// Number of endpoints with a known limit.
  [[nodiscard]] auto LimitedCount() const -> std::size_t;

private:
  /// What an endpoint last said.
  struct statement
  {
    std::optional<double> mLimit;
    time_point mMade;
  };

  std::map<endpoint_incarnation_key, statement> mStatements;
};

} // namespace bronzering
