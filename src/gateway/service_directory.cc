#include "gateway/service_directory.h"

#include "gateway/decisions/reservation_queue.h"
#include "json_text.h"
#include "log.h"

#include <algorithm>
#include <cmath>

namespace crocusspur::gateway {
namespace {

using Clock = std::chrono::steady_clock;
using internal::log;
using internal::LogLevel;

// A server that refuses a request despite its reservation is changing its
// stage; peers report that within two rounds.
constexpr Milliseconds ReservedRefusalExclusion{2000};
// An entry expires after three heartbeats without its server, some 4 s.
constexpr Milliseconds ReturnedEntryExclusion{5000};
// Longer than the age of a copy from which the store comes back.
constexpr Milliseconds RemovedEntryRetention{120000};

// Bounds of the work and the log lines for changes of servers' paces.
constexpr Milliseconds PaceCheckPeriod{100};
constexpr Milliseconds PaceLogPeriod{1000};
constexpr uint32_t MaxPaceLines = 5;
// Peers are told of changes at most twice a second.
constexpr Milliseconds PaceNotificationPeriod{500};

const char *toString(UpdateOrigin Origin) {
  return Origin == UpdateOrigin::Store ? "store" : "peer";
}

std::string ageText(std::optional<Milliseconds> Age) {
  return Age ? std::to_string(Age->count()) : "";
}

// The first of the entries, which bounds the length of the line.
void logUnsupported(const RouteDocument &Document) {
  constexpr size_t MaxLogged = 5;
  if (Document.Unsupported.empty())
    return;
  std::string entries;
  for (size_t i = 0; i < std::min(MaxLogged, Document.Unsupported.size()); ++i)
    entries += (i > 0 ? "; " : "") + Document.Unsupported[i].str();
  log(LogLevel::Error, "directory",
      "requests to some entries of the configuration are refused, since this "
      "build doesn't support them",
      {{"version", std::to_string(Document.Version)},
       {"count", std::to_string(Document.Unsupported.size())},
       {"entries", entries}});
}

std::string paceText(const PaceEstimate &Item) {
  std::string out =
      "{\"value\":" + std::to_string(Item.Pace) +
      ",\"placement\":" + std::to_string(Item.Placement) +
      ",\"unit_ms\":" + std::to_string(Item.UnitMs) +
      ",\"reported_slowdown\":" + std::to_string(Item.Slowdown) +
      ",\"samples\":" + std::to_string(std::llround(Item.Samples));
  if (Item.Samples >= 1)
    out += ",\"age_ms\":" + std::to_string(Item.Age.count());
  return out + "}";
}

std::string kneeText(const ServerCapacity &Item) {
  return "{\"value\":" + std::to_string(Item.Knee) +
         ",\"known\":" + (Item.Known ? "true" : "false") +
         ",\"samples\":" + std::to_string(Item.Samples) +
         ",\"age_ms\":" + std::to_string(Item.Age.count()) + "}";
}

} // namespace

ServiceDirectory::ServiceDirectory(const GatewaySettings &Values, uint64_t Seed)
    : Values(Values), Document(std::make_shared<RouteDocument>()),
      Registry(Values.FailureDomain, Seed),
      Retries(Values.Retries, Clock::now()),
      Random(Seed ^ 0x9E3779B97F4A7C15ULL) {
  Registry.setPaceSettings(Values.Pace);
}

void ServiceDirectory::setServersConfirmedAgo(ConfirmedAgoHook Hook) {
  ServersConfirmedAgo = std::move(Hook);
}

void ServiceDirectory::setServerEndListener(ServerEndListener Listener) {
  OnServerEnd = std::move(Listener);
}

bool ServiceDirectory::applyRoutes(RouteDocumentPtr NewDocument,
                                   StoreRevision Revision,
                                   const ConfigSource &Source) {
  RoutesUpdate update = RoutesUpdate::Ignored;
  {
    std::lock_guard lock(Mutex);
    update = applyRoutesLocked(std::move(NewDocument), Revision, Source);
  }
  if (update != RoutesUpdate::Ignored)
    notify();
  return update == RoutesUpdate::InForce;
}

ConfigAge ServiceDirectory::configAge() const {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  auto since = [now](std::optional<TimePoint> At) {
    return At ? std::optional(
                    std::chrono::duration_cast<Milliseconds>(now - *At))
              : std::nullopt;
  };
  return {since(ConfigReadAt), since(ConfigAbsentAt)};
}

ServiceDirectory::RoutesUpdate
ServiceDirectory::applyRoutesLocked(RouteDocumentPtr NewDocument,
                                    StoreRevision Revision,
                                    const ConfigSource &Source) {
  if (std::pair(NewDocument->Version, Revision) <=
      std::pair(Document->Version, RoutesRevision)) {
    if (NewDocument->Version < Document->Version &&
        Revision.Era > RoutesRevision.Era)
      log(LogLevel::Warn, "directory",
          "store shows an older configuration; keeping the active one",
          {{"version", std::to_string(NewDocument->Version)},
           {"active_version", std::to_string(Document->Version)},
           {"era", std::to_string(Revision.Era)},
           {"origin", toString(Source.Origin)}});
    return RoutesUpdate::Ignored;
  }
  RoutesRevision = Revision;
  // The same text is written again after the store has lost it.
  if (NewDocument->Version == Document->Version &&
      NewDocument->Text == Document->Text)
    return RoutesUpdate::SameText;
  TimePoint now = Clock::now();
  auto before = [now](std::optional<Milliseconds> Age) {
    return Age ? std::optional(now - *Age) : std::nullopt;
  };
  ConfigReadAt = before(Source.Age.ReadAgo);
  ConfigAbsentAt = before(Source.Age.AtMost);
  log(LogLevel::Info, "directory", "configuration in force",
      {{"version", std::to_string(NewDocument->Version)},
       {"former_version", std::to_string(Document->Version)},
       {"routes", std::to_string(NewDocument->Routes.size())},
       {"accounts", std::to_string(NewDocument->Accounts.size())},
       {"keys", std::to_string(NewDocument->Accounts.keyCount())},
       {"revision", std::to_string(Revision.Number)},
       {"era", std::to_string(Revision.Era)},
       {"origin", toString(Source.Origin)},
       {"peer", Source.Peer},
       {"read_ago_ms", ageText(Source.Age.ReadAgo)},
       {"age_ms", ageText(Source.Age.AtMost)}});
  logUnsupported(*NewDocument);
  Document = std::move(NewDocument);
  return RoutesUpdate::InForce;
}

RouteDocumentPtr ServiceDirectory::routes() const {
  std::lock_guard lock(Mutex);
  return Document;
}

StoreRevision ServiceDirectory::routesRevision() const {
  std::lock_guard lock(Mutex);
  return RoutesRevision;
}

bool ServiceDirectory::onStoreEra(uint64_t Era, UpdateOrigin Origin) {
  bool own = Origin == UpdateOrigin::Store;
  uint64_t former = 0;
  {
    std::lock_guard lock(Mutex);
    if (own && Era < OwnEra)
      return false;
    if (own)
      OwnEra = Era;
    former = HighestEra.load();
    if (Era <= former)
      return true;
    HighestEra.store(Era);
  }
  log(LogLevel::Info, "directory",
      former == 0 ? "era of the store" : "store came back from an older copy",
      {{"era", std::to_string(Era)},
       {"former_era", std::to_string(former)},
       {"origin", toString(Origin)}});
  if (former != 0)
    notify();
  return true;
}

uint64_t ServiceDirectory::ownStoreEra() const {
  std::lock_guard lock(Mutex);
  return OwnEra;
}

void ServiceDirectory::logServer(const ServerChange &Change,
                                 UpdateOrigin Origin) const {
  internal::LogFields fields{
      {"server", Change.Id},
      {"revision", std::to_string(Change.Revision.Number)},
      {"era", std::to_string(Change.Revision.Era)},
      {"origin", toString(Origin)}};
  if (Change.Entry) {
    fields.emplace_back("service", Change.Entry->Service);
    fields.emplace_back("address", Change.Entry->Address);
    fields.emplace_back("version", Change.Entry->Version);
    fields.emplace_back("stage", nameOf(Change.Entry->Stage));
    fields.emplace_back("leaving", Change.Entry->Leaving ? "true" : "false");
    fields.emplace_back("known_leaving",
                        Registry.leaving().contains(processOf(*Change.Entry))
                            ? "true"
                            : "false");
    fields.emplace_back("started_at", std::to_string(Change.Entry->StartedAt));
  }
  log(LogLevel::Info, "directory",
      Change.Entry ? "server entry changed" : "server entry removed", fields);
}

TimePoint ServiceDirectory::lastKnownAll(TimePoint Now) const {
  if (!ServersConfirmedAgo)
    return Now;
  std::optional<Milliseconds> ago = ServersConfirmedAgo();
  return ago ? Now - *ago : TimePoint();
}

void ServiceDirectory::applyLocked(const ServerChange &Change,
                                   UpdateOrigin Origin, TimePoint Now,
                                   TimePoint WrittenAfter) {
  StoreRevision &known = Revisions[Change.Id];
  if (Change.Revision <= known)
    return;
  bool isNewEra = Change.Revision.Era > known.Era;
  known = Change.Revision;
  onListEra(Change.Revision.Era, Now);
  const ServerEntry *former = Registry.find(Change.Id);
  if (Change.Entry || former)
    logServer(Change, Origin);
  // A peer tells the latest change of each server, behind which others may be
  // hidden that brought another process.
  if (Origin == UpdateOrigin::Peer &&
      !(former && Change.Entry &&
        processOf(*former) == processOf(*Change.Entry)))
    Versions.onGap(Now);
  if (Change.Entry) {
    bool restarted = former && former->StartedAt != Change.Entry->StartedAt;
    Registry.apply(*Change.Entry, Now, WrittenAfter);
    // An older copy shows servers that have ended since. Their entries expire.
    auto removed = RemovedProcesses.find(Change.Id);
    if (removed != RemovedProcesses.end()) {
      if (isNewEra && removed->second.first == processOf(*Change.Entry))
        Registry.exclude(Change.Id, Now + ReturnedEntryExclusion);
      RemovedProcesses.erase(removed);
    }
    Versions.onServer(*Change.Entry, Now);
    if (restarted)
      Ended.push_back({Change.Id, Change.Entry->StartedAt});
    onAddressNamed(*Change.Entry);
    return;
  }
  // The last quarter of the limit is left for requests in flight to the server.
  TimePoint lastUse = Now + Values.MaxDrainTime * 3 / 4;
  // Entries of servers that are alive expire as well while the store is away,
  // and are lost if it comes back from an older copy.
  if (std::optional<TimePoint> restoredAt = entriesRestoredAt(Now))
    lastUse = *restoredAt + Values.RestoredEntryGrace;
  else if (former)
    onServerGone(*former, Now);
  Registry.remove(Change.Id, lastUse);
  Versions.onServerGone(Change.Id, lastUse);
}

void ServiceDirectory::onServerGone(const ServerEntry &Entry, TimePoint Now) {
  std::erase_if(RemovedProcesses, [&](const auto &It) {
    return Now - It.second.second > RemovedEntryRetention;
  });
  RemovedProcesses[Entry.Id] = {processOf(Entry), Now};
  if (!Registry.isLeaving(Entry.Id))
    Ended.push_back({Entry.Id, std::nullopt});
}

std::optional<TimePoint>
ServiceDirectory::entriesRestoredAt(TimePoint Now) const {
  if (!StoreReachable[static_cast<size_t>(PublishedKind::Servers)].load())
    return Now;
  TimePoint latest =
      std::max(StoreStateChangedAt, EraChangedAt.value_or(TimePoint()));
  if (Now - latest >= Values.RestoredEntryGrace)
    return std::nullopt;
  return latest;
}

void ServiceDirectory::onListEra(uint64_t Era, TimePoint Now) {
  if (Era > ListRevision.Era && ListRevision != StoreRevision())
    EraChangedAt = Now;
}

bool ServiceDirectory::isServiceKnown(const std::string &Service) const {
  if (Document->Version == 0 || Document->Services.contains(Service))
    return true;
  return std::ranges::any_of(Document->Routes, [&](const PathRoute &Route) {
    return std::ranges::any_of(
        Route.Services, [&](const auto &It) { return It.Service == Service; });
  });
}

std::vector<ServerEntry>
ServiceDirectory::claimsOnAddress(const ServerEntry &Entry) const {
  std::vector<ServerEntry> all = Registry.sharingAddress(Entry);
  std::erase_if(all, [this](const ServerEntry &It) {
    return !isServiceKnown(It.Service);
  });
  return all;
}

void ServiceDirectory::onAddressNamed(const ServerEntry &Entry) {
  if (!isServiceKnown(Entry.Service))
    return;
  std::vector<ServerEntry> all = claimsOnAddress(Entry);
  if (all.empty())
    return;
  all.push_back(Entry);
  auto revisionOf = [this](const ServerEntry &It) {
    return Revisions.at(It.Id);
  };
  auto latest = std::ranges::max_element(all, {}, revisionOf);
  for (const ServerEntry &it : all) {
    if (it.Id == latest->Id || !Registry.onAddressClaimed(it.Id, latest->Id))
      continue;
    log(LogLevel::Info, "directory", "server replaced at its address",
        {{"server", it.Id},
         {"address", it.Address},
         {"successor", latest->Id},
         {"leaving", Registry.isLeaving(it.Id) ? "true" : "false"}});
    if (!Registry.isLeaving(it.Id))
      Ended.push_back({it.Id, std::nullopt});
  }
}

void ServiceDirectory::onMisdirected(const ServerProcess &Process) {
  std::lock_guard lock(Mutex);
  const ServerEntry *entry = Registry.find(Process.Id);
  if (!entry || processOf(*entry) != Process ||
      Registry.sharingAddress(*entry).empty())
    return;
  log(LogLevel::Info, "directory",
      "another server responds at an address that several entries name",
      {{"server", Process.Id}, {"address", Process.Address}});
  Registry.onClaimDisproved(Process);
  Registry.onStageRefused(Process.Id, /*Misdirected=*/true, Clock::now());
}

void ServiceDirectory::applyServer(const ServerChange &Change,
                                   UpdateOrigin Origin) {
  TimePoint now = Clock::now();
  TimePoint knownAll = lastKnownAll(now);
  {
    std::lock_guard lock(Mutex);
    applyLocked(Change, Origin, now, knownAll);
  }
  reportEnded();
}

void ServiceDirectory::applyServerChanges(
    const std::vector<ServerChange> &Changes, StoreRevision Since,
    StoreRevision Revision, UpdateOrigin Origin) {
  TimePoint now = Clock::now();
  TimePoint knownAll = lastKnownAll(now);
  bool isNew = false;
  {
    std::lock_guard lock(Mutex);
    for (const ServerChange &it : Changes)
      applyLocked(it, Origin, now, knownAll);
    isNew = ListReceived && ListRevision >= Since && Revision > ListRevision;
    if (isNew)
      ListRevision = Revision;
  }
  reportEnded();
  if (isNew)
    notify();
}

void ServiceDirectory::reportEnded() {
  std::vector<EndedProcess> ended;
  {
    std::lock_guard lock(Mutex);
    ended.swap(Ended);
  }
  if (!OnServerEnd)
    return;
  for (const EndedProcess &it : ended)
    OnServerEnd(it.ServerId, it.StartedAt);
}

void ServiceDirectory::applyServerList(const std::vector<ServerChange> &Entries,
                                       StoreRevision Revision,
                                       UpdateOrigin Origin) {
  TimePoint now = Clock::now();
  TimePoint knownAll = lastKnownAll(now);
  {
    std::lock_guard lock(Mutex);
    onListEra(Revision.Era, now);
    std::set<std::string> listed;
    for (const ServerChange &it : Entries) {
      listed.insert(it.Id);
      applyLocked(it, Origin, now, knownAll);
    }
    for (const ServerEntry &it : Registry.entries())
      if (!listed.contains(it.Id) && Revisions[it.Id] < Revision)
        applyLocked({it.Id, Revision, std::nullopt}, Origin, now, knownAll);
    if (ListRevision < Revision)
      ChangesKnownSince = ListRevision = Revision;
    ListReceived = true;
    Versions.onListRead(now);
  }
  reportEnded();
  notify();
}

std::vector<ServerChange> ServiceDirectory::servers() const {
  std::lock_guard lock(Mutex);
  std::vector<ServerChange> all;
  for (ServerEntry &it : Registry.entries()) {
    StoreRevision revision = Revisions.at(it.Id);
    std::string id = it.Id;
    all.push_back({id, revision, std::move(it)});
  }
  return all;
}

std::optional<std::vector<ServerChange>>
ServiceDirectory::serversChangedAfter(StoreRevision Since) const {
  std::vector<ServerChange> all = servers();
  std::erase_if(all,
                [&](const ServerChange &It) { return It.Revision <= Since; });
  std::lock_guard lock(Mutex);
  if (Since < ChangesKnownSince)
    return std::nullopt;
  std::set<std::string> registered;
  for (const ServerEntry &it : Registry.entries())
    registered.insert(it.Id);
  for (const auto &[id, revision] : Revisions)
    if (revision > Since && !registered.contains(id))
      all.push_back({id, revision, std::nullopt});
  return all;
}

StoreRevision ServiceDirectory::serversRevision() const {
  std::lock_guard lock(Mutex);
  return ListReceived ? ListRevision : StoreRevision();
}

StoreRevision ServiceDirectory::serversKnownUpTo() const {
  std::lock_guard lock(Mutex);
  if (!ListReceived)
    return {};
  return KnownUpTo.Era == ListRevision.Era ? std::max(KnownUpTo, ListRevision)
                                           : ListRevision;
}

void ServiceDirectory::onServersKnownUpTo(StoreRevision Revision) {
  std::lock_guard lock(Mutex);
  KnownUpTo = std::max(KnownUpTo, Revision);
}

void ServiceDirectory::setStoreReachable(PublishedKind Kind, bool Reachable) {
  std::lock_guard lock(Mutex);
  if (StoreReachable[static_cast<size_t>(Kind)].exchange(Reachable) ==
      Reachable)
    return;
  log(Reachable ? LogLevel::Info : LogLevel::Warn, "directory",
      Reachable ? "store reachable again" : "store lost",
      {{"store", Values.StoreAddress},
       {"documents", Kind == PublishedKind::Servers ? "servers" : "routes"}});
  if (Kind == PublishedKind::Servers)
    StoreStateChangedAt = Clock::now();
}

bool ServiceDirectory::isStoreReachable() const {
  return StoreReachable[0].load() && StoreReachable[1].load();
}

bool ServiceDirectory::isComplete() const {
  std::lock_guard lock(Mutex);
  return Document->Version > 0 && ListReceived;
}

std::optional<ServerChoice> ServiceDirectory::choose(const ServerQuery &Query) {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  Registry.expire(now);
  return Registry.choose(Query, now);
}

std::vector<ServerChoice> ServiceDirectory::rank(const ServerQuery &Query) {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  Registry.expire(now);
  return Registry.rank(Query, now);
}

ServerRegistry::Fullness
ServiceDirectory::fullness(const ServerQuery &Query) const {
  std::lock_guard lock(Mutex);
  return Registry.fullness(Query, Clock::now());
}

std::vector<ServerChoice>
ServiceDirectory::rankSlowestFirst(const ServerQuery &Query) {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  Registry.expire(now);
  return Registry.rankSlowestFirst(Query, now);
}

bool ServiceDirectory::usable(const ServerChoice &Server) const {
  std::lock_guard lock(Mutex);
  return Registry.usable(Server, Clock::now());
}

bool ServiceDirectory::isReplaced(const ServerChoice &Server) const {
  std::lock_guard lock(Mutex);
  const ServerEntry *entry = Registry.find(Server.Id);
  return entry && processOf(*entry) != processOf(Server);
}

ProcessNow ServiceDirectory::processNow(const std::string &ServerId) const {
  std::lock_guard lock(Mutex);
  const ServerEntry *entry = Registry.find(ServerId);
  if (!entry)
    return {};
  return {processOf(*entry), Registry.maxEntryAge(ServerId, Clock::now())};
}

std::optional<TimePoint> ServiceDirectory::entriesWholeSince() const {
  std::lock_guard lock(Mutex);
  std::optional<TimePoint> covered = Versions.coveredSince();
  if (!covered || entriesRestoredAt(Clock::now()))
    return std::nullopt;
  return std::max({*covered, StoreStateChangedAt, StoreHeldUpAt,
                   EraChangedAt.value_or(TimePoint())});
}

void ServiceDirectory::onStoreHeldUp() {
  std::lock_guard lock(Mutex);
  StoreHeldUpAt = Clock::now();
}

bool ServiceDirectory::isLatestProcess(const ServerProcess &Process) const {
  std::lock_guard lock(Mutex);
  if (const ServerEntry *entry = Registry.find(Process.Id))
    return processOf(*entry) == Process;
  auto removed = RemovedProcesses.find(Process.Id);
  return removed != RemovedProcesses.end() && removed->second.first == Process;
}

bool ServiceDirectory::entriesMayBeOld() const {
  std::lock_guard lock(Mutex);
  return entriesRestoredAt(Clock::now()).has_value();
}

std::optional<std::string>
ServiceDirectory::successorVersion(const ServerChoice &Server) const {
  std::lock_guard lock(Mutex);
  const ServerEntry *entry = Registry.find(Server.Id);
  if (entry && processOf(*entry) == processOf(Server))
    return std::nullopt;
  if (entry && entry->Address == Server.Address)
    return entry->Version;
  // A process at another address has no part in connections to this one.
  ServerEntry former;
  former.Id = Server.Id;
  former.Address = Server.Address;
  for (const ServerEntry &it : claimsOnAddress(former))
    if (it.Version != Server.Version)
      return it.Version;
  return std::nullopt;
}

std::optional<VersionKey>
ServiceDirectory::soleVersion(const std::string &Service) const {
  std::lock_guard lock(Mutex);
  return Versions.soleVersion(Service, Clock::now() - MaxStreamAge);
}

bool ServiceDirectory::isLeaving(const std::string &ServerId) const {
  std::lock_guard lock(Mutex);
  return Registry.isLeaving(ServerId);
}

bool ServiceDirectory::onServerLeaving(const LeavingServer &Item,
                                       LeavingOrigin Origin,
                                       const std::string &Peer) {
  {
    std::lock_guard lock(Mutex);
    if (!Registry.addLeaving(Item, Clock::now()))
      return false;
    bool told = Origin == LeavingOrigin::Peer;
    log(LogLevel::Info, "directory", "server leaves",
        {{"server", Item.Process.Id},
         {"address", Item.Process.Address},
         {"started_at", std::to_string(Item.Process.StartedAt)},
         {"told_by", told ? "peer" : "response"},
         {"peer", Peer},
         {"age_ms", std::to_string(Item.Age.count())}});
  }
  notify();
  return true;
}

void ServiceDirectory::notify() { OnChange.call(); }

void ServiceDirectory::onServerResting(const ServerProcess &Process,
                                       Milliseconds Time) {
  std::lock_guard lock(Mutex);
  log(LogLevel::Info, "directory", "server wants no request for some time",
      {{"server", Process.Id},
       {"started_at", std::to_string(Process.StartedAt)},
       {"time_ms", std::to_string(Time.count())}});
  Registry.rest(Process, Time, Clock::now());
}

std::optional<TimePoint>
ServiceDirectory::restingUntil(const ServerQuery &Query) const {
  std::lock_guard lock(Mutex);
  return Registry.restingUntil(Query, Clock::now());
}

void ServiceDirectory::setChangeListener(std::function<void()> Listener) {
  OnChange.set(std::move(Listener));
}

std::vector<LeavingServer>
ServiceDirectory::leavingServers(std::optional<Milliseconds> MaxAge) const {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  return MaxAge ? Registry.leaving().known(now, *MaxAge)
                : Registry.leaving().known(now);
}

uint64_t ServiceDirectory::leavingDigest() const {
  std::lock_guard lock(Mutex);
  return Registry.leaving().digest(Clock::now());
}

uint32_t ServiceDirectory::serversIn(const std::string &Service,
                                     ServerStage Stage) const {
  std::lock_guard lock(Mutex);
  return Registry.count(Service, Stage);
}

bool ServiceDirectory::namesProcess(const ServerChoice &Server) const {
  const ServerEntry *entry = Registry.find(Server.Id);
  return entry && processOf(*entry) == processOf(Server);
}

void ServiceDirectory::callStarted(const ServerChoice &Server, double Weight) {
  std::lock_guard lock(Mutex);
  if (namesProcess(Server))
    Registry.callStarted(Server.Id, Weight);
}

void ServiceDirectory::callEnded(const ServerChoice &Server, double Weight,
                                 CallResult Result) {
  std::lock_guard lock(Mutex);
  if (namesProcess(Server))
    Registry.callEnded(Server.Id, Weight, Result, Clock::now());
}

void ServiceDirectory::onLoadReport(const ServerChoice &Server,
                                    const ServerLoad &Load) {
  std::lock_guard lock(Mutex);
  if (namesProcess(Server))
    Registry.onLoadReport(Server.Id, Load, Clock::now());
}

void ServiceDirectory::onCallTimed(const ServerChoice &Server, double Work,
                                   Milliseconds Taken) {
  bool changed = false;
  {
    std::lock_guard lock(Mutex);
    TimePoint now = Clock::now();
    ++PacesCounted.Samples;
    Registry.onCallTimed(Server, Work, Taken, now);
    changed = logPaceChanges("own calls", now);
  }
  if (changed)
    notify();
}

void ServiceDirectory::onReportedSlowdown(const ServerProcess &Process,
                                          double Factor) {
  std::lock_guard lock(Mutex);
  Registry.onReportedSlowdown(Process, Factor, Clock::now());
}

void ServiceDirectory::mergePaces(const std::vector<PaceSummary> &Items) {
  if (Items.empty())
    return;
  bool changed = false;
  {
    std::lock_guard lock(Mutex);
    TimePoint now = Clock::now();
    for (const PaceSummary &it : Items)
      PacesCounted.Merged += Registry.mergePace(it, now) ? 1 : 0;
    changed = logPaceChanges("a peer's evidence", now);
  }
  if (changed)
    notify();
}

std::vector<PaceSummary>
ServiceDirectory::pacesChangedSince(TimePoint Since, size_t MaxCount) const {
  std::lock_guard lock(Mutex);
  return Registry.pacesChangedSince(Since, Clock::now(), MaxCount);
}

std::optional<Milliseconds>
ServiceDirectory::expectedDuration(const std::string &ServerId,
                                   double Work) const {
  std::lock_guard lock(Mutex);
  return Registry.expectedDuration(ServerId, Work, Clock::now());
}

DispatchServers
ServiceDirectory::dispatchServers(const std::string &Service) const {
  std::lock_guard lock(Mutex);
  return Registry.dispatchServers(Service, Clock::now());
}

std::optional<ServerChoice>
ServiceDirectory::chosen(const ServerQuery &Query, const std::string &ServerId,
                         int64_t StartedAt) const {
  std::lock_guard lock(Mutex);
  return Registry.chosen(Query, ServerId, StartedAt, Clock::now());
}

void ServiceDirectory::setPaceSettings(const PaceSettings &Value) {
  std::lock_guard lock(Mutex);
  Registry.setPaceSettings(Value);
}

ServiceDirectory::PaceCounts ServiceDirectory::paceCounts() const {
  std::lock_guard lock(Mutex);
  return PacesCounted;
}

std::map<std::string, uint32_t> ServiceDirectory::slowServers() const {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  std::map<std::string, uint32_t> slow;
  for (const auto &[service, table] : Registry.paces())
    for (const PaceEstimate &it : table.estimates(now))
      slow[service] += it.Placement > 1 ? 1 : 0;
  return slow;
}

bool ServiceDirectory::logPaceChanges(const char *Reason, TimePoint Now) {
  if (Now - PacesCheckedAt < PaceCheckPeriod)
    return false;
  PacesCheckedAt = Now;
  logKneeChanges(Reason, Now);
  bool changed = false;
  for (const PaceChange &it : Registry.takePaceChanges(Now)) {
    ++PacesCounted.Changes;
    changed = true;
    if (Now - PacesLoggedAt >= PaceLogPeriod) {
      PacesLoggedAt = Now;
      PacesLogged = 0;
    }
    if (++PacesLogged > MaxPaceLines)
      continue;
    internal::LogFields fields = {
        {"server", it.Now.ServerId},
        {"stage", nameOf(it.Now.Stage)},
        {"placement_pace", std::to_string(it.Now.Placement)},
        {"former", std::to_string(it.Former)},
        {"pace", std::to_string(it.Now.Pace)},
        {"unit_ms", std::to_string(it.Now.UnitMs)},
        {"reported_slowdown", std::to_string(it.Now.Slowdown)},
        {"samples", std::to_string(std::llround(it.Now.Samples))},
        {"age_ms", std::to_string(it.Now.Age.count())},
        {"reason", Reason}};
    log(LogLevel::Info, "directory", "pace of a server changed", fields);
  }
  if (!changed || Now - PacesNotifiedAt < PaceNotificationPeriod)
    return false;
  PacesNotifiedAt = Now;
  return true;
}

void ServiceDirectory::logKneeChanges(const char *Source, TimePoint Now) {
  for (const KneeChange &it : Registry.takeKneeChanges(Now)) {
    ++PacesCounted.KneeChanges;
    if (Now - KneesLoggedAt >= PaceLogPeriod) {
      KneesLoggedAt = Now;
      KneesLogged = 0;
    }
    if (++KneesLogged > MaxPaceLines)
      continue;
    log(LogLevel::Info, "directory", "knee of a server changed",
        {{"server", it.Now.ServerId},
         {"stage", nameOf(it.Now.Stage)},
         {"knee", std::to_string(it.Now.Knee)},
         {"former", std::to_string(it.Former)},
         {"fast_up_to", std::to_string(it.Now.FastUpTo)},
         {"samples", std::to_string(it.Now.Samples)},
         {"age_ms", std::to_string(it.Now.Age.count())},
         {"reason", it.Reason},
         {"source", Source}});
  }
}

std::map<std::string, ServiceDirectory::KneeCounts>
ServiceDirectory::kneeCounts() const {
  std::lock_guard lock(Mutex);
  TimePoint now = Clock::now();
  std::map<std::string, KneeCounts> counts;
  for (const auto &[service, table] : Registry.knees())
    counts[service] = {table.countKnown(now),
                       table.differ(ServerStage::Whole, now) ||
                           table.differ(ServerStage::Prefill, now) ||
                           table.differ(ServerStage::Decode, now)};
  return counts;
}

void ServiceDirectory::onRequest(const std::string &Service) {
  std::lock_guard lock(Mutex);
  Retries.onRequest(Service, Clock::now());
}

bool ServiceDirectory::tryConsumeRetry(const std::string &Service) {
  std::lock_guard lock(Mutex);
  bool granted =
      Retries.tryConsumeRetry(Service, Instances.load(), Clock::now());
  RetryCounts &counts = RetriesCounted[Service];
  ++(granted ? counts.Granted : counts.Denied);
  return granted;
}

std::map<std::string, ServiceDirectory::RetryCounts>
ServiceDirectory::retryCounts() const {
  std::lock_guard lock(Mutex);
  return RetriesCounted;
}

void ServiceDirectory::setRetryAllowance(RetryAllowance Value) {
  std::lock_guard lock(Mutex);
  Retries.setAllowance(Value);
}

uint64_t ServiceDirectory::reservedTokens(const std::string &Service,
                                          const GenerationSize &Size,
                                          uint64_t Capacity) {
  std::lock_guard lock(Mutex);
  return tokensToReserve(Outputs[Service], Size, Capacity);
}

ServiceDirectory::ServersCopy ServiceDirectory::copyServers() const {
  std::lock_guard lock(Mutex);
  return {Registry, Outputs};
}

void ServiceDirectory::onOutputFinished(const std::string &Service,
                                        const GenerationSize &Size,
                                        uint64_t Tokens) {
  std::lock_guard lock(Mutex);
  Outputs[Service].addSample(Size, Tokens);
}

void ServiceDirectory::onPrompt(const std::string &Service, uint64_t Tokens) {
  std::lock_guard lock(Mutex);
  Stages[Service].Meter.onPrompt(Tokens, Clock::now());
}

void ServiceDirectory::onPrefillFinished(const std::string &Service,
                                         uint64_t Tokens, Milliseconds Taken) {
  std::lock_guard lock(Mutex);
  Stages[Service].Rate.add(Tokens, Taken);
}

void ServiceDirectory::onReservationEnded(const std::string &Service,
                                          Milliseconds Waited, bool Got) {
  std::lock_guard lock(Mutex);
  Stages[Service].Meter.onReservationEnded(Waited, Got, Clock::now());
}

std::vector<ServiceStats> ServiceDirectory::serviceStats() {
  std::lock_guard lock(Mutex);
  std::vector<ServiceStats> all;
  for (auto &[service, stage] : Stages)
    all.push_back(
        {service, stage.Meter.rates(Clock::now()), stage.Rate.value()});
  return all;
}

std::optional<ServerStage>
ServiceDirectory::stageOf(const std::string &ServerId) const {
  std::lock_guard lock(Mutex);
  const ServerEntry *entry = Registry.find(ServerId);
  return entry ? std::optional(entry->Stage) : std::nullopt;
}

void ServiceDirectory::onStageChangeOrdered(const std::string &ServerId,
                                            uint64_t Fence, Milliseconds Time) {
  std::lock_guard lock(Mutex);
  uint64_t &knownFence = OrderFences[ServerId];
  if (Fence <= knownFence)
    return;
  knownFence = Fence;
  Registry.exclude(ServerId, Clock::now() + Time);
}

void ServiceDirectory::onStageRefused(const ServerChoice &Server,
                                      ServerStage Stage, bool Misdirected) {
  if (Misdirected)
    log(LogLevel::Info, "directory", "server isn't in its registered stage",
        {{"server", Server.Id},
         {"started_at", std::to_string(Server.StartedAt)},
         {"stage", nameOf(Stage)}});
  std::lock_guard lock(Mutex);
  if (namesProcess(Server))
    Registry.onStageRefused(Server.Id, Misdirected, Clock::now());
}

void ServiceDirectory::onReservedRequestRefused(const ServerChoice &Server) {
  std::lock_guard lock(Mutex);
  if (namesProcess(Server))
    Registry.exclude(Server.Id, Clock::now() + ReservedRefusalExclusion);
}

bool ServiceDirectory::isReturning(const std::string &RouteName,
                                   Milliseconds TimeLeft) {
  std::lock_guard lock(Mutex);
  Milliseconds &most = MaxTimeLeft[RouteName];
  most = std::max(most, TimeLeft);
  return isReturningCaller(TimeLeft, most);
}

std::vector<ServerChoice>
ServiceDirectory::serverSubset(const std::string &Service,
                               const std::vector<ServerChoice> &Ranked,
                               uint64_t Tokens, size_t Count) const {
  std::lock_guard lock(Mutex);
  auto it = SizeAffinities.find(Service);
  return subsetFor(Ranked,
                   it == SizeAffinities.end()
                       ? std::nullopt
                       : it->second.cumulativeShare(Tokens),
                   Count);
}

void ServiceDirectory::onMemoryRequested(const std::string &Service,
                                         uint64_t Tokens) {
  std::lock_guard lock(Mutex);
  SizeAffinities[Service].add(Tokens);
}

std::vector<ServerChoice> ServiceDirectory::others(const ServerChoice &Server) {
  std::vector<ServerChoice> all;
  for (ServerStage stage :
       {ServerStage::Whole, ServerStage::Decode, ServerStage::Prefill})
    for (ServerChoice &it : rank({Server.Service, stage, {Server.Id}, {}}))
      all.push_back(std::move(it));
  return all;
}

uint32_t ServiceDirectory::serversOf(const std::string &Service) const {
  return serversIn(Service, ServerStage::Whole) +
         serversIn(Service, ServerStage::Prefill) +
         serversIn(Service, ServerStage::Decode);
}

bool ServiceDirectory::hasServer(const std::string &Service,
                                 ServerStage Stage) const {
  std::lock_guard lock(Mutex);
  return Registry.hasServer(Service, Stage, Clock::now());
}

double ServiceDirectory::randomFraction() {
  std::lock_guard lock(Mutex);
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

uint64_t ServiceDirectory::randomNumber() {
  std::lock_guard lock(Mutex);
  return Random();
}

std::string ServiceDirectory::dump() const {
  std::lock_guard lock(Mutex);
  std::string out =
      "{\"config_version\":" + std::to_string(Document->Version) +
      ",\"routes\":" + std::to_string(Document->Routes.size()) +
      ",\"unsupported_entries\":" +
      std::to_string(Document->Unsupported.size()) +
      ",\"config_invalid\":" + (ConfigInvalid.load() ? "true" : "false") +
      ",\"servers_revision\":" + std::to_string(ListRevision.Number) +
      ",\"servers_era\":" + std::to_string(ListRevision.Era) +
      ",\"store_reachable\":" + (isStoreReachable() ? "true" : "false") +
      ",\"instances\":" + std::to_string(Instances.load()) + ",\"servers\":[";
  const char *separator = "";
  TimePoint now = Clock::now();
  std::map<std::pair<std::string, ServerStage>, PaceEstimate> paces;
  for (const auto &[service, table] : Registry.paces())
    for (PaceEstimate &it : table.estimates(now))
      paces[{it.ServerId, it.Stage}] = it;
  for (const ServerRegistry::Estimate &it : Registry.estimates(now)) {
    out += separator + std::string("{\"id\":") + internal::jsonString(it.Id) +
           ",\"own_load\":" + std::to_string(it.OwnLoad) +
           ",\"failure_share\":" + std::to_string(it.FailureRate) +
           ",\"avoided\":" + (it.Avoided ? "true" : "false") +
           ",\"leaving\":" + (it.Leaving ? "true" : "false");
    const ServerEntry *entry = Registry.find(it.Id);
    auto pace = entry ? paces.find({it.Id, entry->Stage}) : paces.end();
    if (pace != paces.end())
      out += ",\"pace\":" + paceText(pace->second);
    if (ServerCapacity capacity = Registry.capacity(it.Id, now);
        capacity.Samples > 0)
      out += ",\"knee\":" + kneeText(capacity);
    out += "}";
    separator = ",";
  }
  return out + "]}";
}

} // namespace crocusspur::gateway
