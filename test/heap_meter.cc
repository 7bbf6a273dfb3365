#include "heap_meter.h"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace crocusspur::test {
namespace {

thread_local HeapMeter *Active = nullptr;

} // namespace

HeapMeter::HeapMeter() : Outer(Active) { Active = this; }

HeapMeter::~HeapMeter() { Active = Outer; }

void HeapMeter::onAllocated(size_t Bytes) {
  Now += static_cast<ptrdiff_t>(Bytes);
  Most = std::max(Most, Now);
}

} // namespace crocusspur::test

// Replace those of the whole test program.
void *operator new(size_t Size) {
  void *data = std::malloc(Size > 0 ? Size : 1);
  if (!data)
    throw std::bad_alloc();
  if (crocusspur::test::Active)
    crocusspur::test::Active->onAllocated(malloc_usable_size(data));
  return data;
}

void operator delete(void *Data) noexcept {
  if (crocusspur::test::Active)
    crocusspur::test::Active->onFreed(malloc_usable_size(Data));
  std::free(Data);
}

void operator delete(void *Data, size_t) noexcept { operator delete(Data); }
