#include "site_soak.h"

#include "fault_proxy.h"
#include "gateway_fleet.h"
#include "http_exchange.h"
#include "site_server_process.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <utility>

namespace crocusspur::soak {
namespace {

using Clock = std::chrono::steady_clock;
using internal::ExchangeStatus;
using internal::HttpExchange;
using test::GatewayInstance;

constexpr int InstanceCount = 8;
constexpr int WideInstanceCount = 20;
constexpr size_t DecodeCount = 6;
constexpr size_t PrefillCount = 3;
const std::vector<std::string> FailureDomains = {"hall-a", "hall-b", "hall-c"};
constexpr int RouteCount = 3;
constexpr int ResumableRoute = 0;
const char *const Paths[RouteCount] = {"/r/", "/n/", "/m/"};
constexpr unsigned BreakPercents[] = {15, 40, 60};
// Keep the draws of the form and of links apart from those of the faults.
constexpr uint64_t FormSeedOffset = 1000000;
constexpr uint64_t LinkSeedMask = 1000000;
constexpr uint64_t ReleaseSeedMask = 2000000;
constexpr Milliseconds StreamInterval{1000 / 24};
constexpr Milliseconds RouteTimeout{14000};
// Of the wide form.
constexpr size_t LateRoute = 1;
constexpr Milliseconds LateRouteTimeout{2500};
constexpr unsigned LateFirstPercent = 15;
constexpr unsigned CopyPercent = 10;
constexpr unsigned MaxLinkFaultMs = 900;
constexpr unsigned MaxLinkPauseMs = 700;
// Of a release: times from one replaced server to the next, from the start of a
// new one to the end of the former one's entry and of that server, and from one
// release to the next.
constexpr unsigned MaxReleaseStepMs = 500;
constexpr unsigned MaxDrainMs = 600;
constexpr unsigned MaxServesOnMs = 2500;
constexpr unsigned MaxReleasePauseMs = 1500;
// Callers abandon a stream after a gap of four times the latency target.
constexpr Milliseconds CallerPatience{3600};
constexpr int MaxTakeUps = 4;               // of one stream by its caller
constexpr unsigned PortionOfBehaviour = 10; // callers with it, in 100
constexpr Milliseconds SlowReadPause{60};
constexpr size_t SlowReadBytes = 300;
constexpr int SlowReceiveBuffer = 2048; // bytes
constexpr Milliseconds TricklePause{40};
constexpr Milliseconds QuarterRunning{25}; // of each period
constexpr Milliseconds QuarterPeriod{100};
constexpr Milliseconds GraceTime{8000};        // from SIGTERM to SIGKILL
constexpr Milliseconds StoppedBeforeKill{300}; // some servers
constexpr int ProcessRunBits = 20; // numbers of runs of one server's process
// In a run of the soak. A process that serves before its entry is known can't
// always be told from its predecessor (docs/design/streams.md).
constexpr uint64_t AllowedMixedStreams = 2;
constexpr size_t PrintedViolations = 10;
constexpr size_t PrintedBytes = 500;          // of a violation
constexpr int64_t FirstStart = 1764000000123; // of servers, Unix milliseconds
constexpr int64_t ReleasedStart = 1000000;    // the same, in a release

enum class SiteDisturbance : uint8_t {
  Stop,
  Kill,
  Terminate,
  ReplaceServer,
  StoreAway,
  Configuration,
  ResetConnections
};
constexpr unsigned DisturbanceCount = 7;

struct RouteTerms {
  bool Resumable = false;
  int Attempts = 1;
  Milliseconds Timeout = RouteTimeout;
};

// What a caller does besides sending a request and reading the answer.
struct CallerHabits {
  bool ReadsSlowly = false;
  bool ClosesSendingHalf = false;
  bool Trickles = false;  // the body of the request
  size_t LeavesAfter = 0; // bytes of the answer; 0: doesn't
};

struct CallerAnswer {
  uint32_t Status = 0; // 0: none came
  bool Signed = false;
  bool Complete = false;
  std::string Body;
};

std::string describe(const CallerHabits &Habits) {
  std::string text;
  if (Habits.ReadsSlowly)
    text += ", read slowly";
  if (Habits.ClosesSendingHalf)
    text += ", sending half closed";
  if (Habits.Trickles)
    text += ", body in parts";
  if (Habits.LeavesAfter > 0)
    text += ", left midway";
  return text;
}

class SiteSoak {
public:
  explicit SiteSoak(const SiteSoakOptions &Options);
  bool run();

private:
  // In this process behind a proxy, or a process of its own.
  struct Server {
    std::unique_ptr<SoakServer> Process;
    std::shared_ptr<FaultProxy> Proxy;
    bool Prefill = false;
    std::unique_ptr<SiteServerProcess> Own;
    std::optional<TimePoint> ReturnsAt; // killed, and started again then
  };

