// Tests of the operator listener, its metrics and the logs of real processes.
#include "process_fixture.h"

#include <Poco/JSON/Array.h>
#include <csignal>
#include <cstdio>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/stat.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

HttpRequest operatorCall(ProcessFixture &Fleet, const std::string &Path,
                         const std::string &Token = "operator-token") {
  HttpRequest request;
  request.Address = Fleet.router(0).OperatorAddress;
  request.Path = Path;
  if (!Token.empty())
    request.Headers["Authorization"] = "Bearer " + Token;
  return request;
}

HttpResponse sendPatch(ProcessFixture &Fleet, const std::string &Body) {
  HttpRequest request = operatorCall(Fleet, "/admin/v1/config/patches");
  request.Method = "POST";
  request.Body = Body;
  return send(request);
}

std::string patch(const std::string &Base, const std::string &Share) {
  return R"({"base":)" + Base +
         R"(,"patch_id":"t","changes":{"groups":[{"name":"drivers","share":)" +
         Share + "}]}}";
}

bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

FleetOptions oneRouter() {
  FleetOptions options;
  options.Routers = 1;
  options.LogLevel = "debug";
  return options;
}

// Names in the first column of the first table of docs/METRICS.md.
std::set<std::string> documentedNames() {
  std::ifstream in(std::string(CROCUSSPUR_TEST_DATA) + "/../docs/METRICS.md");
  std::set<std::string> names;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("Kinds of ", 0) == 0)
      break;
    if (line.rfind("| `", 0) == 0)
      names.insert(line.substr(3, line.find('`', 3) - 3));
  }
  return names;
}

std::set<std::string> namesIn(const std::string &Metrics) {
  std::set<std::string> names;
  std::istringstream in(Metrics);
  const std::string start = "# TYPE crocusspur_";
  for (std::string line; std::getline(in, line);)
    if (line.rfind(start, 0) == 0)
      names.insert(line.substr(start.size(),
                               line.find(' ', start.size()) - start.size()));
  return names;
}

// Value of the sample with exactly this name and labels, or -1.
double sample(const std::string &Metrics, const std::string &Name) {
  std::istringstream in(Metrics);
  const std::string start = "crocusspur_" + Name + " ";
  for (std::string line; std::getline(in, line);)
    if (line.rfind(start, 0) == 0)
      return std::stod(line.substr(start.size()));
  return -1;
}

void awaitFirstToken(EventStream &Stream) {
  StreamEvent event;
  REQUIRE(Stream.status() == 200);
  REQUIRE(Stream.next(event));
}

void runOne(ProcessFixture &Fleet, bool Stream) {
  HttpResponse answer = send(Fleet.completion(0, "a prompt", 10, Stream));
  REQUIRE_MESSAGE(answer.Status == 200, answer.Body);
}

} // namespace

// Guards against operator endpoints that need no token, and against
// load-balancer probes that need one.
TEST_CASE("Operator listener requires the token except for the probes") {
  ProcessFixture fleet(oneRouter());
  for (const char *path : {"/metrics", "/admin/v1/state", "/admin/v1/config",
                           "/admin/v1/config/patches", "/admin/v1/other"}) {
    CAPTURE(path);
    CHECK(send(operatorCall(fleet, path, "")).Status == 401);
    CHECK(send(operatorCall(fleet, path, "wrong")).Status == 401);
    // A caller's token doesn't authorize an operator.
    CHECK(send(operatorCall(fleet, path, "drivers-token")).Status == 401);
  }
  for (const char *path : {"/healthz", "/readyz"})
    CHECK(send(operatorCall(fleet, path, "")).Status == 200);
  for (const char *path : {"/metrics", "/admin/v1/state", "/admin/v1/config"})
    CHECK(send(operatorCall(fleet, path)).Status == 200);
  CHECK(send(operatorCall(fleet, "/other")).Status == 404);
  CHECK(send(operatorCall(fleet, "/admin/v1/other")).Status == 404);
}

