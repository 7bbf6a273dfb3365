// Tests how instances divide a server's limit, with a fleet in this process
// whose exchanges can fail.
#include "gateway/server_limits.h"
#include "gateway_fixture.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

using Clock = std::chrono::steady_clock;

constexpr Milliseconds NoDelay{0};
// For which an owner that didn't respond isn't asked again.
constexpr Milliseconds SilentOwnerPause{1000};

// Instances of which the first owns all limits.
struct SharingFleet {
  explicit SharingFleet(size_t Count) {
    for (size_t i = 0; i < Count; ++i) {
      std::string name = "g" + std::to_string(i);
      Limits.push_back(std::make_unique<ServerLimits>(name));
      Limits.back()->setSharing(
          {[this, i](const std::string &) {
             return KeyOwner{"g0", i == 0 ? "" : "g0:1", OwnerKnown};
           },
           [Count] { return static_cast<uint32_t>(Count); },
           [this](const std::string &,
                  const PermitRequest &Request) -> std::optional<PaceDecision> {
             ++Asked;
             AskedAt.push_back(Clock::now());
             LastRequest = Request;
             if (OwnerSilent)
               return std::nullopt;
             return Limits[0]->decide(Request);
           }});
    }
  }

  void state(size_t Instance, double PerSecond) {
    Limits[Instance]->onResponse("s1", {PerSecond}, Clock::now());
  }

  std::vector<std::unique_ptr<ServerLimits>> Limits;
  bool OwnerSilent = false;
  bool OwnerKnown = true;
  int Asked = 0;
  std::vector<TimePoint> AskedAt;
  PermitRequest LastRequest;
};

} // namespace

TEST_CASE("Calls to servers without a limit are granted without an exchange") {
  SharingFleet fleet(2);
  for (int i = 0; i < 100; ++i)
    CHECK(fleet.Limits[1]->acquire("s1", 1, NoDelay).Granted);
  fleet.state(1, 1);
  CHECK(fleet.Limits[1]->acquire("s2", 1, NoDelay).Granted);
  CHECK(fleet.Asked == 0);
}

TEST_CASE("The owner learns a limit with the request for a permit") {
  SharingFleet fleet(2);
  fleet.state(1, 5);
  CHECK_FALSE(fleet.Limits[0]->find("s1").has_value());
  CHECK(fleet.Limits[1]->acquire("s1", 1, NoDelay).Granted);
  REQUIRE(fleet.Limits[0]->find("s1").has_value());
  CHECK(fleet.Limits[0]->find("s1")->Source == "g1");
}

TEST_CASE("All instances together get the permits of one limit") {
  SharingFleet fleet(8);
  int granted = 0;
  for (size_t i = 0; i < 8; ++i) {
    fleet.state(i, 1);
    granted += fleet.Limits[i]->acquire("s1", 1, NoDelay).Granted;
  }
  CHECK(granted == 1);
}

TEST_CASE("A denied instance doesn't ask again before a call can be free") {
  SharingFleet fleet(2);
  fleet.state(1, 1);
  REQUIRE(fleet.Limits[1]->acquire("s1", 1, NoDelay).Granted);
  REQUIRE_FALSE(fleet.Limits[1]->acquire("s1", 1, NoDelay).Granted);
  int asked = fleet.Asked;
  CallPermit permit = fleet.Limits[1]->acquire("s1", 1, Milliseconds(100));
  CHECK_FALSE(permit.Granted);
  CHECK(permit.Delay > Milliseconds(1000)); // half of the rate at first
  CHECK(permit.DecidedBy == "g0");
  REQUIRE(permit.Limit.has_value());
  CHECK(permit.Limit->PerSecond == 1);
  CHECK(fleet.Asked == asked);
}

