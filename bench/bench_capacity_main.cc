// Measures what one instance of a fleet spends on control: feeds one decision
// core in virtual time with its part of the target load. Prints JSON lines.
#include "capacity_driver.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <sstream>
#include <string>

using namespace crocusspur;
using namespace crocusspur::bench;

namespace {

// Time until leases, estimates and the number of open requests are steady.
constexpr Milliseconds WarmUp{25000};

struct Run {
  DriverOptions Driver;
  int Owned = 1; // shards that the instance should own
  double Seconds = 20;
  std::string Mode = "steady";
};

// The instance that ranks first for the wanted number of shards.
int findOwner(const Fleet &Size, int Wanted) {
  std::vector<std::string> names;
  for (int i = 0; i < Size.Instances; ++i)
    names.push_back(instanceName(i));
  std::map<std::string, int> owned;
  ConfigPtr config = parsedConfig(configText(Size, 1));
  for (const ModelConfig &model : config->Models)
    for (const ShardConfig &it : model.Shards)
      ++owned[rankByRendezvous(it.Name, names).front()];
  int best = 0;
  for (int i = 0; i < Size.Instances; ++i)
    if (std::abs(owned[names[static_cast<size_t>(i)]] - Wanted) <
        std::abs(owned[names[static_cast<size_t>(best)]] - Wanted))
      best = i;
  return best;
}

std::string headOf(const Run &Of) {
  std::ostringstream out;
  out << R"("mode":")" << Of.Mode << R"(","instances":)"
      << Of.Driver.Size.Instances << R"(,"groups":)" << Of.Driver.Size.Groups
      << R"(,"entry_rate":)" << Of.Driver.EntryRate << R"(,"shard_rate":)"
      << Of.Driver.ShardRate;
  return out.str();
}

void measureSteady(Run &Of) {
  Of.Driver.Self = findOwner(Of.Driver.Size, Of.Owned);
  CapacityDriver driver(Of.Driver);
  driver.runFor(WarmUp);
  driver.meter().clear();
  uint64_t completed = driver.completed(), failed = driver.failed();
  driver.runFor(Milliseconds(static_cast<int64_t>(1000 * Of.Seconds)));
  std::string head = headOf(Of);
  driver.meter().print(head, Of.Seconds);
  completed = driver.completed() - completed;
  failed = driver.failed() - failed;
  size_t open = driver.openRequests(), held = driver.ownedRequests();
  size_t shards = driver.ownedShards();
  std::printf("{%s,\"owned_shards\":%zu,\"open_requests\":%zu,"
              "\"held_leases\":%zu,\"completed\":%lu,\"refused\":%lu,"
              "\"resident_bytes\":%lu,\"core_heap_bytes\":%lu}\n",
              head.c_str(), shards, open, held, completed, failed,
              residentBytes(), driver.dropCore());
}

void measureDocuments(const Run &Of) {
  std::string head = headOf(Of);
  std::string config = configText(Of.Driver.Size, 2);
  std::string list = listText(Of.Driver.Size, 2);
  uint64_t before = heapBytes();
  double from = processorSeconds();
  ConfigPtr parsed = parsedConfig(config);
  double configSeconds = processorSeconds() - from;
  uint64_t configHeap = heapBytes() - before;
  from = processorSeconds();
  InstanceListPtr parsedNames = parsedList(list);
  double listSeconds = processorSeconds() - from;
  std::printf("{%s,\"config_bytes\":%zu,\"config_parse_ms\":%.1f,"
              "\"config_heap_bytes\":%lu,\"list_bytes\":%zu,"
              "\"list_parse_ms\":%.2f}\n",
              head.c_str(), config.size(), 1e3 * configSeconds, configHeap,
              list.size(), 1e3 * listSeconds);
}

// A new configuration and then a new list, first heard of from peers.
void measureChange(Run &Of) {
  Of.Driver.Self = findOwner(Of.Driver.Size, Of.Owned);
  CapacityDriver driver(Of.Driver);
  driver.runFor(WarmUp);
  std::string head = headOf(Of);
  ConfigPtr config = parsedConfig(configText(Of.Driver.Size, 2));
  driver.meter().clear();
  driver.announceConfig(config, Milliseconds{150});
  driver.runFor(Milliseconds{5000});
  std::printf("{%s,\"change\":\"config\",\"requests_for_it\":%lu,"
              "\"in_force\":%lu}\n",
              head.c_str(), driver.questions(), driver.configInForce());
  driver.meter().print(head + R"(,"change":"config")", 5);
  uint64_t asked = driver.questions();
  int leaving = (Of.Driver.Self + 1) % Of.Driver.Size.Instances;
  driver.meter().clear();
  driver.announceList(parsedList(listText(Of.Driver.Size, 2, leaving)),
                      Milliseconds{20});
  driver.runFor(Milliseconds{5000});
  std::printf("{%s,\"change\":\"list\",\"requests_for_it\":%lu}\n",
              head.c_str(), driver.questions() - asked);
  driver.meter().print(head + R"(,"change":"list")", 5);
}

} // namespace

int main(int Count, char **Arguments) {
  Run run;
  CLI::App app("Measures the control work of one instance of a fleet");
  app.add_option("--mode", run.Mode, "steady, change or documents");
  app.add_option("--instances", run.Driver.Size.Instances);
  app.add_option("--groups", run.Driver.Size.Groups);
  app.add_option("--entry-rate", run.Driver.EntryRate);
  app.add_option("--shard-rate", run.Driver.ShardRate);
  app.add_option("--owned", run.Owned);
  app.add_option("--seconds", run.Seconds, "virtual time that is measured");
  app.add_option("--seed", run.Driver.Seed);
  CLI11_PARSE(app, Count, Arguments);
  if (run.Mode == "documents")
    measureDocuments(run);
  else if (run.Mode == "change")
    measureChange(run);
  else
    measureSteady(run);
}
