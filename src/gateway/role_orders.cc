// Plug-in: orders servers to change their stage when RoleController decides so
// and this instance is the leader.
#include "checked_mutex.h"
#include "crocusspur/kernel.h"
#include "gateway/decisions/prefill_rate_estimator.h"
#include "gateway/decisions/role_controller.h"
#include "gateway/gateway_runtime.h"
#include "log.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

constexpr Milliseconds EvaluationPeriod{500};
// Twice the time within which the terms of two leaders could overlap, so that a
// former leader has stopped.
constexpr Milliseconds MinLeadershipTime{6000};
constexpr Milliseconds CallTimeout{400};
// Interval between readings of the decode servers' memory use. Only the leader
// makes them, since each costs a call.
constexpr Milliseconds ReportPeriod{2000};
// Time from an order until the entry of the new stage is known, which ends the
// exclusion earlier: some 6 s for the change, then the server's next heartbeat
// and the exchanges between instances.
constexpr Milliseconds StageChangeTime{10000};
// Time from the announcement of an order until it is sent, in which it spreads
// to all instances at two exchanges a second. Instances that don't know of it
// yet send requests to the server, which it would refuse, and each refusal
// counts as a retry.
constexpr Milliseconds MinAnnounceTime{2000};
constexpr Milliseconds AnnounceTimePerMember{30};
// Servers whose memory use is read: those least loaded by the leader's own
// calls; a sample where there are many.
constexpr size_t MaxReports = 8;
constexpr size_t MaxResponseBytes = 262144;
constexpr uint32_t Accepted = 202;

class RoleOrders final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void prepareStop() override;
  void stop() override;

private:
  struct ServiceState {
    RoleController Control;
    double DecodeUtilization = 0;
    TimePoint ReportedAt;
  };
  // An order that was announced to the other instances and isn't sent yet.
  struct AnnouncedOrder {
    std::string Service;
    ServerChoice Server;
    ServerStage To = ServerStage::Decode;
    uint64_t Fence = 0;
    TimePoint SendAt;
  };

  void run();
  void evaluate(const std::string &Service);
  PoolView poolOf(const std::string &Service);
  void updateDecodeUtilization(const std::string &Service, ServiceState &State);
  std::optional<ServerReport> fetchReport(const ServerChoice &Server);
  void announceOrders(const std::string &Service, const StageChange &Change);
  void sendAnnounced();
  void sendOrder(const AnnouncedOrder &Item);
  Milliseconds announceTime() const;
  // From the announcement of an order until its server is expected back.
  Milliseconds exclusionTime() const {
    return announceTime() + StageChangeTime;
  }
  // Returns the status of the response, or 0 if there is none.
  uint32_t call(const ServerChoice &Server, const std::string &Bytes,
                const char *Method, std::string &Body);
  uint64_t nextFence(const std::string &Service) const;
  void excludeChangingServers(const std::string &Service);

  GatewayRuntime *Runtime = nullptr;
  std::map<std::string, ServiceState> Services; // by name
  std::vector<AnnouncedOrder> Pending;
  internal::LeafMutex Mutex; // guards Stopping
  internal::ConditionVariable Wake;
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

void RoleOrders::prepareStop() {
  {
    std::lock_guard lock(Mutex);
    Stopping = true;
  }
  Wake.notify_all();
}

void RoleOrders::stop() { Thread.join(); }

void RoleOrders::run() {
  while (true) {
    {
      std::unique_lock lock(Mutex);
      Wake.wait_for(lock, EvaluationPeriod, [this] { return Stopping; });
      if (Stopping)
        return;
    }
    ThreadWatch::Work work(Runtime->Threads, "orders of stages");
    bool isLeader = Runtime->Peers.isLeader(MinLeadershipTime) &&
                    !Runtime->Stopping.load() &&
                    Runtime->Directory.isStoreReachable();
    if (isLeader)
      sendAnnounced();
    else
      Pending.clear();
    RouteDocumentPtr routes = Runtime->Directory.routes();
    for (const auto &[service, rule] : routes->Services) {
      if (!rule.Engine)
        continue;
      excludeChangingServers(service);
      if (isLeader)
        evaluate(service);
    }
  }
}

