// Runs of this instance's requests at backend servers, to find those that a
// server's process ended with. A broken connection alone doesn't show that the
// server ended, so a broken run is kept until a later sign or its expiry. Does
// no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_RUN_TRACKER_H
#define CROCUSSPUR_GATEWAY_RUN_TRACKER_H

#include "crocusspur/types.h"
#include "gateway/decisions/prompt_parts.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocusspur::gateway {

struct TrackedRun {
  uint64_t Content = 0; // see fingerprintOf()
  std::string RequestId;
  std::string ServerId;
  int64_t ServerStartedAt = 0; // Unix milliseconds; 0: unknown
  TimePoint SentAt;            // before its first byte
  // When the run broke off; nothing while it is running.
  std::optional<TimePoint> BrokenAt{};
  // Of its prompt, if the server was to answer; see sharedPromptParts().
  std::vector<PromptPartKey> PromptParts{};
  // The answer went on for so long that its beginning didn't end the server.
  bool Survived = false;
  // The server's address refused connections when the run broke off.
  bool Refused = false;
};

class RunTracker {
public:
  using Id = uint64_t;

  Id start(TrackedRun Run);
  // Ends a run that says nothing about the server's process. Returns it.
  std::optional<TrackedRun> end(Id Run);
  // Records that a run broke off or got no response. `WasRefused`: the
  // server's address refuses connections.
  void breakOff(Id Run, TimePoint Now, bool WasRefused = false);
  // Removes and returns the runs that ended with their servers' processes,
  // since another server responded to a call that began after they had broken
  // off. Without that, the instance may be cut off from all servers.
  std::vector<TrackedRun> onOtherResponded(const std::string &ServerId,
                                           TimePoint StartedAt, TimePoint Now);
  // Records that the server responded to a run. Its process has outlived runs
  // that broke off before this one was sent, so they are removed.
  void onResponded(Id Run);

  // Records that the beginning of the run's answer didn't end the server.
  // Returns the run, or null.
  const TrackedRun *onSurvived(Id Run);

  // Removes and returns the runs that ended with the process of a server that
  // has restarted: those sent to an earlier process.
  std::vector<TrackedRun> onRestarted(const std::string &ServerId,
                                      int64_t StartedAt, TimePoint Now);
  // The same for a server that vanished from the list. It may still be alive,
  // so only broken runs are returned.
  std::vector<TrackedRun> onVanished(const std::string &ServerId,
                                     TimePoint Now);

private:
  using RunMap = std::map<Id, TrackedRun>;
  using ServerProcessKey = std::pair<std::string, int64_t>; // id, start
  using BrokenSet = std::set<std::pair<TimePoint, Id>>;     // oldest first

  static ServerProcessKey processOf(const TrackedRun &Run) {
    return {Run.ServerId, Run.ServerStartedAt};
  }
  void expire(TimePoint Now);
  TrackedRun remove(RunMap::iterator It);
  void removeFromIndexes(RunMap::const_iterator It);
  // Removes and returns the runs for which the condition holds.
  std::vector<TrackedRun>
  removeIf(const std::function<bool(const TrackedRun &)> &Condition);

  RunMap Runs;
  // Broken runs. Thousands stay for a while if a server breaks each call off at
  // once, and each call asks for some of them.
  BrokenSet Broken;
  std::map<ServerProcessKey, BrokenSet> BrokenOf;
  std::set<Id> Refused;
  Id LastId = 0;
};

} // namespace crocusspur::gateway

#endif
