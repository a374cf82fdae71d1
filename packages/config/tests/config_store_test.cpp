#include "example_documents.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace bronzering;

namespace {

auto SectionsOf(const config_store& aStore) -> std::vector<fleet_section>
{
  auto sections = std::vector<fleet_section>();
  for (const auto& [name, section] : aStore.Sections()) {
    sections.push_back(section);
  }
  return sections;
}

auto MakeStore(std::uint64_t aRevision, const std::string& aDocument) -> config_store
{
  auto store = config_store();
  REQUIRE(Join(store.ApplyDocument(revision{ aRevision }, aDocument)).empty());
  return store;
}

/// Generates the small document with a few random edits; some results are still valid.
auto GenMutatedDocument() -> rc::Gen<std::string>
{
  return rc::gen::map(
    rc::gen::container<std::vector<std::tuple<std::uint16_t, std::uint8_t, char>>>(
      rc::gen::arbitrary<std::tuple<std::uint16_t, std::uint8_t, char>>()),
    [](const std::vector<std::tuple<std::uint16_t, std::uint8_t, char>>& aEdits) {
      auto text = SmallDocument();
      for (const auto& [position, kind, character] : aEdits) {
        const auto at = position % text.size();
        switch (kind % 4) {
          case 0:
            text[at] = character;
            break;
          case 1:
            text.erase(at, 1 + kind / 16U);
            break;
          case 2:
            text.insert(at, 1, character);
            break;
          default:
            // Copying a part creates duplicates and puts settings into other sections.
            text.insert(at, text.substr((at * 7U) % text.size(), kind));
        }
      }
      return text;
    });
}

} // namespace

TEST_CASE("an invalid section keeps its last valid version and does not affect the others",
          "[config]")
{
  auto store = MakeStore(1, SmallDocument());
  auto next = Replace(SmallDocument(), "max_concurrency: 8", "max_concurrency: 16");
  next = Replace(next, "path: /stock", "path: stock");
  const auto problems = store.ApplyDocument(revision{ 2 }, next);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].mSection == "shop");
  CHECK(store.Revision() == revision{ 2 });
  CHECK(store.Current()->mRevision == revision{ 2 });
  CHECK(store.Current()->mEndpoints.at("engine-1").mMaxConcurrency == 16);
  CHECK(store.Current()->mServices.at("stock").mPathPrefix == "/stock");
  CHECK(store.Sections().at("shop").mRevision == revision{ 1 });
  CHECK(store.Names() == std::vector<std::string>{ "base", "model", "shop" });
  CHECK(store.Problems().size() == 1);
}

// A syntax error in one team's section must not block the changes of all other teams.
TEST_CASE("a syntax error is confined to its section", "[config]")
{
  auto store = MakeStore(1, SmallDocument());
  auto next = Replace(SmallDocument(), "max_concurrency: 8", "max_concurrency: 16");
  next = Replace(next, "owner: shop", "owner: [shop");
  CHECK(store.ApplyDocument(revision{ 2 }, next).size() == 1);
  CHECK(store.Current()->mEndpoints.at("engine-1").mMaxConcurrency == 16);
}

TEST_CASE("a change or removal that breaks another section is rejected", "[config]")
{
  auto store = MakeStore(1, SmallDocument());

  // The unchanged section shop refers to briefs.
  auto renamed = Replace(SmallDocument(), "      briefs: {", "      letters: {");
  renamed = Replace(renamed, "kind: model, services: [briefs]", "kind: model, services: [letters]");
  auto problems = store.ApplyDocument(revision{ 2 }, renamed);
  INFO(Join(problems));
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].mSection == "model");
  CHECK(problems[0].mPath == "services.briefs");
  CHECK(store.Current()->mServices.contains("briefs"));

  const auto document = SmallDocument();
  const auto start = document.find("  base:");
  const auto removed = std::string(document).erase(start, document.find("  model:") - start);
  problems = store.ApplyDocument(revision{ 3 }, removed);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].mSection == "base");
  CHECK(store.Current()->mTiers.size() == 2);
  CHECK(store.Names() == std::vector<std::string>{ "model", "shop" });
}

// Reverting conflicting sections must not also revert a consistent rename across two sections.
TEST_CASE("a consistent change of two sections is applied while a third is rejected", "[config]")
{
  auto store = MakeStore(1, SmallDocument());
  auto next = Replace(SmallDocument(), "      briefs: {", "      letters: {");
  next = Replace(next, "kind: model, services: [briefs]", "kind: model, services: [letters]");
  next = Replace(next, "services: [briefs, stock]", "services: [letters, stock]");
  next = Replace(next, "tin: { rank: 1", "tin: { rank: 0");
  REQUIRE(store.ApplyDocument(revision{ 2 }, next).size() == 1);
  CHECK(store.Current()->mServices.contains("letters"));
  CHECK(store.Current()->mTiers.at("tin").mRank == 1);
}

TEST_CASE("the first document may be partly invalid", "[config]")
{
  auto store = config_store();
  const auto document = Replace(SmallDocument(), "path: /stock", "path: stock");
  CHECK(store.ApplyDocument(revision{ 4 }, document).size() == 1);
  CHECK(store.Sections().size() == 2);

  // A peer still has the last valid version of the section.
  const auto peer = MakeStore(3, SmallDocument());
  const auto problems =
    store.ApplySections(peer.Revision(), { peer.Sections().at("shop") }, peer.Names());
  CHECK(Join(problems).empty());
  CHECK(store.Sections().size() == 3);
  CHECK(store.Revision() == revision{ 4 });
}

