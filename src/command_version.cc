#include "command_version.h"

#include <iostream>

namespace crocusspur::internal {

int runVersion() {
  std::cout << "crocusspur " << CROCUSSPUR_VERSION << '\n';
  return 0;
}

} // namespace crocusspur::internal
