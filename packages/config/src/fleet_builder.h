#pragma once

#include "section_content.h"
#include "yaml_tree.h"

#include <bronzering/config/config_store.h>
#include <bronzering/config/fleet_config.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// Path of a setting: its section and the keys below it. List elements are written as "[0]".
struct setting_path
{
  std::string mSection;
  std::vector<std::string> mKeys;
};

/// An inconsistency between settings, usually of two sections: a dangling reference or a duplicate.
struct conflict
{
  setting_path mPath;
  /// The setting that mPath conflicts with; its section is empty if there is none.
  setting_path mOtherPath;
  /// Kind and name of the missing object of a dangling reference. Empty for other conflicts.
  std::string mMissingKind;
  std::string mMissingName;
  std::string mFound;
  std::string mExpected;
};

struct built_fleet
{
  fleet_config mConfig;
  std::vector<conflict> mConflicts;
};

using section_contents = std::map<std::string, std::shared_ptr<const section_content>, std::less<>>;

/// Merges sections into one configuration and checks that they are consistent. Thread-safe.
[[nodiscard]] auto BuildFleet(const section_contents& aSections) -> built_fleet;

/// Returns whether a section defines the object given by a conflict's mMissingKind and
/// mMissingName.
[[nodiscard]] auto Defines(const section_content& aSection,
                           std::string_view aKind,
                           std::string_view aName) -> bool;

/// Returns the dotted form of a path's keys, for example "services.orders" or "tokens[0]".
[[nodiscard]] auto FormatPath(const setting_path& aPath) -> std::string;

/// Determines the text positions of conflicts. Parses a section's text again when its first
/// conflict is located, so that no positions are stored for valid sections. Used for one document
/// on one thread.
class conflict_locator
{
public:
  /// Converts a conflict to a problem with a text position. aText is the text of mPath's section.
  [[nodiscard]] auto Locate(const conflict& aConflict,
                            std::string_view aText,
                            std::size_t aLineOffset) -> config_problem;

private:
  std::map<std::string, yaml_node> mParsed;
};

} // namespace bronzering
