// A function that another part registers, to be called from any thread. It is
// called without a lock, so that it may call others.
#ifndef CROCUSSPUR_LISTENER_SLOT_H
#define CROCUSSPUR_LISTENER_SLOT_H

#include "checked_mutex.h"

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace crocusspur::internal {

template <typename... Arguments> class ListenerSlot {
public:
  using Function = std::function<void(Arguments...)>;

  // Replaces the listener, null for none, and returns once no call of the
  // former one runs. A listener must not call this.
  void set(Function NewFunction) {
    auto added = NewFunction ? std::make_shared<Listener>() : nullptr;
    if (added)
      added->Call = std::move(NewFunction);
    std::unique_lock lock(Mutex);
    std::shared_ptr<Listener> former = std::exchange(Current, added);
    if (former)
      Ended.wait(lock, [&] { return former->Running == 0; });
  }

  void call(Arguments... Values) {
    RunningCall running(*this);
    if (running.Of)
      running.Of->Call(Values...);
  }

private:
  struct Listener {
    Function Call;
    size_t Running = 0; // calls
  };
  struct RunningCall {
    explicit RunningCall(ListenerSlot &Slot) : Slot(Slot) {
      std::lock_guard lock(Slot.Mutex);
      Of = Slot.Current;
      if (Of)
        ++Of->Running;
    }
    ~RunningCall() {
      std::lock_guard lock(Slot.Mutex);
      if (Of && --Of->Running == 0)
        Slot.Ended.notify_all();
    }
    RunningCall(const RunningCall &) = delete;
    RunningCall &operator=(const RunningCall &) = delete;

    ListenerSlot &Slot;
    std::shared_ptr<Listener> Of;
  };

  LeafMutex Mutex;
  ConditionVariable Ended;
  std::shared_ptr<Listener> Current;
};

} // namespace crocusspur::internal

#endif
