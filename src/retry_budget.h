// Limits the retries of one group to a fraction of its first attempts, so that
// a failing server doesn't multiply the load on the others.
#ifndef CROCUSSPUR_RETRY_BUDGET_H
#define CROCUSSPUR_RETRY_BUDGET_H

#include "crocusspur/types.h"

#include <array>
#include <cstdint>

namespace crocusspur::internal {

// Counts over a sliding window of ten seconds, in steps of one second.
class RetryBudget {
public:
  void onFirstAttempt(TimePoint Now);
  // Counts one retry and returns true if it stays within Ratio of the first
  // attempts or within Floor.
  bool takeRetry(TimePoint Now, double Ratio, uint32_t Floor);

  uint32_t firstAttempts(TimePoint Now) const;
  uint32_t retries(TimePoint Now) const;

private:
  struct Slice {
    int64_t Second = -1;
    uint32_t First = 0;
    uint32_t Retries = 0;
  };
  Slice &sliceAt(TimePoint Now);

  std::array<Slice, 10> Slices;
};

} // namespace crocusspur::internal

#endif
