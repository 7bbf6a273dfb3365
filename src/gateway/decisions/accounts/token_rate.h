// Exponentially weighted rate of an amount, such as tokens, over recent time.
// Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_TOKEN_RATE_H
#define CROCUSSPUR_GATEWAY_TOKEN_RATE_H

#include "crocusspur/types.h"

#include <cmath>

namespace crocusspur::gateway {

class TokenRate {
public:
  // `Memory`: after this time an amount weighs 1/e of what it did.
  explicit TokenRate(Milliseconds Memory)
      : MemorySeconds(std::chrono::duration<double>(Memory).count()) {}

  void add(double Amount, TimePoint Now) {
    Sum = decayed(Now) + Amount;
    At = Now;
  }
  double perSecond(TimePoint Now) const { return decayed(Now) / MemorySeconds; }

private:
  double decayed(TimePoint Now) const {
    double passed = std::chrono::duration<double>(Now - At).count();
    return passed > 0 ? Sum * std::exp(-passed / MemorySeconds) : Sum;
  }

  double MemorySeconds;
  double Sum = 0;
  TimePoint At;
};

} // namespace crocusspur::gateway

#endif
