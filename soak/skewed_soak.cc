#include "skewed_soak.h"

#include "cut_proxy.h"
#include "gateway_fleet.h"
#include "http_exchange.h"
#include "site_server_process.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

namespace crocusspur::soak {
namespace {

using Clock = std::chrono::steady_clock;
using internal::ExchangeStatus;
using internal::HttpExchange;
using test::CutForm;
using test::GatewayInstance;

constexpr int InstanceCount = 5;
constexpr int WideInstanceCount = 12;
constexpr size_t DecodeCount = 3; // of each version
constexpr size_t WideDecodeCount = 6;
constexpr int StreamCount = 16; // of a round
constexpr int WideStreamCount = 30;
const std::vector<std::string> FailureDomains = {"hall-a", "hall-b", "hall-c"};
// Keeps the draws of the form apart from those of the rounds.
constexpr uint64_t FormSeedOffset = 1000000;
constexpr int ProcessRunBits = 20; // numbers of runs of one server's process
constexpr int64_t FirstStart = 1764000000123; // of servers, Unix milliseconds
constexpr Milliseconds RouteTimeout{8000};
constexpr Milliseconds CallerPatience{3600};
constexpr Milliseconds CallerTime{4500}; // for all answers to one stream
constexpr int MaxBegins = 3; // of one caller, until a stream has an event
constexpr unsigned MaxTakeUpPauseMs = 300;
constexpr Milliseconds EventPause{80}; // so that streams last for a second
// Until instances have read an entry.
constexpr Milliseconds JoinTime{150};
constexpr unsigned BreakPercent = 10; // of runs
constexpr unsigned FailFirstPercents[] = {0, 30};
constexpr unsigned SideBySideFailFirstPercent = 50;
// The fleet's few requests would leave it no retries of runs that fail.
constexpr double RetryBudgetRatio = 5;
constexpr size_t PrintedViolations = 10;
constexpr size_t PrintedBytes = 500; // of a violation

// What is drawn for one round.
struct Round {
  int Number = 0;
  bool SideBySide = false; // both versions serve, and instances are cut off
  size_t OutOfStep = 0;    // an instance, in the ways that follow
  bool Stopped = false;
  bool StoreSilent = false;
  bool StoreReturns = false; // once the servers have ended
  bool PeersStopped = false; // before the servers end
  Milliseconds StopTime{0};  // from the end of the servers on
  CutForm Cut = CutForm::None;
  bool OldEntriesRemoved = false; // else they report to be draining
  bool NewEntriesRemoved = false; // before the servers end
  bool OldReturnsFirst = false;   // before the servers end
  std::set<size_t> Killed;        // instances, with the servers
  std::set<size_t> KilledEarly;   // instances, as streams begin
};

struct Answer {
  uint32_t Status = 0; // 0: none came
  bool Signed = false;
  bool Complete = false;
  std::string Body;
};

// Streams with CR as their line end are left to the other shapes, so that
// builds that can't read these can be compared.
uint64_t drawFormSeed(uint64_t Seed) {
  uint64_t seed = Seed + FormSeedOffset;
  while (drawForm(seed).LineEnd == "\r")
    seed += FormSeedOffset;
  return seed;
}

class SkewedSoak {
public:
  explicit SkewedSoak(const SiteSoakOptions &Options);
  bool run();

private:
  struct Server {
    std::string Id;
    std::string Version;
    int64_t StartedAt = 0;
    std::string FailureDomain;
    std::unique_ptr<SiteServerProcess> Decode; // one of the two
    std::unique_ptr<SoakServer> Prefill;
    bool Ended = false;
  };
  using Servers = std::vector<Server>;

  Server startServer(const std::string &Version, bool Prefill,
                     unsigned FailFirstPercent);
  Servers startVersion(const std::string &Version, unsigned FailFirstPercent);
  void writeEntry(const Server &Item, const std::string &State);
  void writeEntries(const Servers &Items, const std::string &State);
  void removeEntries(const Servers &Items);
  void end(Server &Item);
  void writeConfig();

