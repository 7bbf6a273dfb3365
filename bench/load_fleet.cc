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

// All times are a third of those in docs/design.md, section 5, except for the
// pace of tokens, so that a run fits: prefill 0.05 to 0.2 s, decode mean 1 s,
// eviction 0.27 s, reports 0.17 s old.
constexpr double PrefillRate = 20000;
constexpr uint32_t TokenIntervalMs = 10;
constexpr double LongTokens = 100;
constexpr double ShortTokens = 20;

Microseconds micros(double Seconds) {
  return Microseconds(static_cast<int64_t>(Seconds * 1e6));
}

double slotsOf(const test::FleetOptions &Fleet) {
  return Fleet.DecodeServers * Fleet.Slots;
}

test::FleetOptions smallFleet() {
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

// Tokens may come at 1.5 times their interval in the mean.
std::map<std::string, GroupTarget>
targetsOf(const std::vector<test::FleetGroup> &Groups) {
  std::map<std::string, GroupTarget> targets;
  for (const auto &it : Groups)
    targets[it.Name] = {it.Share, micros(it.FirstOutputMs / 1e3),
                        micros(TokenIntervalMs * 1.5e-3), it.MayWait};
  return targets;
}

// Requests a second that occupy this many slots.
double rateFor(double Slots, double MeanTokens) {
  return Slots / (MeanTokens * TokenIntervalMs * 1e-3);
}

Traffic longRequests(const std::string &Group, double Slots, double From,
                     double Until) {
  Traffic kind;
  kind.Group = Group;
  kind.MeanOutputTokens = LongTokens;
  kind.PromptTokensLow = 1000;
  kind.PromptTokensHigh = 4000;
  kind.RequestsPerSecond = rateFor(Slots, LongTokens);
  kind.From = micros(From);
  kind.Until = micros(Until);
  return kind;
}

Traffic shortRequests(double Slots, double From, double Until) {
  Traffic kind;
  kind.Group = "drivers";
  kind.MeanOutputTokens = ShortTokens;
  kind.RequestsPerSecond = rateFor(Slots, ShortTokens);
  kind.From = micros(From);
  kind.Until = micros(Until);
  return kind;
}

// 70% of the slots: 10% in short requests and 60% in long ones.
void addSteady(Scenario &To, double Seconds) {
  double slots = slotsOf(To.Fleet);
  To.Kinds.push_back(shortRequests(0.1 * slots, 0, Seconds));
  To.Kinds.push_back(longRequests("planners", 0.4 * slots, 0, Seconds));
  To.Kinds.push_back(longRequests("auditors", 0.2 * slots, 0, Seconds));
}

void makeOverload(Scenario &To, double Seconds) {
  double slots = slotsOf(To.Fleet);
  To.Kinds.push_back(shortRequests(0.1 * slots, 0, Seconds));
  To.Kinds.push_back(longRequests("planners", slots, 0, Seconds));
  To.Kinds.push_back(longRequests("auditors", slots, 0, Seconds));
  To.Drain = micros(0.5);
}

// The smallest pool: single long outputs weigh most with few slots.
void makeSmallOverload(Scenario &To, double Seconds) {
  To.Fleet.PrefillServers = 1;
  To.Fleet.DecodeServers = 3;
  makeOverload(To, Seconds);
}

// The platform answers nothing for a third of the time; the burst comes as it
// wakes.
void makeOutage(Scenario &To, double Seconds) {
  double slots = slotsOf(To.Fleet);
  addSteady(To, Seconds);
  double wake = Seconds / 2;
  To.Disturbances = {{micros(Seconds / 6), "platform", SIGSTOP},
                     {micros(wake), "platform", SIGCONT}};
  To.Kinds.push_back(shortRequests(0.1 * slots, wake, wake + 1));
  To.Kinds.push_back(longRequests("planners", slots, wake, wake + 1));
}

void makeKill(Scenario &To, double Seconds) {
  addSteady(To, Seconds);
  To.Disturbances = {{micros(Seconds / 3), "d1", SIGKILL},
                     {micros(Seconds / 2), "e1", SIGKILL}};
}

// The transfer of a prompt takes a quarter of its prefill. Three prefill
// servers send to nine decode servers, so their links are busy for part of the
// time.
void makeSlowLink(Scenario &To, double Seconds) {
  To.Fleet.LinkBytesPerSecond = 4 * PrefillRate * To.Fleet.KvBytesPerToken;
  addSteady(To, Seconds);
}

// 24 prefixes of 8 KB; the cache of one server holds about half of them.
void makePrefixes(Scenario &To, double Seconds) {
  addSteady(To, Seconds);
  for (Traffic &it : To.Kinds) {
    it.SharedPrefixes = 24;
    it.PrefixBytes = 8192;
  }
  To.Fleet.EngineFlags = {"--cache-bytes", "30000000"};
}

// 160 requests and 42,500 tokens a second through one router.
void makeOneCore(Scenario &To, double Seconds) {
  To.Fleet.Routers = 1;
  To.Fleet.PrefillServers = 2;
  To.Fleet.DecodeServers = 4;
  To.Fleet.Slots = 160;
  Traffic kind = longRequests("planners", 1, 0, Seconds);
  kind.PromptTokensLow = kind.PromptTokensHigh = 200;
  kind.RequestsPerSecond = 160;
  // The exponential lengths are cut at four times their mean and rounded down.
  kind.MeanOutputTokens = 42500.0 / 160 / 0.9817 + 0.5;
  To.Kinds.push_back(kind);
  // Until then fewer streams are open than at the full rate.
  To.Warm = micros(6);
}

using Maker = void (*)(Scenario &, double);
const std::pair<const char *, Maker> Makers[] = {
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

void disturb(test::ProcessFixture &Fleet, const Disturbance &What) {
  if (What.Process == "platform")
    Fleet.platform().Process->signal(What.Signal);
  else if (What.Process[0] == 'e')
    Fleet.router(std::stoul(What.Process.substr(1)) - 1)
        .Process->signal(What.Signal);
  else
    Fleet.server(What.Process).Process->signal(What.Signal);
}

void addRuns(const Poco::JSON::Object &Books, int64_t StartedMs,
             std::vector<EngineRun> &To) {
  auto runs = Books.getArray("runs");
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
    To.push_back(std::move(run));
  }
}

std::vector<Poco::JSON::Object::Ptr> allBooks(test::ProcessFixture &Fleet,
                                              const Scenario &Values) {
  std::vector<Poco::JSON::Object::Ptr> found;
  auto add = [&](const char *Prefix, uint32_t Count) {
    for (uint32_t i = 1; i <= Count; ++i)
      if (auto books = Fleet.executionLog(Prefix + std::to_string(i)))
        found.push_back(books);
  };
  add("p", Values.Fleet.PrefillServers);
  add("d", Values.Fleet.DecodeServers);
  return found;
}

} // namespace

