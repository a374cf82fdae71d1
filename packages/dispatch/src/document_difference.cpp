#include <bronzering/dispatch/document_difference.h>

#include "document_text.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string_view>
#include <type_traits>
#include <utility>

namespace bronzering {

namespace {

/// A property of a part of a document and its value, both as an operator reads them.
using text_field = std::pair<std::string_view, std::string>;
using text_fields = std::vector<text_field>;

auto Milliseconds(duration aDuration) -> std::string
{
  return NumberText(static_cast<double>(aDuration.count()) / 1000) + " ms";
}

auto Seconds(duration aDuration) -> std::string
{
  return NumberText(ToSeconds(aDuration)) + " s";
}

auto YesOrNo(bool aValue) -> std::string
{
  return aValue ? "yes" : "no";
}

auto ServicesText(const route_spec& aRoute) -> std::string
{
  auto text = std::string();
  for (const auto& [service, weight] : aRoute.mServices) {
    text += (text.empty() ? "" : " and ") + QuotedName(service);
    if (aRoute.mServices.size() > 1) {
      text += " with weight " + std::to_string(weight);
    }
  }
  return text;
}

auto FieldsOf(const route_spec& aRoute) -> text_fields
{
  return { { "host", PrintableText(aRoute.mHost) },
           { "prefix", PrintableText(aRoute.mPrefix) },
           { "services", ServicesText(aRoute) },
           { "retry policy", std::string(kRetryPolicyNames.NameOf(aRoute.mRetryPolicy)) },
           { "stream", YesOrNo(aRoute.mIsStream) },
           { "public", YesOrNo(aRoute.mIsPublic) },
           { "time-out", Milliseconds(aRoute.mTimeout) },
           { "longest time without an event",
             aRoute.mMaxEventGap ? Milliseconds(*aRoute.mMaxEventGap) : "unlimited" },
           { "priority", std::to_string(aRoute.mPriority) },
           { "attempts", std::to_string(aRoute.mMaxAttempts) } };
}

auto FieldsOf(const service_spec& aService) -> text_fields
{
  return {
    { "connections of an endpoint",
      aService.mMaxConnections == 0 ? "unlimited" : std::to_string(aService.mMaxConnections) },
    { "model", YesOrNo(aService.mIsModel) },
    { "tokens in an event", std::to_string(aService.mTokensPerEvent) },
    { "cold rate",
      aService.mColdRate > 0 ? NumberText(aService.mColdRate) + " requests/s" : "unlimited" },
    { "cold time", Seconds(aService.mColdTime) }
  };
}

auto FieldsOf(const organisation_spec& aOrganisation) -> text_fields
{
  const auto unit = std::string(aOrganisation.mCountsTokens ? " tokens" : " requests");
  const auto isLimited = aOrganisation.mRate > 0;
  return { { "priority", std::to_string(aOrganisation.mPriority) },
           { "rate", isLimited ? NumberText(aOrganisation.mRate) + unit + "/s" : "unlimited" },
           { "burst", isLimited ? NumberText(aOrganisation.mBurst) + unit : "unlimited" },
           { "tokens of a request without token counts",
             aOrganisation.mCountsTokens ? NumberText(aOrganisation.mDefaultUnits)
                                         : "not counted" } };
}

auto FieldsOf(const caller_limits& aLimits) -> text_fields
{
  return { { "bytes of headers", std::to_string(aLimits.mMaxHeaderBytes) },
           { "bytes of body", std::to_string(aLimits.mMaxBodyBytes) },
           { "time-out of headers", Milliseconds(aLimits.mHeaderTimeout) },
           { "time-out of idle connections", Milliseconds(aLimits.mIdleTimeout) } };
}

auto KeysOf(const organisation_spec& aOrganisation) -> std::set<std::string_view>
{
  return { aOrganisation.mKeys.begin(), aOrganisation.mKeys.end() };
}

auto KeyCount(std::size_t aCount) -> std::string
{
  return std::to_string(aCount) + (aCount == 1 ? " key" : " keys");
}

/// The number of elements of aLeft that are not in aRight.
auto CountMissing(const std::set<std::string_view>& aLeft, const std::set<std::string_view>& aRight)
  -> std::size_t
{
  return static_cast<std::size_t>(std::count_if(
    aLeft.begin(), aLeft.end(), [&](std::string_view aKey) { return !aRight.contains(aKey); }));
}

/// Collects the changes from one document to another.
class difference_builder
{
public:
  auto Run(const routing_document& aCurrent, const routing_document& aNext)
    -> std::vector<document_change>
  {
    if (aCurrent.mVersion != aNext.mVersion) {
      AddField("version",
               { "number", std::to_string(aCurrent.mVersion) },
               { "number", std::to_string(aNext.mVersion) });
    }
    CompareLists("route", aCurrent.mRoutes, aNext.mRoutes);
    CompareLists("service", aCurrent.mServices, aNext.mServices);
    if (aCurrent.mRequiresKey != aNext.mRequiresKey) {
      mChanges.push_back({ "organisations",
                           aNext.mRequiresKey
                             ? "requests of routes that are not public need a key from now on"
                             : "no request needs a key any more" });
    }
    CompareLists("organisation", aCurrent.mOrganisations, aNext.mOrganisations);
    CompareFields("limits", FieldsOf(aCurrent.mLimits), FieldsOf(aNext.mLimits));
    return std::move(mChanges);
  }

private:
  /// Name, and number of earlier parts with the same name.
  using part_id = std::pair<std::string_view, std::size_t>;

