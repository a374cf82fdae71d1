#pragma once

#include <bronzering/base/ids.h>

#include <span>
#include <string>

namespace bronzering {

/// The endpoint whose agent owns a key: the one with the highest rendezvous hash among aEndpoints,
/// the service's endpoints in the configuration. Empty if there is none. The result does not depend
/// on which endpoints are believed to be alive, so entries and agents agree on it. Thread-safe.
[[nodiscard]] auto KeyOwner(std::span<const std::string> aEndpoints, key_digest aKey)
  -> std::string;

} // namespace bronzering
