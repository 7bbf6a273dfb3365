// A bounded queue for multiple producers and one consumer, with a wake-up for
// the consumer. A full ring rejects the item, so the producer can respond with
// an overload error instead of blocking.
#ifndef CROCUSSPUR_RING_H
#define CROCUSSPUR_RING_H

#include "checked_mutex.h"
#include "crocusspur/types.h"

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <memory>
#include <mutex>

namespace crocusspur::internal {

template <typename T> class Ring {
public:
  explicit Ring(size_t Capacity) : Items(Capacity) {}
  ~Ring() {
    Items.consume_all([](T *It) { delete It; });
  }
  Ring(const Ring &) = delete;
  Ring &operator=(const Ring &) = delete;

  // Returns false and leaves `Item` unchanged if the ring is full.
  // Thread-safe.
  bool tryPush(T &Item) {
    auto it = std::make_unique<T>(std::move(Item));
    if (!Items.bounded_push(it.get())) {
      Item = std::move(*it);
      return false;
    }
    it.release();
    // The fence pairs with the one in pop(): either the consumer sees the item
    // or this thread sees that the consumer is about to sleep.
    std::atomic_thread_fence(std::memory_order_seq_cst);
    if (Sleeping.load(std::memory_order_relaxed)) {
      std::lock_guard lock(Mutex);
      WakeUp.notify_one();
    }
    return true;
  }
  bool tryPush(T &&Item) { return tryPush(Item); }

  // Removes the oldest item, waiting at most `Wait` for one. Returns false on
  // timeout, or if the ring is closed and empty. For a single consumer.
  bool pop(T &Item, Milliseconds Wait) {
    if (tryPop(Item))
      return true;
    std::unique_lock lock(Mutex);
    Sleeping.store(true, std::memory_order_relaxed);
    std::atomic_thread_fence(std::memory_order_seq_cst);
    auto end = std::chrono::steady_clock::now() + Wait;
    bool got = tryPop(Item);
    while (!got && !Closed.load()) {
      auto timedOut = WakeUp.wait_until(lock, end) == std::cv_status::timeout;
      got = tryPop(Item);
      if (timedOut)
        break;
    }
    Sleeping.store(false, std::memory_order_relaxed);
    return got;
  }

  // Wakes the consumer, which no longer waits for items. Items already in the
  // ring can still be popped.
  void close() {
    std::lock_guard lock(Mutex);
    Closed.store(true);
    WakeUp.notify_all();
  }
  bool closed() const { return Closed.load(); }

private:
  bool tryPop(T &Item) {
    T *it = nullptr;
    if (!Items.pop(it))
      return false;
    Item = std::move(*it);
    delete it;
    return true;
  }

  boost::lockfree::queue<T *> Items;
  LeafMutex Mutex;
  ConditionVariable WakeUp;
  std::atomic<bool> Sleeping{false};
  std::atomic<bool> Closed{false};
};

} // namespace crocusspur::internal

#endif
