// Plug-in: updates the directory from the store, with one thread and one
// connection each for servers and routes, while this instance is one of those
// that read it.
#include "checked_mutex.h"
#include "crocusspur/kernel.h"
#include "gateway/gateway_runtime.h"
#include "log.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// Maximum wait of one watch call, which bounds the time to detect a store that
// stops responding on an open connection. It is short where few instances read.
// It grows with the fleet to limit the number of calls; peers then report
// updates sooner.
// Each wait is drawn from up to this maximum: watches begin together after a
// change, and one that ends soon shows a rise of the store's era to all.
constexpr Milliseconds LeastWatchWait{600};
constexpr Milliseconds MinWatchWait{2500};
constexpr Milliseconds WatchWaitPerMember{160};
constexpr Milliseconds MaxWatchWait{10000};
// Of a call that is made to learn what the store has: the first one, and after
// a failure, when the store may have come back from an older copy, which shows
// in its response. A watch from a revision beyond would wait in vain.
constexpr Milliseconds QuickWatchWait{1};
// A response that comes later after the end of its wait has been held up on the
// way, and shows what the store had before.
constexpr Milliseconds MaxResponseDelay{300};
// Where callers are refused once the knowledge of the store is too old, a wait
// takes at most this part of that age, since each end of a wait confirms it.
constexpr int WaitsPerAccessAge = 3;
// Interval at which an instance that doesn't read decides anew.
constexpr Milliseconds DecisionPeriod{100};
// Pause after a failed call, doubled up to the batch delay and randomized.
constexpr Milliseconds MinRetryPause{100};

// Returns why all documents are to be read anew at once, or null. `WasWhole`:
// the response is that to such a read, which isn't repeated for its length.
const char *whyReadAll(ReadStatus Status, bool WasWhole) {
  switch (Status) {
  case ReadStatus::HistoryCompacted:
    return "store discarded the history; reading all entries";
  case ReadStatus::EraChanged:
    return "era changed within a list; reading all entries";
  case ReadStatus::ResponseTooLong:
    return WasWhole ? nullptr
                    : "changes exceed the size of a response; reading all "
                      "entries in pages";
  case ReadStatus::Ok:
  case ReadStatus::Unavailable:
    break;
  }
  return nullptr;
}

class ServiceDirectoryReader final : public Plugin {
public:
  bool start(Kernel &Owner) override {
    Runtime = Owner.find<GatewayRuntime>();
    if (!Runtime)
      return false;
    Runtime->Metrics.store(Owner.find<internal::MetricsSink>());
    for (PublishedKind kind : {PublishedKind::Servers, PublishedKind::Routes})
      Threads.emplace_back([this, kind] { read(kind); });
    return true;
  }

  void prepareStop() override {
    Stopping.store(true);
    { std::lock_guard lock(Mutex); }
    Wake.notify_all();
  }

  void stop() override {
    for (std::thread &it : Threads)
      it.join();
  }

private:
  void read(PublishedKind Kind);
  // `ConfirmedAgo`: since the call before showed what the store had.
  void apply(const PublishedUpdate &Update, PublishedKind Kind, bool Whole,
             std::optional<Milliseconds> ConfirmedAgo);
  // Waits until this instance is to read, or stops. Returns the revision up to
  // which it knows the documents, from which a watch can go on.
  StoreRevision waitForTurn(PublishedKind Kind);
  void pause(Milliseconds Time);
  Milliseconds watchWait(std::mt19937_64 &Random) const;

  GatewayRuntime *Runtime = nullptr;
  std::atomic<bool> Stopping{false};
  internal::LeafMutex Mutex;
  internal::ConditionVariable Wake;
  std::vector<std::thread> Threads;
};

void ServiceDirectoryReader::pause(Milliseconds Time) {
  std::unique_lock lock(Mutex);
  Wake.wait_for(lock, Time, [this] { return Stopping.load(); });
}