// Guards against patches that are evaluated differently than when published.
TEST_CASE("Operator listener evaluates patches and returns the configuration") {
  ProcessFixture fleet(oneRouter());
  HttpResponse config = send(operatorCall(fleet, "/admin/v1/config"));
  CHECK(config.Body == fleet.configText(1, 0));
  HttpResponse accepted = sendPatch(fleet, patch("1", "5"));
  REQUIRE_MESSAGE(accepted.Status == 200, accepted.Body);
  CHECK(parseJson(accepted.Body)->getValue<int>("version") == 2);
  HttpResponse stale = sendPatch(fleet, patch("0", "5"));
  CHECK(stale.Status == 409);
  CHECK(parseJson(stale.Body)->getValue<int>("current_version") == 1);
  HttpResponse wrong = sendPatch(fleet, patch("1", "-5"));
  CHECK(wrong.Status == 422);
  CHECK_MESSAGE(contains(wrong.Body, "share"), wrong.Body);
  CHECK(sendPatch(fleet, "{").Status == 422);
  CHECK(send(operatorCall(fleet, "/admin/v1/config/patches")).Status == 400);
  // The router itself publishes nothing.
  CHECK(send(operatorCall(fleet, "/admin/v1/config")).Body == config.Body);
  // Of two documents with the same base the second is refused, and the next
  // patch can't get its version.
  fleet.publishConfigText(fleet.configText(2, 1));
  fleet.publishConfigText(fleet.configText(3, 1));
  REQUIRE(eventually(
      [&] {
        return contains(send(operatorCall(fleet, "/metrics")).Body,
                        "{kind=\"config_refused\",group=\"\"} 1\n");
      },
      WaitTimeout));
  HttpResponse after = sendPatch(fleet, patch("2", "5"));
  REQUIRE_MESSAGE(after.Status == 200, after.Body);
  CHECK(parseJson(after.Body)->getValue<int>("version") == 4);
}

// Guards against secrets in what operators read and store.
TEST_CASE("Operator listener and logs expose no prompt, token or key") {
  ProcessFixture fleet(oneRouter());
  REQUIRE(fleet.waitForKeyHome(0));
  const std::string prompt = "marked-prompt-7f3a";
  const std::string key = timedKey();
  const std::string serviceKey = timedKey();
  HttpRequest open = fleet.completion(0, prompt, 2000, true);
  open.Headers["Idempotency-Key"] = key;
  EventStream stream(open);
  awaitFirstToken(stream);
  HttpRequest call = fleet.call(0, "POST", "/services/bays/book", prompt);
  call.Headers["Idempotency-Key"] = serviceKey;
  REQUIRE(send(call).Status == 200);
  HttpRequest refused = open;
  refused.Headers["Authorization"] = "Bearer marked-token-55";
  REQUIRE(send(refused).Status == 401);
  fleet.router(0).Process->signal(SIGUSR1);
  REQUIRE(fleet.router(0).Process->waitForLine(
      [](const std::string &Line) {
        return Line.find("\"message\": \"state\"") != std::string::npos ||
               Line.find("\"message\":\"state\"") != std::string::npos;
      },
      WaitTimeout));
  std::string all;
  for (const char *path : {"/admin/v1/state", "/admin/v1/config", "/metrics"})
    all += send(operatorCall(fleet, path)).Body;
  stream.close();
  REQUIRE(fleet.router(0).Process->waitForLine(
      [](const std::string &Line) {
        return Line.find("request finished") != std::string::npos &&
               Line.find("cancelled") != std::string::npos;
      },
      WaitTimeout));
  all += fleet.router(0).Process->output();
  for (const std::string &mark :
       {prompt, key, serviceKey, std::string("marked-token-55"),
        std::string("drivers-token"), std::string("operator-token"),
        std::string("key-shared-by-the-test-fleet")}) {
    size_t at = all.find(mark);
    CHECK_MESSAGE(
        at == std::string::npos,
        "found in: " << (at == std::string::npos
                             ? ""
                             : all.substr(at - std::min<size_t>(at, 200),
                                          400)));
  }
}