  Round drawRound(int Number);
  void runRound(const Round &Plan);
  // Ends the servers of a round, and instances with them.
  void endServers(const Round &Plan, Servers &New);
  void setCut(CutForm Form);
  void signal(size_t Instance, int Number) {
    Fleet.Instances[Instance].Process->signal(Number);
  }
  // Brings all instances and the servers of the old version back.
  void restore(const Round &Plan, Servers &New);

  void runStream(const Round &Plan, const std::string &Id, uint64_t Seed);
  void takeUp(const Round &Plan, SiteStream &Stream, const std::string &Id,
              std::mt19937_64 &Random);
  size_t drawTaker(const Round &Plan, std::mt19937_64 &Random) const;
  Answer ask(size_t Instance, const std::string &Id, const std::string &Fields);
  void judge(SiteStream &Stream, const std::string &Id, const Answer &Item);
  bool printResult();
  unsigned below(unsigned Below) {
    return static_cast<unsigned>(Random() % Below);
  }
  void pause(unsigned LeastMs, unsigned RangeMs) {
    std::this_thread::sleep_for(Milliseconds(LeastMs + below(RangeMs)));
  }

  const SiteSoakOptions Options;
  std::mt19937_64 Random; // of the rounds
  const uint64_t FormSeed;
  const EventForm Form;
  const size_t CutOffCount; // the first instances, which have proxies
  RunCounter Executions;
  std::map<std::string, std::string> CutAddresses; // of proxies, by server's
  std::vector<std::unique_ptr<test::CutProxy>> Proxies;
  test::FakeStore CutStore; // of the instances that can be cut off
  test::GatewayFleet Fleet;
  Servers Old;
  std::vector<Servers> Former; // of earlier rounds
  uint64_t StartedServers = 0;
  std::string EndedOutput;
  int Rounds = 0;
  uint64_t KilledInstances = 0;

