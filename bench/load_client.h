// Replays a trace over HTTP from one thread, with one connection per request.
#ifndef CROCUSSPUR_BENCH_LOAD_CLIENT_H
#define CROCUSSPUR_BENCH_LOAD_CLIENT_H

#include "load_metrics.h"

#include <functional>

namespace crocusspur::bench {

// An action during a replay, such as killing a process.
struct TimedStep {
  Microseconds At{0};
  std::function<void()> Run;
};

struct ReplayOptions {
  std::vector<std::string> Addresses;        // IP:port of the routers
  std::map<std::string, std::string> Tokens; // bearer token by group
  std::vector<TimedStep> Steps;
  // Time from the last arrival until open requests are cut off.
  Microseconds DrainTime{0};
  // Called before open requests are cut off.
  std::function<void()> BeforeCutoff;
};

struct ReplayResult {
  std::vector<RequestResult> Results; // in the order of the trace
  int64_t StartedMs = 0;              // wall clock
  Microseconds MaxStartDelay{0};      // of a request after its planned start
};

// Sends requests to the routers in round-robin order. If a router refuses the
// connection, the request goes to the next one, as with a load balancer.
ReplayResult replay(const std::vector<PlannedRequest> &Trace,
                    ReplayOptions Options);

} // namespace crocusspur::bench

#endif
