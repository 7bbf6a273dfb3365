#include "output_lengths.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

// Weight of the uniform prior in samples. The prior also covers lengths beyond
// all samples, so that an overlong decode isn't expected to end at once.
static constexpr double PriorWeight = 4;

// All weights are halved at this number of samples, so that the histogram
// follows a change of the workload.
static constexpr double SampleLimit = 4000;

// Returns the bucket of a length plus the fraction of the bucket below it.
double OutputLengths::bucketPosition(double Tokens) {
  if (Tokens <= ExactBuckets)
    return std::max(0.0, Tokens);
  double at =
      ExactBuckets + BucketsPerOctave * std::log2(Tokens / ExactBuckets);
  return std::min<double>(at, Buckets);
}

void OutputLengths::add(uint32_t Tokens) {
  // Bucket i holds the lengths in (i, i + 1], so a length on an edge counts in
  // the bucket that ends there.
  double at = bucketPosition(Tokens);
  auto bucket = static_cast<size_t>(std::max(0.0, std::ceil(at) - 1));
  for (size_t i = bucket + 1; i <= Buckets; ++i)
    CumulativeWeight[i] += 1;
  Total += 1;
  Sum += Tokens;
  if (Total < SampleLimit)
    return;
  for (double &it : CumulativeWeight)
    it /= 2;
  Total /= 2;
  Sum /= 2;
}

double OutputLengths::weightBelow(double Tokens) const {
  double at = bucketPosition(Tokens);
  auto bucket = std::min(static_cast<size_t>(at), Buckets - 1);
  return CumulativeWeight[bucket] +
         (at - static_cast<double>(bucket)) *
             (CumulativeWeight[bucket + 1] - CumulativeWeight[bucket]);
}

double OutputLengths::cumulativeProbability(uint32_t MaxTokens,
                                            double Tokens) const {
  if (Tokens >= MaxTokens)
    return 1;
  if (Tokens <= 0)
    return 0;
  return (PriorWeight * Tokens / MaxTokens + weightBelow(Tokens)) /
         (PriorWeight + Total);
}

double OutputLengths::endProbability(uint32_t MaxTokens, double SoFar,
                                     double Until) const {
  if (Until <= SoFar)
    return 0;
  double before = cumulativeProbability(MaxTokens, SoFar);
  if (before >= 1)
    return 1;
  return (cumulativeProbability(MaxTokens, Until) - before) / (1 - before);
}

double OutputLengths::mean(uint32_t MaxTokens) const {
  double prior = MaxTokens / 2.0;
  double learned = Total > 0 ? std::min<double>(Sum / Total, MaxTokens) : 0;
  return (PriorWeight * prior + Total * learned) / (PriorWeight + Total);
}

} // namespace crocusspur::internal