  // A server without an entry that has served on; see release().
  struct LeavingServer {
    Server Item;
    TimePoint EndsAt;
  };

  std::unique_ptr<SoakServer> startServer(std::mt19937_64 &Seeds,
                                          const std::string &Id,
                                          const std::string &Version,
                                          int64_t StartedAt);
  SiteServerOptions streamsOf(const std::string &Id,
                              const std::string &Version);
  std::unique_ptr<SiteServerProcess>
  startProcess(const std::string &Id, int64_t StartedAt, uint16_t Port);
  void writeEntry(size_t Index);
  void killServer();
  // Starts killed servers again whose time has come.
  void returnServers();
  void writeConfig();
  // Ends a disturbance that lasts, or begins a random one.
  void injectFaults();
  void injectFault(SiteDisturbance Kind);
  void replaceServer();
  void changeConfig();
  // Lets the links to servers fail, one after the other, for a while each.
  void disturbLinks();
  // Replaces servers by ones of the next version, again and again.
  void release();
  void releaseServer(std::mt19937_64 &Draws, size_t Index,
                     const std::string &Version);
  void endLeavingServers();
  // Lets each instance run a quarter of the time.
  void throttleInstances();
  // Acts as the platform: starts instances again that have ended.
  void restartExited();
  void endFaults();

  void runStream(int Number, uint64_t Seed);
  // Sends one request to a random instance, or on a kept connection.
  CallerAnswer ask(std::mt19937_64 &Random, int Route, const std::string &Id,
                   const std::string &Fields, const CallerHabits &Habits);
  void readAnswer(HttpExchange &Http, const CallerHabits &Habits,
                  CallerAnswer &Answer);
  // Returns a socket to an instance, kept from an earlier answer or new.
  internal::BackendSocketPtr connect(std::mt19937_64 &Random, bool Kept);
  CallerHabits drawHabits(std::mt19937_64 &Random, int Route);
  std::string takeUpFields(const SiteStream &Stream) const;
  // Takes the stream up at one instance, or at two at once.
  void takeUp(std::mt19937_64 &Random, SiteStream &Stream, int Attempt);
  void judge(SiteStream &Stream, const std::string &Id,
             const CallerAnswer &Answer, const CallerHabits &Habits);
  void report(SiteFault Fault, const std::string &Text);
  bool printResult();
  unsigned below(unsigned Below) {
    return static_cast<unsigned>(Random() % Below);
  }

  const SiteSoakOptions Options;
  std::mt19937_64 Random; // of the faults
  const EventForm Form;
  unsigned BreakPercent = 0;
  bool Throttled = false;
  bool Enabled[DisturbanceCount] = {};
  RunCounter Executions;
  std::vector<Server> Servers;
  std::vector<std::unique_ptr<SoakServer>> FormerServers; // still running
  std::vector<std::unique_ptr<SiteServerProcess>> KilledServers;
  std::vector<LeavingServer> Leaving; // of the releasing thread
  std::vector<Server> Ended;
  int64_t Released = 0; // servers
  std::vector<std::string> EndedOutput;
  test::GatewayFleet Fleet;
  std::mutex FleetMutex; // guards the instances' Process pointers
  std::map<int, TimePoint> TerminatedAt; // by process id
  RouteTerms Routes[RouteCount];
  bool EverResumable[RouteCount] = {};
  uint64_t ConfigVersion = 1;
  bool StoreIsAway = false;
  std::atomic<bool> StopRequested{false};

