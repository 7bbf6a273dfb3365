#include "crocusspur/errors.h"

#include <array>

namespace crocusspur {
namespace {

constexpr std::array<ErrorResponse, ErrorKindCount> Responses{{
    {"bad_request", 400, "The request is malformed.", ExecutionState::No,
     false},
    {"unauthorized", 401, "The bearer token is missing or unknown.",
     ExecutionState::No, false},
    {"forbidden", 403, "The group may not use this target.", ExecutionState::No,
     false},
    {"not_found", 404, "The path, model or service does not exist.",
     ExecutionState::No, false},
    {"body_too_large", 413, "The body exceeds the limit.", ExecutionState::No,
     false},
    {"header_too_large", 431, "The header exceeds the limit.",
     ExecutionState::No, false},
    {"caller_timeout", 408, "The request was not received in time.",
     ExecutionState::No, false},
    {"overloaded", 503, "The router is overloaded.", ExecutionState::No, true},
    {"deadline_unreachable", 503,
     "The request can't be served before its deadline.", ExecutionState::No,
     true},
    {"group_queue_full", 429, "The group's queue is full.", ExecutionState::No,
     true},
    {"no_server", 503, "No backend server can take the request.",
     ExecutionState::No, true},
    {"shutting_down", 503, "This instance is shutting down.",
     ExecutionState::No, true},
    {"not_ready", 503, "This instance has no configuration yet.",
     ExecutionState::No, true},
    {"residency_violation", 403,
     "This instance is outside the group's regions or failure domains.",
     ExecutionState::No, false},
    {"request_crashes_servers", 422,
     "The request crashed backend servers and is refused.",
     ExecutionState::Unknown, false},
    {"home_unreachable", 503,
     "The instance responsible for the idempotency key can't be reached.",
     ExecutionState::No, true},
    {"key_lease_missing", 503,
     "This side can't confirm responsibility for the idempotency key.",
     ExecutionState::No, true},
    {"key_in_progress", 409,
     "A request with this idempotency key is being executed.",
     ExecutionState::Yes, true},
    {"key_reused", 422,
     "The idempotency key was used with a different request.",
     ExecutionState::No, false},
    {"outcome_unknown", 409,
     "An earlier attempt with this idempotency key may have run.",
     ExecutionState::Unknown, false},
    {"backend_refused", 503, "The backend server refused the request.",
     ExecutionState::No, true},
    {"backend_unreachable", 503, "No backend server could be reached.",
     ExecutionState::No, true},
    {"backend_failed", 502,
     "The connection to the backend server broke after the request was sent.",
     ExecutionState::Unknown, false},
    {"backend_timeout", 504, "The backend server made no progress in time.",
     ExecutionState::Unknown, false},
    {"stale_base", 409, "The patch was written against an older version.",
     ExecutionState::No, false},
    {"bad_patch", 422, "The patch doesn't give a valid configuration.",
     ExecutionState::No, false},
    {"peer_protocol", 502, "A peer sent a malformed or unauthenticated frame.",
     ExecutionState::Unknown, false},
    {"internal", 500, "Internal error.", ExecutionState::Unknown, false},
    {"content_refused", 503,
     "Requests like this one crashed backend servers and are refused.",
     ExecutionState::No, true},
    {"stream_not_resumable", 503,
     "No backend server is known that may continue this stream.",
     ExecutionState::No, true},
    {"quota_exceeded", 429, "The client account is over its quota.",
     ExecutionState::No, true},
}};

} // namespace

const ErrorResponse &errorResponse(ErrorKind Kind) {
  return Responses[static_cast<size_t>(Kind)];
}

ErrorKind errorKindFromName(const std::string &Name) {
  for (size_t i = 0; i < Responses.size(); ++i)
    if (Name == Responses[i].Name)
      return static_cast<ErrorKind>(i);
  return ErrorKind::Internal;
}

std::string Diagnostic::str() const {
  std::string text = File;
  if (Line > 0)
    text += ":" + std::to_string(Line);
  return text + ": " + Key + ": expected " + Expected;
}

} // namespace crocusspur
