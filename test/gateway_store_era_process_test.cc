// Tests gateway instances as processes whose store comes back from an older
// copy: what was written since is gone, revisions are given out again, and the
// operator and the servers write again what they had written.
#include "announcing_server.h"
#include "fleet_load.h"

#include <array>
#include <doctest/doctest.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

// The platform's bounds.
constexpr Milliseconds ApplyTime{2000};
constexpr Milliseconds DrainTime{2000};
constexpr Milliseconds AwayTime{500};
constexpr Milliseconds MeasuredTime{3000};
// Members find each other within two rounds.
constexpr Milliseconds MembershipTime{2500};

// The store loses what it was told after its copy. Then revisions are given out
// again: up to beyond those that the instances know, or below them.
struct OlderStore {
  explicit OlderStore(int Instances, bool PassesKnown)
      : Fleet(Instances), PassesKnown(PassesKnown) {
    for (size_t i = 0; i < 2; ++i)
      Fleet.addServer("s" + std::to_string(i + 1), Servers[i].server());
    Fleet.startAll();
    std::this_thread::sleep_for(MembershipTime);
    Fleet.Store.copy();
    // Lost: writes that take the instances to a higher revision.
    for (int i = 0; i < 20; ++i)
      Fleet.addServer("s1", Servers[0].server());
    Fleet.Store.put("op/config", configOf(2, "/x/"));
    REQUIRE(Fleet.waitForState("\"config_version\":2", WaitTimeout));
  }

  // Comes back from the copy with `WriteAgain` done before any instance reads.
  template <typename Writer> void comeBack(Writer WriteAgain) {
    Fleet.Store.setAway(true);
    std::this_thread::sleep_for(AwayTime);
    uint64_t known = Fleet.Store.revision();
    Fleet.Store.restore();
    if (PassesKnown)
      Fleet.Store.setRevision(known - 2);
    WriteAgain();
    if (PassesKnown)
      Fleet.Store.setRevision(known + 20);
    BackAt = Clock::now();
    Fleet.Store.setAway(false);
  }

  long sinceReturn() const {
    return static_cast<long>(
        std::chrono::duration_cast<Milliseconds>(Clock::now() - BackAt)
            .count());
  }

  GatewayFleet Fleet;
  std::array<AnnouncingServer, 3> Servers;
  bool PassesKnown;
  TimePoint BackAt;
};

} // namespace

TEST_CASE("A configuration is in force that an older store was given") {
  for (bool passesKnown : {false, true}) {
    CAPTURE(passesKnown);
    OlderStore setup(4, passesKnown);
    uint64_t callsBefore = setup.Fleet.Store.calls();
    setup.comeBack(
        [&] { setup.Fleet.Store.put("op/config", configOf(4, "/y/")); });
    CHECK(setup.Fleet.waitForState("\"config_version\":4", ApplyTime));
    MESSAGE("version 4 in force after "
            << setup.sinceReturn() << " ms, "
            << setup.Fleet.Store.calls() - callsBefore
            << " calls of the store");
  }
}

// The store isn't away, so watches go on, from revisions that it gives out
// again. Those of few instances end soon.
TEST_CASE("A configuration is in force though watches survive an older store") {
  OlderStore setup(8, /*PassesKnown=*/true);
  uint64_t known = setup.Fleet.Store.revision();
  setup.Fleet.Store.restore();
  setup.Fleet.Store.put("op/config", configOf(4, "/y/"));
  setup.Fleet.Store.setRevision(known + 20);
  setup.BackAt = Clock::now();
  CHECK(setup.Fleet.waitForState("\"config_version\":4", ApplyTime));
  MESSAGE("version 4 in force after " << setup.sinceReturn() << " ms");
}

TEST_CASE("A server is used that registered at an older store") {
  for (bool passesKnown : {false, true}) {
    CAPTURE(passesKnown);
    OlderStore setup(4, passesKnown);
    FleetLoad load(setup.Fleet, allInstances(4));
    setup.comeBack(
        [&] { setup.Fleet.addServer("s3", setup.Servers[2].server()); });
    CHECK(eventually(
        [&] { return !setup.Servers[2].arrivalsSince(setup.BackAt).empty(); },
        ApplyTime));
    load.stop();
    CHECK(load.refused() + load.lost() == 0);
  }
}

TEST_CASE("A server that announced its leaving to an older store gets no late "
          "request") {
  for (bool passesKnown : {false, true}) {
    CAPTURE(passesKnown);
    OlderStore setup(4, passesKnown);
    FleetLoad load(setup.Fleet, allInstances(4));
    setup.comeBack([&] {
      setup.Fleet.Store.put("servers/s1",
                            serverEntry("bays", setup.Servers[0].address(),
                                        R"("state":"draining")"));
    });
    std::this_thread::sleep_for(DrainTime + MeasuredTime);
    load.stop();
    size_t late =
        setup.Servers[0].arrivalsSince(setup.BackAt + DrainTime).size();
    MESSAGE(late << " late requests");
    CHECK(late == 0);
    CHECK(load.refused() + load.lost() == 0);
  }
}

// The copy shows the server ready, and it doesn't write again at once.
TEST_CASE("A leaving server stays so when an older store shows it ready") {
  OlderStore setup(4, /*PassesKnown=*/true);
  setup.Fleet.Store.put(
      "servers/s1",
      serverEntry("bays", setup.Servers[0].address(), R"("state":"draining")"));
  FleetLoad load(setup.Fleet, allInstances(4));
  std::this_thread::sleep_for(DrainTime);
  TimePoint from = Clock::now();
  setup.comeBack([] {});
  std::this_thread::sleep_for(MeasuredTime);
  load.stop();
  CHECK(setup.Servers[0].arrivalsSince(from).empty());
  CHECK(load.refused() + load.lost() == 0);
}

// Its entry is gone from the store until it registers again.
TEST_CASE("A server that an older store has lost is used meanwhile") {
  OlderStore setup(4, /*PassesKnown=*/true);
  setup.Fleet.addServer("s3", setup.Servers[2].server());
  std::this_thread::sleep_for(Milliseconds(1500));
  for (size_t i : {0, 1}) // the only one that is left
    setup.Fleet.Store.put("servers/s" + std::to_string(i + 1),
                          serverEntry("bays", setup.Servers[i].address(),
                                      R"("state":"draining")"));
  std::this_thread::sleep_for(Milliseconds(1500));
  FleetLoad load(setup.Fleet, allInstances(4));
  setup.comeBack([] {});
  std::this_thread::sleep_for(Milliseconds(1500));
  setup.Fleet.addServer("s3", setup.Servers[2].server());
  std::this_thread::sleep_for(MeasuredTime);
  load.stop();
  CHECK(load.served() > 0);
  CHECK(load.refused() + load.lost() == 0);
}

TEST_CASE("A configuration in force doesn't go back with an older store") {
  OlderStore setup(4, /*PassesKnown=*/true);
  setup.comeBack([] {});
  std::this_thread::sleep_for(MeasuredTime);
  CHECK(setup.Fleet.waitForState("\"config_version\":2", Milliseconds(0)));
}
