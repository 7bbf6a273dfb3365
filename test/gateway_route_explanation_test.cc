// Explanations of where a request would be routed now.
#include "child_process.h"
#include "gateway/decisions/routing/route_explanation.h"
#include "gateway/route_report.h"
#include "gateway_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

const TimePoint Now = TimePoint() + std::chrono::hours(1);

gateway::ServerEntry serverOf(const std::string &Service, int Number,
                              ServerStage Stage) {
  gateway::ServerEntry entry;
  entry.Service = Service;
  entry.Id = Service + std::to_string(Number);
  entry.Address = "10.0.0." + std::to_string(Number) + ":80";
  entry.FailureDomain = Number % 2 == 0 ? "hall-a" : "hall-b";
  entry.Slots = 6;
  entry.Stage = Stage;
  return entry;
}

// Routes /plain/ to four servers, and /sum/ to two prefill and four decode
// servers.
struct Routing {
  Routing() {
    auto document = std::make_shared<RouteDocument>();
    document->Version = 7;
    PathRoute route;
    route.Host = "a.example";
    route.Timeout = Milliseconds(14000);
    route.LatencyTarget = Milliseconds(900);
    route.Name = "plain";
    route.PathPrefix = "/plain/";
    route.Services = {{"bays", 1}};
    document->Routes.push_back(route);
    route.Name = "sum";
    route.PathPrefix = "/sum/";
    route.Kind = RouteKind::Stream;
    route.Services = {{"llm", 1}};
    document->Routes.push_back(route);
    EngineTraits engine;
    engine.CapacityTokens = 60000;
    engine.MaxReservation = Milliseconds(2000);
    document->Services["llm"] = {"llm", engine};
    document->Services["bays"] = {"bays", std::nullopt};
    Document = document;
    for (int i = 0; i < 4; ++i) {
      Servers.apply(serverOf("bays", i, ServerStage::Whole), Now);
      Servers.apply(serverOf("llm", i, ServerStage::Decode), Now);
    }
    for (int i = 4; i < 6; ++i)
      Servers.apply(serverOf("llm", i, ServerStage::Prefill), Now);
    for (const char *it : {"llm", "bays"})
      Queues.emplace(it, ServiceQueues{ReservationQueue(2), {}, {}});
  }
  RouteExplanation explain(const std::string &Path) const {
    RouteQuestion question{"a.example", Path, "", GenerationSize{5000, 800, 0}};
    return explainRoute(question, {Document, Servers, {}, Queues, {}, {}, {}},
                        Now);
  }

  RouteDocumentPtr Document;
  ServerRegistry Servers{"hall-a", 11};
  std::map<std::string, ServiceQueues> Queues;
};

std::vector<std::string> idsOf(const StageExplanation &Stage) {
  std::vector<std::string> ids;
  for (const ServerCandidate &it : Stage.Candidates)
    ids.push_back(it.Choice.Id);
  return ids;
}

ChildProcess runRoute(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(),
                   {std::string(CROCUSSPUR_BUILD_DIR) + "/crocusspur", "route",
                    "--host", "a.example"});
  return ChildProcess(std::move(Arguments));
}

int codeOf(ChildProcess &&Command, std::string *Output = nullptr) {
  int code = Command.waitForExit(WaitTimeout).value_or(-1);
  // No line matches, so this waits for the end of the output.
  Command.waitForLine([](const std::string &) { return false; }, WaitTimeout);
  if (Output)
    *Output = Command.output();
  return code;
}

} // namespace

// An explanation that draws for itself, or that changes what it looks at, would
// name another server than the next request gets.
TEST_CASE("An explanation names the server of the next request") {
  Routing routing;
  for (int i = 0; i < 50; ++i) {
    RouteExplanation found = routing.explain("/plain/1");
    REQUIRE(found.Services.size() == 1);
    CHECK_FALSE(isRefused(found));
    std::vector<std::string> named = idsOf(found.Services[0].Stages.at(0));
    CHECK(named.size() == 4);
    CHECK(named == idsOf(routing.explain("/plain/1").Services[0].Stages.at(0)));
    std::optional<ServerChoice> chosen =
        routing.Servers.choose({"bays", ServerStage::Whole, {}, {}}, Now);
    REQUIRE(chosen.has_value());
    CHECK(named.front() == chosen->Id);
    routing.Servers.callStarted(chosen->Id, 1);
  }
}

