#include "crash_tracker.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <deque>
#include <list>
#include <set>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace crocusspur::internal {
namespace {

constexpr std::chrono::minutes Expiry{10};

// Reports of several crashes of one server within this time may have been
// delayed: a server doesn't restart and crash again that fast. A broken run
// then counts for all of them, which can only prevent a refusal.
constexpr Milliseconds BatchWindow{500};

// Table limits. A full list of crashes or broken runs drops its oldest entry;
// the other tables accept no new entries.
constexpr size_t MaxCrashes = 1024;
constexpr size_t MaxFingerprints = 4096; // per crash
constexpr size_t MaxBroken = 4096;
constexpr size_t MaxRunning = 65536;
constexpr size_t MaxCleared = 4096;

struct Run {
  std::string Server;
  uint64_t Fingerprint = 0;
  bool Alone = false;
  TimePoint Started;
};

// A run whose connection broke. A crash found before `Until` can explain it.
struct BrokenRun {
  Run EndedRun;
  TimePoint Until;
};

// One crash of one server process. The sets only grow, so instances that got
// the same reports in any order reach the same verdict.
struct Crash {
  std::string Server;
  uint64_t Epoch = 0;
  TimePoint FirstSeen;
  std::set<uint64_t> Fingerprints;
  std::set<uint64_t> RanAlone;

  // The request that ran alone and is therefore the cause, or 0.
  uint64_t cause() const {
    return Fingerprints.size() == 1 && RanAlone == Fingerprints
               ? *Fingerprints.begin()
               : 0;
  }
};

struct Suspicion {
  TimePoint SuspectUntil;
  TimePoint RefuseUntil;
};

} // namespace

struct CrashTracker::State {
  TimePoint Now; // of the latest event that carried a time
  std::unordered_map<RequestId, Run> Running;
  std::deque<BrokenRun> Broken;
  std::list<Crash> Crashes; // oldest first
  std::unordered_map<uint64_t, TimePoint> Cleared;
  std::unordered_map<uint64_t, Suspicion> Suspects; // derived from the above

  Crash *findCrash(const std::string &Server, uint64_t Epoch);
  Crash &addCrash(const std::string &Server, uint64_t Epoch);
  std::vector<Crash *> crashesExplaining(const Run &Item, Milliseconds Window);
  std::vector<Run> runsBrokenBy(const Crash &Item);
  void addRuns(CoreContext &Context, Crash &Item, std::vector<Run> Runs);
  void applyReport(CoreContext &Context, const CrashReport &Message);
  bool clearSuspect(uint64_t Fingerprint);
  void rebuildSuspects();
  void expire();
};

namespace {

// A connection to a dead machine breaks at the progress timeout at the latest,
// before or after the report of the crash. Twice that covers both orders.
Milliseconds attributionWindow(const CoreContext &Context) {
  return 2 * Context.Options.ProgressTimeout;
}

void reportToPeers(CoreContext &Context, const CrashReport &Report) {
  for (const InstanceEntry &it : Context.List.Instances)
    if (it.Name != Context.Options.Instance)
      Context.send(it.Name, Report);
}

CrashReport reportOf(const Crash &Item, const std::vector<Run> &Runs,
                     TimePoint Now) {
  CrashReport report;
  report.Server = Item.Server;
  report.ServerEpoch = Item.Epoch;
  report.Age = std::chrono::duration_cast<Milliseconds>(Now - Item.FirstSeen);
  for (const Run &it : Runs) {
    report.Fingerprints.push_back(it.Fingerprint);
    if (it.Alone)
      report.RanAlone.push_back(it.Fingerprint);
  }
  return report;
}

void merge(Crash &Item, const CrashReport &Report) {
  for (uint64_t it : Report.Fingerprints)
    if (Item.Fingerprints.size() < MaxFingerprints)
      Item.Fingerprints.insert(it);
  for (uint64_t it : Report.RanAlone)
    if (Item.Fingerprints.count(it))
      Item.RanAlone.insert(it);
}

} // namespace

Crash *CrashTracker::State::findCrash(const std::string &Server,
                                      uint64_t Epoch) {
  for (Crash &it : Crashes)
    if (it.Server == Server && it.Epoch == Epoch)
      return &it;
  return nullptr;
}

Crash &CrashTracker::State::addCrash(const std::string &Server,
                                     uint64_t Epoch) {
  if (Crashes.size() >= MaxCrashes)
    Crashes.pop_front();
  Crashes.push_back({Server, Epoch, Now, {}, {}});
  return Crashes.back();
}

