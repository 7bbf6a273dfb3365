#include "crocusspur/timer_service.h"

#include <atomic>
#include <doctest/doctest.h>
#include <thread>

using namespace crocusspur;

// The thread waited on a time that stood in the cancelled subscription, whose
// memory was freed. The address sanitizer reports the read.
TEST_CASE("TimerService survives the cancelling of what it waits for") {
  TimerService timers;
  std::atomic<int> calls{0};
  for (int i = 0; i < 200; ++i) {
    uint64_t handle = timers.once(Milliseconds(60000), [&] { ++calls; });
    std::this_thread::yield();
    timers.cancel(handle);
  }
  std::atomic<bool> called{false};
  timers.once(Milliseconds(1), [&] { called.store(true); });
  while (!called.load())
    std::this_thread::yield();
  CHECK(calls.load() == 0);
}
