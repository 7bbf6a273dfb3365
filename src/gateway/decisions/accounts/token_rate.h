// Exponentially weighted rate of an amount, such as tokens, over recent time.
// Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_TOKEN_RATE_H
#define CROCUSSPUR_GATEWAY_TOKEN_RATE_H

#include "crocusspur/types.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {

class TokenRate {
public:
  // `Memory`: after this time an amount weighs 1/e of what it did.
  explicit TokenRate(Milliseconds Memory)
      : MemorySeconds(std::chrono::duration<double>(Memory).count()) {}

  void add(double Amount, TimePoint Now) {
    if (FirstAt == TimePoint())
      FirstAt = Now;
    Sum = decayed(Now) + Amount;
    At = Now;
  }
  // Soon after the first amount the rate is that of the time since then, which
  // counts as a second at least.
  double perSecond(TimePoint Now) const {
    double known =
        std::max(1.0, std::chrono::duration<double>(Now - FirstAt).count());
    return decayed(Now) /
           (MemorySeconds * (1 - std::exp(-known / MemorySeconds)));
  }

private:
  double decayed(TimePoint Now) const {
    double passed = std::chrono::duration<double>(Now - At).count();
    return passed > 0 ? Sum * std::exp(-passed / MemorySeconds) : Sum;
  }

  double MemorySeconds;
  double Sum = 0;
  TimePoint FirstAt;
  TimePoint At;
};

} // namespace crocusspur::gateway

#endif
