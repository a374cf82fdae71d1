#pragma once

#include <bronzering/base/ids.h>
#include <bronzering/config/fleet_config.h>
#include <bronzering/config/fleet_section.h>

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bronzering {

/// One error in a fleet document. Lines and columns count from 1 within the checked text.
struct config_problem
{
  std::string mSection;
  std::size_t mLine = 0;
  std::size_t mColumn = 0;
  /// Dotted path of the setting, for example "services.lamp-briefs.kind".
  std::string mPath;
  std::string mFound;
  std::string mExpected;
};

struct section_content;

/// Formats a problem as one line: section, line, column, path, found, expected.
[[nodiscard]] auto ToString(const config_problem& aProblem) -> std::string;

/// Returns all problems of a document in text order, or an empty list if it is valid. Thread-safe.
[[nodiscard]] auto CheckDocument(std::string_view aDocument) -> std::vector<config_problem>;

/// Holds the configuration of one process and updates it section by section. A section that is
/// invalid, or that would make others invalid, is rejected: its last valid version stays active and
/// the other sections are unaffected. For each section the highest revision wins. Not thread-safe:
/// owned by the control thread. The returned fleet_config is immutable and can be read by any
/// thread.
class config_store
{
public:
  /// Applies a document from the configuration service. Ignores it unless its revision is above
  /// Revision(). Returns the problems found.
  auto ApplyDocument(revision aRevision, std::string_view aDocument) -> std::vector<config_problem>;

  /// Applies sections received from a peer. aAllNames lists every section of revision aRevision;
  /// unlisted sections are removed if aRevision is above Revision().
  auto ApplySections(revision aRevision,
                     const std::vector<fleet_section>& aSections,
                     const std::vector<std::string>& aAllNames) -> std::vector<config_problem>;

  /// Returns the highest document revision applied, or zero before the first.
  [[nodiscard]] auto Revision() const -> revision;
  /// Returns the active configuration, or null before the first.
  [[nodiscard]] auto Current() const -> std::shared_ptr<const fleet_config>;
  /// Returns the active sections by name, each with the latest revision known to contain its text.
  /// With the first such revision instead, a process that missed a change and its reversal would
  /// treat the reverted text of a peer as newer than its own.
  [[nodiscard]] auto Sections() const -> const std::map<std::string, fleet_section, std::less<>>&;
  /// Returns the sorted names of all sections of the latest revision, including those rejected
  /// here. Peers are sent this list rather than the names in Sections(), because a process that
  /// rejects a section must not make others remove their last valid version of it.
  [[nodiscard]] auto Names() const -> const std::vector<std::string>&;
  /// Returns the problems of the sections rejected in the latest revision.
  [[nodiscard]] auto Problems() const -> const std::vector<config_problem>&;

private:
  using contents = std::map<std::string, std::shared_ptr<const section_content>, std::less<>>;
  struct change;
  using changes = std::map<std::string, change, std::less<>>;

  auto Apply(changes aChanges, std::vector<config_problem> aProblems)
    -> std::vector<config_problem>;
  auto RevertConflictingChanges(changes& aChanges, contents& aProposed, changes& aReverted) const
    -> std::vector<config_problem>;

  revision mRevision;
  /// The active configuration, merged from mContents; null until a section has become active.
  std::shared_ptr<const fleet_config> mCurrent;
  /// The active sections by name.
  std::map<std::string, fleet_section, std::less<>> mSections;
  /// The parsed form of mSections, with the same keys.
  contents mContents;
  std::vector<std::string> mNames;
  /// By name of an active section: texts from peers with this revision or a lower one are ignored,
  /// because they are not newer than the active text. This is the revision with which the text
  /// became active, or a higher one whose document is known to contain the same text. In the latter
  /// case it can exceed the section's revision in mSections.
  std::map<std::string, revision, std::less<>> mSupersededRevisions;
  std::vector<config_problem> mProblems;
};

} // namespace bronzering
