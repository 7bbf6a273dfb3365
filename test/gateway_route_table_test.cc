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
  auto position = [&](uint32_t Priority) {
    return rankAmong(document, "bays", requestRank(std::nullopt, Priority));
  };
  CHECK(position(0) == RankPosition{0, 1});
  CHECK(position(1) == RankPosition{1, 1});
  CHECK(position(2) == RankPosition{1, 0});
  document.Routes[0].Services = {{"other", 1}};
  CHECK_FALSE(position(2).differs());
}

// Guards against an urgent account whose requests compete as equals with those
// of others, and against public routes without a place.
TEST_CASE("A rank is placed among those of accounts and routes") {
  RouteDocument document = documentOf(
      {routeOf("a", "a.example", "/a/"), routeOf("b", "a.example", "/b/")});
  document.Routes[1].Priority = 2;
  AccountEntry urgent;
  urgent.Account.Name = "urgent";
  urgent.Account.Priority = 1;
  AccountEntry other;
  other.Account.Name = "other";
  document.Accounts = AccountTable({urgent, other});
  CHECK(rankAmong(document, "bays", requestRank(std::nullopt, 0)) ==
        RankPosition{0, 3});
  CHECK(rankAmong(document, "bays", requestRank(1, 0)) ==
        RankPosition{1, 2, 0});
  CHECK(rankAmong(document, "bays", requestRank(1, 2)) ==
        RankPosition{2, 1, 1});
  CHECK(rankAmong(document, "bays", requestRank(std::nullopt, 2)) ==
        RankPosition{3, 0});
}

// Guards against kinds of request that compete as equals since the ranks of
// accounts use up the steps between the shortest and the longest interval.
TEST_CASE("Routes keep their intervals where accounts have ranks") {
  RouteDocument document = documentOf({routeOf("a", "a.example", "/a/"),
                                       routeOf("b", "a.example", "/b/"),
                                       routeOf("c", "a.example", "/c/")});
  document.Routes[1].Priority = 1;
  document.Routes[2].Priority = 2;
  std::vector<AccountEntry> entries(2);
  entries[0].Account.Name = "first";
  entries[0].Account.Priority = 0;
  entries[1].Account.Name = "second";
  entries[1].Account.Priority = 1;
  document.Accounts = AccountTable(entries);
  for (uint32_t route = 0; route < 3; ++route) {
    CHECK(rankAmong(document, "bays", requestRank(0, route)) ==
          RankPosition{route, 5 - route, 0});
    CHECK(rankAmong(document, "bays", requestRank(1, route)) ==
          RankPosition{3 + route, 2 - route, route});
  }
}
