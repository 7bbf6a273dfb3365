// Tests gateway instances as processes whose servers state request limits.
#include "fleet_load.h"
#include "gateway_fleet.h"
#include "limited_server.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

// The platform's bound: a limit holds from this long after it was first stated.
constexpr Milliseconds ContactTime{3000};
// The part of a limit that is to be used while demand is above it.
constexpr double UsedPart = 0.9;
constexpr Milliseconds UsedWindow{10000};

TimePoint statedAt(const LimitedServer &Server) {
  std::optional<TimePoint> time = Server.statedAt();
  REQUIRE(time.has_value());
  return *time;
}

struct LimitFleet {
  explicit LimitFleet(int Instances) : Fleet(Instances) {
    Fleet.addServer("s1", Limited.server());
    Fleet.addServer("s2", Other.server());
    Fleet.startAll();
    // Members find each other within two rounds.
    std::this_thread::sleep_for(Milliseconds(2500));
  }

  GatewayFleet Fleet;
  LimitedServer Limited;
  LimitedServer Other; // states no limit
};

} // namespace

TEST_CASE("A server gets at most the requests that it states") {
  LimitFleet setup(4);
  setup.Limited.setLimit(2.1);
  FleetLoad load(setup.Fleet, {0, 1, 2, 3});
  std::this_thread::sleep_for(ContactTime + UsedWindow);
  load.stop();
  TimePoint from = statedAt(setup.Limited) + ContactTime;
  CHECK(setup.Limited.mostInWindow(from) <= allowedInWindow(2.1));
  CHECK(setup.Limited.arrivals(from, from + UsedWindow) >=
        static_cast<size_t>(UsedPart * 2.1 * 10));
  CHECK(load.refused() == 0);
}

// A part for each instance would leave most of the limit unused.
TEST_CASE("A server's limit is used where one instance has all requests") {
  LimitFleet setup(4);
  setup.Limited.setLimit(4);
  FleetLoad load(setup.Fleet, {2});
  std::this_thread::sleep_for(ContactTime + UsedWindow);
  load.stop();
  TimePoint from = statedAt(setup.Limited) + ContactTime;
  CHECK(setup.Limited.mostInWindow(from) <= allowedInWindow(4));
  CHECK(setup.Limited.arrivals(from, from + UsedWindow) >=
        static_cast<size_t>(UsedPart * 4 * 10));
  CHECK(load.refused() == 0);
}

TEST_CASE("A server's limit changes and ends while requests come in") {
  LimitFleet setup(4);
  setup.Limited.setLimit(8);
  FleetLoad load(setup.Fleet, {0, 1, 2, 3});
  std::this_thread::sleep_for(ContactTime);
  setup.Limited.setLimit(0.3);
  TimePoint lowered = Clock::now();
  std::this_thread::sleep_for(Milliseconds(1000) + LimitWindow);
  CHECK(setup.Limited.arrivals(lowered + Milliseconds(1000),
                               lowered + Milliseconds(1000) + LimitWindow) <=
        allowedInWindow(0.3));
  setup.Limited.liftLimit();
  CHECK(eventually(
      [&] {
        TimePoint now = Clock::now();
        return setup.Limited.arrivals(now - Milliseconds(1000), now) > 10;
      },
      WaitTimeout));
}

TEST_CASE("Prefill and decode servers get at most the calls that they state") {
  GatewayFleet fleet(4);
  fleet.Store.put(
      "op/config",
      R"({"version":2,"routes":[{"name":"t","host":"a.example",)"
      R"("path-prefix":"/t/","type":"streaming","timeout-ms":5000,)"
      R"("latency-target-ms":900,"itl-target-ms":300,"priority":1,)"
      R"("service":"llm","max-attempts":2,"resumable":true}],)"
      R"("services":[{"name":"llm","runtime":{"slots":64,)"
      R"("kv-capacity":60000,"stride":11,"kv-ttl-s":0.5,"hold-ms":2000}}]})");
  LimitedServer prefill;
  LimitedServer decode;
  fleet.Store.put("servers/p1",
                  serverEntry("llm", prefill.server().address(),
                              R"("state":"ready","phase":"prefill")"));
  fleet.Store.put("servers/d1",
                  serverEntry("llm", decode.server().address(),
                              R"("state":"ready","phase":"decode")"));
  fleet.startAll();
  std::this_thread::sleep_for(Milliseconds(2500));
  prefill.setLimit(2.5);
  decode.setLimit(4);
  FleetLoad load(fleet, {0, 1, 2, 3}, "/t/x");
  std::this_thread::sleep_for(ContactTime + 2 * LimitWindow);
  load.stop();
  CHECK(prefill.mostInWindow(statedAt(prefill) + ContactTime) <=
        allowedInWindow(2.5));
  CHECK(decode.mostInWindow(statedAt(decode) + ContactTime) <=
        allowedInWindow(4));
  // Each stream takes a reservation and a run.
  CHECK(load.served() > 0);
}

TEST_CASE("A limit holds while the instance that divides it is stopped") {
  LimitFleet setup(4);
  setup.Limited.setLimit(4);
  FleetLoad load(setup.Fleet, {0, 1, 2, 3});
  std::this_thread::sleep_for(ContactTime);
  TimePoint from = Clock::now();
  // Each is stopped for some time, so that the owner is among them.
  for (GatewayInstance &it : setup.Fleet.Instances) {
    it.Process->signal(SIGSTOP);
    std::this_thread::sleep_for(Milliseconds(1500));
    it.Process->signal(SIGCONT);
  }
  load.stop();
  CHECK(setup.Limited.mostInWindow(from) <= allowedInWindow(4));
}

// Instances that the server hasn't told send to it as well.
TEST_CASE("All instances learn a server's limit in time") {
  LimitFleet setup(8);
  setup.Limited.setLimit(5);
  // Until the request goes to the server with the limit.
  while (!setup.Limited.statedAt())
    GatewayFleet::sendRequest(setup.Fleet.Instances[5], "/x/y");
  CHECK(setup.Fleet.waitForState("\"limit_per_s\":5.000", ContactTime));
  auto taken = std::chrono::duration_cast<Milliseconds>(
      Clock::now() - statedAt(setup.Limited));
  MESSAGE("8 instances know the limit after " << taken.count() << " ms");
}
