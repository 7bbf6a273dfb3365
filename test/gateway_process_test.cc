// Tests gateway instances as processes, with a store and servers in the test
// process.
#include "gateway_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using crocusspur::test::ChildProcess;
using crocusspur::test::configOf;
using crocusspur::test::GatewayFleet;
using crocusspur::test::WaitTimeout;
using Instance = crocusspur::test::GatewayInstance;

namespace {

bool ok(const std::string &Answer) {
  return Answer.starts_with("HTTP/1.1 200");
}

// A running fleet with one server that answers every call with "bay 7".
struct SingleServerFleet {
  explicit SingleServerFleet(int Count) : Fleet(Count) {
    Fleet.addServer("s1", Server);
    Fleet.startAll();
  }

  FakeServer Server{
      [](const std::string &, int) { return signedResponse(200, "bay 7"); }};
  GatewayFleet Fleet;
};

} // namespace

TEST_CASE("A single gateway serves requests and applies a new configuration") {
  SingleServerFleet setup(1);
  GatewayFleet &fleet = setup.Fleet;
  Instance &gateway = fleet.Instances[0];
  for (int i = 0; i < 20; ++i) {
    std::string response = GatewayFleet::sendRequest(gateway, "/x/slot");
    CHECK(ok(response));
    CHECK(response.ends_with("bay 7"));
  }
  CHECK(GatewayFleet::sendRequest(gateway, "/y/slot")
            .starts_with("HTTP/1.1 404"));
  // A newer version moves the route.
  fleet.Store.put("op/config", configOf(2, "/y/"));
  CHECK(test::eventually(
      [&] { return ok(GatewayFleet::sendRequest(gateway, "/y/slot")); },
      WaitTimeout));
  CHECK(GatewayFleet::sendRequest(gateway, "/x/slot")
            .starts_with("HTTP/1.1 404"));
}

