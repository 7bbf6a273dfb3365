#include "core_network.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

// Sends Count requests of both kinds to all instances in turn, one per Gap.
void sendLoad(CoreNetwork &Net, int Count, Milliseconds Gap) {
  for (int i = 0; i < Count; ++i) {
    std::string entry = "e" + std::to_string(1 + i % 3);
    RequestSpec spec = i % 4 == 3 ? serviceSpec(true) : modelSpec();
    spec.Fingerprint = static_cast<uint64_t>(1000 + i);
    Net.submit(entry, spec);
    Net.runFor(Gap);
  }
}

size_t countResponses(const CoreNetwork &Net, bool Complete) {
  size_t n = 0;
  for (const auto &it : Net.requests())
    for (const CallerResponse &response : it.second.Responses)
      n += response.Complete == Complete;
  return n;
}

} // namespace

// Guards against instances that don't work together: under a light load every
// request must be answered completely and once, whichever instance it reached.
TEST_CASE("CoreNetwork serves a light load over three instances") {
  CoreNetwork net;
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  sendLoad(net, 40, Milliseconds(150));
  net.runFor(Milliseconds(3000));
  CHECK(countResponses(net, true) == 40);
  CHECK(countResponses(net, false) == 0);
  CHECK(net.held().empty());
}

// Guards against a fixture whose runs aren't reproducible.
TEST_CASE("CoreNetwork reproduces a run from its seed") {
  auto run = [](uint64_t Seed) {
    NetworkOptions options;
    options.Seed = Seed;
    CoreNetwork net(options);
    net.runUntilReady();
    sendLoad(net, 30, Milliseconds(40));
    net.kill("e2");
    net.runFor(Milliseconds(4000));
    std::string text;
    for (const Execution &it : net.executions())
      text += it.Id.str() + it.Server +
              std::to_string(it.StartedAt.time_since_epoch().count()) + "\n";
    return text;
  };
  CHECK(run(5) == run(5));
  CHECK(run(5) != run(6));
}

// Guards against requests that hang when a decode server that also did their
// prefill is lost: the owner has then never seen a separate result.
TEST_CASE("CoreNetwork places locally prefilled requests again") {
  NetworkOptions options;
  options.Sample.Prefills = 0;
  CoreNetwork net(options);
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  RequestSpec spec = modelSpec();
  spec.Group = "dispatch"; // waits without a deadline
  for (int i = 0; i < 4; ++i) {
    spec.Fingerprint = static_cast<uint64_t>(1000 + i);
    net.submit("e" + std::to_string(1 + i % 3), spec);
  }
  net.runFor(Milliseconds(100));
  net.killServer("d1");
  net.runFor(Milliseconds(6000));
  CHECK(countResponses(net, true) == 4);
  CHECK(net.held().empty());
}

// Guards against a suspect that is never placed again or that crashes a third
// server (P8).
TEST_CASE("CoreNetwork refuses a request that has crashed two servers") {
  NetworkOptions options;
  options.Sample.Decodes = 4;
  CoreNetwork net(options);
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  RequestSpec killer = modelSpec();
  killer.Fingerprint = 666;
  killer.Group = "dispatch";
  net.addCrasher(666);
  size_t refused = 0;
  for (int i = 0; i < 6; ++i) {
    RequestId id = net.submit("e" + std::to_string(1 + i % 3), killer);
    net.runFor(Milliseconds(4000));
    REQUIRE(net.request(id).Responses.size() == 1);
    refused +=
        net.request(id).Responses[0].Error == ErrorKind::RequestCrashesServers;
    for (const char *it : {"p1", "p2", "d1", "d2", "d3", "d4"})
      net.restartServer(it);
  }
  CHECK(refused >= 4);
  CHECK(net.countDecisions(DecisionKind::SuspectRefused) >= 4);
}

// Guards against requests that wait forever when a server that does both stages
// goes silent without a crash.
TEST_CASE("CoreNetwork replaces a silent server that prefills locally") {
  NetworkOptions options;
  options.Sample.Prefills = 0;
  options.Core.ProgressTimeout = Milliseconds(1000);
  CoreNetwork net(options);
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  net.stallServer("d1");
  for (int i = 0; i < 4; ++i) {
    RequestSpec spec = modelSpec();
    spec.Group = "dispatch";
    spec.Fingerprint = static_cast<uint64_t>(1000 + i);
    net.submit("e" + std::to_string(1 + i % 3), spec);
  }
  net.runFor(Milliseconds(500));
  net.stallServer("d1", false);
  net.runFor(Milliseconds(6000));
  CHECK(countResponses(net, true) == 4);
  CHECK(net.held().empty());
}

// Guards against a placement policy that can't complete requests.
TEST_CASE("CoreNetwork serves a light load under each placement policy") {
  for (PlacementPolicy policy :
       {PlacementPolicy::RoundRobin, PlacementPolicy::LeastLoad,
        PlacementPolicy::SplitSlots, PlacementPolicy::HoldSlot,
        PlacementPolicy::Pool}) {
    CAPTURE(static_cast<int>(policy));
    NetworkOptions options;
    options.Core.Policy = policy;
    options.Sample.Slots = 6;
    CoreNetwork net(options);
    REQUIRE(net.runUntilReady());
    net.runFor(Milliseconds(2500));
    sendLoad(net, 20, Milliseconds(150));
    net.runFor(Milliseconds(3000));
    CHECK(countResponses(net, true) == 20);
    CHECK(net.held().empty());
  }
}

// Guards against a graceful shutdown that cuts off requests (P6).
TEST_CASE("CoreNetwork completes all requests when an instance shuts down") {
  CoreNetwork net;
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  sendLoad(net, 9, Milliseconds(30));
  net.shutdown("e2", Milliseconds(10000));
  CHECK(net.runUntil([&] { return net.stopped("e2"); }, Milliseconds(5000)));
  net.runFor(Milliseconds(3000));
  CHECK(countResponses(net, true) == 9);
  CHECK(net.held().empty());
}