std::vector<std::string> scenarioNames() {
  std::vector<std::string> names;
  for (const auto &[name, maker] : Makers)
    names.emplace_back(name);
  return names;
}

Scenario makeScenario(const std::string &Name, double Seconds) {
  Scenario scenario;
  scenario.Name = Name;
  scenario.Length = micros(Seconds);
  scenario.Drain = micros(8);
  scenario.Warm = micros(1.5);
  scenario.Fleet = smallFleet();
  scenario.Targets = targetsOf(scenario.Fleet.Groups);
  for (const auto &[name, maker] : Makers)
    if (Name == name) {
      maker(scenario, Seconds);
      return scenario;
    }
  throw std::invalid_argument("no scenario " + Name);
}

RunFigures runScenario(const Scenario &Values, const std::string &Placement,
                       uint64_t Seed) {
  test::FleetOptions options = Values.Fleet;
  options.ExtraSettings = "[policy]\nplacement = \"" + Placement +
                          "\"\ninteractive_wait_bound_ms = 85\n"
                          "[backend]\nload_poll_period_ms = 85\n";
  test::ProcessFixture fleet(options);
  ReplayOptions replaying;
  for (size_t i = 0; i < fleet.routers(); ++i)
    replaying.Addresses.push_back(fleet.router(i).CallerAddress);
  for (const auto &it : options.Groups)
    replaying.Tokens[it.Name] = it.Token;
  for (const Disturbance &it : Values.Disturbances)
    replaying.Steps.push_back({it.At, [&] { disturb(fleet, it); }});
  replaying.Drain = Values.Drain;
  std::vector<Poco::JSON::Object::Ptr> books;
  RunFigures figures;
  replaying.Steps.push_back(
      {Values.Warm, [&] { figures.RouterSeconds -= routerSeconds(fleet); }});
  replaying.Steps.push_back(
      {Values.Length, [&] { figures.RouterSeconds += routerSeconds(fleet); }});
  replaying.BeforeCut = [&] { books = allBooks(fleet, Values); };
  figures.Replayed = replay(makeTrace(Values.Kinds, Seed), replaying);
  for (const auto &it : books)
    addRuns(*it, figures.Replayed.StartedMs, figures.Runs);
  figures.Window = {static_cast<double>(Values.Warm.count()) / 1e3,
                    static_cast<double>(Values.Length.count()) / 1e3};
  return figures;
}

} // namespace crocusspur::bench
