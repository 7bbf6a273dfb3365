// Mutexes in an order without cycles, so that no two threads can wait for each
// other for good. Under a LeafMutex no other one is taken. Under an OuterMutex
// a LeafMutex may be, and no other outer one. What runs under either calls no
// listener; those are called after it is released (see ListenerSlot).
//
// A build with CROCUSSPUR_CHECK_LOCKS ends a process that takes one against
// this order. In the others they are the standard mutex.
#ifndef CROCUSSPUR_CHECKED_MUTEX_H
#define CROCUSSPUR_CHECKED_MUTEX_H

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace crocusspur::internal {

#ifdef CROCUSSPUR_CHECK_LOCKS

class CheckedMutex {
public:
  CheckedMutex(const CheckedMutex &) = delete;
  CheckedMutex &operator=(const CheckedMutex &) = delete;

  // NOLINTBEGIN(readability-identifier-naming): names of the standard
  void lock();
  bool try_lock();
  void unlock();
  // NOLINTEND(readability-identifier-naming)

  bool isOuter() const { return IsOuter; }
  std::string place() const { return File + (":" + std::to_string(Line)); }

protected:
  CheckedMutex(bool IsOuter, const char *File, int Line)
      : IsOuter(IsOuter), File(File), Line(Line) {}
  ~CheckedMutex() = default;

private:
  const bool IsOuter;
  const char *const File; // by default of the object that has the mutex
  const int Line;
  std::mutex Inner;
};

class LeafMutex : public CheckedMutex {
public:
  explicit LeafMutex(const char *File = __builtin_FILE(),
                     int Line = __builtin_LINE())
      : CheckedMutex(/*IsOuter=*/false, File, Line) {}
};

class OuterMutex : public CheckedMutex {
public:
  explicit OuterMutex(const char *File = __builtin_FILE(),
                      int Line = __builtin_LINE())
      : CheckedMutex(/*IsOuter=*/true, File, Line) {}
};

// `Description` names both mutexes and where each was taken.
using LockOrderHandler = std::function<void(const std::string &Description)>;
// Replaces what is done before the second mutex is taken: by default the
// process writes the description to its standard error and aborts. Returns the
// former handler. Not thread-safe.
LockOrderHandler setLockOrderHandler(LockOrderHandler Handler);

using ConditionVariable = std::condition_variable_any;

#else

using LeafMutex = std::mutex;
using OuterMutex = std::mutex;
using ConditionVariable = std::condition_variable;

#endif

} // namespace crocusspur::internal

#endif
