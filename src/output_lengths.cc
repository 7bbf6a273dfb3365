#include "output_lengths.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

// The prior counts as this many samples. It also covers lengths beyond all
// that were seen, so that an overlong decode isn't expected to end at once.
static constexpr double PriorWeight = 4;

// Samples are halved at this count, so that the histogram follows a change of
// the workload.
static constexpr double SampleLimit = 4000;

// Bucket of a length with the fraction of the bucket that lies below it.
double OutputLengths::position(double Tokens) {
  if (Tokens <= Exact)
    return std::max(0.0, Tokens);
  double at = Exact + PerOctave * std::log2(Tokens / Exact);
  return std::min<double>(at, Buckets);
}

void OutputLengths::add(uint32_t Tokens) {
  // A length of n tokens ends at n; it lies in the bucket that ends there.
  double at = position(Tokens);
  auto bucket = static_cast<size_t>(std::max(0.0, std::ceil(at) - 1));
  for (size_t i = bucket + 1; i <= Buckets; ++i)
    Below[i] += 1;
  Total += 1;
  Sum += Tokens;
  if (Total < SampleLimit)
    return;
  for (double &it : Below)
    it /= 2;
  Total /= 2;
  Sum /= 2;
}

double OutputLengths::below(double Tokens) const {
  double at = position(Tokens);
  auto bucket = std::min(static_cast<size_t>(at), Buckets - 1);
  return Below[bucket] + (at - static_cast<double>(bucket)) *
                             (Below[bucket + 1] - Below[bucket]);
}

double OutputLengths::distribution(uint32_t MaxTokens, double Tokens) const {
  if (Tokens >= MaxTokens)
    return 1;
  if (Tokens <= 0)
    return 0;
  return (PriorWeight * Tokens / MaxTokens + below(Tokens)) /
         (PriorWeight + Total);
}

double OutputLengths::endProbability(uint32_t MaxTokens, double SoFar,
                                     double Until) const {
  if (Until <= SoFar)
    return 0;
  double before = distribution(MaxTokens, SoFar);
  if (before >= 1)
    return 1;
  return (distribution(MaxTokens, Until) - before) / (1 - before);
}

double OutputLengths::mean(uint32_t MaxTokens) const {
  double prior = MaxTokens / 2.0;
  double learned = Total > 0 ? std::min<double>(Sum / Total, MaxTokens) : 0;
  return (PriorWeight * prior + Total * learned) / (PriorWeight + Total);
}

} // namespace crocusspur::internal
