#include "backend_client.h"
#include "checked_mutex.h"
#include "crocusspur/kernel.h"
#include "json_reader.h"
#include "log.h"
#include "runtime.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

// A cancel is abandoned after this time. The owner's comparison of leases with
// running requests finds requests that keep running.
constexpr Milliseconds CancelTimeout{5000};
// Loading a model can take long. The owner reissues an order that is lost.
constexpr Milliseconds OrderTimeout{30000};
constexpr Milliseconds RetryDelay{100};
constexpr Milliseconds CallTimeout{1000};
constexpr Milliseconds JobStartPeriod{100};
constexpr size_t MaxQueuedCalls = 16384; // per server and kind of call
constexpr int StackBytes = 262144;
constexpr int IdleSeconds = 30;
// Two call queues (cancels and orders) and one poller for each of about 600
// servers at the target size. Threads exist only while there is work.
constexpr int MaxThreads = 1800;

// A call that is retried until it succeeds or `ExpiresAt` passes.
struct ControlCall {
  std::string Path;
  std::string Body;
  TimePoint ExpiresAt;
  Milliseconds Timeout{0};
};

const char *toString(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::LoadModel:
    return "load_model";
  case OrderKind::LoadAdapter:
    return "load_adapter";
  case OrderKind::SetRole:
    return "set_role";
  }
  return "load_model";
}

uint64_t parseHex(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 16);
}

// Each server has a queue of cancels, a queue of orders and a poller, each with
// its own thread while it has work. A server that hangs delays only its own
// calls.
class BackendControlPlugin : public Plugin, public BackendControl {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

  void cancel(const CancelAtServer &Item) override;
  void order(const OrderServer &Item) override;
  void setPolled(std::vector<std::string> Servers) override;

private:
  class Job;
  friend class Job;

  struct CallQueue {
    std::deque<ControlCall> Calls;
    bool Running = false;
  };

  void enqueue(const std::string &Server, const char *Kind, ControlCall Call);
  void startPendingJobs();
  bool launch(std::function<void()> Task);
  void drainQueue(const std::string &Server, CallQueue &Queue);
  bool popCall(CallQueue &Queue, ControlCall &Call);
  bool perform(const std::string &Server, const ControlCall &Call);
  bool waitUnlessStopping(Milliseconds Wait);

  void runPoller(const std::string &Server);
  bool shouldPoll(const std::string &Server);
  void poll(const std::string &Server, uint64_t &Epoch, uint64_t &LastSequence);
  bool readLoad(const std::string &Server, const ServerConfig &Target,
                LoadReported &Report);
  void readCacheEvents(const std::string &Server, const ServerConfig &Target,
                       uint64_t &LastSequence);
  BackendCall makeCall(const std::string &Address, Milliseconds Timeout) const;

  EventSink *Events = nullptr;
  BackendClient *Backends = nullptr;
  TimerService *Timers = nullptr;
  uint64_t Timer = 0;
  Milliseconds PollPeriod{250};
  Milliseconds ConnectTimeout{500};
  LeafMutex Mutex;
  ConditionVariable Changed;
  bool Stopping = false;
  std::map<std::pair<std::string, std::string>, CallQueue> Queues;
  std::set<std::string> ServersToPoll;
  std::set<std::string> ActivePollers; // servers that a thread polls
  Poco::ThreadPool Pool{"backends", 2, MaxThreads, IdleSeconds, StackBytes};
};

// Runs a task on a thread of the pool and deletes itself.
class BackendControlPlugin::Job : public Poco::Runnable {
public:
  explicit Job(std::function<void()> Task) : Task(std::move(Task)) {}

  void run() override {
    try {
      Task();
    } catch (const std::exception &error) {
      log(LogLevel::Error, "backend_control",
          "control job ended by an exception", {{"reason", error.what()}});
    }
    delete this;
  }

private:
  std::function<void()> Task;
};

bool BackendControlPlugin::start(Kernel &Owner) {
  Events = Owner.find<EventSink>();
  Backends = Owner.find<BackendClient>();
  if (!Events || !Backends) {
    log(LogLevel::Error, "backend_control",
        "decision core or relay is not available");
    return false;
  }
  Timers = &Owner.timers();
  PollPeriod = Owner.settings().LoadPollPeriod;
  ConnectTimeout = Owner.settings().ConnectTimeout;
  Timer = Timers->every(JobStartPeriod, [this] { startPendingJobs(); });
  Owner.provide<BackendControl>(this);
  return true;
}

