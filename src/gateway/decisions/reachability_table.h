// Tells an instance that is cut off from a service's servers from servers that
// fail: no server of the service responds any more, and calls to several of
// them have failed since the last response. Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_REACHABILITY_TABLE_H
#define CROCUSSPUR_GATEWAY_REACHABILITY_TABLE_H

#include "crocusspur/types.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

enum class Reachability : uint8_t {
  Reached,
  Suspected, // a call has failed and no later one got a response
  CutOff
};

const char *nameOf(Reachability State); // name in logs

// Servers of a service have responded to an instance this long ago.
struct ServiceReach {
  std::string Service;
  Milliseconds Age{0};
};

class ReachabilityTable {
public:
  // A server responded to a call that began at `StartedAt`. Calls that failed
  // but had begun before say nothing any more.
  void onResponded(const std::string &Service, TimePoint StartedAt,
                   TimePoint Now);
  // A call to a server failed without a response.
  void onFailed(const std::string &Service, const std::string &ServerId,
                TimePoint StartedAt, TimePoint Now);
  // A call to a server has been silent for long. A sound server may be silent
  // for a second, so this only makes the service suspected.
  void onSilent(const std::string &Service, TimePoint StartedAt, TimePoint Now);

  // `Servers`: number of known servers of the service.
  Reachability stateOf(const std::string &Service, size_t Servers,
                       TimePoint Now) const;
  // Servers whose failures count now.
  std::vector<std::string> failedServers(const std::string &Service,
                                         TimePoint Now) const;
  // When each service that isn't cut off last responded. `CountServers` returns
  // the number of known servers of a service.
  std::vector<ServiceReach>
  reached(const std::function<size_t(const std::string &Service)> &CountServers,
          TimePoint Now) const;
  std::vector<std::string> services() const;

private:
  struct Service {
    std::optional<TimePoint> RespondedAt;
    // Start of the latest call that got a response.
    TimePoint RespondedStart;
    std::map<std::string, TimePoint> Failed; // latest failure, by server
    std::optional<TimePoint> SilentSince;
  };

  std::map<std::string, Service> Services;
};

} // namespace crocusspur::gateway

#endif
