#include "fleet_builder.h"

#include "value_reader.h"
#include "yaml_tree.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>

namespace bronzering {

namespace {

/// Kinds of objects that are referred to by name, spelled as their keys in the document.
constexpr auto kTiers = std::string_view("tiers");
constexpr auto kServices = std::string_view("services");
constexpr auto kEndpoints = std::string_view("endpoints");
constexpr auto kOrganisations = std::string_view("organisations");
constexpr auto kLimits = std::string_view("limits");
/// Models are not separate objects but the `model` values of services.
constexpr auto kModels = std::string_view("models");

/// Builds one fleet_config. Created for one call of BuildFleet.
class fleet_builder
{
public:
  auto Build(const section_contents& aSections) -> built_fleet
  {
    for (const auto& [name, section] : aSections) {
      Merge(kTiers, *section, section->mTiers, mResult.mConfig.mTiers);
      Merge(kServices, *section, section->mServices, mResult.mConfig.mServices);
      Merge(kEndpoints, *section, section->mEndpoints, mResult.mConfig.mEndpoints);
      Merge(kOrganisations, *section, section->mOrganisations, mResult.mConfig.mOrganisations);
      Merge(kLimits, *section, section->mLimits, mResult.mConfig.mLimits);
      MergeRouting(*section);
    }
    for (const auto& [name, section] : aSections) {
      CheckSection(*section);
    }
    return std::move(mResult);
  }

private:
  using keys = std::vector<std::string>;

  /// Values that must be unique in the fleet, with the path of their first occurrence.
  using path_index = std::unordered_map<std::string, setting_path>;

  template<class Object>
  auto Merge(std::string_view aKind,
             const section_content& aSection,
             const std::vector<parsed_object<Object>>& aObjects,
             std::map<std::string, Object, std::less<>>& aTarget) -> void
  {
    for (const auto& object : aObjects) {
      const auto& name = object.mObject.mName;
      auto path = setting_path{ aSection.mName, { std::string(aKind), name } };
      // Duplicates within a section are duplicate keys, which ParseSection has reported.
      const auto [first, isNew] = mObjectPaths.try_emplace(std::string(aKind) + "/" + name, path);
      if (isNew) {
        aTarget.emplace(name, object.mObject);
      } else if (first->second.mSection != aSection.mName) {
        AddDuplicate(std::move(path), first->second, Describe(name));
      }
    }
  }

  auto MergeRouting(const section_content& aSection) -> void
  {
    if (!aSection.mRouting) {
      return;
    }
    auto path = setting_path{ aSection.mName, { "routing" } };
    const auto [first, isNew] = mObjectPaths.try_emplace("routing", path);
    if (isNew) {
      mResult.mConfig.mRouting = aSection.mRouting->mObject;
    } else {
      AddDuplicate(std::move(path), first->second, "routing");
    }
  }

  auto AddDuplicate(setting_path aPath, const setting_path& aFirst, const std::string& aWhat)
    -> void
  {
    auto found = conflict{ std::move(aPath), aFirst, "", "", "", "" };
    found.mFound = aWhat + ", which " + aFirst.mSection + "." + FormatPath(aFirst) + " has too";
    found.mExpected = "a value that occurs once in the fleet";
    mResult.mConflicts.push_back(std::move(found));
  }

  auto RequireUnique(std::string aKey, setting_path aPath, const std::string& aWhat) -> void
  {
    const auto [first, isNew] = mUniqueValuePaths.try_emplace(std::move(aKey), aPath);
    if (!isNew) {
      AddDuplicate(std::move(aPath), first->second, aWhat);
    }
  }

  auto AddMissing(setting_path aPath,
                  std::string_view aKind,
                  const std::string& aName,
                  const std::string& aExpected) -> void
  {
    mResult.mConflicts.push_back(
      { std::move(aPath), {}, std::string(aKind), aName, Describe(aName), aExpected });
  }