  std::mutex ResultMutex; // guards what follows
  std::vector<std::string> Violations;
  uint64_t Counts[SiteFaultCount] = {};
  uint64_t Streams = 0, Begun = 0, Complete = 0, TakenUp = 0, WentOn = 0,
           Refused = 0;
};

SkewedSoak::SkewedSoak(const SiteSoakOptions &Options)
    : Options(Options), Random(Options.Seed),
      FormSeed(drawFormSeed(Options.Seed)), Form(drawForm(FormSeed)),
      CutOffCount(1 + below(2)), Fleet(Options.Instances > 0 ? Options.Instances
                                       : Options.Wide        ? WideInstanceCount
                                                             : InstanceCount,
                                       "", FailureDomains) {
  if (Fleet.Instances.size() < CutOffCount + 2)
    throw std::invalid_argument("the skewed shape needs four instances");
  if (!Options.Program.empty())
    Fleet.Program = Options.Program;
  Fleet.OtherProgram = Options.OtherProgram;
  Fleet.RetryBudgetRatio = RetryBudgetRatio;
  // The stores differ, so no instance may learn servers from another.
  Fleet.makeAllSeeds();
  CutStore.put("op/config", test::configOf(1, "/x/"));
  Fleet.Store.mirrorTo(CutStore, [this](std::string Value) {
    for (const auto &[address, cut] : CutAddresses)
      if (size_t n = Value.find(address + "\""); n != std::string::npos)
        Value.replace(n, address.size(), cut);
    return Value;
  });
  for (size_t i = 0; i < CutOffCount; ++i)
    Fleet.useStore(Fleet.Instances[i], CutStore);
}

SkewedSoak::Server SkewedSoak::startServer(const std::string &Version,
                                           bool Prefill,
                                           unsigned FailFirstPercent) {
  uint64_t number = ++StartedServers;
  Server server;
  server.Id = (Prefill ? "p-" : "d-") + std::to_string(number);
  server.Version = Version;
  server.StartedAt = FirstStart + static_cast<int64_t>(number);
  server.FailureDomain = FailureDomains[number % FailureDomains.size()];
  std::string address;
  if (Prefill) {
    server.Prefill = std::make_unique<SoakServer>(
        Executions, Random(), server.Id, Version, server.StartedAt);
    address = server.Prefill->address();
  } else {
    SiteServerTerms terms{
        {}, Random(), FormSeed, server.StartedAt, 0, number << ProcessRunBits};
    terms.Streams.Id = server.Id;
    terms.Streams.Version = Version;
    terms.Streams.BreakPercent =
        Options.BreakPercent > 0 ? Options.BreakPercent : BreakPercent;
    terms.Streams.Seed = Random();
    terms.Streams.FailFirstPercent = FailFirstPercent;
    terms.Streams.LeastPause = EventPause;
    server.Decode = std::make_unique<SiteServerProcess>(terms);
    address = server.Decode->address();
  }
  Proxies.push_back(std::make_unique<test::CutProxy>(address));
  CutAddresses[address] = Proxies.back()->address();
  return server;
}

SkewedSoak::Servers SkewedSoak::startVersion(const std::string &Version,
                                             unsigned FailFirstPercent) {
  Servers servers;
  size_t n = Options.Wide ? WideDecodeCount : DecodeCount;
  for (size_t i = 0; i <= n; ++i)
    servers.push_back(startServer(Version, i == n, FailFirstPercent));
  return servers;
}

void SkewedSoak::writeEntry(const Server &Item, const std::string &State) {
  if (Item.Ended)
    return;
  bool prefill = Item.Prefill != nullptr;
  Fleet.Store.put(
      "servers/" + Item.Id,
      test::serverEntry(
          "llm", prefill ? Item.Prefill->address() : Item.Decode->address(),
          "\"state\":\"" + State + "\",\"phase\":\"" +
              (prefill ? "prefill\"" : "decode\""),
          Item.StartedAt, Item.Version, Item.FailureDomain));
}

void SkewedSoak::writeEntries(const Servers &Items, const std::string &State) {
  for (const Server &it : Items)
    writeEntry(it, State);
}

void SkewedSoak::removeEntries(const Servers &Items) {
  for (const Server &it : Items)
    Fleet.Store.remove("servers/" + it.Id);
}

void SkewedSoak::end(Server &Item) {
  if (std::exchange(Item.Ended, true))
    return;
  if (Item.Decode)
    Item.Decode->kill();
  else
    Item.Prefill->endConnections();
}

void SkewedSoak::writeConfig() {
  Fleet.Store.put(
      "op/config",
      R"({"version":2,"routes":[{"name":"r","host":"a.example",)"
      R"("path-prefix":"/r/","type":"streaming","timeout-ms":)" +
          std::to_string(RouteTimeout.count()) +
          R"(,"latency-target-ms":900,"priority":1,"service":"llm",)"
          R"("max-attempts":3,"resumable":true,"itl-target-ms":300}],)"
          R"("services":[{"name":"llm","runtime":{"slots":64,)"
          R"("kv-capacity":60000,"stride":11,"kv-ttl-s":0.5,"hold-ms":2000}}]})");
}

Round SkewedSoak::drawRound(int Number) {
  auto draw = [&] { return below(2) == 0; };
  size_t count = Fleet.Instances.size();
  Round plan;
  plan.Number = Number;
  plan.SideBySide = (Options.Seed + static_cast<uint64_t>(Number)) % 2 == 0;
  plan.OutOfStep =
      CutOffCount + below(static_cast<unsigned>(count - CutOffCount));
  unsigned way = below(6);
  plan.Stopped = plan.SideBySide || way == 0 || way == 1;
  plan.StoreSilent = !plan.SideBySide && way > 0 && way < 5;
  plan.StoreReturns = below(4) > 0;
  plan.PeersStopped = way == 5 || below(4) == 0;
  plan.StopTime = Milliseconds(below(1500));
  if (plan.SideBySide)
    plan.Cut = static_cast<CutForm>(1 + below(5));
  plan.OldEntriesRemoved = below(3) == 0;
  plan.NewEntriesRemoved = below(3) == 0;
  plan.OldReturnsFirst = draw();
  unsigned killed = below(4); // none, some or all
  for (size_t i = 0; i < count; ++i) {
    bool some = draw();
    bool early = below(2) == 0;
    if (i == plan.OutOfStep)
      continue;
    if (killed >= 2 || (killed == 1 && some))
      plan.Killed.insert(i);
    if (plan.SideBySide && early && i >= CutOffCount)
      plan.KilledEarly.insert(i);
  }
  return plan;
}

std::string describe(const Round &Plan) {
  std::string text = "round " + std::to_string(Plan.Number) + ": g" +
                     std::to_string(Plan.OutOfStep + 1) + " out of step";
  const std::pair<bool, const char *> Parts[] = {
      {Plan.SideBySide, ", versions side by side"},
      {Plan.Stopped, ", stopped"},
      {Plan.StoreSilent, ", store silent"},
      {Plan.StoreSilent && Plan.StoreReturns, ", store returns"},
      {Plan.PeersStopped, ", peers stopped"},
      {Plan.OldEntriesRemoved, ", old entries removed"},
      {Plan.NewEntriesRemoved, ", new entries removed"},
      {Plan.OldReturnsFirst, ", old version returns first"}};
  for (const auto &[has, name] : Parts)
    if (has)
      text += name;
  text += ", cut " + std::to_string(static_cast<int>(Plan.Cut)) + ", killed";
  for (size_t it : Plan.Killed)
    text += " g" + std::to_string(it + 1);
  text += ", early";
  for (size_t it : Plan.KilledEarly)
    text += " g" + std::to_string(it + 1);
  return text;
}

// All proxies refuse and are silent before any connection breaks, as an
// instance that is cut off loses all servers at the same instant.
void SkewedSoak::setCut(CutForm Form) {
  if (Form == CutForm::Reset)
    for (CutForm before : {CutForm::RefusedNew, CutForm::RefusedSilent})
      for (auto &it : Proxies)
        it->setForm(before);
  for (auto &it : Proxies)
    it->setForm(Form);
}

void SkewedSoak::endServers(const Round &Plan, Servers &New) {
  if (Plan.NewEntriesRemoved)
    removeEntries(New);
  if (Plan.OldReturnsFirst)
    writeEntries(Old, "ready");
  if (Plan.PeersStopped)
    for (size_t i = 0; i < Fleet.Instances.size(); ++i)
      if (i != Plan.OutOfStep)
        signal(i, SIGSTOP);
  if (Plan.NewEntriesRemoved || Plan.PeersStopped)
    pause(0, 400);
  // Side by side, either version may be the one that ends, or a part of it.
  bool endsOld = Plan.SideBySide && below(2) == 0;
  bool endsAll = !Plan.SideBySide || below(2) == 0;
  for (Server &it : endsOld ? Old : New)
    if (endsAll || below(2) == 0)
      end(it);
  for (size_t it : Plan.Killed)
    signal(it, SIGKILL);
  if (!Plan.OldReturnsFirst)
    writeEntries(Old, "ready");
}

void SkewedSoak::runRound(const Round &Plan) {
  Rounds = Plan.Number;
  const std::string &name = Fleet.Instances[Plan.OutOfStep].Name;
  std::string version = "v" + std::to_string(Plan.Number + 1);
  Servers added = startVersion(
      version, Plan.SideBySide
                   ? SideBySideFailFirstPercent
                   : FailFirstPercents[below(std::size(FailFirstPercents))]);
  if (Plan.SideBySide) {
    writeEntries(added, "ready");
    std::this_thread::sleep_for(JoinTime);
    setCut(Plan.Cut);
    pause(0, 1500);
  } else {
    if (Plan.Stopped)
      signal(Plan.OutOfStep, SIGSTOP);
    if (Plan.StoreSilent)
      Fleet.Store.setSilent(name, true);
    pause(50, 250);
    writeEntries(added, "ready");
    if (Plan.OldEntriesRemoved)
      removeEntries(Old);
    else
      writeEntries(Old, "draining");
    std::this_thread::sleep_for(JoinTime);
  }
  std::vector<std::thread> callers;
  int streams = Options.Wide ? WideStreamCount : StreamCount;
  auto stopsAt = static_cast<int>(below(static_cast<unsigned>(streams)));
  for (int i = 0; i < streams; ++i) {
    std::string id =
        "s" + std::to_string(Plan.Number) + "-" + std::to_string(i);
    callers.emplace_back(
        [this, &Plan, id, seed = Random()] { runStream(Plan, id, seed); });
    pause(0, 800 / static_cast<unsigned>(streams));
    if (Plan.SideBySide && i == stopsAt) {
      signal(Plan.OutOfStep, SIGSTOP);
      for (size_t it : Plan.KilledEarly)
        signal(it, SIGKILL);
    }
  }
  pause(200, 800);
  endServers(Plan, added);
  std::this_thread::sleep_for(Plan.StopTime / 2);
  if (Plan.StoreReturns)
    Fleet.Store.setSilent(name, false);
  std::this_thread::sleep_for(Plan.StopTime / 2);
  signal(Plan.OutOfStep, SIGCONT);
  for (std::thread &it : callers)
    it.join();
  restore(Plan, added);
}

void SkewedSoak::restore(const Round &Plan, Servers &New) {
  setCut(CutForm::None);
  Fleet.Store.setSilent(Fleet.Instances[Plan.OutOfStep].Name, false);
  removeEntries(New);
  for (Server &it : New)
    end(it);
  Former.push_back(std::move(New));
  for (Server &it : Old)
    if (it.Ended) {
      Fleet.Store.remove("servers/" + it.Id);
      Former.emplace_back().push_back(std::exchange(
          it, startServer("v1", it.Prefill != nullptr, FailFirstPercents[1])));
    }
  writeEntries(Old, "ready");
  for (size_t i = 0; i < Fleet.Instances.size(); ++i) {
    GatewayInstance &instance = Fleet.Instances[i];
    signal(i, SIGCONT);
    if (!Plan.Killed.contains(i) && !Plan.KilledEarly.contains(i))
      continue;
    instance.Process->waitForExit(RouteTimeout);
    EndedOutput += instance.Process->output() + "\n";
    ++KilledInstances;
    Fleet.start(instance);
  }
  for (const GatewayInstance &it : Fleet.Instances)
    if (!test::GatewayFleet::waitForReady(it))
      throw std::runtime_error(it.Name + " was not ready in time");
}

Answer SkewedSoak::ask(size_t Instance, const std::string &Id,
                       const std::string &Fields) {
  Answer answer;
  internal::PollWaiter waiter;
  HttpExchange http(waiter);
  if (http.connect(Fleet.Instances[Instance].Callers,
                   Clock::now() + CallerPatience) != ExchangeStatus::Ok)
    return answer;
  const std::string body = "a prompt of the caller " + Id;
  http.send("POST /r/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + Id +
                "\r\nModel: m\r\nToken-Usage: 500,60\r\nDeadline-Ms: " +
                std::to_string(RouteTimeout.count()) + "\r\n" + Fields +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body,
            TimePoint::max(), CallerPatience);
  if (http.readHead("POST", CallerPatience) != ExchangeStatus::Ok)
    return answer;
  answer.Status = http.head().Status;
  answer.Signed = http.head().find("Server-Signature") != nullptr;
  bool atEnd = false;
  while (!atEnd && http.readBody(answer.Body, atEnd, CallerPatience) ==
                       ExchangeStatus::Ok) {
  }
  answer.Complete = atEnd;
  return answer;
}

void SkewedSoak::judge(SiteStream &Stream, const std::string &Id,
                       const Answer &Item) {
  auto findings = std::vector<SiteFinding>();
  bool success = Item.Status >= 200 && Item.Status < 300;
  if (success)
    findings = Stream.add(Item.Body, Item.Complete);
  if (success && !Item.Signed)
    findings.push_back({SiteFault::Unsigned, "unsigned success"});
  std::lock_guard lock(ResultMutex);
  Refused += Item.Status != 0 && !success;
  for (const SiteFinding &it : findings) {
    ++Counts[static_cast<size_t>(it.Fault)];
    Violations.push_back(it.Text + " [" + Id + "]");
  }
}

size_t SkewedSoak::drawTaker(const Round &Plan, std::mt19937_64 &Random) const {
  return Random() % 3 > 0 ? Plan.OutOfStep : Random() % Fleet.Instances.size();
}

void SkewedSoak::takeUp(const Round &Plan, SiteStream &Stream,
                        const std::string &Id, std::mt19937_64 &Random) {
  std::string fields = "Resumes: " + Stream.id() +
                       "\r\nLast-Event-Id: " + std::to_string(Stream.tokens()) +
                       "\r\n";
  size_t first = drawTaker(Plan, Random);
  size_t other = Random() % Fleet.Instances.size();
  SiteStream twin = Stream;
  std::thread second;
  if (Random() % 4 == 0)
    second = std::thread(
        [&] { judge(twin, Id + "b", ask(other, Id + "b", fields)); });
  judge(Stream, Id, ask(first, Id, fields));
  if (second.joinable())
    second.join();
  // The caller goes on with the answer that has more.
  if (!Stream.isOver() && twin.tokens() > Stream.tokens())
    Stream = twin;
}

void SkewedSoak::runStream(const Round &Plan, const std::string &Id,
                           uint64_t Seed) {
  std::mt19937_64 random(Seed);
  TimePoint last = Clock::now() + CallerTime;
  SiteStream stream(Id, Form);
  for (int i = 0; i < MaxBegins && stream.tokens() == 0; ++i) {
    // Under a new id, as a failed request may have run.
    std::string id = i == 0 ? Id : Id + "-n" + std::to_string(i);
    size_t begins = random() % (Fleet.Instances.size() - 1);
    begins += begins >= Plan.OutOfStep ? 1 : 0;
    if (Plan.SideBySide && random() % 2 == 0)
      begins = random() % CutOffCount;
    stream = SiteStream(id, Form);
    judge(stream, id, ask(begins, id, ""));
  }
  int begun = stream.tokens();
  bool takenUp = begun > 0 && !stream.isOver();
  for (int i = 1; begun > 0 && !stream.isOver() && Clock::now() < last; ++i) {
    takeUp(Plan, stream, stream.id() + "-r" + std::to_string(i), random);
    std::this_thread::sleep_for(Milliseconds(random() % MaxTakeUpPauseMs));
  }
  std::lock_guard lock(ResultMutex);
  ++Streams;
  Begun += begun > 0;
  Complete += stream.isOver();
  TakenUp += takenUp;
  WentOn += stream.tokens() > begun;
}

bool SkewedSoak::printResult() {
  std::cout << (Options.Wide ? "wide, " : "site, ") << describe(Form)
            << ", skewed, rounds " << Rounds << ": streams " << Streams
            << ", begun " << Begun << ", complete " << Complete << ", taken up "
            << TakenUp << ", went on " << WentOn << ", refused " << Refused
            << ", instances killed " << KilledInstances << ", violations "
            << Violations.size();
  for (size_t i = 0; i < SiteFaultCount; ++i)
    std::cout << (i == 0 ? ": " : ", ") << nameOf(static_cast<SiteFault>(i))
              << " " << Counts[i];
  std::cout << "\n";
  for (size_t i = 0; i < std::min(Violations.size(), PrintedViolations); ++i)
    std::cout << "  " << Violations[i].substr(0, PrintedBytes) << "\n";
  if (!Violations.empty() || Options.KeepLogs) {
    std::cerr << EndedOutput;
    for (GatewayInstance &it : Fleet.Instances)
      std::cerr << it.Process->output() << "\n";
  }
  return Violations.empty();
}

bool SkewedSoak::run() {
  Old = startVersion("v1", FailFirstPercents[1]);
  writeEntries(Old, "ready");
  writeConfig();
  Fleet.startAll();
  TimePoint last = Clock::now() + Options.Length;
  for (int i = 1; i == 1 || Clock::now() < last; ++i) {
    Round plan = drawRound(i);
    EndedOutput += describe(plan) + "\n";
    runRound(plan);
  }
  return printResult();
}

} // namespace

bool runSkewedSoak(const SiteSoakOptions &Options) {
  return SkewedSoak(Options).run();
}

} // namespace crocusspur::soak
