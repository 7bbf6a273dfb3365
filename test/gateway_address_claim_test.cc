// Entries of several servers that name one address: another writer's among
// them, and those of a process that has ended and of its successor.
#include "gateway_fixture.h"
#include "memory_rig.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

struct Claims {
  Claims() : Directory(Values, 7) {
    auto document = std::make_shared<RouteDocument>();
    document->Version = 1;
    document->Services["bays"];
    PathRoute route;
    route.Services.push_back({"lots", 1});
    document->Routes.push_back(route);
    Directory.applyRoutes(document, {0, 1}, {});
    Directory.setServerEndListener(
        [this](const std::string &Id, std::optional<int64_t>) {
          Ended.push_back(Id);
        });
    add("s1", "bays");
  }
  void add(const std::string &Id, const std::string &Service) {
    crocusspur::gateway::ServerEntry entry;
    entry.Id = Id;
    entry.Service = Service;
    entry.Address = "10.0.0.1:80";
    entry.Version = Id == "s1" ? "v1" : "v2";
    Directory.applyServer({Id, {0, ++Revision}, entry}, UpdateOrigin::Store);
  }
  std::string chosen(const std::string &Service = "bays") {
    auto choice = Directory.choose({Service, ServerStage::Whole, {}, {}});
    return choice ? choice->Id : "";
  }
  ServerProcess processOfServer(const std::string &Id) {
    return *Directory.processNow(Id).Entry;
  }

  GatewaySettings Values;
  ServiceDirectory Directory;
  std::vector<std::string> Ended;
  uint64_t Revision = 1;
};

} // namespace

// One such entry for each server of a service, and all callers got 503.
TEST_CASE("An entry of an unknown service takes no server out of use") {
  Claims claims;
  claims.add("x1", "inventory");
  CHECK(claims.chosen() == "s1");
  CHECK(claims.Ended.empty());
  ServerChoice former;
  former.Id = "s1";
  former.Address = "10.0.0.1:80";
  former.Version = "v1";
  CHECK_FALSE(claims.Directory.successorVersion(former).has_value());
}

TEST_CASE("The server that registered last at an address counts as there") {
  Claims claims;
  claims.add("s2", "bays");
  CHECK(claims.chosen() == "s2");
  CHECK(claims.Ended == std::vector<std::string>{"s1"});
  claims.add("s2", "bays");
  CHECK(claims.Ended.size() == 1);
  claims.Directory.applyServer({"s2", {0, ++claims.Revision}, std::nullopt},
                               UpdateOrigin::Store);
  CHECK(claims.chosen() == "s1");
}

// Neither entry is known to be wrong, so that one of both stays in use.
TEST_CASE("Two entries that name an address don't both go out of use") {
  Claims claims;
  claims.add("x1", "lots");
  CHECK(claims.chosen("lots") == "x1");
  CHECK(claims.chosen() == "s1"); // as a last resort
}

TEST_CASE("A server whose address another one responds at isn't used") {
  Claims claims;
  claims.add("x1", "bays");
  REQUIRE(claims.chosen() == "x1");
  claims.Directory.onMisdirected(claims.processOfServer("x1"));
  CHECK(claims.chosen() == "s1");
  // Written again, it claims the address no more.
  claims.add("x1", "bays");
  CHECK(claims.chosen() == "s1");
  CHECK(claims.Ended.size() == 1);
}

TEST_CASE("A server that refuses a stage keeps its address") {
  Claims claims;
  claims.Directory.onMisdirected(claims.processOfServer("s1"));
  CHECK(claims.chosen() == "s1");
}

// Refusals by another server at the address counted as refusals of a full one,
// so that further requests were rejected on arrival.
TEST_CASE("Servers that are misdirected to don't count as full") {
  GatewayFixture gateway;
  FakeServer server([](const std::string &Request, int) {
    bool isMeant = headerField(Request, "Target-Instance") == "s1";
    return isMeant ? signedResponse(200, "bay 7") : refusal(421);
  });
  gateway.addServer("s1", server);
  // Servers that are gone, whose addresses are in use again.
  for (const char *id : {"x1", "x2", "x3"})
    gateway.addServer(id, server);
  PathRoute route = gateway.route(RouteKind::NonIdempotent);
  int served = 0;
  for (int i = 0; i < 40; ++i)
    served += gateway.run(route).starts_with("HTTP/1.1 200") ? 1 : 0;
  CHECK(served >= 37); // each of the others may be asked once
  CHECK(server.requests().size() <= 43);
  CHECK_FALSE(
      gateway.Directory.fullness({"bays", ServerStage::Whole, {}, {}}).All);
}

// The whole path, with a server that checks whom a request is for.
TEST_CASE("Callers are served beside entries that claim a server's address") {
  FakeServer server([](const std::string &Request, int) {
    bool isMeant = headerField(Request, "Target-Instance") == "s1";
    return signedResponse(isMeant ? 200 : 421, "bay 7",
                          headerField(Request, "Attempt-Id"));
  });
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", MemoryRigConfig);
  fleet.Store.put("servers/s1", wideEntry("bays", server.address()));
  fleet.startAll();
  auto isServed = [&] {
    return GatewayFleet::sendRequest(fleet.Instances[0], "/i/1")
        .starts_with("HTTP/1.1 200");
  };
  REQUIRE(eventually(isServed));
  std::string other;
  SUBCASE("of a service without a route") { other = "inventory"; }
  SUBCASE("of its own service") { other = "bays"; }
  fleet.Store.put("servers/x1", wideEntry(other, server.address()));
  CHECK(fleet.waitForState("x1", Milliseconds(20000)));
  // The request that finds out may be refused, as not run.
  int refused = 0;
  for (int i = 0; i < 20; ++i) {
    std::string response =
        GatewayFleet::sendRequest(fleet.Instances[0], "/i/1");
    bool isRefused = response.find(R"("run":"no")") != std::string::npos;
    refused += isRefused ? 1 : 0;
    CHECK_MESSAGE((isRefused || response.starts_with("HTTP/1.1 200")),
                  response);
  }
  CHECK(refused <= (other == "bays" ? 1 : 0));
}
