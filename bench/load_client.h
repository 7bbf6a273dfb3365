// Replays a trace over HTTP from one thread with one connection a request.
#ifndef CROCUSSPUR_BENCH_LOAD_CLIENT_H
#define CROCUSSPUR_BENCH_LOAD_CLIENT_H

#include "load_metrics.h"

#include <functional>

namespace crocusspur::bench {

// Something to do during a replay, such as the kill of a process.
struct TimedStep {
  Microseconds At{0};
  std::function<void()> Run;
};

struct ReplayOptions {
  std::vector<std::string> Addresses;        // IP:port of the routers
  std::map<std::string, std::string> Tokens; // bearer token by group
  std::vector<TimedStep> Steps;
  // Time after the last arrival at which open requests are cut off.
  Microseconds DrainTime{0};
  // Called before open requests are cut off.
  std::function<void()> BeforeCutoff;
};

struct ReplayResult {
  std::vector<RequestResult> Results; // in the order of the trace
  int64_t StartedMs = 0;              // wall clock
  Microseconds MaxStartDelay{0};      // of a start behind its planned time
};

// Requests go to the routers in turn; a router that refuses the connection is
// left out from then on, as a load balancer would do.
ReplayResult replay(const std::vector<PlannedRequest> &Trace,
                    ReplayOptions Options);

} // namespace crocusspur::bench

#endif
