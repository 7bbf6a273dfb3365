// Streams that an instance which reaches no server passes on: it ends, or the
// server is replaced, in the middle of the stream.
#include "gateway_fleet.h"
#include "stream_samples.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

constexpr int EventCount = 20;
constexpr Milliseconds EventInterval{30};

std::string makeConfig() {
  return R"({"version":2,"routes":[{"name":"rt","host":"a.example",)"
         R"("path-prefix":"/t/","type":"streaming","timeout-ms":8000,)"
         R"("latency-target-ms":900,"priority":1,"service":"llm",)"
         R"("max-attempts":3,"resumable":true,"itl-target-ms":300}],)"
         R"("services":[{"name":"llm"}]})";
}

std::string eventOf(int Number, const std::string &Version) {
  return "id: " + std::to_string(Number) + "\ndata: " + Version + "\n\n";
}

// A process of a decode server.
struct StreamServer {
  explicit StreamServer(std::string Version) : Version(std::move(Version)) {}
  std::string Version;
  std::atomic<int> Runs{0};
  std::atomic<bool> BreaksOff{false}; // its runs, at the next event
  ScriptServer Server{[this](int Fd, int) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (!request.starts_with("POST /t/")) {
        sendText(Fd, httpResponse(200, R"({"retention":"r1"})"));
        continue;
      }
      ++Runs;
      sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: " +
                       headerField(request, "Attempt-Id") +
                       "\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
      int last = std::atoi(headerField(request, "Last-Event-Id").c_str());
      for (int i = last + 1; i <= EventCount; ++i) {
        if (BreaksOff)
          return;
        sendText(Fd, chunk(eventOf(i, Version)));
        std::this_thread::sleep_for(EventInterval);
      }
      sendText(Fd, LastChunk);
    }
  }};
};

// Instance g1 gets connections to servers refused, g2 and g3 reach them.
struct PassingFleet {
  explicit PassingFleet(std::vector<StreamServer *> Servers) {
    Fleet.makeAllSeeds(); // the stores differ
    for (FakeStore *it : {&Fleet.Store, &OtherStore})
      it->put("op/config", makeConfig());
    for (size_t i = 0; i < Servers.size(); ++i) {
      std::string key = "servers/d" + std::to_string(i + 1);
      Fleet.Store.put(key, entry(*Servers[i], 1764000000001));
      OtherStore.put(key, serverEntry("llm", freeAddress(), Phase,
                                      1764000000001, Servers[i]->Version));
    }
    Fleet.useStore(Fleet.Instances[0], OtherStore);
    Fleet.startAll();
    // From its first requests on g1 knows that it reaches no server.
    REQUIRE(eventually([&] {
      int fd = begin(0, "warm" + std::to_string(++Warm), "");
      bool passed = readAll(fd).ends_with("\r\n0\r\n\r\n");
      ::close(fd);
      return passed;
    }));
    for (StreamServer *it : Servers)
      it->Runs = 0;
  }
  static std::string entry(const StreamServer &Server, int64_t StartedAt) {
    return serverEntry("llm", Server.Server.address(), Phase, StartedAt,
                       Server.Version);
  }
  // Returns the connection of a request, which asks for no reuse.
  int begin(size_t Instance, const std::string &Id, const std::string &Fields) {
    int fd = connectTo(Fleet.Instances[Instance].Callers);
    REQUIRE(fd >= 0);
    sendText(fd, "POST /t/x HTTP/1.1\r\nHost: a.example\r\nConnection: "
                 "close\r\nAttempt-Id: " +
                     Id + "\r\n" + Fields +
                     "Token-Usage: 500,100\r\nDeadline-Ms: 6000\r\n"
                     "Content-Length: 4\r\n\r\nbody");
    return fd;
  }
  // Takes the stream up after that event and returns the response.
  std::string takeUp(size_t Instance, const std::string &Id, int Last) {
    int fd = begin(Instance, Id + "-r" + std::to_string(Instance),
                   "Resumes: " + Id +
                       "\r\nLast-Event-Id: " + std::to_string(Last) + "\r\n");
    std::string response = readAll(fd);
    ::close(fd);
    return response;
  }
  static constexpr const char *Phase =
      "\"state\":\"ready\",\"phase\":\"decode\"";
  FakeStore OtherStore;
  GatewayFleet Fleet{3};
  int Warm = 0;
};

// Numbers of the events in a response, in the order in which they came.
std::vector<int> eventsIn(const std::string &Response) {
  std::vector<int> ids;
  for (size_t at = 0; (at = Response.find("id: ", at)) != std::string::npos;
       at += 4)
    ids.push_back(std::atoi(Response.c_str() + at + 4));
  return ids;
}

std::vector<int> numbers(int From, int To) {
  std::vector<int> all;
  for (int i = From; i <= To; ++i)
    all.push_back(i);
  return all;
}

} // namespace

// Guards against events that come twice or are missing where the answer breaks
// off, and against an end that looks complete.
TEST_CASE("A stream is taken up whose passing instance is killed") {
  StreamServer one("v1"), two("v1");
  PassingFleet fleet({&one, &two});
  int fd = fleet.begin(0, "a1", "");
  std::string part = readUntil(fd, "id: 5\ndata: v1\n\n");
  fleet.Fleet.Instances[0].Process->signal(SIGKILL);
  part += readAll(fd);
  ::close(fd);
  CHECK_FALSE(part.ends_with("\r\n0\r\n\r\n"));
  std::vector<int> ids = eventsIn(part);
  int last = ids.empty() ? 0 : ids.back();
  REQUIRE(last >= 5);
  CHECK(ids == numbers(1, last));
  std::string rest = fleet.takeUp(1, "a1", last);
  CHECK(rest.ends_with("\r\n0\r\n\r\n"));
  CHECK(eventsIn(rest) == numbers(last + 1, EventCount));
}

// Its run could be the former or the next process's: neither the passing
// instance nor one that the caller asks may go on with it.
TEST_CASE("Nobody goes on with a passed-on stream whose server is replaced") {
  StreamServer former("v1"), other("v1");
  PassingFleet fleet({&former, &other});
  int fd = fleet.begin(0, "a1", "");
  std::string part = readUntil(fd, "id: 5\ndata: v1\n\n");
  bool atFormer = former.Runs > 0;
  StreamServer &server = atFormer ? former : other;
  StreamServer &sound = atFormer ? other : former;
  // The successor's entry has the same address, where the former process's
  // connections live on.
  std::string key = atFormer ? "servers/d1" : "servers/d2";
  fleet.Fleet.Store.put(key,
                        serverEntry("llm", server.Server.address(),
                                    PassingFleet::Phase, 1764000000002, "v2"));
  part += readUntil(fd, "id: 12\ndata: v1\n\n");
  int runs = sound.Runs;
  server.BreaksOff = true;
  part += readAll(fd);
  ::close(fd);
  CAPTURE(part);
  CHECK_FALSE(part.ends_with("\r\n0\r\n\r\n"));
  std::vector<int> ids = eventsIn(part);
  REQUIRE_FALSE(ids.empty());
  CHECK(ids == numbers(1, ids.back()));
  CHECK(ids.size() < EventCount);
  for (size_t i = 0; i < 3; ++i)
    CHECK(fleet.takeUp(i, "a1", ids.back()).starts_with("HTTP/1.1 503"));
  CHECK(sound.Runs == runs);
}
