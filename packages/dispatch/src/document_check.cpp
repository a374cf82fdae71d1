#include <bronzering/dispatch/document_check.h>

#include "document_text.h"

#include <bronzering/dispatch/document_difference.h>
#include <bronzering/dispatch/route_table.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace bronzering {

namespace {

constexpr auto kRoutes = std::string_view("routes");
constexpr auto kServices = std::string_view("services");
constexpr auto kOrganisations = std::string_view("organisations");

auto PlaceOf(std::string_view aList, std::size_t aIndex) -> std::string
{
  return std::string(aList) + '[' + std::to_string(aIndex) + ']';
}

/// Collects the findings of one document.
class document_checker
{
public:
  explicit document_checker(const routing_document& aDocument)
    : mTable(aDocument)
  {
  }

  auto Run() -> std::vector<document_finding>
  {
    const auto& document = mTable.Document();
    // Entries start with version 0 and adopt only higher ones.
    ReportIf(document.mVersion == 0, "version", "is 0, so no entry adopts the document");
    CheckNames(
      document.mRoutes, kRoutes, finding_severity::Warning, "so names do not tell them apart");
    CheckNames(
      document.mServices, kServices, finding_severity::Error, "so only the first one is used");
    CheckNames(document.mOrganisations,
               kOrganisations,
               finding_severity::Error,
               "so only the limits of the first one are used");
    CheckRoutes();
    CheckServices();
    CheckOrganisations();
    CheckKeys();
    CheckLimits();
    return std::move(mFindings);
  }

private:
  auto Report(finding_severity aSeverity, std::string aPlace, std::string aText) -> void
  {
    mFindings.push_back({ aSeverity, std::move(aPlace), std::move(aText) });
  }

  auto ReportIf(bool aIsFound,
                std::string_view aPlace,
                std::string_view aText,
                finding_severity aSeverity = finding_severity::Error) -> void
  {
    if (aIsFound) {
      Report(aSeverity, std::string(aPlace), std::string(aText));
    }
  }

  template<class Spec>
  auto CheckNames(const std::vector<Spec>& aSpecs,
                  std::string_view aList,
                  finding_severity aSeverity,
                  std::string_view aConsequence) -> void
  {
    auto first = std::map<std::string_view, std::size_t>();
    for (auto index = std::size_t{ 0 }; index < aSpecs.size(); ++index) {
      const auto [other, isNew] = first.emplace(aSpecs[index].mName, index);
      ReportIf(!isNew,
               PlaceOf(aList, index) + ' ' + QuotedName(aSpecs[index].mName),
               "has the same name as " + PlaceOf(aList, other->second) + ", " +
                 std::string(aConsequence),
               aSeverity);
    }
  }

  auto CheckRoutes() -> void
  {
    const auto& routes = mTable.Document().mRoutes;
    for (auto index = std::size_t{ 0 }; index < routes.size(); ++index) {
      const auto& route = routes[index];
      const auto place = PlaceOf(kRoutes, index) + ' ' + QuotedName(route.mName);
      CheckMatch(route, place);
      CheckServicesOf(route, place);
      ReportIf(route.mTimeout <= duration::zero(), place, "has no time-out above 0 ms");
      ReportIf(route.mMaxAttempts == 0,
               place,
               "allows 0 attempts, but a request that is served takes one");
      ReportIf(route.mMaxAttempts > 1 && route.mRetryPolicy == retry_policy::Once,
               place,
               "allows " + std::to_string(route.mMaxAttempts) +
                 " attempts, but its requests may not be repeated, so they get one",
               finding_severity::Warning);
    }
  }

  /// Reports a route that route_table does not find for any request.
  auto CheckMatch(const route_spec& aRoute, const std::string& aPlace) -> void
  {
    if (!aRoute.mPrefix.starts_with('/') || !aRoute.mPrefix.ends_with('/')) {
      Report(finding_severity::Error,
             aPlace,
             "never matches, because its prefix does not begin and end with a slash");
      return;
    }
    // The last colon of a host is taken for that of the port, also within a numeric address.
    const auto host = aRoute.mHost.ends_with(']') ? aRoute.mHost + ":80" : aRoute.mHost;
    const auto* found = mTable.FindRoute(host, aRoute.mPrefix);
    if (found == &aRoute) {
      ReportIf(aRoute.mHost.empty(),
               aPlace,
               "has no host, so it matches only requests without one",
               finding_severity::Warning);
    } else if (found != nullptr && found->mHost == aRoute.mHost &&
               found->mPrefix == aRoute.mPrefix) {
      const auto index = static_cast<std::size_t>(found - mTable.Document().mRoutes.data());
      Report(finding_severity::Error,
             aPlace,
             "never matches, because " + PlaceOf(kRoutes, index) + ' ' + QuotedName(found->mName) +
               " has the same host and prefix");
    } else {
      Report(finding_severity::Error,
             aPlace,
             "never matches, because its host has a port or capital letters, or its prefix has a "
             "question mark");
    }
  }

  auto CheckServicesOf(const route_spec& aRoute, const std::string& aPlace) -> void
  {
    auto hasWeight = false;
    for (const auto& [service, weight] : aRoute.mServices) {
      ReportIf(mTable.FindService(service) == nullptr,
               aPlace,
               "names service " + QuotedName(service) + ", which does not exist");
      ReportIf(weight == 0,
               aPlace,
               "gives service " + QuotedName(service) + " weight 0, so it gets no requests of it",
               finding_severity::Warning);
      hasWeight = hasWeight || weight > 0;
    }
    ReportIf(!hasWeight, aPlace, "gives no service a weight");
  }