  std::mutex ResultMutex; // guards what follows
  std::vector<internal::BackendSocketPtr> KeptConnections;
  std::vector<std::pair<std::string, int>> Attempts; // id and route
  std::vector<std::string> Violations;
  std::vector<std::string> MixedTexts;
  uint64_t Counts[SiteFaultCount] = {};
  uint64_t Streams = 0, Complete = 0, BrokenOff = 0, Refused = 0, TakenUp = 0;
};

SiteSoak::SiteSoak(const SiteSoakOptions &Options)
    : Options(Options), Random(Options.Seed),
      Form(drawForm(Options.Seed + FormSeedOffset)),
      Fleet(Options.Instances > 0 ? Options.Instances
            : Options.Wide        ? WideInstanceCount
                                  : InstanceCount,
            "", FailureDomains) {
  BreakPercent = BreakPercents[below(std::size(BreakPercents))];
  if (Options.BreakPercent > 0)
    BreakPercent = Options.BreakPercent;
  for (bool &it : Enabled)
    it = below(2) == 0;
  Throttled = below(5) == 0;
  if (Options.KillsServers)
    Enabled[static_cast<size_t>(SiteDisturbance::ReplaceServer)] = true;
  Routes[ResumableRoute] = {true, 2, RouteTimeout};
  if (Options.Wide)
    Routes[LateRoute].Timeout = LateRouteTimeout;
  if (!Options.Program.empty())
    Fleet.Program = Options.Program;
  Fleet.OtherProgram = Options.OtherProgram;
}

SiteServerOptions SiteSoak::streamsOf(const std::string &Id,
                                      const std::string &Version) {
  SiteServerOptions streams;
  streams.Id = Id;
  streams.Version = Version;
  streams.Form = &Form;
  streams.BreakPercent = BreakPercent;
  if (Options.Wide) {
    streams.CopyPercent = CopyPercent;
    streams.LateFirstPercent = LateFirstPercent;
    streams.LatePath = Paths[LateRoute];
    streams.LateFirst = LateRouteTimeout + Milliseconds(100);
  }
  return streams;
}

std::unique_ptr<SoakServer> SiteSoak::startServer(std::mt19937_64 &Seeds,
                                                  const std::string &Id,
                                                  const std::string &Version,
                                                  int64_t StartedAt) {
  SiteServerOptions streams = streamsOf(Id, Version);
  // In this order, so that the faults of each seed stay what they are.
  uint64_t serverSeed = Seeds();
  streams.Seed = Seeds();
  return std::make_unique<SoakServer>(Executions, serverSeed, Id, Version,
                                      StartedAt,
                                      makeSiteStreams(std::move(streams)));
}

std::unique_ptr<SiteServerProcess> SiteSoak::startProcess(const std::string &Id,
                                                          int64_t StartedAt,
                                                          uint16_t Port) {
  SiteServerTerms terms{streamsOf(Id, "v1"),
                        Random(),
                        Options.Seed + FormSeedOffset,
                        StartedAt,
                        Port,
                        (KilledServers.size() + Servers.size() + 1)
                            << ProcessRunBits};
  terms.Streams.Seed = Random();
  return std::make_unique<SiteServerProcess>(terms);
}

void SiteSoak::killServer() {
  size_t i = below(DecodeCount);
  Server &server = Servers[i];
  if (server.ReturnsAt)
    return;
  static constexpr Milliseconds Pauses[] = {
      Milliseconds(0), Milliseconds(0), Milliseconds(500), Milliseconds(2000)};
  server.Own->kill(below(4) == 0 ? StoppedBeforeKill : Milliseconds(0));
  server.ReturnsAt = Clock::now() + Pauses[below(std::size(Pauses))];
  EndedOutput.push_back(server.Own->id() + " of start " +
                        std::to_string(server.Own->startedAt()) + " killed");
}

void SiteSoak::returnServers() {
  for (size_t i = 0; i < Servers.size(); ++i) {
    Server &server = Servers[i];
    if (!server.ReturnsAt || Clock::now() < *server.ReturnsAt)
      continue;
    server.ReturnsAt.reset();
    auto start = FirstStart + 1 + static_cast<int64_t>(KilledServers.size());
    std::string id = server.Own->id();
    uint16_t port = server.Own->port();
    KilledServers.push_back(std::move(server.Own));
    server.Own = startProcess(id, start, port);
    writeEntry(i);
  }
}

void SiteSoak::writeEntry(size_t Index) {
  const Server &server = Servers[Index];
  if (server.Own) {
    Fleet.Store.put(
        "servers/" + server.Own->id(),
        test::serverEntry("llm", server.Own->address(),
                          R"("state":"ready","phase":"decode")",
                          server.Own->startedAt(), server.Own->version(),
                          FailureDomains[Index % FailureDomains.size()]));
    return;
  }
  Fleet.Store.put(
      "servers/" + server.Process->id(),
      test::serverEntry("llm", server.Proxy->address(),
                        std::string(R"("state":"ready","phase":")") +
                            (server.Prefill ? "prefill\"" : "decode\""),
                        server.Process->startedAt(), server.Process->version(),
                        FailureDomains[Index % FailureDomains.size()]));
}

void SiteSoak::writeConfig() {
  std::string routes;
  for (int i = 0; i < RouteCount; ++i) {
    EverResumable[i] = EverResumable[i] || Routes[i].Resumable;
    routes += (i > 0 ? "," : "") + std::string(R"({"name":"r)") + Paths[i][1] +
              R"(","host":"a.example","path-prefix":")" + Paths[i] +
              R"(","type":"streaming","timeout-ms":)" +
              std::to_string(Routes[i].Timeout.count()) +
              R"(,"latency-target-ms":900,"priority":1,"service":"llm",)"
              R"("max-attempts":)" +
              std::to_string(Routes[i].Attempts) + R"(,"resumable":)" +
              (Routes[i].Resumable ? "true" : "false") +
              R"(,"itl-target-ms":300})";
  }
  Fleet.Store.put(
      "op/config",
      "{\"version\":" + std::to_string(ConfigVersion) + ",\"routes\":[" +
          routes +
          R"(],"services":[{"name":"llm","runtime":{"slots":64,)"
          R"("kv-capacity":60000,"stride":11,"kv-ttl-s":0.5,"hold-ms":2000}}]})");
}

void SiteSoak::changeConfig() {
  // The last route is never resumable.
  unsigned n = below(RouteCount);
  RouteTerms &route = Routes[n];
  route.Attempts = 1 + static_cast<int>(below(3));
  route.Timeout = RouteTimeout - Milliseconds(below(5) * 1000);
  if (Options.Wide && n == LateRoute)
    route.Timeout = LateRouteTimeout;
  if (n + 1 < RouteCount && below(3) == 0)
    route.Resumable = !route.Resumable;
  ++ConfigVersion;
  writeConfig();
}

void SiteSoak::replaceServer() {
  size_t i = below(DecodeCount);
  Server &server = Servers[i];
  std::string version = below(2) == 0 ? "v1" : "v1.1";
  auto start = FirstStart + 1 + static_cast<int64_t>(FormerServers.size());
  auto successor = startServer(Random, server.Process->id(), version, start);
  server.Proxy->setTarget(successor->address());
  bool ended = below(2) == 0;
  if (ended)
    server.Process->endConnections();
  EndedOutput.push_back(successor->id() + " replaced by start " +
                        std::to_string(start) + " of version " + version +
                        (ended ? ", connections ended" : ""));
  FormerServers.push_back(std::exchange(server.Process, std::move(successor)));
  writeEntry(i);
}

void SiteSoak::injectFault(SiteDisturbance Kind) {
  GatewayInstance &instance =
      Fleet.Instances[below(static_cast<unsigned>(Fleet.Instances.size()))];
  switch (Kind) {
  case SiteDisturbance::Stop:
    instance.Process->signal(below(2) == 0 ? SIGSTOP : SIGCONT);
    break;
  case SiteDisturbance::Kill:
    instance.Process->signal(SIGKILL);
    break;
  case SiteDisturbance::Terminate:
    instance.Process->signal(SIGTERM);
    TerminatedAt.try_emplace(instance.Process->pid(), Clock::now());
    break;
  case SiteDisturbance::ReplaceServer:
    // The entry of a server that nobody can read is a fault of its own.
    if (Options.KillsServers)
      killServer();
    else if (!StoreIsAway)
      replaceServer();
    break;
  case SiteDisturbance::StoreAway:
    StoreIsAway = !StoreIsAway;
    Fleet.Store.setAway(StoreIsAway);
    break;
  case SiteDisturbance::Configuration:
    changeConfig();
    break;
  case SiteDisturbance::ResetConnections:
    if (const Server &server =
            Servers[below(static_cast<unsigned>(Servers.size()))];
        server.Proxy)
      server.Proxy->resetAll();
    break;
  }
}

void SiteSoak::injectFaults() {
  TimePoint end = Clock::now() + Options.Length;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds(30 + below(250)));
    std::lock_guard lock(FleetMutex);
    for (unsigned n = 1 + below(3); n > 0; --n) {
      unsigned kind = below(DisturbanceCount);
      if (Enabled[kind])
        injectFault(static_cast<SiteDisturbance>(kind));
    }
    returnServers();
    restartExited();
  }
}

