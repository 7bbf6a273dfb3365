// A timer service: one thread that calls the registered hooks when they are
// due.
#ifndef CROCUSSPUR_TIMER_SERVICE_H
#define CROCUSSPUR_TIMER_SERVICE_H

#include "crocusspur/types.h"

#include <functional>
#include <memory>

namespace crocusspur {

class TimerService {
public:
  using Hook = std::function<void()>;

  TimerService();
  // Stops the thread; no hook runs after the destructor returns.
  ~TimerService();
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  // Calls the hook every period, first after one period. Hooks run on the timer
  // thread one after another and must not block. Missed periods are skipped.
  // Returns a handle for cancel(). Thread-safe.
  uint64_t every(Milliseconds Period, Hook Callback);

  // Calls the hook once after the delay.
  uint64_t once(Milliseconds Delay, Hook Callback);

  // Ends a subscription. Waits for a running hook, unless it is called from a
  // hook. Unknown handles are ignored. Thread-safe.
  void cancel(uint64_t Handle);

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur

#endif
