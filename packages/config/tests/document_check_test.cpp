#include "example_documents.h"

#include <catch2/catch.hpp>

using namespace bronzering;

namespace {

struct invalid_edit
{
  std::string mFrom;
  std::string mTo;
  /// Path of the problem that the edit must cause, and a part of its text.
  std::string mPath;
  std::string mExpectedText;
};

} // namespace

// Guards against examples that do not match the documentation or are rejected: operators copy them.
TEST_CASE("both example documents are valid and have the documented sizes", "[config]")
{
  const auto workshop = ReadExample("workshop.yaml");
  CHECK(Join(CheckDocument(workshop)).empty());
  auto store = config_store();
  CHECK(store.ApplyDocument(revision{ 1 }, workshop).empty());
  CHECK(store.Current()->mEndpoints.size() == 5);
  CHECK(store.Current()->mTiers.at("customer").mFirstTokenTarget == std::chrono::milliseconds(360));

  const auto shops = ReadExample("shops.yaml");
  CHECK(Join(CheckDocument(shops)).empty());
  auto shopStore = config_store();
  CHECK(shopStore.ApplyDocument(revision{ 1 }, shops).empty());
  auto counts = std::map<service_kind, int>();
  for (const auto& [name, endpoint] : shopStore.Current()->mEndpoints) {
    ++counts[endpoint.mKind];
  }
  CHECK(counts[service_kind::Model] == 18);
  CHECK(counts[service_kind::Plain] == 4);
  CHECK(shopStore.Current()->mOrganisations.size() == 5);
  CHECK_FALSE(shopStore.Current()->mServices.at("box-renewals").mIdempotent);
}

// Without a report, each of these errors would silently select a default or have no effect.
TEST_CASE("every kind of error is reported with its path", "[config]")
{
  const auto document = SmallDocument();
  REQUIRE(Join(CheckDocument(document)).empty());

  const auto edits = std::vector<invalid_edit>{
    // Top-level keys.
    { "format: 1", "format: 2", "format", "format 1" },
    { "format: 1", "version: 1", "format", "nothing" },
    { "format: 1", "format: 1\nowner: me", "owner", "unknown key" },
    { "format: 1", "format: 1\nformat: 1", "format", "a second format" },
    { "  shop:\n", "  model:\n", "", "a second section" },
    // Keys, types and ranges.
    { "rank: 0", "rnak: 0", "tiers.gold.rnak", "unknown key" },
    { "rank: 0", "rank: zero", "tiers.gold.rank", "whole number" },
    { "rank: 0", "rank: \"0\"", "tiers.gold.rank", "whole number" },
    { "rank: 0", "rank: 0.5", "tiers.gold.rank", "whole number" },
    { "rank: 0", "rank: [0]", "tiers.gold.rank", "a list" },
    { "rank: 0", "rank: ", "tiers.gold.rank", "nothing" },
    { "rank: 0", "rank: 0, rank: 0", "tiers.gold.rank", "a second" },
    { "first_token: 360ms", "first_token: 360", "tiers.gold.first_token", "duration" },
    { "first_token: 360ms", "first_token: -1s", "tiers.gold.first_token", "duration" },
    { "first_token: 360ms",
      "first_token: 99999999999999999h",
      "tiers.gold.first_token",
      "duration" },
    { "first_token: 360ms", "first_token: 40s", "tiers.gold.timeout", "at least first_token" },
    { "owner: shop", "owners: shop", "owner", "nothing" },
    { "weight: 2", "weight: 0", "organisations.lampworks.weight", "a number from" },
    { "weight: 2", "weight: .inf", "organisations.lampworks.weight", "a number from" },
    { "weight: 2", "weight: nan", "organisations.lampworks.weight", "a number from" },
    { "max_concurrency: 4", "max_concurrency: 1e300", "endpoints.shop-1.max_concurrency", "whole" },
    { "rate: 1e5", "rate: 0", "limits.brief-tokens.rate", "a number from" },
    { "idempotent: false", "idempotent: no", "services.orders.idempotent", "true or false" },
    { "shutdown: 2027-06-30T22:00:00Z",
      "shutdown: 2027-06-31T22:00:00Z",
      "services.briefs.shutdown",
      "UTC" },
    { "initial_candidates: 2", "initial_candidates: 33", "routing.initial_candidates", "at most" },
    { "      gold:", "      go/ld:", "tiers.go/ld", "a name of" },
    { "e3b0c442", "E3B0C442", "organisations.lampworks.callers.customers.tokens[0]", "64" },
    // Inconsistent settings.
    { "model: briefs-1, ", "", "services.briefs.model", "nothing" },
    { "model: briefs-1, ", "model: briefs-1, path: /x, ", "services.briefs.path", "no path" },
    { "path: /stock", "path: /stock/", "services.stock.path", "path prefix" },
    { "path: /stock", "path: /v1/stock", "services.stock.path", "other than /v1" },
    { "path: /stock", "path: /orders", "services.orders.path", "occurs once" },
    { "path: /stock",
      "path: /stock, idempotency_window: 1h",
      "services.stock.idempotency_window",
      "together" },
    { "2027-06-30T22:00:00Z", "2026-06-30T22:00:00Z", "services.briefs.shutdown", "not before" },
    { "max_concurrency: 4",
      "max_concurrency: 4, kv_tokens: 5",
      "endpoints.shop-1.kv_tokens",
      "only for model" },
    { "kv_tokens: 1000, ", "", "endpoints.engine-1.kv_tokens", "nothing" },
    { "[stock, orders]", "[stock, briefs]", "endpoints.shop-1.services[1]", "a plain service" },
    { "[stock, orders]", "[stock, stock]", "endpoints.shop-1.services[1]", "each name once" },
    { "unit: tokens", "unit: bytes", "limits.brief-tokens.unit", "requests or tokens" },
    { "scope: model, target: briefs-1",
      "scope: service, target: stock",
      "limits.brief-tokens.target",
      "model service" },
    { "tin: { rank: 1", "tin: { rank: 0", "tiers.tin.rank", "occurs once" },
    // Dangling references.
    { "[stock, orders]",
      "[stock, nowhere]",
      "endpoints.shop-1.services[1]",
      "service that exists" },
    { "[briefs, stock]",
      "[briefs, nowhere]",
      "organisations.lampworks.callers.customers.services[1]",
      "service that exists" },
    { "tier: gold",
      "tier: silver",
      "organisations.lampworks.callers.customers.tier",
      "tier that exists" },
    { "target: briefs-1", "target: briefs", "limits.brief-tokens.target", "the model of" },
    { "scope: model, target: briefs-1",
      "scope: organisation, target: nobody",
      "limits.brief-tokens.target",
      "organisation" },
    // YAML constructs that are not supported.
    { "owner: shop", "owner: &a shop", "", "anchor" },
    { "owner: shop", "owner: !!str shop", "", "tag" },
    { "owner: shop", "owner: [[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]", "", "nesting" },
    { "owner: shop", "owner: [shop", "", "valid YAML" },
    { "owner: shop", "owner: sh\xff", "", "UTF-8" },
  };
  for (const auto& edit : edits) {
    const auto problems = CheckDocument(Replace(document, edit.mFrom, edit.mTo));
    INFO("edit: " << edit.mTo << "\nproblems:\n" << Join(problems));
    CHECK(std::any_of(problems.begin(), problems.end(), [&](const config_problem& aProblem) {
      return aProblem.mPath == edit.mPath &&
             (aProblem.mFound + aProblem.mExpected).find(edit.mExpectedText) != std::string::npos;
    }));
  }
}

