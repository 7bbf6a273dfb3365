// Which services' servers this instance reaches, from all its calls to them.
// All functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_SERVER_REACHABILITY_H
#define CROCUSSPUR_GATEWAY_SERVER_REACHABILITY_H

#include "checked_mutex.h"
#include "gateway/decisions/reachability_table.h"
#include "gateway/decisions/server_registry.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// How a call to a server ended, as evidence about the way to it.
enum class CallEvidence : uint8_t {
  Responded,
  Failed, // no connection, or it ended without a byte of a response
  Silent, // no response in time
  None
};

class ServerReachability {
public:
  struct Hooks {
    // Returns the number of known servers of a service. Must not call back.
    std::function<size_t(const std::string &Service)> CountServers;
    // A server responded to a call that began at this time.
    std::function<void(const std::string &ServerId, TimePoint StartedAt)>
        OnResponse;
  };
  // Set before the object is used by several threads.
  void setHooks(Hooks Values) { Observers = std::move(Values); }

  void onCall(const ServerChoice &Server, CallEvidence Evidence,
              TimePoint StartedAt);
  Reachability stateOf(const std::string &Service) const;
  bool isCutOff(const std::string &Service) const {
    return stateOf(Service) == Reachability::CutOff;
  }
  std::vector<std::string> failedServers(const std::string &Service) const;
  // Services that are suspected or cut off.
  std::vector<std::string> unreachedServices() const;
  std::vector<ServiceReach> reached() const;

  // Returns once a service isn't reached any more, or after wakeUp().
  void waitForSuspicion();
  void wakeUp();

private:
  size_t countServers(const std::string &Service) const;
  // Logs a change of the service's state.
  void logState(const std::string &Service, Reachability State);

  mutable internal::LeafMutex Mutex;
  ReachabilityTable Table;
  std::map<std::string, Reachability> LoggedStates; // by service
  Hooks Observers;
  internal::ConditionVariable Suspicion;
  bool HasSuspicion = false;
};

} // namespace crocusspur::gateway

#endif
