// The command `check`: reads a settings file and reports what is wrong with it.
#ifndef CROCUSSPUR_COMMAND_CHECK_H
#define CROCUSSPUR_COMMAND_CHECK_H

#include <string>

namespace crocusspur::internal {

// Prints "FILE: ok" on standard output and returns 0, or prints every mistake
// on standard error and returns 2.
int runCheck(const std::string &File);

} // namespace crocusspur::internal

#endif