Milliseconds ServiceDirectoryReader::watchWait(std::mt19937_64 &Random) const {
  auto members = static_cast<int64_t>(Runtime->PeersKnown.load());
  bool selective = Runtime->Readers.isSelective();
  PropagationBudget budget = Runtime->Readers.budget();
  Milliseconds least = selective ? budget.MinWatchWait : LeastWatchWait;
  Milliseconds most = selective ? budget.MaxWatchWait
                                : std::clamp(WatchWaitPerMember * members,
                                             MinWatchWait, MaxWatchWait);
  AccessPolicy access = Runtime->Access.policy();
  if (access.FailClosed) {
    most = std::clamp(access.MaxAge / WaitsPerAccessAge, Milliseconds(1), most);
    least = std::min(least, most);
  }
  std::uniform_int_distribution<int64_t> draw(least.count(), most.count());
  return Milliseconds(draw(Random));
}

void ServiceDirectoryReader::apply(const PublishedUpdate &Update,
                                   PublishedKind Kind, bool Whole,
                                   std::optional<Milliseconds> ConfirmedAgo) {
  ThreadWatch::Work work(Runtime->Threads, "changes from the store");
  Runtime->InvalidServerEntries.fetch_add(Update.InvalidServers);
  if (Update.Routes || Update.IsRoutesInvalid)
    Runtime->Directory.setConfigInvalid(Update.IsRoutesInvalid);
  if (Update.Routes)
    Runtime->applyRoutes(
        Update.Routes, Update.RoutesRevision,
        {UpdateOrigin::Store, "", {Milliseconds(0), ConfirmedAgo}});
  if (Kind != PublishedKind::Servers)
    return;
  if (Whole)
    Runtime->Directory.applyServerList(Update.Servers, Update.Revision,
                                       UpdateOrigin::Store);
  else if (!Update.Servers.empty()) {
    // Up to the last change and not further, so that instances that have read
    // the same changes name the same revision to each other.
    StoreRevision last;
    for (const ServerChange &it : Update.Servers)
      last = std::max(last, it.Revision);
    Runtime->Directory.applyServerChanges(Update.Servers,
                                          Runtime->Directory.serversRevision(),
                                          last, UpdateOrigin::Store);
  }
  Runtime->Directory.onServersKnownUpTo(Update.Revision);
}

StoreRevision ServiceDirectoryReader::waitForTurn(PublishedKind Kind) {
  ServiceDirectory &directory = Runtime->Directory;
  while (!Runtime->Readers.shouldRead(Kind) && !Stopping.load()) {
    directory.setStoreReachable(Kind, Runtime->Readers.isCurrent(Kind) ||
                                          !directory.isComplete());
    pause(DecisionPeriod);
  }
  StoreRevision known;
  if (Kind == PublishedKind::Servers)
    known = directory.serversRevision();
  else if (directory.routes()->Version > 0)
    known = directory.routesRevision();
  return known.Era == directory.storeEra() ? known : StoreRevision();
}

