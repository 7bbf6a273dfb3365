#include "gateway/decisions/route_table.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

PathRoute routeOf(const std::string &Name, const std::string &Host,
                  const std::string &Prefix) {
  PathRoute route;
  route.Name = Name;
  route.Host = Host;
  route.PathPrefix = Prefix;
  route.Services = {{"bays", 1}};
  return route;
}

RouteDocument documentOf(std::vector<PathRoute> Routes) {
  RouteDocument document;
  document.Version = 1;
  document.Routes = std::move(Routes);
  return document;
}

std::string nameOf(const RouteDocument &Document, const std::string &Host,
                   const std::string &Path) {
  const PathRoute *route = findRoute(Document, Host, Path);
  return route ? route->Name : "none";
}

} // namespace

TEST_CASE("The longest prefix of the host selects the route") {
  RouteDocument document = documentOf({routeOf("all", "a.example", "/"),
                                       routeOf("bays", "a.example", "/bays/"),
                                       routeOf("one", "a.example", "/bays/1/"),
                                       routeOf("other", "b.example", "/")});
  CHECK(nameOf(document, "a.example", "/x") == "all");
  CHECK(nameOf(document, "a.example", "/bays/7") == "bays");
  CHECK(nameOf(document, "a.example", "/bays/1/x") == "one");
  CHECK(nameOf(document, "b.example", "/bays/1/x") == "other");
  CHECK(nameOf(document, "c.example", "/") == "none");
}

TEST_CASE("A prefix matches whole path segments, and not the query") {
  RouteDocument document = documentOf({routeOf("bays", "a.example", "/bays/")});
  CHECK(nameOf(document, "a.example", "/baysix") == "none");
  CHECK(nameOf(document, "a.example", "/x?to=/bays/") == "none");
  CHECK(nameOf(document, "a.example", "/bays/?q=1") == "bays");
}

TEST_CASE("Hosts match without the port and case-insensitively") {
  RouteDocument document = documentOf({routeOf("all", "a.example", "/")});
  CHECK(nameOf(document, "A.Example:8149", "/x") == "all");
}

TEST_CASE("Services are selected by weight") {
  PathRoute route = routeOf("split", "a.example", "/");
  route.Services = {{"old", 9}, {"new", 1}};
  int fresh = 0;
  for (uint64_t draw = 0; draw < 100; ++draw)
    fresh += chooseService(route, draw) == "new" ? 1 : 0;
  CHECK(fresh == 10);
}

TEST_CASE("A service of weight zero is never selected over others") {
  PathRoute route = routeOf("split", "a.example", "/");
  route.Services = {{"off", 0}, {"on", 3}};
  for (uint64_t draw = 0; draw < 10; ++draw)
    CHECK(chooseService(route, draw) == "on");
}

// Guards against precedence where it has no place: ranks of other services
// don't count, and two routes of the same rank are one.
TEST_CASE("A rank is placed among the routes of its service") {
  RouteDocument document = documentOf({routeOf("a", "a.example", "/a/"),
                                       routeOf("b", "a.example", "/b/"),
                                       routeOf("c", "a.example", "/c/")});
  document.Routes[1].Priority = 2;
  document.Routes[2].Priority = 2;
  CHECK(rankAmong(document, "bays", 0) == RankPosition{0, 1});
  CHECK(rankAmong(document, "bays", 1) == RankPosition{1, 1});
  CHECK(rankAmong(document, "bays", 2) == RankPosition{1, 0});
  document.Routes[0].Services = {{"other", 1}};
  CHECK_FALSE(rankAmong(document, "bays", 2).differs());
}
