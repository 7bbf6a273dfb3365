// Learned distribution of the output lengths of one group and class, in tokens.
#ifndef CROCUSSPUR_OUTPUT_LENGTHS_H
#define CROCUSSPUR_OUTPUT_LENGTHS_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace crocusspur::internal {

class OutputLengths {
public:
  // Records the length of a completed output.
  void add(uint32_t Tokens);

  // Probability that an output of at most MaxTokens that has reached `SoFar`
  // tokens ends by `Until` tokens. Without samples, lengths are assumed to be
  // uniformly distributed up to MaxTokens.
  double endProbability(uint32_t MaxTokens, double SoFar, double Until) const;
  // Expected length of an output of at most MaxTokens.
  double mean(uint32_t MaxTokens) const;
  double samples() const { return Total; }

private:
  static constexpr size_t ExactBuckets = 16;    // one for each length
  static constexpr size_t BucketsPerOctave = 8; // buckets per doubling, 9% wide
  static constexpr size_t Octaves = 12;         // up to 65536 tokens
  static constexpr size_t Buckets = ExactBuckets + BucketsPerOctave * Octaves;

  static double bucketPosition(double Tokens);
  double weightBelow(double Tokens) const;
  double cumulativeProbability(uint32_t MaxTokens, double Tokens) const;

  // CumulativeWeight[i] is the weight of lengths in buckets before i.
  std::array<double, Buckets + 1> CumulativeWeight{};
  double Total = 0;
  double Sum = 0; // of lengths
};

} // namespace crocusspur::internal

#endif
