#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/base/time.h>
#include <bronzering/config/fleet_config.h>

#include <optional>
#include <string>
#include <string_view>

namespace bronzering {

/// Digest under which the key's owner stores an idempotency key. Thread-safe.
[[nodiscard]] auto DigestKey(std::string_view aOrganisation,
                             std::string_view aService,
                             std::string_view aKey) -> key_digest;

/// Endpoint whose agent owns the key: the one with the highest rendezvous hash among the service's
/// endpoints in the configuration. Empty if the service has none. Thread-safe.
[[nodiscard]] auto KeyOwner(const fleet_config& aConfig, std::string_view aService, key_digest aKey)
  -> std::string;

/// Creation time embedded in a UUIDv7 (RFC 9562). Empty if aKey has any other format. Thread-safe.
[[nodiscard]] auto CreationTimeOf(std::string_view aKey) -> std::optional<wall_time>;

} // namespace bronzering
