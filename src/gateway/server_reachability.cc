#include "gateway/server_reachability.h"

#include "log.h"

#include <limits>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

} // namespace

// Called without the lock, since the hook takes the directory's.
size_t ServerReachability::countServers(const std::string &Service) const {
  return Observers.CountServers ? Observers.CountServers(Service)
                                : std::numeric_limits<size_t>::max();
}

void ServerReachability::onCall(const ServerChoice &Server,
                                CallEvidence Evidence, TimePoint StartedAt) {
  if (Evidence == CallEvidence::None)
    return;
  bool responded = Evidence == CallEvidence::Responded;
  size_t servers = countServers(Server.Service);
  Reachability before;
  Reachability after;
  {
    std::lock_guard lock(Mutex);
    TimePoint now = Clock::now();
    before = Table.stateOf(Server.Service, servers, now);
    if (responded)
      Table.onResponded(Server.Service, StartedAt, now);
    else if (Evidence == CallEvidence::Failed)
      Table.onFailed(Server.Service, Server.Id, StartedAt, now);
    else
      Table.onSilent(Server.Service, StartedAt, now);
    after = Table.stateOf(Server.Service, servers, now);
    logState(Server.Service, after);
  }
  if (responded && Observers.OnResponse)
    Observers.OnResponse(Server.Id, StartedAt);
  if (before == Reachability::Reached && after != Reachability::Reached)
    wakeUp();
}

void ServerReachability::waitForSuspicion() {
  std::unique_lock lock(Mutex);
  Suspicion.wait(lock, [this] { return HasSuspicion; });
  HasSuspicion = false;
}

void ServerReachability::wakeUp() {
  {
    std::lock_guard lock(Mutex);
    HasSuspicion = true;
  }
  Suspicion.notify_all();
}

void ServerReachability::logState(const std::string &Service,
                                  Reachability State) {
  Reachability &logged = LoggedStates[Service];
  // A suspicion is frequent, as single servers fail, and decides nothing.
  if (State == Reachability::Suspected || State == logged)
    return;
  logged = State;
  std::string failed;
  for (const std::string &it : Table.failedServers(Service, Clock::now()))
    failed += (failed.empty() ? "" : ",") + it;
  bool cutOff = State == Reachability::CutOff;
  log(cutOff ? LogLevel::Warn : LogLevel::Info, "server_reachability",
      cutOff ? "no server of a service responds"
             : "servers of a service respond again",
      {{"service", Service}, {"failed_servers", failed}});
}

Reachability ServerReachability::stateOf(const std::string &Service) const {
  size_t servers = countServers(Service);
  std::lock_guard lock(Mutex);
  return Table.stateOf(Service, servers, Clock::now());
}

std::vector<std::string>
ServerReachability::failedServers(const std::string &Service) const {
  std::lock_guard lock(Mutex);
  return Table.failedServers(Service, Clock::now());
}

std::vector<std::string> ServerReachability::unreachedServices() const {
  std::vector<std::string> names;
  {
    std::lock_guard lock(Mutex);
    names = Table.services();
  }
  std::erase_if(names, [this](const std::string &It) {
    return stateOf(It) == Reachability::Reached;
  });
  return names;
}

std::vector<ServiceReach> ServerReachability::reached() const {
  std::vector<std::string> names;
  {
    std::lock_guard lock(Mutex);
    names = Table.services();
  }
  std::map<std::string, size_t> servers;
  for (const std::string &it : names)
    servers[it] = countServers(it);
  std::lock_guard lock(Mutex);
  return Table.reached(
      [&](const std::string &Service) {
        auto it = servers.find(Service);
        return it == servers.end() ? std::numeric_limits<size_t>::max()
                                   : it->second;
      },
      Clock::now());
}

} // namespace crocusspur::gateway
