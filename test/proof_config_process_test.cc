// Process tests of guarantee P7: an accepted configuration version is active at
// all instances within 7 s and never reverts.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <future>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds ActivationBound{7000};
constexpr size_t RouterCount = 8;
// Two in each of the three failure domains (setting watchers_per_domain).
constexpr uint64_t Readers = 6;
// Default of the setting watch_wait_ms.
constexpr Milliseconds WatchWait{5000};

FleetOptions eightRouterOptions() {
  FleetOptions options;
  options.Routers = RouterCount;
  options.PrefillServers = 1;
  options.DecodeServers = 1;
  options.ServiceServers = 1;
  return options;
}

uint64_t versionAt(ProcessFixture &Fleet, size_t Router) {
  return Fleet.state(Router)->getValue<uint64_t>("config_version");
}

std::string versions(ProcessFixture &Fleet) {
  std::string all;
  for (size_t i = 0; i < Fleet.routers(); ++i)
    all += std::to_string(versionAt(Fleet, i)) + " ";
  return all;
}

bool isActive(ProcessFixture &Fleet, uint64_t Version, size_t First = 0,
              size_t End = RouterCount) {
  for (size_t i = First; i < End; ++i)
    if (versionAt(Fleet, i) != Version)
      return false;
  return true;
}

void checkActiveInTime(ProcessFixture &Fleet, uint64_t Version) {
  bool inTime =
      eventually([&] { return isActive(Fleet, Version); }, ActivationBound);
  CHECK_MESSAGE(inTime,
                "version " << Version << ", active " << versions(Fleet));
}

void setStaleConfig(ProcessFixture &Fleet, size_t Router, uint64_t Version) {
  Fleet.control("platform", "stale?reader=" + Fleet.router(Router).Name +
                                "&config=" + std::to_string(Version));
}

void clearStaleConfig(ProcessFixture &Fleet) {
  for (size_t i = 0; i < Fleet.routers(); ++i)
    Fleet.control("platform", "stale?on=0&reader=" + Fleet.router(i).Name);
}

uint64_t platformCalls(ProcessFixture &Fleet) {
  return parseJson(Fleet.control("platform", "counts").Body)
      ->getValue<uint64_t>("total");
}

std::string configAt(ProcessFixture &Fleet, size_t Router) {
  return Fleet.sendOperatorRequest(Router, "GET", "/admin/v1/config").Body;
}

std::string patchText(uint64_t Base, const std::string &Id, int Share) {
  return "{\"base\":" + std::to_string(Base) + ",\"patch_id\":\"" + Id +
         "\",\"changes\":{\"groups\":[{\"name\":\"drivers\",\"share\":" +
         std::to_string(Share) + "}]}}";
}

// Does what an operator does: checks the patch at a router and publishes the
// result.
int patchAndPublish(ProcessFixture &Fleet, size_t Router,
                    const std::string &Patch) {
  HttpResponse checked = Fleet.sendOperatorRequest(
      Router, "POST", "/admin/v1/config/patches", Patch);
  if (checked.Status == 200)
    Fleet.publishConfigText(checked.Body, "?assign=1");
  return checked.Status;
}

} // namespace

// Guards against versions that don't reach instances that don't read the
// platform, and against more calls to the platform than the readers' budget:
// one call per reader and document for each publication and for each watch that
// ends without an update, plus one that was already in progress.
TEST_CASE("Proof P7 activates versions within 7 s and within the budget") {
  ProcessFixture fleet(eightRouterOptions());
  uint64_t before = platformCalls(fleet);
  Clock::time_point start = Clock::now();
  constexpr uint64_t Publications = 5;
  for (uint64_t i = 0; i < Publications; ++i)
    checkActiveInTime(fleet, fleet.publishConfig());
  uint64_t calls = platformCalls(fleet) - before;
  auto watches = static_cast<uint64_t>((Clock::now() - start) / WatchWait) + 1;
  uint64_t budget = Readers * (Publications + 2 * watches + 2);
  MESSAGE(calls << " calls, budget " << budget);
  CHECK(calls <= budget);
  size_t readers = 0;
  for (size_t i = 0; i < fleet.routers(); ++i)
    readers += fleet.state(i)->getValue<bool>("reads_platform");
  CHECK(readers == Readers);
}