void BackendControlPlugin::stop() {
  Timers->cancel(Timer);
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
    Changed.notify_all();
  }
  Pool.joinAll();
}

void BackendControlPlugin::cancel(const CancelAtServer &Item) {
  enqueue(Item.Server, "cancel",
          {"/v1/cancel", "{\"request\":\"" + Item.Id.str() + "\"}",
           Clock::now() + CancelTimeout, CallTimeout});
}

void BackendControlPlugin::order(const OrderServer &Item) {
  std::string body = std::string("{\"kind\":\"") + toString(Item.Kind) +
                     "\",\"argument\":" + jsonString(Item.Argument) +
                     ",\"fence\":" + std::to_string(Item.Fence) + "}";
  enqueue(Item.Server, "order",
          {"/v1/orders", body, Clock::now() + OrderTimeout, OrderTimeout});
}

void BackendControlPlugin::setPolled(std::vector<std::string> Servers) {
  {
    std::lock_guard lock(Mutex);
    ServersToPoll = std::set<std::string>(Servers.begin(), Servers.end());
    Changed.notify_all();
  }
  startPendingJobs();
}

void BackendControlPlugin::enqueue(const std::string &Server, const char *Kind,
                                   ControlCall Call) {
  {
    std::lock_guard lock(Mutex);
    CallQueue &queue = Queues[{Server, Kind}];
    if (queue.Calls.size() >= MaxQueuedCalls)
      queue.Calls.pop_front(); // the oldest call expires first
    queue.Calls.push_back(std::move(Call));
  }
  startPendingJobs();
}

bool BackendControlPlugin::launch(std::function<void()> Task) {
  auto *job = new Job(std::move(Task));
  try {
    Pool.start(*job);
    return true;
  } catch (const Poco::Exception &) {
    delete job; // no thread is free; the timer retries
    return false;
  }
}

// Starts threads for queues and pollers that have work but no thread.
void BackendControlPlugin::startPendingJobs() {
  std::lock_guard lock(Mutex);
  if (Stopping)
    return;
  for (auto &it : Queues) {
    CallQueue *queue = &it.second;
    const std::string &server = it.first.first;
    if (!queue->Running && !queue->Calls.empty())
      queue->Running =
          launch([this, server, queue] { drainQueue(server, *queue); });
  }
  for (const std::string &it : ServersToPoll)
    if (!ActivePollers.count(it) && launch([this, it] { runPoller(it); }))
      ActivePollers.insert(it);
}

bool BackendControlPlugin::popCall(CallQueue &Queue, ControlCall &Call) {
  std::lock_guard lock(Mutex);
  if (Queue.Calls.empty() || Stopping) {
    Queue.Running = false;
    return false;
  }
  Call = std::move(Queue.Calls.front());
  Queue.Calls.pop_front();
  return true;
}

// Returns false if the plug-in is stopping.
bool BackendControlPlugin::waitUnlessStopping(Milliseconds Wait) {
  std::unique_lock lock(Mutex);
  Changed.wait_for(lock, Wait, [this] { return Stopping; });
  return !Stopping;
}

void BackendControlPlugin::drainQueue(const std::string &Server,
                                      CallQueue &Queue) {
  ControlCall call;
  while (popCall(Queue, call)) {
    while (!perform(Server, call) && Clock::now() < call.ExpiresAt)
      if (!waitUnlessStopping(RetryDelay))
        break;
  }
}

BackendCall BackendControlPlugin::makeCall(const std::string &Address,
                                           Milliseconds Timeout) const {
  BackendCall call;
  call.Address = Address;
  call.ConnectTimeout = ConnectTimeout;
  call.Timeout = Timeout;
  return call;
}

