// Scenarios of the load benchmark and the fleet of real processes they run on.
#ifndef CROCUSSPUR_BENCH_LOAD_FLEET_H
#define CROCUSSPUR_BENCH_LOAD_FLEET_H

#include "load_client.h"
#include "process_fixture.h"

namespace crocusspur::bench {

// A process to disturb during the replay, by a signal.
struct FaultInjection {
  Microseconds At{0};
  std::string Process; // server, "platform" or router ("e1")
  int Signal = 0;
};

struct Scenario {
  std::string Name;
  std::vector<TrafficSource> TrafficSources;
  std::map<std::string, GroupTarget> Targets;
  std::vector<FaultInjection> Faults;
  Microseconds Length{0};
  Microseconds DrainTime{0};
  // Slot seconds count from here, when the slots have been filled.
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

// `Placement` as in the settings.
RunStats runScenario(const Scenario &Spec, const std::string &Placement,
                     uint64_t Seed);

} // namespace crocusspur::bench

#endif