// Guards against losing a version if the platform fails after a single reader
// has seen it, and against instances that revert during or after the outage.
TEST_CASE("Proof P7 keeps versions while the platform is stale or stopped") {
  ProcessFixture fleet(eightRouterOptions());
  for (size_t i = 1; i < RouterCount; ++i)
    setStaleConfig(fleet, i, 1);
  uint64_t version = fleet.publishConfig();
  checkActiveInTime(fleet, version);
  SUBCASE("stopped") { fleet.control("platform", "stop"); }
  SUBCASE("frozen") { fleet.control("platform", "freeze?on=1"); }
  SUBCASE("older version to some readers") {}
  // A new instance gets the version from its peers.
  fleet.restartRouter(RouterCount - 1);
  fleet.publishList();
  CHECK(isActive(fleet, version, 0, RouterCount - 1));
  fleet.control("platform", "stop?on=0");
  fleet.control("platform", "clear");
  REQUIRE(fleet.waitForReady(RouterCount - 1));
  CHECK(versionAt(fleet, RouterCount - 1) == version);
  clearStaleConfig(fleet);
  checkActiveInTime(fleet, fleet.publishConfig());
}

// Guards against new instances that read an old version from the platform and
// restore it while all instances are replaced.
TEST_CASE("Proof P7 keeps the version while all instances are replaced") {
  ProcessFixture fleet(eightRouterOptions());
  uint64_t version = fleet.publishConfig();
  checkActiveInTime(fleet, version);
  for (size_t i = 0; i < RouterCount; ++i)
    setStaleConfig(fleet, i, 1);
  for (size_t i = 0; i < RouterCount; ++i) {
    CAPTURE(i);
    fleet.restartRouter(i);
    fleet.publishList();
    REQUIRE(fleet.waitForReady(i));
    CHECK(isActive(fleet, version));
  }
  clearStaleConfig(fleet);
  checkActiveInTime(fleet, fleet.publishConfig());
}

// Guards against one side of a partition that reverts the other side when the
// partition ends.
TEST_CASE("Proof P7 activates the newer version on both sides of a partition") {
  FleetOptions options = eightRouterOptions();
  options.ProxyPeers = true;
  ProcessFixture fleet(options);
  for (size_t i = 0; i < 3; ++i) {
    setStaleConfig(fleet, i, 1);
    for (size_t j = 3; j < RouterCount; ++j)
      fleet.peerProxy().cut(fleet.router(i).Name, fleet.router(j).Name);
  }
  uint64_t version = fleet.publishConfig();
  bool inTime =
      eventually([&] { return isActive(fleet, version, 3); }, ActivationBound);
  CHECK_MESSAGE(inTime, versions(fleet));
  CHECK_MESSAGE(isActive(fleet, 1, 0, 3), versions(fleet));
  fleet.peerProxy().heal();
  checkActiveInTime(fleet, version);
}

// Guards against two patches to the same base that both become active, or that
// become active at different instances.
TEST_CASE("Proof P7 activates one of two concurrent patches everywhere") {
  ProcessFixture fleet(eightRouterOptions());
  uint64_t base = versionAt(fleet, 0);
  auto one = std::async(std::launch::async, [&] {
    return patchAndPublish(fleet, 0, patchText(base, "one", 5));
  });
  int other = patchAndPublish(fleet, 5, patchText(base, "other", 7));
  int statuses[] = {one.get(), other};
  for (int it : statuses)
    CHECK((it == 200 || it == 409));
  checkActiveInTime(fleet, base + 1);
  std::string text = configAt(fleet, 0);
  for (size_t i = 1; i < RouterCount; ++i)
    CHECK(configAt(fleet, i) == text);
  HttpResponse refused = fleet.sendOperatorRequest(
      3, "POST", "/admin/v1/config/patches", patchText(base, "late", 9));
  CHECK_MESSAGE(refused.Status == 409, refused.Body);
  // The rejected document keeps its number, so the next one is evaluated after
  // it.
  HttpResponse next = fleet.sendOperatorRequest(
      3, "POST", "/admin/v1/config/patches", patchText(base + 1, "next", 9));
  REQUIRE_MESSAGE(next.Status == 200, next.Body);
  fleet.publishConfigText(next.Body, "?assign=1");
  bool inTime = eventually(
      [&] {
        for (size_t i = 0; i < RouterCount; ++i)
          if (versionAt(fleet, i) <= base + 1)
            return false;
        return true;
      },
      ActivationBound);
  CHECK_MESSAGE(inTime, versions(fleet));
}
