#include "gateway/decisions/plain_queue.h"
#include "gateway/decisions/server_fullness.h"
#include "gateway_fixture.h"
#include "virtual_time.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;

namespace {

PlainEntry entryOf(uint32_t Priority, int64_t OnTimeMs) {
  return {Priority, at(OnTimeMs), at(OnTimeMs - 60)};
}

} // namespace

// Guards against a less urgent request that takes the slot of a more urgent
// one, and against all waiting requests being sent into the first free slot.
TEST_CASE("Plain requests wait in order of rank and deadline") {
  PlainQueue queue;
  queue.onRefused();
  uint64_t low = *queue.join(entryOf(2, 300), at(0));
  uint64_t late = *queue.join(entryOf(1, 300), at(0));
  uint64_t soon = *queue.join(entryOf(1, 200), at(0));
  CHECK_FALSE(queue.trySend(low, at(1)));
  CHECK_FALSE(queue.trySend(late, at(1)));
  CHECK(queue.trySend(soon, at(1)));
  CHECK_FALSE(queue.trySend(late, at(2)));
  CHECK(queue.trySend(late, at(30)));
  CHECK(queue.trySend(low, at(60)));
}

// Guards against requests that wait although those ahead make them late.
TEST_CASE("A plain request that can't be on time doesn't wait") {
  PlainQueue queue;
  for (int i = 0; i < 3; ++i) // the interval is 100 ms
    queue.onRefused();
  REQUIRE(queue.join(entryOf(1, 300), at(0)));
  REQUIRE(queue.join(entryOf(1, 300), at(0)));
  REQUIRE(queue.join(entryOf(1, 300), at(0)));
  CHECK_FALSE(queue.join(entryOf(1, 300), at(0)));
  CHECK(queue.join(entryOf(0, 300), at(0))); // goes before them
  CHECK(queue.drainTime() == Milliseconds(500));
}

TEST_CASE("Retry delays of plain requests are spread within a third") {
  CHECK(plainRetryAfter(Milliseconds(0), Milliseconds(3000), 0) ==
        Milliseconds(300));
  for (double draw : {0.0, 0.5, 0.99})
    CHECK(plainRetryAfter(Milliseconds(9000), Milliseconds(3000), draw) <=
          Milliseconds(1000));
}

// Guards against waiting on old evidence, and against sends to a server whose
// latest report shows as many requests as when it refused one.
TEST_CASE("A server looks full from refusals, reports and own calls") {
  ServerFullness server;
  server.onReport(40, at(0));
  CHECK_FALSE(server.isFull(39, at(0))); // its limit isn't known
  server.onReport(30, at(10));
  server.onRefused(at(10));
  CHECK(server.isFull(0, at(30)));
  CHECK(server.isFull(0, at(100)));
  CHECK_FALSE(server.isFull(0, at(120)));
  CHECK(server.isFull(30, at(120)));
  server.onReport(29, at(130));
  CHECK_FALSE(server.isFull(29, at(130)));
  server.onReport(31, at(140));
  CHECK(server.isFull(0, at(200)));
}

// Guards against a refusal to the caller although a slot becomes free while
// the response can still be on time.
TEST_CASE(
    "A plain request refused by full servers is sent once there is room") {
  GatewayFixture gateway;
  std::atomic<int> calls{0};
  auto full = [&](const std::string &, int) {
    return ++calls <= 3 ? refusal() : signedResponse(200, "paid");
  };
  FakeServer first(full);
  FakeServer second(full);
  gateway.addServer("s1", first);
  gateway.addServer("s2", second);
  PathRoute route = gateway.route(RouteKind::NonIdempotent);
  SUBCASE("within the retry budget") {
    CHECK(gateway.run(route).ends_with("paid"));
    CHECK(calls == 4);
  }
  SUBCASE("not beyond it") {
    gateway.Directory.setRetryAllowance({0, 0});
    std::string response = gateway.run(route);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("\"run\":\"no\"") != std::string::npos);
    CHECK(response.find("Retry-After: ") != std::string::npos);
    CHECK(calls == 1);
  }
}

// Guards against a wait that lasts until the caller's deadline.
TEST_CASE("A plain request leaves full servers when it can't be on time") {
  GatewayFixture gateway;
  FakeServer server([](const std::string &, int) { return refusal(); });
  gateway.addServer("s1", server);
  PathRoute route = gateway.route(RouteKind::NonIdempotent);
  route.LatencyTarget = Milliseconds(200);
  std::string response = gateway.run(route);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(response.find("all servers are full") != std::string::npos);
  CHECK(server.requests().size() >= 2);
  CHECK(server.requests().size() <= 6);
}
