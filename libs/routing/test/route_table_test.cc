#include "turmeric/routing/route_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using turmeric::routing::PickTarget;
using turmeric::routing::Route;
using turmeric::routing::RouteTable;
using turmeric::routing::RouteTarget;

namespace {

RouteTable MakeTable() {
  RouteTable table;
  for (const char* prefix : {"/a/", "/a/b/", "/c/"}) {
    Route route;
    route.name = prefix;
    route.host = "h.example";
    route.path_prefix = prefix;
    table.routes.push_back(route);
  }
  return table;
}

}  // namespace

TEST_CASE("the longest prefix of the host's routes wins") {
  const RouteTable table = MakeTable();
  REQUIRE(table.Match("h.example", "/a/x")->name == "/a/");
  REQUIRE(table.Match("h.example:80", "/a/b/x?y=/c/")->name == "/a/b/");
  REQUIRE(table.Match("h.example", "/a/b/")->name == "/a/b/");
}

TEST_CASE("other hosts and paths match nothing") {
  const RouteTable table = MakeTable();
  REQUIRE(table.Match("other.example", "/a/x") == nullptr);
  REQUIRE(table.Match("h.example", "/a") == nullptr);
  REQUIRE(table.Match("h.example", "/") == nullptr);
  REQUIRE(table.Match("", "") == nullptr);
}

TEST_CASE("targets are drawn by their weights") {
  const std::vector<RouteTarget> targets = {{"x", 90}, {"y", 10}};
  REQUIRE(PickTarget(targets, 0.0) == "x");
  REQUIRE(PickTarget(targets, 0.89) == "x");
  REQUIRE(PickTarget(targets, 0.91) == "y");
  REQUIRE(PickTarget(targets, 0.999) == "y");
}