void SiteSoak::disturbLinks() {
  static constexpr ProxyFault Faults[] = {ProxyFault::Delay, ProxyFault::Stall,
                                          ProxyFault::DropResponses,
                                          ProxyFault::Reject};
  // Draws of their own, as another thread draws the other faults.
  std::mt19937_64 random(Options.Seed ^ LinkSeedMask);
  while (!StopRequested.load()) {
    std::shared_ptr<FaultProxy> link;
    {
      std::lock_guard lock(FleetMutex);
      link = Servers[random() % Servers.size()].Proxy;
    }
    if (!link)
      continue;
    link->setFault(Faults[random() % std::size(Faults)]);
    std::this_thread::sleep_for(Milliseconds(random() % MaxLinkFaultMs));
    link->setFault(ProxyFault::None);
    std::this_thread::sleep_for(Milliseconds(random() % MaxLinkPauseMs));
  }
}

void SiteSoak::releaseServer(std::mt19937_64 &Draws, size_t Index,
                             const std::string &Version) {
  auto pause = [&](unsigned Most) {
    std::this_thread::sleep_for(Milliseconds(Draws() % Most));
  };
  Server former;
  {
    std::lock_guard lock(FleetMutex);
    if (StoreIsAway)
      return;
    Server &server = Servers[Index];
    former = std::exchange(server, {});
    std::string id = "n-" + std::to_string(++Released);
    server.Process =
        startServer(Draws, id, Version, FirstStart + ReleasedStart + Released);
    server.Proxy = std::make_shared<FaultProxy>(server.Process->address());
    writeEntry(Index);
    EndedOutput.push_back(former.Process->id() + " gives way to " + id +
                          " of version " + Version);
  }
  pause(MaxDrainMs);
  std::string key = "servers/" + former.Process->id();
  {
    std::lock_guard lock(FleetMutex);
    Fleet.Store.remove(key);
  }
  Leaving.push_back({std::move(former),
                     Clock::now() + Milliseconds(Draws() % MaxServesOnMs)});
  pause(MaxReleaseStepMs);
}

