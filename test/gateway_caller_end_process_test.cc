// How a response ends for callers whose protocol marks the end of a response by
// the end of its connection (HTTP/1.0), with gateway processes.
#include "gateway_fleet.h"

#include <cerrno>
#include <csignal>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using crocusspur::test::GatewayFleet;
using crocusspur::test::serverEntry;
using crocusspur::test::WaitTimeout;

namespace {

constexpr const char *StreamConfig =
    R"({"version":2,"routes":[{"name":"t","host":"a.example",)"
    R"("path-prefix":"/t/","type":"streaming","timeout-ms":20000,)"
    R"("latency-target-ms":900,"itl-target-ms":300,"priority":1,)"
    R"("service":"llm","max-attempts":2,"resumable":false}],)"
    R"("services":[{"name":"llm"}]})";

// A gateway and a server whose streams go on until `Stop` is set.
struct StreamFleet {
  StreamFleet() : Fleet(1) {
    Fleet.Store.put("op/config", StreamConfig);
    Fleet.Store.put("servers/w1", serverEntry("llm", Server.address()));
    Fleet.startAll();
  }
  ~StreamFleet() { Stop.store(true); }

  // Sends a request of HTTP/1.0 and returns its socket once two events have
  // arrived.
  int openStream() {
    int fd = test::connectTo(Fleet.Instances[0].Callers);
    sendText(fd, "GET /t/x HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
                 "Deadline-Ms: 20000\r\n\r\n");
    readUntil(fd, "id: 2\ndata: e\n\n");
    return fd;
  }

  std::atomic<bool> Stop{false};
  ScriptServer Server{[this](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: a1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; !Stop.load(); ++i) {
      std::string event = "id: " + std::to_string(i) + "\ndata: e\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      sendText(Fd, size + event + "\r\n");
      std::this_thread::sleep_for(Milliseconds(20));
    }
    sendText(Fd, "0\r\n\r\n");
  }};
  GatewayFleet Fleet;
};

// Reads until the connection ends. Returns whether it ended with a reset.
bool endsWithReset(int Fd) {
  char buf[4096];
  ssize_t n = 0;
  while ((n = ::recv(Fd, buf, sizeof buf, 0)) > 0) {
  }
  bool reset = n < 0 && errno == ECONNRESET;
  ::close(Fd);
  return reset;
}

} // namespace

TEST_CASE("A whole stream for HTTP/1.0 ends without a reset") {
  StreamFleet setup;
  int fd = setup.openStream();
  setup.Stop.store(true);
  CHECK_FALSE(endsWithReset(fd));
}

// The instance closed such connections like those of complete responses.
TEST_CASE("A stream for HTTP/1.0 that outlasts a shutdown is reset") {
  StreamFleet setup;
  int fd = setup.openStream();
  setup.Fleet.Instances[0].Process->signal(SIGTERM);
  CHECK(endsWithReset(fd));
  CHECK(setup.Fleet.Instances[0].Process->waitForExit(WaitTimeout) == 0);
}

// The kernel ends the connections of a process that is gone.
TEST_CASE("A stream for HTTP/1.0 is reset when its instance is killed") {
  StreamFleet setup;
  int fd = setup.openStream();
  setup.Fleet.Instances[0].Process->signal(SIGKILL);
  CHECK(endsWithReset(fd));
}

// A caller that reads again later must not take what the kernel has kept for it
// for the whole response.
TEST_CASE("A stream for HTTP/1.0 whose caller stops reading is reset") {
  std::atomic<bool> stop{false};
  ScriptServer server{[&](int Fd, int) {
    readRequest(Fd);
    sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: a1\r\n"
                 "\r\n");
    const std::string event =
        "id: 1\ndata: " + std::string(65536, 'e') + "\n\n";
    while (!stop.load() &&
           ::send(Fd, event.data(), event.size(), MSG_NOSIGNAL) > 0) {
    }
  }};
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", StreamConfig);
  fleet.Store.put("servers/w1", serverEntry("llm", server.address()));
  fleet.startAll();
  int fd = test::connectTo(fleet.Instances[0].Callers);
  sendText(fd, "GET /t/x HTTP/1.0\r\nHost: a.example\r\nAttempt-Id: a1\r\n"
               "Deadline-Ms: 20000\r\n\r\n");
  CHECK(fleet.Instances[0].Process->waitForLine(
      [](const std::string &Line) {
        return Line.find("request finished") != std::string::npos;
      },
      WaitTimeout));
  CHECK(endsWithReset(fd));
  stop.store(true);
}
