// Process tests of guarantee P3: if a response says that a request was not run,
// the execution logs of the stand-ins show no execution.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <set>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

const char *const ServiceNames[] = {"s1", "s2"};

FleetOptions serviceOptions() {
  FleetOptions options;
  options.PrefillServers = 1;
  options.DecodeServers = 1;
  options.ProgressTimeout = Milliseconds(500);
  return options;
}

// Builds a call with the number in its path, which identifies it.
HttpRequest numberedCall(ProcessFixture &Fleet, size_t Router, int Number) {
  return Fleet.call(Router, "POST",
                    "/services/bays/book/" + std::to_string(Number), "{}");
}

std::map<std::string, size_t> executionsByPath(ProcessFixture &Fleet) {
  std::map<std::string, size_t> counts;
  for (const char *name : ServiceNames)
    if (auto log = Fleet.executionLog(name)) {
      auto calls = log->getArray("calls");
      for (unsigned i = 0; i < calls->size(); ++i)
        ++counts[calls->getObject(i)->getValue<std::string>("path")];
    }
  return counts;
}

// Sends calls through all routers, checks their outcomes against the
// executions, and returns the number of calls with each outcome.
std::map<std::string, size_t> checkCalls(ProcessFixture &Fleet, int First,
                                         int Count) {
  std::vector<std::future<HttpResponse>> responses;
  for (int i = 0; i < Count; ++i) {
    HttpRequest request = numberedCall(Fleet, i % Fleet.routers(), First + i);
    responses.push_back(
        std::async(std::launch::async, [request] { return send(request); }));
  }
  std::vector<std::string> outcomes;
  for (auto &it : responses)
    outcomes.push_back(outcomeOf(it.get()));
  std::map<std::string, size_t> totals;
  auto executed = executionsByPath(Fleet);
  for (int i = 0; i < Count; ++i) {
    size_t runs = executed["/book/" + std::to_string(First + i)];
    CAPTURE(outcomes[i]);
    CHECK(runs <= 1);
    if (outcomes[i] == "no")
      CHECK(runs == 0);
    if (outcomes[i] == "answered")
      CHECK(runs == 1);
    ++totals[outcomes[i]];
  }
  return totals;
}

void controlServices(ProcessFixture &Fleet, const std::string &Path) {
  for (const char *name : ServiceNames)
    Fleet.control(name, Path);
}

std::set<std::string> requestsInBooks(ProcessFixture &Fleet) {
  std::set<std::string> found;
  for (const char *name : {"p1", "d1"}) {
    auto runs = Fleet.executionLog(name)->getArray("runs");
    for (unsigned i = 0; i < runs->size(); ++i)
      found.insert(runs->getObject(i)->getValue<std::string>("request"));
  }
  return found;
}

void checkRefusedCompletion(ProcessFixture &Fleet, size_t Router) {
  HttpResponse response = send(Fleet.completion(Router, "refused", 5, false));
  REQUIRE(response.Status >= 400);
  auto problem = parseJson(response.Body);
  std::string run = problem->getValue<std::string>("run");
  bool ran = requestsInBooks(Fleet).count(
                 problem->optValue<std::string>("request", "")) > 0;
  bool wrong = run == "no" && ran;
  CHECK_MESSAGE(!wrong, response.Body);
}

bool unreachableFrom(ProcessFixture &Fleet, size_t Router, size_t Other) {
  return !Fleet.state(Router)
              ->getObject("peers")
              ->getObject(Fleet.router(Other).Name)
              ->getValue<bool>("reachable");
}

} // namespace

