// Requests that reach a gateway process late in its shutdown, on connections
// that callers have kept open.
#include "gateway_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using crocusspur::test::configOf;
using crocusspur::test::GatewayFleet;
using crocusspur::test::WaitTimeout;

namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds WorkTime{1300};
constexpr Milliseconds GraceTime{8000};
// Before an instance without requests closes.
constexpr Milliseconds FirstSend{1000};
constexpr Milliseconds SendPeriod{130}; // keeps the two servers' slots free

constexpr int RequestCount = 43;

constexpr const char *Config =
    R"({"version":2,"routes":[{"name":"r","host":"a.example",)"
    R"("path-prefix":"/x/","type":"non_idempotent","timeout-ms":1500,)"
    R"("latency-target-ms":300,"priority":1,"service":"bays",)"
    R"("max-attempts":1}],"services":[{"name":"bays","max-conns":200}]})";

void sendRequest(int Fd, const std::string &Id) {
  sendText(Fd, "GET /x/" + Id + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " +
                   Id + "\r\nDeadline-Ms: 3000\r\n\r\n");
}

} // namespace

// The instance took requests that lasted longer than itself, and exited with
// time left before SIGKILL.
TEST_CASE("A request taken late in a shutdown is answered before the exit") {
  auto respond = [](const std::string &Request, int) {
    std::string id = headerField(Request, "Attempt-Id");
    if (id.starts_with("late"))
      std::this_thread::sleep_for(WorkTime);
    return signedResponse(200, "bay 7", id);
  };
  FakeServer first(respond);
  FakeServer second(respond);
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", Config);
  fleet.addServer("s1", first);
  fleet.addServer("s2", second);
  fleet.startAll();
  test::GatewayInstance &gateway = fleet.Instances[0];
  std::vector<int> kept;
  for (int i = 0; i < RequestCount; ++i) {
    kept.push_back(test::connectTo(gateway.Callers));
    REQUIRE(kept.back() >= 0);
    sendRequest(kept.back(), "early" + std::to_string(i));
    readUntil(kept.back(), "bay 7");
  }
  gateway.Process->signal(SIGTERM);
  std::vector<std::string> responses(kept.size());
  std::vector<Milliseconds> taken(kept.size());
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kept.size(); ++i) {
    callers.emplace_back([&, i] {
      std::this_thread::sleep_for(FirstSend + SendPeriod * static_cast<int>(i));
      TimePoint sentAt = Clock::now();
      sendRequest(kept[i], "late" + std::to_string(i));
      responses[i] = readAll(kept[i]);
      taken[i] =
          std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt);
    });
  }
  for (std::thread &it : callers)
    it.join();
  size_t served = 0;
  for (size_t i = 0; i < kept.size(); ++i) {
    std::string id = "late" + std::to_string(i);
    std::string line = "GET /x/" + id + " ";
    size_t runs = first.count(line) + second.count(line);
    CAPTURE(id);
    CAPTURE(taken[i].count());
    CAPTURE(responses[i].substr(0, responses[i].find('\r')));
    // One that crosses the close of an idle connection isn't passed on.
    CHECK(runs == (responses[i].starts_with("HTTP/1.1 200") ? 1 : 0));
    served += runs;
    ::close(kept[i]);
  }
  CHECK(served > 0);
  CHECK(gateway.Process->waitForExit(WaitTimeout) == 0);
}

// Callers of requests that lasted until the exit found their connections closed
// without an answer.
TEST_CASE("A request that lasts until the exit gets an answer") {
  FakeServer server([](const std::string &Request, int) {
    std::string id = headerField(Request, "Attempt-Id");
    if (id.starts_with("long"))
      std::this_thread::sleep_for(GraceTime);
    return signedResponse(200, "bay 7", id);
  });
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", configOf(2, "/x/"));
  fleet.addServer("s1", server);
  fleet.startAll();
  test::GatewayInstance &gateway = fleet.Instances[0];
  gateway.Process->signal(SIGTERM);
  int fd = test::connectTo(gateway.Callers);
  REQUIRE(fd >= 0);
  sendText(fd, "GET /x/long HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: long\r\n"
               "Deadline-Ms: 20000\r\n\r\n");
  std::string response = readAll(fd);
  ::close(fd);
  CHECK(server.count("GET /x/long ") == 1);
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(response.find("\"run\":\"unknown\"") != std::string::npos);
  CHECK(gateway.Process->waitForExit(WaitTimeout) == 0);
}
