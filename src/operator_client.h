// Client of the operators' address, for the command line.
#ifndef CROCUSSPUR_OPERATOR_CLIENT_H
#define CROCUSSPUR_OPERATOR_CLIENT_H

#include <string>

namespace crocusspur::internal {

struct OperatorReply {
  int Status = 0; // 0: no answer; `Body` then says why
  std::string Body;
};

// Sends one request with the bearer token. `Body` empty: GET, else POST.
OperatorReply callOperator(const std::string &Address, const std::string &Token,
                           const std::string &Path, const std::string &Body);

// Returns the token from the environment variable CROCUSSPUR_OPERATOR_TOKEN, so
// that it doesn't show in the list of processes. Empty if it isn't set.
std::string operatorToken();

} // namespace crocusspur::internal

#endif
