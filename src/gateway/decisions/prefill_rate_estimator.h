// Prompt tokens that one prefill server of a service reads a second, estimated
// from how long prompts took to read. Pure.
//
// Answers to two errors in the samples: calls that waited behind others are too
// slow, and prompts of which the server still kept parts are too fast. Callers'
// repeats are often of the second kind, and come in numbers after a failure.
#ifndef CROCUSSPUR_GATEWAY_PREFILL_RATE_ESTIMATOR_H
#define CROCUSSPUR_GATEWAY_PREFILL_RATE_ESTIMATOR_H

#include "crocusspur/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocusspur::gateway {

// One instance's estimate, over its latest calls.
class PrefillRateEstimator {
public:
  void add(uint64_t Tokens, Milliseconds Duration);
  // Tokens a second; 0 without a sample.
  double value() const;

private:
  std::array<double, 64> Latest{}; // tokens a second, a ring
  size_t Count = 0;                // of all samples so far
};

// Estimate of all instances together, from each one's own; 0 stands for one
// that has none and doesn't count.
double medianPrefillRate(std::vector<double> Rates);

} // namespace crocusspur::gateway

#endif
