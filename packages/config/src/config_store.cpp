#include <bronzering/config/config_store.h>

#include "document_splitter.h"
#include "fleet_builder.h"
#include "section_content.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <set>

namespace bronzering {

namespace {

// Maximum number of attempts to reapply sections that were reverted together with others. Each
// costs one call of BuildFleet, which merges and checks all sections; documents seldom have more
// than one or two conflicting sections.
constexpr auto kMaxReapplyAttempts = 64;

/// Returns a key that is equal for two reports of the same problem.
auto ProblemKey(const config_problem& aProblem) -> std::string
{
  return aProblem.mSection + '\n' + aProblem.mPath + '\n' + aProblem.mFound;
}

auto SortByPosition(std::vector<config_problem>& aProblems) -> void
{
  std::stable_sort(aProblems.begin(),
                   aProblems.end(),
                   [](const config_problem& aFirst, const config_problem& aSecond) {
                     return std::pair(aFirst.mLine, aFirst.mColumn) <
                            std::pair(aSecond.mLine, aSecond.mColumn);
                   });
}

/// Returns the sections whose names are unique and reports the others.
auto FindUniqueSections(const split_document& aDocument, std::vector<config_problem>& aProblems)
  -> std::map<std::string, section_slice>
{
  auto sections = std::map<std::string, section_slice>();
  auto duplicates = std::set<std::string>();
  for (const auto& slice : aDocument.mSections) {
    if (!sections.emplace(slice.mName, slice).second) {
      duplicates.insert(slice.mName);
      aProblems.push_back({ slice.mName,
                            slice.mLineOffset + 1,
                            1,
                            "",
                            "a second section of this name",
                            "each section once" });
    }
  }
  for (const auto& name : duplicates) {
    sections.erase(name);
  }
  return sections;
}

auto SetSection(section_contents& aSections,
                const std::string& aName,
                const std::shared_ptr<const section_content>& aContent) -> void
{
  if (aContent != nullptr) {
    aSections[aName] = aContent;
  } else {
    aSections.erase(aName);
  }
}

} // namespace

/// A new version of one section, or its removal, that is not active yet.
struct config_store::change
{
  std::string mText;
  revision mRevision;
  std::size_t mLineOffset = 0;
  /// Null if the section is removed.
  std::shared_ptr<const section_content> mContent;
};

namespace {

/// Returns the names of the changed sections to revert because of a conflict; never empty while
/// there are changes. Returns the first of these that is not empty: the changed section that
/// contains the conflicting setting (mPath); the changed section that contains the setting that
/// mPath conflicts with (mOtherPath); the changed sections whose active version defines the missing
/// object; all changed sections.
template<class Changes>
auto FindConflictingChanges(const conflict& aConflict,
                            const Changes& aChanges,
                            const section_contents& aActive) -> std::vector<std::string>
{
  for (const auto* name : { &aConflict.mPath.mSection, &aConflict.mOtherPath.mSection }) {
    if (aChanges.contains(*name)) {
      return { *name };
    }
  }
  auto names = std::vector<std::string>();
  for (const auto& [name, changed] : aChanges) {
    const auto before = aActive.find(name);
    if (before != aActive.end() &&
        Defines(*before->second, aConflict.mMissingKind, aConflict.mMissingName)) {
      names.push_back(name);
    }
  }
  if (names.empty()) {
    std::transform(aChanges.begin(),
                   aChanges.end(),
                   std::back_inserter(names),
                   [](const auto& aChange) { return aChange.first; });
  }
  return names;
}

/// Converts a conflict to a problem of the section that is rejected because of it.
template<class Change>
auto DescribeConflict(const conflict& aConflict,
                      const std::string& aName,
                      const Change& aChange,
                      conflict_locator& aLocator) -> config_problem
{
  if (aName == aConflict.mPath.mSection) {
    return aLocator.Locate(aConflict, aChange.mText, aChange.mLineOffset);
  }
  auto described = aConflict;
  const auto user = aConflict.mPath.mSection + "." + FormatPath(aConflict.mPath);
  if (aName == aConflict.mOtherPath.mSection) {
    // The problem is located at the other setting; "there" refers to the first one, named in
    // mFound.
    described.mPath = aConflict.mOtherPath;
    described.mFound = "a conflict with " + user;
    described.mExpected = "no such conflict (there: found " + aConflict.mFound + ", expected " +
                          aConflict.mExpected + ")";
  } else {
    described.mPath = { aName, { aConflict.mMissingKind, aConflict.mMissingName } };
    described.mFound = "nothing";
    described.mExpected = "a definition, since " + user + " refers to it";
  }
  return aLocator.Locate(described, aChange.mText, aChange.mLineOffset);
}

} // namespace

auto ToString(const config_problem& aProblem) -> std::string
{
  auto text = aProblem.mSection.empty() ? std::string("document") : "section " + aProblem.mSection;
  text +=
    ", line " + std::to_string(aProblem.mLine) + ", column " + std::to_string(aProblem.mColumn);
  if (!aProblem.mPath.empty()) {
    text += ", " + aProblem.mPath;
  }
  return text + ": found " + aProblem.mFound + ", expected " + aProblem.mExpected;
}

auto CheckDocument(std::string_view aDocument) -> std::vector<config_problem>
{
  auto document = SplitDocument(aDocument);
  auto problems = std::move(document.mProblems);
  const auto slices = FindUniqueSections(document, problems);

  // A section that cannot be parsed may define objects that other sections refer to.
  auto isComplete = slices.size() == document.mSections.size();
  auto sections = section_contents();
  for (const auto& [name, slice] : slices) {
    if (auto content = ParseSection(name, slice.mText, slice.mLineOffset, problems)) {
      sections.emplace(name, std::move(content));
    } else {
      isComplete = false;
    }
  }
  auto locator = conflict_locator();
  for (const auto& conflict : BuildFleet(sections).mConflicts) {
    if (isComplete || conflict.mMissingKind.empty()) {
      const auto& slice = slices.at(conflict.mPath.mSection);
      problems.push_back(locator.Locate(conflict, slice.mText, slice.mLineOffset));
    }
  }
  SortByPosition(problems);
  return problems;
}

auto config_store::ApplyDocument(revision aRevision, std::string_view aDocument)
  -> std::vector<config_problem>
{
  if (aRevision <= mRevision) {
    return {};
  }
  auto document = SplitDocument(aDocument);
  if (!document.mProblems.empty()) {
    mProblems = std::move(document.mProblems);
    return mProblems;
  }

  auto problems = std::vector<config_problem>();
  auto changed = changes();
  const auto slices = FindUniqueSections(document, problems);
  auto names = std::set<std::string>();
  for (const auto& slice : document.mSections) {
    names.insert(slice.mName);
  }
  for (const auto& [name, slice] : slices) {
    const auto active = mSections.find(name);
    if (active != mSections.end() && active->second.mText == slice.mText) {
      active->second.mRevision = aRevision;
      mSupersededRevisions[name] = aRevision;
      continue;
    }
    auto content = ParseSection(name, slice.mText, slice.mLineOffset, problems);
    if (content != nullptr && content->mIsValid) {
      changed[name] = {
        std::string(slice.mText), aRevision, slice.mLineOffset, std::move(content)
      };
    }
  }
  for (const auto& [name, section] : mSections) {
    if (!names.contains(name)) {
      changed[name] = { {}, aRevision, 0, nullptr };
    }
  }

  mRevision = aRevision;
  mNames.assign(names.begin(), names.end());
  mProblems = Apply(std::move(changed), std::move(problems));
  SortByPosition(mProblems);
  return mProblems;
}

auto config_store::ApplySections(revision aRevision,
                                 const std::vector<fleet_section>& aSections,
                                 const std::vector<std::string>& aAllNames)
  -> std::vector<config_problem>
{
  const auto isNewer = aRevision > mRevision;
  const auto names = std::set<std::string>(aAllNames.begin(), aAllNames.end());
  auto problems = std::vector<config_problem>();
  auto changed = changes();

  for (const auto& section : aSections) {
    if (!names.contains(section.mName) || section.mRevision > aRevision) {
      problems.push_back({ section.mName.substr(0, 64),
                           1,
                           1,
                           "",
                           "a section that does not belong to its document",
                           "a section of revision " + std::to_string(aRevision.mValue) });
      continue;
    }
    // Sections that the latest revision does not list have been removed.
    const auto active = mSections.find(section.mName);
    const auto isListed =
      isNewer || std::binary_search(mNames.begin(), mNames.end(), section.mName);
    const auto superseded = mSupersededRevisions.find(section.mName);
    if (!isListed ||
        (superseded != mSupersededRevisions.end() && section.mRevision <= superseded->second)) {
      continue;
    }
    if (active != mSections.end() && active->second.mText == section.mText) {
      active->second.mRevision = std::max(active->second.mRevision, section.mRevision);
      continue;
    }
    auto content = ParseSection(section.mName, section.mText, 0, problems);
    if (content != nullptr && content->mIsValid) {
      changed[section.mName] = { section.mText, section.mRevision, 0, std::move(content) };
    }
  }

  if (isNewer) {
    for (const auto& [name, section] : mSections) {
      if (!names.contains(name)) {
        changed[name] = { {}, aRevision, 0, nullptr };
      }
    }
    mRevision = aRevision;
    mNames.assign(names.begin(), names.end());
    mProblems.clear();
  }
  problems = Apply(std::move(changed), std::move(problems));
  if (isNewer) {
    // The sender omits sections whose text is the same at both ends, so these are as new as its
    // own.
    for (const auto& name : names) {
      const auto isRejected =
        std::any_of(problems.begin(), problems.end(), [&](const auto& aProblem) {
          return aProblem.mSection == name;
        });
      if (mSections.contains(name) && !isRejected) {
        mSupersededRevisions[name] = std::max(mSupersededRevisions[name], aRevision);
      }
    }
  }
  // Sections that are active now are no longer rejected.
  mProblems.erase(std::remove_if(mProblems.begin(),
                                 mProblems.end(),
                                 [&](const config_problem& aProblem) {
                                   const auto section = mSections.find(aProblem.mSection);
                                   return section != mSections.end() &&
                                          section->second.mRevision == mRevision;
                                 }),
                  mProblems.end());
  auto known = std::set<std::string>();
  std::transform(mProblems.begin(), mProblems.end(), std::inserter(known, known.end()), ProblemKey);
  for (const auto& problem : problems) {
    if (known.insert(ProblemKey(problem)).second) {
      mProblems.push_back(problem);
    }
  }
  return problems;
}

/// Reverts conflicting changes until no conflict is left. Moves them to aReverted and returns the
/// problems. Terminates because the active sections are free of conflicts, so at the latest
/// reverting all changes leaves none.
auto config_store::RevertConflictingChanges(changes& aChanges,
                                            contents& aProposed,
                                            changes& aReverted) const -> std::vector<config_problem>
{
  auto problems = std::vector<config_problem>();
  auto known = std::set<std::string>();
  auto locator = conflict_locator();
  for (auto built = BuildFleet(aProposed); !built.mConflicts.empty();
       built = BuildFleet(aProposed)) {
    assert(!aChanges.empty());
    auto rejected = std::set<std::string>();
    for (const auto& conflict : built.mConflicts) {
      for (const auto& name : FindConflictingChanges(conflict, aChanges, mContents)) {
        rejected.insert(name);
        auto problem = DescribeConflict(conflict, name, aChanges.at(name), locator);
        if (known.insert(ProblemKey(problem)).second) {
          problems.push_back(std::move(problem));
        }
      }
    }
    for (const auto& name : rejected) {
      if (const auto active = mContents.find(name); active != mContents.end()) {
        aProposed[name] = active->second;
      } else {
        aProposed.erase(name);
      }
      aReverted.insert(aChanges.extract(name));
    }
  }
  return problems;
}

auto config_store::Apply(changes aChanges, std::vector<config_problem> aProblems)
  -> std::vector<config_problem>
{
  auto proposed = mContents;
  for (const auto& [name, changed] : aChanges) {
    SetSection(proposed, name, changed.mContent);
  }
  auto reverted = changes();
  auto conflictProblems = RevertConflictingChanges(aChanges, proposed, reverted);

  // Some changes were reverted only because of others; reapply those without a conflict now.
  auto attempts = 0;
  for (auto next = reverted.begin(); next != reverted.end() && attempts < kMaxReapplyAttempts;
       ++attempts) {
    auto candidate = proposed;
    SetSection(candidate, next->first, next->second.mContent);
    if (BuildFleet(candidate).mConflicts.empty()) {
      proposed = std::move(candidate);
      aChanges.insert(reverted.extract(next));
      next = reverted.begin();
    } else {
      ++next;
    }
  }
  for (auto& problem : conflictProblems) {
    if (reverted.contains(problem.mSection)) {
      aProblems.push_back(std::move(problem));
    }
  }

  // Activate the remaining changes.
  for (auto& [name, changed] : aChanges) {
    if (changed.mContent == nullptr) {
      mSections.erase(name);
      mSupersededRevisions.erase(name);
    } else {
      mSections[name] = { name, changed.mRevision, std::move(changed.mText) };
      mSupersededRevisions[name] = changed.mRevision;
    }
  }
  mContents = std::move(proposed);
  if (mCurrent != nullptr || !mContents.empty()) {
    auto config = BuildFleet(mContents).mConfig;
    config.mRevision = mRevision;
    mCurrent = std::make_shared<const fleet_config>(std::move(config));
  }
  return aProblems;
}

auto config_store::Revision() const -> revision
{
  return mRevision;
}

auto config_store::Current() const -> std::shared_ptr<const fleet_config>
{
  return mCurrent;
}

auto config_store::Sections() const -> const std::map<std::string, fleet_section, std::less<>>&
{
  return mSections;
}

auto config_store::Names() const -> const std::vector<std::string>&
{
  return mNames;
}

auto config_store::Problems() const -> const std::vector<config_problem>&
{
  return mProblems;
}

} // namespace bronzering