// The own share of each instance begins with a pause, so that instances that
// lose the owner together don't all send at once.
TEST_CASE("Without the owner an instance uses its own share") {
  for (bool known : {true, false}) {
    CAPTURE(known);
    SharingFleet fleet(4);
    fleet.OwnerSilent = true;
    fleet.OwnerKnown = known;
    fleet.state(1, 40);
    TimePoint start = Clock::now();
    int granted = 0;
    while (Clock::now() < start + Milliseconds(1000))
      granted += fleet.Limits[1]->acquire("s1", 1, NoDelay).Granted;
    CHECK(granted >= 4);
    CHECK(granted <= 11);
    // The loop may end late, and its last call then asks once more.
    for (size_t i = 1; i < fleet.AskedAt.size(); ++i)
      CHECK(fleet.AskedAt[i] - fleet.AskedAt[i - 1] >= SilentOwnerPause);
    CHECK(fleet.Asked <= (known ? 2 : 0));
    CHECK(fleet.Limits[1]->counters().OwnShare > 0);
  }
}

TEST_CASE("Calls without a permit and returned permits reach the owner") {
  SharingFleet fleet(2);
  fleet.state(1, 5);
  fleet.Limits[1]->onUnpermittedCall("s1");
  fleet.Limits[1]->onUnpermittedCall("s1");
  fleet.Limits[1]->onUnpermittedCall("s2"); // has no limit
  fleet.Limits[1]->release("s1", 1);
  fleet.Limits[1]->acquire("s1", 1, NoDelay);
  CHECK(fleet.LastRequest.Charged == 1);
  CHECK(fleet.Limits[1]->counters().Unpermitted == 2);
}

TEST_CASE("A lifted limit binds no instance that has learnt of it") {
  SharingFleet fleet(2);
  fleet.state(1, 0);
  fleet.Limits[1]->onResponse("s1", {}, Clock::now());
  for (int i = 0; i < 10; ++i)
    CHECK(fleet.Limits[1]->acquire("s1", 1, NoDelay).Granted);
  CHECK(fleet.Asked == 0);
}

TEST_CASE("Changes of limits are announced, repeated statements aren't") {
  ServerLimits limits("g1");
  int changes = 0;
  limits.setChangeListener([&] { ++changes; });
  limits.onResponse("s1", {2}, Clock::now());
  limits.onResponse("s1", {2}, Clock::now());
  CHECK(changes == 1);
  limits.merge({{"s2", 3, Milliseconds(0), "g2"}}, "g2");
  CHECK(changes == 2);
  limits.onResponse("s1", {}, Clock::now());
  CHECK(changes == 3);
  CHECK(limits.active().size() == 1);
  CHECK(limits.known().size() == 2);
}

namespace {

std::string limited(const std::string &Limit,
                    const std::string &Response = signedResponse(200, "x")) {
  std::string text = Response;
  text.insert(text.find("\r\n") + 2, "Server-Limit: " + Limit + "\r\n");
  return text;
}

} // namespace

TEST_CASE("A request is refused at once if no server has a permit in time") {
  for (RouteKind kind :
       {RouteKind::NonIdempotent, RouteKind::Idempotent, RouteKind::Stream}) {
    CAPTURE(static_cast<int>(kind));
    GatewayFixture setup;
    FakeServer server(
        [](const std::string &, int) { return signedResponse(200, "x"); });
    setup.addServer("s1", server,
                    kind == RouteKind::Stream ? ServerStage::Decode
                                              : ServerStage::Whole);
    setup.Limits.onResponse("s1", {0.25}, Clock::now());
    setup.Limits.acquire("s1", 1, NoDelay);
    TimePoint start = Clock::now();
    std::string response = setup.run(setup.route(kind));
    CHECK(Clock::now() - start < Milliseconds(500));
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("\"run\":\"no\"") != std::string::npos);
    CHECK(response.find("request limits") != std::string::npos);
    // Not before a call can be free, in eight seconds at first.
    size_t n = response.find("Retry-After: ");
    REQUIRE(n != std::string::npos);
    double retryAfter = std::stod(response.substr(n + 13));
    CHECK(retryAfter > 7);
    CHECK(retryAfter <= 16);
    CHECK(server.requests().empty());
  }
}

TEST_CASE("A request waits for a permit if it can still be on time") {
  GatewayFixture setup;
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "x"); });
  setup.addServer("s1", server);
  setup.Limits.onResponse("s1", {10}, Clock::now()); // half of it at first
  setup.Limits.acquire("s1", 1, NoDelay);
  TimePoint start = Clock::now();
  CHECK(setup.run(setup.route(RouteKind::NonIdempotent))
            .starts_with("HTTP/1.1 200"));
  CHECK(Clock::now() - start >= Milliseconds(150));
}

