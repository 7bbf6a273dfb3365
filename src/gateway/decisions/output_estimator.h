// Estimates the memory to reserve for the output of a request from the lengths
// of completed outputs. Does no I/O.
//
// Intended for decode servers with memory for about seven requests, all of it
// in use. An output that exceeds its reservation is preempted and its prompt
// prefilled again; a reservation that is too large leaves memory idle. Callers'
// estimates of the output length are right at the median only, so the
// reservation follows the observed ratio of actual to expected length.
#ifndef CROCUSSPUR_GATEWAY_OUTPUT_ESTIMATOR_H
#define CROCUSSPUR_GATEWAY_OUTPUT_ESTIMATOR_H

#include "output_lengths.h"

#include <cstdint>

namespace crocusspur::gateway {

// Size of a request to a model, in tokens.
struct GenerationSize {
  uint64_t PromptTokens = 0;
  uint64_t MaxOutputTokens = 0;
  uint64_t ExpectedOutputTokens = 0; // caller's estimate; 0: not given
};

class OutputEstimator {
public:
  // Records the length of a completed output.
  void addSample(const GenerationSize &Size, uint64_t Tokens);

  // Returns the tokens to reserve so that the fraction `Coverage` of the
  // outputs fits, at most the allowed output.
  uint64_t tokensToReserve(const GenerationSize &Size, double Coverage) const;

private:
  internal::OutputLengths RatiosToAllowed;  // in thousandths
  internal::OutputLengths RatiosToExpected; // in thousandths
};

// Returns the fraction of outputs that reservations should cover at a server
// with memory for `Capacity` tokens and requests of `RequestTokens`.
double reservationCoverage(uint64_t RequestTokens, uint64_t Capacity);

// Returns the tokens to reserve for a request at a server with this capacity:
// its prompt and enough output for most requests.
uint64_t tokensToReserve(const OutputEstimator &Outputs,
                         const GenerationSize &Size, uint64_t Capacity);

} // namespace crocusspur::gateway

#endif
