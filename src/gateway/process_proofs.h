// What servers' processes have said of themselves, shared by the requests of
// an instance. Thread-safe.
//
// A process that says at some moment which one it is has run since its start,
// so each connection to its server that was opened in between leads to it.
#ifndef CROCUSSPUR_GATEWAY_PROCESS_PROOFS_H
#define CROCUSSPUR_GATEWAY_PROCESS_PROOFS_H

#include "checked_mutex.h"
#include "gateway/decisions/leaving_servers.h"

#include <map>
#include <mutex>

namespace crocusspur::gateway {

class ProcessProofs {
public:
  // The process answered a question that was sent at `AskedAt`.
  void onConfirmed(const ServerProcess &Process, TimePoint AskedAt);
  // Whether the process is known to have run at `At` or later.
  bool isConfirmedSince(const ServerProcess &Process, TimePoint At) const;
  // Whether a request that needs to know is to ask the process now: another one
  // may just have asked.
  bool mayAsk(const ServerProcess &Process, TimePoint Now);
  // The process didn't say which one it is.
  void onUnanswered(const ServerProcess &Process, TimePoint Now);
  // Whether it is likely to answer: it hasn't left a question open lately.
  bool isResponsive(const ServerProcess &Process, TimePoint Now) const;

private:
  struct State {
    TimePoint ConfirmedAt;
    TimePoint AskedAt; // see mayAsk()
    TimePoint UnansweredAt;
  };
  // Called with the lock.
  State &stateOf(const ServerProcess &Process, TimePoint Now);

  mutable internal::LeafMutex Mutex;
  std::map<ServerProcess, State> Processes;
};

} // namespace crocusspur::gateway

#endif
