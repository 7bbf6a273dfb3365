#include "checked_mutex.h"
#include "crocusspur/kernel.h"
#include "log.h"
#include "ring.h"
#include "runtime.h"

#include <atomic>
#include <csignal>
#include <future>
#include <malloc.h>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <type_traits>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

constexpr size_t RingCapacity = 16384;
constexpr Milliseconds TimerPeriod{50};
constexpr Milliseconds MaxWait{1000};
constexpr Milliseconds DumpTimeout{2000};

// A task runs on the core's thread between two events.
using CoreTask = std::function<void(DecisionCore &)>;
using CoreItem = std::variant<EventBody, CoreTask>;

// Traces store microseconds. If the core got finer times, a replay could differ
// from the recorded session.
template <typename ClockType> auto microsecondsNow() {
  return std::chrono::floor<Microseconds>(ClockType::now());
}

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

LogLevel levelOf(DecisionKind Kind) {
  switch (Kind) {
  case DecisionKind::OwnershipGained:
  case DecisionKind::OwnershipLost:
  case DecisionKind::ConfigInForce:
  case DecisionKind::ListInForce:
  case DecisionKind::PeerUp:
  case DecisionKind::PeerDown:
  case DecisionKind::Drained:
    return LogLevel::Info;
  case DecisionKind::Failed:
  case DecisionKind::LeaseLapsed:
  case DecisionKind::OrphanCancelled:
  case DecisionKind::ConfigRefused:
  case DecisionKind::ServerCrashed:
  case DecisionKind::SuspectRefused:
  case DecisionKind::PauseDetected:
    return LogLevel::Warn;
  default:
    return LogLevel::Debug;
  }
}

void logDecision(const DecisionRecord &Item, uint64_t ConfigVersion) {
  if (!isLogged(levelOf(Item.Kind)))
    return;
  LogFields fields{{"subject", Item.Subject}, {"group", Item.Group}};
  if (Item.Id != RequestId()) {
    fields.emplace_back("request", Item.Id.str());
    fields.emplace_back("config_version", std::to_string(ConfigVersion));
  }
  if (Item.Kind == DecisionKind::Failed || Item.Kind == DecisionKind::Shed)
    fields.emplace_back("error", errorResponse(Item.Error).Name);
  if (Item.Value != 0)
    fields.emplace_back("value", std::to_string(Item.Value));
  log(levelOf(Item.Kind), "core", toString(Item.Kind), fields);
}

class CoreThread : public Plugin, public EventSink, public CoreMonitor {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

  bool tryPost(EventBody Body) override;
  void post(EventBody Body) override;
  std::string dumpState(Milliseconds Wait) override;
  std::string makeTicket() override;
  RequestId nextRequestId() override;
  ConfigPtr config() const override;
  InstanceListPtr list() const override;
  bool ready() const override { return Ready.load(); }
  std::optional<CoreStats> stats(Milliseconds Wait) override;

private:
  void run();
  void handle(EventBody Body);
  void trackPeers(const EventBody &Body);
  void execute(Action Item);
  template <typename T> bool dispatch(T &Item);
  void executeDeferred();
  void pushItem(CoreItem Item);
  void watchSignals();
  void logState();

  Kernel *Owner = nullptr;
  std::unique_ptr<DecisionCore> Core;
  Ring<CoreItem> Items{RingCapacity};
  ActionList Actions;  // reused to keep its capacity
  ActionList Deferred; // for plug-ins that have not started yet
  uint64_t Timer = 0;
  std::thread Worker;
  std::thread Signals;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Ready{false};
  std::atomic<uint64_t> LastSequence{0};
  std::atomic<uint64_t> LastNonce{0};
  uint64_t Incarnation = 0;
  std::set<std::string> LinkedPeers; // core's thread only, like the next
  std::optional<TimePoint> PeerVersionSeenAt;
  bool Completed = false; // core's thread only; set by ShutdownComplete
  mutable LeafMutex Mutex;
  ConfigPtr Config = std::make_shared<ConfigDocument>();
  InstanceListPtr List = std::make_shared<InstanceList>();
};

