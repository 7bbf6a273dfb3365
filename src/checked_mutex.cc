#include "checked_mutex.h"

#ifdef CROCUSSPUR_CHECK_LOCKS

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <execinfo.h>
#include <utility>

namespace crocusspur::internal {
namespace {

struct HeldMutex {
  const CheckedMutex *Mutex = nullptr;
  void *TakenAt = nullptr; // an address of the code
};

// Of the calling thread, in order; more than one after a handler that returns.
// Without a destructor, since mutexes are used until a thread has ended.
constexpr size_t MaxHeld = 8;
thread_local std::array<HeldMutex, MaxHeld> Held;
thread_local size_t HeldCount = 0;

void addHeld(const CheckedMutex &Mutex, void *TakenAt) {
  if (HeldCount == MaxHeld)
    std::abort();
  Held[HeldCount++] = {&Mutex, TakenAt};
}

void removeHeld(const CheckedMutex &Mutex) {
  auto *end = Held.data() + HeldCount;
  auto *it = std::find_if(Held.data(), end, [&](const HeldMutex &It) {
    return It.Mutex == &Mutex;
  });
  if (it == end)
    return;
  std::move(it + 1, end, it);
  --HeldCount;
}

void abortOnWrongOrder(const std::string &Description) {
  std::fprintf(stderr, "%s\n", Description.c_str());
  std::abort();
}

LockOrderHandler Handler = abortOnWrongOrder;

// The program and the offset in it, from which debuggers tell the line.
std::string codeText(void *Address) {
  char **names = backtrace_symbols(&Address, 1);
  std::string text = names ? names[0] : "";
  std::free(static_cast<void *>(names)); // NOLINT(*-no-malloc)
  return text;
}

} // namespace

LockOrderHandler setLockOrderHandler(LockOrderHandler NewHandler) {
  return std::exchange(Handler, std::move(NewHandler));
}

void CheckedMutex::lock() {
  void *caller = __builtin_return_address(0);
  // What is held but for the last one was taken in order.
  if (HeldCount > 0) {
    const HeldMutex &outer = Held[HeldCount - 1];
    if (IsOuter || !outer.Mutex->isOuter())
      Handler("mutex " + place() + " is taken at " + codeText(caller) +
              " under mutex " + outer.Mutex->place() + ", taken at " +
              codeText(outer.TakenAt));
  }
  Inner.lock();
  addHeld(*this, caller);
}

bool CheckedMutex::try_lock() {
  if (!Inner.try_lock())
    return false;
  addHeld(*this, __builtin_return_address(0));
  return true;
}

void CheckedMutex::unlock() {
  removeHeld(*this);
  Inner.unlock();
}

} // namespace crocusspur::internal

#endif
