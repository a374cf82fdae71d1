#include "caller_directory.h"

#include <bronzering/base/hash.h>

namespace bronzering {

namespace {

/// Compares two strings in a time that depends only on their lengths.
auto EqualInConstantTime(std::string_view aLeft, std::string_view aRight) -> bool
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  volatile auto difference = 0U;
  for (auto index = std::size_t{ 0 }; index < aLeft.size(); ++index) {
    difference = difference | static_cast<unsigned>(static_cast<unsigned char>(aLeft[index]) ^
                                                    static_cast<unsigned char>(aRight[index]));
  }
  return difference == 0;
}

/// Whether the target's path equals the prefix or is below it.
auto IsUnder(std::string_view aTarget, std::string_view aPrefix) -> bool
{
  if (aPrefix.empty() || aTarget.substr(0, aPrefix.size()) != aPrefix) {
    return false;
  }
  if (aPrefix.back() == '/' || aTarget.size() == aPrefix.size()) {
    return true;
  }
  const auto next = aTarget[aPrefix.size()];
  return next == '/' || next == '?';
}

} // namespace

caller_directory::caller_directory(std::shared_ptr<const fleet_config> aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& [name, organisation] : mConfig->mOrganisations) {
    for (const auto& group : organisation.mCallers) {
      for (const auto& digest : group.mTokenDigests) {
        mCallers.emplace(HashText(digest), known_digest{ digest, { &organisation, &group } });
      }
    }
  }
  for (const auto& [name, service] : mConfig->mServices) {
    if (service.mKind == service_kind::Model) {
      mModels.emplace(service.mModel, &service);
    }
  }
  for (const auto& [name, endpoint] : mConfig->mEndpoints) {
    for (const auto& service : endpoint.mServices) {
      mEndpoints[service].push_back(&endpoint);
    }
  }
}

auto caller_directory::FindCaller(std::string_view aTokenDigest) const -> caller
{
  auto result = caller{};
  const auto [begin, end] = mCallers.equal_range(HashText(aTokenDigest));
  for (auto candidate = begin; candidate != end; ++candidate) {
    if (EqualInConstantTime(candidate->second.mDigest, aTokenDigest)) {
      result = candidate->second.mCaller;
    }
  }
  return result;
}

auto caller_directory::FindService(std::string_view aModel, std::string_view aTarget) const
  -> const service_config*
{
  if (!aModel.empty()) {
    const auto found = mModels.find(aModel);
    return found == mModels.end() ? nullptr : found->second;
  }
  const service_config* best = nullptr;
  for (const auto& [name, service] : mConfig->mServices) {
    if (service.mKind == service_kind::Plain && IsUnder(aTarget, service.mPathPrefix) &&
        (best == nullptr || service.mPathPrefix.size() > best->mPathPrefix.size())) {
      best = &service;
    }
  }
  return best;
}

auto caller_directory::LimitsFor(const service_config& aService,
                                 std::string_view aOrganisation) const
  -> std::vector<const limit_config*>
{
  auto limits = std::vector<const limit_config*>{};
  for (const auto& [name, limit] : mConfig->mLimits) {
    const auto applies =
      (limit.mScope == limit_scope::Service && limit.mTarget == aService.mName) ||
      (limit.mScope == limit_scope::Organisation && limit.mTarget == aOrganisation) ||
      (limit.mScope == limit_scope::Model && aService.mKind == service_kind::Model &&
       limit.mTarget == aService.mModel);
    if (applies) {
      limits.push_back(&limit);
    }
  }
  return limits;
}

auto caller_directory::EndpointsOf(std::string_view aService) const
  -> const std::vector<const endpoint_config*>&
{
  static const auto kNone = std::vector<const endpoint_config*>{};
  const auto found = mEndpoints.find(aService);
  return found == mEndpoints.end() ? kNone : found->second;
}

} // namespace bronzering