TEST_CASE("A less urgent request waits for less than an urgent one") {
  GatewayFixture setup;
  FakeServer server(
      [](const std::string &, int) { return signedResponse(200, "x"); });
  setup.addServer("s1", server);
  PathRoute route = setup.route(RouteKind::NonIdempotent);
  route.LatencyTarget = Milliseconds(300);
  for (uint32_t priority : {1, 0}) {
    setup.Limits.onResponse("s1", {10}, Clock::now());
    while (setup.Limits.acquire("s1", 1, NoDelay).Granted) {
    }
    route.Priority = priority;
    CHECK(setup.run(route).starts_with(priority == 0 ? "HTTP/1.1 200"
                                                     : "HTTP/1.1 503"));
  }
}

TEST_CASE("Other servers take the requests of one that is at its limit") {
  GatewayFixture setup;
  FakeServer slow([](const std::string &, int) { return limited("0"); });
  FakeServer other(
      [](const std::string &, int) { return signedResponse(200, "x"); });
  setup.addServer("s1", slow);
  setup.addServer("s2", other);
  for (int i = 0; i < 40; ++i)
    CHECK(setup.run(setup.route(RouteKind::NonIdempotent))
              .starts_with("HTTP/1.1 200"));
  CHECK(slow.requests().size() <= 2);
  CHECK(setup.Limits.counters().Denied > 0);
}

TEST_CASE("A server's limit comes with every kind of its responses") {
  for (const std::string &response :
       {signedResponse(200, "x"), signedResponse(500, "x"), refusal(503),
        refusal(429)}) {
    CAPTURE(response);
    GatewayFixture setup;
    FakeServer server(
        [&](const std::string &, int) { return limited("3", response); });
    setup.addServer("s1", server);
    setup.run(setup.route(RouteKind::NonIdempotent));
    REQUIRE(setup.Limits.find("s1").has_value());
    CHECK(setup.Limits.find("s1")->PerSecond == 3);
  }
}

TEST_CASE("A malformed limit stops no request") {
  GatewayFixture setup;
  FakeServer server(
      [](const std::string &, int) { return limited(std::string(400, '9')); });
  setup.addServer("s1", server);
  for (int i = 0; i < 5; ++i)
    CHECK(setup.run(setup.route(RouteKind::NonIdempotent))
              .starts_with("HTTP/1.1 200"));
  CHECK(setup.Limits.active().empty());
}

// A retry at a server that is at its limit would break it.
TEST_CASE("A retry goes to no server that is at its limit") {
  GatewayFixture setup;
  FakeServer failing(
      [](const std::string &, int) { return signedResponse(500, "error"); });
  FakeServer limitedServer(
      [](const std::string &, int) { return signedResponse(200, "x"); });
  setup.addServer("s1", failing);
  setup.addServer("s2", limitedServer);
  setup.Limits.onResponse("s2", {0.25}, Clock::now());
  setup.Limits.acquire("s2", 1, NoDelay);
  CHECK(setup.run(setup.route(RouteKind::Idempotent))
            .starts_with("HTTP/1.1 500"));
  CHECK(limitedServer.requests().empty());
}

// Both calls to a decode server are permitted before a prompt is read for it.
TEST_CASE("No prompt is read for a decode server that is at its limit") {
  GatewayFixture setup;
  auto reply = [](const std::string &Request, int) {
    if (Request.starts_with("POST /api/hold-take"))
      return httpResponse(200, "{\"retention\":\"r1\"}");
    return signedResponse(200, "id: 1\n\n");
  };
  FakeServer prefill(reply);
  FakeServer decode(reply);
  setup.addServer("p1", prefill, ServerStage::Prefill);
  setup.addServer("d1", decode, ServerStage::Decode);
  setup.Limits.onResponse("d1", {0.25}, Clock::now());
  setup.Limits.acquire("d1", 1, NoDelay);
  CHECK(setup.run(setup.route(RouteKind::Stream)).starts_with("HTTP/1.1 503"));
  CHECK(prefill.requests().empty());
  CHECK(decode.requests().empty());
}
