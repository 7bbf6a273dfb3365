// Time to the first token through a router, paired with direct calls of the
// same engines.
#ifndef CROCUSSPUR_BENCH_PAIRED_CALLS_H
#define CROCUSSPUR_BENCH_PAIRED_CALLS_H

#include <cstddef>
#include <vector>

namespace crocusspur::bench {

struct PairedTimes {
  std::vector<double> Direct; // milliseconds, sorted
  std::vector<double> Added;  // routed less direct of each pair, sorted
};

// Runs the pairs one after the other on an idle fleet of one router, one
// prefill and one decode server. A direct call prefills and decodes as the
// router would, on new connections.
PairedTimes measurePairs(size_t Count);

} // namespace crocusspur::bench

#endif
