// Checks the guarantees P5, P7 and P8 as invariants of random schedules of
// faults, each generated from a seed.
#include "core_network.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

constexpr int Instances = 5;
constexpr Milliseconds Step{50};

uint64_t lastSeed() {
  const char *given = std::getenv("SEEDS");
  return given ? std::stoull(given) : 8;
}

std::string nameOf(int Index) { return "e" + std::to_string(1 + Index); }

// A fleet under short faults: silent links, pauses, and platform readers that
// are stale or stopped.
class FaultyFleet {
public:
  explicit FaultyFleet(uint64_t Seed) : Net(optionsFor(Seed)), Random(Seed) {
    REQUIRE(Net.runUntilReady());
    Net.runFor(Milliseconds(2500));
  }

  CoreNetwork Net;
  std::mt19937_64 Random;

  uint64_t below(uint64_t Bound) { return Random() % Bound; }
  std::string anyInstance() {
    return nameOf(static_cast<int>(below(Instances)));
  }
  // At least one reader stays fresh.
  void degradeReaders() {
    auto fresh = static_cast<int>(below(Instances));
    for (int i = 0; i < Instances; ++i) {
      uint64_t kind = i == fresh ? 0 : below(3);
      Net.freezePlatform(nameOf(i), kind == 1);
      Net.cutPlatform(nameOf(i), kind == 2);
    }
  }
  // Runs for one Step; at random also sends a request or injects a fault.
  void step() {
    if (below(2) == 0)
      send(1000 + Random() % 1000000);
    if (below(40) == 0)
      injectFault();
    Net.runFor(Step);
  }
  RequestId send(uint64_t Fingerprint) {
    RequestSpec spec = below(4) == 0 ? serviceSpec(true) : modelSpec();
    spec.Fingerprint = Fingerprint;
    return Net.submit(anyInstance(), spec);
  }
  RequestId sendModel(uint64_t Fingerprint) {
    RequestSpec spec = modelSpec();
    spec.Group = "dispatch";
    spec.Fingerprint = Fingerprint;
    return Net.submit(anyInstance(), spec);
  }
  static SampleOptions sample() {
    SampleOptions sample;
    sample.Prefills = 3;
    sample.Decodes = 4;
    return sample;
  }

private:
  static NetworkOptions optionsFor(uint64_t Seed) {
    NetworkOptions options;
    options.Seed = Seed;
    options.Instances = Instances;
    options.Sample = sample();
    return options;
  }
  void injectFault() {
    std::string a = anyInstance(), b = anyInstance();
    auto length = Milliseconds(static_cast<int64_t>(100 + below(1900)));
    if (a == b) {
      Net.pause(a, std::min(length, Milliseconds(1200)));
      return;
    }
    Net.cut(a, b);
    Net.runFor(length);
    Net.heal(a, b);
  }
};

bool startedAfter(const CoreNetwork &Net, const std::string &Server,
                  TimePoint Limit) {
  const auto &all = Net.executions();
  return std::any_of(all.begin(), all.end(), [&](const Execution &It) {
    return It.Server == Server && It.StartedAt > Limit;
  });
}

// Lists one server as leaving, and as live again at the end.
void checkLeaving(FaultyFleet &Fleet, const std::string &Server) {
  CAPTURE(Server);
  CoreNetwork &net = Fleet.Net;
  Fleet.degradeReaders();
  uint64_t sequence = net.newestList() + 1;
  net.publishList(
      sampleListText(sequence, Instances, FaultyFleet::sample(), {Server}));
  auto isRead = [&] {
    for (int i = 0; i < Instances; ++i)
      if (net.listSequence(nameOf(i)) >= sequence)
        return true;
    return false;
  };
  std::optional<TimePoint> read;
  for (TimePoint end = net.now() + Milliseconds(7000); net.now() < end;) {
    Fleet.step();
    if (!read && isRead())
      read = net.now();
  }
  if (read)
    CHECK_FALSE(startedAfter(net, Server, *read + Milliseconds(3000)));
  net.publishList(
      sampleListText(sequence + 1, Instances, FaultyFleet::sample()));
  for (int i = 0; i < Instances; ++i) {
    net.freezePlatform(nameOf(i), false);
    net.cutPlatform(nameOf(i), false);
  }
  net.runFor(Milliseconds(3000));
}

// Publishes configurations and compares the active versions with the expected
// ones.
class ConfigChecker {
public:
  explicit ConfigChecker(CoreNetwork &Net) : Net(Net) {}

