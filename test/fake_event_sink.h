// An EventSink that records events, for tests of plug-ins without a core.
#ifndef CROCUSSPUR_FAKE_EVENT_SINK_H
#define CROCUSSPUR_FAKE_EVENT_SINK_H

#include "runtime.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace crocusspur::internal {

class FakeEventSink : public EventSink {
public:
  explicit FakeEventSink(uint64_t Incarnation = 1) : Incarnation(Incarnation) {}

  bool tryPost(EventBody Body) override {
    post(std::move(Body));
    return true;
  }
  void post(EventBody Body) override {
    std::lock_guard lock(Mutex);
    Events.push_back(std::move(Body));
    Changed.notify_all();
  }
  std::string dumpState(Milliseconds) override { return ""; }
  std::string makeTicket() override { return ""; }
  RequestId nextRequestId() override { return {Incarnation, 1}; }
  ConfigPtr config() const override { return nullptr; }
  InstanceListPtr list() const override { return nullptr; }
  bool ready() const override { return false; }

  // All events of one type so far.
  template <typename T> std::vector<T> all() const {
    std::lock_guard lock(Mutex);
    return allLocked<T>();
  }
  // Waits for `Count` events of one type. Returns false after 30 s, much longer
  // than the waits take.
  template <typename T> bool waitForCount(size_t Count) const {
    std::unique_lock lock(Mutex);
    return Changed.wait_for(lock, std::chrono::seconds(30),
                            [&] { return allLocked<T>().size() >= Count; });
  }

private:
  template <typename T> std::vector<T> allLocked() const {
    std::vector<T> found;
    for (const EventBody &it : Events)
      if (const T *item = std::get_if<T>(&it))
        found.push_back(*item);
    return found;
  }

  uint64_t Incarnation;
  mutable std::mutex Mutex;
  mutable std::condition_variable Changed;
  std::vector<EventBody> Events;
};

} // namespace crocusspur::internal

#endif