// Guards against "not run" for calls that a server has received, and against a
// missing "not run" when nothing was sent (P3).
TEST_CASE("Proof P3 reports service calls as not run only if none ran") {
  ProcessFixture fleet(serviceOptions());
  SUBCASE("refused before execution") {
    controlServices(fleet, "refuse?reason=full");
    CHECK(checkCalls(fleet, 0, 9)["no"] == 9);
    CHECK(executionsByPath(fleet).empty());
  }
  SUBCASE("closed before and after execution") {
    controlServices(fleet, "close?when=before&count=10");
    CHECK(checkCalls(fleet, 0, 9)["answered"] == 0);
    controlServices(fleet, "close?when=after&count=1000");
    auto totals = checkCalls(fleet, 100, 9);
    CHECK(totals["answered"] == 0);
    CHECK(executionsByPath(fleet).size() >= totals["unknown"]);
  }
  SUBCASE("timeout while running") {
    controlServices(fleet, "set?latency_ms=60000");
    auto totals = checkCalls(fleet, 0, 9);
    CHECK(totals["unknown"] == 9);
    CHECK(executionsByPath(fleet).size() == 9);
  }
  SUBCASE("one server refuses connections, the other works") {
    fleet.server("s1").Process->signal(SIGKILL);
    REQUIRE(fleet.server("s1").Process->waitForExit(WaitTimeout));
    auto totals = checkCalls(fleet, 0, 9);
    CHECK(totals["answered"] + totals["no"] == 9);
  }
  SUBCASE("all servers refuse connections") {
    for (const char *name : ServiceNames) {
      fleet.server(name).Process->signal(SIGKILL);
      REQUIRE(fleet.server(name).Process->waitForExit(WaitTimeout));
    }
    CHECK(checkCalls(fleet, 0, 9)["no"] == 9);
  }
}

// Guards against "not run" for a completion whose prefill has run (P3).
TEST_CASE("Proof P3 reports completions as not run only if none ran") {
  FleetOptions options = serviceOptions();
  options.Groups[0].FirstOutputMs = 1000;
  ProcessFixture fleet(options);
  SUBCASE("both engines refuse") {
    for (const char *name : {"p1", "d1"})
      fleet.control(name, "refuse?reason=full");
    for (size_t i = 0; i < fleet.routers(); ++i)
      checkRefusedCompletion(fleet, i);
    CHECK(requestsInBooks(fleet).empty());
  }
  SUBCASE("only the decode engine refuses") {
    fleet.control("d1", "refuse?reason=full");
    for (size_t i = 0; i < fleet.routers(); ++i)
      checkRefusedCompletion(fleet, i);
    CHECK(!requestsInBooks(fleet).empty());
  }
  SUBCASE("transfers stall") {
    for (const char *name : {"p1", "d1"})
      fleet.control(name, "link?factor=0");
    for (size_t i = 0; i < fleet.routers(); ++i)
      checkRefusedCompletion(fleet, i);
  }
}

// Guards against a router that reports "not run" and dispatches the call anyway
// after a pause, and against "answered" without an execution (P3).
TEST_CASE("Proof P3 holds for a router stopped before it dispatches") {
  ProcessFixture fleet(serviceOptions());
  fleet.router(0).Process->signal(SIGSTOP);
  std::vector<std::future<HttpResponse>> responses;
  for (int i = 0; i < 9; ++i) {
    HttpRequest request = numberedCall(fleet, 0, i);
    responses.push_back(
        std::async(std::launch::async, [request] { return send(request); }));
  }
  REQUIRE(
      eventually([&] { return unreachableFrom(fleet, 1, 0); }, WaitTimeout));
  fleet.router(0).Process->signal(SIGCONT);
  std::vector<std::string> outcomes;
  for (auto &it : responses)
    outcomes.push_back(outcomeOf(it.get()));
  auto executed = executionsByPath(fleet);
  for (int i = 0; i < 9; ++i) {
    size_t runs = executed["/book/" + std::to_string(i)];
    CAPTURE(outcomes[i]);
    CHECK(runs <= 1);
    CHECK((outcomes[i] != "no" || runs == 0));
    CHECK((outcomes[i] != "answered" || runs == 1));
  }
}
