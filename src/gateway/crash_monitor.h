// Recognises requests that crash backend servers: tracks the runs of this
// instance, records the contents that were running when a server's process
// ended, and merges what other instances have seen. All functions are
// thread-safe.
#ifndef CROCUSSPUR_GATEWAY_CRASH_MONITOR_H
#define CROCUSSPUR_GATEWAY_CRASH_MONITOR_H

#include "gateway/decisions/crash_history.h"
#include "gateway/decisions/run_tracker.h"

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// How a run ended, as evidence about the server's process.
enum class RunEnd : uint8_t {
  Completed,   // the server responded in full, without a server error
  Broken,      // broke off or got no response; the server may have ended
  ServerEnded, // broke off, and the server's address refuses connections
  NoEvidence   // refused, failed, cancelled, or only a prefill
};

inline bool isServerError(uint32_t Status) { return Status >= 500; }

// Evidence of a server's own complete response. A server error shows nothing:
// the server may have failed the request before running what crashes others.
inline RunEnd endOfResponse(uint32_t Status) {
  return isServerError(Status) ? RunEnd::NoEvidence : RunEnd::Completed;
}

class CrashMonitor {
public:
  explicit CrashMonitor(std::string Instance) : Instance(std::move(Instance)) {}

  // Called after a change that peers should learn soon, from any thread. It
  // must not call back.
  void setChangeListener(std::function<void()> Listener);

  // See CrashHistory::refusedFor().
  std::optional<Milliseconds> refusedFor(uint64_t Content) const;
  void onRefused();

  RunTracker::Id runStarted(TrackedRun Run);
  void runEnded(RunTracker::Id Run, RunEnd End);
  // See RunTracker::onResponded(). Called before the run ends.
  void onResponded(RunTracker::Id Run);

  // The server registered with a new start time.
  void onServerRestarted(const std::string &ServerId, int64_t StartedAt);
  // The server's entry expired though it hadn't announced its leaving.
  void onServerVanished(const std::string &ServerId);

  CrashHistory::Update changesAfter(uint64_t Change) const;
  CrashHistory::Update updateFor(uint64_t PeerDigest) const;
  uint64_t lastChange() const;
  uint64_t digest();
  // Merges what a peer has reported.
  void merge(const CrashHistory::Update &Update, const std::string &Peer);

  struct Counters {
    uint64_t CrashesSeen = 0;     // by this instance, one for each content
    uint64_t CrashesReported = 0; // new ones from peers
    uint64_t RequestsRefused = 0;
    uint32_t ContentsRefused = 0; // now
  };
  Counters counters();

private:
  void addSeen(const std::vector<TrackedRun> &Runs, const char *Sign);
  void logRefusal(uint64_t Content, TimePoint Now) const;
  void notify();

  const std::string Instance;
  mutable std::mutex Mutex;
  RunTracker Runs;
  CrashHistory History;
  Counters Counts;
  std::function<void()> ChangeListener;
};

} // namespace crocusspur::gateway

#endif
