#include "core_network.h"

#include <cstdio>
#include <cstdlib>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

// Returns a UUIDv7 issued now.
std::string timedKey(const CoreNetwork &Net, uint64_t Number) {
  auto ms =
      std::chrono::duration_cast<Milliseconds>(Net.wall().time_since_epoch());
  char text[40];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-8000-%012llx",
                static_cast<unsigned long long>(ms.count() >> 16),
                static_cast<unsigned long long>(ms.count() & 0xffff),
                static_cast<unsigned long long>(Number & 0xfff),
                static_cast<unsigned long long>(Number & 0xffffffffffff));
  return text;
}

RequestSpec randomSpec(std::mt19937_64 &Random) {
  uint64_t kind = Random() % 4;
  RequestSpec spec = kind < 2 ? modelSpec() : serviceSpec(kind == 2);
  if (Random() % 4 == 0)
    spec.Group = "dispatch";
  spec.Fingerprint = Random();
  return spec;
}

std::string anyInstance(std::mt19937_64 &Random) {
  return "e" + std::to_string(1 + Random() % 3);
}

std::string anyServer(std::mt19937_64 &Random) {
  const char *names[] = {"p1", "p2", "d1", "d2", "s1", "s2"};
  return names[Random() % 6];
}

// Injects one fault and removes it again.
void injectFault(CoreNetwork &Net, std::mt19937_64 &Random) {
  std::string a = anyInstance(Random);
  std::string b = anyInstance(Random);
  std::string server = anyServer(Random);
  auto length = Milliseconds(static_cast<int64_t>(100 + Random() % 3000));
  switch (Random() % 8) {
  case 0:
    Net.kill(a);
    Net.runFor(length);
    Net.restart(a);
    break;
  case 1:
    Net.restart(a);
    break;
  case 2:
    Net.pause(a, length);
    break;
  case 3:
    if (a == b)
      break;
    Net.cut(a, b);
    Net.runFor(length);
    Net.heal(a, b);
    break;
  case 4:
    Net.killServer(server);
    Net.runFor(length);
    Net.restartServer(server);
    break;
  case 5:
    Net.shutdown(a, length);
    Net.runFor(length + Milliseconds(500));
    Net.restart(a);
    break;
  case 6:
    Net.publishList(sampleListText(Net.newestList() + 1, 3, {}, {server}));
    Net.runFor(length);
    Net.publishList(sampleListText(Net.newestList() + 1, 3));
    break;
  default:
    Net.stallServer(server);
    Net.runFor(length);
    Net.stallServer(server, false);
    break;
  }
}

// Sends requests, cancels some, and injects faults.
void runSchedule(CoreNetwork &Net, uint64_t Seed) {
  std::mt19937_64 random(Seed);
  std::vector<RequestId> sent;
  for (int i = 0; i < 120; ++i) {
    RequestSpec spec = randomSpec(random);
    if (!spec.Idempotent && random() % 4 != 0)
      spec.IdempotencyKey = random() % 3 == 0
                                ? Net.makeTicket(anyInstance(random))
                                : timedKey(Net, random());
    sent.push_back(Net.submit(anyInstance(random), spec));
    // Callers retry keyed requests, also at other entries.
    const RequestSpec &earlier = Net.request(sent[random() % sent.size()]).Spec;
    if (!earlier.IdempotencyKey.empty())
      sent.push_back(Net.submit(anyInstance(random), earlier));
    Net.runFor(Milliseconds(static_cast<int64_t>(random() % 150)));
    if (random() % 8 == 0)
      Net.cancel(sent[random() % sent.size()]);
    if (random() % 12 == 0)
      injectFault(Net, random);
  }
}

void checkRequest(const CoreNetwork &Net, const CallerRequest &Caller) {
  CAPTURE(Caller.Id.str());
  CAPTURE(Caller.Entry);
  bool callerLeft = Caller.CancelledAt || Caller.EntryDied;
  CHECK(Caller.Responses.size() <= 1);
  if (!callerLeft)
    CHECK(Caller.Responses.size() == 1);
  size_t calls = Net.executionsOf(Caller.Id, Stage::Service);
  size_t ran = calls + Net.executionsOf(Caller.Id, Stage::Prefill) +
               Net.executionsOf(Caller.Id, Stage::Decode);
  if (!Caller.Spec.Idempotent)
    CHECK(calls <= 1);
  for (const CallerResponse &it : Caller.Responses)
    if (!it.Complete && it.Run == ExecutionState::No)
      CHECK(ran == 0);
}

// Checks that no key is executed twice, through any entries and requests.
void checkKeys(const CoreNetwork &Net) {
  std::map<std::string, size_t> runs;
  for (const auto &it : Net.requests())
    if (!it.second.Spec.IdempotencyKey.empty())
      runs[it.second.Spec.IdempotencyKey] +=
          Net.executionsOf(it.first, Stage::Service);
  for (const auto &it : runs) {
    CAPTURE(it.first);
    CHECK(it.second <= 1);
  }
}

bool isEngine(const std::string &Server) { return Server[0] != 's'; }

} // namespace

// Guards against requests that are lost, answered twice, run twice or leave
// memory held under combined faults (P1 to P4).
TEST_CASE("Cores keep their guarantees under a random schedule of faults") {
  uint64_t last = std::getenv("SEEDS") ? std::stoull(std::getenv("SEEDS")) : 20;
  for (uint64_t seed = 1; seed <= last; ++seed) {
    CAPTURE(seed);
    NetworkOptions options;
    options.Seed = seed;
    // The clocks of the instances agree here, so keys needn't wait long.
    options.Core.ClockMargin = Milliseconds(100);
    CoreNetwork net(options);
    REQUIRE(net.runUntilReady());
    runSchedule(net, seed);
    net.runFor(Milliseconds(15000));
    for (const auto &it : net.requests())
      checkRequest(net, it.second);
    checkKeys(net);
    // A service call whose entry died ends with its connection.
    for (const HeldResource &it : net.held()) {
      if (!isEngine(it.Server))
        continue;
      CAPTURE(it.Id.str());
      CAPTURE(it.Server);
      CHECK(net.now() - it.Since < Milliseconds(5000));
    }
  }
}
