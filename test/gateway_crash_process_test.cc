// Tests gateway instances as processes whose servers crash under one request.
#include "crashing_server.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

// The platform's bounds: from this long after the third crash on, at most three
// sends of the request may still reach servers.
constexpr Milliseconds ContactTime{3000};
constexpr size_t AllowedSends = 3;
constexpr int InstanceCount = 4;
constexpr int ServerCount = 6;
constexpr Milliseconds ReturnInterval{20}; // between two attempts of the caller

std::string makeRoute(const std::string &Prefix, const std::string &Type,
                      const std::string &Service) {
  return R"({"name":"r)" + Prefix.substr(1, 1) +
         R"(","host":"a.example","path-prefix":")" + Prefix + R"(","type":")" +
         Type + R"(","timeout-ms":5000,"latency-target-ms":150,"priority":1,)" +
         R"("service":")" + Service +
         R"(","max-attempts":2,"resumable":true,"itl-target-ms":300})";
}

std::string makeConfig() {
  return R"({"version":2,"routes":[)" +
         makeRoute("/n/", "non_idempotent", "bays") + "," +
         makeRoute("/i/", "idempotent", "bays") + "," +
         makeRoute("/t/", "streaming", "llm") +
         R"(],"services":[{"name":"bays"},{"name":"llm","runtime":{"slots":64,)"
         R"("kv-capacity":60000,"stride":11,"kv-ttl-s":0.5,"hold-ms":2000}}]})";
}

// A fleet with servers of a plain service and of a model.
struct CrashFleet {
  // `Change` may change the options of each server before it starts.
  explicit CrashFleet(
      int Instances = InstanceCount,
      const std::function<void(CrashingServerOptions &, int Number)> &Change =
          [](CrashingServerOptions &, int) {})
      : Fleet(Instances) {
    Fleet.Store.put("op/config", makeConfig());
    for (int i = 0; i < ServerCount; ++i) {
      std::string n = std::to_string(i);
      for (CrashingServerOptions options :
           {CrashingServerOptions{"bay-" + n, "bays", ""},
            CrashingServerOptions{"llm-" + n, "llm", "decode"}}) {
        Change(options, i);
        Servers.push_back(
            std::make_unique<CrashingServer>(Fleet.Store, Log, options));
      }
    }
    Fleet.startAll();
  }

  // Sends a request with a new id and returns everything received.
  std::string send(int Instance, const std::string &Path,
                   const std::string &Body) {
    int fd = connectTo(Fleet.Instances[static_cast<size_t>(Instance)].Callers);
    REQUIRE(fd >= 0);
    sendText(fd, "POST " + Path +
                     " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + "a" +
                     std::to_string(++LastId) +
                     "\r\nToken-Usage: 500,100\r\nDeadline-Ms: 4000\r\n"
                     "Connection: close\r\nContent-Length: " +
                     std::to_string(Body.size()) + "\r\n\r\n" + Body);
    std::string response = readAll(fd);
    ::close(fd);
    return response;
  }

  // Sends the crashing request to each instance in turn until the time.
  void sendCrashingUntil(const std::string &Path,
                         const std::function<bool()> &Done) {
    for (int i = 0; !Done(); ++i) {
      send(i % static_cast<int>(Fleet.Instances.size()), Path, CrashingBody);
      std::this_thread::sleep_for(ReturnInterval);
    }
  }

  GatewayFleet Fleet;
  CrashLog Log;
  std::vector<std::unique_ptr<CrashingServer>> Servers;
  std::atomic<int> LastId{0};
};

// Makes the content crash three servers through the first instances. One that
// doesn't know yet that a server ended may choose it and send nothing.
void crashThreeServers(CrashFleet &Setup, int Instances) {
  TimePoint limit = Clock::now() + WaitTimeout;
  for (int i = 0; Setup.Log.crashes() < 3 && Clock::now() < limit; ++i)
    Setup.send(i % Instances, "/n/x", CrashingBody);
  REQUIRE(Setup.Log.crashes() == 3);
}

