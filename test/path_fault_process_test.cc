// End-to-end tests with real processes and faults of the external systems.
#include "process_fixture.h"

#include <Poco/JSON/Array.h>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <list>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

struct OpenStream {
  std::string Prompt;
  std::unique_ptr<EventStream> Stream;
  std::string Text;
  std::string End; // "[DONE]", the data of an error event, or ""
};

std::string tokenText(const StreamEvent &Event) {
  return parseJson(Event.Data)
      ->getArray("choices")
      ->getObject(0)
      ->optValue<std::string>("text", "");
}

// Starts streams through all routers in turn and reads the first token of each.
std::list<OpenStream> openStreams(ProcessFixture &Fleet, int Count,
                                  uint32_t MaxTokens) {
  std::list<OpenStream> streams;
  for (int i = 0; i < Count; ++i) {
    OpenStream entry;
    entry.Prompt = "stream " + std::to_string(i);
    entry.Stream = std::make_unique<EventStream>(
        Fleet.completion(i % Fleet.routers(), entry.Prompt, MaxTokens, true));
    StreamEvent event;
    REQUIRE(entry.Stream->status() == 200);
    REQUIRE(entry.Stream->next(event));
    entry.Text = tokenText(event);
    streams.push_back(std::move(entry));
  }
  return streams;
}

void readToEnd(OpenStream &Stream) {
  StreamEvent event;
  while (Stream.Stream->next(event)) {
    if (event.Name == "error" || event.Data == "[DONE]")
      Stream.End = event.Data;
    else
      Stream.Text += tokenText(event);
  }
}

// Returns a decode server that runs at least one stream.
std::string busyDecodeServer(ProcessFixture &Fleet) {
  for (const std::string &it : Fleet.heldRequests())
    if (it.find(":decode:") != std::string::npos)
      return it.substr(0, it.find(':'));
  return "";
}

void checkComplete(std::list<OpenStream> &Streams, uint32_t Tokens) {
  for (OpenStream &it : Streams) {
    CAPTURE(it.Prompt);
    readToEnd(it);
    CHECK(it.End == "[DONE]");
    CHECK(it.Text == expectedTokens(it.Prompt, Tokens));
  }
}

// Keeps `Callers` completions without streaming running through all routers.
class SteadyLoad {
public:
  SteadyLoad(ProcessFixture &Fleet, size_t Callers) {
    for (size_t i = 0; i < Callers; ++i)
      Threads.emplace_back([this, &Fleet, i] {
        while (!Stopping)
          send(Fleet.completion(i % Fleet.routers(), "load", 60, false));
      });
  }
  ~SteadyLoad() {
    Stopping = true;
    for (std::thread &it : Threads)
      it.join();
  }

private:
  std::atomic<bool> Stopping{false};
  std::vector<std::thread> Threads;
};

size_t executedCalls(ProcessFixture &Fleet) {
  size_t calls = 0;
  for (const char *name : {"s1", "s2"})
    calls += Fleet.executionLog(name)->getArray("calls")->size();
  return calls;
}

} // namespace

// Guards against streams that are lost, or resumed with missing or repeated
// tokens, when their engine is killed (P2).
TEST_CASE("Path resumes the streams of a decode engine that is killed") {
  ProcessFixture fleet;
  auto streams = openStreams(fleet, 6, 200);
  std::string victim = busyDecodeServer(fleet);
  REQUIRE(!victim.empty());
  fleet.server(victim).Process->signal(SIGKILL);
  checkComplete(streams, 200);
}

// Guards against silent connections that are never detected, and against a
// resume over the silent connection (P9).
TEST_CASE("Path resumes streams whose connections go silent") {
  FleetOptions options;
  options.ProgressTimeout = Milliseconds(1000);
  ProcessFixture fleet(options);
  auto streams = openStreams(fleet, 6, 200);
  std::string victim = busyDecodeServer(fleet);
  REQUIRE(!victim.empty());
  fleet.control(victim, "silence");
  checkComplete(streams, 200);
}

// Guards against retrying a call that may have run (P4), and against reporting
// it to the caller as not run (P3).
TEST_CASE("Path doesn't retry a call whose connection broke after execution") {
  ProcessFixture fleet;
  for (const char *name : {"s1", "s2"})
    fleet.control(name, "close?when=after&count=100");
  HttpResponse response =
      send(fleet.call(0, "POST", "/services/bays/book", R"({"bay":3})"));
  CHECK(response.Status >= 400);
  std::string run = parseJson(response.Body)->getValue<std::string>("run");
  CHECK_MESSAGE(run == "unknown", response.Body);
  CHECK(executedCalls(fleet) == 1);
}

// Guards against a request that crashes one engine after another (P8).
TEST_CASE("Path refuses a request after it has crashed two engines") {
  FleetOptions options;
  options.PrefillServers = 3;
  ProcessFixture fleet(options);
  for (const char *name : {"p1", "p2", "p3", "d1", "d2", "d3"})
    fleet.control(name, "crash?text=deadly");
  for (int i = 0; i < 9; ++i)
    send(fleet.completion(i % fleet.routers(), "[[deadly]]", 5, false));
  int crashed = 0;
  for (const char *name : {"p1", "p2", "p3", "d1", "d2", "d3"})
    crashed += fleet.executionLog(name) ? 0 : 1;
  CHECK(crashed >= 1);
  CHECK(crashed <= 2);
  HttpResponse unrelated = send(fleet.completion(0, "innocent", 5, false));
  CHECK_MESSAGE(unrelated.Status == 200, unrelated.Body);
}

// Guards against refusing requests that didn't cause the crash (P8): started
// streams must resume after their engine is killed even if no other engine is
// idle.
TEST_CASE("Path resumes streams of a killed engine under full load") {
  ProcessFixture fleet;
  auto streams = openStreams(fleet, 6, 300);
  std::string victim = busyDecodeServer(fleet);
  REQUIRE(!victim.empty());
  SteadyLoad load(fleet, 14);
  REQUIRE(eventually([&] { return fleet.heldRequests().size() >= 12; },
                     WaitTimeout));
  fleet.server(victim).Process->signal(SIGKILL);
  checkComplete(streams, 300);
}
