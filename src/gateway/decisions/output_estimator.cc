#include "gateway/decisions/output_estimator.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

using internal::OutputLengths;

// Size of a typical request, prompt and output, to which reservation coverage
// is matched, so that longer ones aren't treated worse.
constexpr uint64_t TypicalRequestTokens = 5600;
constexpr uint32_t RatioScale = 1000; // ratios are stored in thousandths
// Larger ratios of output to expected output are clamped to this one.
constexpr uint32_t MaxRatioToExpected = 8 * RatioScale;
// Used until enough outputs are known. Values of 0.45 to 0.6 give the fewest
// preemptions without idle memory; see docs/design.md.
constexpr double InitialRatioToAllowed = 0.45;
// Covers three of four outputs: in the users' site files, callers' estimates
// are right at the median and off by a factor of 1.65 at one standard
// deviation.
constexpr double InitialRatioToExpected = 1.4;
constexpr double MinSamples = 20;
// Larger values from callers are implausible: no model generates as many
// tokens.
constexpr uint64_t MaxTokens = 1'000'000'000;

// Covering all outputs would leave memory idle; longer outputs use what shorter
// ones leave. This evens out less with fewer requests per server, so the
// coverage rises with the spread of their mean, from 0.6 with twelve requests
// to 0.74 with seven.
constexpr double BaseCoverage = 0.18;
constexpr double CoverageSpread = 1.46;
constexpr double MaxCoverage = 0.95;

// Smallest ratio, at most `Max`, that `Coverage` of the outputs don't exceed.
double coveringRatio(const OutputLengths &Lengths, uint32_t Max,
                     double Coverage) {
  constexpr uint32_t Step = RatioScale / 20;
  uint32_t ratio = Step;
  while (ratio < Max && Lengths.endProbability(Max, 0, ratio) < Coverage)
    ratio += Step;
  return static_cast<double>(ratio) / RatioScale;
}

uint32_t scaledRatio(uint64_t Tokens, uint64_t Of, uint32_t Max) {
  return static_cast<uint32_t>(
      std::min<uint64_t>(Tokens * RatioScale / Of, Max));
}

uint64_t scaleTokens(uint64_t Tokens, double Ratio) {
  return static_cast<uint64_t>(
      Ratio * static_cast<double>(std::min(Tokens, MaxTokens)));
}

} // namespace

void OutputEstimator::addSample(const GenerationSize &Size, uint64_t Tokens) {
  if (Size.MaxOutputTokens > 0)
    RatiosToAllowed.add(scaledRatio(Tokens, Size.MaxOutputTokens, RatioScale));
  if (Size.ExpectedOutputTokens > 0)
    RatiosToExpected.add(
        scaledRatio(Tokens, Size.ExpectedOutputTokens, MaxRatioToExpected));
}

uint64_t OutputEstimator::tokensToReserve(const GenerationSize &Size,
                                          double Coverage) const {
  if (Size.ExpectedOutputTokens > 0) {
    double ratio =
        RatiosToExpected.samples() < MinSamples
            ? InitialRatioToExpected
            : coveringRatio(RatiosToExpected, MaxRatioToExpected, Coverage);
    return std::min(Size.MaxOutputTokens,
                    scaleTokens(Size.ExpectedOutputTokens, ratio));
  }
  double ratio = RatiosToAllowed.samples() < MinSamples
                     ? InitialRatioToAllowed
                     : coveringRatio(RatiosToAllowed, RatioScale, Coverage);
  return scaleTokens(Size.MaxOutputTokens, ratio);
}

uint64_t tokensToReserve(const OutputEstimator &Outputs,
                         const GenerationSize &Size, uint64_t Capacity) {
  double coverage = reservationCoverage(TypicalRequestTokens, Capacity);
  return std::min(Capacity,
                  Size.PromptTokens + Outputs.tokensToReserve(Size, coverage));
}

double reservationCoverage(uint64_t RequestTokens, uint64_t Capacity) {
  double requests = static_cast<double>(Capacity) /
                    static_cast<double>(std::max<uint64_t>(RequestTokens, 1));
  return std::min(MaxCoverage,
                  BaseCoverage + CoverageSpread / std::sqrt(requests));
}

} // namespace crocusspur::gateway
