// Tests gateway instances as processes whose servers say in responses that they
// leave, while their entries stay ready.
#include "announcing_server.h"
#include "fleet_load.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

// The platform's bound: from this long after a server's first response that
// says so, it gets no request.
constexpr Milliseconds DrainTime{2000};
constexpr Milliseconds MeasuredTime{3000};
// Members find each other within two rounds.
constexpr Milliseconds MembershipTime{2500};

std::string configOfStreams() {
  return R"({"version":2,"routes":[{"name":"t","host":"a.example",)"
         R"("path-prefix":"/t/","type":"streaming","timeout-ms":5000,)"
         R"("latency-target-ms":900,"itl-target-ms":300,"priority":1,)"
         R"("service":"llm","max-attempts":2,"resumable":true}],)"
         R"("services":[{"name":"llm","runtime":{"slots":64,)"
         R"("kv-capacity":60000,"stride":11,"kv-ttl-s":0.5,"hold-ms":2000}}]})";
}

TimePoint announcedAt(const AnnouncingServer &Server) {
  std::optional<TimePoint> time = Server.announcedAt();
  REQUIRE(time.has_value());
  return *time;
}

// Callers' requests that reached the server too late.
size_t lateRequests(const AnnouncingServer &Server) {
  return Server.arrivalsSince(announcedAt(Server) + DrainTime).size();
}

struct LeavingFleet {
  explicit LeavingFleet(int Instances) : Fleet(Instances) {
    for (size_t i = 0; i < Servers.size(); ++i)
      Fleet.addServer("s" + std::to_string(i + 1), Servers[i].server());
    Fleet.startAll();
    std::this_thread::sleep_for(MembershipTime);
  }

  GatewayFleet Fleet;
  std::array<AnnouncingServer, 3> Servers;
};

} // namespace

TEST_CASE("A server that says it leaves gets no late request") {
  for (size_t instances : {4, 8}) {
    CAPTURE(instances);
    LeavingFleet setup(static_cast<int>(instances));
    FleetLoad load(setup.Fleet, allInstances(instances));
    setup.Servers[0].announceLeaving();
    std::this_thread::sleep_for(DrainTime + MeasuredTime);
    load.stop();
    size_t sent =
        setup.Servers[0].arrivalsSince(announcedAt(setup.Servers[0])).size();
    MESSAGE(lateRequests(setup.Servers[0])
            << " late of " << sent << " requests after the first response");
    CHECK(lateRequests(setup.Servers[0]) == 0);
    CHECK(load.refused() + load.lost() == 0);
  }
}

// Instances that the server hasn't told send to it as well.
TEST_CASE("All instances learn from one that a server leaves") {
  LeavingFleet setup(8);
  setup.Servers[0].announceLeaving();
  // Until a request goes to the server.
  while (!setup.Servers[0].announcedAt())
    GatewayFleet::sendRequest(setup.Fleet.Instances[5], "/x/y");
  CHECK(setup.Fleet.waitForState("\"leaving\":true", DrainTime));
  auto taken = std::chrono::duration_cast<Milliseconds>(
      Clock::now() - announcedAt(setup.Servers[0]));
  MESSAGE("8 instances know it after " << taken.count() << " ms");
}

// Without the store, responses are all that tells of it.
TEST_CASE("A server that says it leaves gets no late request without a store") {
  LeavingFleet setup(4);
  setup.Fleet.Store.setAway(true);
  FleetLoad load(setup.Fleet, allInstances(4));
  setup.Servers[0].announceLeaving();
  std::this_thread::sleep_for(DrainTime + MeasuredTime);
  load.stop();
  MESSAGE(lateRequests(setup.Servers[0]) << " late requests");
  CHECK(lateRequests(setup.Servers[0]) == 0);
  CHECK(load.refused() + load.lost() == 0);
}

// Reservations and prefills are calls of their own, and a stream waits for a
// reservation before it is sent.
TEST_CASE("Model servers that say they leave get no late call") {
  GatewayFleet fleet(4);
  fleet.Store.put("op/config", configOfStreams());
  std::array<AnnouncingServer, 4> servers;
  for (size_t i = 0; i < servers.size(); ++i)
    fleet.Store.put("servers/m" + std::to_string(i),
                    serverEntry("llm", servers[i].address(),
                                i < 2 ? R"("state":"ready","phase":"prefill")"
                                      : R"("state":"ready","phase":"decode")"));
  fleet.startAll();
  std::this_thread::sleep_for(MembershipTime);
  FleetLoad load(fleet, allInstances(4), "/t/x");
  servers[0].announceLeaving();
  servers[2].announceLeaving();
  std::this_thread::sleep_for(DrainTime + MeasuredTime);
  load.stop();
  CHECK(lateRequests(servers[0]) == 0);
  CHECK(lateRequests(servers[2]) == 0);
  CHECK(load.served() > 0);
  CHECK(load.refused() + load.lost() == 0);
}

// Each server announces its leaving in responses, then ends, with requests in
// flight; its successor is registered before.
TEST_CASE("Replacing all servers of a service loses no request") {
  LeavingFleet setup(4);
  std::vector<std::unique_ptr<AnnouncingServer>> successors;
  FleetLoad load(setup.Fleet, allInstances(4));
  for (AnnouncingServer &it : setup.Servers) {
    it.setWork(Milliseconds(100));
    successors.push_back(std::make_unique<AnnouncingServer>());
    setup.Fleet.addServer("n" + std::to_string(successors.size()),
                          successors.back()->server());
    std::this_thread::sleep_for(Milliseconds(1500));
    it.announceLeaving();
    std::this_thread::sleep_for(DrainTime);
  }
  std::this_thread::sleep_for(Milliseconds(500));
  for (AnnouncingServer &it : setup.Servers)
    CHECK(lateRequests(it) == 0);
  load.stop();
  CHECK(load.served() > 0);
  CHECK(load.refused() + load.lost() == 0);
}
