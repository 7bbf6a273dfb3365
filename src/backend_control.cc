#include "backend_client.h"
#include "crocusspur/kernel.h"
#include "json_reader.h"
#include "log.h"
#include "runtime.h"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace crocusspur::internal {
namespace {

using Clock = std::chrono::steady_clock;

// A cancel is given up after this time. The owner's comparison of leases with
// running requests finds what is left.
constexpr Milliseconds CancelLimit{5000};
// Loading a model can take long; an order that is lost is given again by the
// owner.
constexpr Milliseconds OrderLimit{30000};
constexpr Milliseconds RetryDelay{100};
constexpr Milliseconds CallTimeout{1000};
constexpr Milliseconds RetryStartPeriod{100};
constexpr size_t MaxQueued = 16384; // calls waiting for one server
constexpr int StackBytes = 262144;
constexpr int IdleSeconds = 30;
// Two lanes (cancels and orders) and one poller for each of some 600 servers at
// the target size; threads exist only while there is work.
constexpr int MaxThreads = 1800;

// One call to make until it succeeds or `Until` passes.
struct ControlCall {
  std::string Path;
  std::string Body;
  TimePoint Until;
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

// Each server has a lane for cancels, one for orders and a poller, and each of
// these runs on its own thread while it has work. A server that hangs delays
// nothing but its own calls.
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

  struct Lane {
    std::deque<ControlCall> Calls;
    bool Running = false;
  };

  void enqueue(const std::string &Server, const char *Kind, ControlCall Call);
  void startMissing();
  bool launch(std::function<void()> Work);
  void runLane(const std::string &Server, Lane &Work);
  bool takeCall(Lane &Work, ControlCall &Call);
  bool perform(const std::string &Server, const ControlCall &Call);
  bool pause(Milliseconds Wait);

  void runPoller(const std::string &Server);
  bool polled(const std::string &Server);
  void poll(const std::string &Server, uint64_t &Epoch, uint64_t &After);
  bool readLoad(const std::string &Server, const ServerConfig &Target,
                LoadReported &Report);
  void readCacheEvents(const std::string &Server, const ServerConfig &Target,
                       uint64_t &After);
  BackendCall callTo(const std::string &Address, Milliseconds Timeout) const;

  EventSink *Events = nullptr;
  BackendClient *Backends = nullptr;
  TimerService *Timers = nullptr;
  uint64_t Timer = 0;
  Milliseconds PollPeriod{250};
  Milliseconds ConnectTimeout{500};
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::map<std::pair<std::string, std::string>, Lane> Lanes;
  std::set<std::string> Wanted;  // servers to poll
  std::set<std::string> Pollers; // servers that a thread polls
  Poco::ThreadPool Pool{"backends", 2, MaxThreads, IdleSeconds, StackBytes};
};

// Work on a thread of the pool. Deletes itself.
class BackendControlPlugin::Job : public Poco::Runnable {
public:
  explicit Job(std::function<void()> Work) : Work(std::move(Work)) {}

  void run() override {
    try {
      Work();
    } catch (const std::exception &error) {
      log(LogLevel::Error, "backend_control", "a background call failed",
          {{"reason", error.what()}});
    }
    delete this;
  }

private:
  std::function<void()> Work;
};

bool BackendControlPlugin::start(Kernel &Owner) {
  Events = Owner.find<EventSink>();
  Backends = Owner.find<BackendClient>();
  if (!Events || !Backends) {
    log(LogLevel::Error, "backend_control", "core or relay is missing");
    return false;
  }
  Timers = &Owner.timers();
  PollPeriod = Owner.settings().LoadPollPeriod;
  ConnectTimeout = Owner.settings().ConnectTimeout;
  Timer = Timers->every(RetryStartPeriod, [this] { startMissing(); });
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
           Clock::now() + CancelLimit, CallTimeout});
}

void BackendControlPlugin::order(const OrderServer &Item) {
  std::string body = std::string("{\"kind\":\"") + toString(Item.Kind) +
                     "\",\"argument\":" + jsonString(Item.Argument) +
                     ",\"fence\":" + std::to_string(Item.Fence) + "}";
  enqueue(Item.Server, "order",
          {"/v1/orders", body, Clock::now() + OrderLimit, OrderLimit});
}

void BackendControlPlugin::setPolled(std::vector<std::string> Servers) {
  {
    std::lock_guard lock(Mutex);
    Wanted = std::set<std::string>(Servers.begin(), Servers.end());
    Changed.notify_all();
  }
  startMissing();
}

void BackendControlPlugin::enqueue(const std::string &Server, const char *Kind,
                                   ControlCall Call) {
  {
    std::lock_guard lock(Mutex);
    Lane &lane = Lanes[{Server, Kind}];
    if (lane.Calls.size() >= MaxQueued)
      lane.Calls.pop_front(); // the oldest is the nearest to being given up
    lane.Calls.push_back(std::move(Call));
  }
  startMissing();
}

