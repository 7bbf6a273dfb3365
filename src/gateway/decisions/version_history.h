// Which software versions the servers of each service have had, and since when
// an instance can tell. A stream that began after that, while the service had
// one version only, began at it. Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_VERSION_HISTORY_H
#define CROCUSSPUR_GATEWAY_VERSION_HISTORY_H

#include "gateway/decisions/server_registry.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace crocusspur::gateway {

class VersionHistory {
public:
  // The known servers are complete from now on; before, some may have come and
  // gone unnoticed.
  void onListRead(TimePoint Now) { CoveredSince = Now; }
  // Servers may have come and gone unnoticed before, though the list was read.
  void onGap(TimePoint Now) {
    if (CoveredSince)
      CoveredSince = Now;
  }
  // A server is registered.
  void onServer(const ServerEntry &Entry, TimePoint Now);
  // A server's entry was removed. Requests may be sent to it until `LastUse`.
  void onServerGone(const std::string &Id, TimePoint LastUse);

  // Returns the version of all servers that the service has had since `From`,
  // or nothing if there were several, or none, or changes may have been missed
  // since.
  std::optional<VersionKey> soleVersion(const std::string &Service,
                                        TimePoint From) const;
  // Since when changes are known.
  std::optional<TimePoint> coveredSince() const { return CoveredSince; }

private:
  struct Use {
    std::set<std::string> Servers; // registered with the version
    TimePoint LastUse;             // of those that are gone
  };
  struct Place {
    std::string Service;
    VersionKey Version = 0;
  };

  std::map<std::string, std::map<VersionKey, Use>> Services;
  std::map<std::string, Place> Places; // of registered servers, by id
  std::optional<TimePoint> CoveredSince;
};

} // namespace crocusspur::gateway

#endif
