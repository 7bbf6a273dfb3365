// Open-loop request traces for the load benchmark.
#ifndef CROCUSSPUR_BENCH_LOAD_TRACE_H
#define CROCUSSPUR_BENCH_LOAD_TRACE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusspur::bench {

using Microseconds = std::chrono::microseconds;

// One kind of request with Poisson arrivals between two times.
struct TrafficSource {
  std::string Group;
  double RequestsPerSecond = 1;
  Microseconds From{0};
  Microseconds Until{0};
  // Uniform in [Low, High].
  uint32_t PromptTokensLow = 500;
  uint32_t PromptTokensHigh = 500;
  // Exponentially distributed with this mean, limited to [1, 4 * mean].
  double MeanOutputTokens = 20;
  // Number of distinct prefixes that the prompts begin with; 0: no shared
  // prefixes.
  uint32_t SharedPrefixes = 0;
  uint32_t PrefixBytes = 0;
};

struct PlannedRequest {
  Microseconds At{0}; // from the start of the replay
  std::string Group;
  std::string Prompt;
  uint32_t PromptTokens = 0;
  uint32_t OutputTokens = 0; // number that the engine generates
  uint32_t MaxTokens = 0;    // limit set by the caller
};

// Sorted by time. The same arguments give the same trace.
std::vector<PlannedRequest>
makeTrace(const std::vector<TrafficSource> &TrafficSources, uint64_t Seed);

} // namespace crocusspur::bench

#endif
