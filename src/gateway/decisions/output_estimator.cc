#include "gateway/decisions/output_estimator.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

using internal::OutputLengths;

constexpr uint32_t Whole = 1000; // shares are learned in thousandths
// Outputs beyond this many times what was expected count as so long.
constexpr uint32_t MostOfExpected = 8 * Whole;
// Until something is learned. The trial in docs/design.md found the fewest
// preemptions without idle memory between 0.45 and 0.6.
constexpr double FirstShare = 0.45;
// Callers' estimates are right at the median and off by a factor of 1.65 at one
// deviation, in the users' site files; this covers three of four outputs.
constexpr double FirstOfExpected = 1.4;
constexpr double EnoughSamples = 20;
// Callers' numbers beyond this are nonsense: no model makes as much.
constexpr uint64_t MostTokens = 1'000'000'000;

// Covering all outputs leaves memory idle; outputs beyond it take what shorter
// ones leave. The fewer requests share a server, the less that evens out: the
// part rises with the spread of their mean, from 0.6 at twelve to 0.74 at
// seven.
constexpr double LeastCovered = 0.18;
constexpr double CoveredSpread = 1.46;
constexpr double MostCovered = 0.95;

// Least share that `Covered` of the outputs keep within, of at most `Most`.
double shareOf(const OutputLengths &Lengths, uint32_t Most, double Covered) {
  constexpr uint32_t Step = Whole / 20;
  uint32_t share = Step;
  while (share < Most && Lengths.endProbability(Most, 0, share) < Covered)
    share += Step;
  return static_cast<double>(share) / Whole;
}

uint32_t thousandths(uint64_t Tokens, uint64_t Of, uint32_t Most) {
  return static_cast<uint32_t>(std::min<uint64_t>(Tokens * Whole / Of, Most));
}

uint64_t partOf(uint64_t Tokens, double Share) {
  return static_cast<uint64_t>(
      Share * static_cast<double>(std::min(Tokens, MostTokens)));
}

} // namespace

void OutputEstimator::addSample(const GenerationSize &Size, uint64_t Tokens) {
  if (Size.MaxOutputTokens > 0)
    OfAllowed.add(thousandths(Tokens, Size.MaxOutputTokens, Whole));
  if (Size.ExpectedOutputTokens > 0)
    OfExpected.add(
        thousandths(Tokens, Size.ExpectedOutputTokens, MostOfExpected));
}

uint64_t OutputEstimator::tokensToReserve(const GenerationSize &Size,
                                          double Covered) const {
  if (Size.ExpectedOutputTokens > 0) {
    double times = OfExpected.samples() < EnoughSamples
                       ? FirstOfExpected
                       : shareOf(OfExpected, MostOfExpected, Covered);
    return std::min(Size.MaxOutputTokens,
                    partOf(Size.ExpectedOutputTokens, times));
  }
  double share = OfAllowed.samples() < EnoughSamples
                     ? FirstShare
                     : shareOf(OfAllowed, Whole, Covered);
  return partOf(Size.MaxOutputTokens, share);
}

double reservationCoverage(uint64_t RequestTokens, uint64_t Capacity) {
  double requests = static_cast<double>(Capacity) /
                    static_cast<double>(std::max<uint64_t>(RequestTokens, 1));
  return std::min(MostCovered,
                  LeastCovered + CoveredSpread / std::sqrt(requests));
}

} // namespace crocusspur::gateway