// If only some problems were reported, operators would need several attempts to fix a document.
TEST_CASE("all problems are reported with line and column, in the order of the text", "[config]")
{
  auto document = Replace(SmallDocument(), "rank: 0", "rank: x");
  document =
    Replace(document, "kind: model, services: [briefs]", "kind: modle, services: [nowhere]");
  document = Replace(document, "tier: gold", "tier: silver");
  const auto problems = CheckDocument(document);
  INFO(Join(problems));
  REQUIRE(problems.size() == 4);
  CHECK(
    ToString(problems[0]) ==
    "section base, line 6, column 21, tiers.gold.rank: found \"x\", expected a whole number from "
    "0 to 63");
  CHECK(problems[1].mPath == "endpoints.engine-1.kind");
  CHECK(problems[2].mPath == "endpoints.engine-1.services[0]");
  CHECK(problems[3].mPath == "organisations.lampworks.callers.customers.tier");
  CHECK(problems[3].mLine == 29);
}

// A bearer token entered instead of its digest must not appear in logs.
TEST_CASE("invalid token digests are not shown", "[config]")
{
  const auto problems =
    CheckDocument(Replace(SmallDocument(),
                          "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
                          "secret-token"));
  REQUIRE(problems.size() == 1);
  CHECK(ToString(problems[0]).find("secret-token") == std::string::npos);
}

// With a token in two groups, the lookup order would decide the caller's tier.
TEST_CASE("a token that two callers share is reported", "[config]")
{
  const auto digest =
    std::string("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  const auto problems =
    CheckDocument(SmallDocument() + "          others: { tier: tin, services: [stock], tokens: [" +
                  digest + "] }\n");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].mPath == "organisations.lampworks.callers.others.tokens[0]");
}

TEST_CASE("documents above one megabyte are rejected", "[config]")
{
  const auto problems = CheckDocument(SmallDocument() + std::string(std::size_t{ 1 } << 20U, '#'));
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].mExpected == "at most 1048576 bytes");
}
