// Recognises requests that crash backend servers. A request that ran on a
// server when it crashed is a suspect and runs alone; one that crashes a
// server while it runs alone is refused from then on, at every instance. If
// another request turns out to have run on that server in that crash, neither
// is refused. Crashes are forgotten after ten minutes.
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

  // Requests of this entry that run on a backend server.
  void onStarted(const RequestId &Id, const std::string &Server,
                 uint64_t Fingerprint, bool Alone);
  // `Broken`: the connection broke or the server stopped answering, which
  // counts as a crash only once a crash of that server is reported.
  // `Completed`: the server gave the whole output. This clears a suspect also
  // when others ran beside it, since its content would have crashed the server
  // then. A prefill, a cancelled run or a refused one says nothing about it.
  void onEnded(CoreContext &Context, const RequestId &Id, bool Broken,
               bool Completed);

  // This instance polls the server and saw it crash (unreachable after it
  // had answered, or a new epoch). `Epoch` is that of the run that crashed,
  // so that both signs of one crash count once. Tells every peer.
  void onServerCrashed(CoreContext &Context, const std::string &Server,
                       uint64_t Epoch);
  // Whether a run of this entry broke there that no known crash explains.
  bool hasBrokenRun(const std::string &Server, TimePoint Now) const;
  // A peer saw a crash, or names fingerprints that ran there. Adds the own
  // fingerprints and tells every peer of them once.
  void onReport(CoreContext &Context, const std::string &From,
                const CrashReport &Message);
  // Reports are lost with a link, and a fresh instance knows of no crash.
  void onPeerUp(CoreContext &Context, const std::string &Instance) const;
  void onTimer(CoreContext &Context);

  std::string dump(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace crocusspur::internal

#endif
