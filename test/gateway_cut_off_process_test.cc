// Tests gateway instances as processes of which some reach no server, while
// callers, the store and the other instances reach them.
#include "crashing_server.h"
#include "cut_proxy.h"

#include <atomic>
#include <doctest/doctest.h>
#include <random>
#include <thread>
#include <unistd.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

using Clock = std::chrono::steady_clock;

// The platform's bound: from this long after the cut began on, callers of
// instances that are cut off must be served about as often as others.
constexpr Milliseconds ContactTime{3000};
constexpr double LeastShareOfOthers = 0.95;
constexpr Milliseconds CalmTime{1500};
constexpr Milliseconds MeasuredTime{2500};
// Instances are back to their own servers within about a second.
constexpr Milliseconds ReturnTime{1500};
constexpr Milliseconds MeasuredAfter{1500};
constexpr int PlainServers = 3;
constexpr int ModelServers = 4;
constexpr int CallersPerInstance = 3;
constexpr Milliseconds CallerPause{60};
constexpr size_t MaxProblem = 400;

std::string makeRoute(const std::string &Prefix, const std::string &Type,
                      const std::string &Service, int TargetMs) {
  return R"({"name":"r)" + Prefix.substr(1, 1) +
         R"(","host":"a.example","path-prefix":")" + Prefix + R"(","type":")" +
         Type + R"(","timeout-ms":5000,"latency-target-ms":)" +
         std::to_string(TargetMs) + R"(,"priority":1,"service":")" + Service +
         R"(","max-attempts":2,"resumable":true,"itl-target-ms":300})";
}

std::string makeConfig() {
  return R"({"version":2,"routes":[)" +
         makeRoute("/n/", "non_idempotent", "bays", 150) + "," +
         makeRoute("/i/", "idempotent", "bays", 150) + "," +
         makeRoute("/t/", "streaming", "llm", 900) +
         R"(],"services":[{"name":"bays"},{"name":"llm","runtime":{"slots":64,)"
         R"("kv-capacity":60000,"stride":11,"kv-ttl-s":0.5,"hold-ms":2000}}]})";
}

struct Attempt {
  TimePoint Sent;
  Milliseconds Taken;
  bool CutOff; // sent to an instance that is cut off
  bool Served;
  std::string Problem; // the beginning of the response, if it wasn't served
};

struct Share {
  size_t Sent = 0;
  size_t Served = 0;
  Milliseconds Slowest{0};
  double value() const {
    return Sent == 0 ? 0
                     : static_cast<double>(Served) / static_cast<double>(Sent);
  }
};

// The first instances reach servers through proxies that can cut them off.
class CutFleet {
public:
  CutFleet(int Instances, int CutOff) : Fleet(Instances), CutOff(CutOff) {
    // The stores differ, so no instance may learn servers from another.
    Fleet.makeAllSeeds();
    OtherStore.put("op/config", configOf(1, "/x/"));
    for (FakeStore *it : {&Fleet.Store, &OtherStore})
      it->put("op/config", makeConfig());
    for (int i = 0; i < PlainServers + ModelServers; ++i) {
      CrashingServerOptions options;
      bool plain = i < PlainServers;
      options.Id = "s" + std::to_string(i);
      options.Service = plain ? "bays" : "llm";
      options.Stage = plain ? "" : i % 2 == 0 ? "prefill" : "decode";
      options.KeepsId = true;
      options.StreamEvents = 10;
      options.EventInterval = Milliseconds(20);
      Servers.push_back(
          std::make_unique<CrashingServer>(Fleet.Store, Log, options));
      Proxies.push_back(std::make_unique<CutProxy>(Servers.back()->address()));
      OtherStore.put(
          "servers/" + options.Id,
          serverEntry(options.Service, Proxies.back()->address(),
                      std::string("\"state\":\"ready\"") +
                          (plain ? "" : ",\"phase\":\"" + options.Stage + "\""),
                      1764000000001));
    }
    for (int i = 0; i < CutOff; ++i)
      Fleet.useStore(Fleet.Instances[static_cast<size_t>(i)], OtherStore);
    Fleet.startAll();
  }

  ~CutFleet() { finish(); }

  // No connection breaks before all servers refuse new ones and are silent: an
  // instance that is cut off loses all at the same instant. Otherwise the first
  // server whose connections are reset looks like one that has ended, since the
  // next one still accepts connections, or responds on a kept one.
  void setForm(CutForm Form) {
    if (Form == CutForm::Reset)
      for (CutForm before : {CutForm::RefusedNew, CutForm::RefusedSilent})
        for (auto &it : Proxies)
          it->setForm(before);
    for (auto &it : Proxies)
      it->setForm(Form);
  }

  void startCallers() {
    for (size_t i = 0; i < Fleet.Instances.size(); ++i)
      for (int n = 0; n < CallersPerInstance; ++n)
        Callers.emplace_back([this, i, n] { runCaller(i, n); });
  }

  void finish() {
    Stopping.store(true);
    for (std::thread &it : Callers)
      it.join();
    Callers.clear();
  }

  Share shareOf(bool AtCutOff, TimePoint From, TimePoint To) {
    std::lock_guard lock(Mutex);
    Share share;
    for (const Attempt &it : Attempts) {
      if (it.CutOff != AtCutOff || it.Sent < From || it.Sent >= To)
        continue;
      ++share.Sent;
      share.Served += it.Served ? 1 : 0;
      share.Slowest = std::max(share.Slowest, it.Taken);
    }
    return share;
  }