// Returns the newest known crash that may have broken this run, and those
// reported together with it.
std::vector<Crash *>
CrashTracker::State::crashesExplaining(const Run &Item, Milliseconds Window) {
  std::vector<Crash *> found;
  for (auto it = Crashes.rbegin(); it != Crashes.rend(); ++it) {
    bool possible = it->Server == Item.Server && Item.Started < it->FirstSeen &&
                    it->FirstSeen + Window >= Now;
    if (possible && (found.empty() ||
                     it->FirstSeen + BatchWindow >= found.front()->FirstSeen))
      found.push_back(&*it);
  }
  return found;
}

std::vector<Run> CrashTracker::State::runsBrokenBy(const Crash &Item) {
  std::vector<Run> runs;
  for (BrokenRun &it : Broken) {
    if (it.EndedRun.Server != Item.Server || it.Until < Now ||
        it.EndedRun.Started > Item.FirstSeen)
      continue;
    runs.push_back(it.EndedRun);
    it.Until = std::min(it.Until, Now + BatchWindow);
  }
  return runs;
}

// Adds the runs that the crash doesn't have yet and reports them to the peers.
void CrashTracker::State::addRuns(CoreContext &Context, Crash &Item,
                                  std::vector<Run> Runs) {
  std::erase_if(Runs, [&](const Run &It) {
    return Item.Fingerprints.count(It.Fingerprint) &&
           (!It.Alone || Item.RanAlone.count(It.Fingerprint));
  });
  CrashReport report = reportOf(Item, Runs, Now);
  merge(Item, report);
  rebuildSuspects();
  if (!Runs.empty())
    reportToPeers(Context, report);
}

void CrashTracker::State::applyReport(CoreContext &Context,
                                      const CrashReport &Message) {
  Crash *crash = findCrash(Message.Server, Message.ServerEpoch);
  if (!crash) {
    crash = &addCrash(Message.Server, Message.ServerEpoch);
    crash->FirstSeen -= Message.Age;
  }
  merge(*crash, Message);
  addRuns(Context, *crash, runsBrokenBy(*crash));
}

// Returns false if the fingerprint is no suspect or the table is full.
bool CrashTracker::State::clearSuspect(uint64_t Fingerprint) {
  auto it = Suspects.find(Fingerprint);
  if (it == Suspects.end() || Cleared.size() >= MaxCleared)
    return false;
  Cleared[Fingerprint] = Now;
  rebuildSuspects();
  return true;
}

void CrashTracker::State::rebuildSuspects() {
  Suspects.clear();
  for (const Crash &it : Crashes) {
    for (uint64_t fingerprint : it.Fingerprints) {
      auto cleared = Cleared.find(fingerprint);
      if (cleared == Cleared.end() || cleared->second < it.FirstSeen)
        Suspects[fingerprint].SuspectUntil = it.FirstSeen + Expiry;
    }
    if (uint64_t cause = it.cause())
      Suspects[cause].RefuseUntil = it.FirstSeen + Expiry;
  }
}

void CrashTracker::State::expire() {
  std::erase_if(Broken, [&](const BrokenRun &It) { return It.Until < Now; });
  std::erase_if(Cleared,
                [&](const auto &Item) { return Item.second + Expiry < Now; });
  bool changed = false;
  while (!Crashes.empty() && Crashes.front().FirstSeen + Expiry < Now) {
    Crashes.pop_front();
    changed = true;
  }
  if (changed)
    rebuildSuspects();
}

CrashTracker::CrashTracker() : Impl(std::make_unique<State>()) {}

CrashTracker::~CrashTracker() = default;

CrashVerdict CrashTracker::verdictFor(TimePoint Now,
                                      uint64_t Fingerprint) const {
  auto it = Impl->Suspects.find(Fingerprint);
  if (it == Impl->Suspects.end())
    return CrashVerdict::Run;
  if (Now < it->second.RefuseUntil)
    return CrashVerdict::Refuse;
  return Now < it->second.SuspectUntil ? CrashVerdict::RunAlone
                                       : CrashVerdict::Run;
}

void CrashTracker::onStarted(const RequestId &Id, const std::string &Server,
                             uint64_t Fingerprint, bool Alone) {
  if (Impl->Running.size() < MaxRunning || Impl->Running.count(Id))
    Impl->Running[Id] = {Server, Fingerprint, Alone, Impl->Now};
}

