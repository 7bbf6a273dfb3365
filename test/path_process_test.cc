// End-to-end tests with real processes on loopback.
#include "process_fixture.h"

#include <Poco/JSON/Array.h>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <list>
#include <sstream>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

struct StreamResult {
  std::string Text;
  bool Done = false; // [DONE] was received
  std::string Error; // data of an error event
};

void addEvent(StreamResult &Result, const StreamEvent &Event) {
  if (Event.Name == "error")
    Result.Error = Event.Data;
  else if (Event.Data == "[DONE]")
    Result.Done = true;
  else
    Result.Text += parseJson(Event.Data)
                       ->getArray("choices")
                       ->getObject(0)
                       ->optValue<std::string>("text", "");
}

StreamResult readAll(EventStream &Stream) {
  StreamResult result;
  StreamEvent event;
  while (Stream.next(event))
    addEvent(result, event);
  return result;
}

std::string plainText(const HttpResponse &Response) {
  return parseJson(Response.Body)
      ->getArray("choices")
      ->getObject(0)
      ->getValue<std::string>("text");
}

std::string joined(const std::vector<std::string> &Texts) {
  std::string all;
  for (const std::string &it : Texts)
    all += it + " ";
  return all;
}

// Reads the first token, which shows that the decode is running.
void waitForFirstToken(EventStream &Stream) {
  StreamEvent event;
  REQUIRE(Stream.status() == 200);
  REQUIRE(Stream.next(event));
}

Milliseconds since(Clock::time_point Start) {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - Start);
}

} // namespace

// Guards against an instance that can't place requests because it doesn't own
// the shard, and against lost, repeated or mixed tokens.
TEST_CASE("Path completes plain and streamed requests through every router") {
  ProcessFixture fleet;
  for (size_t i = 0; i < fleet.routers(); ++i) {
    CAPTURE(fleet.router(i).Name);
    std::string prompt = "manifest " + std::to_string(i);
    HttpResponse plain = send(fleet.completion(i, prompt, 20, false));
    REQUIRE_MESSAGE(plain.Status == 200, plain.Body);
    CHECK(plainText(plain) == expectedTokens(prompt, 20));
    EventStream stream(fleet.completion(i, prompt + " s", 20, true));
    REQUIRE_MESSAGE(stream.status() == 200, stream.body());
    StreamResult result = readAll(stream);
    CHECK(result.Text == expectedTokens(prompt + " s", 20));
    CHECK(result.Done);
  }
  CHECK(fleet.countRuns("decode", "done") == 2 * fleet.routers());
  CHECK(fleet.countRuns("prefill", "imported") == 2 * fleet.routers());
}

// Guards against calls that are modified on the way or run more than once.
TEST_CASE("Path forwards a service call unchanged and once") {
  ProcessFixture fleet;
  for (size_t i = 0; i < fleet.routers(); ++i)
    REQUIRE(fleet.waitForKeyHome(i));
  std::string key = timedKey();
  HttpRequest request =
      fleet.call(1, "POST", "/services/bays/book?hall=7", R"({"bay":3})");
  request.Headers["Idempotency-Key"] = key;
  HttpResponse response = send(request);
  REQUIRE_MESSAGE(response.Status == 200, response.Body);
  auto echo = parseJson(response.Body);
  CHECK(echo->getValue<std::string>("method") == "POST");
  CHECK(echo->getValue<std::string>("path") == "/book");
  CHECK(echo->getValue<std::string>("query") == "hall=7");
  CHECK(echo->getValue<std::string>("body") == R"({"bay":3})");
  CHECK(echo->getValue<std::string>("key") == key);
  // A retry at another router gets the stored response.
  request.Address = fleet.router(2).CallerAddress;
  HttpResponse retry = send(request);
  CHECK(retry.Status == 200);
  CHECK(retry.Body == response.Body);
  size_t calls = 0;
  for (const char *name : {"s1", "s2"})
    calls += fleet.executionLog(name)->getArray("calls")->size();
  CHECK(calls == 1);
}

