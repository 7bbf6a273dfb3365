#include "account_samples.h"
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

// Guards against a route's rank that decides between accounts of different
// rank, and against one that is lost between accounts of equal rank.
TEST_CASE("A request's rank is its account's first and then its route's") {
  RouteDocument document = documentOf({routeOf("urgent", "a.example", "/"),
                                       routeOf("other", "a.example", "/x/")});
  document.Routes[1].Priority = 2;
  auto rank = [&](const char *Account, uint32_t RoutePriority) {
    return requestRank(document, document.Accounts.find(Account),
                       RoutePriority);
  };
  // No accounts, or none with a rank: only the route's rank decides.
  CHECK(rank("a", 0) == 0);
  CHECK(rank("a", 2) == 2);
  document.Accounts = AccountTable({test::accountOf("a", {})});
  CHECK(rank("a", 2) == 2);
  CHECK(rankAmong(document, "bays", 2) == RankPosition{1, 0});
  // All of equal rank: the same.
  document.Accounts =
      AccountTable({test::accountOf("a", {}, 7), test::accountOf("b", {}, 7)});
  CHECK(rank("a", 0) == 0);
  CHECK(rank("b", 2) == 2);
  CHECK(rankAmong(document, "bays", 0) == RankPosition{0, 1});
  // Of different rank, and one without.
  document.Accounts = AccountTable({test::accountOf("low", {}, 9),
                                    test::accountOf("high", {}, 3),
                                    test::accountOf("none", {})});
  CHECK(rank("high", 0) < rank("high", 2));
  CHECK(rank("high", 2) < rank("low", 0));
  CHECK(rank("low", 0) < rank("low", 2));
  CHECK(rank("low", 2) < rank("none", 0));
  CHECK(rank("none", 2) == rank("unknown", 2));
  CHECK(rankAmong(document, "bays", rank("high", 2)) == RankPosition{1, 4});
  CHECK(rankAmong(document, "bays", rank("none", 2)) == RankPosition{5, 0});
  // Ranks that don't fit saturate instead of wrapping to the highest.
  document.Routes[1].Priority = 4294967295;
  CHECK(rank("low", 4294967295) == 4294967295);
}

// Guards against public requests that count as the most urgent, since they
// name no account.
TEST_CASE("Requests without an account rank behind accounts with a rank") {
  RouteDocument document = documentOf({routeOf("open", "a.example", "/")});
  document.Accounts = AccountTable({test::accountOf("a", {}, 1)});
  CHECK(requestRank(document, nullptr, 0) == 1);
  CHECK(rankAmong(document, "bays", 0) == RankPosition{0, 0});
  document.Routes[0].Public = true;
  CHECK(rankAmong(document, "bays", 0) == RankPosition{0, 1});
}
