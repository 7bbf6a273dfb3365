// Memory to reserve for the output of a request, learned from outputs that have
// ended. Pure.
//
// The load that it answers: decode servers with memory for some seven requests,
// all in use. An output that outgrows its reservation is preempted, its prompt
// read again; a reservation that is too large leaves memory idle. Callers that
// say how much they expect are right at the median only, so the reservation
// follows how much longer than expected outputs have become.
#ifndef CROCUSSPUR_GATEWAY_OUTPUT_ESTIMATOR_H
#define CROCUSSPUR_GATEWAY_OUTPUT_ESTIMATOR_H

#include "output_lengths.h"

#include <cstdint>

namespace crocusspur::gateway {

// Size of a request to a model, in tokens.
struct GenerationSize {
  uint64_t PromptTokens = 0;
  uint64_t MaxOutputTokens = 0;
  uint64_t ExpectedOutputTokens = 0; // as the caller estimates; 0: not said
};

class OutputEstimator {
public:
  // An output ended by itself with so many tokens.
  void addSample(const GenerationSize &Size, uint64_t Tokens);

  // Tokens to reserve for the output, so that `Covered` of the outputs keep
  // within them; at most the allowed output.
  uint64_t tokensToReserve(const GenerationSize &Size, double Coverage) const;

private:
  internal::OutputLengths
      RatiosToAllowed; // in thousandths of the allowed output
  internal::OutputLengths
      RatiosToExpected; // in thousandths of the expected output
};

// Part of the outputs that reservations cover at a server whose memory holds
// `Capacity` tokens, with requests of `RequestTokens`.
double reservationCoverage(uint64_t RequestTokens, uint64_t Capacity);

} // namespace crocusspur::gateway

#endif
