// HTTP client for the operators' address, used by the commands.
#ifndef CROCUSSPUR_OPERATOR_CLIENT_H
#define CROCUSSPUR_OPERATOR_CLIENT_H

#include <string>

namespace crocusspur::internal {

struct OperatorReply {
  int Status = 0; // 0: no response; `Body` then holds the reason
  std::string Body;
};

// Sends one request with the bearer token. Sends GET if `Body` is empty,
// otherwise POST.
OperatorReply callOperator(const std::string &Address, const std::string &Token,
                           const std::string &Path, const std::string &Body);

// Returns the token from the environment variable CROCUSSPUR_OPERATOR_TOKEN, so
// that it doesn't show in the list of processes. Empty if it isn't set.
std::string operatorToken();

} // namespace crocusspur::internal

#endif
