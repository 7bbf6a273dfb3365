// What a read of the servers from the store, made for a decision on a stream,
// shows of the process that runs it. Does no I/O.
#ifndef CROCUSSPUR_GATEWAY_SERVERS_READING_H
#define CROCUSSPUR_GATEWAY_SERVERS_READING_H

#include "gateway/decisions/leaving_servers.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace crocusspur::gateway {

class ServersReading {
public:
  using Processes = std::map<std::string, ServerProcess>; // by server id

  // The store didn't respond, or not with what was asked for.
  static ServersReading failed() { return {}; }
  // All changes since the last known one were read and applied.
  static ServersReading changes() {
    ServersReading reading;
    reading.Succeeded = true;
    return reading;
  }
  // The entries as they are now were read, since the store had discarded the
  // changes before. Processes may have come and gone without a trace in them.
  static ServersReading list(Processes Listed) {
    ServersReading reading = changes();
    reading.Listed = std::make_shared<const Processes>(std::move(Listed));
    return reading;
  }

  bool succeeded() const { return Succeeded; }
  // Whether the directory is certain to know of each process that has
  // registered in place of this one. A list shows that only by this one's own
  // entry, which a successor would have replaced; without a start time a
  // successor's can't be told from it.
  bool isCurrentFor(const ServerProcess &Process) const {
    if (!Listed)
      return Succeeded;
    auto it = Listed->find(Process.Id);
    return it != Listed->end() && it->second == Process &&
           Process.StartedAt != 0;
  }

private:
  bool Succeeded = false;
  std::shared_ptr<const Processes> Listed; // null: changes were read
};

} // namespace crocusspur::gateway

#endif