void SiteSoak::endLeavingServers() {
  std::erase_if(Leaving, [&](LeavingServer &It) {
    if (Clock::now() < It.EndsAt)
      return false;
    It.Item.Process->endConnections();
    It.Item.Proxy->setFault(ProxyFault::Reject);
    std::lock_guard lock(FleetMutex);
    Ended.push_back(std::move(It.Item));
    return true;
  });
}

void SiteSoak::release() {
  // Draws of their own, as another thread draws the other faults.
  std::mt19937_64 draws(Options.Seed ^ ReleaseSeedMask);
  for (int version = 2; !StopRequested.load(); ++version) {
    std::string text = "v" + std::to_string(version);
    // All servers or some of them; back to the version before at times.
    if (draws() % 4 == 0)
      text = "v" + std::to_string(version - 2);
    size_t stopped = draws() % Fleet.Instances.size();
    auto signal = [&](int Number) {
      std::lock_guard lock(FleetMutex);
      Fleet.Instances[stopped].Process->signal(Number);
    };
    if (draws() % 3 > 0)
      signal(SIGSTOP);
    size_t goesOnAfter = draws() % DecodeCount;
    for (size_t i = 0; i < DecodeCount && !StopRequested.load(); ++i) {
      if (draws() % 3 > 0)
        releaseServer(draws, i, text);
      if (i == goesOnAfter)
        signal(SIGCONT);
      endLeavingServers();
    }
    std::this_thread::sleep_for(Milliseconds(draws() % MaxReleasePauseMs));
  }
}