TEST_CASE("documents and sections of older revisions change nothing", "[config]")
{
  const auto older = MakeStore(1, SmallDocument());
  auto store = MakeStore(2, Replace(SmallDocument(), "weight: 2", "weight: 3"));
  CHECK(store.ApplyDocument(revision{ 2 }, SmallDocument()).empty());
  CHECK(store.ApplyDocument(revision{ 1 }, SmallDocument()).empty());
  CHECK(store.ApplySections(revision{ 1 }, SectionsOf(older), older.Names()).empty());
  CHECK(store.Current()->mOrganisations.at("lampworks").mWeight == 3);
}

// A process that missed both a change and its reversal must not adopt the change from a peer that
// is still at the older revision.
TEST_CASE("a change that has since been reversed is not adopted from a peer", "[config]")
{
  const auto slow = MakeStore(2, Replace(SmallDocument(), "weight: 2", "weight: 3"));
  SECTION("after a document from the configuration service")
  {
    auto store = MakeStore(1, SmallDocument());
    CHECK(store.ApplyDocument(revision{ 3 }, SmallDocument()).empty());
    CHECK(store.ApplySections(revision{ 2 }, SectionsOf(slow), slow.Names()).empty());
    CHECK(store.Current()->mOrganisations.at("lampworks").mWeight == 2);
  }
  SECTION("after an update from a peer, which omits the unchanged section")
  {
    auto store = MakeStore(1, SmallDocument());
    CHECK(store.ApplySections(revision{ 3 }, {}, slow.Names()).empty());
    CHECK(store.ApplySections(revision{ 2 }, SectionsOf(slow), slow.Names()).empty());
    CHECK(store.Current()->mOrganisations.at("lampworks").mWeight == 2);
  }
}

TEST_CASE("sections from peers are validated, and removed sections stay removed", "[config]")
{
  auto store = MakeStore(1, SmallDocument());
  auto changed = store.Sections().at("shop");
  changed.mRevision = revision{ 2 };
  changed.mText = "shop:\n  owner: shop\n  services: { stock: { kind: plain } }\n";
  CHECK_FALSE(store.ApplySections(revision{ 2 }, { changed }, store.Names()).empty());
  CHECK(store.Current()->mServices.contains("orders"));
  CHECK(store.Revision() == revision{ 2 });

  const auto withShop = store.Sections().at("shop");
  CHECK(store.ApplySections(revision{ 3 }, {}, { "base", "model" }).empty());
  CHECK_FALSE(store.Current()->mServices.contains("orders"));
  CHECK(store.ApplySections(revision{ 2 }, { withShop }, { "base", "model", "shop" }).empty());
  CHECK_FALSE(store.Current()->mServices.contains("orders"));
}

TEST_CASE("a document with invalid top-level keys changes nothing", "[config]")
{
  auto store = MakeStore(1, SmallDocument());
  for (const auto* document :
       { "", "format: 1\n", "format: 1\nsections:\n", "- 1\n", "format: 2\nsections:\n  a:\n" }) {
    CHECK_FALSE(store.ApplyDocument(revision{ 9 }, document).empty());
    CHECK(store.Revision() == revision{ 1 });
    CHECK(store.Sections().size() == 3);
  }
}

TEST_CASE("random bytes neither throw nor change the configuration", "[config]")
{
  rc::prop("random bytes", [](const std::string& aBytes) {
    auto store = MakeStore(1, SmallDocument());
    const auto before = store.Sections();
    static_cast<void>(CheckDocument(aBytes));
    static_cast<void>(store.ApplyDocument(revision{ 2 }, aBytes));
    static_cast<void>(store.ApplySections(
      revision{ 3 }, { { "shop", revision{ 3 }, aBytes } }, { "base", "model", "shop" }));
    RC_ASSERT(store.Sections() == before);
  });
}

TEST_CASE("mutated documents keep every section either new or unchanged, and consistent",
          "[config]")
{
  rc::prop("mutations", [] {
    auto store = MakeStore(1, SmallDocument());
    auto last = store.Revision();
    for (auto round = 0; round < 3; ++round) {
      const auto before = store.Sections();
      const auto document = *GenMutatedDocument();
      const auto number = revision{ *rc::gen::inRange<std::uint64_t>(1, 6) };
      const auto problems = store.ApplyDocument(number, document);
      RC_ASSERT(store.Revision() >= last);
      last = store.Revision();
      for (const auto& [name, section] : store.Sections()) {
        const auto old = before.find(name);
        const auto isUnchanged = old != before.end() && old->second.mText == section.mText;
        RC_ASSERT(isUnchanged || document.find(section.mText) != std::string::npos);
        RC_ASSERT(old == before.end() || section.mRevision >= old->second.mRevision);
        if (isUnchanged) {
          continue;
        }
        for (const auto& problem : problems) {
          RC_ASSERT(problem.mSection != name);
        }
      }

      // The active sections are valid together. They may come from documents with different
      // indentation, so they are applied to a second store as sections from a peer.
      auto names = std::vector<std::string>();
      for (const auto& section : SectionsOf(store)) {
        names.push_back(section.mName);
      }
      auto peer = config_store();
      RC_ASSERT(Join(peer.ApplySections(store.Revision(), SectionsOf(store), names)).empty());
      RC_ASSERT(peer.Sections() == store.Sections());
    }
  });
}
