#include "crocusspur/timer_service.h"
#include "checked_mutex.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace crocusspur {
namespace {

using Clock = std::chrono::steady_clock;

struct Subscription {
  Milliseconds Period{0}; // 0: once
  TimerService::Hook Callback;
  TimePoint Due;
};

} // namespace

struct TimerService::State {
  internal::LeafMutex Mutex;
  internal::ConditionVariable Changed;
  std::map<uint64_t, Subscription> Subscriptions;
  uint64_t NextHandle = 1;
  uint64_t Running = 0; // handle of the subscription whose hook runs
  bool Stopping = false;
  std::thread Thread;

  uint64_t add(Milliseconds Delay, Milliseconds Period, Hook Callback);
  void run();
  std::map<uint64_t, Subscription>::iterator nextDue();
};

uint64_t TimerService::State::add(Milliseconds Delay, Milliseconds Period,
                                  Hook Callback) {
  std::lock_guard lock(Mutex);
  uint64_t handle = NextHandle++;
  Subscriptions[handle] = {Period, std::move(Callback), Clock::now() + Delay};
  Changed.notify_all();
  return handle;
}

std::map<uint64_t, Subscription>::iterator TimerService::State::nextDue() {
  auto best = Subscriptions.begin();
  for (auto it = Subscriptions.begin(); it != Subscriptions.end(); ++it)
    if (it->second.Due < best->second.Due)
      best = it;
  return best;
}

void TimerService::State::run() {
  std::unique_lock lock(Mutex);
  while (!Stopping) {
    auto it = nextDue();
    if (it == Subscriptions.end()) {
      Changed.wait(lock);
      continue;
    }
    TimePoint now = Clock::now();
    if (it->second.Due > now) {
      // A copy: cancel() may erase the subscription meanwhile.
      TimePoint due = it->second.Due;
      Changed.wait_until(lock, due);
      continue;
    }
    Running = it->first;
    Hook hook = it->second.Callback;
    if (it->second.Period.count() > 0)
      it->second.Due = now + it->second.Period;
    else
      Subscriptions.erase(it);
    lock.unlock();
    hook();
    lock.lock();
    Running = 0;
    Changed.notify_all();
  }
}

TimerService::TimerService() : Impl(std::make_unique<State>()) {
  Impl->Thread = std::thread([this] { Impl->run(); });
}

TimerService::~TimerService() {
  {
    std::lock_guard lock(Impl->Mutex);
    Impl->Stopping = true;
    Impl->Changed.notify_all();
  }
  Impl->Thread.join();
}

uint64_t TimerService::every(Milliseconds Period, Hook Callback) {
  return Impl->add(Period, Period, std::move(Callback));
}

uint64_t TimerService::once(Milliseconds Delay, Hook Callback) {
  return Impl->add(Delay, Milliseconds(0), std::move(Callback));
}

void TimerService::cancel(uint64_t Handle) {
  std::unique_lock lock(Impl->Mutex);
  Impl->Subscriptions.erase(Handle);
  Impl->Changed.notify_all();
  if (std::this_thread::get_id() == Impl->Thread.get_id())
    return;
  Impl->Changed.wait(lock, [&] { return Impl->Running != Handle; });
}

} // namespace crocusspur
