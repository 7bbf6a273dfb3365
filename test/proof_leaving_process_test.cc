// Process tests of guarantee P5: a leaving backend server gets no new work
// later than 3 s after the list marks it as leaving.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

constexpr int64_t LeavingBoundMs = 3000;

// The execution logs of the stand-ins contain wall-clock times of the same
// machine.
int64_t wallMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Sends completions and service calls through all routers; each caller has one
// request in progress at a time.
class MixedLoad {
public:
  explicit MixedLoad(ProcessFixture &Fleet) {
    for (size_t i = 0; i < 2 * Fleet.routers(); ++i)
      Threads.emplace_back([this, &Fleet, i] {
        size_t router = i / 2;
        while (!Stopping) {
          send(i % 2 ? Fleet.completion(router, "load", 5, false)
                     : Fleet.call(router, "POST", "/services/bays/x", "{}"));
          std::unique_lock lock(Mutex);
          Changed.wait_for(lock, Milliseconds(20),
                           [this] { return Stopping.load(); });
        }
      });
  }
  ~MixedLoad() { finish(); }
  void finish() {
    Stopping = true;
    Changed.notify_all();
    for (std::thread &it : Threads)
      it.join();
    Threads.clear();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
};

// Returns the number of runs or calls that this server started after a time.
size_t startsAfter(ProcessFixture &Fleet, const std::string &Server,
                   int64_t TimeMs) {
  auto log = Fleet.executionLog(Server);
  auto entries = log->getArray(Server[0] == 's' ? "calls" : "runs");
  size_t count = 0;
  for (unsigned i = 0; i < entries->size(); ++i)
    count += entries->getObject(i)->getValue<int64_t>("started_ms") > TimeMs;
  return count;
}

void markLeaving(ProcessFixture &Fleet) {
  for (const char *name : {"p1", "d1", "s1"})
    Fleet.server(name).State = "leaving";
  Fleet.publishList();
}

// Waits until the other servers have started work well after the bound, and
// checks that the leaving servers started none after it.
void checkNoNewWork(ProcessFixture &Fleet, int64_t SinceMs) {
  for (const char *name : {"p2", "d2", "s2"})
    REQUIRE(eventually(
        [&] { return startsAfter(Fleet, name, SinceMs + 1000) >= 10; },
        WaitTimeout));
  for (const char *name : {"p1", "d1", "s1"}) {
    CAPTURE(name);
    CHECK(startsAfter(Fleet, name, 0) > 0);
    CHECK(startsAfter(Fleet, name, SinceMs) == 0);
  }
}

FleetOptions leavingOptions() {
  FleetOptions options;
  options.DecodeServers = 2;
  return options;
}

bool allStarted(ProcessFixture &Fleet) {
  for (const char *name : {"p1", "d1", "s1"})
    if (startsAfter(Fleet, name, 0) == 0)
      return false;
  return true;
}

} // namespace

// Guards against entry instances and owners that continue to use a leaving
// server, also when some of them read an outdated list (P5).
TEST_CASE("Proof P5 gives leaving servers no new work despite a stale list") {
  ProcessFixture fleet(leavingOptions());
  MixedLoad load(fleet);
  REQUIRE(eventually([&] { return allStarted(fleet); }, WaitTimeout));
  for (const char *name : {"e2", "e3"})
    fleet.control("platform", std::string("stale?list=1&reader=") + name);
  markLeaving(fleet);
  checkNoNewWork(fleet, wallMs() + LeavingBoundMs);
}

// Guards against a router that resumes with an old list and dispatches before
// it has received the new one (P5).
TEST_CASE("Proof P5 holds for a router paused while the list changes") {
  for (size_t paused : {0, 1, 2}) {
    CAPTURE(paused);
    ProcessFixture fleet(leavingOptions());
    MixedLoad load(fleet);
    REQUIRE(eventually([&] { return allStarted(fleet); }, WaitTimeout));
    fleet.router(paused).Process->signal(SIGSTOP);
    markLeaving(fleet);
    int64_t bound = wallMs() + LeavingBoundMs;
    REQUIRE(eventually([&] { return wallMs() > bound; }, WaitTimeout));
    fleet.router(paused).Process->signal(SIGCONT);
    int64_t resumed = wallMs();
    checkNoNewWork(fleet, bound);
    CHECK(startsAfter(fleet, "p2", resumed) > 0);
  }
}
