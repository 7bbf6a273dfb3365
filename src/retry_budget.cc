#include "retry_budget.h"

#include <algorithm>

namespace crocusspur::internal {
namespace {

int64_t secondOf(TimePoint Now) {
  return std::chrono::floor<std::chrono::seconds>(Now.time_since_epoch())
      .count();
}

} // namespace

RetryBudget::Slice &RetryBudget::sliceAt(TimePoint Now) {
  int64_t second = secondOf(Now);
  Slice &slice = Slices[static_cast<size_t>(second) % Slices.size()];
  if (slice.Second != second)
    slice = {second, 0, 0};
  return slice;
}

void RetryBudget::onFirstAttempt(TimePoint Now) { ++sliceAt(Now).First; }

bool RetryBudget::takeRetry(TimePoint Now, double Ratio, uint32_t Floor) {
  double limit = std::max<double>(Floor, Ratio * firstAttempts(Now));
  if (retries(Now) + 1 > limit)
    return false;
  ++sliceAt(Now).Retries;
  return true;
}

uint32_t RetryBudget::firstAttempts(TimePoint Now) const {
  int64_t oldest = secondOf(Now) - static_cast<int64_t>(Slices.size()) + 1;
  uint32_t n = 0;
  for (const Slice &it : Slices)
    n += it.Second >= oldest ? it.First : 0;
  return n;
}

uint32_t RetryBudget::retries(TimePoint Now) const {
  int64_t oldest = secondOf(Now) - static_cast<int64_t>(Slices.size()) + 1;
  uint32_t n = 0;
  for (const Slice &it : Slices)
    n += it.Second >= oldest ? it.Retries : 0;
  return n;
}

} // namespace crocusspur::internal
