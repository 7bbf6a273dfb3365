// Mean time of a call, for benchmarks of small functions.
#ifndef CROCUSSPUR_BENCH_TIMING_H
#define CROCUSSPUR_BENCH_TIMING_H

#include "crocusspur/types.h"

#include <chrono>
#include <functional>

namespace crocusspur::bench {

// Calls the function for 0.3 s and returns its mean time in nanoseconds.
inline double nanosecondsOf(const std::function<void()> &Call) {
  using Clock = std::chrono::steady_clock;
  constexpr Milliseconds MeasuringTime{300};
  uint64_t n = 0;
  TimePoint start = Clock::now();
  while (Clock::now() - start < MeasuringTime)
    for (int i = 0; i < 8; ++i, ++n)
      Call();
  std::chrono::duration<double, std::nano> taken = Clock::now() - start;
  return taken.count() / static_cast<double>(n);
}

} // namespace crocusspur::bench

#endif
