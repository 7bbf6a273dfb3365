// Effects of the death of a backend server on the requests that ran on it.
#include "core_network.h"

#include <doctest/doctest.h>
#include <set>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

RequestSpec specOf(uint64_t Fingerprint) {
  RequestSpec spec = modelSpec();
  spec.Fingerprint = Fingerprint;
  return spec;
}

std::string entryOf(uint64_t Number) {
  return "e" + std::to_string(1 + Number % 3);
}

NetworkOptions threeDecodeServers() {
  NetworkOptions options;
  options.Sample.Decodes = 3;
  options.Sample.Slots = 4;
  return options;
}

// Sends a request every 40 ms, with the contents 1 to Contents in turn.
void sendSteadily(CoreNetwork &Net, uint64_t Contents, Milliseconds Duration) {
  TimePoint end = Net.now() + Duration;
  for (uint64_t i = 0; Net.now() < end; ++i) {
    Net.submit(entryOf(i), specOf(1 + i % Contents));
    Net.runFor(Milliseconds(40));
  }
}

size_t completedSince(const CoreNetwork &Net, TimePoint Since) {
  size_t n = 0;
  for (const auto &it : Net.requests())
    for (const CallerResponse &response : it.second.Responses)
      n += response.Complete && response.At >= Since;
  return n;
}

} // namespace

// Guards against failing innocent requests (P8): the deadline of the first
// output doesn't apply to streams that have started, however long they wait for
// a server.
TEST_CASE("CoreNetwork resumes started streams of a dead server under load") {
  NetworkOptions options = threeDecodeServers();
  options.DecodeTime = Milliseconds(1000);
  CoreNetwork net(options);
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  std::vector<RequestId> streams;
  for (uint64_t i = 0; i < 9; ++i)
    streams.push_back(net.submit(entryOf(i), specOf(1000 + i)));
  net.runFor(Milliseconds(950)); // all have started, none has ended
  net.killServer("d1");
  sendSteadily(net, 1000, Milliseconds(12000));
  for (const RequestId &it : streams) {
    CAPTURE(it.str());
    REQUIRE(net.request(it).Responses.size() == 1);
    CHECK(net.request(it).Responses[0].Complete);
  }
}

// Guards against a dead server that slows down the whole pool: contents that
// are sent repeatedly must not run one at a time once they have completed
// elsewhere.
TEST_CASE("CoreNetwork keeps the pool in use after a server's death") {
  NetworkOptions options = threeDecodeServers();
  options.DecodeTime = Milliseconds(300);
  CoreNetwork net(options);
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  sendSteadily(net, 5, Milliseconds(2000));
  net.killServer("d1");
  sendSteadily(net, 5, Milliseconds(1000));
  TimePoint since = net.now();
  sendSteadily(net, 5, Milliseconds(5000));
  // Eight slots of 375 ms on average serve 106 in 5 s.
  CHECK(completedSince(net, since) >= 85);
}

// Guards against a request that crashes a third server because the owner, which
// polls the servers, was paused when the first one died (P8). Reduced from seed
// 37 of core_guarantees_test.
TEST_CASE("CoreNetwork detects a crash that a paused owner sees late") {
  NetworkOptions options;
  options.Sample.Prefills = 3;
  options.Sample.Decodes = 4;
  CoreNetwork net(options);
  REQUIRE(net.runUntilReady());
  net.runFor(Milliseconds(2500));
  net.addCrasher(666);
  std::set<std::string> owners;
  for (const auto &it : net.decisions()) {
    if (it.second.Kind == DecisionKind::OwnershipGained)
      owners.insert(it.first);
    if (it.second.Kind == DecisionKind::OwnershipLost)
      owners.erase(it.first);
  }
  REQUIRE(owners.size() == 1);
  RequestSpec spec = specOf(666);
  spec.Group = "dispatch"; // waits without a deadline
  net.submit(*owners.begin() == "e1" ? "e2" : "e1", spec);
  REQUIRE(net.runUntil([&] { return net.crashesBy(666) == 1; },
                       Milliseconds(1000)));
  net.pause(*owners.begin(), Milliseconds(600));
  net.runFor(Milliseconds(5000));
  CHECK(net.crashesBy(666) <= 2);
}
