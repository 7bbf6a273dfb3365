// Compares the time to the first token through a router with that of direct
// calls to the same engines.
#ifndef CROCUSSPUR_BENCH_PAIRED_CALLS_H
#define CROCUSSPUR_BENCH_PAIRED_CALLS_H

#include <cstddef>
#include <vector>

namespace crocusspur::bench {

struct PairedTimes {
  std::vector<double> Direct; // milliseconds, sorted
  std::vector<double> Added;  // routed minus direct time of each pair, sorted
};

// Runs the pairs sequentially on an otherwise idle fleet of one router, one
// prefill and one decode server. A direct call sends the prefill and decode
// requests that the router would send, on new connections.
PairedTimes measurePairs(size_t Count);

} // namespace crocusspur::bench

#endif
