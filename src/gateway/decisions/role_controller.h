// Decides when servers of a model change their stage. Does no I/O; callers pass
// the time.
//
// A server changes to decode if decode memory has been short for seconds, or is
// so full at the usual demand that the next burst won't fit, while the prefill
// servers have capacity to spare. A server changes to prefill if prompts wait
// while decode memory is free. A change makes a server unavailable for several
// seconds, so changes are rare, one at a time (several in a large pool), and
// made only if the demand of the last half minute would have fitted.
#ifndef CROCUSSPUR_GATEWAY_ROLE_CONTROLLER_H
#define CROCUSSPUR_GATEWAY_ROLE_CONTROLLER_H

#include "gateway/decisions/demand_meter.h"
#include "gateway/decisions/server_registry.h"

#include <optional>
#include <string>

namespace crocusspur::gateway {

// State of a service, combined from all instances.
struct PoolView {
  uint32_t PrefillServers = 0;
  uint32_t DecodeServers = 0;
  StageDemand Demand;
  // Prompt tokens per second of one prefill server; 0: unknown.
  double PrefillRate = 0;
  // Fraction of the decode servers' memory in use; 0: unknown.
  double DecodeUtilization = 0;
};

// Number of servers that should change to a stage now.
struct StageChange {
  ServerStage To = ServerStage::Decode;
  uint32_t Servers = 1;
};

class RoleController {
public:
  // `LastOrder` is when any instance last issued an order for the service.
  std::optional<StageChange> decide(const PoolView &Pool,
                                    std::optional<TimePoint> LastOrder,
                                    TimePoint Now);

private:
  void observe(const PoolView &Pool, TimePoint Now);

  std::optional<TimePoint> ShortageSince;        // of decode memory
  std::optional<TimePoint> HighUtilizationSince; // decode memory, usual demand
  double PeakUsedServers = 0; // recent peak of used memory, in decode servers
  TimePoint PeakUsedAt;
};

} // namespace crocusspur::gateway

#endif
