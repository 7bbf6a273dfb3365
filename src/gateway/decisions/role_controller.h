// Decides when a server of a model changes its stage. Pure.
//
// The load that it answers: decode memory is short for seconds on end, or
// filled by usual demand so that the next burst will find none, while the
// prefill servers have room; or prompts wait while decode memory is free. A
// change takes a server away for some seconds, so it is rare, one at a time,
// and only made where the demand of the last half minute would have fitted.
#ifndef CROCUSSPUR_GATEWAY_ROLE_CONTROLLER_H
#define CROCUSSPUR_GATEWAY_ROLE_CONTROLLER_H

#include "gateway/decisions/demand_meter.h"
#include "gateway/decisions/server_registry.h"

#include <optional>
#include <string>

namespace crocusspur::gateway {

// A service as all instances together see it.
struct PoolView {
  uint32_t PrefillServers = 0;
  uint32_t DecodeServers = 0;
  StageDemand Demand;
  // Prompt tokens that one prefill server reads a second; 0: not known yet.
  double PrefillRate = 0;
  // Part of the decode servers' memory that is in use; 0: not known.
  double DecodeUtilization = 0;
};

// Servers that should change to a stage now.
struct StageChange {
  ServerStage To = ServerStage::Decode;
  uint32_t Servers = 1;
};

class RoleController {
public:
  // `LastOrder`: when any instance last gave an order for the service.
  std::optional<StageChange> decide(const PoolView &Pool,
                                    std::optional<TimePoint> LastOrder,
                                    TimePoint Now);

private:
  void observe(const PoolView &Pool, TimePoint Now);

  std::optional<TimePoint> ShortageSince; // of decode memory
  std::optional<TimePoint>
      HighUtilizationSince;   // of decode memory, by usual demand
  double PeakUsedServers = 0; // decode servers' worth of memory in use, lately
  TimePoint PeakUsedAt;
};

} // namespace crocusspur::gateway

#endif