void SiteSoak::throttleInstances() {
  while (!StopRequested.load()) {
    for (auto [number, time] :
         {std::pair{SIGCONT, QuarterRunning},
          std::pair{SIGSTOP, QuarterPeriod - QuarterRunning}}) {
      {
        std::lock_guard lock(FleetMutex);
        for (GatewayInstance &it : Fleet.Instances)
          it.Process->signal(number);
      }
      std::this_thread::sleep_for(time);
    }
  }
}

void SiteSoak::restartExited() {
  for (GatewayInstance &it : Fleet.Instances) {
    auto since = TerminatedAt.find(it.Process->pid());
    if (since != TerminatedAt.end() && Clock::now() - since->second > GraceTime)
      it.Process->signal(SIGKILL);
    if (it.Process->waitForExit(Milliseconds(0))) {
      EndedOutput.push_back(it.Process->output());
      Fleet.start(it);
    }
  }
}

void SiteSoak::endFaults() {
  std::lock_guard lock(FleetMutex);
  Fleet.Store.setAway(false);
  for (GatewayInstance &it : Fleet.Instances)
    it.Process->signal(SIGCONT);
}

internal::BackendSocketPtr SiteSoak::connect(std::mt19937_64 &Random,
                                             bool Kept) {
  if (Kept) {
    std::lock_guard lock(ResultMutex);
    while (!KeptConnections.empty()) {
      auto connection = std::move(KeptConnections.back());
      KeptConnections.pop_back();
      if (connection->isIdleAndOpen())
        return connection;
    }
  }
  internal::PollWaiter waiter;
  HttpExchange http(waiter);
  if (http.connect(Fleet.Instances[Random() % Fleet.Instances.size()].Callers,
                   Clock::now() + Milliseconds(1000)) != ExchangeStatus::Ok)
    return nullptr;
  return http.releaseUnused();
}

CallerHabits SiteSoak::drawHabits(std::mt19937_64 &Random, int Route) {
  auto draw = [&] { return Random() % 100 < PortionOfBehaviour; };
  CallerHabits habits;
  habits.ReadsSlowly = draw();
  habits.ClosesSendingHalf = draw();
  habits.Trickles = draw();
  if (Route == ResumableRoute ? draw() || draw() : draw())
    habits.LeavesAfter = 1 + Random() % 1000;
  return habits;
}

void SiteSoak::readAnswer(HttpExchange &Http, const CallerHabits &Habits,
                          CallerAnswer &Answer) {
  TimePoint end = Clock::now() + RouteTimeout;
  bool atEnd = false;
  while (!atEnd && Clock::now() < end) {
    ExchangeStatus status =
        Habits.ReadsSlowly
            ? Http.readBodyUpTo(Answer.Body, atEnd,
                                Answer.Body.size() + SlowReadBytes,
                                CallerPatience)
            : Http.readBody(Answer.Body, atEnd, CallerPatience);
    if (status != ExchangeStatus::Ok ||
        (Habits.LeavesAfter > 0 && Answer.Body.size() >= Habits.LeavesAfter &&
         !atEnd))
      return;
    if (Habits.ReadsSlowly)
      std::this_thread::sleep_for(SlowReadPause);
  }
  Answer.Complete = atEnd;
}