bool BackendControlPlugin::launch(std::function<void()> Work) {
  auto *job = new Job(std::move(Work));
  try {
    Pool.start(*job);
    return true;
  } catch (const Poco::Exception &) {
    delete job; // no thread is free; the timer tries again
    return false;
  }
}

// Starts threads for lanes and pollers that have work and none.
void BackendControlPlugin::startMissing() {
  std::lock_guard lock(Mutex);
  if (Stopping)
    return;
  for (auto &it : Lanes) {
    Lane *lane = &it.second;
    const std::string &server = it.first.first;
    if (!lane->Running && !lane->Calls.empty())
      lane->Running = launch([this, server, lane] { runLane(server, *lane); });
  }
  for (const std::string &it : Wanted)
    if (!Pollers.count(it) && launch([this, it] { runPoller(it); }))
      Pollers.insert(it);
}

bool BackendControlPlugin::takeCall(Lane &Work, ControlCall &Call) {
  std::lock_guard lock(Mutex);
  if (Work.Calls.empty() || Stopping) {
    Work.Running = false;
    return false;
  }
  Call = std::move(Work.Calls.front());
  Work.Calls.pop_front();
  return true;
}

// Returns false if the plug-in stops.
bool BackendControlPlugin::pause(Milliseconds Wait) {
  std::unique_lock lock(Mutex);
  Changed.wait_for(lock, Wait, [this] { return Stopping; });
  return !Stopping;
}

void BackendControlPlugin::runLane(const std::string &Server, Lane &Work) {
  ControlCall call;
  while (takeCall(Work, call)) {
    while (!perform(Server, call) && Clock::now() < call.Until)
      if (!pause(RetryDelay))
        break;
  }
}

BackendCall BackendControlPlugin::callTo(const std::string &Address,
                                         Milliseconds Timeout) const {
  BackendCall call;
  call.Address = Address;
  call.ConnectTimeout = ConnectTimeout;
  call.Timeout = Timeout;
  return call;
}

// Returns whether the call is over: answered, refused, or expired.
bool BackendControlPlugin::perform(const std::string &Server,
                                   const ControlCall &Call) {
  TimePoint now = Clock::now();
  ConfigPtr config = Events->config();
  const ServerConfig *target = config->findServer(Server);
  if (!target || now >= Call.Until)
    return true;
  auto left = std::chrono::ceil<Milliseconds>(Call.Until - now);
  uint32_t status = 0;
  std::string answer;
  bool answered =
      Backends->control(callTo(target->Address, std::min(Call.Timeout, left)),
                        "POST", Call.Path, Call.Body, status, answer);
  if (answered && status != 200)
    log(LogLevel::Warn, "backend_control", "call refused",
        {{"server", Server},
         {"path", Call.Path},
         {"status", std::to_string(status)}});
  return answered && status < 500;
}

bool BackendControlPlugin::polled(const std::string &Server) {
  std::lock_guard lock(Mutex);
  bool wanted = !Stopping && Wanted.count(Server) != 0;
  if (!wanted)
    Pollers.erase(Server);
  return wanted;
}

void BackendControlPlugin::runPoller(const std::string &Server) {
  uint64_t epoch = 0;
  uint64_t after = 0;
  while (polled(Server)) {
    TimePoint next = Clock::now() + PollPeriod;
    poll(Server, epoch, after);
    std::unique_lock lock(Mutex);
    Changed.wait_until(lock, next,
                       [&] { return Stopping || Wanted.count(Server) == 0; });
  }
}

void BackendControlPlugin::poll(const std::string &Server, uint64_t &Epoch,
                                uint64_t &After) {
  ConfigPtr config = Events->config();
  const ServerConfig *target = config->findServer(Server);
  if (!target)
    return;
  LoadReported report;
  report.Server = Server;
  report.Reachable = readLoad(Server, *target, report);
  if (report.Reachable && report.Epoch != Epoch) {
    Epoch = report.Epoch;
    After = 0; // a new process counts its cache events from the start
  }
  bool reachable = report.Reachable;
  Events->post(std::move(report));
  if (reachable && target->Role != ServerRole::Service)
    readCacheEvents(Server, *target, After);
}

bool BackendControlPlugin::readLoad(const std::string &Server,
                                    const ServerConfig &Target,
                                    LoadReported &Report) {
  uint32_t status = 0;
  std::string text;
  if (!Backends->control(callTo(Target.Address, ConnectTimeout), "GET",
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
                                           uint64_t &After) {
  uint32_t status = 0;
  std::string text;
  std::string path = "/v1/cache_events?after=" + std::to_string(After);
  if (!Backends->control(callTo(Target.Address, ConnectTimeout), "GET", path,
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
  After = std::max(After, report.FirstSequence + report.Changes.size() - 1);
  Events->post(std::move(report));
}

const PluginRegistration Registration{
    {"backend_control", Phase::PeerLinks,
     [] { return std::make_unique<BackendControlPlugin>(); }}};

} // namespace
} // namespace crocusspur::internal
