// The command `check`: reads a settings file and reports what is wrong with it.
#ifndef CROCUSSPUR_COMMAND_CHECK_H
#define CROCUSSPUR_COMMAND_CHECK_H

#include <string>

namespace crocusspur::internal {

// Prints "FILE: ok" on standard output and returns 0, or prints every mistake
// on standard error and returns 2. `AdapterName` names the gateway's adapter
// whose format the file has; empty: the file is one for serve.
int runCheck(const std::string &File, const std::string &AdapterName = "");

} // namespace crocusspur::internal

#endif
