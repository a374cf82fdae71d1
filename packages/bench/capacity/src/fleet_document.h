#pragma once

#include <cstddef>
#include <string>

namespace bronzering {

inline constexpr std::size_t kModelServices = 30;
inline constexpr std::size_t kOrganisationsPerSection = 250;

/// Returns the bearer token digest of an organisation's callers in FleetDocument.
[[nodiscard]] auto TokenDigest(std::size_t aOrganisation) -> std::string;

/// Returns a valid fleet document with 4 tiers, 30 model services, aEndpoints endpoints of service
/// model0, and aOrganisations organisations in sections of kOrganisationsPerSection. aChange is the
/// weight of the first organisation, so that two values differ in one section only.
[[nodiscard]] auto FleetDocument(std::size_t aOrganisations,
                                 std::size_t aEndpoints,
                                 std::size_t aChange = 1) -> std::string;

} // namespace bronzering
