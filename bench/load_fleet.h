// Scenarios of the load benchmark, which run on fleets of real processes.
#ifndef CROCUSSPUR_BENCH_LOAD_FLEET_H
#define CROCUSSPUR_BENCH_LOAD_FLEET_H

#include "load_client.h"
#include "process_fixture.h"

namespace crocusspur::bench {

// Sends a signal to a process during the replay.
struct FaultInjection {
  Microseconds At{0};
  std::string Process; // name of a server, "platform" or a router ("e1")
  int Signal = 0;
};

struct Scenario {
  std::string Name;
  std::vector<TrafficSource> TrafficSources;
  std::map<std::string, GroupTarget> Targets;
  std::vector<FaultInjection> Faults;
  Microseconds Length{0};
  Microseconds DrainTime{0};
  // Slot seconds are counted from this time, when the slots are filled.
  Microseconds WarmUp{0};
  test::FleetOptions Fleet;
};

std::vector<std::string> scenarioNames();
// Throws std::invalid_argument for an unknown name.
Scenario makeScenario(const std::string &Name, double Seconds);

struct RunStats {
  ReplayResult Replayed;
  std::vector<EngineRun> Runs;
  TimeWindow Window; // of slot seconds and processor time
  // Processor time of all routers within the window.
  double RouterSeconds = 0;
};

// `Placement` is the name of the policy in the settings.
RunStats runScenario(const Scenario &Spec, const std::string &Placement,
                     uint64_t Seed);

} // namespace crocusspur::bench

#endif