// Returns whether the call is finished: it got a response other than a server
// error, has expired, or its server isn't configured any more.
bool BackendControlPlugin::perform(const std::string &Server,
                                   const ControlCall &Call) {
  TimePoint now = Clock::now();
  ConfigPtr config = Events->config();
  const ServerConfig *target = config->findServer(Server);
  if (!target || now >= Call.ExpiresAt)
    return true;
  auto remaining = std::chrono::ceil<Milliseconds>(Call.ExpiresAt - now);
  uint32_t status = 0;
  std::string response;
  bool completed = Backends->control(
      makeCall(target->Address, std::min(Call.Timeout, remaining)), "POST",
      Call.Path, Call.Body, status, response);
  if (completed && status != 200)
    log(LogLevel::Warn, "backend_control",
        "control call rejected by the server",
        {{"server", Server},
         {"path", Call.Path},
         {"status", std::to_string(status)}});
  return completed && status < 500;
}

bool BackendControlPlugin::shouldPoll(const std::string &Server) {
  std::lock_guard lock(Mutex);
  bool wanted = !Stopping && ServersToPoll.count(Server) != 0;
  if (!wanted)
    ActivePollers.erase(Server);
  return wanted;
}

void BackendControlPlugin::runPoller(const std::string &Server) {
  uint64_t epoch = 0;
  uint64_t lastSequence = 0;
  while (shouldPoll(Server)) {
    TimePoint next = Clock::now() + PollPeriod;
    poll(Server, epoch, lastSequence);
    std::unique_lock lock(Mutex);
    Changed.wait_until(lock, next, [&] {
      return Stopping || ServersToPoll.count(Server) == 0;
    });
  }
}

void BackendControlPlugin::poll(const std::string &Server, uint64_t &Epoch,
                                uint64_t &LastSequence) {
  ConfigPtr config = Events->config();
  const ServerConfig *target = config->findServer(Server);
  if (!target)
    return;
  LoadReported report;
  report.Server = Server;
  report.Reachable = readLoad(Server, *target, report);
  if (report.Reachable && report.Epoch != Epoch) {
    Epoch = report.Epoch;
    LastSequence = 0; // a new process numbers its cache events from the start
  }
  bool reachable = report.Reachable;
  Events->post(std::move(report));
  if (reachable && target->Role != ServerRole::Service)
    readCacheEvents(Server, *target, LastSequence);
}

bool BackendControlPlugin::readLoad(const std::string &Server,
                                    const ServerConfig &Target,
                                    LoadReported &Report) {
  uint32_t status = 0;
  std::string text;
  if (!Backends->control(makeCall(Target.Address, ConnectTimeout), "GET",
                         "/v1/load", "", status, text) ||
      status != 200)
    return false;
  DiagnosticList diagnostics;
  JsonReader reader(text, Server, diagnostics);
  Report.Epoch = reader.number("epoch", 0);
  Report.Running = static_cast<uint32_t>(reader.number("running", 0));
  Report.Queued = static_cast<uint32_t>(reader.number("queued", 0));
  Report.Slots = static_cast<uint32_t>(reader.number("slots", 0));
  Report.Age = Milliseconds(reader.number("age_ms", 0));
  for (const std::string &it : reader.texts("requests"))
    Report.RequestIds.push_back(RequestId::parse(it));
  return diagnostics.Diagnostics.empty();
}

void BackendControlPlugin::readCacheEvents(const std::string &Server,
                                           const ServerConfig &Target,
                                           uint64_t &LastSequence) {
  uint32_t status = 0;
  std::string text;
  std::string path = "/v1/cache_events?after=" + std::to_string(LastSequence);
  if (!Backends->control(makeCall(Target.Address, ConnectTimeout), "GET", path,
                         "", status, text) ||
      status != 200)
    return;
  DiagnosticList diagnostics;
  JsonReader reader(text, Server, diagnostics);
  CacheEventsReported report;
  report.Server = Server;
  report.FirstSequence = reader.number("first", 0);
  reader.forEach("changes", [&](JsonReader &Change) {
    report.Changes.push_back(
        {parseHex(Change.text("prefix")), Change.flag("added", false)});
  });
  if (!diagnostics.Diagnostics.empty() || report.Changes.empty())
    return;
  LastSequence =
      std::max(LastSequence, report.FirstSequence + report.Changes.size() - 1);
  Events->post(std::move(report));
}

const PluginRegistration Registration{
    {"backend_control", Phase::PeerLinks,
     [] { return std::make_unique<BackendControlPlugin>(); }}};

} // namespace
} // namespace crocusspur::internal
