#include "gateway/decisions/fleet/fleet_discovery.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;

// Guards against an instance that acts on a part of the fleet, or waits 3 s in
// a running one.
TEST_CASE("An instance discovers a running fleet by a peer that knows it") {
  FleetDiscovery discovery;
  CHECK_FALSE(discovery.startedWithFleet());
  discovery.onPeerHeard({"a:1", false, true}, at(0));
  CHECK(discovery.startedWithFleet());
  CHECK_FALSE(discovery.isDone(at(100)));
  discovery.onPeerHeard({"b:1", true, false}, at(200));
  CHECK(discovery.source() == "b:1");
  CHECK_FALSE(discovery.isDone(at(200)));
  discovery.onPeerHeard({"b:1", true, true}, at(300));
  CHECK(discovery.isDone(at(300)));
  CHECK_FALSE(discovery.startedWithFleet());
}

// Guards against instances that take those for elder that started with them
// and discovered the fleet by their time alone.
TEST_CASE("Instances that start together know it") {
  FleetDiscovery discovery;
  discovery.onMemberSeen(at(0));
  discovery.onPeerHeard({"a:1", false, true}, at(100));
  discovery.onPeerHeard({"b:1", true, true, Milliseconds(500)}, at(2700));
  CHECK(discovery.isDone(at(2700)));
  CHECK(discovery.startedWithFleet());
  // One that starts later hears that the fleet has been known for longer.
  CHECK(discovery.knownAgo(at(4700)) == Milliseconds(2500));
  FleetDiscovery later;
  later.onPeerHeard({"a:1", true, true, Milliseconds(2500)}, at(4700));
  CHECK_FALSE(later.startedWithFleet());
  FleetDiscovery alone;
  alone.onMemberSeen(at(0));
  CHECK_FALSE(alone.isDone(at(2999)));
  CHECK(alone.isDone(at(3000)));
}
