// Process tests of guarantee P2: every request gets at most one response, and
// each caller gets the complete response to its own request.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <list>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

std::string completionText(const HttpResponse &Response) {
  return parseJson(Response.Body)
      ->getArray("choices")
      ->getObject(0)
      ->getValue<std::string>("text");
}

std::future<HttpResponse> sendLater(const HttpRequest &Request) {
  return std::async(std::launch::async, [Request] { return send(Request); });
}

} // namespace

// Guards against responses that reach another caller, or that mix two
// responses, when many callers wait at the same time (P2).
TEST_CASE("Proof P2 sends each of many concurrent callers its own response") {
  FleetOptions options;
  options.Groups[0].FirstOutputMs = 30000;
  options.Groups[0].MayWait = true;
  ProcessFixture fleet(options);
  std::vector<std::future<HttpResponse>> responses;
  auto promptOf = [](size_t Number) {
    return "own prompt " + std::to_string(Number);
  };
  for (size_t i = 0; i < 60; ++i)
    responses.push_back(
        sendLater(fleet.completion(i % 3, promptOf(i), 30, false)));
  for (size_t i = 0; i < responses.size(); ++i) {
    HttpResponse response = responses[i].get();
    REQUIRE_MESSAGE(response.Status == 200, response.Body);
    CHECK(completionText(response) == expectedTokens(promptOf(i), 30));
  }
}

// Guards against responses to one key that differ or are mixed (P2).
TEST_CASE("Proof P2 responds consistently to one key at three entries") {
  ProcessFixture fleet;
  for (size_t i = 0; i < fleet.routers(); ++i)
    REQUIRE(fleet.waitForKeyHome(i));
  for (int round = 0; round < 5; ++round) {
    std::string key = timedKey();
    std::vector<std::future<HttpResponse>> responses;
    for (size_t entry : {0, 1, 2}) {
      HttpRequest request = fleet.completion(entry, "same", 20, false);
      request.Headers["Idempotency-Key"] = key;
      responses.push_back(sendLater(request));
    }
    int complete = 0;
    for (auto &it : responses) {
      HttpResponse response = it.get();
      if (response.Status == 200) {
        ++complete;
        CHECK(completionText(response) == expectedTokens("same", 20));
      } else {
        CHECK_MESSAGE(response.Status == 409, response.Body);
      }
    }
    CHECK(complete >= 1);
  }
}

// Guards against a stream that ends as if it were complete when no engine is
// left to continue it (P2).
TEST_CASE("Proof P2 ends a stream that can't be completed with an error") {
  ProcessFixture fleet;
  std::list<EventStream> streams;
  StreamEvent event;
  for (size_t i = 0; i < 3; ++i) {
    streams.emplace_back(fleet.completion(i, "broken", 4000, true));
    REQUIRE(streams.back().next(event));
  }
  for (const char *name : {"d1", "d2", "d3", "p1", "p2"})
    fleet.server(name).Process->signal(SIGKILL);
  for (EventStream &it : streams) {
    std::string last;
    std::string name;
    while (it.next(event)) {
      CHECK(event.Data != "[DONE]");
      last = event.Data;
      name = event.Name;
    }
    CHECK_MESSAGE(name == "error", last);
  }
}
