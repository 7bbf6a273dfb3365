// Measures what an event of a stream costs the instance that relays it, from a
// server's socket to the caller's: processor time of the request's thread. Each
// event is sent once the caller has the one before, as servers make them one by
// one. Prints one JSON line for each kind of stream.
#include "gateway_fixture.h"

#include <algorithm>
#include <condition_variable>
#include <ctime>
#include <iostream>
#include <mutex>
#include <unistd.h>
#include <vector>

namespace crocusspur::bench {
namespace {

using namespace crocusspur::gateway;

constexpr int Events = 20000;
constexpr int Rounds = 5;

// Lets the server send an event when the caller has received one.
class Turns {
public:
  void give() {
    std::lock_guard lock(Mutex);
    ++Given;
    Changed.notify_one();
  }
  void take() {
    std::unique_lock lock(Mutex);
    Changed.wait(lock, [this] { return Given > 0; });
    --Given;
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  int Given = 1;
};

double threadNanoseconds() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

// Returns the processor time of one event in nanoseconds.
double relay(bool Resumable, bool HasIds) {
  Turns turns;
  ScriptServer server([&](int Fd, int) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (request.starts_with("POST /api/hold-take")) {
        sendText(Fd, httpResponse(200, R"({"retention":"res1"})"));
        continue;
      }
      sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\n"
                   "Attempt-Id: a1\r\nContent-Type: text/event-stream\r\n\r\n");
      for (int i = 1; i <= Events; ++i) {
        turns.take();
        std::string id = HasIds ? "id: " + std::to_string(i) + "\n" : "";
        sendText(Fd, id + "data: eleven tokens of an answer, more or less\n\n");
      }
      return;
    }
  });
  GatewayFixture gateway;
  crocusspur::gateway::ServerEntry entry;
  entry.Id = "d1";
  entry.Service = "summaries";
  entry.Address = server.address();
  entry.Slots = 4;
  entry.Stage = ServerStage::Decode;
  gateway.Directory.applyServer({"d1", {0, 1}, entry}, UpdateOrigin::Store);
  gateway.WhileRunning = [&](SocketPair &Sockets) {
    char buf[4096];
    char last = 0;
    for (int i = 0; i < Events;) {
      ssize_t n = ::read(Sockets.far(), buf, sizeof buf);
      if (n <= 0)
        return;
      for (ssize_t at = 0; at < n; last = buf[at++])
        if (buf[at] == '\n' && last == '\n') { // the end of an event
          ++i;
          turns.give();
        }
    }
  };
  PathRoute route = gateway.route(RouteKind::Stream);
  route.Timeout = Milliseconds(120000);
  route.Resumable = Resumable;
  CallerRequest request = gateway.request();
  request.TimeLeft = route.Timeout;
  double before = threadNanoseconds();
  gateway.run(route, std::move(request));
  return (threadNanoseconds() - before) / Events;
}

void measure(bool Resumable, bool HasIds) {
  std::vector<double> times;
  for (int i = 0; i < Rounds; ++i)
    times.push_back(relay(Resumable, HasIds));
  std::sort(times.begin(), times.end());
  std::cout << "{\"what\":\"event relayed\",\"resumable\":"
            << (Resumable ? "true" : "false")
            << ",\"ids\":" << (HasIds ? "true" : "false")
            << ",\"ns\":" << times[Rounds / 2] << ",\"least\":" << times.front()
            << ",\"most\":" << times.back() << "}\n";
}

} // namespace
} // namespace crocusspur::bench

int main() {
  using crocusspur::bench::measure;
  for (bool resumable : {false, true})
    for (bool ids : {false, true})
      measure(resumable, ids);
  return 0;
}
