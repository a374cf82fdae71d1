#pragma once

#include <bronzering/config/fleet_config.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bronzering {

/// Lookup tables for one configuration that map a request to its caller, service, limits and
/// endpoints. Rebuilt when the configuration changes; immutable after construction.
class caller_directory
{
public:
  struct caller
  {
    const organisation_config* mOrganisation = nullptr;
    const caller_config* mCaller = nullptr;
  };

  caller_directory() = default;
  /// Shares ownership of the configuration, which the tables refer to.
  explicit caller_directory(std::shared_ptr<const fleet_config> aConfig);

  [[nodiscard]] auto Config() const -> const fleet_config* { return mConfig.get(); }
  /// The caller with this token digest; its members are null if there is none. The comparison takes
  /// constant time, regardless of how many leading digits match, to prevent timing attacks.
  [[nodiscard]] auto FindCaller(std::string_view aTokenDigest) const -> caller;
  /// Finds a service by model name or, if the name is empty, by the longest matching path prefix;
  /// null if there is none.
  [[nodiscard]] auto FindService(std::string_view aModel, std::string_view aTarget) const
    -> const service_config*;
  /// Limits that apply to a request of the organisation to the service.
  [[nodiscard]] auto LimitsFor(const service_config& aService, std::string_view aOrganisation) const
    -> std::vector<const limit_config*>;
  /// Endpoints that serve the named service.
  [[nodiscard]] auto EndpointsOf(std::string_view aService) const
    -> const std::vector<const endpoint_config*>&;

private:
  struct known_digest
  {
    std::string_view mDigest;
    caller mCaller;
  };

  std::shared_ptr<const fleet_config> mConfig;
  std::unordered_multimap<std::uint64_t, known_digest> mCallers;
  std::unordered_map<std::string_view, const service_config*> mModels;
  std::unordered_map<std::string_view, std::vector<const endpoint_config*>> mEndpoints;
};

} // namespace bronzering