  // What callers that weren't served have received.
  std::string problems(bool AtCutOff, TimePoint From, TimePoint To) {
    std::lock_guard lock(Mutex);
    std::string all;
    for (const Attempt &it : Attempts)
      if (it.CutOff == AtCutOff && it.Sent >= From && it.Sent < To &&
          !it.Served)
        all += std::to_string(it.Taken.count()) + " ms " + it.Problem + "\n";
    return all;
  }

  std::string logs() {
    std::string all;
    for (GatewayInstance &it : Fleet.Instances)
      all += it.Process->output();
    return all;
  }

  GatewayFleet Fleet;

private:
  void runCaller(size_t Instance, int Number) {
    static const char *Paths[] = {"/n/x", "/i/x", "/t/x"};
    bool stream = Number == 2;
    for (int i = 0; !Stopping.load(); ++i) {
      std::string id = "a" + std::to_string(Instance) + "-" +
                       std::to_string(Number) + "-" + std::to_string(i);
      TimePoint sent = Clock::now();
      int fd = connectTo(Fleet.Instances[Instance].Callers);
      if (fd < 0)
        continue;
      sendText(fd, std::string("POST ") + Paths[Number] +
                       " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id +
                       "\r\nToken-Usage: 500,100\r\nDeadline-Ms: 3000\r\n"
                       "Connection: close\r\nContent-Length: 4\r\n\r\nbody");
      std::string response = readAll(fd);
      ::close(fd);
      bool served =
          response.starts_with("HTTP/1.1 200") &&
          response.find("Server-Signature: sig") != std::string::npos &&
          (stream ? response.find("id: 10\n") != std::string::npos &&
                        response.ends_with("\r\n0\r\n\r\n")
                  : response.ends_with("answer"));
      {
        std::lock_guard lock(Mutex);
        Attempts.push_back(
            {sent,
             std::chrono::duration_cast<Milliseconds>(Clock::now() - sent),
             static_cast<int>(Instance) < CutOff, served,
             served ? "" : id + ": " + response.substr(0, MaxProblem)});
      }
      std::this_thread::sleep_for(CallerPause);
    }
  }

  int CutOff;
  FakeStore OtherStore;
  CrashLog Log;
  std::vector<std::unique_ptr<CrashingServer>> Servers;
  std::vector<std::unique_ptr<CutProxy>> Proxies;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<Attempt> Attempts;
  std::vector<std::thread> Callers;
};

std::string text(const Share &Item) {
  return std::to_string(Item.Served) + " of " + std::to_string(Item.Sent) +
         " (slowest " + std::to_string(Item.Slowest.count()) + " ms)";
}

// Cuts the first instances off and checks that their callers are served about
// as often as the others', from the platform's bound on and after the cut.
void checkCut(int Instances, int CutOff, CutForm Form) {
  CutFleet setup(Instances, CutOff);
  setup.startCallers();
  std::this_thread::sleep_for(CalmTime);
  TimePoint cutAt = Clock::now();
  setup.setForm(Form);
  std::this_thread::sleep_for(ContactTime + MeasuredTime);
  TimePoint healedAt = Clock::now();
  setup.setForm(CutForm::None);
  std::this_thread::sleep_for(ReturnTime + MeasuredAfter);
  setup.finish();
  Share early = setup.shareOf(true, cutAt, cutAt + ContactTime);
  Share during = setup.shareOf(true, cutAt + ContactTime, healedAt);
  Share others = setup.shareOf(false, cutAt + ContactTime, healedAt);
  Share after = setup.shareOf(true, healedAt + ReturnTime, Clock::now());
  MESSAGE("cut off: " << text(early) << " in the first 3 s, " << text(during)
                      << " after, others " << text(others) << "; after the cut "
                      << text(after));
  if (during.Served < during.Sent)
    MESSAGE(setup.problems(true, cutAt + ContactTime, healedAt));
  CHECK(during.Sent >= 20);
  CHECK(others.Sent >= 20);
  CHECK(during.value() >= LeastShareOfOthers * others.value());
  CHECK(after.value() >= LeastShareOfOthers);
}

} // namespace

// A connection that breaks off before its server refuses others looked like the
// server's end, and the contents that ran there would be refused everywhere.
TEST_CASE("An instance that is cut off takes no server for crashed") {
  CutFleet setup(4, 1);
  setup.startCallers();
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(CalmTime);
    setup.setForm(CutForm::Reset);
    std::this_thread::sleep_for(CalmTime);
    setup.setForm(CutForm::None);
  }
  setup.finish();
  std::string logs = setup.logs();
  size_t at = logs.find("\"server ended while running a request\"");
  bool crashSeen = at != std::string::npos;
  if (crashSeen)
    MESSAGE(logs.substr(at, logs.find('\n', at) - at));
  bool refused = logs.find("\"content refused\"") != std::string::npos;
  CHECK_FALSE(crashSeen);
  CHECK_FALSE(refused);
}

TEST_CASE("Callers of an instance whose connections to servers are reset are "
          "served") {
  checkCut(4, 1, CutForm::Reset);
}

TEST_CASE("Callers of an instance whose servers refuse it in silence are "
          "served") {
  checkCut(4, 1, CutForm::RefusedSilent);
}

TEST_CASE("Callers of an instance whose connects to servers hang are served") {
  checkCut(4, 1, CutForm::Hang);
}

TEST_CASE("Callers of an instance whose servers are silent are served") {
  checkCut(4, 1, CutForm::Silent);
}

TEST_CASE("Callers of an instance that opens no new connections are served") {
  checkCut(4, 1, CutForm::RefusedNew);
}

TEST_CASE("Callers are served while most instances reach no server") {
  checkCut(8, 5, CutForm::Hang);
}
