// Times in seconds, and constants that the parts of a shard's scheduler share.
#ifndef CROCUSSPUR_SHARD_TIME_H
#define CROCUSSPUR_SHARD_TIME_H

#include "crocusspur/types.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

using Seconds = std::chrono::duration<double>;

// Part of the eviction time that the start rule counts on. The rest covers the
// way of the grant and errors of the estimates.
inline constexpr double EvictionFraction = 0.9;

// Waits longer than this are all reported as this.
inline constexpr double MaxWaitSeconds = 120;

// Policies without reservation learn of a full server only from its refusal.
// They try another server at once and then again after each period, which
// bounds the messages at overload.
inline constexpr uint32_t MaxUnreservedAttempts = 2;
inline constexpr Milliseconds UnreservedRetryInterval{250};

inline double seconds(TimePoint From, TimePoint To) {
  return Seconds(To - From).count();
}

inline TimePoint after(TimePoint From, double Amount) {
  return From + std::chrono::duration_cast<TimePoint::duration>(
                    Seconds(std::min(Amount, 1e6)));
}

inline Milliseconds milliseconds(double Amount) {
  return Milliseconds(
      static_cast<int64_t>(std::ceil(std::min(Amount, MaxWaitSeconds) * 1000)));
}

} // namespace crocusspur::internal

#endif