CallerAnswer SiteSoak::ask(std::mt19937_64 &Random, int Route,
                           const std::string &Id, const std::string &Fields,
                           const CallerHabits &Habits) {
  CallerAnswer answer;
  internal::BackendSocketPtr connection = connect(Random, Random() % 3 == 0);
  if (!connection)
    return answer;
  int fd = connection->fd();
  if (Habits.ReadsSlowly)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &SlowReceiveBuffer,
                 sizeof SlowReceiveBuffer);
  internal::PollWaiter waiter;
  HttpExchange http(waiter);
  http.adopt(std::move(connection));
  {
    std::lock_guard lock(ResultMutex);
    Attempts.emplace_back(Id, Route);
  }
  const std::string body = "a prompt of the caller " + Id;
  std::string head =
      std::string("POST ") + Paths[Route] +
      "x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + Id +
      "\r\nModel: m\r\nToken-Usage: 500,60\r\nPrefix-Hash: "
      "c0ffee:200,fe" +
      std::to_string(Random() % 20) + ":300\r\nDeadline-Ms: 14000\r\n" +
      Fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (Habits.Trickles) {
    http.send(head, TimePoint::max(), CallerPatience);
    for (char it : body.substr(0, 5)) {
      std::this_thread::sleep_for(TricklePause);
      http.send(std::string(1, it), TimePoint::max(), CallerPatience);
    }
    http.send(body.substr(5), TimePoint::max(), CallerPatience);
  } else {
    http.send(head + body, TimePoint::max(), CallerPatience);
  }
  if (Habits.ClosesSendingHalf)
    ::shutdown(fd, SHUT_WR);
  if (http.readHead("POST", CallerPatience) != ExchangeStatus::Ok)
    return answer;
  answer.Status = http.head().Status;
  answer.Signed = http.head().find("Server-Signature") != nullptr;
  readAnswer(http, Habits, answer);
  if (internal::BackendSocketPtr kept = http.release();
      kept && !Habits.ClosesSendingHalf && !Habits.ReadsSlowly) {
    std::lock_guard lock(ResultMutex);
    KeptConnections.push_back(std::move(kept));
  }
  return answer;
}

void SiteSoak::report(SiteFault Fault, const std::string &Text) {
  std::lock_guard lock(ResultMutex);
  ++Counts[static_cast<size_t>(Fault)];
  (Fault == SiteFault::MixedVersions ? MixedTexts : Violations).push_back(Text);
}

void SiteSoak::judge(SiteStream &Stream, const std::string &Id,
                     const CallerAnswer &Answer, const CallerHabits &Habits) {
  if (Answer.Status < 200 || Answer.Status >= 300) {
    std::lock_guard lock(ResultMutex);
    Refused += Answer.Status != 0;
    return;
  }
  if (!Answer.Signed)
    report(SiteFault::Unsigned, "unsigned success for " + Id);
  for (const SiteFinding &it : Stream.add(Answer.Body, Answer.Complete))
    report(it.Fault, it.Text + " [" + Id + describe(Habits) + "]");
}

std::string SiteSoak::takeUpFields(const SiteStream &Stream) const {
  return "Resumes: " + Stream.id() +
         "\r\nLast-Event-Id: " + std::to_string(Stream.tokens()) + "\r\n";
}

void SiteSoak::takeUp(std::mt19937_64 &Random, SiteStream &Stream,
                      int Attempt) {
  std::string id = Stream.id() + "-r" + std::to_string(Attempt);
  std::string fields = takeUpFields(Stream);
  CallerHabits habits = drawHabits(Random, ResumableRoute);
  SiteStream twin = Stream;
  std::thread second;
  if (Random() % 4 == 0)
    second = std::thread([&, seed = Random()] {
      std::mt19937_64 random(seed);
      CallerAnswer answer = ask(random, ResumableRoute, id + "b", fields, {});
      judge(twin, id + "b", answer, {});
    });
  judge(Stream, id, ask(Random, ResumableRoute, id, fields, habits), habits);
  if (second.joinable())
    second.join();
  // The caller goes on with the answer that has more.
  if (!Stream.isOver() && twin.tokens() > Stream.tokens())
    Stream = twin;
}

void SiteSoak::runStream(int Number, uint64_t Seed) {
  std::mt19937_64 random(Seed);
  int route = Number % RouteCount;
  std::string id = "s" + std::to_string(Number);
  SiteStream stream(id, Form);
  CallerHabits habits = drawHabits(random, route);
  judge(stream, id, ask(random, route, id, "", habits), habits);
  bool begun = stream.tokens() > 0;
  bool takesUp = route == ResumableRoute && begun && !stream.isOver();
  for (int i = 1; takesUp && i <= MaxTakeUps && !stream.isOver(); ++i)
    takeUp(random, stream, i);
  std::lock_guard lock(ResultMutex);
  ++Streams;
  ++(stream.isOver() ? Complete : BrokenOff);
  TakenUp += takesUp;
}

