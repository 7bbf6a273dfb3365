// Tests servers that refuse all requests of an instance for some time.
#include "announcing_server.h"
#include "fleet_load.h"
#include "gateway/decisions/server_registry.h"
#include "gateway_fixture.h"
#include "virtual_time.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <thread>

using namespace crocusspur::gateway;
using crocusspur::Milliseconds;
using crocusspur::TimePoint;
using crocusspur::test::AnnouncingServer;
using crocusspur::test::at;
using crocusspur::test::Start;

namespace {

using Clock = std::chrono::steady_clock;

// The platform's bound: a rest holds from this long after the refusal, and this
// many requests may come nevertheless.
constexpr Milliseconds RefusalMargin{500};
constexpr size_t AllowedRequests = 2;

crocusspur::gateway::ServerEntry entryOf(const std::string &Id,
                                         int64_t StartedAt = 1) {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = Id;
  entry.Service = "bays";
  entry.Address = "10.0.0.1:80";
  entry.StartedAt = StartedAt;
  return entry;
}

const ServerQuery AnyServer{"bays", ServerStage::Whole, {}, {}};

bool isChosen(ServerRegistry &Registry, TimePoint Now) {
  return Registry.choose(AnyServer, Now).has_value();
}

std::string refusalFor(const std::string &Time) {
  std::string response = refusal();
  return response.insert(response.find("\r\n") + 2,
                         "Retry-After: " + Time + "\r\n");
}

double retryAfter(const std::string &Response) {
  std::string text = headerField(Response, "Retry-After");
  return text.empty() ? -1 : std::stod(text);
}

} // namespace

TEST_CASE("A resting server gets no request until its time has passed") {
  ServerRegistry registry("hall-a", 7);
  registry.apply(entryOf("s1"), Start);
  registry.rest(processOf(entryOf("s1")), Milliseconds(4000), Start);
  CHECK_FALSE(isChosen(registry, at(3999)));
  CHECK(isChosen(registry, at(5001)));
  CHECK(registry.restingUntil(AnyServer, at(1)).value() >= at(4000));
  CHECK_FALSE(registry.restingUntil(AnyServer, at(5001)).has_value());
}

TEST_CASE("No server rests for longer than a minute at a time") {
  ServerRegistry registry("hall-a", 7);
  registry.apply(entryOf("s1"), Start);
  registry.rest(processOf(entryOf("s1")), Milliseconds(86400000), Start);
  CHECK(isChosen(registry, at(75001)));
}

TEST_CASE("A rest ends with its process") {
  ServerRegistry registry("hall-a", 7);
  registry.apply(entryOf("s1"), Start);
  registry.rest(processOf(entryOf("s1")), Milliseconds(4000), Start);
  registry.apply(entryOf("s1", 2), at(100));
  CHECK(isChosen(registry, at(100)));
  registry.rest(processOf(entryOf("s1")), Milliseconds(4000), at(200));
  CHECK(isChosen(registry, at(200)));
}

TEST_CASE("A time that isn't a number of seconds is no rest") {
  struct Case {
    const char *Text;
    int Milliseconds; // -1: no rest
  };
  const Case cases[] = {{"4", 4000},
                        {"1.5", 1500},
                        {"0", 0},
                        {"-1", -1},
                        {"x", -1},
                        {"", -1},
                        {"nan", -1},
                        {"31536000", 86400000},
                        {"Fri, 04 Dec 2026 12:00:00 GMT", -1}};
  HttpCodec codec = crocusspur::platform::makeHttpCodec();
  for (const Case &it : cases) {
    CAPTURE(it.Text);
    crocusspur::internal::HttpHead head;
    head.Status = 503;
    head.Fields = {{"Retry-After", it.Text}};
    auto time = codec.ParseResponseHead(head).RetryAfter;
    CHECK(time.value_or(Milliseconds(-1)) == Milliseconds(it.Milliseconds));
    head.Status = 200;
    CHECK_FALSE(codec.ParseResponseHead(head).RetryAfter.has_value());
  }
}