void ServiceDirectoryReader::read(PublishedKind Kind) {
  const char *name = Kind == PublishedKind::Servers ? "servers" : "routes";
  ServiceDirectory &directory = Runtime->Directory;
  PublishedReader reader = Runtime->Source.MakeReader(Kind, Runtime->Memory);
  std::mt19937_64 random(Runtime->Incarnation + static_cast<uint64_t>(Kind));
  StoreRevision revision; // 0: a full read is needed
  // The highest era known when the last full read began. Revisions of another
  // one mean nothing to a watch.
  uint64_t readEra = 0;
  CancelCheck isCancelled = [this] { return Stopping.load(); };
  CancelCheck isWatchCancelled = [&] {
    return Stopping.load() || directory.storeEra() > readEra;
  };
  uint32_t failures = 0;
  bool isFirst = true; // since this instance began to read
  while (!Stopping.load()) {
    if (!Runtime->Readers.shouldRead(Kind)) {
      revision = waitForTurn(Kind);
      readEra = revision.Era;
      failures = 0;
      isFirst = true;
      if (Stopping.load())
        break;
    }
    bool whole = revision.Number == 0 || directory.storeEra() > readEra;
    if (whole)
      readEra = directory.storeEra();
    PublishedUpdate update;
    bool isQuick = std::exchange(isFirst, false) || failures > 0 ||
                   Runtime->Readers.readsOnce(Kind);
    Milliseconds wait = isQuick ? QuickWatchWait : watchWait(random);
    TimePoint calledAt = Clock::now();
    try {
      update = whole ? reader.ReadAll(isCancelled)
                     : reader.Watch(revision.Number, wait, isWatchCancelled);
    } catch (const std::exception &error) {
      // Invalid data from the store must not end the process.
      update.Error = error.what();
    }
    if (Stopping.load())
      break;
    if (!acceptEra(directory, update)) {
      update.Status = ReadStatus::Unavailable;
      update.Error = "response of an earlier era";
    }
    // A full read is of the era that its own response shows.
    if (whole && update.Status == ReadStatus::Ok)
      readEra = std::max(readEra, update.Era.value_or(0));
    if (directory.storeEra() > readEra)
      continue;
    if (update.Status == ReadStatus::Ok && !whole &&
        update.Revision.Number < revision.Number) {
      log(LogLevel::Warn, "directory_reader",
          "revisions of the store went back; reading all entries",
          {{"documents", name},
           {"revision", std::to_string(update.Revision.Number)},
           {"former_revision", std::to_string(revision.Number)},
           {"era", std::to_string(update.Revision.Era)}});
      revision = {};
      continue;
    }
    if (update.Status == ReadStatus::Ok) {
      failures = 0;
      std::optional<Milliseconds> confirmedAgo =
          Runtime->Readers.confirmedAgo(Kind);
      // The pages of a list aren't a snapshot.
      TimePoint dueAt = calledAt + wait + MaxResponseDelay;
      TimePoint confirmedAt = whole ? calledAt : std::min(Clock::now(), dueAt);
      if (!whole && Clock::now() > dueAt)
        directory.onStoreHeldUp();
      directory.setStoreReachable(Kind, true);
      apply(update, Kind, whole, confirmedAgo);
      // Afterwards, since peers take what this instance knows for what the
      // store had then.
      Runtime->Readers.onReadSucceeded(Kind, confirmedAt);
      revision = update.Revision;
      if (!whole && (update.Routes || !update.Servers.empty()))
        pause(Runtime->Readers.budget().BatchDelay);
      continue;
    }
    if (const char *why = whyReadAll(update.Status, whole)) {
      log(LogLevel::Info, "directory_reader", why,
          {{"documents", name},
           {"revision", std::to_string(revision.Number)},
           {"era", std::to_string(revision.Era)}});
      revision = {};
      continue;
    }
    if (++failures == 1)
      log(LogLevel::Warn, "directory_reader", "reading from the store failed",
          {{"documents", name},
           {"why", update.Error},
           {"wait_ms", whole ? "" : std::to_string(wait.count())},
           {"taken_ms", std::to_string(std::chrono::duration_cast<Milliseconds>(
                                           Clock::now() - calledAt)
                                           .count())}});
    Runtime->Readers.onReadFailed();
    // It may have responded to others meanwhile.
    std::optional<TimePoint> confirmed = Runtime->Readers.confirmedAt(Kind);
    directory.setStoreReachable(Kind, confirmed && *confirmed > calledAt);
    Milliseconds most =
        std::min(Runtime->Readers.budget().BatchDelay,
                 MinRetryPause * (1U << std::min(failures - 1, 8U)));
    pause(most / 2 + Milliseconds(static_cast<int64_t>(
                         random() % static_cast<uint64_t>(most.count()))));
  }
}

const PluginRegistration Registration{
    {"directory_reader", Phase::PeerLinks,
     [] { return std::make_unique<ServiceDirectoryReader>(); },
     Program::Gateway}};

} // namespace
} // namespace crocusspur::gateway
