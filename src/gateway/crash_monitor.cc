#include "gateway/crash_monitor.h"

#include "gateway/decisions/content_fingerprint.h"
#include "log.h"

#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

} // namespace

void CrashMonitor::setChangeListener(std::function<void()> Listener) {
  std::lock_guard lock(Mutex);
  ChangeListener = std::move(Listener);
}

// Called without the lock, so that the listener may take its own.
void CrashMonitor::notify() {
  std::function<void()> listener;
  {
    std::lock_guard lock(Mutex);
    listener = ChangeListener;
  }
  if (listener)
    listener();
}

std::optional<Milliseconds> CrashMonitor::refusedFor(uint64_t Content) const {
  std::lock_guard lock(Mutex);
  return History.refusedFor(Content, Clock::now());
}

void CrashMonitor::onRefused() {
  std::lock_guard lock(Mutex);
  ++Counts.RequestsRefused;
}

RunTracker::Id CrashMonitor::runStarted(TrackedRun Run) {
  std::lock_guard lock(Mutex);
  return Runs.start(std::move(Run));
}

void CrashMonitor::onResponded(RunTracker::Id Run) {
  std::lock_guard lock(Mutex);
  Runs.onResponded(Run);
}

void CrashMonitor::runEnded(RunTracker::Id Run, RunEnd End) {
  if (End == RunEnd::Broken) {
    std::lock_guard lock(Mutex);
    Runs.breakOff(Run, Clock::now());
    return;
  }
  std::optional<TrackedRun> run;
  bool cleared = false;
  {
    std::lock_guard lock(Mutex);
    run = Runs.end(Run);
    if (run && End == RunEnd::Completed)
      cleared = History.onCompleted(run->Content, Clock::now());
  }
  if (run && End == RunEnd::ServerEnded)
    addSeen({*run}, "connection_refused");
  if (cleared) {
    log(LogLevel::Info, "crash_monitor", "suspected content completed",
        {{"content", fingerprintText(run->Content)},
         {"request", run->RequestId},
         {"server", run->ServerId}});
    notify();
  }
}

void CrashMonitor::onServerRestarted(const std::string &ServerId,
                                     int64_t StartedAt) {
  std::vector<TrackedRun> ended;
  {
    std::lock_guard lock(Mutex);
    ended = Runs.onRestarted(ServerId, StartedAt, Clock::now());
  }
  addSeen(ended, "restarted");
}

void CrashMonitor::onServerVanished(const std::string &ServerId) {
  std::vector<TrackedRun> ended;
  {
    std::lock_guard lock(Mutex);
    ended = Runs.onVanished(ServerId, Clock::now());
  }
  addSeen(ended, "entry_expired");
}

void CrashMonitor::addSeen(const std::vector<TrackedRun> &Runs,
                           const char *Sign) {
  bool changed = false;
  for (const TrackedRun &it : Runs) {
    std::lock_guard lock(Mutex);
    TimePoint now = Clock::now();
    auto age = std::chrono::duration_cast<Milliseconds>(
        now - it.BrokenAt.value_or(now));
    bool added =
        History.addCrash({it.Content, it.ServerId, Instance, age}, now);
    uint32_t crashes = History.crashes(it.Content, now);
    log(LogLevel::Warn, "crash_monitor", "server ended while running a request",
        {{"content", fingerprintText(it.Content)},
         {"request", it.RequestId},
         {"server", it.ServerId},
         {"server_started_at", std::to_string(it.ServerStartedAt)},
         {"sign", Sign},
         {"age_ms", std::to_string(age.count())},
         {"crashes", std::to_string(crashes)}});
    if (!added)
      continue;
    changed = true;
    ++Counts.CrashesSeen;
    logRefusal(it.Content, now);
  }
  if (changed)
    notify();
}

void CrashMonitor::logRefusal(uint64_t Content, TimePoint Now) const {
  std::optional<Milliseconds> time = History.refusedFor(Content, Now);
  if (time)
    log(LogLevel::Warn, "crash_monitor", "content refused",
        {{"content", fingerprintText(Content)},
         {"crashes", std::to_string(History.crashes(Content, Now))},
         {"for_ms", std::to_string(time->count())}});
}

CrashHistory::Update CrashMonitor::changesAfter(uint64_t Change) const {
  std::lock_guard lock(Mutex);
  return History.changesAfter(Change, Clock::now());
}

CrashHistory::Update CrashMonitor::updateFor(uint64_t PeerDigest) const {
  std::lock_guard lock(Mutex);
  return History.updateFor(PeerDigest, Clock::now());
}

uint64_t CrashMonitor::lastChange() const {
  std::lock_guard lock(Mutex);
  return History.lastChange();
}

uint64_t CrashMonitor::digest() {
  std::lock_guard lock(Mutex);
  History.expire(Clock::now());
  return History.digest();
}

void CrashMonitor::merge(const CrashHistory::Update &Update,
                         const std::string &Peer) {
  if (Update.empty())
    return;
  bool changed = false;
  {
    std::lock_guard lock(Mutex);
    TimePoint now = Clock::now();
    History.expire(now);
    uint64_t former = History.lastChange();
    for (const ClearedContent &it : Update.Cleared)
      if (History.addCleared(it, now))
        log(LogLevel::Info, "crash_monitor",
            "peer reported that a content completed",
            {{"content", fingerprintText(it.Content)},
             {"from", Peer},
             {"age_ms", std::to_string(it.Age.count())}});
    for (const CrashRecord &it : Update.Crashes) {
      if (!History.addCrash(it, now))
        continue;
      ++Counts.CrashesReported;
      log(LogLevel::Info, "crash_monitor", "peer reported a crash",
          {{"content", fingerprintText(it.Content)},
           {"server", it.ServerId},
           {"witness", it.Witness},
           {"from", Peer},
           {"age_ms", std::to_string(it.Age.count())},
           {"crashes", std::to_string(History.crashes(it.Content, now))}});
      logRefusal(it.Content, now);
    }
    // Also if this instance cleared a reported content.
    changed = History.lastChange() != former;
  }
  if (changed)
    notify();
}

CrashMonitor::Counters CrashMonitor::counters() {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  History.expire(now);
  Counts.ContentsRefused = History.refusedContents(now);
  return Counts;
}

} // namespace crocusspur::gateway
