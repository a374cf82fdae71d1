#include <bronzering/dispatch/document_check.h>
#include <bronzering/dispatch/document_difference.h>

#include <catch2/catch.hpp>

#include <functional>

using namespace bronzering;
using namespace std::chrono_literals;

namespace {

using document_edit = std::function<void(routing_document&)>;

/// A document without findings.
auto Document() -> routing_document
{
  auto document = routing_document();
  document.mVersion = 7;
  auto route = route_spec();
  route.mName = "r1";
  route.mHost = "shop.example";
  route.mPrefix = "/a/";
  route.mServices = { { "lm", 1 } };
  route.mTimeout = 15s;
  document.mRoutes.push_back(route);
  route.mName = "r2";
  route.mHost = "[::1]";
  route.mServices = { { "lm", 90 }, { "app", 10 } };
  route.mRetryPolicy = retry_policy::Repeatable;
  route.mMaxAttempts = 2;
  document.mRoutes.push_back(route);
  document.mServices = { { "lm", 370, true, 5, 2.5, 30s }, { "app" } };
  document.mOrganisations = { { "lamps", { "secret-1", "secret-2" }, 0, 1000, 200, true, 200 },
                              { "bells", { "secret-3" } } };
  return document;
}

auto Edited(const document_edit& aEdit) -> routing_document
{
  auto document = Document();
  aEdit(document);
  return document;
}

auto Line(const document_finding& aFinding) -> std::string
{
  const auto severity = std::string(kFindingSeverityNames.NameOf(aFinding.mSeverity));
  return severity + ' ' + aFinding.mPlace + ' ' + aFinding.mText + '\n';
}

auto Line(const document_change& aChange) -> std::string
{
  return aChange.mPlace + ' ' + aChange.mText + '\n';
}

template<class Part>
auto Text(const std::vector<Part>& aParts) -> std::string
{
  auto text = std::string();
  for (const auto& part : aParts) {
    text += Line(part);
  }
  return text;
}

const auto kR1 = std::string(R"(routes[0] "r1" )");
const auto kR2 = std::string(R"(error routes[1] "r2" )");
const auto kLm = std::string(R"(services[0] "lm" )");
const auto kLamps = std::string(R"(organisations[0] "lamps" )");

} // namespace

// A fault that the check misses shows only once callers are refused.
TEST_CASE("each fault of a document is found with its severity and place", "[document_check]")
{
  CHECK(Text(CheckDocument(Document())).empty());
  struct example
  {
    document_edit mEdit;
    /// Start of the only finding.
    std::string mFinding;
  };
  using doc = routing_document;
  const auto noMatch = "error " + kR1 + "never matches, because its ";
  const auto examples = std::vector<example>{
    { [](doc& aDoc) { aDoc.mVersion = 0; }, "error version is 0" },
    { [](doc& aDoc) { aDoc.mRoutes[1].mHost = "shop.example"; },
      kR2 + R"(never matches, because routes[0] "r1" has the same host)" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mPrefix = "/a"; }, noMatch + "prefix does" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mPrefix = "a/"; }, noMatch + "prefix does" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mPrefix = "/a?/"; }, noMatch + "host has" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mHost = "shop.example:80"; }, noMatch + "host has" },
    { [](doc& aDoc) { aDoc.mRoutes[1].mHost = "[::1]:80"; }, kR2 + "never matches" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mHost = "Shop.example"; }, noMatch + "host has" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mHost = ""; }, "warning " + kR1 + "has no host" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mServices[0].mService = "x"; },
      "error " + kR1 + R"(names service "x", which does not exist)" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mServices.clear(); }, "error " + kR1 + "gives no" },
    { [](doc& aDoc) {
       aDoc.mRoutes[0].mServices.assign(2, { "lm", 0 });
       aDoc.mRoutes[0].mServices[0].mWeight = 1;
     },
      "warning " + kR1 + R"(gives service "lm" weight 0)" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mTimeout = 0s; }, "error " + kR1 + "has no time-" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mMaxAttempts = 0; }, "error " + kR1 + "allows 0 attempts" },
    { [](doc& aDoc) { aDoc.mRoutes[0].mMaxAttempts = 3; }, "warning " + kR1 + "allows 3 attempts" },
    { [](doc& aDoc) { aDoc.mRoutes[1].mName = "r1"; },
      R"(warning routes[1] "r1" has the same name as routes[0])" },
    { [](doc& aDoc) { aDoc.mServices.push_back({ "lm" }); },
      R"(error services[2] "lm" has the same name as services[0])" },
    { [](doc& aDoc) { aDoc.mRoutes[1].mServices.pop_back(); },
      R"(warning services[1] "app" gets no requests, because no route)" },
    { [](doc& aDoc) { aDoc.mServices[0].mColdTime = 0s; },
      "warning " + kLm + "has a cold rate but" },
    { [](doc& aDoc) { aDoc.mServices[0].mColdTime = -1s; }, "error " + kLm + "has a cold time" },
    { [](doc& aDoc) { aDoc.mServices[0].mColdRate = -1; },
      "error " + kLm + "has a cold rate below" },
    { [](doc& aDoc) { aDoc.mOrganisations.clear(); },
      "warning organisations is empty, so no requests" },
    { [](doc& aDoc) { aDoc.mOrganisations[1].mName = "lamps"; },
      R"(error organisations[1] "lamps" has the same name as organisations[0])" },
    { [](doc& aDoc) { aDoc.mOrganisations[1].mKeys.emplace_back("secret-1"); },
      R"(error organisations[1] "bells" has a key of organisations[0] "lamps")" },
    { [](doc& aDoc) { aDoc.mOrganisations[0].mKeys[0] = ""; },
      "warning " + kLamps + "has an empty" },
    { [](doc& aDoc) { aDoc.mOrganisations[0].mKeys.clear(); }, "warning " + kLamps + "has no key" },
    { [](doc& aDoc) { aDoc.mOrganisations[0].mRate = -1; }, "error " + kLamps + "has a rate" },
    { [](doc& aDoc) { aDoc.mOrganisations[0].mRate = 0; },
      "warning " + kLamps + "has a burst but" },
    { [](doc& aDoc) { aDoc.mOrganisations[0].mBurst = -1; },
      "error " + kLamps + "has a burst below" },
    { [](doc& aDoc) { aDoc.mOrganisations[0].mBurst = 199.5; },
      "warning " + kLamps + "has a burst of 199.5, less than the 200 of one request" },
    { [](doc& aDoc) { aDoc.mOrganisations[0].mDefaultUnits = 0; },
      "warning " + kLamps + "charges no" },
    { [](doc& aDoc) { aDoc.mLimits.mMaxHeaderBytes = 0; }, "error limits allow 0 bytes of h" },
    { [](doc& aDoc) { aDoc.mLimits.mMaxBodyBytes = 0; }, "warning limits allow 0 bytes of b" },
    { [](doc& aDoc) { aDoc.mLimits.mHeaderTimeout = 0s; }, "error limits allow callers no time" },
    { [](doc& aDoc) { aDoc.mLimits.mIdleTimeout = 0s; }, "error limits allow no time between" },
  };
  for (const auto& [edit, expected] : examples) {
    const auto findings = CheckDocument(Edited(edit));
    INFO(expected << "\nfound:\n" << Text(findings));
    CHECK(findings.size() == 1);
    CHECK(Text(findings).starts_with(expected));
    CHECK(Text(findings).find("secret") == std::string::npos);
  }
}

