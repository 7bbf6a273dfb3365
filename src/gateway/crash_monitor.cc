#include "gateway/crash_monitor.h"

#include "gateway/decisions/content_fingerprint.h"
#include "log.h"

#include <array>
#include <utility>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Time in which a request on probation gets a server and shows whether it ends
// it. The others come back after it.
constexpr Milliseconds ProbeTime{2000};

std::string keyText(uint64_t Key, SuspectKind Kind) {
  return Kind == SuspectKind::Content ? fingerprintText(Key)
                                      : promptPartText(Key);
}

// The log field that names a suspect.
const char *fieldOf(SuspectKind Kind) {
  return Kind == SuspectKind::Content ? "content" : "prompt_part";
}

} // namespace

void CrashMonitor::setChangeListener(std::function<void()> Listener) {
  ChangeListener.set(std::move(Listener));
}

// Called without the lock, so that the listener may take its own.
void CrashMonitor::notify() { ChangeListener.call(); }

std::optional<Milliseconds> CrashMonitor::refusedFor(uint64_t Content) const {
  std::lock_guard lock(Mutex);
  return History.refusedFor(Content, Clock::now());
}

void CrashMonitor::setProbationOwner(
    std::function<bool(PromptPartKey)> IsOwner) {
  IsProbationOwner = std::move(IsOwner);
}

std::optional<Milliseconds>
CrashMonitor::partsRefusedFor(std::span<const PromptPartKey> Parts,
                              const std::string &RequestId) {
  if (Parts.empty())
    return std::nullopt;
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  CrashHistory::PartState state = History.stateOf(Parts, now);
  if (state.Verdict == CrashHistory::PartVerdict::Refused)
    return state.RefusedFor;
  if (state.Verdict != CrashHistory::PartVerdict::Probation ||
      mayProbe(state.Part, RequestId, now))
    return std::nullopt;
  return ProbeTime;
}

bool CrashMonitor::mayProbe(PromptPartKey Part, const std::string &RequestId,
                            TimePoint Now) {
  if (IsProbationOwner && !IsProbationOwner(Part))
    return false;
  std::erase_if(
      Probes, [&](const auto &It) { return It.second.At + ProbeTime <= Now; });
  auto [it, added] = Probes.try_emplace(Part, Probe{RequestId, Now});
  if (added)
    log(LogLevel::Warn, "crash_monitor", "prompt part on probation",
        {{"prompt_part", promptPartText(Part)}, {"request", RequestId}});
  return it->second.RequestId == RequestId;
}

bool CrashMonitor::arePartsSuspected(
    std::span<const PromptPartKey> Parts) const {
  std::lock_guard lock(Mutex);
  return History.stateOf(Parts, Clock::now()).Verdict !=
         CrashHistory::PartVerdict::Unsuspected;
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

void CrashMonitor::onAnswerSurvived(RunTracker::Id Run, TimePoint BegunAt) {
  bool changed = false;
  {
    std::lock_guard lock(Mutex);
    const TrackedRun *run = Runs.onSurvived(Run);
    if (!run)
      return;
    for (PromptPartKey it : run->PromptParts) {
      if (!History.onPartSurvived(it, BegunAt))
        continue;
      changed = true;
      log(LogLevel::Info, "crash_monitor", "suspected prompt part survived",
          {{"prompt_part", promptPartText(it)},
           {"request", run->RequestId},
           {"server", run->ServerId}});
    }
  }
  if (changed)
    notify();
}

void CrashMonitor::runEnded(RunTracker::Id Run, RunEnd End) {
  if (End == RunEnd::Broken || End == RunEnd::Refused) {
    std::lock_guard lock(Mutex);
    Runs.breakOff(Run, Clock::now(), End == RunEnd::Refused);
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

void CrashMonitor::onServerResponded(const std::string &ServerId,
                                     TimePoint StartedAt) {
  std::vector<TrackedRun> ended;
  {
    std::lock_guard lock(Mutex);
    ended = Runs.onOtherResponded(ServerId, StartedAt, Clock::now());
  }
  addSeen(ended, "connection_refused");
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
    std::vector<CrashRecord> records{{it.Content, it.ServerId, Instance, age,
                                      SuspectKind::Content,
                                      it.ServerStartedAt}};
    if (!it.Survived)
      for (PromptPartKey part : it.PromptParts)
        records.push_back({part, it.ServerId, Instance, age,
                           SuspectKind::PromptPart, it.ServerStartedAt});
    std::erase_if(records, [&](const CrashRecord &It) {
      return !History.addCrash(It, now);
    });
    uint32_t crashes = History.crashes(it.Content, now);
    log(LogLevel::Warn, "crash_monitor", "server ended while running a request",
        {{"content", fingerprintText(it.Content)},
         {"request", it.RequestId},
         {"server", it.ServerId},
         {"server_started_at", std::to_string(it.ServerStartedAt)},
         {"sign", Sign},
         {"age_ms", std::to_string(age.count())},
         {"answer_survived", it.Survived ? "true" : "false"},
         {"prompt_parts", promptPartsText(it.PromptParts)},
         {"crashes", std::to_string(crashes)}});
    for (const CrashRecord &record : records) {
      changed = true;
      Counts.CrashesSeen += record.Kind == SuspectKind::Content ? 1 : 0;
      logRefusal(record, now);
    }
  }
  if (changed)
    notify();
}

void CrashMonitor::logRefusal(const CrashRecord &Item, TimePoint Now) const {
  std::string crashes =
      std::to_string(History.crashes(Item.Key, Now, Item.Kind));
  if (Item.Kind == SuspectKind::Content) {
    if (std::optional<Milliseconds> time = History.refusedFor(Item.Key, Now))
      log(LogLevel::Warn, "crash_monitor", "content refused",
          {{"content", fingerprintText(Item.Key)},
           {"crashes", crashes},
           {"for_ms", std::to_string(time->count())}});
    return;
  }
  CrashHistory::PartState state = History.stateOf(std::array{Item.Key}, Now);
  if (state.Verdict != CrashHistory::PartVerdict::Unsuspected)
    log(LogLevel::Warn, "crash_monitor", "prompt part suspected",
        {{"prompt_part", promptPartText(Item.Key)},
         {"crashes", crashes},
         {"refused_for_ms", std::to_string(state.RefusedFor.count())}});
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
    for (const ClearedSuspect &it : Update.Cleared)
      if (History.addCleared(it, now))
        log(LogLevel::Info, "crash_monitor",
            it.Kind == SuspectKind::Content
                ? "peer reported that a content completed"
                : "peer reported that a prompt part survived",
            {{fieldOf(it.Kind), keyText(it.Key, it.Kind)},
             {"from", Peer},
             {"age_ms", std::to_string(it.Age.count())}});
    for (const CrashRecord &it : Update.Crashes) {
      if (!History.addCrash(it, now))
        continue;
      ++Counts.CrashesReported;
      log(LogLevel::Info, "crash_monitor", "peer reported a crash",
          {{fieldOf(it.Kind), keyText(it.Key, it.Kind)},
           {"server", it.ServerId},
           {"witness", it.Witness},
           {"from", Peer},
           {"age_ms", std::to_string(it.Age.count())},
           {"crashes", std::to_string(History.crashes(it.Key, now, it.Kind))}});
      logRefusal(it, now);
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
  Counts.PartsRefused = History.refusedParts(now);
  return Counts;
}

} // namespace crocusspur::gateway
