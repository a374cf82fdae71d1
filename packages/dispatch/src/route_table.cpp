#include <bronzering/dispatch/route_table.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <numeric>

namespace bronzering {

namespace {

auto RouteKey(std::string_view aHost, std::string_view aPrefix) -> std::string
{
  auto key = std::string(aHost);
  key += ' ';
  key += aPrefix;
  return key;
}

/// Returns the host in lower case and without its port.
auto NormalizedHost(std::string_view aHost) -> std::string
{
  auto host = std::string(aHost.substr(0, aHost.rfind(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return host;
}

} // namespace

route_table::route_table(routing_document aDocument)
  : mDocument(std::move(aDocument))
{
  for (const auto& route : mDocument.mRoutes) {
    mRoutes.emplace(RouteKey(route.mHost, route.mPrefix), &route);
  }
  for (const auto& organisation : mDocument.mOrganisations) {
    for (const auto& key : organisation.mKeys) {
      // A request without a key has an empty one.
      if (!key.empty()) {
        mOrganisationsByKey.emplace(key, &organisation);
      }
    }
  }
  for (const auto& service : mDocument.mServices) {
    mServices.emplace(service.mName, &service);
  }
  const auto byPriority = [](const auto& aLeft, const auto& aRight) {
    return aLeft.mPriority < aRight.mPriority;
  };
  if (!mDocument.mOrganisations.empty()) {
    mMostUrgent.mOrganisation =
      std::min_element(mDocument.mOrganisations.begin(), mDocument.mOrganisations.end(), byPriority)
        ->mPriority;
  }
  if (!mDocument.mRoutes.empty()) {
    mMostUrgent.mRoute =
      std::min_element(mDocument.mRoutes.begin(), mDocument.mRoutes.end(), byPriority)->mPriority;
  }
}

auto route_table::FindRoute(std::string_view aHost, std::string_view aTarget) const
  -> const route_spec*
{
  const auto host = NormalizedHost(aHost);
  auto path = aTarget.substr(0, aTarget.find('?'));

  // Prefixes end with a slash, so the candidates are the path truncated after each of its slashes,
  // longest first.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found = mRoutes.find(RouteKey(host, path.substr(0, end + 1)));
    if (found != mRoutes.end()) {
      return found->second;
    }
  }
  return nullptr;
}

auto route_table::FindOrganisation(const std::string& aKey) const -> const organisation_spec*
{
  const auto found = mOrganisationsByKey.find(aKey);
  return found == mOrganisationsByKey.end() ? nullptr : found->second;
}

auto route_table::RequiresKey(const route_spec& aRoute) const -> bool
{
  return mDocument.mRequiresKey && !aRoute.mIsPublic;
}

auto route_table::FindService(std::string_view aName) const -> const service_spec*
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : found->second;
}

auto route_table::PickService(const route_spec& aRoute, double aUnit) -> const std::string&
{
  assert(!aRoute.mServices.empty());
  const auto total = std::accumulate(
    aRoute.mServices.begin(),
    aRoute.mServices.end(),
    0.0,
    [](double aSum, const weighted_service& aService) { return aSum + aService.mWeight; });
  auto remainingWeight = aUnit * total;
  for (const auto& service : aRoute.mServices) {
    remainingWeight -= service.mWeight;
    if (remainingWeight < 0) {
      return service.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

} // namespace bronzering
