#include "process_setup.h"

#include <csignal>
#include <pthread.h>
#include <random>

namespace crocusspur::internal {

void blockSignals(std::initializer_list<int> Signals) {
  sigset_t set;
  sigemptyset(&set);
  for (int it : Signals)
    sigaddset(&set, it);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

uint64_t randomIncarnation() {
  std::random_device device;
  uint64_t value = 0;
  while (value == 0)
    value = (static_cast<uint64_t>(device()) << 32) | device();
  return value;
}

} // namespace crocusspur::internal