// Excludes servers that are changing their stage, as known from peers.
void RoleOrders::excludeChangingServers(const std::string &Service) {
  for (const IssuedStageOrder &it : Runtime->Peers.orders(Service))
    if (it.Age < exclusionTime())
      Runtime->Directory.onStageChangeOrdered(it.ServerId, it.Fence,
                                              exclusionTime() - it.Age);
}

PoolView RoleOrders::poolOf(const std::string &Service) {
  PoolView pool;
  pool.PrefillServers =
      Runtime->Directory.serversIn(Service, ServerStage::Prefill);
  pool.DecodeServers =
      Runtime->Directory.serversIn(Service, ServerStage::Decode);
  // Servers that are changing are still registered with their old stage.
  for (const IssuedStageOrder &it : Runtime->Peers.orders(Service)) {
    std::optional<ServerStage> stage = Runtime->Directory.stageOf(it.ServerId);
    if (it.Age >= exclusionTime() || !stage ||
        it.ToDecode == (*stage == ServerStage::Decode))
      continue;
    (it.ToDecode ? pool.PrefillServers : pool.DecodeServers) -= 1;
    (it.ToDecode ? pool.DecodeServers : pool.PrefillServers) += 1;
  }
  std::vector<double> rates;
  auto add = [&](const std::vector<ServiceStats> &Stats) {
    for (const ServiceStats &it : Stats) {
      if (it.Service != Service)
        continue;
      pool.Demand.PromptTokenRate += it.Demand.PromptTokenRate;
      pool.Demand.ReservationRate += it.Demand.ReservationRate;
      pool.Demand.StarvedReservationRate += it.Demand.StarvedReservationRate;
      rates.push_back(it.PrefillRate);
    }
  };
  add(Runtime->Directory.serviceStats());
  for (const Member &it : Runtime->Peers.alive())
    add(it.Stats);
  pool.PrefillRate = medianPrefillRate(std::move(rates));
  return pool;
}

void RoleOrders::evaluate(const std::string &Service) {
  TimePoint now = Clock::now();
  std::optional<TimePoint> last;
  std::vector<IssuedStageOrder> given = Runtime->Peers.orders(Service);
  if (!given.empty())
    last = now - given.front().Age;
  ServiceState &state = Services[Service];
  updateDecodeUtilization(Service, state);
  PoolView pool = poolOf(Service);
  pool.DecodeUtilization = state.DecodeUtilization;
  std::optional<StageChange> change = state.Control.decide(pool, last, now);
  if (!change)
    return;
  log(LogLevel::Info, "role_orders", "servers should change their stage",
      {{"service", Service},
       {"to", nameOf(change->To)},
       {"servers", std::to_string(change->Servers)},
       {"prefill_servers", std::to_string(pool.PrefillServers)},
       {"decode_servers", std::to_string(pool.DecodeServers)},
       {"prompt_tokens_per_s", std::to_string(pool.Demand.PromptTokenRate)},
       {"prefill_rate", std::to_string(pool.PrefillRate)},
       {"decode_use", std::to_string(pool.DecodeUtilization)},
       {"places_wanted_per_s", std::to_string(pool.Demand.ReservationRate)},
       {"places_starved_per_s",
        std::to_string(pool.Demand.StarvedReservationRate)}});
  announceOrders(Service, *change);
}

uint32_t RoleOrders::call(const ServerChoice &Server, const std::string &Bytes,
                          const char *Method, std::string &Body) {
  return callServer(Runtime->Connections, Runtime->Codec, Runtime->Limits,
                    Server, Bytes, Method, CallTimeout, MaxResponseBytes, Body);
}

std::optional<ServerReport>
RoleOrders::fetchReport(const ServerChoice &Server) {
  std::string body;
  if (call(Server, Runtime->Codec.FormatReport(Server), "GET", body) != 200)
    return std::nullopt;
  return Runtime->Codec.ParseReport(body);
}

