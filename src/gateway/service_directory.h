// Routes and servers known to an instance, shared by its threads, and the
// decisions that depend on them. All functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_SERVICE_DIRECTORY_H
#define CROCUSSPUR_GATEWAY_SERVICE_DIRECTORY_H

#include "checked_mutex.h"
#include "gateway/decisions/demand_meter.h"
#include "gateway/decisions/fleet/config_age.h"
#include "gateway/decisions/member_table.h"
#include "gateway/decisions/output_estimator.h"
#include "gateway/decisions/prefill_rate_estimator.h"
#include "gateway/decisions/reader_election.h"
#include "gateway/decisions/route_table.h"
#include "gateway/decisions/server_registry.h"
#include "gateway/decisions/shared_retry_budget.h"
#include "gateway/decisions/size_affinity.h"
#include "gateway/decisions/store_revision.h"
#include "gateway/decisions/stream_resumption.h"
#include "gateway/decisions/version_history.h"
#include "gateway/gateway_settings.h"
#include "listener_slot.h"

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace crocusspur::gateway {

// One change to a published server entry, received from the store or a peer.
struct ServerChange {
  std::string Id;
  StoreRevision Revision;           // of the change
  std::optional<ServerEntry> Entry; // nullopt: the entry was removed
};

// Where an update came from, for the log.
enum class UpdateOrigin : uint8_t { Store, Peer };
enum class LeavingOrigin : uint8_t { Response, Peer };

// How a configuration reached this instance.
struct ConfigSource {
  UpdateOrigin Origin = UpdateOrigin::Store;
  std::string Peer; // that sent it; empty: the store did
  ConfigAge Age;
};

class ServiceDirectory {
public:
  ServiceDirectory(const GatewaySettings &Values, uint64_t Seed);

  // Applies a document unless the active version is newer, or the same and not
  // written before it. A version in force is never replaced by a lower one.
  // `Revision`: of the change that wrote it. Returns whether another
  // configuration is in force now.
  bool applyRoutes(RouteDocumentPtr Document, StoreRevision Revision,
                   const ConfigSource &Source = {});
  RouteDocumentPtr routes() const;
  ConfigAge configAge() const; // of the configuration in force
  // Whether the latest configuration that this instance has read from the store
  // can't be used.
  void setConfigInvalid(bool IsInvalid) { ConfigInvalid.store(IsInvalid); }
  bool isConfigInvalid() const { return ConfigInvalid.load(); }
  StoreRevision routesRevision() const;

  // A response of the store states its era, or a peer knows a higher one.
  // Returns false for a response of an earlier era, which must not be used.
  bool onStoreEra(uint64_t Era, UpdateOrigin Origin);
  // The highest era that is known, also from peers; 0: none.
  uint64_t storeEra() const { return HighestEra.load(); }
  // The era of responses of the store that don't state it.
  uint64_t ownStoreEra() const;

  // Applies a change unless the same or a newer one of the server has been
  // applied. Others before it may be missing.
  void applyServer(const ServerChange &Change, UpdateOrigin Origin);
  // Applies all changes after `Since` up to `Revision`. If this instance has
  // missed one before `Since`, it stays behind `Revision`.
  void applyServerChanges(const std::vector<ServerChange> &Changes,
                          StoreRevision Since, StoreRevision Revision,
                          UpdateOrigin Origin);
  // Applies a complete list: removes servers that aren't listed and whose last
  // change is older than `Revision`. Those that a store of a new era has lost
  // stay a last resort until they had time to register again.
  void applyServerList(const std::vector<ServerChange> &Entries,
                       StoreRevision Revision, UpdateOrigin Origin);
  std::vector<ServerChange> servers() const;
  // The latest change of each server that was changed after `Since`. Nothing if
  // a list was applied that is later: servers that this instance has never
  // known may have been removed before it.
  std::optional<std::vector<ServerChange>>
  serversChangedAfter(StoreRevision Since) const;
  // Up to which change the servers are complete; 0: no list was received.
  StoreRevision serversRevision() const;
  // Up to which revision of the store no change of servers is missing. Beyond
  // serversRevision() other documents have changed: the store may discard that
  // change, and those after it remain.
  StoreRevision serversKnownUpTo() const;
  // All changes up to the revision have been read and applied.
  void onServersKnownUpTo(StoreRevision Revision);

  // Called without a lock when a server's process seems to have ended: it
  // registered with a new start time (`StartedAt`), or without an announced
  // leaving (nothing) its entry expired or another server registered at its
  // address. Set before the directory is used by several threads.
  using ServerEndListener = std::function<void(
      const std::string &ServerId, std::optional<int64_t> StartedAt)>;
  void setServerEndListener(ServerEndListener Listener);

  // A server has said that it leaves: in a response, or a peer tells. It gets
  // no new request from now on. Returns whether that is new. `Peer`: who tells.
  bool onServerLeaving(const LeavingServer &Item, LeavingOrigin Origin,
                       const std::string &Peer = "");
  // A server has refused all requests of this instance for some time.
  void onServerResting(const ServerProcess &Process, Milliseconds Time);
  // See ServerRegistry::restingUntil().
  std::optional<TimePoint> restingUntil(const ServerQuery &Query) const;

  // How long ago this instance has known all changes of servers for the last
  // time; nothing: never. Changes that it learns now were written since.
  // Without the hook they count as written now. Set before the directory is
  // used by several threads. It must not call back.
  using ConfirmedAgoHook = std::function<std::optional<Milliseconds>()>;
  void setServersConfirmedAgo(ConfirmedAgoHook Hook);

  // Called after a change that peers should learn at once: a response or a peer
  // has told that a server leaves, the store's era has risen, routes or servers
  // have changed, or the pace of a server has. It must not set the
  // listener.
  void setChangeListener(std::function<void()> Listener);
  // What is known of leaving servers, for peers: all, or what was learned
  // within `MaxAge`. See LeavingServers.
  std::vector<LeavingServer>
  leavingServers(std::optional<Milliseconds> MaxAge = std::nullopt) const;
  uint64_t leavingDigest() const;

  // Reports whether the store responds to the reader of this kind. While it
  // doesn't, and for some time after it recovers, removed servers are kept as a
  // last resort.
  void setStoreReachable(PublishedKind Kind, bool Reachable);
  // Whether the store responds to the readers of both kinds.
  bool isStoreReachable() const;
  // Whether routes and servers have been received, so that requests can be
  // served.
  bool isComplete() const;

  // The software version of all servers that the service has had for
  // MaxStreamAge; see VersionHistory::soleVersion().
  std::optional<VersionKey> soleVersion(const std::string &Service) const;

  // Server selection; see ServerRegistry.
  std::optional<ServerChoice> choose(const ServerQuery &Query);
  std::vector<ServerChoice> rank(const ServerQuery &Query);
  std::vector<ServerChoice> rankSlowestFirst(const ServerQuery &Query);
  ServerRegistry::Fullness fullness(const ServerQuery &Query) const;
  bool usable(const ServerChoice &Server) const;
  // The software version of the process that is registered at the chosen one's
  // address, if it is another one.
  std::optional<std::string> successorVersion(const ServerChoice &Server) const;
  // Whether the server's entry names another process than the chosen one.
  bool isReplaced(const ServerChoice &Server) const;
  // The server that was called at the process's address isn't this one.
  void onMisdirected(const ServerProcess &Process);
  // The process that the server's entry names.
  ProcessNow processNow(const std::string &ServerId) const;
  // A response of the store came later than it was due: the store, or the way
  // to it, has stood still.
  void onStoreHeldUp();
  // Since when this instance knows each process that servers' entries have
  // named, at a store that was there; nothing: not at the moment.
  std::optional<TimePoint> entriesWholeSince() const;
  // Whether the process is the last one that its server's entry has named.
  bool isLatestProcess(const ServerProcess &Process) const;
  // Whether a server may have started again without its entry saying so, since
  // the store isn't reached or has come back a moment ago.
  bool entriesMayBeOld() const;
  bool isLeaving(const std::string &ServerId) const;
  // The other servers of the server's service, best first by stage.
  std::vector<ServerChoice> others(const ServerChoice &Server);
  uint32_t serversIn(const std::string &Service, ServerStage Stage) const;
  uint32_t serversOf(const std::string &Service) const; // in any stage
  // Whether a server is known that may get requests now or later.
  bool hasServer(const std::string &Service, ServerStage Stage) const;
  // What calls to a server show. They count for the process that was chosen,
  // and for no successor of it.
  void callStarted(const ServerChoice &Server, double Weight);
  void callEnded(const ServerChoice &Server, double Weight, CallResult Result);
  void onLoadReport(const ServerChoice &Server, const ServerLoad &Load);

  // Paces of servers; see ServerRegistry and PaceTable. Changes are logged.
  void onCallTimed(const ServerChoice &Server, double Work, Milliseconds Taken);
  void onReportedSlowdown(const ServerProcess &Process, double Factor);
  void mergePaces(const std::vector<PaceSummary> &Items);
  std::vector<PaceSummary> pacesChangedSince(TimePoint Since,
                                             size_t MaxCount) const;
  std::optional<Milliseconds> expectedDuration(const std::string &ServerId,
                                               double Work) const;
  void setPaceSettings(const PaceSettings &Value);
  struct PaceCounts {
    uint64_t Samples = 0; // of this instance
    uint64_t Merged = 0;  // summaries of peers that were new
    uint64_t Changes = 0; // of servers' paces for placement
    uint64_t KneeChanges = 0;
  };
  PaceCounts paceCounts() const;
  // Servers whose pace for placement is slower than at the median, by service.
  std::map<std::string, uint32_t> slowServers() const;
  // Servers with a knee, and whether knees of a stage differ, by service.
  struct KneeCounts {
    size_t Known = 0;
    bool Differ = false;
  };
  std::map<std::string, KneeCounts> kneeCounts() const;

  // See ServerRegistry.
  DispatchServers dispatchServers(const std::string &Service) const;
  std::optional<ServerChoice> chosen(const ServerQuery &Query,
                                     const std::string &ServerId,
                                     int64_t StartedAt) const;

  // Retry budget; see SharedRetryBudget.
  void onRequest(const std::string &Service);
  bool tryConsumeRetry(const std::string &Service);
  void setRetryAllowance(RetryAllowance Value);
  struct RetryCounts {
    uint64_t Granted = 0;
    uint64_t Denied = 0;
  };
  std::map<std::string, RetryCounts> retryCounts() const; // by service
  void setInstances(uint32_t Count) { Instances.store(Count); }

  // Statistics of each service, from which the demand on all instances is
  // computed.
  void onPrompt(const std::string &Service, uint64_t Tokens);
  void onPrefillFinished(const std::string &Service, uint64_t Tokens,
                         Milliseconds Taken);
  void onReservationEnded(const std::string &Service, Milliseconds Waited,
                          bool Got);
  std::vector<ServiceStats> serviceStats();
  std::optional<ServerStage> stageOf(const std::string &ServerId) const;
  // A server was ordered to change its stage. Excludes it from new requests for
  // `Time` or until its entry changes. Repeated reports of an order have no
  // effect.
  void onStageChangeOrdered(const std::string &ServerId, uint64_t Fence,
                            Milliseconds Time);
  // See ServerRegistry::onStageRefused().
  void onStageRefused(const ServerChoice &Server, ServerStage Stage,
                      bool Misdirected);
  // A server refused a request for which it had reserved memory.
  void onReservedRequestRefused(const ServerChoice &Server);

  // See tokensToReserve().
  uint64_t reservedTokens(const std::string &Service,
                          const GenerationSize &Size, uint64_t Capacity);
  void onOutputFinished(const std::string &Service, const GenerationSize &Size,
                        uint64_t Tokens);

  // Whether a request with this much time left comes from a caller that has
  // been refused before.
  bool isReturning(const std::string &RouteName, Milliseconds TimeLeft);

  // Returns the ranked servers to ask for memory; see SizeAffinity.
  std::vector<ServerChoice>
  serverSubset(const std::string &Service,
               const std::vector<ServerChoice> &Ranked, uint64_t Tokens,
               size_t Count) const;
  void onMemoryRequested(const std::string &Service, uint64_t Tokens);

  // Copies of what servers are chosen by, for explanations.
  struct ServersCopy {
    ServerRegistry Registry;
    std::map<std::string, OutputEstimator> Outputs; // by service
  };
  ServersCopy copyServers() const;

  double randomFraction(); // uniform in [0, 1)
  uint64_t randomNumber();

  // Returns the state as JSON.
  std::string dump() const;

private:
  // When expired entries may have been registered again: after the store has
  // recovered or come back from an older copy. Nothing: long ago, so that a
  // removed entry shows that its server is gone.
  std::optional<TimePoint> entriesRestoredAt(TimePoint Now) const;
  void onListEra(uint64_t Era, TimePoint Now);
  // A removed entry shows that its server is gone.
  void onServerGone(const ServerEntry &Entry, TimePoint Now);
  void notify();
  // Tells the listener of Ended.
  void reportEnded();
  // Logs changes of servers' paces, at most a few in a second. Returns whether
  // peers should learn of them at once, which is limited in rate.
  bool logPaceChanges(const char *Reason, TimePoint Now);
  void logKneeChanges(const char *Source, TimePoint Now);
  void logServer(const ServerChange &Change, UpdateOrigin Origin) const;
  enum class RoutesUpdate : uint8_t { Ignored, SameText, InForce };
  RoutesUpdate applyRoutesLocked(RouteDocumentPtr Document,
                                 StoreRevision Revision,
                                 const ConfigSource &Source);
  // Whether the server's entry names the chosen process. Called with the lock.
  bool namesProcess(const ServerChoice &Server) const;
  // When this instance has known all changes of servers for the last time.
  // Called without the lock.
  TimePoint lastKnownAll(TimePoint Now) const;
  void applyLocked(const ServerChange &Change, UpdateOrigin Origin,
                   TimePoint Now, TimePoint WrittenAfter);
  // Whether the configuration names the service, or none is known yet.
  bool isServiceKnown(const std::string &Service) const;
  // Other servers of known services whose entries name this server's address.
  std::vector<ServerEntry> claimsOnAddress(const ServerEntry &Entry) const;
  // Of all servers at the entry's address, the one that registered last counts
  // as living there. A process that starts there may have a new id, and the
  // entry of the one that ended stays until it expires.
  void onAddressNamed(const ServerEntry &Entry);

  const GatewaySettings &Values;
  struct EndedProcess {
    std::string ServerId;
    std::optional<int64_t> StartedAt; // see ServerEndListener
  };

  ServerEndListener OnServerEnd;
  ConfirmedAgoHook ServersConfirmedAgo;
  internal::ListenerSlot<> OnChange;
  mutable internal::LeafMutex Mutex;
  RouteDocumentPtr Document;
  ServerRegistry Registry;
  std::map<std::string, StoreRevision> Revisions; // last change, by server
  VersionHistory Versions;
  StoreRevision ListRevision;
  StoreRevision KnownUpTo; // see serversKnownUpTo(); may be of an earlier era
  StoreRevision ChangesKnownSince; // the last list that showed later changes
  bool ListReceived = false;
  StoreRevision RoutesRevision;
  std::optional<TimePoint> ConfigReadAt; // see ConfigAge
  std::optional<TimePoint> ConfigAbsentAt;
  uint64_t OwnEra = 0; // of this instance's responses of the store
  std::atomic<uint64_t> HighestEra{0};
  std::atomic<bool> ConfigInvalid{false};
  std::optional<TimePoint> EraChangedAt; // of the list
  std::vector<EndedProcess> Ended;       // the listener hasn't been told
  // Processes whose entries were removed lately, by server, and when.
  std::map<std::string, std::pair<ServerProcess, TimePoint>> RemovedProcesses;
  SharedRetryBudget Retries;
  std::map<std::string, RetryCounts> RetriesCounted;  // by service
  std::map<std::string, OutputEstimator> Outputs;     // by service
  std::map<std::string, SizeAffinity> SizeAffinities; // by service
  struct StageStats {
    DemandMeter Meter;
    PrefillRateEstimator Rate;
  };
  std::map<std::string, StageStats> Stages;        // by service
  std::map<std::string, uint64_t> OrderFences;     // highest known, by server
  std::map<std::string, Milliseconds> MaxTimeLeft; // of callers, by route
  PaceCounts PacesCounted;
  TimePoint PacesCheckedAt;
  TimePoint PacesNotifiedAt;
  TimePoint PacesLoggedAt; // start of the second in which lines are counted
  uint32_t PacesLogged = 0;
  TimePoint KneesLoggedAt; // start of the second in which lines are counted
  uint32_t KneesLogged = 0;
  std::mt19937_64 Random;
  std::atomic<uint32_t> Instances{64}; // default until members are known
  std::array<std::atomic<bool>, 2> StoreReachable{true, true}; // by kind
  TimePoint StoreStateChangedAt; // last change of reachability
  TimePoint StoreHeldUpAt;       // see onStoreHeldUp()
};

} // namespace crocusspur::gateway

#endif