  auto CheckSection(const section_content& aSection) -> void
  {
    for (const auto& tier : aSection.mTiers) {
      if (tier.mIsValid) {
        const auto rank = std::to_string(tier.mObject.mRank);
        RequireUnique("rank/" + rank,
                      { aSection.mName, { std::string(kTiers), tier.mObject.mName, "rank" } },
                      "rank " + rank);
      }
    }
    for (const auto& service : aSection.mServices) {
      if (service.mIsValid) {
        CheckService(aSection.mName, service.mObject);
      }
    }
    for (const auto& endpoint : aSection.mEndpoints) {
      CheckEndpoint(aSection.mName, endpoint);
    }
    for (const auto& organisation : aSection.mOrganisations) {
      for (const auto& caller : organisation.mObject.mCallers) {
        CheckCaller(aSection.mName, organisation.mObject.mName, caller);
      }
    }
    for (const auto& limit : aSection.mLimits) {
      if (limit.mIsValid) {
        CheckLimit(aSection.mName, limit.mObject);
      }
    }
  }

  auto CheckService(const std::string& aSection, const service_config& aService) -> void
  {
    const auto isModel = aService.mKind == service_kind::Model;
    const auto& value = isModel ? aService.mModel : aService.mPathPrefix;
    const auto key = std::string(isModel ? "model" : "path");
    RequireUnique(key + "/" + value,
                  { aSection, { std::string(kServices), aService.mName, key } },
                  Describe(value));
  }

  auto CheckEndpoint(const std::string& aSection, const parsed_object<endpoint_config>& aEndpoint)
    -> void
  {
    const auto& endpoint = aEndpoint.mObject;
    for (auto i = std::size_t{ 0 }; i < endpoint.mServices.size(); ++i) {
      const auto& name = endpoint.mServices[i];
      auto path = setting_path{
        aSection,
        { std::string(kEndpoints), endpoint.mName, "services", "[" + std::to_string(i) + "]" }
      };
      const auto* service = FindService(name);
      if (service == nullptr) {
        AddMissing(std::move(path), kServices, name, "a service that exists");
      } else if (aEndpoint.mIsValid && service->mKind != endpoint.mKind) {
        AddKindConflict(std::move(path),
                        name,
                        "a " + std::string(kServiceKindNames.NameOf(endpoint.mKind)) +
                          " service, as the endpoint is");
      }
    }
  }

  auto CheckCaller(const std::string& aSection,
                   const std::string& aOrganisation,
                   const caller_config& aCaller) -> void
  {
    const auto pathOf = [&](const std::string& aKey, std::size_t aIndex) {
      return setting_path{ aSection,
                           { std::string(kOrganisations),
                             aOrganisation,
                             "callers",
                             aCaller.mName,
                             aKey,
                             "[" + std::to_string(aIndex) + "]" } };
    };
    if (!aCaller.mTier.empty() &&
        !mObjectPaths.contains(std::string(kTiers) + "/" + aCaller.mTier)) {
      auto path = pathOf("tier", 0);
      path.mKeys.pop_back();
      AddMissing(std::move(path), kTiers, aCaller.mTier, "a tier that exists");
    }
    for (auto i = std::size_t{ 0 }; i < aCaller.mServices.size(); ++i) {
      const auto& name = aCaller.mServices[i];
      if (FindService(name) == nullptr) {
        AddMissing(pathOf("services", i), kServices, name, "a service that exists");
      }
    }
    for (auto i = std::size_t{ 0 }; i < aCaller.mTokenDigests.size(); ++i) {
      RequireUnique(
        "token/" + aCaller.mTokenDigests[i], pathOf("tokens", i), "the digest of a token");
    }
  }

  auto CheckLimit(const std::string& aSection, const limit_config& aLimit) -> void
  {
    auto path = setting_path{ aSection, { std::string(kLimits), aLimit.mName, "target" } };
    switch (aLimit.mScope) {
      case limit_scope::Service: {
        const auto* service = FindService(aLimit.mTarget);
        if (service == nullptr) {
          AddMissing(std::move(path), kServices, aLimit.mTarget, "a service that exists");
        } else if (aLimit.mUnit == limit_unit::Tokens && service->mKind == service_kind::Plain) {
          AddKindConflict(std::move(path), aLimit.mTarget, "a model service, since tokens count");
        }
        break;
      }
      case limit_scope::Model: {
        const auto isModel = [&](const auto& aService) {
          return aService.second.mKind == service_kind::Model &&
                 aService.second.mModel == aLimit.mTarget;
        };
        if (std::none_of(
              mResult.mConfig.mServices.begin(), mResult.mConfig.mServices.end(), isModel)) {
          AddMissing(std::move(path), kModels, aLimit.mTarget, "the model of a service");
        }
        break;
      }
      case limit_scope::Organisation:
        if (!mResult.mConfig.mOrganisations.contains(aLimit.mTarget)) {
          AddMissing(
            std::move(path), kOrganisations, aLimit.mTarget, "an organisation that exists");
        }
        break;
      case limit_scope::WeightStore:
        break;
    }
  }

