// Replays in virtual time how published changes reach all instances of a fleet
// while those that read the store, or the store itself, fail.
#include "propagation_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::test;

namespace {

// Plays the schedule with several seeds and returns the slowest instance's
// time.
Milliseconds slowestOf(PropagationOptions Options,
                       const FaultSchedule &Schedule, uint64_t Seeds) {
  Milliseconds slowest{0};
  for (Options.Seed = 1; Options.Seed <= Seeds; ++Options.Seed) {
    PropagationFleet fleet(Options);
    PropagationResult result = fleet.play(Schedule);
    CHECK(result.Judged > 0);
    slowest = std::max(slowest, result.Slowest);
  }
  MESSAGE(Options.Instances << " instances, " << Schedule.str()
                            << ": in force at all after " << slowest.count()
                            << " ms");
  return slowest;
}

} // namespace

// Guards against a change that no instance reads in time, since the store is
// silent towards those that read and serves others.
TEST_CASE("A change is in force in time while the store is silent for most") {
  for (double share : {0.8, 0.9}) {
    FaultSchedule schedule;
    schedule.Spells = {{FleetFault::StoreSilent, share, true,
                        Milliseconds(1000), Milliseconds(6000)}};
    schedule.Changes = {Milliseconds(1380)};
    CHECK(slowestOf({}, schedule, 10) <= Milliseconds(3000));
  }
}

TEST_CASE("Changes are in force in time whatever fails") {
  std::mt19937_64 random(1);
  PropagationOptions options;
  Milliseconds slowest{0};
  int late = 0;
  std::string worst;
  for (options.Seed = 1; options.Seed <= 60; ++options.Seed) {
    FaultSchedule schedule = randomSchedule(random);
    PropagationFleet fleet(options);
    PropagationResult result = fleet.play(schedule);
    late += result.Late > 0;
    if (result.Slowest <= slowest)
      continue;
    slowest = result.Slowest;
    worst = "seed " + std::to_string(options.Seed) + ", " +
            result.SlowestInstance + ": " + schedule.str();
  }
  MESSAGE("slowest after " << slowest.count() << " ms (" << worst << "), "
                           << late << " of 60 late");
  CHECK(late == 0);
}
