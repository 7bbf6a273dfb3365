// Paces the calls to one server at a rate: a schedule with one slot for each
// call, of which unused ones are kept for a short time. Does no I/O; callers
// pass the time.
//
// Answers demand far above a small limit: each call gets its time at once or is
// denied at once, so that none waits in vain.
#ifndef CROCUSSPUR_GATEWAY_REQUEST_PACER_H
#define CROCUSSPUR_GATEWAY_REQUEST_PACER_H

#include "crocusspur/types.h"

#include <cstdint>

namespace crocusspur::gateway {

struct PaceDecision {
  bool Granted = false;
  // Granted: the calls may be sent after this time. Denied: the time after
  // which the first one could be.
  Milliseconds Delay{0};
};

class RequestPacer {
public:
  // Uses half of the rate for `CautionTime`, since another pacer may still be
  // active for the same server.
  RequestPacer(TimePoint Now, Milliseconds CautionTime)
      : Next(Now), CautiousUntil(Now + CautionTime) {}

  // Asks for a number of calls that are sent together, at most `MaxDelay` from
  // now.
  PaceDecision request(double PerSecond, uint32_t Calls, Milliseconds MaxDelay,
                       TimePoint Now);
  // Counts calls that were sent without a request. Negative: calls that were
  // granted and not sent.
  void charge(double PerSecond, int32_t Calls, TimePoint Now);

private:
  using Interval = std::chrono::nanoseconds;

  Interval intervalAt(double PerSecond, TimePoint Now);
  TimePoint firstSlot(TimePoint Now) const;

  TimePoint Next; // slot of the next call
  TimePoint CautiousUntil;
  Interval LastInterval{0};
};

} // namespace crocusspur::gateway

#endif