  auto AddKindConflict(setting_path aPath, const std::string& aService, std::string aExpected)
    -> void
  {
    const auto& service = mObjectPaths.at(std::string(kServices) + "/" + aService);
    auto other = service;
    other.mKeys.emplace_back("kind");
    const auto* found = FindService(aService);
    mResult.mConflicts.push_back({ std::move(aPath),
                                   std::move(other),
                                   "",
                                   "",
                                   "the " + std::string(kServiceKindNames.NameOf(found->mKind)) +
                                     " service " + Describe(aService),
                                   std::move(aExpected) });
  }

  auto FindService(const std::string& aName) const -> const service_config*
  {
    const auto found = mResult.mConfig.mServices.find(aName);
    return found == mResult.mConfig.mServices.end() ? nullptr : &found->second;
  }

  built_fleet mResult;
  path_index mObjectPaths;
  path_index mUniqueValuePaths;
};

template<class Object>
auto HasName(const std::vector<parsed_object<Object>>& aObjects, std::string_view aName) -> bool
{
  return std::any_of(aObjects.begin(), aObjects.end(), [&](const parsed_object<Object>& aObject) {
    return aObject.mObject.mName == aName;
  });
}

/// Returns the node at a path, or the deepest existing node on the way to it.
auto LocateNode(const yaml_node& aSection, const std::vector<std::string>& aKeys)
  -> const yaml_node*
{
  const auto* node = &aSection;
  for (auto depth = std::size_t{ 0 }; depth < aKeys.size(); ++depth) {
    const auto& key = aKeys[depth];
    const yaml_node* next = nullptr;
    if (key.starts_with('[')) {
      auto index = std::size_t{ 0 };
      std::from_chars(key.data() + 1, key.data() + key.size(), index);
      next = index < node->mItems.size() ? &node->mItems[index] : nullptr;
    } else {
      next = node->Find(key);
    }
    if (next == nullptr) {
      break;
    }
    node = next;
  }
  return node;
}

} // namespace

auto BuildFleet(const section_contents& aSections) -> built_fleet
{
  return fleet_builder().Build(aSections);
}

auto Defines(const section_content& aSection, std::string_view aKind, std::string_view aName)
  -> bool
{
  if (aKind == kModels) {
    return std::any_of(aSection.mServices.begin(),
                       aSection.mServices.end(),
                       [&](const auto& aService) { return aService.mObject.mModel == aName; });
  }
  return (aKind == kTiers && HasName(aSection.mTiers, aName)) ||
         (aKind == kServices && HasName(aSection.mServices, aName)) ||
         (aKind == kEndpoints && HasName(aSection.mEndpoints, aName)) ||
         (aKind == kOrganisations && HasName(aSection.mOrganisations, aName));
}

auto FormatPath(const setting_path& aPath) -> std::string
{
  auto path = std::string();
  for (const auto& key : aPath.mKeys) {
    path.append(path.empty() || key.starts_with('[') ? "" : ".").append(key);
  }
  return path;
}

auto conflict_locator::Locate(const conflict& aConflict,
                              std::string_view aText,
                              std::size_t aLineOffset) -> config_problem
{
  const auto& path = aConflict.mPath;
  auto parsed = mParsed.find(path.mSection);
  if (parsed == mParsed.end()) {
    auto tree = ParseYaml(aText, aLineOffset);
    auto* root = std::get_if<yaml_node>(&tree);
    const auto hasBody = root != nullptr && !root->mItems.empty();
    auto body = hasBody ? std::move(root->mItems.front()) : yaml_node();
    parsed = mParsed.emplace(path.mSection, std::move(body)).first;
  }
  const auto* node = LocateNode(parsed->second, path.mKeys);
  return { path.mSection,    node->mLine,      node->mColumn,
           FormatPath(path), aConflict.mFound, aConflict.mExpected };
}

} // namespace bronzering
