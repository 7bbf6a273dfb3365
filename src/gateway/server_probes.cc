// Plug-in: probes servers of services that don't respond to this instance. It
// finds out fast whether the instance is cut off from all of them, and when
// that ends, so that no caller's request has to.
#include "crocusspur/kernel.h"
#include "gateway/gateway_runtime.h"
#include "log.h"

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;

// A response to another call usually ends a suspicion before a probe is sent.
constexpr Milliseconds SuspicionDelay{20};
// Interval between probes of a service that doesn't respond.
constexpr Milliseconds ProbePeriod{300};
// Servers report from memory.
constexpr Milliseconds ProbeTimeout{150};
// Probes of one service in a row. With the call that raised the suspicion they
// are enough to tell a cut.
constexpr size_t MaxProbes = 3;
constexpr size_t MaxResponseBytes = 262144;

class ServerProbes final : public Plugin {
public:
  bool start(Kernel &Owner) override;
  void prepareStop() override;
  void stop() override;

private:
  void run();
  void probeService(const std::string &Service);
  // Returns whether the server responded.
  bool probe(const ServerChoice &Server);

  GatewayRuntime *Runtime = nullptr;
  size_t Round = 0;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

bool ServerProbes::start(Kernel &Owner) {
  Runtime = Owner.find<GatewayRuntime>();
  if (!Runtime)
    return false;
  Thread = std::thread([this] { run(); });
  return true;
}

void ServerProbes::prepareStop() {
  Stopping.store(true);
  Runtime->Connections.reachability().wakeUp();
}

void ServerProbes::stop() { Thread.join(); }

void ServerProbes::run() {
  ServerReachability &reach = Runtime->Connections.reachability();
  while (!Stopping.load()) {
    std::vector<std::string> services = reach.unreachedServices();
    if (services.empty()) {
      reach.waitForSuspicion();
      std::this_thread::sleep_for(SuspicionDelay);
      continue;
    }
    ++Round;
    for (const std::string &it : services) {
      ThreadWatch::Work work(Runtime->Threads, "probes of servers");
      probeService(it);
    }
    if (!Stopping.load() && !reach.unreachedServices().empty())
      std::this_thread::sleep_for(ProbePeriod);
  }
}

void ServerProbes::probeService(const std::string &Service) {
  ServerReachability &reach = Runtime->Connections.reachability();
  ServerChoice none;
  none.Service = Service;
  std::vector<ServerChoice> servers = Runtime->Directory.others(none);
  std::vector<std::string> failed = reach.failedServers(Service);
  std::vector<ServerChoice> untried = servers;
  std::erase_if(untried, [&](const ServerChoice &It) {
    return std::ranges::find(failed, It.Id) != failed.end();
  });
  if (untried.empty() && !servers.empty())
    untried.push_back(servers[Round % servers.size()]);
  bool wasCutOff = reach.isCutOff(Service);
  for (size_t i = 0; i < untried.size() && i < MaxProbes; ++i)
    if (Stopping.load() || probe(untried[i]))
      break;
  if (wasCutOff)
    return;
  // Connections that were open before a cut may stay silent after it.
  if (reach.isCutOff(Service))
    Runtime->Connections.clear();
}

bool ServerProbes::probe(const ServerChoice &Server) {
  TimePoint started = Clock::now();
  std::string body;
  uint32_t status =
      callServer(Runtime->Connections, Runtime->Codec, Runtime->Limits, Server,
                 Runtime->Codec.FormatReport(Server), "GET", ProbeTimeout,
                 MaxResponseBytes, body);
  // Silence on a probe counts, unlike that of a request, which may take long.
  if (status == 0)
    Runtime->Connections.reachability().onCall(Server, CallEvidence::Failed,
                                               started);
  return status != 0;
}

const PluginRegistration Registration{
    {"server_probes", Phase::PeerLinks,
     [] { return std::make_unique<ServerProbes>(); }, Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
