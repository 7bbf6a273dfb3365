// The closed list of error kinds and the table from each kind to the answer
// that a caller gets. Every failure that reaches a caller, an operator or a log
// line is one of these kinds.
#ifndef CROCUSSPUR_ERRORS_H
#define CROCUSSPUR_ERRORS_H

#include "crocusspur/types.h"

#include <string>
#include <vector>

namespace crocusspur {

enum class ErrorKind : uint8_t {
  BadRequest,            // malformed request; nothing was sent anywhere
  Unauthorized,          // missing or unknown bearer token
  Forbidden,             // the group may not use this target or instance
  NotFound,              // unknown path, model or service
  BodyTooLarge,          // body over the configured limit
  HeaderTooLarge,        // header over the configured limit
  CallerTimeout,         // the caller sent its request too slowly
  Overloaded,            // a bounded queue or ring is full
  DeadlineUnreachable,   // admission found that the deadline can't be met
  GroupQueueFull,        // the group's bounded queue is full
  NoServer,              // no usable backend server for the target
  ShuttingDown,          // this instance is draining
  NotReady,              // no configuration or instance list yet
  ResidencyViolation,    // the instance is outside the group's domains
  RequestCrashesServers, // refused: the request crashed two backend servers
  HomeUnreachable,       // the home instance of the key can't be reached
  KeyLeaseMissing,       // no valid home lease for the key on this side
  KeyInProgress,         // the same key is being executed now
  KeyReused,             // the same key came with a different request
  OutcomeUnknown,        // an earlier attempt may have run
  BackendRefused,        // the server refused before execution
  BackendUnreachable,    // no connection; nothing was sent
  BackendFailed,         // the connection broke after a byte may have left
  BackendTimeout,        // no progress within the timeout
  StaleBase,             // a patch names a base that is not in force
  BadPatch,              // a patch doesn't give a valid document
  PeerProtocol,          // malformed or unauthenticated peer traffic
  Internal,              // a bug; logged with detail
};

inline constexpr size_t ErrorKindCount =
    static_cast<size_t>(ErrorKind::Internal) + 1;

// The answer to a caller for one kind.
struct ErrorResponse {
  const char *Name;   // stable identifier, used in problem documents and logs
  int Status;         // HTTP status
  const char *Title;  // one plain sentence
  ExecutionState Run; // default; a request's state machine may raise it
  bool RetryAdvised;  // whether Retry-After accompanies the answer
};

// Total: every kind has an entry.
const ErrorResponse &errorResponse(ErrorKind Kind);

// Returns the kind with this name, or Internal when there is none.
ErrorKind errorKindFromName(const std::string &Name);

// One mistake in a settings file or configuration document. `Line` is 0 when
// the input format gives no position.
struct Diagnostic {
  std::string File;
  int Line = 0;
  std::string Key;
  std::string Expected;

  std::string str() const;
};

// Error object that parse functions load into LEAF: all mistakes of an input.
struct DiagnosticList {
  std::vector<Diagnostic> Diagnostics;
};

} // namespace crocusspur

#endif
