// Replays seeded traces against fleets of real processes, one for each
// scenario and placement policy, and prints one JSON object a line.
#include "load_fleet.h"
#include "paired_calls.h"

#include <CLI/CLI.hpp>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace crocusspur::bench;

namespace {

// Names in the output and in the settings.
const std::pair<const char *, const char *> Policies[] = {
    {"baseline-rr", "round_robin"},
    {"baseline-load", "least_load"},
    {"split", "split_slots"},
    {"hold", "hold_slot"},
    {"pool", "pool"}};

// Compares calls through an idle router with direct ones.
const char PairedName[] = "paired";

std::vector<std::string> allScenarios() {
  std::vector<std::string> names = scenarioNames();
  names.emplace_back(PairedName);
  return names;
}

struct Options {
  std::vector<std::string> Scenarios;
  std::vector<std::string> Chosen; // policies
  double Seconds = 15;
  uint64_t Seed = 1;
  size_t Pairs = 500;
  bool Quick = false;
  std::string Requests; // file of one line a request
};

double ratio(double Part, double Whole) { return Whole > 0 ? Part / Whole : 0; }

// Slot seconds that the trace asks for of the group within the window, as if
// each request got a slot when it arrived.
double offeredSeconds(const Scenario &Values, const RunFigures &Figures,
                      const std::string &Group, uint64_t Seed) {
  double sum = 0;
  for (const PlannedRequest &it : makeTrace(Values.Kinds, Seed))
    if (Group.empty() || it.Group == Group)
      sum += it.OutputTokens;
  double part = (Figures.Window.Until - Figures.Window.From) * 1e3 /
                static_cast<double>(Values.Length.count());
  return sum * part * Values.Fleet.TokenIntervalMs / 1e3;
}

double boundSeconds(const Scenario &Values, const RunFigures &Figures,
                    const std::string &Group, uint64_t Seed) {
  double slots = Values.Fleet.DecodeServers * Values.Fleet.Slots;
  double most = slots * (Figures.Window.Until - Figures.Window.From) / 1e3;
  return std::min(most, offeredSeconds(Values, Figures, Group, Seed));
}

std::string loadAverage() {
  std::ifstream file("/proc/loadavg");
  std::string first;
  file >> first;
  return first;
}

void addCounts(const Scenario &Values, const RunFigures &Figures,
               const std::string &Group, Poco::JSON::Object &To) {
  GroupCounts counts =
      countResults(Figures.Replayed.Results, Values.Targets, Group);
  PrefillCounts prefills = countPrefills(Figures.Runs, Group);
  To.set("goodput", ratio(counts.Good, counts.Requests));
  To.set("wasted_prefill", ratio(prefills.Wasted, prefills.Prefills));
  To.set("p50_ms", counts.P50);
  To.set("p99_ms", counts.P99);
  To.set("requests", counts.Requests);
  To.set("open", counts.Open);
  To.set("good", counts.Good);
  To.set("refused", counts.Refused);
  To.set("failed", counts.Failed);
  To.set("prefills", prefills.Prefills);
  To.set("prefills_wasted", prefills.Wasted);
}

void addSlots(const Scenario &Values, const RunFigures &Figures,
              const std::string &Group, uint64_t Seed, Poco::JSON::Object &To) {
  double own = 0, sum = 0;
  for (const auto &[name, seconds] :
       slotSeconds(Figures.Runs, Figures.Window)) {
    sum += seconds;
    own += Group.empty() || name == Group ? seconds : 0;
  }
  double bound = boundSeconds(Values, Figures, Group, Seed);
  double useful = usefulSeconds(
      Figures.Replayed.Results, Values.Targets,
      Microseconds(Values.Fleet.TokenIntervalMs * 1000), Figures.Window, Group);
  To.set("share", ratio(own, sum));
  To.set("slot_seconds", own);
  To.set("useful_seconds", useful);
  To.set("bound", bound);
  To.set("useful_of_bound", ratio(useful, bound));
  if (Group.empty() || !Values.Targets.at(Group).MayWait)
    return;
  if (auto worst =
          shareDeviation(Figures.Runs, Values.Targets, Group, Figures.Window))
    To.set("share_deviation", *worst);
}

// A router that was killed within the window has no processor time at its end.
void addCost(const RunFigures &Figures, Poco::JSON::Object &To) {
  std::map<std::string, uint32_t> kinds;
  for (const RequestResult &it : Figures.Replayed.Results)
    if (it.Ended && !it.Whole)
      ++kinds[it.Kind.empty() ? "broken" : it.Kind + "/" + it.Run];
  double tokens = tokensWithin(Figures.Replayed.Results, Figures.Window);
  double seconds = (Figures.Window.Until - Figures.Window.From) / 1e3;
  To.set("router_seconds", Figures.RouterSeconds);
  To.set("tokens", tokens);
  To.set("router_us_per_token", ratio(Figures.RouterSeconds * 1e6, tokens));
  To.set("router_cores", ratio(Figures.RouterSeconds, seconds));
  To.set("tokens_per_second", ratio(tokens, seconds));
  To.set("largest_start_delay_ms",
         static_cast<double>(Figures.Replayed.LargestDelay.count()) / 1e3);
  Poco::JSON::Object answers;
  for (const auto &[kind, count] : kinds)
    answers.set(kind, count);
  To.set("answers", answers);
  To.set("load_average", loadAverage());
}

void print(const Scenario &Values, const std::string &Policy,
           const RunFigures &Figures, uint64_t Seed) {
  std::vector<std::string> groups;
  for (const auto &[name, target] : Values.Targets)
    if (countResults(Figures.Replayed.Results, Values.Targets, name).Requests)
      groups.push_back(name);
  groups.emplace_back("");
  for (const std::string &group : groups) {
    Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
    line.set("scenario", Values.Name);
    line.set("policy", Policy);
    line.set("group", group.empty() ? "all" : group);
    line.set("seed", Seed);
    addCounts(Values, Figures, group, line);
    addSlots(Values, Figures, group, Seed, line);
    if (group.empty())
      addCost(Figures, line);
    std::ostringstream text;
    line.stringify(text);
    std::cout << text.str() << std::endl;
  }
}

// One line a request, for a closer look at a run.
void writeRequests(const std::string &Path, const std::string &Scenario,
                   const std::string &Policy, const RunFigures &Figures) {
  std::ofstream file(Path, std::ios::app);
  for (const RequestResult &it : Figures.Replayed.Results) {
    double interval = it.Tokens > 1
                          ? static_cast<double>((it.Last - it.First).count()) /
                                1e3 / (it.Tokens - 1)
                          : 0;
    file << Scenario << ' ' << Policy << ' ' << it.Group << ' '
         << static_cast<double>(it.At.count()) / 1e3 << ' '
         << static_cast<double>((it.First - it.At).count()) / 1e3 << ' '
         << interval << ' ' << it.Tokens << ' ' << it.Whole << ' ' << it.Status
         << ' ' << (it.Kind.empty() ? "-" : it.Kind) << ' '
         << (it.Run.empty() ? "-" : it.Run) << '\n';
  }
}

bool isChosen(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

double rank(const std::vector<double> &Sorted, double Part) {
  auto at = static_cast<size_t>(Part * static_cast<double>(Sorted.size()));
  return Sorted.at(std::min(at, Sorted.size() - 1));
}

void runPairs(const Options &Values) {
  PairedTimes times = measurePairs(Values.Pairs);
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("scenario", PairedName);
  line.set("policy", "pool");
  line.set("pairs", Values.Pairs);
  line.set("direct_p50_ms", rank(times.Direct, 0.5));
  line.set("added_p50_ms", rank(times.Added, 0.5));
  line.set("added_p99_ms", rank(times.Added, 0.99));
  line.set("load_average", loadAverage());
  std::ostringstream text;
  line.stringify(text);
  std::cout << text.str() << std::endl;
}

void run(const Options &Values) {
  if (isChosen(Values.Scenarios, PairedName))
    runPairs(Values);
  for (const std::string &name : Values.Scenarios) {
    if (name == PairedName)
      continue;
    for (const auto &[policy, placement] : Policies) {
      if (!isChosen(Values.Chosen, policy))
        continue;
      Scenario scenario = makeScenario(name, Values.Seconds);
      RunFigures figures = runScenario(scenario, placement, Values.Seed);
      print(scenario, policy, figures, Values.Seed);
      if (!Values.Requests.empty())
        writeRequests(Values.Requests, name, policy, figures);
    }
  }
}

// Without a selection, a quick run leaves out what would take it over a minute.
void fillDefaults(Options &Values) {
  if (Values.Quick)
    Values.Seconds = std::min(Values.Seconds, 5.0);
  if (Values.Scenarios.empty() && Values.Quick)
    Values.Scenarios = {"steady", "overload", "kill"};
  if (Values.Chosen.empty() && Values.Quick)
    Values.Chosen = {"baseline-load", "pool"};
  if (Values.Scenarios.empty())
    Values.Scenarios = allScenarios();
  if (Values.Chosen.empty())
    for (const auto &[policy, placement] : Policies)
      Values.Chosen.emplace_back(policy);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App app{"Measures placement policies under load"};
  Options values;
  std::vector<std::string> policies;
  for (const auto &[policy, placement] : Policies)
    policies.emplace_back(policy);
  app.add_option("--scenario", values.Scenarios)
      ->check(CLI::IsMember(allScenarios()));
  app.add_option("--policy", values.Chosen)->check(CLI::IsMember(policies));
  app.add_option("--seconds", values.Seconds, "length of each trace");
  app.add_option("--seed", values.Seed);
  app.add_option("--pairs", values.Pairs, "calls of the paired scenario")
      ->check(CLI::PositiveNumber);
  app.add_flag("--quick", values.Quick, "takes less than a minute in all");
  app.add_option("--requests", values.Requests,
                 "file to which one line a request is added");
  CLI11_PARSE(app, Count, Arguments);
  fillDefaults(values);
  try {
    run(values);
  } catch (const std::exception &fault) {
    std::fprintf(stderr, "bench_load: %s\n", fault.what());
    return 1;
  }
  return 0;
}
