#pragma once

#include <bronzering/config/config_store.h>
#include <bronzering/config/fleet_config.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Position of an object or a reference within the checked text.
struct text_position
{
  std::size_t mLine = 1;
  std::size_t mColumn = 1;
};

template<class Object>
struct parsed_object
{
  Object mObject;
  /// Position of the object's key.
  text_position mPosition;
  /// Whether the object itself has no problems. Only the name of an invalid object is meaningful.
  bool mIsValid = true;
};

/// Objects defined by one section, after the checks that need no other section.
struct section_content
{
  std::string mName;
  std::string mOwner;
  /// Whether the section itself has no problems.
  bool mIsValid = true;
  std::vector<parsed_object<tier_config>> mTiers;
  std::vector<parsed_object<service_config>> mServices;
  std::vector<parsed_object<endpoint_config>> mEndpoints;
  std::vector<parsed_object<organisation_config>> mOrganisations;
  std::vector<parsed_object<limit_config>> mLimits;
  std::optional<parsed_object<routing_config>> mRouting;
};

/// Parses the text of one section, including its header line, and appends its problems to
/// aProblems. Returns null if the text is not a mapping under the section's name. aLineOffset is
/// added to line numbers. Never throws; thread-safe.
[[nodiscard]] auto ParseSection(std::string_view aName,
                                std::string_view aText,
                                std::size_t aLineOffset,
                                std::vector<config_problem>& aProblems)
  -> std::shared_ptr<const section_content>;

} // namespace bronzering
