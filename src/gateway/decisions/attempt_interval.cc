#include "gateway/decisions/attempt_interval.h"

#include <algorithm>

namespace crocusspur::gateway {
namespace {

// Where all requests of a service have one rank. At full load decode servers
// free memory about every 100 ms; a shorter interval costs more calls than it
// gains.
constexpr Milliseconds UniformInterval{40};
// Factor on the interval for requests that are already late, so that requests
// that can still be on time find memory first at all instances.
constexpr int LateIntervalFactor = 4;
// Interval of the most urgent of several ranks. The calls of one attempt take
// about as long.
constexpr Milliseconds UrgentInterval{20};
// Factor for each more urgent rank. In replays of a burst, factors up to 5 left
// a rank with a long target as large a share as the rank above it.
constexpr int RankFactor = 8;
constexpr Milliseconds MaxInterval{1000};
// Part of the time until a request would be late that an interval may take.
// With a half, a rank with a long target got a larger share than the rank above
// it; with all of it, requests of the lowest rank asked only once or twice.
constexpr int AgeingNumerator = 5;
constexpr int AgeingDenominator = 6;
// A late request of any rank asks several times before it leaves.
constexpr Milliseconds MaxLateInterval{640};

} // namespace

Milliseconds attemptInterval(const RankPosition &Rank, TimePoint OnTimeDeadline,
                             TimePoint Now) {
  bool late = Now > OnTimeDeadline;
  if (!Rank.differs())
    return UniformInterval * (late ? LateIntervalFactor : 1);
  Milliseconds interval = UrgentInterval;
  for (uint32_t n = 0; n < Rank.intervalSteps() && interval < MaxInterval; ++n)
    interval *= RankFactor;
  if (late)
    return std::min(std::max(interval, UniformInterval) * LateIntervalFactor,
                    MaxLateInterval);
  auto left = std::chrono::duration_cast<Milliseconds>(OnTimeDeadline - Now);
  return std::clamp(left * AgeingNumerator / AgeingDenominator, UrgentInterval,
                    std::min(interval, MaxInterval));
}

Milliseconds firstAttemptDelay(const RankPosition &Rank,
                               TimePoint OnTimeDeadline, TimePoint Now) {
  return Rank.intervalSteps() == 0 ? Milliseconds(0)
                                   : attemptInterval(Rank, OnTimeDeadline, Now);
}

} // namespace crocusspur::gateway
