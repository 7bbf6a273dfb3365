// Estimates the prompt tokens per second that one prefill server of a service
// processes from the duration of prefill calls. Does no I/O.
//
// Samples have two kinds of error: calls that were queued behind others are too
// slow, and prompts that the server has partly cached are too fast. Callers'
// retries are often of the second kind and come in large numbers after a
// failure.
#ifndef CROCUSSPUR_GATEWAY_PREFILL_RATE_ESTIMATOR_H
#define CROCUSSPUR_GATEWAY_PREFILL_RATE_ESTIMATOR_H

#include "crocusspur/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocusspur::gateway {

// Estimate of one instance, from its latest calls.
class PrefillRateEstimator {
public:
  void add(uint64_t Tokens, Milliseconds Duration);
  // Tokens per second; 0 if there are no samples.
  double value() const;

private:
  std::array<double, 64> Latest{}; // tokens per second, circular buffer
  size_t Count = 0;                // all samples so far
};

// Combines the estimates of all instances into their median. Ignores rates of
// 0, which stand for instances without an estimate.
double medianPrefillRate(std::vector<double> Rates);

} // namespace crocusspur::gateway

#endif