  // If Racing, publishes two patches with the same base; every instance refuses
  // the second.
  void publish(bool Racing) {
    SampleOptions sample = FaultyFleet::sample();
    sample.Base = Accepted;
    sample.Version = ++Newest;
    Net.publishConfig(sampleConfigText(sample));
    Accepted = Newest;
    AcceptedVersions.insert(Newest);
    if (!Racing)
      return;
    sample.Version = ++Newest;
    Net.publishConfig(sampleConfigText(sample));
  }
  void onRestarted(const std::string &Instance) { Last[Instance] = 0; }
  // Each instance only moves to newer accepted versions, and has every version
  // that was active anywhere 7 s ago.
  void check() {
    uint64_t due = 0;
    for (const auto &it : FirstInForce)
      if (it.second + Milliseconds(7000) < Net.now())
        due = it.first;
    for (int i = 0; i < Instances; ++i) {
      std::string name = nameOf(i);
      uint64_t version = Net.configVersion(name);
      if (!Net.isReady(name))
        continue; // it serves no requests yet
      if (version != 0)
        FirstInForce.emplace(version, Net.now());
      bool reverted = version < Last[name];
      bool late = version < due;
      bool refused = version != 0 && !AcceptedVersions.count(version);
      Last[name] = version;
      if (!reverted && !late && !refused)
        continue;
      CAPTURE(name);
      CAPTURE(version);
      CAPTURE(due);
      CHECK_FALSE(reverted);
      CHECK_FALSE(late);
      CHECK_FALSE(refused);
    }
  }
  uint64_t accepted() const { return Accepted; }

private:
  CoreNetwork &Net;
  uint64_t Accepted = 1;
  uint64_t Newest = 1;
  std::set<uint64_t> AcceptedVersions{1};
  std::map<uint64_t, TimePoint> FirstInForce;
  std::map<std::string, uint64_t> Last;
};

// Callers retry three crashing requests through any entry.
void checkCrashers(uint64_t Seed) {
  CAPTURE(Seed);
  const std::vector<uint64_t> crashers = {666, 667, 668};
  FaultyFleet fleet(Seed);
  CoreNetwork &net = fleet.Net;
  for (uint64_t it : crashers)
    net.addCrasher(it);
  for (int round = 0; round < 15; ++round) {
    RequestId id = fleet.sendModel(crashers[fleet.below(crashers.size())]);
    for (int i = 0; i < 100 && net.request(id).Responses.empty() &&
                    !net.request(id).EntryDied;
         ++i)
      fleet.step();
    for (const char *it : {"p1", "p2", "p3", "d1", "d2", "d3", "d4"})
      if (!net.serverAlive(it))
        net.restartServer(it);
    if (fleet.below(4) == 0)
      net.restart(fleet.anyInstance());
    net.runFor(Milliseconds(1000));
  }
  for (uint64_t it : crashers) {
    CAPTURE(it);
    CHECK(net.crashesBy(it) <= 2);
  }
  for (const auto &it : net.requests())
    for (const CallerResponse &response : it.second.Responses)
      if (it.second.Spec.Fingerprint >= 1000)
        CHECK(response.Error != ErrorKind::RequestCrashesServers);
}

} // namespace

// Guards against new work for leaving servers (P5), with stale and stopped
// readers, silent links and pauses.
TEST_CASE("Cores give leaving servers no new work under a random schedule") {
  for (uint64_t seed = 1; seed <= lastSeed(); ++seed) {
    CAPTURE(seed);
    FaultyFleet fleet(seed);
    const char *servers[] = {"p1", "p2", "p3", "d1", "d2", "d3", "s1"};
    for (int round = 0; round < 4; ++round)
      checkLeaving(fleet, servers[fleet.below(7)]);
  }
}

// Guards against versions that revert, spread late, or differ after two racing
// patches (P7), while all instances are replaced one after another.
TEST_CASE("Cores keep accepted versions active under a random schedule") {
  for (uint64_t seed = 1; seed <= lastSeed(); ++seed) {
    CAPTURE(seed);
    FaultyFleet fleet(seed);
    ConfigChecker checker(fleet.Net);
    for (int round = 0; round < 2 * Instances; ++round) {
      fleet.degradeReaders();
      checker.publish(fleet.below(2) == 0);
      std::string replaced = nameOf(round % Instances);
      fleet.Net.restart(replaced);
      checker.onRestarted(replaced);
      for (TimePoint end = fleet.Net.now() + Milliseconds(3000);
           fleet.Net.now() < end;) {
        fleet.step();
        checker.check();
      }
    }
    for (TimePoint end = fleet.Net.now() + Milliseconds(8000);
         fleet.Net.now() < end; checker.check())
      fleet.Net.runFor(Step);
    for (int i = 0; i < Instances; ++i)
      CHECK(fleet.Net.configVersion(nameOf(i)) == checker.accepted());
  }
}

// Guards against requests that crash a third server when callers retry them
// through other entries, and against refusing other requests (P8).
TEST_CASE("Cores stop crashing requests under a random schedule") {
  for (uint64_t seed = 1; seed <= lastSeed(); ++seed)
    checkCrashers(seed);
}

// Guards against the same. The link between entry and owner goes silent, so the
// crash report is lost, and the entry takes over the shard: it must not place
// the request before it knows of the server that failed while running it.
TEST_CASE("Cores stop crashing requests in the schedule of seed 499") {
  checkCrashers(499);
}
