// Tests gateway instances as processes whose servers crash under each request
// that has a certain part in its prompt.
#include "crashing_server.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <random>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

// The platform's bounds: from this long after the fifth crash on, at most three
// more requests with the part may reach servers, and from twice as long on
// sound requests must begin as usual.
constexpr Milliseconds ContactTime{3000};
constexpr size_t CrashesBeforeRefusal = 5;
constexpr size_t AllowedSends = 3;
constexpr double LeastShareOfUsual = 0.5;
constexpr int InstanceCount = 4;
constexpr int ServerCount = 10;
constexpr int SoundCallers = 24;
constexpr int CrashingCallers = 2;
constexpr Milliseconds CrashingInterval{200};
constexpr Milliseconds CalmTime{2000};
constexpr Milliseconds MeasuredTime{3000};
// Parts of prompts.
const std::string CommonPart = "c0ffee01";
const std::string CrashingPart = "bad00bad";

std::string makeConfig() {
  return R"({"version":2,"routes":[{"name":"t","host":"a.example",)"
         R"("path-prefix":"/t/","type":"streaming","timeout-ms":14000,)"
         R"("latency-target-ms":900,"priority":1,"service":"llm",)"
         R"("max-attempts":2,"sticky":true,"resumable":true,)"
         R"("itl-target-ms":300}],"services":[{"name":"llm","runtime":)"
         R"({"slots":64,"kv-capacity":60000,"stride":11,"kv-ttl-s":0.5,)"
         R"("hold-ms":2000}}]})";
}

struct BegunShare {
  uint64_t Sent = 0;
  uint64_t Begun = 0; // at the first attempt
  double share() const {
    return Sent == 0 ? 0
                     : static_cast<double>(Begun) / static_cast<double>(Sent);
  }
};

class PromptPartFleet {
public:
  PromptPartFleet() : Fleet(InstanceCount) {
    Fleet.Store.put("op/config", makeConfig());
    for (int i = 0; i < ServerCount; ++i) {
      CrashingServerOptions options;
      options.Id = "llm-" + std::to_string(i);
      options.Service = "llm";
      options.Stage = "decode";
      options.CrashingPart = CrashingPart;
      options.StreamEvents = 40;
      options.EventInterval = Milliseconds(25);
      Servers.push_back(
          std::make_unique<CrashingServer>(Fleet.Store, Log, options));
    }
    Fleet.startAll();
  }

  // Sends a request whose prompt has the common part, `SecondPart` and one of
  // its own to a random instance. Returns what was received.
  std::string send(std::mt19937_64 &Random, const std::string &SecondPart) {
    std::string id = std::to_string(++LastId);
    std::string body = "body " + id;
    int fd = connectTo(Fleet.Instances[Random() % InstanceCount].Callers);
    if (fd < 0)
      return "";
    sendText(fd, "POST /t/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a" + id +
                     "\r\nToken-Usage: 500,100\r\nDeadline-Ms: 10000\r\n"
                     "Prefix-Hash: " +
                     CommonPart + ":200," + SecondPart + ":200,fe" + id +
                     ":100\r\nConnection: close\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string response = readAll(fd);
    ::close(fd);
    return response;
  }

  void runSoundCaller(uint64_t Seed) {
    std::mt19937_64 random(Seed);
    while (!Stopping.load()) {
      TimePoint sent = Clock::now();
      std::string response =
          send(random, "5" + std::to_string(10 + random() % 8));
      bool begun = response.starts_with("HTTP/1.1 200") &&
                   response.find("id: 1") != std::string::npos;
      std::lock_guard lock(Mutex);
      Sound.push_back({sent, begun});
    }
  }

  void runCrashingCaller(uint64_t Seed) {
    std::mt19937_64 random(Seed);
    while (!Stopping.load()) {
      std::this_thread::sleep_for(CrashingInterval);
      send(random, CrashingPart);
    }
  }

  // Sound requests that were sent within the time.
  BegunShare begunBetween(TimePoint From, TimePoint To) {
    std::lock_guard lock(Mutex);
    BegunShare share;
    for (const auto &[sent, begun] : Sound) {
      bool counts = sent >= From && sent < To;
      share.Sent += counts ? 1 : 0;
      share.Begun += counts && begun ? 1 : 0;
    }
    return share;
  }

  // Runs the callers until some time after the fifth crash. Returns the time of
  // the first crashing request.
  TimePoint run() {
    std::vector<std::thread> callers;
    for (int i = 0; i < SoundCallers; ++i)
      callers.emplace_back(
          [this, i] { runSoundCaller(static_cast<uint64_t>(i)); });
    std::this_thread::sleep_for(CalmTime);
    TimePoint first = Clock::now();
    for (int i = 0; i < CrashingCallers; ++i)
      callers.emplace_back(
          [this, i] { runCrashingCaller(static_cast<uint64_t>(100 + i)); });
    eventually([&] { return fifth().has_value(); }, WaitTimeout);
    if (fifth())
      std::this_thread::sleep_until(*fifth() + 2 * ContactTime + MeasuredTime);
    Stopping.store(true);
    for (std::thread &it : callers)
      it.join();
    return first;
  }

  std::optional<TimePoint> fifth() const {
    return Log.crashTime(CrashesBeforeRefusal);
  }

  GatewayFleet Fleet;
  CrashLog Log;

private:
  std::vector<std::unique_ptr<CrashingServer>> Servers;
  std::atomic<int> LastId{1000};
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<std::pair<TimePoint, bool>> Sound; // when sent, whether it began
};

} // namespace

// Each request with the part has a content of its own, so nothing recognised
// it. Sound requests have its first part in common.
TEST_CASE("A part of a prompt that crashed five servers reaches no more") {
  PromptPartFleet setup;
  TimePoint firstCrashing = setup.run();
  std::optional<TimePoint> fifth = setup.fifth();
  REQUIRE(fifth.has_value());
  size_t late = setup.Log.arrivalsAfter(*fifth + ContactTime).size();
  BegunShare before =
      setup.begunBetween(firstCrashing - CalmTime, firstCrashing);
  BegunShare after = setup.begunBetween(
      *fifth + 2 * ContactTime, *fifth + 2 * ContactTime + MeasuredTime);
  MESSAGE(setup.Log.crashes()
          << " servers ended, " << late
          << " late requests; sound requests begun " << before.share()
          << " before, " << after.share() << " after the crashes");
  CHECK(late <= AllowedSends);
  CHECK(before.Sent >= 20);
  CHECK(after.Sent >= 20);
  CHECK(after.share() >= LeastShareOfUsual * before.share());
}
