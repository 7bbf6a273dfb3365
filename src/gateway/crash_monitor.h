// Recognises requests that crash backend servers: tracks the runs of this
// instance, records the contents and the parts of prompts that were running
// when a server's process ended, and merges what other instances have seen. All
// functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_CRASH_MONITOR_H
#define CROCUSSPUR_GATEWAY_CRASH_MONITOR_H

#include "checked_mutex.h"
#include "gateway/decisions/crash_history.h"
#include "gateway/decisions/run_tracker.h"
#include "listener_slot.h"

#include <functional>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace crocusspur::gateway {

// How a run ended, as evidence about the server's process.
enum class RunEnd : uint8_t {
  Completed,   // the server responded in full, without a server error
  Broken,      // broke off or got no response; the server may have ended
  Refused,     // broke off, and the server's address refuses connections
  ServerEnded, // the same, and another server accepts them
  NoEvidence   // refused, failed, cancelled, or only a prefill
};

// A part of a prompt that ends servers does so within a few steps of the model
// after the answer began. An answer that goes on for this long shows that its
// parts don't.
inline constexpr Milliseconds AnswerSurvivalTime{500};

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
  // must not set the listener.
  void setChangeListener(std::function<void()> Listener);

  // See CrashHistory::refusedFor().
  std::optional<Milliseconds> refusedFor(uint64_t Content) const;
  // Returns how long requests with these parts in their prompts are refused
  // from now on, or nothing if they may run. On probation, one request at a
  // time may run, at one instance of the fleet.
  std::optional<Milliseconds>
  partsRefusedFor(std::span<const PromptPartKey> Parts,
                  const std::string &RequestId);
  // Whether a run with these parts that ended with its server is more likely
  // the cause than a bystander.
  bool arePartsSuspected(std::span<const PromptPartKey> Parts) const;
  void onRefused();
  // Whether this instance may let requests with the part run on probation. Set
  // before the monitor is used by several threads; without it, it may.
  void setProbationOwner(std::function<bool(PromptPartKey)> IsOwner);

  RunTracker::Id runStarted(TrackedRun Run);
  // The answer to a run began at this time, and its beginning didn't end the
  // server: it has gone on for AnswerSurvivalTime, or completed. Called before
  // the run ends.
  void onAnswerSurvived(RunTracker::Id Run, TimePoint BegunAt);
  void runEnded(RunTracker::Id Run, RunEnd End);
  // See RunTracker::onResponded(). Called before the run ends.
  void onResponded(RunTracker::Id Run);

  // A server responded to a call that began at this time, so connections that
  // other servers refused before weren't refused to this instance alone.
  void onServerResponded(const std::string &ServerId, TimePoint StartedAt);
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
    uint32_t PartsRefused = 0;    // now
  };
  Counters counters();

private:
  void addSeen(const std::vector<TrackedRun> &Runs, const char *Sign);
  void logRefusal(const CrashRecord &Item, TimePoint Now) const;
  bool mayProbe(PromptPartKey Part, const std::string &RequestId,
                TimePoint Now);
  void notify();

  const std::string Instance;
  mutable internal::OuterMutex Mutex;
  RunTracker Runs;
  CrashHistory History;
  // The latest request that may run with a part on probation.
  struct Probe {
    std::string RequestId;
    TimePoint At;
  };
  std::map<PromptPartKey, Probe> Probes;
  std::function<bool(PromptPartKey)> IsProbationOwner;
  Counters Counts;
  internal::ListenerSlot<> ChangeListener;
};

} // namespace crocusspur::gateway

#endif
