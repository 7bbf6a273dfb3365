// Decides whether one more prefill may start now, from the probability that
// its result, or one started before it, finds no decode slot before eviction.
#ifndef CROCUSSPUR_START_RULE_H
#define CROCUSSPUR_START_RULE_H

#include "output_lengths.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocusspur::internal {

struct RunningDecode {
  const OutputLengths *Lengths = nullptr;
  uint32_t MaxTokens = 1;
  double Tokens = 0; // expected so far
  double TokensPerSecond = 40;
};

struct StartQuery {
  uint32_t FreeSlots = 0;
  std::vector<RunningDecode> Running;
  // For each result of a prefill in progress, the seconds from now until it
  // needs a slot, in any order.
  std::vector<double> Pending;
  double NewDue = 0; // the same for the new prefill
  double MaxShortageProbability = 0.01;
};

// Probability that the decode ends within this time.
double endProbabilityWithin(const RunningDecode &Decode, double Seconds);

// Probability that fewer than `Needed` of independent events with these
// probabilities occur (tail of the Poisson binomial distribution).
double shortageProbability(const std::vector<double> &Probabilities,
                           size_t Needed);

bool startRuleAllows(const StartQuery &Query);

// Seconds until the expected number of ended decodes reaches `Count`, at most
// `Limit`.
double secondsUntilFree(const std::vector<RunningDecode> &Running, double Count,
                        double Limit);

} // namespace crocusspur::internal

#endif
