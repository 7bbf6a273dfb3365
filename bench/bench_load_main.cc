// Replays seeded traces against fleets of real processes, one fleet for each
// scenario and placement policy, and prints one JSON object per line.
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

// Names of the policies in the output and in the settings.
const std::pair<const char *, const char *> Policies[] = {
    {"baseline-rr", "round_robin"},
    {"baseline-load", "least_load"},
    {"split", "split_slots"},
    {"hold", "hold_slot"},
    {"pool", "pool"}};

// Scenario that compares calls through an idle router with direct ones.
const char PairedScenario[] = "paired";

std::vector<std::string> allScenarios() {
  std::vector<std::string> names = scenarioNames();
  names.emplace_back(PairedScenario);
  return names;
}

struct Options {
  std::vector<std::string> Scenarios;
  std::vector<std::string> SelectedPolicies;
  double Seconds = 15;
  uint64_t Seed = 1;
  size_t Pairs = 500;
  bool Quick = false;
  std::string Requests; // file that gets one line per request
};

double ratio(double Numerator, double Denominator) {
  return Denominator > 0 ? Numerator / Denominator : 0;
}

// Slot seconds that the group's requests need within the window if each gets a
// slot on arrival.
double offeredSlotSeconds(const Scenario &Spec, const RunStats &Stats,
                          const std::string &Group, uint64_t Seed) {
  double sum = 0;
  for (const PlannedRequest &it : makeTrace(Spec.TrafficSources, Seed))
    if (Group.empty() || it.Group == Group)
      sum += it.OutputTokens;
  double part = (Stats.Window.Until - Stats.Window.From) * 1e3 /
                static_cast<double>(Spec.Length.count());
  return sum * part * Spec.Fleet.TokenIntervalMs / 1e3;
}

double maxUsefulSeconds(const Scenario &Spec, const RunStats &Stats,
                        const std::string &Group, uint64_t Seed) {
  double slots = Spec.Fleet.DecodeServers * Spec.Fleet.Slots;
  double most = slots * (Stats.Window.Until - Stats.Window.From) / 1e3;
  return std::min(most, offeredSlotSeconds(Spec, Stats, Group, Seed));
}

std::string loadAverage() {
  std::ifstream file("/proc/loadavg");
  std::string first;
  file >> first;
  return first;
}

void addCounts(const Scenario &Spec, const RunStats &Stats,
               const std::string &Group, Poco::JSON::Object &Out) {
  GroupCounts counts =
      countResults(Stats.Replayed.Results, Spec.Targets, Group);
  PrefillCounts prefills = countPrefills(Stats.Runs, Group);
  Out.set("goodput", ratio(counts.Good, counts.Requests));
  Out.set("wasted_prefill", ratio(prefills.Wasted, prefills.Prefills));
  Out.set("p50_ms", counts.P50);
  Out.set("p99_ms", counts.P99);
  Out.set("requests", counts.Requests);
  Out.set("open", counts.Open);
  Out.set("good", counts.Good);
  Out.set("refused", counts.Refused);
  Out.set("failed", counts.Failed);
  Out.set("prefills", prefills.Prefills);
  Out.set("prefills_wasted", prefills.Wasted);
}

void addSlots(const Scenario &Spec, const RunStats &Stats,
              const std::string &Group, uint64_t Seed,
              Poco::JSON::Object &Out) {
  double own = 0, sum = 0;
  for (const auto &[name, seconds] : slotSeconds(Stats.Runs, Stats.Window)) {
    sum += seconds;
    own += Group.empty() || name == Group ? seconds : 0;
  }
  double bound = maxUsefulSeconds(Spec, Stats, Group, Seed);
  double useful = usefulSeconds(Stats.Replayed.Results, Spec.Targets,
                                Microseconds(Spec.Fleet.TokenIntervalMs * 1000),
                                Stats.Window, Group);
  Out.set("share", ratio(own, sum));
  Out.set("slot_seconds", own);
  Out.set("useful_seconds", useful);
  Out.set("bound", bound);
  Out.set("useful_of_bound", ratio(useful, bound));
  if (Group.empty() || !Spec.Targets.at(Group).MayWait)
    return;
  if (auto worst =
          shareDeviation(Stats.Runs, Spec.Targets, Group, Stats.Window))
    Out.set("share_deviation", *worst);
}

// A router that was killed within the window has no processor time at the end
// of the window.
void addCost(const RunStats &Stats, Poco::JSON::Object &Out) {
  std::map<std::string, uint32_t> kinds;
  for (const RequestResult &it : Stats.Replayed.Results)
    if (it.Ended && !it.Complete)
      ++kinds[it.Kind.empty() ? "broken" : it.Kind + "/" + it.Execution];
  double tokens = tokensWithin(Stats.Replayed.Results, Stats.Window);
  double seconds = (Stats.Window.Until - Stats.Window.From) / 1e3;
  Out.set("router_seconds", Stats.RouterSeconds);
  Out.set("tokens", tokens);
  Out.set("router_us_per_token", ratio(Stats.RouterSeconds * 1e6, tokens));
  Out.set("router_cores", ratio(Stats.RouterSeconds, seconds));
  Out.set("tokens_per_second", ratio(tokens, seconds));
  Out.set("largest_start_delay_ms",
          static_cast<double>(Stats.Replayed.MaxStartDelay.count()) / 1e3);
  Poco::JSON::Object answers;
  for (const auto &[kind, count] : kinds)
    answers.set(kind, count);
  Out.set("answers", answers);
  Out.set("load_average", loadAverage());
}

