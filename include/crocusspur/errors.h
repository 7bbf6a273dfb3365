// The closed list of error kinds and the table from each kind to the response
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
  KeyLeaseMissing,       // this side holds no valid home lease for the key
  KeyInProgress,         // the same key is being executed now
  KeyReused,             // the key was used with a different request
  OutcomeUnknown,        // an earlier attempt may have run
  BackendRefused,        // the server refused before execution
  BackendUnreachable,    // no connection; nothing was sent
  BackendFailed,         // the connection broke after a byte may have been sent
  BackendTimeout,        // no progress within the timeout
  StaleBase,             // a patch names a base that isn't the active version
  BadPatch,              // a patch doesn't result in a valid document
  PeerProtocol,          // malformed or unauthenticated peer traffic
  Internal,              // a bug; logged with detail
  // The kinds are numbered in messages between instances, so new ones follow.
  ContentRefused, // not run: earlier requests like it crashed backend servers
  StreamNotResumable, // not run: no server may continue the stream
  QuotaExceeded,      // not run: the client account is over its quota
};

inline constexpr size_t ErrorKindCount =
    static_cast<size_t>(ErrorKind::QuotaExceeded) + 1;

// The response to a caller for one error kind.
struct ErrorResponse {
  const char *Name;   // stable identifier in problem documents and logs
  int Status;         // HTTP status
  const char *Title;  // one plain sentence
  ExecutionState Run; // default; a request's state machine may raise it
  bool RetryAdvised;  // whether the response has a Retry-After header
};

// Every kind has an entry.
const ErrorResponse &errorResponse(ErrorKind Kind);

// Returns the kind with this name, or Internal when there is none.
ErrorKind errorKindFromName(const std::string &Name);

// One error in a settings file or configuration document. `Line` is 0 if the
// input format gives no position.
struct Diagnostic {
  std::string File;
  int Line = 0;
  std::string Key;
  std::string Expected;

  std::string str() const;
};

// Error object that parse functions load into LEAF: all errors of one input.
struct DiagnosticList {
  std::vector<Diagnostic> Diagnostics;
};

} // namespace crocusspur

#endif