TEST_CASE("Requests go to other servers while one rests") {
  GatewayFixture setup;
  FakeServer resting([](const std::string &, int) { return refusalFor("9"); });
  FakeServer other(
      [](const std::string &, int) { return signedResponse(200, "ok"); });
  setup.addServer("s1", resting);
  setup.addServer("s2", other);
  for (int i = 0; i < 10; ++i)
    CHECK(setup.run(setup.route(RouteKind::Idempotent)).find("200") !=
          std::string::npos);
  CHECK(resting.requests().size() <= 1);
}

// Its caller returns when a server takes requests again.
TEST_CASE("A request is refused at once with the least rest of all servers") {
  GatewayFixture setup;
  FakeServer longer([](const std::string &, int) { return refusalFor("30"); });
  FakeServer shorter([](const std::string &, int) { return refusalFor("5"); });
  setup.addServer("s1", longer);
  setup.addServer("s2", shorter);
  for (int i = 0; i < 2; ++i) { // the first one is refused by both
    TimePoint from = Clock::now();
    std::string response = setup.run(setup.route(RouteKind::Idempotent));
    CHECK(Clock::now() - from < Milliseconds(300));
    CHECK(retryAfter(response) >= 4.5);
    CHECK(retryAfter(response) <= 13);
  }
}

TEST_CASE("A request waits for a rest after which it is still on time") {
  GatewayFixture setup;
  FakeServer server([](const std::string &, int Number) {
    return Number == 0 ? refusalFor("0.3") : signedResponse(200, "ok");
  });
  setup.addServer("s1", server);
  setup.run(setup.route(RouteKind::Idempotent));
  CHECK(setup.run(setup.route(RouteKind::Idempotent)).find("200") !=
        std::string::npos);
}

TEST_CASE("A stream is refused at once if its decode servers rest for long") {
  GatewayFixture setup;
  FakeServer decode([](const std::string &, int) { return refusalFor("30"); });
  setup.addServer("d1", decode, ServerStage::Decode);
  setup.run(setup.route(RouteKind::Stream));
  TimePoint from = Clock::now();
  std::string response = setup.run(setup.route(RouteKind::Stream));
  CHECK(Clock::now() - from < Milliseconds(300));
  CHECK(retryAfter(response) >= 25);
  CHECK(decode.requests().size() == 1);
}

TEST_CASE("A server that refuses with a time gets two requests in it at most") {
  crocusspur::test::GatewayFleet fleet(4);
  std::array<AnnouncingServer, 3> servers;
  for (size_t i = 0; i < servers.size(); ++i)
    fleet.addServer("s" + std::to_string(i + 1), servers[i].server());
  // A refused request goes on to another server.
  std::string config = crocusspur::test::configOf(2, "/x/");
  const std::string attempts = "\"max-attempts\":";
  config.replace(config.find(attempts) + attempts.size(), 1, "2");
  fleet.Store.put("op/config", config);
  fleet.startAll();
  crocusspur::test::FleetLoad load(fleet, crocusspur::test::allInstances(4));
  std::this_thread::sleep_for(Milliseconds(500));
  servers[0].refuseWith("4");
  TimePoint from = Clock::now();
  std::this_thread::sleep_for(Milliseconds(3900));
  auto arrivals = servers[0].arrivalsSince(from);
  std::map<std::string, std::vector<TimePoint>> byInstance;
  for (const auto &it : arrivals)
    byInstance[it.RequestId.substr(0, it.RequestId.find('-'))].push_back(it.At);
  for (const auto &it : byInstance) {
    CAPTURE(it.first);
    TimePoint from = it.second.front() + RefusalMargin;
    auto late = std::ranges::count_if(it.second,
                                      [&](TimePoint It) { return It > from; });
    CHECK(static_cast<size_t>(late) <= AllowedRequests);
  }
  servers[0].acceptAgain();
  std::this_thread::sleep_for(Milliseconds(2500));
  CHECK(servers[0].arrivalsSince(from + Milliseconds(4500)).size() > 5);
  load.stop();
  CHECK(load.refused() + load.lost() == 0);
}