void print(const Scenario &Spec, const std::string &Policy,
           const RunStats &Stats, uint64_t Seed) {
  std::vector<std::string> groups;
  for (const auto &[name, target] : Spec.Targets)
    if (countResults(Stats.Replayed.Results, Spec.Targets, name).Requests)
      groups.push_back(name);
  groups.emplace_back("");
  for (const std::string &group : groups) {
    Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
    line.set("scenario", Spec.Name);
    line.set("policy", Policy);
    line.set("group", group.empty() ? "all" : group);
    line.set("seed", Seed);
    addCounts(Spec, Stats, group, line);
    addSlots(Spec, Stats, group, Seed, line);
    if (group.empty())
      addCost(Stats, line);
    std::ostringstream text;
    line.stringify(text);
    std::cout << text.str() << std::endl;
  }
}

// Appends one line per request for analysis of a single run.
void writeRequests(const std::string &Path, const std::string &Scenario,
                   const std::string &Policy, const RunStats &Stats) {
  std::ofstream file(Path, std::ios::app);
  for (const RequestResult &it : Stats.Replayed.Results) {
    double interval = it.Tokens > 1
                          ? static_cast<double>((it.Last - it.First).count()) /
                                1e3 / (it.Tokens - 1)
                          : 0;
    file << Scenario << ' ' << Policy << ' ' << it.Group << ' '
         << static_cast<double>(it.At.count()) / 1e3 << ' '
         << static_cast<double>((it.First - it.At).count()) / 1e3 << ' '
         << interval << ' ' << it.Tokens << ' ' << it.Complete << ' '
         << it.Status << ' ' << (it.Kind.empty() ? "-" : it.Kind) << ' '
         << (it.Execution.empty() ? "-" : it.Execution) << '\n';
  }
}

bool isSelected(const std::vector<std::string> &Names,
                const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

double quantile(const std::vector<double> &Sorted, double Fraction) {
  auto at = static_cast<size_t>(Fraction * static_cast<double>(Sorted.size()));
  return Sorted.at(std::min(at, Sorted.size() - 1));
}

void runPairedCalls(const Options &Opts) {
  PairedTimes times = measurePairs(Opts.Pairs);
  Poco::JSON::Object line(Poco::JSON_PRESERVE_KEY_ORDER);
  line.set("scenario", PairedScenario);
  line.set("policy", "pool");
  line.set("pairs", Opts.Pairs);
  line.set("direct_p50_ms", quantile(times.Direct, 0.5));
  line.set("added_p50_ms", quantile(times.Added, 0.5));
  line.set("added_p99_ms", quantile(times.Added, 0.99));
  line.set("load_average", loadAverage());
  std::ostringstream text;
  line.stringify(text);
  std::cout << text.str() << std::endl;
}

void run(const Options &Opts) {
  if (isSelected(Opts.Scenarios, PairedScenario))
    runPairedCalls(Opts);
  for (const std::string &name : Opts.Scenarios) {
    if (name == PairedScenario)
      continue;
    for (const auto &[policy, placement] : Policies) {
      if (!isSelected(Opts.SelectedPolicies, policy))
        continue;
      Scenario scenario = makeScenario(name, Opts.Seconds);
      RunStats stats = runScenario(scenario, placement, Opts.Seed);
      print(scenario, policy, stats, Opts.Seed);
      if (!Opts.Requests.empty())
        writeRequests(Opts.Requests, name, policy, stats);
    }
  }
}

// Unless scenarios or policies are selected, a quick run omits some of them to
// take less than a minute.
void fillDefaults(Options &Opts) {
  if (Opts.Quick)
    Opts.Seconds = std::min(Opts.Seconds, 5.0);
  if (Opts.Scenarios.empty() && Opts.Quick)
    Opts.Scenarios = {"steady", "overload", "kill"};
  if (Opts.SelectedPolicies.empty() && Opts.Quick)
    Opts.SelectedPolicies = {"baseline-load", "pool"};
  if (Opts.Scenarios.empty())
    Opts.Scenarios = allScenarios();
  if (Opts.SelectedPolicies.empty())
    for (const auto &[policy, placement] : Policies)
      Opts.SelectedPolicies.emplace_back(policy);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App app{"Measures placement policies under load"};
  Options options;
  std::vector<std::string> policies;
  for (const auto &[policy, placement] : Policies)
    policies.emplace_back(policy);
  app.add_option("--scenario", options.Scenarios)
      ->check(CLI::IsMember(allScenarios()));
  app.add_option("--policy", options.SelectedPolicies)
      ->check(CLI::IsMember(policies));
  app.add_option("--seconds", options.Seconds, "length of each trace");
  app.add_option("--seed", options.Seed);
  app.add_option("--pairs", options.Pairs, "calls of the paired scenario")
      ->check(CLI::PositiveNumber);
  app.add_flag("--quick", options.Quick,
               "finish in less than a minute in total");
  app.add_option("--requests", options.Requests,
                 "append one line per request to this file");
  CLI11_PARSE(app, Count, Arguments);
  fillDefaults(options);
  try {
    run(options);
  } catch (const std::exception &fault) {
    std::fprintf(stderr, "bench_load: %s\n", fault.what());
    return 1;
  }
  return 0;
}
