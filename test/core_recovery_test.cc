// Effects of the loss of an owner: the time without new starts, and memory that
// stays held.
#include "core_network.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

constexpr int Instances = 8;

NetworkOptions fleetOptions(uint64_t Seed) {
  NetworkOptions options;
  options.Seed = Seed;
  options.Instances = Instances;
  options.Sample.Prefills = 4;
  options.Sample.Decodes = 9;
  options.Sample.Slots = 4;
  options.DecodeTime = Milliseconds(300);
  return options;
}

std::string ownerOf(const CoreNetwork &Net) {
  std::vector<std::string> owners; // at startup each considers itself the owner
  for (const auto &it : Net.decisions()) {
    if (it.second.Kind == DecisionKind::OwnershipGained)
      owners.push_back(it.first);
    if (it.second.Kind == DecisionKind::OwnershipLost)
      std::erase(owners, it.first);
  }
  return owners.back();
}

std::string otherThan(const std::string &Name) {
  return Name == "e1" ? "e2" : "e1";
}

// One request every 15 ms through all instances but one; 36 slots serve about
// 95 of these a second.
void sendAround(CoreNetwork &Net, const std::string &Without,
                Milliseconds Duration) {
  TimePoint end = Net.now() + Duration;
  for (uint64_t i = 0; Net.now() < end; ++i) {
    std::string entry = "e" + std::to_string(1 + i % Instances);
    if (entry == Without)
      continue;
    RequestSpec spec = modelSpec();
    spec.Group = "dispatch"; // waits without a deadline
    spec.Fingerprint = 1000 + Net.requests().size();
    Net.submit(entry, spec);
    Net.runFor(Milliseconds(15));
  }
}

// Returns the longest time without the start of a prefill or decode.
Milliseconds longestGap(const CoreNetwork &Net, TimePoint From, TimePoint To) {
  TimePoint last = From;
  auto longest = TimePoint::duration::zero();
  for (const Execution &it : Net.executions()) {
    if (it.StartedAt < From || it.StartedAt > To)
      continue;
    longest = std::max(longest, it.StartedAt - last);
    last = it.StartedAt;
  }
  longest = std::max(longest, To - last);
  return std::chrono::duration_cast<Milliseconds>(longest);
}

} // namespace

// Guards against a pool that starts nothing for longer than a lease period when
// its owner dies.
TEST_CASE("CoreNetwork starts requests again soon after an owner's death") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    CoreNetwork net(fleetOptions(seed));
    REQUIRE(net.runUntilReady());
    net.runFor(Milliseconds(2500));
    std::string owner = ownerOf(net);
    sendAround(net, owner, Milliseconds(2000));
    TimePoint from = net.now();
    net.kill(owner);
    sendAround(net, owner, Milliseconds(5000));
    CHECK(ownerOf(net) != owner);
    Milliseconds gap = longestGap(net, from, net.now());
    MESSAGE("no start for ms: ", gap.count());
    CHECK(gap <= net.options().Core.LeasePeriod);
    net.runFor(Milliseconds(8000));
    for (const auto &it : net.requests())
      CHECK(it.second.Responses.size() + it.second.EntryDied == 1);
    CHECK(net.held().empty());
  }
}

// Guards against a pool that starts nothing when its owner shuts down
// gracefully, and against requests that the shutdown cuts off (P6).
TEST_CASE("CoreNetwork starts requests again soon after an owner's shutdown") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    CoreNetwork net(fleetOptions(seed));
    REQUIRE(net.runUntilReady());
    net.runFor(Milliseconds(2500));
    std::string owner = ownerOf(net);
    sendAround(net, "", Milliseconds(2000));
    TimePoint from = net.now();
    net.shutdown(owner, Milliseconds(10000));
    sendAround(net, owner, Milliseconds(5000));
    CHECK(net.stopped(owner));
    CHECK(ownerOf(net) != owner);
    Milliseconds gap = longestGap(net, from, net.now());
    MESSAGE("no start for ms: ", gap.count());
    CHECK(gap <= net.options().Core.LeasePeriod);
    net.runFor(Milliseconds(8000));
    for (const auto &it : net.requests()) {
      REQUIRE(it.second.Responses.size() == 1);
      CHECK(it.second.Responses[0].Complete);
    }
  }
}

// Guards against memory that stays held when no instance is left that knows of
// it (P1).
TEST_CASE("CoreNetwork frees all memory when an entry and the owner die") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    NetworkOptions options = fleetOptions(seed);
    options.DecodeTime = Milliseconds(20000);
    CoreNetwork net(options);
    REQUIRE(net.runUntilReady());
    net.runFor(Milliseconds(2500));
    std::string owner = ownerOf(net), entry = otherThan(owner);
    for (int i = 0; i < 10; ++i)
      net.submit(i % 2 ? owner : entry, modelSpec());
    net.runFor(Milliseconds(500));
    CHECK(net.held().size() == 10);
    TimePoint died = net.now();
    net.kill(owner);
    net.kill(entry);
    CHECK(net.runUntil([&] { return net.held().empty(); }, Milliseconds(5000)));
    auto took = std::chrono::duration_cast<Milliseconds>(net.now() - died);
    MESSAGE("all freed after ms: ", took.count());
  }
}
