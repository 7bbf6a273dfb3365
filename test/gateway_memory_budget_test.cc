#include "gateway/decisions/memory_budget.h"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr size_t Kb = 1024;
constexpr size_t Mb = 1048576;

// Grows the hold in steps as far as it goes.
void growFully(MemoryHold &Hold) {
  while (Hold.growTo(Hold.size() + 64 * Kb)) {
  }
}

} // namespace

// A few endless bodies took all memory.
TEST_CASE("Holds that grow without end leave room for small ones") {
  for (size_t count : {1, 24, 100, 700}) {
    CAPTURE(count);
    MemoryBudget budget(48 * Mb);
    std::vector<MemoryHold> large;
    for (size_t i = 0; i < count; ++i)
      large.emplace_back(&budget, MemoryUse::Response);
    for (MemoryHold &it : large)
      growFully(it);
    CHECK(budget.held() <= budget.limit());
    CHECK(budget.refused(MemoryUse::Response) == count);
    MemoryHold small(&budget, MemoryUse::RequestBody);
    CHECK(small.growTo(8 * Kb));
    large.clear();
    CHECK(budget.held() == 8 * Kb);
    small.reset();
    CHECK(budget.held() == 0);
  }
}

TEST_CASE("A refused hold keeps what it has") {
  MemoryBudget budget(Mb);
  MemoryHold hold(&budget, MemoryUse::Event);
  CHECK(hold.growTo(256 * Kb));
  CHECK_FALSE(hold.growTo(Mb));
  CHECK(hold.size() == 256 * Kb);
  CHECK(budget.held() == 256 * Kb);
  MemoryHold moved(std::move(hold));
  CHECK(budget.held() == 256 * Kb);
  moved = MemoryHold();
  CHECK(budget.held() == 0);
}

TEST_CASE("Threads that grow holds at once stay within the limit") {
  MemoryBudget budget(16 * Mb);
  std::atomic<size_t> most{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i)
    threads.emplace_back([&] {
      for (int n = 0; n < 2000; ++n) {
        MemoryHold hold(&budget, MemoryUse::Response);
        growFully(hold);
        size_t held = budget.held();
        size_t seen = most.load();
        while (held > seen && !most.compare_exchange_weak(seen, held)) {
        }
      }
    });
  for (std::thread &it : threads)
    it.join();
  CHECK(most.load() <= budget.limit());
  CHECK(budget.held() == 0);
}

TEST_CASE("The budget's limit follows from the settings' memory") {
  CHECK(memoryBudgetLimit(110 * Mb, 16 * Mb) == 50 * Mb);
  CHECK(memoryBudgetLimit(10 * Mb, 16 * Mb) == 8 * Mb);
  CHECK(memoryBudgetLimit(0, 16 * Mb) == 64 * Mb);
}

// A log line for each refusal would fill the disk.
TEST_CASE("Refusals are logged once a second with their number") {
  MemoryBudget budget(0);
  TimePoint now{};
  CHECK_FALSE(budget.takeRefusalsToLog(MemoryUse::Event, now));
  for (int i = 0; i < 5; ++i)
    CHECK_FALSE(budget.tryGrow(MemoryUse::Event, 0, 1));
  CHECK(budget.takeRefusalsToLog(MemoryUse::Event, now) == 5);
  CHECK_FALSE(budget.tryGrow(MemoryUse::Event, 0, 1));
  CHECK_FALSE(
      budget.takeRefusalsToLog(MemoryUse::Event, now + Milliseconds(999)));
  CHECK(budget.takeRefusalsToLog(MemoryUse::Event, now + Milliseconds(1000)) ==
        1);
}