bool CoreThread::start(Kernel &Kernel) {
  Owner = &Kernel;
  Incarnation = Kernel.settings().Core.Incarnation;
  Core = std::make_unique<DecisionCore>(Kernel.settings().Core);
  Kernel.provide<EventSink>(this);
  Kernel.provide<CoreMonitor>(this);
  Worker = std::thread([this] { run(); });
  Signals = std::thread([this] { watchSignals(); });
  // If the ring is full, this event is dropped; the next one follows one period
  // later.
  Timer = Kernel.timers().every(TimerPeriod, [this] { tryPost(TimerFired{}); });
  return true;
}

void CoreThread::stop() {
  Stopping.store(true);
  Owner->timers().cancel(Timer);
  Items.close();
  Worker.join();
  Signals.join();
}

bool CoreThread::tryPost(EventBody Body) {
  return Items.tryPush(CoreItem(std::move(Body)));
}

void CoreThread::post(EventBody Body) { pushItem(std::move(Body)); }

void CoreThread::pushItem(CoreItem Item) {
  constexpr Microseconds RetryInterval{100};
  while (!Items.tryPush(Item) && !Stopping.load())
    std::this_thread::sleep_for(RetryInterval);
}

std::string CoreThread::dumpState(Milliseconds Wait) {
  auto text = std::make_shared<std::promise<std::string>>();
  std::future<std::string> result = text->get_future();
  pushItem(CoreTask([text](DecisionCore &Target) {
    text->set_value(Target.dumpState(Clock::now()));
  }));
  if (result.wait_for(Wait) != std::future_status::ready)
    return "";
  return result.get();
}

std::string CoreThread::makeTicket() {
  auto text = std::make_shared<std::promise<std::string>>();
  std::future<std::string> result = text->get_future();
  uint64_t nonce = ++LastNonce;
  pushItem(CoreTask([text, nonce](DecisionCore &Target) {
    text->set_value(Target.makeTicket(nonce));
  }));
  if (result.wait_for(DumpTimeout) != std::future_status::ready)
    return "";
  return result.get();
}

std::optional<CoreStats> CoreThread::stats(Milliseconds Wait) {
  auto values = std::make_shared<std::promise<CoreStats>>();
  std::future<CoreStats> result = values->get_future();
  pushItem(CoreTask([this, values](DecisionCore &Target) {
    values->set_value({LinkedPeers.size(), Target.lastEvaluatedConfig(),
                       PeerVersionSeenAt, Target.queueLengths()});
  }));
  if (result.wait_for(Wait) != std::future_status::ready)
    return std::nullopt;
  return result.get();
}

RequestId CoreThread::nextRequestId() { return {Incarnation, ++LastSequence}; }

ConfigPtr CoreThread::config() const {
  std::lock_guard lock(Mutex);
  return Config;
}

InstanceListPtr CoreThread::list() const {
  std::lock_guard lock(Mutex);
  return List;
}

void CoreThread::run() {
  while (!Stopping.load()) {
    CoreItem item;
    if (!Items.pop(item, MaxWait))
      continue;
    if (auto *body = std::get_if<EventBody>(&item))
      handle(std::move(*body));
    else
      std::get<CoreTask>(item)(*Core);
  }
}

void CoreThread::handle(EventBody Body) {
  Event event{microsecondsNow<Clock>(), microsecondsNow<WallTime::clock>(),
              std::move(Body)};
  TraceSink *trace = Owner->find<TraceSink>();
  if (trace)
    trace->onEvent(event);
  trackPeers(event.Body);
  Actions.clear();
  TimePoint begin = Clock::now();
  Core->handle(event, Actions);
  if (MetricsSink *metrics = Owner->find<MetricsSink>())
    metrics->observe("core_event_seconds", "",
                     secondsBetween(begin, Clock::now()));
  if (!Deferred.empty())
    executeDeferred();
  for (Action &it : Actions) {
    if (trace)
      trace->onAction(it, event.At);
    execute(std::move(it));
  }
}

void CoreThread::trackPeers(const EventBody &Body) {
  if (const auto *link = std::get_if<PeerLinkChanged>(&Body)) {
    if (link->Up)
      LinkedPeers.insert(link->Instance);
    else
      LinkedPeers.erase(link->Instance);
  } else if (const auto *peer = std::get_if<PeerReceived>(&Body)) {
    const auto *heartbeat = std::get_if<Heartbeat>(&peer->Message);
    if (heartbeat && heartbeat->ConfigVersion > 0)
      PeerVersionSeenAt = Clock::now();
  }
}

