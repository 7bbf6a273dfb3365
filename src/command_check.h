// The command `check`: reports all errors in a settings file or a published
// configuration.
#ifndef CROCUSSPUR_COMMAND_CHECK_H
#define CROCUSSPUR_COMMAND_CHECK_H

#include <string>

namespace crocusspur::internal {

// Prints "FILE: ok" to standard output and returns 0, or prints every error to
// standard error and returns 2. `AdapterName` is the gateway adapter whose
// format the file has; empty: the file holds settings for serve.
int runCheck(const std::string &File, const std::string &AdapterName = "");

// The same for a file that holds a configuration as the operators publish it
// for the gateway.
int runCheckPublished(const std::string &File, const std::string &AdapterName);

} // namespace crocusspur::internal

#endif