// Guards against engine memory that stays held after the caller has
// disconnected (P1). The engines hold memory for 10 s after a close, so only a
// cancel frees it within 1 s.
TEST_CASE("Path frees engine memory within 1 s of a cancel by the caller") {
  ProcessFixture fleet;
  std::list<EventStream> streams;
  for (size_t i = 0; i < fleet.routers(); ++i) {
    streams.emplace_back(fleet.completion(i, "long", 4000, true));
    waitForFirstToken(streams.back());
  }
  REQUIRE(fleet.heldRequests().size() == fleet.routers());
  Clock::time_point start = Clock::now();
  for (EventStream &it : streams)
    it.close();
  bool freed = eventually([&] { return fleet.heldRequests().empty(); },
                          Milliseconds(1000));
  MESSAGE("freed after " << since(start).count() << " ms");
  CHECK_MESSAGE(freed, "still held: " << joined(fleet.heldRequests()));
  CHECK(fleet.countRuns("decode", "cancelled") == fleet.routers());
}

// Guards against a graceful shutdown that aborts requests in progress (P6).
TEST_CASE("Path completes all streams when a router gets SIGTERM") {
  ProcessFixture fleet;
  std::list<EventStream> streams;
  for (int i = 0; i < 4; ++i) {
    streams.emplace_back(fleet.completion(0, "stream", 200, true));
    waitForFirstToken(streams.back());
  }
  fleet.router(0).Process->signal(SIGTERM);
  for (EventStream &it : streams) {
    StreamResult result = readAll(it);
    CHECK_MESSAGE(result.Done, "error event: " << result.Error);
  }
  auto code = fleet.router(0).Process->waitForExit(WaitTimeout);
  REQUIRE_MESSAGE(code, fleet.router(0).Process->output());
  CHECK(*code == 0);
  CHECK(fleet.countRuns("decode", "done") == 4);
}

// Guards against engine memory that stays held for an instance that was killed
// (P1).
TEST_CASE("Path frees engine memory within 5 s after a router is killed") {
  for (size_t victim = 0; victim < 3; ++victim) {
    ProcessFixture fleet;
    CAPTURE(fleet.router(victim).Name);
    std::list<EventStream> streams;
    for (int i = 0; i < 3; ++i) {
      streams.emplace_back(fleet.completion(victim, "stream", 4000, true));
      waitForFirstToken(streams.back());
    }
    REQUIRE(fleet.heldRequests().size() == 3);
    Clock::time_point start = Clock::now();
    fleet.router(victim).Process->signal(SIGKILL);
    bool freed = eventually([&] { return fleet.heldRequests().empty(); },
                            Milliseconds(5000));
    MESSAGE("freed after " << since(start).count() << " ms");
    CHECK_MESSAGE(freed, "still held: " << joined(fleet.heldRequests()));
  }
}

// Guards against a check that stops at the first diagnostic.
TEST_CASE("Path check reports all five errors in a settings file") {
  FleetOptions options;
  options.Routers = 1;
  ProcessFixture fleet(options);
  std::string file = fleet.directory() + "/wrong.toml";
  std::ofstream(file) << "[instance]\n"
                         "name = \"e 1\"\n"
                         "region = 5\n"
                         "failure_domain = \"hall-a\"\n"
                         "[operators]\n"
                         "token_digest = \"short\"\n"
                         "[peers]\n"
                         "key = \"key-shared-by-the-test-fleet\"\n"
                         "[platform]\n"
                         "address = \"nowhere\"\n"
                         "[timing]\n"
                         "heartbeat = 500\n";
  ChildProcess check(
      {std::string(CROCUSSPUR_BUILD_DIR) + "/crocusspur", "check", file});
  CHECK(check.waitForExit(WaitTimeout) == 2);
  // Matches no line, so it waits until the output ends.
  check.waitForLine([](const std::string &) { return false; }, WaitTimeout);
  std::string output = check.output();
  for (const char *key :
       {"instance.name", "instance.region", "operators.token_digest",
        "platform.address", "timing.heartbeat"})
    CHECK_MESSAGE(output.find(key) != std::string::npos,
                  std::string(key) << " is missing in:\n"
                                   << output);
}