void CrashTracker::onEnded(CoreContext &Context, const RequestId &Id,
                           bool Broken, bool Completed) {
  Impl->Now = Context.Now;
  auto node = Impl->Running.extract(Id);
  if (node.empty())
    return;
  Run &run = node.mapped();
  if (!Broken) {
    if (Completed && Impl->clearSuspect(run.Fingerprint)) {
      CrashReport report;
      report.Cleared = {run.Fingerprint};
      reportToPeers(Context, report);
    }
    return;
  }
  std::vector<Crash *> crashes =
      Impl->crashesExplaining(run, attributionWindow(Context));
  for (Crash *it : crashes)
    Impl->addRuns(Context, *it, {run});
  if (Impl->Broken.size() >= MaxBroken)
    Impl->Broken.pop_front();
  Milliseconds wait =
      crashes.empty() ? attributionWindow(Context) : BatchWindow;
  Impl->Broken.push_back({std::move(run), Context.Now + wait});
}

void CrashTracker::onServerCrashed(CoreContext &Context,
                                   const std::string &Server, uint64_t Epoch) {
  Impl->Now = Context.Now;
  if (Impl->findCrash(Server, Epoch))
    return;
  Crash &crash = Impl->addCrash(Server, Epoch);
  std::vector<Run> runs = Impl->runsBrokenBy(crash);
  if (runs.empty())
    reportToPeers(Context, reportOf(crash, runs, Context.Now));
  Impl->addRuns(Context, crash, std::move(runs));
  DecisionRecord entry;
  entry.Kind = DecisionKind::ServerCrashed;
  entry.Subject = Server;
  entry.Value = static_cast<double>(crash.Fingerprints.size());
  Context.record(std::move(entry));
}

bool CrashTracker::hasBrokenRun(const std::string &Server,
                                TimePoint Now) const {
  return std::any_of(Impl->Broken.begin(), Impl->Broken.end(),
                     [&](const BrokenRun &It) {
                       return It.EndedRun.Server == Server && Now <= It.Until;
                     });
}

void CrashTracker::onReport(CoreContext &Context, const std::string &,
                            const CrashReport &Message) {
  Impl->Now = Context.Now;
  bool known = Impl->findCrash(Message.Server, Message.ServerEpoch) != nullptr;
  if (!Message.Server.empty() && Message.Age < Expiry)
    Impl->applyReport(Context, Message);
  // If the crash was already known here, the sender may not know of a later
  // one, so its cleared fingerprints are ignored.
  if (Message.Server.empty() || !known)
    for (uint64_t it : Message.Cleared)
      Impl->clearSuspect(it);
}

void CrashTracker::onPeerUp(CoreContext &Context,
                            const std::string &Instance) const {
  for (const Crash &it : Impl->Crashes) {
    CrashReport report{
        it.Server,
        it.Epoch,
        {it.Fingerprints.begin(), it.Fingerprints.end()},
        {it.RanAlone.begin(), it.RanAlone.end()},
        {},
        std::chrono::duration_cast<Milliseconds>(Context.Now - it.FirstSeen)};
    for (uint64_t fingerprint : it.Fingerprints)
      if (Impl->Cleared.count(fingerprint) &&
          !Impl->Suspects.count(fingerprint))
        report.Cleared.push_back(fingerprint);
    Context.send(Instance, std::move(report));
  }
}

void CrashTracker::onTimer(CoreContext &Context) {
  Impl->Now = Context.Now;
  Impl->expire();
}

std::string CrashTracker::dump(TimePoint Now) const {
  using Seconds = std::chrono::seconds;
  Poco::JSON::Array crashes;
  for (const Crash &it : Impl->Crashes) {
    Poco::JSON::Object item;
    auto age = std::chrono::duration_cast<Seconds>(Now - it.FirstSeen);
    item.set("server", it.Server);
    item.set("epoch", it.Epoch);
    item.set("age_s", static_cast<int64_t>(age.count()));
    item.set("requests", it.Fingerprints.size());
    item.set("cause_known", it.cause() != 0);
    crashes.add(item);
  }
  Poco::JSON::Object root;
  root.set("running", Impl->Running.size());
  root.set("suspects", Impl->Suspects.size());
  root.set("crashes", crashes);
  std::ostringstream out;
  root.stringify(out);
  return out.str();
}

} // namespace crocusspur::internal
