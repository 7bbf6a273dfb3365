// Plug-in: logs threads that hang. It has a thread of its own, which takes no
// lock of another part, and watches that of the timers too.
#include "crocusspur/kernel.h"
#include "gateway/gateway_runtime.h"
#include "log.h"

#include <mutex>
#include <optional>
#include <thread>

namespace crocusspur::gateway {
namespace {

using internal::log;
using internal::LogLevel;

constexpr Milliseconds CheckPeriod{1000};

class ThreadWatcher final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void prepareStop() override;
  void stop() override;

private:
  void run();

  Kernel *Owner = nullptr;
  GatewayRuntime *Runtime = nullptr;
  internal::LeafMutex Mutex; // guards Stopping
  internal::ConditionVariable Wake;
  bool Stopping = false;
  std::thread Thread;
  uint64_t Timer = 0;
  std::optional<ThreadWatch::Work> TimerTurn; // until the next one
};

bool ThreadWatcher::start(Kernel &Owner) {
  this->Owner = &Owner;
  Runtime = Owner.find<GatewayRuntime>();
  if (!Runtime)
    return false;
  Timer = Owner.timers().every(CheckPeriod, [this] {
    TimerTurn.emplace(Runtime->Threads, "timers", ThreadWatch::MaxHandOffTime);
  });
  Thread = std::thread([this] { run(); });
  return true;
}

void ThreadWatcher::prepareStop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
}

void ThreadWatcher::stop() {
  Owner->timers().cancel(Timer);
  TimerTurn.reset();
  Thread.join();
}

void ThreadWatcher::run() {
  while (true) {
    {
      std::unique_lock lock(Mutex);
      if (Wake.wait_for(lock, CheckPeriod, [this] { return Stopping; }))
        return;
    }
    for (const ThreadWatch::Change &it : Runtime->Threads.check(CheckPeriod))
      log(it.IsStuck ? LogLevel::Error : LogLevel::Warn, "thread_watch",
          it.IsStuck ? "a thread doesn't get on with its work"
                     : "a thread that was stuck has ended its work",
          {{"work", it.Name}, {"for_ms", std::to_string(it.For.count())}});
  }
}

const PluginRegistration Registration{
    {"thread_watch", Phase::Core,
     [] { return std::make_unique<ThreadWatcher>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
