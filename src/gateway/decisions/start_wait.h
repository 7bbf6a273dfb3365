// Decides how long a request waits that arrives before this instance knows
// routes and servers. Does no I/O; callers pass the time.
//
// Answers the load after all instances were killed at once: callers return
// within a second, while an instance gets the documents half a second after its
// start. A request that waits for them can still be on time; a rejected one
// comes back late, if at all.
#ifndef CROCUSSPUR_GATEWAY_START_WAIT_H
#define CROCUSSPUR_GATEWAY_START_WAIT_H

#include "crocusspur/types.h"

#include <cstddef>
#include <optional>

namespace crocusspur::gateway {

class StartWait {
public:
  // `Started`: when this process was ready to accept connections.
  explicit StartWait(TimePoint Started) : Started(Started) {}

  // Returns until when the request waits; nothing: it is to be rejected at
  // once. A request that waits counts until leave() is called. `TimeLeft`: of
  // the caller, if it states one.
  std::optional<TimePoint> join(std::optional<Milliseconds> TimeLeft,
                                TimePoint Now);
  void leave() { --Waiting; }

  size_t waiting() const { return Waiting; }

private:
  TimePoint Started;
  size_t Waiting = 0;
};

} // namespace crocusspur::gateway

#endif
