// Answers without a length through an instance, of a sound server whose reports
// take up to five seconds. CROCUSSPUR_ANSWERS sets their number for trials.
#include "memory_rig.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using namespace crocusspur::test;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::array ReportDelays{0, 100, 300, 900, 1200, 2000, 5000};
constexpr int Callers = 48;
const std::string Body = "bay 7, free from 9:40";

// Sends unframed answers. Its reports take the next of the delays.
class SlowReporter {
public:
  explicit SlowReporter(bool IsSlow)
      : IsSlow(IsSlow), Server([this](int Fd, int) { serve(Fd); }) {}
  std::string address() const { return Server.address(); }
  int answers() const { return Answers.load(); }

private:
  void serve(int Fd) {
    while (true) {
      std::string request = readRequest(Fd);
      if (request.empty())
        return;
      if (!request.starts_with("GET /api/report")) {
        ++Answers;
        sendText(Fd, "HTTP/1.1 200 X\r\nServer-Signature: sig\r\nAttempt-Id: " +
                         headerField(request, "Attempt-Id") + "\r\n\r\n" +
                         Body);
        return;
      }
      size_t n = IsSlow ? Reports++ % ReportDelays.size() : 0;
      std::this_thread::sleep_for(Milliseconds(ReportDelays[n]));
      sendText(Fd, httpResponse(200, "{}"));
    }
  }

  const bool IsSlow;
  std::atomic<size_t> Reports{0};
  std::atomic<int> Answers{0};
  ScriptServer Server;
};

// Returns the answer's head and body.
std::string call(const GatewayInstance &Item, const std::string &Id) {
  int fd = connectTo(Item.Callers);
  if (fd < 0)
    return "";
  sendText(fd, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + Id +
                   "\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n"
                   "Connection: close\r\n\r\n");
  std::string response = readAll(fd);
  ::close(fd);
  return response;
}

struct Outcome {
  std::vector<double> Times; // ms, of whole answers; sorted
  int Lost = 0;
  int NotRun = 0;
};

Outcome callAll(bool IsSlow, int Threads, int Count) {
  SlowReporter server(IsSlow);
  GatewayFleet fleet(1);
  fleet.Store.put("op/config", MemoryRigConfig);
  fleet.Store.put("servers/s1", wideEntry("bays", server.address()));
  fleet.startAll();
  Outcome all;
  std::mutex mutex;
  std::atomic<int> next{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < Threads; ++i)
    threads.emplace_back([&] {
      for (int n = next++; n < Count; n = next++) {
        TimePoint sentAt = Clock::now();
        std::string response =
            call(fleet.Instances[0], "p" + std::to_string(n));
        std::chrono::duration<double, std::milli> taken = Clock::now() - sentAt;
        std::lock_guard lock(mutex);
        if (response.starts_with("HTTP/1.1 200") && response.ends_with(Body))
          all.Times.push_back(taken.count());
        else if (response.find("\"run\":\"no\"") != std::string::npos)
          ++all.NotRun;
        else
          ++all.Lost;
      }
    });
  for (std::thread &it : threads)
    it.join();
  CHECK(all.Times.size() == static_cast<size_t>(Count));
  CHECK(server.answers() == Count);
  std::ranges::sort(all.Times);
  auto at = [&](size_t Percent) {
    return all.Times.empty()
               ? 0.0
               : all.Times[(all.Times.size() - 1) * Percent / 100];
  };
  MESSAGE((IsSlow ? "slow" : "fast")
          << " reports: whole " << all.Times.size() << ", not run "
          << all.NotRun << ", lost " << all.Lost << "; ms: median " << at(50)
          << ", 99% " << at(99) << ", most " << at(100));
  return all;
}

int answersOr(int Default) {
  const char *text = std::getenv("CROCUSSPUR_ANSWERS");
  return text ? std::atoi(text) : Default;
}

} // namespace

// The gateway gave sound answers up a second after their end and returned 502
// to callers that had seconds left.
TEST_CASE("No answer of a sound server is lost beside its slow reports") {
  Outcome all = callAll(/*IsSlow=*/true, Callers, answersOr(96));
  CHECK(all.Lost == 0);
  CHECK(all.NotRun == 0);
}

TEST_CASE("An answer without a length arrives at once if its report does") {
  Outcome all = callAll(/*IsSlow=*/false, 1, answersOr(96));
  CHECK(all.Lost == 0);
  CHECK(all.NotRun == 0);
}
