// Detects requests that crash backend servers. A request that ran on a server
// when it crashed is a suspect and runs alone. One that crashes a server while
// it runs alone is refused from then on by every instance. If it turns out that
// another request was running on that server too, neither is refused. Crashes
// expire after ten minutes.
#ifndef CROCUSSPUR_CRASH_TRACKER_H
#define CROCUSSPUR_CRASH_TRACKER_H

#include "core_context.h"

#include <memory>
#include <string>

namespace crocusspur::internal {

enum class CrashVerdict : uint8_t { Run, RunAlone, Refuse };

class CrashTracker {
public:
  CrashTracker();
  ~CrashTracker();

  CrashVerdict verdictFor(TimePoint Now, uint64_t Fingerprint) const;

  // Called when a request of this entry starts to run on a backend server.
  void onStarted(const RequestId &Id, const std::string &Server,
                 uint64_t Fingerprint, bool Alone);
  // `Broken`: the connection broke or the server stopped responding, which
  // counts as a crash only once a crash of that server is reported.
  // `Completed`: the server returned the whole output. This clears a suspect
  // even if other requests ran beside it, since its content would have crashed
  // the server anyway. A prefill, a cancelled run or a refused one is no
  // evidence.
  void onEnded(CoreContext &Context, const RequestId &Id, bool Broken,
               bool Completed);

  // Called when this instance polls the server and saw it crash (unreachable
  // after it had responded, or a new epoch). `Epoch` is that of the process
  // that crashed, so that both signs of one crash count once. Reports the crash
  // to every peer.
  void onServerCrashed(CoreContext &Context, const std::string &Server,
                       uint64_t Epoch);
  // Returns true if a run of this entry broke on the server and no known crash
  // explains it.
  bool hasBrokenRun(const std::string &Server, TimePoint Now) const;
  // Called when a peer saw a crash or reports fingerprints that ran there. Adds
  // the fingerprints of this entry and reports them to every peer once.
  void onReport(CoreContext &Context, const std::string &From,
                const CrashReport &Message);
  // Sends all crashes again: reports are lost with a link, and a new instance
  // knows of no crash.
  void onPeerUp(CoreContext &Context, const std::string &Instance) const;
  void onTimer(CoreContext &Context);

  std::string dump(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
