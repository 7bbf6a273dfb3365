// Bytes of answers that wait for the proof that they are whole, by service, so
// that those of one service leave room in the memory budget for others.
// Thread-safe.
#ifndef CROCUSSPUR_GATEWAY_WAITING_ANSWERS_H
#define CROCUSSPUR_GATEWAY_WAITING_ANSWERS_H

#include "checked_mutex.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace crocusspur::gateway {

class WaitingAnswers {
public:
  // A service's waiting answers may hold the budget's limit divided by this.
  static constexpr size_t LimitDivisor = 4;

  // Counts an answer of so many bytes, which the budget holds already. Returns
  // false if the service's answers would hold more than their part of `Limit`.
  bool tryAdd(const std::string &Service, size_t Bytes, size_t Limit);
  void remove(const std::string &Service, size_t Bytes);

private:
  internal::LeafMutex Mutex;
  std::map<std::string, size_t> Held; // bytes by service
};

} // namespace crocusspur::gateway

#endif
