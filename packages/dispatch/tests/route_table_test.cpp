#include <bronzering/dispatch/route_table.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace bronzering;

namespace {

auto Route(std::string aName, std::string aHost, std::string aPrefix) -> route_spec
{
  auto route = route_spec();
  route.mName = std::move(aName);
  route.mHost = std::move(aHost);
  route.mPrefix = std::move(aPrefix);
  route.mServices = { { "engines", 1 } };
  return route;
}

auto Table() -> route_table
{
  auto document = routing_document();
  document.mRoutes = { Route("short", "shop.example", "/a/"),
                       Route("long", "shop.example", "/a/b/"),
                       Route("root", "other.example", "/") };
  document.mOrganisations = { { "lamps", { "key-1", "key-2" } } };
  return route_table(std::move(document));
}

auto NameOf(const route_spec* aRoute) -> std::string
{
  return aRoute == nullptr ? "none" : aRoute->mName;
}

} // namespace

TEST_CASE("the longest matching prefix selects the route", "[route_table]")
{
  const auto table = Table();
  CHECK(NameOf(table.FindRoute("shop.example", "/a/b/c")) == "long");
  CHECK(NameOf(table.FindRoute("shop.example", "/a/b/")) == "long");
  CHECK(NameOf(table.FindRoute("shop.example", "/a/bc")) == "short");
  CHECK(NameOf(table.FindRoute("shop.example", "/a/b")) == "short");
  CHECK(NameOf(table.FindRoute("other.example", "/anything")) == "root");
}

TEST_CASE("prefixes match up to a slash, and without a match there is no route", "[route_table]")
{
  const auto table = Table();
  CHECK(NameOf(table.FindRoute("shop.example", "/a")) == "none");
  CHECK(NameOf(table.FindRoute("shop.example", "/")) == "none");
  CHECK(NameOf(table.FindRoute("unknown.example", "/a/b/")) == "none");
  CHECK(NameOf(table.FindRoute("shop.example", "")) == "none");
}

TEST_CASE("the query is ignored when the route is selected", "[route_table]")
{
  CHECK(NameOf(Table().FindRoute("shop.example", "/a/x?next=/a/b/")) == "short");
}

TEST_CASE("the host is matched case-insensitively and without its port", "[route_table]")
{
  CHECK(NameOf(Table().FindRoute("SHOP.example:8080", "/a/x")) == "short");
}

TEST_CASE("an organisation is found by each of its keys", "[route_table]")
{
  const auto table = Table();
  REQUIRE(table.FindOrganisation("key-2") != nullptr);
  CHECK(table.FindOrganisation("key-2")->mName == "lamps");
  CHECK(table.FindOrganisation("") == nullptr);
  CHECK(table.FindOrganisation("key-3") == nullptr);
}

TEST_CASE("without organisations no key is valid, and only public routes need none",
          "[route_table]")
{
  auto document = routing_document();
  document.mRoutes = { Route("closed", "shop.example", "/a/"),
                       Route("open", "shop.example", "/b/") };
  document.mRoutes[1].mIsPublic = true;
  const auto table = route_table(document);
  CHECK(table.RequiresKey(*table.FindRoute("shop.example", "/a/")));
  CHECK(!table.RequiresKey(*table.FindRoute("shop.example", "/b/")));

  document.mRequiresKey = false;
  const auto withoutKeys = route_table(document);
  CHECK(!withoutKeys.RequiresKey(*withoutKeys.FindRoute("shop.example", "/a/")));
}

// A request without a key would be taken for one of the organisation.
TEST_CASE("an empty key belongs to no organisation", "[route_table]")
{
  auto document = routing_document();
  document.mOrganisations = { { "lamps", { "" } } };
  const auto table = route_table(document);
  CHECK(table.FindOrganisation("") == nullptr);
}

TEST_CASE("services are picked by weight, and never one of weight zero", "[route_table]")
{
  auto route = Route("split", "shop.example", "/");
  route.mServices = { { "first", 90 }, { "none", 0 }, { "second", 10 } };
  auto picked = std::map<std::string, int>();
  for (auto step = 0; step < 1000; ++step) {
    ++picked[route_table::PickService(route, step / 1000.0)];
  }
  CHECK(picked["first"] == 900);
  CHECK(picked["none"] == 0);
  CHECK(picked["second"] == 100);
}
