// Intervals between the attempts of a request to reserve decode memory, by its
// rank and the time until it would be late. Does no I/O; callers pass the time.
//
// Intended for 60 to 400 instances whose requests compete for the memory that
// becomes free, while the demand is about twice the capacity for some seconds.
// Each instance has about one request waiting, so an order within it decides
// nothing, and messages between instances arrive after such a burst. Whichever
// request asks next finds the memory, so the rate of attempts sets the shares.
#ifndef CROCUSSPUR_GATEWAY_ATTEMPT_INTERVAL_H
#define CROCUSSPUR_GATEWAY_ATTEMPT_INTERVAL_H

#include "crocusspur/types.h"

#include <cstdint>
#include <optional>

namespace crocusspur::gateway {

// Where the rank of a request is among the ranks of its service.
struct RankPosition {
  uint32_t Above = 0; // ranks that are more urgent
  uint32_t Below = 0; // ranks that are less urgent
  // Steps by which the interval between attempts grows; nothing: `Above`. Few
  // steps fit between the shortest and the longest interval, so where accounts
  // have ranks, the kinds of request of each rank share them.
  std::optional<uint32_t> IntervalSteps{};

  uint32_t intervalSteps() const { return IntervalSteps.value_or(Above); }

  // Whether requests of the service have different ranks.
  bool differs() const { return Above + Below > 0; }
  bool operator==(const RankPosition &) const = default;
};

// Returns the time from the end of a refused attempt to the next. It grows with
// each more urgent rank and shrinks as `OnTimeDeadline` comes near, so that a
// request of the lowest rank asks several times too. With one rank, it is the
// same for all requests that can still be on time.
Milliseconds attemptInterval(const RankPosition &Rank, TimePoint OnTimeDeadline,
                             TimePoint Now);

// Returns the delay of the first attempt of a new request while requests of
// this instance are refused by full servers: an interval if there are more
// urgent ranks, otherwise none.
Milliseconds firstAttemptDelay(const RankPosition &Rank,
                               TimePoint OnTimeDeadline, TimePoint Now);

} // namespace crocusspur::gateway

#endif
