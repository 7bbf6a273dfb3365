// Remembers the instances of the fleet, to tell which part of it this instance
// still knows. Does no I/O; callers pass the time.
//
// Answers the loss of many instances at once, which looks the same whether they
// ended or are cut off: in the second case they use quotas as well.
#ifndef CROCUSSPUR_GATEWAY_FLEET_MEMORY_H
#define CROCUSSPUR_GATEWAY_FLEET_MEMORY_H

#include "gateway/decisions/member_table.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusspur::gateway {

struct FleetView {
  uint32_t Alive = 1;    // instances known to run, including this one
  uint32_t Expected = 1; // those and the ones that may run out of reach
  // When one was lost, announced its leaving or came back, so that accounts may
  // have got another home; at first the start of this process.
  TimePoint ChangedAt;
  // Whether this process has discovered the fleet; see FleetDiscovery.
  bool Discovered = true;
  // No peer that had discovered the fleet was heard before this process
  // discovered it, so that all instances have started together. False until a
  // peer is heard.
  bool StartedWithFleet = false;
  // Part of the configured seeds that this process has heard of, itself
  // included. Both halves of a fleet that is partitioned while it starts know
  // nothing else of each other, and their parts add up to 1.
  double SeedPart = 1;

  double knownPart() const {
    return Expected == 0 ? 1 : static_cast<double>(Alive) / Expected;
  }
};

class FleetMemory {
public:
  explicit FleetMemory(TimePoint Now) : StartedAt(Now) { View.ChangedAt = Now; }

  // `Others`: the other instances known to run.
  void update(const std::vector<Member> &Others, TimePoint Now);
  // `MinExpected`: the least number of instances to expect.
  FleetView view(uint32_t MinExpected, bool Discovered,
                 bool StartedWithFleet = false) const;
  // The part of the seeds that were known at an update so far, this instance
  // included; 1 without seeds, or once the retention of a lost instance has
  // passed since the start.
  double seedPart(const std::vector<std::string> &Seeds,
                  const std::string &OwnAddress, TimePoint Now);

private:
  struct State {
    std::string Address;
    TimePoint SeenAt;
    bool Leaving = false;
    bool Alive = false;
    bool WasAlive = false; // at the update before
  };
  std::map<std::string, State> Members; // by name
  FleetView View;
  TimePoint StartedAt;
  std::set<std::string> KnownSeeds; // addresses
};

} // namespace crocusspur::gateway

#endif
