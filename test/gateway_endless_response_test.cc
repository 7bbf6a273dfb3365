// Servers that send bytes without end, fast or one by one.
#include "gateway_fixture.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <sys/socket.h>
#include <thread>

using namespace crocusspur;
using namespace crocusspur::gateway;
using Clock = std::chrono::steady_clock;

namespace {

// Above what a sound call takes, below the time that the caller has.
constexpr Milliseconds EndsWithin{8000};
constexpr Milliseconds CallerTime{20000};
constexpr size_t FloodBytes = 8192; // of one write

const std::string ChunkedHead =
    "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: a1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string UnframedHead =
    "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: a1\r\n\r\n";

// A server that responds to a reservation and, to the request itself, first
// sends `Head` and then `Unit` until the gateway closes the connection.
class EndlessServer {
public:
  EndlessServer(std::string Head, std::string Unit, Milliseconds Pause)
      : Server([this, Head, Unit, Pause](int Fd, int) {
          while (true) {
            std::string request = readRequest(Fd);
            if (request.empty())
              return;
            if (request.starts_with("POST /x/y"))
              break;
            sendText(Fd, httpResponse(200, R"({"retention":"res1"})"));
          }
          sendText(Fd, Head);
          while (::send(Fd, Unit.data(), Unit.size(), MSG_NOSIGNAL) > 0)
            if (Pause > Milliseconds(0))
              std::this_thread::sleep_for(Pause);
        }) {}
  std::string address() const { return Server.address(); }

private:
  ScriptServer Server;
};

void add(GatewayFixture &Gateway, const std::string &Address,
         ServerStage Stage) {
  crocusspur::gateway::ServerEntry entry;
  entry.Id = "e1";
  entry.Service = Stage == ServerStage::Whole ? "bays" : "summaries";
  entry.Address = Address;
  entry.Slots = 4;
  entry.Stage = Stage;
  Gateway.Directory.applyServer({"e1", {0, ++Gateway.Revision}, entry},
                                UpdateOrigin::Store);
}

size_t residentBytes() {
  std::ifstream in("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return resident * 4096;
}

struct Outcome {
  std::string Response;
  Milliseconds Taken{0};
};

Outcome runTimed(GatewayFixture &Gateway, RouteKind Kind,
                 bool Resumable = false) {
  PathRoute route = Gateway.route(Kind);
  route.Timeout = CallerTime;
  route.Resumable = Resumable;
  auto start = Clock::now();
  Outcome outcome;
  outcome.Response = Gateway.run(route);
  outcome.Taken =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
  return outcome;
}

} // namespace

// The instance grew by 98 MB in 7 s.
TEST_CASE("An event without end ends the stream and takes little memory") {
  EndlessServer server(UnframedHead + "data: ", std::string(FloodBytes, 'x'),
                       Milliseconds(0));
  GatewayFixture gateway;
  add(gateway, server.address(), ServerStage::Decode);
  size_t before = residentBytes();
  std::atomic<bool> done{false};
  size_t most = before;
  std::thread sampler([&] {
    while (!done.load()) {
      most = std::max(most, residentBytes());
      std::this_thread::sleep_for(Milliseconds(5));
    }
  });
  Outcome outcome = runTimed(gateway, RouteKind::Stream);
  done.store(true);
  sampler.join();
  CHECK(outcome.Taken < EndsWithin);
  CHECK_FALSE(outcome.Response.ends_with("0\r\n\r\n"));
  // 16 MiB at most with four such streams.
  CHECK(most - before < 16 * 1048576 / 4);
}

TEST_CASE("Interim responses without end end the call") {
  for (Milliseconds pause : {Milliseconds(0), Milliseconds(50)}) {
    EndlessServer server("", "HTTP/1.1 100 Continue\r\n\r\n", pause);
    GatewayFixture gateway;
    add(gateway, server.address(), ServerStage::Whole);
    Outcome outcome = runTimed(gateway, RouteKind::NonIdempotent);
    CHECK(outcome.Taken < EndsWithin);
    CHECK(outcome.Response.starts_with("HTTP/1.1 502"));
  }
}

TEST_CASE("A chunk extension without end ends the call") {
  EndlessServer server(ChunkedHead + "5;", std::string(FloodBytes, 'x'),
                       Milliseconds(0));
  GatewayFixture gateway;
  add(gateway, server.address(), ServerStage::Whole);
  Outcome outcome = runTimed(gateway, RouteKind::NonIdempotent);
  CHECK(outcome.Taken < EndsWithin);
  CHECK(outcome.Response.starts_with("HTTP/1.1 502"));
}

// It was kept, up to 16 MiB for each call. It is passed on with the pace of its
// caller, who may take nothing, until the deadline.
TEST_CASE("A plain body without end is passed on, ends at the deadline and "
          "takes little memory") {
  for (bool reads : {true, false}) {
    CAPTURE(reads);
    EndlessServer server(UnframedHead, std::string(FloodBytes, 'x'),
                         Milliseconds(0));
    GatewayFixture gateway;
    add(gateway, server.address(), ServerStage::Whole);
    std::string begin;
    std::string tail;
    size_t received = 0;
    std::atomic<bool> done{false};
    size_t before = residentBytes();
    size_t most = before;
    gateway.WhileRunning = [&](SocketPair &Sockets) {
      timeval wait{0, 5000};
      ::setsockopt(Sockets.far(), SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
      bool ended = false;
      while (!ended) {
        // What is left when the call has ended is read too.
        ended = done.load();
        most = std::max(most, residentBytes());
        char buf[65536];
        ssize_t n;
        while ((reads || ended) &&
               (n = ::recv(Sockets.far(), buf, sizeof buf, 0)) > 0) {
          most = std::max(most, residentBytes());
          received += static_cast<size_t>(n);
          tail = (tail + std::string(buf, static_cast<size_t>(n)));
          begin = begin.empty() ? tail.substr(0, 12) : begin;
          tail = tail.substr(tail.size() - std::min<size_t>(tail.size(), 16));
        }
        if (!reads)
          std::this_thread::sleep_for(Milliseconds(5));
      }
    };
    PathRoute route = gateway.route(RouteKind::NonIdempotent);
    route.Timeout = Milliseconds(2000);
    auto start = Clock::now();
    std::thread run([&] {
      auto deadline = Clock::now() + EndsWithin;
      while (gateway.Counters.render().find("request_seconds") ==
                 std::string::npos &&
             Clock::now() < deadline)
        std::this_thread::sleep_for(Milliseconds(5));
      done.store(true);
    });
    gateway.run(route);
    auto taken = std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    run.join();
    CHECK(taken < EndsWithin);
    CHECK(begin == "HTTP/1.1 200");
    CHECK(received > 1048576);
    CHECK_FALSE(tail.ends_with("0\r\n\r\n"));
    CHECK(most - before < 16 * 1048576 / 4);
  }
}

// Bytes that never make up an event aren't progress of a stream.
TEST_CASE("A resumable stream leaves a server that sends its event byte by "
          "byte") {
  EndlessServer server(UnframedHead + "data: ", "x", Milliseconds(20));
  GatewayFixture gateway;
  add(gateway, server.address(), ServerStage::Decode);
  Outcome outcome = runTimed(gateway, RouteKind::Stream, /*Resumable=*/true);
  CHECK(outcome.Taken < EndsWithin);
  CHECK_FALSE(outcome.Response.ends_with("0\r\n\r\n"));
}

// It held the request for its whole time, though other servers have memory.
TEST_CASE("A reservation whose response comes byte by byte is given up") {
  std::atomic<bool> stop{false};
  ScriptServer server([&](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, "HTTP/1.1 200 X\r\nContent-Length: 100000\r\n\r\n");
    while (!stop.load() && ::send(Fd, "x", 1, MSG_NOSIGNAL) > 0)
      std::this_thread::sleep_for(Milliseconds(20));
  });
  GatewayFixture gateway;
  add(gateway, server.address(), ServerStage::Decode);
  Outcome outcome = runTimed(gateway, RouteKind::Stream);
  stop.store(true);
  CHECK(outcome.Taken < EndsWithin);
  CHECK(outcome.Response.starts_with("HTTP/1.1 503"));
}

// A late response to another request, before the response that is due.
TEST_CASE("A late response without end ends the call") {
  for (Milliseconds pause : {Milliseconds(0), Milliseconds(20)}) {
    EndlessServer server(
        "HTTP/1.1 200 X\r\nAttempt-Id: other\r\n\r\n",
        pause > Milliseconds(0) ? "x" : std::string(FloodBytes, 'x'), pause);
    GatewayFixture gateway;
    add(gateway, server.address(), ServerStage::Whole);
    Outcome outcome = runTimed(gateway, RouteKind::NonIdempotent);
    CHECK(outcome.Taken < EndsWithin);
    CHECK(outcome.Response.starts_with("HTTP/1.1 50"));
  }
}
