// Reports a request when its relay ends, as one log line and in the histograms.
// Contains no prompt, response, token or idempotency key.
#ifndef CROCUSSPUR_REQUEST_LOG_H
#define CROCUSSPUR_REQUEST_LOG_H

#include "crocusspur/errors.h"
#include "runtime.h"

#include <optional>
#include <string>

namespace crocusspur::internal {

struct RequestSummary {
  RequestId Id;
  std::string Group;
  std::string Target;      // model or service
  std::string ForwardedBy; // instance; empty: a caller of this instance
  std::string Server;      // last backend server
  std::string Home;        // instance that it was forwarded to
  const char *Outcome = "completed"; // or an error kind, "repeated", ...
  ExecutionState Run = ExecutionState::Yes;
  uint32_t Attempt = 0; // last one; 0: no backend server was tried
  uint64_t Tokens = 0;
  uint64_t ConfigVersion = 0; // at the end

  TimePoint ArrivedAt;
  std::optional<TimePoint> PrefillAt;     // start of the first prefill
  std::optional<TimePoint> FirstOutputAt; // first byte of the content
  std::optional<TimePoint> FirstTokenAt;
  std::optional<TimePoint> LastTokenAt;
  TimePoint EndedAt;
};

// Writes the line at level info. `Metrics` may be null. A request that another
// instance forwarded is observed only by that instance.
void reportFinished(const RequestSummary &Item, MetricsSink *Metrics);

} // namespace crocusspur::internal

#endif