// Whether the instance refuses the content within the platform's bound.
bool refusesInTime(CrashFleet &Setup, int Instance) {
  return test::eventually(
      [&] {
        return Setup.send(Instance, "/n/x", CrashingBody)
                   .find("\"content_refused\"") != std::string::npos;
      },
      ContactTime);
}

// Sends the request for two bounds after the third crash and returns how many
// sends reached servers in the second.
size_t lateArrivals(CrashFleet &Setup, const std::string &Path) {
  auto third = [&] { return Setup.Log.crashTime(3); };
  TimePoint limit = Clock::now() + WaitTimeout;
  Setup.sendCrashingUntil(Path, [&] {
    return third() ? Clock::now() > *third() + 2 * ContactTime
                   : Clock::now() > limit;
  });
  REQUIRE(third().has_value());
  return Setup.Log.arrivalsAfter(*third() + ContactTime).size();
}

} // namespace

// Each attempt of the caller has a new id, so the instances took it for another
// request each time.
TEST_CASE("A call that crashed three servers reaches no more") {
  CrashFleet setup;
  CHECK(lateArrivals(setup, "/n/x") <= AllowedSends);
}

TEST_CASE("A repeatable call that crashed three servers reaches no more") {
  CrashFleet setup;
  CHECK(lateArrivals(setup, "/i/x") <= AllowedSends);
}

TEST_CASE("A stream that crashed three servers reaches no more") {
  CrashFleet setup;
  CHECK(lateArrivals(setup, "/t/x") <= AllowedSends);
}

// A server's successor has another id at the same address. Until the entry of
// the ended process expires, it may be the only sign of the end.
TEST_CASE(
    "A content is refused when servers that crashed start under new ids") {
  CrashFleet setup(InstanceCount, [](CrashingServerOptions &Options, int) {
    Options.RefusesWhileDown = false;
  });
  CHECK(lateArrivals(setup, "/i/x") <= AllowedSends);
}

TEST_CASE("A content is refused when servers that crashed keep their ids") {
  CrashFleet setup(InstanceCount, [](CrashingServerOptions &Options, int) {
    Options.KeepsId = true;
    Options.RefusesWhileDown = false;
  });
  CHECK(lateArrivals(setup, "/i/x") <= AllowedSends);
}

// Any response of a server, also an error, used to clear a suspected content.
TEST_CASE("A content that crashed three servers is refused despite an error") {
  CrashFleet setup(InstanceCount, [](CrashingServerOptions &Options, int N) {
    Options.FailsAll = N % 2 == 0;
  });
  CHECK(lateArrivals(setup, "/n/x") <= AllowedSends);
}

TEST_CASE("An instance alone refuses a content after its third crash") {
  CrashFleet setup(1);
  crashThreeServers(setup, 1);
  CHECK(refusesInTime(setup, 0));
  CHECK(setup.Log.crashes() == 3);
  CHECK(setup.send(0, "/n/x", "other body").starts_with("HTTP/1.1 200"));
}

TEST_CASE(
    "Without the store all instances refuse a content after its crashes") {
  CrashFleet setup(3);
  for (const GatewayInstance &it : setup.Fleet.Instances)
    setup.Fleet.Store.setRejecting(it.Name, true);
  crashThreeServers(setup, 3);
  for (int i = 0; i < 3; ++i)
    CHECK(refusesInTime(setup, i));
}

TEST_CASE("An instance that was frozen refuses what its peers refuse") {
  CrashFleet setup(3);
  setup.Fleet.Instances[2].Process->signal(SIGSTOP);
  crashThreeServers(setup, 2);
  setup.Fleet.Instances[2].Process->signal(SIGCONT);
  CHECK(refusesInTime(setup, 2));
}

TEST_CASE("An instance that has just started refuses what its peers refuse") {
  CrashFleet setup(3);
  crashThreeServers(setup, 3);
  GatewayInstance &last = setup.Fleet.Instances[2];
  last.Process->signal(SIGKILL);
  last.Process->waitForExit(WaitTimeout);
  setup.Fleet.start(last);
  REQUIRE(GatewayFleet::waitForReady(last));
  CHECK(refusesInTime(setup, 2));
}
