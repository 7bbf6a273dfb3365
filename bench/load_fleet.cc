#include "load_fleet.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace crocusspur::bench {
namespace {

// To keep runs short, all times except the token interval are a third of those
// in docs/design.md, section 5: prefill 0.05 to 0.2 s, mean decode 1 s,
// eviction after 0.27 s, load reports 0.17 s old.
constexpr double PrefillRate = 20000;
constexpr uint32_t TokenIntervalMs = 10;
constexpr double LongOutputTokens = 100;
constexpr double ShortOutputTokens = 20;

Microseconds toMicroseconds(double Seconds) {
  return Microseconds(static_cast<int64_t>(Seconds * 1e6));
}

double totalSlots(const test::FleetOptions &Fleet) {
  return Fleet.DecodeServers * Fleet.Slots;
}

test::FleetOptions defaultFleet() {
  test::FleetOptions fleet;
  fleet.Routers = 4;
  fleet.PrefillServers = 3;
  fleet.DecodeServers = 9;
  fleet.ServiceServers = 0;
  fleet.Slots = 4;
  fleet.PrefillTokensPerSecond = PrefillRate;
  fleet.TokenIntervalMs = TokenIntervalMs;
  fleet.EvictionMs = 270;
  fleet.ReportLagMs = 170;
  fleet.Groups = {{"drivers", "interactive", "drivers-token", 2, 270, false},
                  {"planners", "normal", "planners-token", 2, 5000, true},
                  {"auditors", "normal", "auditors-token", 1, 5000, true}};
  return fleet;
}

// The mean time between tokens may be up to 1.5 times the token interval.
std::map<std::string, GroupTarget>
makeTargets(const std::vector<test::FleetGroup> &Groups) {
  std::map<std::string, GroupTarget> targets;
  for (const auto &it : Groups)
    targets[it.Name] = {it.Share, toMicroseconds(it.FirstOutputMs / 1e3),
                        toMicroseconds(TokenIntervalMs * 1.5e-3), it.MayWait};
  return targets;
}

// Requests per second that occupy the given number of slots on average.
double arrivalRate(double Slots, double MeanTokens) {
  return Slots / (MeanTokens * TokenIntervalMs * 1e-3);
}

TrafficSource longRequests(const std::string &Group, double Slots, double From,
                           double Until) {
  TrafficSource source;
  source.Group = Group;
  source.MeanOutputTokens = LongOutputTokens;
  source.PromptTokensLow = 1000;
  source.PromptTokensHigh = 4000;
  source.RequestsPerSecond = arrivalRate(Slots, LongOutputTokens);
  source.From = toMicroseconds(From);
  source.Until = toMicroseconds(Until);
  return source;
}

TrafficSource shortRequests(double Slots, double From, double Until) {
  TrafficSource source;
  source.Group = "drivers";
  source.MeanOutputTokens = ShortOutputTokens;
  source.RequestsPerSecond = arrivalRate(Slots, ShortOutputTokens);
  source.From = toMicroseconds(From);
  source.Until = toMicroseconds(Until);
  return source;
}

// 70% of the slots: 10% in short requests and 60% in long ones.
void addSteady(Scenario &Out, double Seconds) {
  double slots = totalSlots(Out.Fleet);
  Out.TrafficSources.push_back(shortRequests(0.1 * slots, 0, Seconds));
  Out.TrafficSources.push_back(
      longRequests("planners", 0.4 * slots, 0, Seconds));
  Out.TrafficSources.push_back(
      longRequests("auditors", 0.2 * slots, 0, Seconds));
}

void makeOverload(Scenario &Out, double Seconds) {
  double slots = totalSlots(Out.Fleet);
  Out.TrafficSources.push_back(shortRequests(0.1 * slots, 0, Seconds));
  Out.TrafficSources.push_back(longRequests("planners", slots, 0, Seconds));
  Out.TrafficSources.push_back(longRequests("auditors", slots, 0, Seconds));
  Out.DrainTime = toMicroseconds(0.5);
}

// Uses the smallest pool: with few slots, single long outputs have the largest
// effect.
void makeSmallOverload(Scenario &Out, double Seconds) {
  Out.Fleet.PrefillServers = 1;
  Out.Fleet.DecodeServers = 3;
  makeOverload(Out, Seconds);
}

// The platform doesn't respond for a third of the time. A burst of requests
// arrives when it resumes.
void makeOutage(Scenario &Out, double Seconds) {
  double slots = totalSlots(Out.Fleet);
  addSteady(Out, Seconds);
  double resumeAt = Seconds / 2;
  Out.Faults = {{toMicroseconds(Seconds / 6), "platform", SIGSTOP},
                {toMicroseconds(resumeAt), "platform", SIGCONT}};
  Out.TrafficSources.push_back(
      shortRequests(0.1 * slots, resumeAt, resumeAt + 1));
  Out.TrafficSources.push_back(
      longRequests("planners", slots, resumeAt, resumeAt + 1));
}

void makeKill(Scenario &Out, double Seconds) {
  addSteady(Out, Seconds);
  Out.Faults = {{toMicroseconds(Seconds / 3), "d1", SIGKILL},
                {toMicroseconds(Seconds / 2), "e1", SIGKILL}};
}

// Transferring a prompt's KV cache takes a quarter of its prefill time. Three
// prefill servers send to nine decode servers, so their links are busy part of
// the time.
void makeSlowLink(Scenario &Out, double Seconds) {
  Out.Fleet.LinkBytesPerSecond = 4 * PrefillRate * Out.Fleet.KvBytesPerToken;
  addSteady(Out, Seconds);
}

// The prompts share 24 prefixes of 8 KB; one server's cache holds about half of
// them.
void makePrefixes(Scenario &Out, double Seconds) {
  addSteady(Out, Seconds);
  for (TrafficSource &it : Out.TrafficSources) {
    it.SharedPrefixes = 24;
    it.PrefixBytes = 8192;
  }
  Out.Fleet.EngineFlags = {"--cache-bytes", "30000000"};
}

// 160 requests and 42,500 tokens per second through one router.
void makeOneCore(Scenario &Out, double Seconds) {
  Out.Fleet.Routers = 1;
  Out.Fleet.PrefillServers = 2;
  Out.Fleet.DecodeServers = 4;
  Out.Fleet.Slots = 160;
  TrafficSource source = longRequests("planners", 1, 0, Seconds);
  source.PromptTokensLow = source.PromptTokensHigh = 200;
  source.RequestsPerSecond = 160;
  // Corrects for the exponential lengths being limited to four times their mean
  // and rounded down.
  source.MeanOutputTokens = 42500.0 / 160 / 0.9817 + 0.5;
  Out.TrafficSources.push_back(source);
  // Fewer streams are open before this time than in the steady state.
  Out.WarmUp = toMicroseconds(6);
}

using ScenarioBuilder = void (*)(Scenario &, double);
const std::pair<const char *, ScenarioBuilder> ScenarioBuilders[] = {
    {"steady", addSteady},
    {"overload", makeOverload},
    {"overload-small", makeSmallOverload},
    {"outage", makeOutage},
    {"kill", makeKill},
    {"slow-link", makeSlowLink},
    {"prefixes", makePrefixes},
    {"one-core", makeOneCore}};

// User and system time of a process in seconds; 0 once it has ended.
double processorSeconds(int Pid) {
  std::ifstream file("/proc/" + std::to_string(Pid) + "/stat");
  std::string text;
  std::getline(file, text);
  size_t end = text.rfind(')');
  if (end == std::string::npos)
    return 0;
  std::istringstream rest(text.substr(end + 1));
  std::string skipped;
  for (int i = 3; i < 14; ++i)
    rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double routerSeconds(test::ProcessFixture &Fleet) {
  double sum = 0;
  for (size_t i = 0; i < Fleet.routers(); ++i)
    sum += processorSeconds(Fleet.router(i).Process->pid());
  return sum;
}

void injectFault(test::ProcessFixture &Fleet, const FaultInjection &Fault) {
  if (Fault.Process == "platform")
    Fleet.platform().Process->signal(Fault.Signal);
  else if (Fault.Process[0] == 'e')
    Fleet.router(std::stoul(Fault.Process.substr(1)) - 1)
        .Process->signal(Fault.Signal);
  else
    Fleet.server(Fault.Process).Process->signal(Fault.Signal);
}

void addRuns(const Poco::JSON::Object &Log, int64_t StartedMs,
             std::vector<EngineRun> &Out) {
  auto runs = Log.getArray("runs");
  for (unsigned i = 0; i < runs->size(); ++i) {
    auto entry = runs->getObject(i);
    EngineRun run;
    run.Decode = entry->getValue<std::string>("kind") == "decode";
    run.Group = entry->getValue<std::string>("group");
    run.Outcome = entry->getValue<std::string>("outcome");
    run.Started =
        static_cast<double>(entry->getValue<int64_t>("started_ms") - StartedMs);
    run.Ended =
        static_cast<double>(entry->getValue<int64_t>("ended_ms") - StartedMs);
    Out.push_back(std::move(run));
  }
}

std::vector<Poco::JSON::Object::Ptr> executionLogs(test::ProcessFixture &Fleet,
                                                   const Scenario &Spec) {
  std::vector<Poco::JSON::Object::Ptr> found;
  auto add = [&](const char *Prefix, uint32_t Count) {
    for (uint32_t i = 1; i <= Count; ++i)
      if (auto log = Fleet.executionLog(Prefix + std::to_string(i)))
        found.push_back(log);
  };
  add("p", Spec.Fleet.PrefillServers);
  add("d", Spec.Fleet.DecodeServers);
  return found;
}

} // namespace

std::vector<std::string> scenarioNames() {
  std::vector<std::string> names;
  for (const auto &[name, builder] : ScenarioBuilders)
    names.emplace_back(name);
  return names;
}

Scenario makeScenario(const std::string &Name, double Seconds) {
  Scenario scenario;
  scenario.Name = Name;
  scenario.Length = toMicroseconds(Seconds);
  scenario.DrainTime = toMicroseconds(8);
  scenario.WarmUp = toMicroseconds(1.5);
  scenario.Fleet = defaultFleet();
  scenario.Targets = makeTargets(scenario.Fleet.Groups);
  for (const auto &[name, builder] : ScenarioBuilders)
    if (Name == name) {
      builder(scenario, Seconds);
      return scenario;
    }
  throw std::invalid_argument("no scenario " + Name);
}

RunStats runScenario(const Scenario &Spec, const std::string &Placement,
                     uint64_t Seed) {
  test::FleetOptions options = Spec.Fleet;
  options.ExtraSettings = "[policy]\nplacement = \"" + Placement +
                          "\"\ninteractive_wait_bound_ms = 85\n"
                          "[backend]\nload_poll_period_ms = 85\n";
  test::ProcessFixture fleet(options);
  ReplayOptions replayOptions;
  for (size_t i = 0; i < fleet.routers(); ++i)
    replayOptions.Addresses.push_back(fleet.router(i).CallerAddress);
  for (const auto &it : options.Groups)
    replayOptions.Tokens[it.Name] = it.Token;
  for (const FaultInjection &it : Spec.Faults)
    replayOptions.Steps.push_back({it.At, [&] { injectFault(fleet, it); }});
  replayOptions.DrainTime = Spec.DrainTime;
  std::vector<Poco::JSON::Object::Ptr> logs;
  RunStats stats;
  replayOptions.Steps.push_back(
      {Spec.WarmUp, [&] { stats.RouterSeconds -= routerSeconds(fleet); }});
  replayOptions.Steps.push_back(
      {Spec.Length, [&] { stats.RouterSeconds += routerSeconds(fleet); }});
  replayOptions.BeforeCutoff = [&] { logs = executionLogs(fleet, Spec); };
  stats.Replayed = replay(makeTrace(Spec.TrafficSources, Seed), replayOptions);
  for (const auto &it : logs)
    addRuns(*it, stats.Replayed.StartedMs, stats.Runs);
  stats.Window = {static_cast<double>(Spec.WarmUp.count()) / 1e3,
                  static_cast<double>(Spec.Length.count()) / 1e3};
  return stats;
}

} // namespace crocusspur::bench
