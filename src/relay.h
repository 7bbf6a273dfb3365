// Entrance for the callers' front to the relays.
#ifndef CROCUSSPUR_RELAY_H
#define CROCUSSPUR_RELAY_H

#include "caller_request.h"
#include "response_sink.h"

namespace crocusspur::internal {

// Provided by `relay`. Thread-safe.
class RelayRunner {
public:
  virtual ~RelayRunner() = default;
  // Carries the request out on the calling thread: returns when the answer has
  // been written or the caller has left.
  virtual void run(CallerRequest Request, ResponseSink &Sink) = 0;
};

} // namespace crocusspur::internal

#endif
