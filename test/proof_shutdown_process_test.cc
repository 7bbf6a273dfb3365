// Process tests of guarantee P6: a graceful shutdown aborts no request in
// progress.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <list>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

struct StreamResult {
  std::string Text;
  std::string End; // "[DONE]", the data of an error event, or ""
};

StreamResult readToEnd(EventStream &Stream) {
  StreamResult result;
  StreamEvent event;
  while (Stream.next(event)) {
    if (event.Name == "error" || event.Data == "[DONE]")
      result.End = event.Data;
    else
      result.Text += parseJson(event.Data)
                         ->getArray("choices")
                         ->getObject(0)
                         ->optValue<std::string>("text", "");
  }
  return result;
}

int readyStatus(ProcessFixture &Fleet, size_t Router) {
  return send({Fleet.router(Router).OperatorAddress, "GET", "/readyz", "", {}})
      .Status;
}

void checkRefusedNow(ProcessFixture &Fleet, size_t Router) {
  HttpResponse response = send(Fleet.completion(Router, "late", 5, false));
  CHECK_MESSAGE(response.Status == 503, response.Body);
  CHECK(response.Headers.count("retry-after") == 1);
  CHECK(outcomeOf(response) == "no");
}

void checkOwnerMoves(ProcessFixture &Fleet, size_t Router) {
  for (size_t i = 0; i < Fleet.routers(); ++i)
    if (i != Router)
      CHECK(
          eventually([&] { return ownerOf(Fleet, i) != Router; }, WaitTimeout));
}

} // namespace

// Guards against streams and service calls that a shutdown aborts, and against
// an instance that accepts work or keeps its shards during the shutdown (P6).
TEST_CASE("Proof P6 completes all requests when a router gets SIGTERM") {
  FleetOptions options;
  options.ServiceFlags = {"--latency-ms", "1500"};
  for (size_t victim = 0; victim < 3; ++victim) {
    CAPTURE(victim);
    ProcessFixture fleet(options);
    std::list<EventStream> streams;
    StreamEvent event;
    for (size_t i = 0; i < 6; ++i) {
      streams.emplace_back(
          fleet.completion(i % 3, "stream " + std::to_string(i), 200, true));
      REQUIRE(streams.back().status() == 200);
    }
    std::vector<std::future<HttpResponse>> calls;
    for (size_t i = 0; i < 3; ++i)
      calls.push_back(std::async(
          std::launch::async,
          [request = fleet.call(i, "POST", "/services/bays/x", "{}")] {
            return send(request);
          }));
    REQUIRE(eventually([&] { return runningCalls(fleet) == 3; }, WaitTimeout));
    fleet.router(victim).Process->signal(SIGTERM);
    CHECK(eventually([&] { return readyStatus(fleet, victim) == 503; },
                     WaitTimeout));
    checkRefusedNow(fleet, victim);
    for (auto &it : calls)
      CHECK(it.get().Status == 200);
    int number = 0;
    for (EventStream &it : streams) {
      StreamResult end = readToEnd(it);
      CHECK(end.End == "[DONE]");
      CHECK(end.Text ==
            expectedTokens("stream " + std::to_string(number++), 200));
    }
    auto code = fleet.router(victim).Process->waitForExit(WaitTimeout);
    REQUIRE_MESSAGE(code, fleet.router(victim).Process->output());
    CHECK(*code == 0);
    checkOwnerMoves(fleet, victim);
  }
}

// Guards against a shutdown that never ends, and against one that doesn't log
// the requests that it abandoned (P6).
TEST_CASE("Proof P6 ends a shutdown at its limit and logs what it abandons") {
  FleetOptions options;
  options.ShutdownLimit = Milliseconds(1000);
  ProcessFixture fleet(options);
  EventStream stream(fleet.completion(0, "long", 4000, true));
  REQUIRE(stream.status() == 200);
  fleet.router(0).Process->signal(SIGTERM);
  StreamResult end = readToEnd(stream);
  CHECK(end.End != "[DONE]");
  CHECK_MESSAGE(end.End.find("\"kind\"") != std::string::npos, end.End);
  auto code = fleet.router(0).Process->waitForExit(WaitTimeout);
  REQUIRE_MESSAGE(code, fleet.router(0).Process->output());
  std::string log = fleet.router(0).Process->output();
  CHECK_MESSAGE(log.find("\"abandoned\": \"1\"") != std::string::npos, log);
  CHECK(eventually([&] { return fleet.heldRequests().empty(); }, WaitTimeout));
}
