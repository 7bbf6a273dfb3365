#include "gateway/decisions/prefill_rate_estimator.h"

#include <algorithm>
#include <functional>

namespace crocusspur::gateway {
namespace {

// The time for a shorter prompt is mostly call overhead.
constexpr uint64_t MinTokens = 3000;
// Fraction of the calls that may be faster than the estimate. It exceeds the
// usual fraction of cached prompts and is small enough that queued calls don't
// count.
constexpr double FasterFraction = 0.1;

} // namespace

void PrefillRateEstimator::add(uint64_t Tokens, Milliseconds Duration) {
  if (Tokens < MinTokens)
    return;
  Latest[Count % Latest.size()] =
      1000.0 * static_cast<double>(Tokens) /
      static_cast<double>(std::max<int64_t>(Duration.count(), 1));
  ++Count;
}

double PrefillRateEstimator::value() const {
  size_t n = std::min(Count, Latest.size());
  if (n == 0)
    return 0;
  std::vector<double> sorted(Latest.begin(),
                             Latest.begin() + static_cast<std::ptrdiff_t>(n));
  auto faster = static_cast<size_t>(FasterFraction * static_cast<double>(n));
  auto it = sorted.begin() + static_cast<std::ptrdiff_t>(faster);
  std::nth_element(sorted.begin(), it, sorted.end(), std::greater<>());
  return *it;
}

double medianPrefillRate(std::vector<double> Rates) {
  std::erase(Rates, 0.0);
  if (Rates.empty())
    return 0;
  auto middle = Rates.begin() + static_cast<std::ptrdiff_t>(Rates.size() / 2);
  std::nth_element(Rates.begin(), middle, Rates.end());
  return *middle;
}

} // namespace crocusspur::gateway