// Actions that set lasting state of a plug-in are kept until that plug-in has
// started; a newer one replaces an older one of the same kind.
void CoreThread::execute(Action Item) {
  if (Completed) // the other plug-ins may be stopping
    return;
  bool done = std::visit([this](auto &It) { return dispatch(It); }, Item);
  std::erase_if(Deferred,
                [&](const Action &It) { return It.index() == Item.index(); });
  if (!done)
    Deferred.push_back(std::move(Item));
}

void CoreThread::executeDeferred() {
  ActionList items = std::move(Deferred);
  Deferred.clear();
  for (Action &it : items)
    execute(std::move(it));
}

// Passes the action to the plug-in that executes it, if there is one. Returns
// false if the action must be kept until that plug-in starts.
template <typename T> bool CoreThread::dispatch(T &Item) {
  if constexpr (std::is_same_v<T, DecisionRecord>) {
    if (MetricsSink *metrics = Owner->find<MetricsSink>())
      metrics->onDecision(Item);
    logDecision(Item, Config->Version); // only this thread replaces it
  } else if constexpr (std::is_same_v<T, SendToPeer>) {
    if (PeerSender *peers = Owner->find<PeerSender>())
      peers->send(Item.Instance, Item.Message);
  } else if constexpr (std::is_same_v<T, CancelAtServer>) {
    if (BackendControl *control = Owner->find<BackendControl>())
      control->cancel(Item);
  } else if constexpr (std::is_same_v<T, OrderServer>) {
    if (BackendControl *control = Owner->find<BackendControl>())
      control->order(Item);
  } else if constexpr (std::is_same_v<T, SetPolledServers>) {
    BackendControl *control = Owner->find<BackendControl>();
    if (control)
      control->setPolled(Item.Servers);
    return control != nullptr;
  } else if constexpr (std::is_same_v<T, SetPlatformReading>) {
    PlatformControl *platform = Owner->find<PlatformControl>();
    if (platform)
      platform->setReading(Item);
    return platform != nullptr;
  } else if constexpr (std::is_same_v<T, UseConfig>) {
    {
      std::lock_guard lock(Mutex);
      Config = Item.Document;
    }
    // Parsing a document of 1 MB leaves about 10 MB of freed heap memory
    // behind, a third of a node's limit.
    malloc_trim(0);
  } else if constexpr (std::is_same_v<T, UseList>) {
    PeerSender *peers = Owner->find<PeerSender>();
    if (peers)
      peers->setPeers(*Item.List);
    std::lock_guard lock(Mutex);
    List = Item.List;
    return peers != nullptr;
  } else if constexpr (std::is_same_v<T, SetReadiness>) {
    Ready.store(Item.Ready);
  } else if constexpr (std::is_same_v<T, ShutdownComplete>) {
    Completed = true;
    log(LogLevel::Info, "core", "shutdown complete",
        {{"abandoned", std::to_string(Item.Abandoned)}});
    Owner->requestExit(0);
  } else if (RelayRegistry *relays = Owner->find<RelayRegistry>()) {
    RequestId id = Item.Id;
    relays->deliver(id, std::move(Item));
  }
  return true;
}

void CoreThread::logState() {
  std::string state = dumpState(DumpTimeout);
  log(LogLevel::Info, "core", state.empty() ? "state dump timed out" : "state",
      {{"state", state}});
}

// The signals are blocked in every thread, so sigtimedwait() gets them.
void CoreThread::watchSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (int it : {SIGTERM, SIGINT, SIGUSR1})
    sigaddset(&set, it);
  timespec wait{0, 100 * 1000 * 1000}; // bounds the time that stop() takes
  while (!Stopping.load()) {
    int number = sigtimedwait(&set, nullptr, &wait);
    if (number == SIGUSR1)
      logState();
    if (number == SIGTERM || number == SIGINT) {
      log(LogLevel::Info, "core", "shutdown requested");
      post(ShutdownRequested{Owner->settings().ShutdownLimit});
    }
  }
}

const PluginRegistration Registration{{"core_thread", Phase::Core, [] {
                                         return std::make_unique<CoreThread>();
                                       }}};

} // namespace
} // namespace crocusspur::internal