  auto CheckServices() -> void
  {
    auto named = std::set<std::string_view>();
    auto used = std::set<std::string_view>();
    for (const auto& route : mTable.Document().mRoutes) {
      for (const auto& [service, weight] : route.mServices) {
        named.insert(service);
        if (weight > 0) {
          used.insert(service);
        }
      }
    }
    const auto& services = mTable.Document().mServices;
    for (auto index = std::size_t{ 0 }; index < services.size(); ++index) {
      const auto& service = services[index];
      const auto place = PlaceOf(kServices, index) + ' ' + QuotedName(service.mName);
      ReportIf(!used.contains(service.mName),
               place,
               named.contains(service.mName)
                 ? "gets no requests, because all routes give it weight 0"
                 : "gets no requests, because no route names it",
               finding_severity::Warning);
      ReportIf(service.mColdRate < 0, place, "has a cold rate below 0, which limits nothing");
      ReportIf(service.mColdTime < duration::zero(), place, "has a cold time below 0");
      ReportIf(service.mColdRate > 0 && service.mColdTime == duration::zero(),
               place,
               "has a cold rate but no cold time, so the rate limits only endpoints that say "
               "themselves that they are cold",
               finding_severity::Warning);
    }
  }

  auto CheckOrganisations() -> void
  {
    const auto& document = mTable.Document();
    const auto hasPublicRoute =
      std::any_of(document.mRoutes.begin(), document.mRoutes.end(), [](const route_spec& aRoute) {
        return aRoute.mIsPublic;
      });
    ReportIf(document.mRequiresKey && document.mOrganisations.empty(),
             kOrganisations,
             hasPublicRoute ? "is empty, so only requests of public routes are served"
                            : "is empty, so no requests are served",
             finding_severity::Warning);
    for (auto index = std::size_t{ 0 }; index < document.mOrganisations.size(); ++index) {
      const auto& organisation = document.mOrganisations[index];
      const auto place = PlaceOf(kOrganisations, index) + ' ' + QuotedName(organisation.mName);
      CheckRate(organisation, place);
    }
  }

  auto CheckRate(const organisation_spec& aOrganisation, const std::string& aPlace) -> void
  {
    ReportIf(aOrganisation.mRate < 0, aPlace, "has a rate below 0, which limits nothing");
    ReportIf(aOrganisation.mBurst < 0 && aOrganisation.mRate >= 0,
             aPlace,
             "has a burst below 0, so its requests may be refused");
    ReportIf(aOrganisation.mRate == 0 && aOrganisation.mBurst > 0,
             aPlace,
             "has a burst but no rate, so it is not limited",
             finding_severity::Warning);
    if (aOrganisation.mRate <= 0) {
      return;
    }
    const auto unitsOfRequest = aOrganisation.mCountsTokens ? aOrganisation.mDefaultUnits : 1;
    ReportIf(unitsOfRequest <= 0,
             aPlace,
             "charges nothing for a request without token counts, so its rate does not limit these",
             finding_severity::Warning);
    ReportIf(aOrganisation.mBurst >= 0 && aOrganisation.mBurst < unitsOfRequest,
             aPlace,
             "has a burst of " + NumberText(aOrganisation.mBurst) + ", less than the " +
               NumberText(unitsOfRequest) + " of one request",
             finding_severity::Warning);
  }

  auto CheckKeys() -> void
  {
    const auto& organisations = mTable.Document().mOrganisations;
    auto holders = std::map<std::string_view, std::size_t>();
    for (auto index = std::size_t{ 0 }; index < organisations.size(); ++index) {
      const auto& organisation = organisations[index];
      const auto place = PlaceOf(kOrganisations, index) + ' ' + QuotedName(organisation.mName);
      auto hasKey = false;
      // One finding for each other holder, however many keys they have in common.
      auto others = std::set<std::size_t>();
      for (const auto& key : organisation.mKeys) {
        ReportIf(key.empty(),
                 place,
                 "has an empty key, which no request can use",
                 finding_severity::Warning);
        if (!key.empty()) {
          hasKey = true;
          others.insert(holders.emplace(key, index).first->second);
        }
      }
      others.erase(index);
      for (const auto other : others) {
        Report(finding_severity::Error,
               place,
               "has a key of " + PlaceOf(kOrganisations, other) + ' ' +
                 QuotedName(organisations[other].mName) +
                 ", to which requests with this key are counted");
      }
      ReportIf(
        !hasKey, place, "has no key, so no request is counted to it", finding_severity::Warning);
    }
  }

  auto CheckLimits() -> void
  {
    const auto& limits = mTable.Document().mLimits;
    ReportIf(
      limits.mMaxHeaderBytes == 0, "limits", "allow 0 bytes of headers, so no request is served");
    ReportIf(limits.mMaxBodyBytes == 0,
             "limits",
             "allow 0 bytes of body, so no request with a body is served",
             finding_severity::Warning);
    ReportIf(
      limits.mHeaderTimeout <= duration::zero(), "limits", "allow callers no time to send headers");
    ReportIf(limits.mIdleTimeout <= duration::zero(),
             "limits",
             "allow no time between the requests of a connection");
  }

  route_table mTable;
  std::vector<document_finding> mFindings;
};

} // namespace

auto CheckDocument(const routing_document& aDocument) -> std::vector<document_finding>
{
  return document_checker(aDocument).Run();
}

auto CheckSuccessor(const routing_document& aCurrent, const routing_document& aNext)
  -> std::vector<document_finding>
{
  if (aNext.mVersion > aCurrent.mVersion || CompareDocuments(aCurrent, aNext).empty()) {
    return {};
  }
  return { { finding_severity::Error,
             "version",
             "is " + std::to_string(aNext.mVersion) + ", but entries that use version " +
               std::to_string(aCurrent.mVersion) + " adopt only higher ones" } };
}

} // namespace bronzering
