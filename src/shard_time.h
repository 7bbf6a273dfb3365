// Conversions of times in seconds, and constants shared by the source files of
// ShardScheduler.
#ifndef CROCUSSPUR_SHARD_TIME_H
#define CROCUSSPUR_SHARD_TIME_H

#include "crocusspur/types.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::internal {

using Seconds = std::chrono::duration<double>;

// Fraction of the eviction time that the start rule relies on. The rest covers
// the delivery of the grant and errors of the estimates.
inline constexpr double EvictionFraction = 0.9;

// Longer estimated waits are capped at this.
inline constexpr double MaxWaitSeconds = 120;

// Policies without reservation detect a full server only by its refusal. They
// make this many attempts at once and again after each period, which bounds the
// number of messages at overload.
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
