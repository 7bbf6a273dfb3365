#include "load_trace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace crocusspur::bench {
namespace {

// The standard distributions differ between libraries, unlike the random
// engine, so uniform and exponential values are computed here.
double uniform(std::mt19937_64 &Random) {
  return (static_cast<double>(Random() >> 11) + 0.5) * 0x1p-53;
}

double exponential(std::mt19937_64 &Random, double Mean) {
  return -Mean * std::log(uniform(Random));
}

std::string prefixText(uint32_t Number, uint32_t Bytes) {
  std::string text;
  std::string word = "manifest-" + std::to_string(Number) + " ";
  while (text.size() < Bytes)
    text += word;
  text.resize(Bytes);
  return text;
}

PlannedRequest plan(const TrafficSource &Source, std::mt19937_64 &Random) {
  PlannedRequest request;
  request.Group = Source.Group;
  uint32_t spread = Source.PromptTokensHigh - Source.PromptTokensLow + 1;
  request.PromptTokens =
      Source.PromptTokensLow + static_cast<uint32_t>(uniform(Random) * spread);
  request.MaxTokens = static_cast<uint32_t>(4 * Source.MeanOutputTokens);
  request.OutputTokens = std::clamp(
      static_cast<uint32_t>(exponential(Random, Source.MeanOutputTokens)), 1U,
      request.MaxTokens);
  if (Source.SharedPrefixes > 0) {
    auto number =
        static_cast<uint32_t>(uniform(Random) * Source.SharedPrefixes);
    request.Prompt = prefixText(number, Source.PrefixBytes);
  }
  return request;
}

} // namespace

std::vector<PlannedRequest>
makeTrace(const std::vector<TrafficSource> &TrafficSources, uint64_t Seed) {
  std::vector<PlannedRequest> trace;
  for (size_t i = 0; i < TrafficSources.size(); ++i) {
    const TrafficSource &source = TrafficSources[i];
    std::mt19937_64 random(Seed * 1000003 + i);
    double mean = 1e6 / source.RequestsPerSecond;
    double at = static_cast<double>(source.From.count());
    auto end = static_cast<double>(source.Until.count());
    while ((at += exponential(random, mean)) < end) {
      trace.push_back(plan(source, random));
      trace.back().At = Microseconds(static_cast<int64_t>(at));
    }
  }
  std::stable_sort(trace.begin(), trace.end(),
                   [](const auto &A, const auto &B) { return A.At < B.At; });
  for (size_t i = 0; i < trace.size(); ++i)
    trace[i].Prompt += "[[output:" + std::to_string(trace[i].OutputTokens) +
                       "]] request " + std::to_string(i);
  return trace;
}

} // namespace crocusspur::bench
