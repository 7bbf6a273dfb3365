// Measures the control overhead of one instance of a fleet: feeds one decision
// core its share of the target load in virtual time. Prints JSON lines.
#include "capacity_driver.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <sstream>
#include <string>

using namespace crocusspur;
using namespace crocusspur::bench;

namespace {

// Time for leases, estimates and the number of open requests to stabilize.
constexpr Milliseconds WarmUp{25000};

struct Options {
  DriverOptions Driver;
  int Owned = 1; // number of shards that the instance should own
  double Seconds = 20;
  std::string Mode = "steady";
};

// Returns the index of the instance whose number of owned shards is closest to
// `ShardCount`.
int findInstanceByShardCount(const FleetSize &Size, int ShardCount) {
  std::vector<std::string> names;
  for (int i = 0; i < Size.Instances; ++i)
    names.push_back(instanceName(i));
  std::map<std::string, int> shardCounts;
  ConfigPtr config = parseConfig(configText(Size, 1));
  for (const ModelConfig &model : config->Models)
    for (const ShardConfig &it : model.Shards)
      ++shardCounts[rankByRendezvous(it.Name, names).front()];
  int best = 0;
  for (int i = 0; i < Size.Instances; ++i)
    if (std::abs(shardCounts[names[static_cast<size_t>(i)]] - ShardCount) <
        std::abs(shardCounts[names[static_cast<size_t>(best)]] - ShardCount))
      best = i;
  return best;
}

// JSON fields that all lines of a run start with, without the opening brace.
std::string commonFields(const Options &Opts) {
  std::ostringstream out;
  out << R"("mode":")" << Opts.Mode << R"(","instances":)"
      << Opts.Driver.Size.Instances << R"(,"groups":)"
      << Opts.Driver.Size.Groups << R"(,"entry_rate":)" << Opts.Driver.EntryRate
      << R"(,"shard_rate":)" << Opts.Driver.ShardRate;
  return out.str();
}

void measureSteady(Options &Opts) {
  Opts.Driver.Self = findInstanceByShardCount(Opts.Driver.Size, Opts.Owned);
  CapacityDriver driver(Opts.Driver);
  driver.runFor(WarmUp);
  driver.meter().clear();
  uint64_t completed = driver.completed(), failed = driver.failed();
  driver.runFor(Milliseconds(static_cast<int64_t>(1000 * Opts.Seconds)));
  std::string fields = commonFields(Opts);
  driver.meter().print(fields, Opts.Seconds);
  completed = driver.completed() - completed;
  failed = driver.failed() - failed;
  size_t open = driver.openRequests(), held = driver.ownedRequests();
  size_t shards = driver.ownedShards();
  std::printf("{%s,\"owned_shards\":%zu,\"open_requests\":%zu,"
              "\"held_leases\":%zu,\"completed\":%lu,\"refused\":%lu,"
              "\"resident_bytes\":%lu,\"core_heap_bytes\":%lu}\n",
              fields.c_str(), shards, open, held, completed, failed,
              residentBytes(), driver.dropCore());
}

void measureDocuments(const Options &Opts) {
  std::string fields = commonFields(Opts);
  std::string config = configText(Opts.Driver.Size, 2);
  std::string list = listText(Opts.Driver.Size, 2);
  uint64_t before = heapBytes();
  double start = processorSeconds();
  ConfigPtr parsed = parseConfig(config);
  double configSeconds = processorSeconds() - start;
  uint64_t configHeap = heapBytes() - before;
  start = processorSeconds();
  InstanceListPtr parsedList = parseList(list);
  double listSeconds = processorSeconds() - start;
  std::printf("{%s,\"config_bytes\":%zu,\"config_parse_ms\":%.1f,"
              "\"config_heap_bytes\":%lu,\"list_bytes\":%zu,"
              "\"list_parse_ms\":%.2f}\n",
              fields.c_str(), config.size(), 1e3 * configSeconds, configHeap,
              list.size(), 1e3 * listSeconds);
}

// Measures a new configuration and then a new instance list, which the core
// first learns about from heartbeats of peers.
void measureChange(Options &Opts) {
  Opts.Driver.Self = findInstanceByShardCount(Opts.Driver.Size, Opts.Owned);
  CapacityDriver driver(Opts.Driver);
  driver.runFor(WarmUp);
  std::string fields = commonFields(Opts);
  ConfigPtr config = parseConfig(configText(Opts.Driver.Size, 2));
  driver.meter().clear();
  driver.announceConfig(config, Milliseconds{150});
  driver.runFor(Milliseconds{5000});
  std::printf("{%s,\"change\":\"config\",\"requests_for_it\":%lu,"
              "\"in_force\":%lu}\n",
              fields.c_str(), driver.documentRequests(),
              driver.activeConfigVersion());
  driver.meter().print(fields + R"(,"change":"config")", 5);
  uint64_t requestsBefore = driver.documentRequests();
  int leaving = (Opts.Driver.Self + 1) % Opts.Driver.Size.Instances;
  driver.meter().clear();
  driver.announceList(parseList(listText(Opts.Driver.Size, 2, leaving)),
                      Milliseconds{20});
  driver.runFor(Milliseconds{5000});
  std::printf("{%s,\"change\":\"list\",\"requests_for_it\":%lu}\n",
              fields.c_str(), driver.documentRequests() - requestsBefore);
  driver.meter().print(fields + R"(,"change":"list")", 5);
}

} // namespace

int main(int Count, char **Arguments) {
  Options options;
  CLI::App app("Measures the control work of one instance of a fleet");
  app.add_option("--mode", options.Mode, "steady, change or documents");
  app.add_option("--instances", options.Driver.Size.Instances);
  app.add_option("--groups", options.Driver.Size.Groups);
  app.add_option("--entry-rate", options.Driver.EntryRate);
  app.add_option("--shard-rate", options.Driver.ShardRate);
  app.add_option("--owned", options.Owned);
  app.add_option("--seconds", options.Seconds, "virtual time that is measured");
  app.add_option("--seed", options.Driver.Seed);
  CLI11_PARSE(app, Count, Arguments);
  if (options.Mode == "documents")
    measureDocuments(options);
  else if (options.Mode == "change")
    measureChange(options);
  else
    measureSteady(options);
}