TEST_CASE("An explanation says why a server gets no request") {
  Routing routing;
  gateway::ServerEntry leaving = serverOf("llm", 1, ServerStage::Decode);
  leaving.Leaving = true;
  routing.Servers.apply(leaving, Now);
  routing.Servers.exclude("llm2", Now + Milliseconds(5000));
  routing.Servers.callStarted("llm0", 1);
  routing.Servers.callEnded("llm0", 1, CallResult::TimedOut, Now);
  RouteExplanation found = routing.explain("/sum/x");
  REQUIRE(found.Services.size() == 1);
  CHECK(found.Services[0].ReservedTokens > 5000);
  REQUIRE(found.Services[0].Stages.size() == 2);
  const StageExplanation &stage = found.Services[0].Stages[1];
  CHECK(stage.Stage == ServerStage::Decode);
  REQUIRE(stage.Candidates.size() == 4);
  CHECK(stage.Candidates[0].Choice.Id == "llm3");
  CHECK(stage.Candidates[1].Choice.Id == "llm0");
  CHECK(stage.Candidates[1].Avoided);
  std::map<std::string, std::string> bars;
  for (const ServerCandidate &it : stage.Candidates)
    bars[it.Choice.Id] = it.Bar;
  CHECK(bars["llm1"] == "leaving");
  CHECK(bars["llm2"] == "excluded");
  CHECK(bars["llm3"].empty());
}

TEST_CASE("An explanation says whether a request would be refused") {
  Routing routing;
  CHECK(routing.explain("/other/").Refusal == "no route matches");
  CHECK(isRefused(routing.explain("/other/")));
  SUBCASE("for servers that are full") {
    PlainQueue &queue = routing.Queues.at("bays").Plain;
    for (int i = 0; i < 4; ++i) {
      std::string id = "bays" + std::to_string(i);
      routing.Servers.callStarted(id, 1);
      routing.Servers.callEnded(id, 1, CallResult::Overloaded, Now);
    }
    // Answers that take longer than the target leave no time to wait.
    for (int i = 0; i < 20; ++i) {
      queue.onRefused(Now);
      queue.onAnswered(Milliseconds(5000), false, Now);
    }
    while (queue.join({0, Now + Milliseconds(900), Now + Milliseconds(450)},
                      Now)) {
    }
    RouteExplanation found = routing.explain("/plain/1");
    CHECK(found.Services.at(0).Refusal == "all servers are full");
    CHECK(found.Services[0].RetryAfter > Milliseconds(0));
    CHECK(found.Services[0].Contended);
    CHECK(isRefused(found));
  }
  SUBCASE("for servers that are all gone") {
    for (int i = 0; i < 4; ++i)
      routing.Servers.remove("bays" + std::to_string(i), Now - Milliseconds(1));
    CHECK(routing.explain("/plain/1").Services.at(0).Refusal ==
          "no server is known");
  }
}

TEST_CASE("The question for a route is checked") {
  std::optional<RouteQuestion> question = parseRouteQuestion(
      "/route?host=a.example&path=%2Fx%3Fy%3D1&account=acme&prompt_tokens=12");
  REQUIRE(question.has_value());
  CHECK(question->Path == "/x?y=1");
  CHECK(question->Account == "acme");
  CHECK(question->Size->PromptTokens == 12);
  for (const char *it :
       {"/route", "/route?host=a", "/route?path=/",
        "/route?host=a&path=/&key=k", "/route?host=a&path=/&prompt_tokens=x",
        "/route?host=%zz&path=/"})
    CHECK_FALSE_MESSAGE(parseRouteQuestion(it), it);
}

// The whole path, with two instances.
TEST_CASE("The command route asks running instances and changes nothing") {
  FakeServer server([](const std::string &Request, int) {
    return signedResponse(200, "ok", headerField(Request, "Attempt-Id"));
  });
  GatewayFleet fleet(2);
  fleet.Store.put("op/config", configOf(3, "/i/"));
  fleet.addServer("s1", server);
  fleet.startAll();
  REQUIRE(eventually([&] {
    return GatewayFleet::sendRequest(fleet.Instances[0], "/i/1")
        .starts_with("HTTP/1.1 200");
  }));
  size_t sent = server.requests().size();
  const std::string first = fleet.Instances[0].Ready;
  const std::string second = fleet.Instances[1].Ready;
  std::string output;
  CHECK(codeOf(runRoute(
                   {"--path", "/i/1", "--address", first, "--address", second}),
               &output) == 0);
  for (const char *it : {"g1, configuration 3", "g2, configuration 3", "/i/",
                         "s1", "admitted share 1.0"})
    CHECK_MESSAGE(output.find(it) != std::string::npos, output);
  CHECK(codeOf(runRoute({"--path", "/i/1", "--address", first, "--json"}),
               &output) == 0);
  CHECK(output.starts_with(R"({"instance":"g1","config_version":3,)"));
  CHECK(codeOf(runRoute({"--path", "/none/", "--address", first})) == 4);
  CHECK(codeOf(runRoute({"--path", "/i/1", "--address", freeAddress()})) == 1);
  CHECK(codeOf(runRoute({"--path", "/i/1"})) == 2);
  CHECK(server.requests().size() == sent);
}
