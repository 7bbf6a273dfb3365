#include "gateway/waiting_answers.h"

#include <algorithm>

namespace crocusspur::gateway {

bool WaitingAnswers::tryAdd(const std::string &Service, size_t Bytes,
                            size_t Limit) {
  std::lock_guard lock(Mutex);
  size_t most = Limit / LimitDivisor;
  auto it = Held.find(Service);
  size_t held = it == Held.end() ? 0 : it->second;
  if (Bytes > most || held > most - Bytes)
    return false;
  Held[Service] = held + Bytes;
  return true;
}

void WaitingAnswers::remove(const std::string &Service, size_t Bytes) {
  std::lock_guard lock(Mutex);
  auto it = Held.find(Service);
  if (it == Held.end())
    return;
  it->second -= std::min(it->second, Bytes);
  if (it->second == 0)
    Held.erase(it);
}

} // namespace crocusspur::gateway