void RoleOrders::updateDecodeUtilization(const std::string &Service,
                                         ServiceState &State) {
  TimePoint now = Clock::now();
  if (now - State.ReportedAt < ReportPeriod)
    return;
  State.ReportedAt = now;
  uint64_t used = 0;
  uint64_t all = 0;
  size_t asked = 0;
  for (const ServerChoice &it :
       Runtime->Directory.rank({Service, ServerStage::Decode, {}})) {
    if (++asked > MaxReports)
      break;
    if (std::optional<ServerReport> found = fetchReport(it)) {
      used += found->TokensInUse;
      all += found->TokensTotal;
    }
  }
  State.DecodeUtilization =
      all ? static_cast<double>(used) / static_cast<double>(all) : 0;
}

// Increases with the wall clock and exceeds every known order, so that a clock
// set back doesn't lower it. The last digits distinguish instances that issue
// an order in the same millisecond.
uint64_t RoleOrders::nextFence(const std::string &Service) const {
  constexpr uint64_t Instances = 1000;
  auto ms = std::chrono::duration_cast<Milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
  uint64_t fence =
      static_cast<uint64_t>(ms) * Instances + Runtime->Incarnation % Instances;
  for (const IssuedStageOrder &it : Runtime->Peers.orders(Service))
    fence = std::max(fence, it.Fence + 1);
  return fence;
}

void RoleOrders::announceOrders(const std::string &Service,
                                const StageChange &Change) {
  ServerStage from = Change.To == ServerStage::Decode ? ServerStage::Prefill
                                                      : ServerStage::Decode;
  ServerQuery query{Service, from, {}, {}};
  std::vector<ServerChoice> servers =
      from == ServerStage::Prefill ? Runtime->Directory.rankSlowestFirst(query)
                                   : Runtime->Directory.rank(query);
  if (servers.size() > Change.Servers)
    servers.resize(Change.Servers);
  for (const ServerChoice &it : servers) {
    uint64_t fence = nextFence(Service);
    Runtime->Peers.recordOrder({Service, it.Id, fence, Milliseconds(0),
                                Change.To == ServerStage::Decode});
    Runtime->Directory.onStageChangeOrdered(it.Id, fence, exclusionTime());
    Pending.push_back(
        {Service, it, Change.To, fence, Clock::now() + announceTime()});
  }
}

Milliseconds RoleOrders::announceTime() const {
  return MinAnnounceTime + AnnounceTimePerMember *
                               static_cast<int64_t>(Runtime->PeersKnown.load());
}

void RoleOrders::sendAnnounced() {
  std::vector<AnnouncedOrder> due;
  for (const AnnouncedOrder &it : Pending)
    if (it.SendAt <= Clock::now())
      due.push_back(it);
  std::erase_if(Pending, [](const AnnouncedOrder &It) {
    return It.SendAt <= Clock::now();
  });
  for (const AnnouncedOrder &it : due)
    sendOrder(it);
}

void RoleOrders::sendOrder(const AnnouncedOrder &Item) {
  std::optional<ServerReport> known = fetchReport(Item.Server);
  if (!known || known->Stage == Item.To || known->OrderRunning) {
    log(LogLevel::Warn, "role_orders",
        "order dropped: server's report is missing or differs",
        {{"server", Item.Server.Id}, {"answered", known ? "true" : "false"}});
    return;
  }
  StageOrder order{Item.To, Runtime->Values.Instance, Item.Fence,
                   known->OrdersAccepted};
  std::string body;
  uint32_t status =
      call(Item.Server, Runtime->Codec.FormatStageOrder(Item.Server, order),
           "POST", body);
  log(status == Accepted ? LogLevel::Info : LogLevel::Warn, "role_orders",
      "stage change ordered",
      {{"service", Item.Service},
       {"server", Item.Server.Id},
       {"fence", std::to_string(Item.Fence)},
       {"status", std::to_string(status)}});
}

const PluginRegistration Registration{
    {"role_orders", Phase::PeerLinks,
     [] { return std::make_unique<RoleOrders>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