TEST_CASE("a service that all routes give weight 0 is reported", "[document_check]")
{
  const auto edit = [](routing_document& aDocument) {
    aDocument.mRoutes[1].mServices[1].mWeight = 0;
  };
  CHECK(Text(CheckDocument(Edited(edit))).find("because all routes give it weight 0") !=
        std::string::npos);
}

// Entries ignore a document whose version is not higher than theirs, without an error.
TEST_CASE("changes under a version that is not higher are reported", "[document_check]")
{
  const auto current = Document();
  CHECK(CheckSuccessor(current, current).empty());
  const auto edit = [](std::uint64_t aVersion) {
    return Edited([aVersion](routing_document& aDocument) {
      aDocument.mVersion = aVersion;
      aDocument.mRoutes.pop_back();
    });
  };
  CHECK(CheckSuccessor(current, edit(8)).empty());
  CHECK(Text(CheckSuccessor(current, edit(7))) ==
        "error version is 7, but entries that use version 7 adopt only higher ones\n");
}

// Names may hold line breaks, and output has one finding a line.
TEST_CASE("the difference names parts and properties, and counts keys", "[document_difference]")
{
  const auto current = Document();
  CHECK(CompareDocuments(current, current).empty());
  const auto next = Edited([](routing_document& aDocument) {
    aDocument.mVersion = 8;
    aDocument.mRoutes[0].mTimeout = 1500us;
    aDocument.mRoutes[0].mServices.push_back({ "app", 2 });
    std::swap(aDocument.mRoutes[0], aDocument.mRoutes[1]);
    aDocument.mServices[1].mName = "new\napp";
    aDocument.mOrganisations[0].mKeys = { "secret-2", "secret-4", "secret-5" };
    aDocument.mOrganisations[0].mRate = 2e6;
    aDocument.mRequiresKey = false;
    aDocument.mLimits.mMaxBodyBytes = 100;
  });
  CHECK(Text(CompareDocuments(current, next)) ==
        R"(version number 8, was 7
route "r1" services "lm" with weight 1 and "app" with weight 2, was "lm"
route "r1" time-out 1.5 ms, was 15000 ms
service "new?app" added: connections of an endpoint unlimited, model no, tokens in an event 1, cold rate unlimited, cold time 0 s
service "app" removed: connections of an endpoint unlimited, model no, tokens in an event 1, cold rate unlimited, cold time 0 s
organisations no request needs a key any more
organisation "lamps" rate 2000000 tokens/s, was 1000 tokens/s
organisation "lamps" 2 keys added
organisation "lamps" 1 key removed
limits bytes of body 100, was 4194304
)");
  auto removed = current;
  removed.mOrganisations.pop_back();
  CHECK(Text(CompareDocuments(removed, current)) ==
        "organisation \"bells\" added: priority 0, rate unlimited, burst unlimited, "
        "tokens of a request without token counts not counted, 1 key\n");
}
