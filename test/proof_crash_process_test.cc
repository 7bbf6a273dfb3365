// Process tests of guarantee P8: a request that crashes engines is refused
// after the second crash at the latest, and requests that run concurrently
// succeed.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <doctest/doctest.h>
#include <future>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

const char *const EngineNames[] = {"p1", "p2", "p3", "d1", "d2", "d3"};

void enableCrash(ProcessFixture &Fleet, const std::string &Server) {
  Fleet.control(Server, "crash?text=deadly");
}

// Restarts the engines that have crashed and returns their number.
int restartCrashed(ProcessFixture &Fleet) {
  int crashed = 0;
  for (const char *it : EngineNames)
    if (!Fleet.executionLog(it)) {
      ++crashed;
      Fleet.restartServer(it);
      enableCrash(Fleet, it);
    }
  return crashed;
}

} // namespace

// Guards against a fingerprint that isn't shared beyond the entry instance that
// saw the crash, and against refusing requests that ran during the crash (P8).
TEST_CASE("Proof P8 refuses a crashing request everywhere and no other") {
  FleetOptions options;
  options.PrefillServers = 3;
  ProcessFixture fleet(options);
  for (const char *it : EngineNames)
    enableCrash(fleet, it);
  int crashes = 0;
  for (size_t attempt = 0; attempt < 6; ++attempt) {
    CAPTURE(attempt);
    std::vector<std::future<HttpResponse>> concurrent;
    for (size_t i = 0; i < 6; ++i)
      concurrent.push_back(std::async(
          std::launch::async,
          [request = fleet.completion(
               i % 3, "beside " + std::to_string(attempt * 6 + i), 60, false)] {
            return send(request);
          }));
    REQUIRE(
        eventually([&] { return !fleet.heldRequests().empty(); }, WaitTimeout));
    HttpResponse response =
        send(fleet.completion(attempt % 3, "[[deadly]]", 5, false));
    CHECK(response.Status >= 400);
    for (auto &it : concurrent) {
      HttpResponse other = it.get();
      CHECK_MESSAGE(other.Status == 200, other.Body);
    }
    crashes += restartCrashed(fleet);
    if (crashes >= 2 && attempt >= 2)
      CHECK_MESSAGE(response.Status == 422, response.Body);
  }
  MESSAGE(crashes << " crashes");
  CHECK(crashes >= 1);
  CHECK(crashes <= 2);
}
