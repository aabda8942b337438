#include "carobtide/catalog.hpp"

#include <catch2/catch.hpp>

namespace carobtide {

namespace {

Route MakeRoute(std::string aName, std::string aPrefix)
{
  Route route;
  route.mName = std::move(aName);
  route.mHost = "shop.example";
  route.mPathPrefix = std::move(aPrefix);
  route.mTimeout = 1s;
  route.mServices.push_back({ ServiceName("desk"), 1 });
  return route;
}

Catalog MakeCatalog()
{
  Catalog catalog;
  catalog.mVersion = 3;
  catalog.mServices.push_back({ ServiceName("desk"), "/healthz", 10, {} });
  catalog.mRoutes.push_back(MakeRoute("outer", "/a/"));
  catalog.mRoutes.push_back(MakeRoute("inner", "/a/b/"));
  return catalog;
}

} // namespace

TEST_CASE("a request takes the route of the longest prefix")
{
  const RouteMap index(std::make_shared<const Catalog>(MakeCatalog()));
  CHECK(index.Find("shop.example", "/a/x")->mName == "outer");
  CHECK(index.Find("shop.example", "/a/b/x")->mName == "inner");
  CHECK(index.Find("Shop.Example:80", "/a/b/")->mName == "inner");
  CHECK(index.Find("shop.example", "/a/bc")->mName == "outer");
  CHECK(index.Find("shop.example", "/a") == nullptr);
  CHECK(index.Find("shop.example", "/") == nullptr);
  CHECK(index.Find("shop.example", "") == nullptr);
  CHECK(index.Find("other.example", "/a/x") == nullptr);
}

TEST_CASE("an invalid catalog is refused whole")
{
  CHECK(CheckCatalog(MakeCatalog()));
  Catalog catalog = MakeCatalog();
  SECTION("unknown service")
  {
    catalog.mRoutes[1].mServices[0].mService = ServiceName("none");
  }
  SECTION("two routes in one place")
  {
    catalog.mRoutes[1].mPathPrefix = "/a/";
  }
  SECTION("weights add up to 0")
  {
    catalog.mRoutes[0].mServices[0].mWeight = 0;
  }
  SECTION("no service at all")
  {
    catalog.mRoutes[0].mServices.clear();
  }
  SECTION("timeout 0")
  {
    catalog.mRoutes[0].mTimeout = Duration::zero();
  }
  SECTION("prefix without its last slash")
  {
    catalog.mRoutes[0].mPathPrefix = "/a";
  }
  const auto checked = CheckCatalog(catalog);
  REQUIRE_FALSE(checked);
  CHECK(checked.Code() == ErrorCode::Malformed);
}

TEST_CASE("the highest version is in force and never falls")
{
  CatalogRegister state;
  CHECK(state.Apply({ 5, "five" }) == CatalogPut::InForce);
  CHECK(state.Apply({ 5, "another five" }) == CatalogPut::Superseded);
  CHECK(state.Apply({ 4, "four" }) == CatalogPut::Superseded);
  CHECK(state.Current() == CatalogText{ 5, "five" });
  CHECK(state.Apply({ 9, "nine" }) == CatalogPut::InForce);
  CatalogRegister restored;
  REQUIRE(restored.Load(state.Save()));
  CHECK(restored.Current() == CatalogText{ 9, "nine" });
  CHECK_FALSE(restored.Load("x"));
}

} // namespace carobtide