  template<class Spec>
  static auto Identify(const std::vector<Spec>& aSpecs)
    -> std::vector<std::pair<part_id, const Spec*>>
  {
    auto counts = std::map<std::string_view, std::size_t>();
    auto parts = std::vector<std::pair<part_id, const Spec*>>();
    for (const auto& spec : aSpecs) {
      parts.emplace_back(part_id(spec.mName, counts[spec.mName]++), &spec);
    }
    return parts;
  }

  template<class Spec>
  auto CompareLists(std::string_view aKind,
                    const std::vector<Spec>& aCurrent,
                    const std::vector<Spec>& aNext) -> void
  {
    const auto current = Identify(aCurrent);
    const auto next = Identify(aNext);
    const auto currentById = std::map<part_id, const Spec*>(current.begin(), current.end());
    const auto nextById = std::map<part_id, const Spec*>(next.begin(), next.end());
    for (const auto& [id, spec] : next) {
      const auto place = std::string(aKind) + ' ' + QuotedName(id.first);
      const auto found = currentById.find(id);
      if (found == currentById.end()) {
        mChanges.push_back({ place, "added: " + Describe(*spec) });
      } else {
        CompareFields(place, FieldsOf(*found->second), FieldsOf(*spec));
        CompareKeys(place, *found->second, *spec);
      }
    }
    for (const auto& [id, spec] : current) {
      if (!nextById.contains(id)) {
        mChanges.push_back(
          { std::string(aKind) + ' ' + QuotedName(id.first), "removed: " + Describe(*spec) });
      }
    }
  }

  template<class Spec>
  static auto Describe(const Spec& aSpec) -> std::string
  {
    auto text = std::string();
    for (const auto& [name, value] : FieldsOf(aSpec)) {
      text += (text.empty() ? "" : ", ") + std::string(name) + ' ' + value;
    }
    if constexpr (std::is_same_v<Spec, organisation_spec>) {
      text += ", " + KeyCount(KeysOf(aSpec).size());
    }
    return text;
  }

  template<class Spec>
  auto CompareKeys(const std::string& aPlace, const Spec& aCurrent, const Spec& aNext) -> void
  {
    if constexpr (std::is_same_v<Spec, organisation_spec>) {
      const auto current = KeysOf(aCurrent);
      const auto next = KeysOf(aNext);
      if (const auto added = CountMissing(next, current); added > 0) {
        mChanges.push_back({ aPlace, KeyCount(added) + " added" });
      }
      if (const auto removed = CountMissing(current, next); removed > 0) {
        mChanges.push_back({ aPlace, KeyCount(removed) + " removed" });
      }
    }
  }

  /// Precondition: both lists have the same fields in the same order.
  auto CompareFields(const std::string& aPlace,
                     const text_fields& aCurrent,
                     const text_fields& aNext) -> void
  {
    for (auto index = std::size_t{ 0 }; index < aNext.size(); ++index) {
      if (aCurrent[index].second != aNext[index].second) {
        AddField(aPlace, aCurrent[index], aNext[index]);
      }
    }
  }

  auto AddField(const std::string& aPlace, const text_field& aCurrent, const text_field& aNext)
    -> void
  {
    mChanges.push_back(
      { aPlace, std::string(aNext.first) + ' ' + aNext.second + ", was " + aCurrent.second });
  }

  std::vector<document_change> mChanges;
};

} // namespace

auto CompareDocuments(const routing_document& aCurrent, const routing_document& aNext)
  -> std::vector<document_change>
{
  return difference_builder().Run(aCurrent, aNext);
}

} // namespace bronzering
