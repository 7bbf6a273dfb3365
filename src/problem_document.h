// Problem documents: the body of every error response.
#ifndef CROCUSSPUR_PROBLEM_DOCUMENT_H
#define CROCUSSPUR_PROBLEM_DOCUMENT_H

#include "crocusspur/errors.h"

#include <string>

namespace crocusspur::internal {

inline constexpr const char *ProblemType = "application/problem+json";

struct Problem {
  ErrorKind Kind = ErrorKind::Internal;
  ExecutionState Run = ExecutionState::No;
  Milliseconds RetryAfter{0}; // 0: none
  std::string Detail;
  RequestId Id; // zero: not yet known
};

// Returns a problem with the execution state of the error table and, if the
// table advises a retry, a Retry-After of one second.
Problem makeProblem(ErrorKind Kind, std::string Detail, const RequestId &Id);

std::string formatProblem(const Problem &Item);

// Value of Retry-After: whole seconds, rounded up, at least 1.
uint64_t retryAfterSeconds(Milliseconds RetryAfter);

} // namespace crocusspur::internal

#endif
