// Decides which requests an instance still takes after SIGTERM, when it closes
// its idle connections and when it exits. Does no I/O; callers pass the time.
//
// Intended for callers that send on open connections until the instance is
// gone: a request that is taken late must still be answered before the exit.
#ifndef CROCUSSPUR_GATEWAY_SHUTDOWN_SCHEDULE_H
#define CROCUSSPUR_GATEWAY_SHUTDOWN_SCHEDULE_H

#include "crocusspur/types.h"

namespace crocusspur::gateway {

struct ShutdownSchedule {
  TimePoint StartedAt;   // when SIGTERM arrived
  Milliseconds Limit{0}; // from SIGTERM to SIGKILL

  // When an instance with open requests stops taking new ones and closes its
  // idle connections.
  TimePoint closesAt() const;
  // When the process exits although requests are open.
  TimePoint exitsAt() const;
  // Whether a request is taken that ends at `RequestDeadline` or earlier. Soon
  // after SIGTERM, requests are taken that may last longer than the process,
  // since most of them end long before their deadline.
  bool accepts(TimePoint RequestDeadline, TimePoint Now) const;
  // Whether an instance without open requests closes. It serves new connections
  // until the load balancer has noticed that it isn't ready.
  bool mayCloseIdle(TimePoint Now) const;
  // Whether the process exits, having closed its idle connections at
  // `ClosedAt`.
  bool mayExit(bool HasOpenRequests, TimePoint ClosedAt, TimePoint Now) const;
};

} // namespace crocusspur::gateway

#endif
