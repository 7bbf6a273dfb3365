// Processes of backend servers that have said that they leave, in their entry
// or in a response. A process doesn't take that back: it stays leaving while
// its entry lags behind, expires, or comes back from an older copy of the
// store. A server that starts again is another process. Does no I/O; callers
// pass the time.
#ifndef CROCUSSPUR_GATEWAY_LEAVING_SERVERS_H
#define CROCUSSPUR_GATEWAY_LEAVING_SERVERS_H

#include "crocusspur/types.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// Identifies one process of a server. An id is used again after a restart, and
// an address by other servers.
struct ServerProcess {
  std::string Id;
  int64_t StartedAt = 0; // Unix milliseconds; 0: unknown
  std::string Address;
  std::string Version; // of its software

  auto operator<=>(const ServerProcess &) const = default;
};

struct LeavingServer {
  ServerProcess Process;
  Milliseconds Age{0}; // since an instance learned it first
};

class LeavingServers {
public:
  // Adds what an instance learned this long ago. Returns whether it is new.
  bool add(const LeavingServer &Item, TimePoint Now);
  bool contains(const ServerProcess &Process) const {
    return Servers.contains(Process);
  }

  // For peers: those learned of within the retention time, and a value that
  // differs between two instances if they know different ones. Those learned of
  // within `MaxAge`, if it is given.
  std::vector<LeavingServer> known(TimePoint Now) const;
  std::vector<LeavingServer> known(TimePoint Now, Milliseconds MaxAge) const;
  uint64_t digest(TimePoint Now) const;

  // Drops those beyond the retention time, except for registered processes.
  void expire(TimePoint Now,
              const std::function<bool(const ServerProcess &)> &IsRegistered);
  size_t size() const { return Servers.size(); }

private:
  std::map<ServerProcess, TimePoint> Servers; // learned at
};

} // namespace crocusspur::gateway

#endif