// Guards against metrics that are declared but never set, and against
// undocumented ones.
TEST_CASE("Operator listener renders exactly the documented metrics") {
  FleetOptions options = oneRouter();
  options.Routers = 2;
  ProcessFixture fleet(options);
  runOne(fleet, true);
  runOne(fleet, false);
  EventStream stream(fleet.completion(0, "open", 2000, true));
  awaitFirstToken(stream);
  std::string text;
  CHECK(eventually(
      [&] {
        text = send(operatorCall(fleet, "/metrics")).Body;
        return namesIn(text) == documentedNames() &&
               sample(text, "peers_linked") == 1;
      },
      WaitTimeout));
  for (const std::string &it : documentedNames())
    CHECK_MESSAGE(namesIn(text).count(it), it << " is not rendered");
  for (const std::string &it : namesIn(text))
    CHECK_MESSAGE(documentedNames().count(it), it << " is not documented");
  CHECK(sample(text, "open_requests") == 1);
  CHECK(sample(text, "ready") == 1);
  CHECK(sample(text, "config_version") == 1);
  for (const char *it : {"config_age_seconds", "platform_age_seconds",
                         "platform_calls_total{name=\"config\"}",
                         "platform_calls_total{name=\"instances\"}"})
    CHECK_MESSAGE(sample(text, it) >= 0, std::string(it)
                                             << " has no value in:\n"
                                             << text);
  for (const char *it :
       {"first_output_seconds", "output_gap_seconds", "prefill_wait_seconds"})
    CHECK_MESSAGE(sample(text, std::string(it) + "_count{group=\"drivers\"}") ==
                      2,
                  std::string(it) << " has not 2 values in:\n"
                                  << text);
  CHECK(sample(text, "core_event_seconds_count{group=\"\"}") > 10);
  // One of the two instances owns the only shard.
  HttpRequest other = operatorCall(fleet, "/metrics");
  other.Address = fleet.router(1).OperatorAddress;
  const std::string queue = "queue_length{name=\"summary-0\"}";
  auto owns = [&](const HttpRequest &Call) {
    return sample(send(Call).Body, queue) >= 0;
  };
  CHECK(eventually(
      [&] { return owns(operatorCall(fleet, "/metrics")) != owns(other); },
      WaitTimeout));
}

// Guards against requests that can't be traced in the logs.
TEST_CASE("Relay logs one line for each finished request") {
  ProcessFixture fleet(oneRouter());
  runOne(fleet, true);
  HttpResponse refused = send(fleet.completion(0, "x", 10, false));
  REQUIRE(refused.Status == 200);
  auto lines = [&] {
    std::vector<Poco::JSON::Object::Ptr> found;
    std::istringstream in(fleet.router(0).Process->output());
    for (std::string line; std::getline(in, line);)
      if (contains(line, "request finished"))
        found.push_back(parseJson(line)->getObject("context_map"));
    return found;
  };
  REQUIRE(eventually([&] { return lines().size() == 2; }, WaitTimeout));
  auto fields = lines().front();
  REQUIRE(fields);
  CHECK(fields->getValue<std::string>("group") == "drivers");
  CHECK(fields->getValue<std::string>("target") == "summary");
  CHECK(fields->getValue<std::string>("outcome") == "completed");
  CHECK(fields->getValue<std::string>("run") == "yes");
  CHECK(fields->getValue<std::string>("tokens") == "10");
  CHECK(fields->getValue<std::string>("config_version") == "1");
  CHECK(fields->getValue<std::string>("server").rfind('d', 0) == 0);
  for (const char *it :
       {"request", "attempt", "total_ms", "first_output_ms", "prefill_wait_ms"})
    CHECK_MESSAGE(fields->has(it), std::string(it) << " is missing");
}

// Guards against a log reader that stops reading and blocks the router. With a
// blocking appender the router stalled after 428 requests.
TEST_CASE("Relay continues while nobody reads the log") {
  ProcessFixture fleet(oneRouter());
  FleetRouter &router = fleet.router(0);
  router.Process.reset();
  std::string pipe = fleet.directory() + "/log";
  REQUIRE(::mkfifo(pipe.c_str(), 0600) == 0);
  // Opens both ends, so that neither open waits for the other.
  int fd = ::open(pipe.c_str(), O_RDWR | O_CLOEXEC);
  REQUIRE(fd >= 0);
  ChildProcess serve({"/bin/sh", "-c",
                      "exec " CROCUSSPUR_BUILD_DIR
                      "/crocusspur serve --settings " +
                          router.SettingsFile + " 2>" + pipe});
  FILE *log = ::fdopen(fd, "r");
  char line[4096];
  for (std::string listener;
       listener != "callers" && ::fgets(line, sizeof line, log);)
    if (contains(line, "\"listening\"")) {
      auto fields = parseJson(line)->getObject("context_map");
      listener = fields->getValue<std::string>("front");
      router.CallerAddress = fields->getValue<std::string>("address");
    }
  // Each refusal logs a line at level debug.
  for (int i = 0; i < 2000; ++i) {
    HttpRequest request = fleet.completion(0, "p", 1, false);
    request.Headers["Authorization"] = "Bearer wrong";
    REQUIRE(send(request).Status != 0);
  }
  serve.signal(SIGKILL);
  serve.waitForExit(WaitTimeout);
  ::fclose(log);
}