TEST_CASE("An instance without a configuration refuses requests") {
  GatewayFleet fleet(1);
  Instance &gateway = fleet.Instances[0];
  fleet.Store.setRejecting("g1", true);
  fleet.start(gateway);
  REQUIRE(test::eventually(
      [&] { return GatewayFleet::readiness(gateway) == 503; }, WaitTimeout));
  std::string response = GatewayFleet::sendRequest(gateway, "/x/slot");
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("An instance that the store rejects gets updates from its peers") {
  SingleServerFleet setup(3);
  GatewayFleet &fleet = setup.Fleet;
  fleet.Store.setRejecting("g3", true);
  fleet.Store.put("op/config", configOf(2, "/y/"));
  CHECK(test::eventually(
      [&] {
        return ok(GatewayFleet::sendRequest(fleet.Instances[2], "/y/slot"));
      },
      WaitTimeout));
  // Also if it is rejected from the start of its process.
  fleet.Instances[2].Process->signal(SIGKILL);
  fleet.Instances[2].Process->waitForExit(WaitTimeout);
  fleet.start(fleet.Instances[2]);
  CHECK(GatewayFleet::waitForReady(fleet.Instances[2]));
  CHECK(ok(GatewayFleet::sendRequest(fleet.Instances[2], "/y/slot")));
}

TEST_CASE("Stopped and killed peers don't delay requests") {
  SingleServerFleet setup(3);
  GatewayFleet &fleet = setup.Fleet;
  fleet.Instances[0].Process->signal(SIGSTOP); // also the only seed
  fleet.Instances[1].Process->signal(SIGKILL);
  for (int i = 0; i < 20; ++i)
    CHECK(ok(GatewayFleet::sendRequest(fleet.Instances[2], "/x/slot")));
  fleet.Instances[0].Process->signal(SIGCONT);
}

TEST_CASE("A fleet serves again after all instances were killed at once") {
  SingleServerFleet setup(3);
  GatewayFleet &fleet = setup.Fleet;
  for (Instance &it : fleet.Instances)
    it.Process->signal(SIGKILL);
  for (Instance &it : fleet.Instances)
    it.Process->waitForExit(WaitTimeout);
  fleet.startAll();
  for (Instance &it : fleet.Instances)
    CHECK(ok(GatewayFleet::sendRequest(it, "/x/slot")));
}

TEST_CASE("A shutdown finishes open requests and reports not ready") {
  std::atomic<bool> release{false};
  FakeServer server([&](const std::string &, int) {
    eventually([&] { return release.load(); });
    return signedResponse(200, "bay 7");
  });
  GatewayFleet fleet(1);
  fleet.addServer("s1", server);
  fleet.startAll();
  Instance &gateway = fleet.Instances[0];
  std::string response;
  std::thread caller(
      [&] { response = GatewayFleet::sendRequest(gateway, "/x/slot"); });
  REQUIRE(eventually([&] { return !server.requests().empty(); }));
  gateway.Process->signal(SIGTERM);
  CHECK(test::eventually(
      [&] { return GatewayFleet::readiness(gateway) == 503; }, WaitTimeout));
  release.store(true);
  caller.join();
  CHECK(ok(response));
  CHECK(gateway.Process->waitForExit(WaitTimeout) == 0);
}

TEST_CASE("Changed settings with errors don't replace what is in force") {
  SingleServerFleet setup(1);
  GatewayFleet &fleet = setup.Fleet;
  Instance &gateway = fleet.Instances[0];
  std::ofstream(gateway.File) << "node-name = 3\n";
  gateway.Process->signal(SIGHUP);
  CHECK(gateway.Process
            ->waitForLine(
                [](const std::string &Line) {
                  return Line.find("invalid settings; keeping") !=
                         std::string::npos;
                },
                WaitTimeout)
            .has_value());
  CHECK(ok(GatewayFleet::sendRequest(gateway, "/x/slot")));
}

TEST_CASE("Startup reports every error of a settings file") {
  GatewayFleet fleet(1);
  std::ofstream(fleet.Instances[0].File) << "node-name = 3\n";
  fleet.start(fleet.Instances[0]);
  ChildProcess &process = *fleet.Instances[0].Process;
  CHECK(process.waitForExit(WaitTimeout) == 2);
  std::string output = process.output();
  for (const char *it :
       {"node-name", "zone", "listen.frontend", "platform.address"})
    CHECK_MESSAGE(output.find(it) != std::string::npos, output);
}

TEST_CASE("The gateway serves all documented metrics") {
  GatewayFleet fleet(1);
  Instance &gateway = fleet.Instances[0];
  fleet.start(gateway);
  REQUIRE(test::eventually(
      [&] { return GatewayFleet::readiness(gateway) != 0; }, WaitTimeout));
  std::string metrics = GatewayFleet::get(gateway.Ready, "/metrics", "");
  for (const char *it :
       {"server_connections_total", "store_reachable", "config_version",
        "peers_linked", "open_requests", "ready", "request_seconds",
        "reservation_wait_seconds", "first_output_seconds",
        "content_crashes_total", "content_refusals_total", "contents_refused"})
    CHECK_MESSAGE(metrics.find("# TYPE crocusspur_" + std::string(it) + " ") !=
                      std::string::npos,
                  it);
  std::string state = GatewayFleet::get(gateway.Ready, "/state", "");
  CHECK(state.find("\"config_version\":") != std::string::npos);
}

// The platform kills a process that hasn't exited within its grace time.
TEST_CASE("Idle connections don't delay the end of a shutdown") {
  SingleServerFleet setup(1);
  GatewayFleet &fleet = setup.Fleet;
  Instance &gateway = fleet.Instances[0];
  std::vector<int> idle;
  for (const std::string &it :
       {gateway.Ready, gateway.Callers, gateway.Peers, gateway.Ready}) {
    idle.push_back(test::connectTo(it));
    REQUIRE(idle.back() >= 0);
  }
  sendText(idle[0], "GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  readUntil(idle[0], "ready\n");
  gateway.Process->signal(SIGTERM);
  CHECK(gateway.Process->waitForExit(Milliseconds(8000)) == 0);
  for (int it : idle)
    ::close(it);
}