bool SiteSoak::printResult() {
  std::map<std::string, int> ownRuns; // of servers that are processes
  for (const Server &it : Servers)
    if (it.Own)
      it.Own->countRuns(ownRuns);
  for (const auto &it : KilledServers)
    it->countRuns(ownRuns);
  for (const auto &[id, route] : Attempts)
    if (int runs = Executions.count(id) + ownRuns[id];
        runs > 1 && !EverResumable[route])
      report(SiteFault::RanTwice,
             "ran_twice " + id + ": " + std::to_string(runs) + " runs");
  uint64_t &mixed = Counts[static_cast<size_t>(SiteFault::MixedVersions)];
  uint64_t mixedStreams = mixed;
  if (mixed > AllowedMixedStreams)
    Violations.insert(Violations.end(), MixedTexts.begin(), MixedTexts.end());
  else
    mixed = 0;
  std::cout << (Options.Wide ? "wide, " : "site, ") << describe(Form) << ", "
            << BreakPercent << " in 100 break off"
            << (Throttled ? ", throttled" : "") << ": streams " << Streams
            << ", complete " << Complete << ", broken off " << BrokenOff
            << ", taken up " << TakenUp << ", refused " << Refused
            << ", servers replaced " << FormerServers.size() << ", released "
            << Released << ", killed " << KilledServers.size()
            << ", mixed streams " << mixedStreams << ", violations "
            << Violations.size();
  for (size_t i = 0; i < SiteFaultCount; ++i)
    std::cout << (i == 0 ? ": " : ", ") << nameOf(static_cast<SiteFault>(i))
              << " " << Counts[i];
  std::cout << "\n";
  for (size_t i = 0; i < std::min(Violations.size(), PrintedViolations); ++i)
    std::cout << "  " << Violations[i].substr(0, PrintedBytes) << "\n";
  if (!Violations.empty() || Options.KeepLogs) {
    for (const std::string &it : MixedTexts)
      std::cerr << it << "\n";
    for (const std::string &it : EndedOutput)
      std::cerr << it << "\n";
    for (GatewayInstance &it : Fleet.Instances)
      std::cerr << it.Process->output() << "\n";
  }
  return Violations.empty();
}

bool SiteSoak::run() {
  for (size_t i = 0; i < DecodeCount + PrefillCount; ++i) {
    bool prefill = i >= DecodeCount;
    std::string id = (prefill ? "p-" : "d-") + std::to_string(i);
    if (Options.KillsServers && !prefill) {
      Servers.emplace_back();
      Servers[i].Own = startProcess(id, FirstStart, 0);
      writeEntry(i);
      continue;
    }
    Server server;
    server.Process = startServer(Random, id, "v1", FirstStart);
    server.Prefill = prefill;
    server.Proxy = std::make_shared<FaultProxy>(server.Process->address());
    Servers.push_back(std::move(server));
    writeEntry(i);
  }
  writeConfig();
  Fleet.startAll();
  // Draws of their own, so that the faults of each seed stay what they are.
  std::mt19937_64 streamSeeds(~Options.Seed);
  std::vector<std::thread> callers;
  std::thread throttle;
  if (Throttled)
    throttle = std::thread([this] { throttleInstances(); });
  std::thread links;
  if (Options.Wide)
    links = std::thread([this] { disturbLinks(); });
  std::thread releases;
  if (Options.Releases)
    releases = std::thread([this] { release(); });
  std::thread pacing([&] {
    TimePoint next = Clock::now();
    for (int i = 0; !StopRequested.load(); ++i) {
      callers.emplace_back(
          [this, i, seed = streamSeeds()] { runStream(i, seed); });
      next += StreamInterval;
      std::this_thread::sleep_until(next);
    }
  });
  injectFaults();
  StopRequested.store(true);
  pacing.join();
  if (throttle.joinable())
    throttle.join();
  if (links.joinable())
    links.join();
  if (releases.joinable())
    releases.join();
  endFaults();
  for (std::thread &it : callers)
    it.join();
  return printResult();
}

} // namespace

bool runSiteSoak(const SiteSoakOptions &Options) {
  return SiteSoak(Options).run();
}

} // namespace crocusspur::soak
