// The command `version`.
#ifndef CROCUSSPUR_COMMAND_VERSION_H
#define CROCUSSPUR_COMMAND_VERSION_H

namespace crocusspur::internal {

// Prints "crocusspur VERSION" on standard output and returns 0.
int runVersion();

} // namespace crocusspur::internal

#endif
