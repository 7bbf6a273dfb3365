// Measures the memory that a thread allocates from the heap while it runs code
// under test.
#ifndef CROCUSSPUR_TEST_HEAP_METER_H
#define CROCUSSPUR_TEST_HEAP_METER_H

#include <cstddef>

namespace crocusspur::test {

// Counts from its construction to its destruction, on its thread only.
class HeapMeter {
public:
  HeapMeter();
  ~HeapMeter();
  HeapMeter(const HeapMeter &) = delete;
  HeapMeter &operator=(const HeapMeter &) = delete;

  // The most bytes that were allocated at a time.
  size_t peak() const { return Most > 0 ? static_cast<size_t>(Most) : 0; }

  void onAllocated(size_t Bytes);
  void onFreed(size_t Bytes) { Now -= static_cast<ptrdiff_t>(Bytes); }

private:
  HeapMeter *Outer;
  ptrdiff_t Now = 0; // may fall below 0: memory of before is freed
  ptrdiff_t Most = 0;
};

} // namespace crocusspur::test

#endif
