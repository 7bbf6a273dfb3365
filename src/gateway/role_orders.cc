// Plug-in: gives orders to change the stage of a server, where role_control
// decides so and this instance leads.
#include "crocusspur/kernel.h"
#include "gateway/decisions/role_control.h"
#include "gateway/gateway_runtime.h"
#include "log.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

constexpr Milliseconds LookPeriod{500};
// Twice the time in which the turns of two holders would be counted, so that a
// holder that has just lost its place has stopped.
constexpr Milliseconds LeadTime{6000};
constexpr Milliseconds CallTime{400};
// A server that changes its stage is back after this, if nothing is said.
constexpr Milliseconds ChangeTime{8000};
constexpr size_t MostAnswerBytes = 262144;
constexpr uint32_t Accepted = 202;

class RoleOrders final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void stop() override;

private:
  void run();
  void look(const std::string &Service);
  PoolView poolOf(const std::string &Service);
  void order(const std::string &Service, ServerStage To);
  // Status of the answer, 0 without one.
  uint32_t call(const ServerChoice &Server, const std::string &Bytes,
                const char *Method, std::string &Body);
  uint64_t nextFence(const std::string &Service) const;
  void avoidChanging(const std::string &Service);

  GatewayRuntime *Runtime = nullptr;
  std::map<std::string, RoleControl> Controls; // by service
  std::mutex Mutex;                            // guards Stopping
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

bool RoleOrders::start(Kernel &Owner) {
  Runtime = Owner.find<GatewayRuntime>();
  if (!Runtime)
    return false;
  Thread = std::thread([this] { run(); });
  return true;
}

void RoleOrders::stop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
  Thread.join();
}

void RoleOrders::run() {
  while (true) {
    {
      std::unique_lock lock(Mutex);
      Wake.wait_for(lock, LookPeriod, [this] { return Stopping; });
      if (Stopping)
        return;
    }
    bool leads = Runtime->Peers.leads(LeadTime) && !Runtime->Stopping.load() &&
                 Runtime->Known.storeIsReachable();
    RouteDocumentPtr routes = Runtime->Known.routes();
    for (const auto &[service, rule] : routes->Services) {
      if (!rule.Engine)
        continue;
      avoidChanging(service);
      if (leads)
        look(service);
    }
  }
}

// Learns from peers which server is changing its stage.
void RoleOrders::avoidChanging(const std::string &Service) {
  for (const GivenOrder &it : Runtime->Peers.orders(Service))
    if (it.Ago < ChangeTime)
      Runtime->Known.changing(it.ServerId, it.Fence, ChangeTime - it.Ago);
}

PoolView RoleOrders::poolOf(const std::string &Service) {
  PoolView pool;
  pool.PrefillServers = static_cast<uint32_t>(
      Runtime->Known.stageServers(Service, ServerStage::Prefill).size());
  pool.DecodeServers = static_cast<uint32_t>(
      Runtime->Known.stageServers(Service, ServerStage::Decode).size());
  auto add = [&](const std::vector<ServiceFigures> &Figures) {
    for (const ServiceFigures &it : Figures) {
      if (it.Service != Service)
        continue;
      pool.Demand.PromptTokens += it.Demand.PromptTokens;
      pool.Demand.PlacesWanted += it.Demand.PlacesWanted;
      pool.Demand.PlacesStarved += it.Demand.PlacesStarved;
      pool.PrefillRate = std::max(pool.PrefillRate, it.PrefillRate);
    }
  };
  add(Runtime->Known.figures());
  for (const Member &it : Runtime->Peers.alive())
    add(it.Figures);
  return pool;
}

void RoleOrders::look(const std::string &Service) {
  TimePoint now = Clock::now();
  std::optional<TimePoint> last;
  std::vector<GivenOrder> given = Runtime->Peers.orders(Service);
  if (!given.empty())
    last = now - given.front().Ago;
  PoolView pool = poolOf(Service);
  std::optional<ServerStage> to = Controls[Service].decide(pool, last, now);
  if (!to)
    return;
  log(LogLevel::Info, "role_orders", "a server should change its stage",
      {{"service", Service},
       {"to", *to == ServerStage::Decode ? "decode" : "prefill"},
       {"prefill_servers", std::to_string(pool.PrefillServers)},
       {"decode_servers", std::to_string(pool.DecodeServers)},
       {"prompt_tokens_per_s", std::to_string(pool.Demand.PromptTokens)},
       {"prefill_rate", std::to_string(pool.PrefillRate)},
       {"places_wanted_per_s", std::to_string(pool.Demand.PlacesWanted)},
       {"places_starved_per_s", std::to_string(pool.Demand.PlacesStarved)}});
  order(Service, *to);
}

uint32_t RoleOrders::call(const ServerChoice &Server, const std::string &Bytes,
                          const char *Method, std::string &Body) {
  CallerWaiter nobody(-1, Clock::now() + CallTime);
  ServerCall call(Runtime->Connections, Runtime->Wire, nobody);
  CallStatus status = call.start(Server.Address, Bytes, Method, "", CallTime);
  if (status == CallStatus::Answered)
    status = call.readWhole(Body, MostAnswerBytes);
  if (status != CallStatus::Answered)
    return 0;
  call.finish();
  return call.head().Status;
}

// Rises with the time of day, and past every order that is known, so that a
// clock that was put back doesn't lower it. The last digits tell instances
// apart that give an order in the same millisecond.
uint64_t RoleOrders::nextFence(const std::string &Service) const {
  constexpr uint64_t Instances = 1000;
  auto ms = std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
  uint64_t fence =
      static_cast<uint64_t>(ms) * Instances + Runtime->Incarnation % Instances;
  for (const GivenOrder &it : Runtime->Peers.orders(Service))
    fence = std::max(fence, it.Fence + 1);
  return fence;
}

void RoleOrders::order(const std::string &Service, ServerStage To) {
  ServerStage from =
      To == ServerStage::Decode ? ServerStage::Prefill : ServerStage::Decode;
  std::vector<ServerChoice> servers = Runtime->Known.rank({Service, from, {}});
  if (servers.empty())
    return;
  const ServerChoice &server = servers.front();
  std::string body;
  uint32_t status =
      call(server, Runtime->Wire.FormatReport(server), "GET", body);
  std::optional<ServerReport> report;
  if (status == 200)
    report = Runtime->Wire.ReadReport(body);
  if (!report || report->Stage != from || report->OrderRunning) {
    log(LogLevel::Warn, "role_orders", "no order: the server's report differs",
        {{"server", server.Id}, {"status", std::to_string(status)}});
    return;
  }
  StageOrder item{To, Runtime->Values.Instance, nextFence(Service),
                  report->OrdersTaken};
  // Noted before it is sent: an order without an answer may have been taken.
  Runtime->Peers.ordered(Service, server.Id, item.Fence);
  Runtime->Known.changing(server.Id, item.Fence, ChangeTime);
  body.clear();
  status =
      call(server, Runtime->Wire.FormatStageOrder(server, item), "POST", body);
  log(status == Accepted ? LogLevel::Info : LogLevel::Warn, "role_orders",
      "stage ordered",
      {{"service", Service},
       {"server", server.Id},
       {"fence", std::to_string(item.Fence)},
       {"status", std::to_string(status)}});
}

const PluginRegistration Registration{
    {"role_orders", Phase::Links, [] { return std::make_unique<RoleOrders>(); },
     Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
