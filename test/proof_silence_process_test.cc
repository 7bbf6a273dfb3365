// Process tests of guarantee P9: connections that go silent are detected and
// replaced.
#include "proof_support.h"

#include <Poco/JSON/Array.h>
#include <doctest/doctest.h>
#include <future>
#include <list>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

std::string readAll(EventStream &Stream, std::string &End) {
  std::string text;
  StreamEvent event;
  while (Stream.next(event)) {
    if (event.Name == "error" || event.Data == "[DONE]")
      End = event.Data;
    else
      text += parseJson(event.Data)
                  ->getArray("choices")
                  ->getObject(0)
                  ->optValue<std::string>("text", "");
  }
  return text;
}

} // namespace

// Guards against a second dispatch of a call whose connection went silent (P9).
TEST_CASE("Proof P9 retries no call whose connection goes silent") {
  FleetOptions options;
  options.ProgressTimeout = Milliseconds(500);
  options.ServiceFlags = {"--latency-ms", "300"};
  ProcessFixture fleet(options);
  std::vector<std::future<HttpResponse>> calls;
  for (size_t i = 0; i < 6; ++i)
    calls.push_back(std::async(
        std::launch::async,
        [request = fleet.call(i % 3, "POST", "/services/bays/x", "{}")] {
          return send(request);
        }));
  REQUIRE(eventually([&] { return runningCalls(fleet) == 6; }, WaitTimeout));
  for (const char *name : {"s1", "s2"})
    fleet.control(name, "silence");
  for (auto &it : calls)
    CHECK(outcomeOf(it.get()) == "unknown");
  CHECK(executions(fleet, "") == 6);
  // New connections work.
  for (size_t i = 0; i < 3; ++i)
    CHECK(send(fleet.call(i, "POST", "/services/bays/x", "{}")).Status == 200);
  CHECK(executions(fleet, "") == 9);
}

// Guards against peer links that stay silent forever, and against streams that
// break because their owner's link is replaced (P9).
TEST_CASE("Proof P9 replaces silent peer links and completes all streams") {
  FleetOptions options;
  options.ProxyPeers = true;
  ProcessFixture fleet(options);
  PeerProxy &peerProxy = fleet.peerProxy();
  REQUIRE(eventually([&] { return peerProxy.countOpenLinks("e1") == 2; },
                     WaitTimeout));
  std::list<EventStream> streams;
  for (size_t i = 0; i < 6; ++i)
    streams.emplace_back(
        fleet.completion(i % 3, "s" + std::to_string(i), 300, true));
  for (const char *name : {"e1", "e2", "e3"})
    peerProxy.silenceOpenLinks(name);
  REQUIRE(peerProxy.countOpenLinks("e1") == 0);
  CHECK(eventually([&] { return peerProxy.countOpenLinks("e1") == 2; },
                   WaitTimeout));
  int number = 0;
  for (EventStream &it : streams) {
    std::string end;
    std::string text = readAll(it, end);
    CHECK(end == "[DONE]");
    CHECK(text == expectedTokens("s" + std::to_string(number++), 300));
  }
  for (size_t i = 0; i < 3; ++i)
    CHECK(send(fleet.completion(i, "after", 5, false)).Status == 200);
}
