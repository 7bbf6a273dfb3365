// Interface through which the listener for callers runs relays.
#ifndef CROCUSSPUR_RELAY_H
#define CROCUSSPUR_RELAY_H

#include "caller_request.h"
#include "response_sink.h"

namespace crocusspur::internal {

// Provided by `relay`. Thread-safe.
class RelayRunner {
public:
  virtual ~RelayRunner() = default;
  // Executes the request on the calling thread. Returns when the response has
  // been written or the caller has disconnected.
  virtual void run(CallerRequest Request, ResponseSink &Sink) = 0;
};

} // namespace crocusspur::internal

#endif
