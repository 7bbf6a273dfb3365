// What an instance knows of routes and servers, shared by its threads, with the
// decisions that depend on it. All functions are thread-safe.
#ifndef CROCUSSPUR_GATEWAY_SERVICE_DIRECTORY_H
#define CROCUSSPUR_GATEWAY_SERVICE_DIRECTORY_H

#include "gateway/decisions/demand_meter.h"
#include "gateway/decisions/member_table.h"
#include "gateway/decisions/output_estimator.h"
#include "gateway/decisions/prefill_rate_estimator.h"
#include "gateway/decisions/route_table.h"
#include "gateway/decisions/server_registry.h"
#include "gateway/decisions/shared_retry_budget.h"
#include "gateway/decisions/size_affinity.h"
#include "gateway/gateway_settings.h"

#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace crocusspur::gateway {

// One change of what is published, from the store or from a peer.
struct ServerChange {
  std::string Id;
  uint64_t Revision = 0;            // of the store, when it changed
  std::optional<ServerEntry> Entry; // nothing: the entry is gone
};

enum class PublishedKind : uint8_t { Servers, Routes };

// Where a change was learned, for the log.
enum class UpdateOrigin : uint8_t { Store, Peer };

class ServiceDirectory {
public:
  ServiceDirectory(const GatewaySettings &Values, uint64_t Seed);

  // Takes a document unless its version is older than the one in force.
  void applyRoutes(RouteDocumentPtr Document, UpdateOrigin Origin);
  RouteDocumentPtr routes() const;

  // Takes a change unless a newer one of the same server is known.
  void applyServer(const ServerChange &Change, UpdateOrigin Origin);
  // Takes a complete list: servers that it lacks and that changed no later than
  // `Revision` are gone.
  void applyServerList(const std::vector<ServerChange> &Entries,
                       uint64_t Revision, UpdateOrigin Origin);
  std::vector<ServerChange> servers() const;
  uint64_t serversRevision() const;

  // The store answers the reader of this kind (or not). While it doesn't, and
  // for some time after its return, servers that vanish are kept as a last
  // resort.
  void setStoreReachable(PublishedKind Kind, bool Reachable);
  // Whether it answers the readers of both kinds.
  bool isStoreReachable() const;
  // Whether routes and servers are known, so that requests can be served.
  bool isComplete() const;

  // Decisions on servers; see ServerRegistry.
  std::optional<ServerChoice> choose(const ServerQuery &Query);
  std::vector<ServerChoice> rank(const ServerQuery &Query);
  bool usable(const ServerChoice &Server) const;
  uint32_t serversIn(const std::string &Service, ServerStage Stage) const;
  void callStarted(const std::string &Id, double Weight);
  void callEnded(const std::string &Id, double Weight, CallResult Result);
  void onLoadReport(const std::string &Id, const ServerLoad &Load);

  // Decisions on repeats; see SharedRetryBudget.
  void onRequest(const std::string &Service);
  bool tryConsumeRetry(const std::string &Service);
  void setRetryAllowance(RetryAllowance Value);
  void setInstances(uint32_t Count) { Instances.store(Count); }

  // Figures of each service for decisions on all instances' demand.
  void onPrompt(const std::string &Service, uint64_t Tokens);
  void onPrefillFinished(const std::string &Service, uint64_t Tokens,
                         Milliseconds Taken);
  void onReservationEnded(const std::string &Service, Milliseconds Waited,
                          bool Got);
  std::vector<ServiceStats> serviceStats();
  std::optional<ServerStage> stageOf(const std::string &ServerId) const;
  // A server was ordered to change its stage: it gets nothing new for a while,
  // or until its entry changes. Repeated news of an order change nothing.
  void onStageChangeOrdered(const std::string &ServerId, uint64_t Fence,
                            Milliseconds Time);
  // A server refused a request for which it had reserved memory.
  void onReservedRequestRefused(const std::string &ServerId);

  // Memory to reserve for a request at a server with this capacity: its prompt
  // and as much output as most requests of the service make.
  uint64_t reservedTokens(const std::string &Service,
                          const GenerationSize &Size, uint64_t Capacity);
  void onOutputFinished(const std::string &Service, const GenerationSize &Size,
                        uint64_t Tokens);

  // Whether a caller that gives this much time has been refused before.
  bool isReturning(const std::string &RouteName, Milliseconds TimeLeft);

  // Servers to ask for memory, of those ranked; see SizeAffinity.
  std::vector<ServerChoice>
  serverSubset(const std::string &Service,
               const std::vector<ServerChoice> &Ranked, uint64_t Tokens,
               size_t Count) const;
  void onMemoryRequested(const std::string &Service, uint64_t Tokens);

  double randomFraction(); // uniform in [0, 1)
  uint64_t randomNumber();

  // State of all parts as a JSON text.
  std::string dump() const;

private:
  void logServer(const ServerChange &Change, UpdateOrigin Origin) const;
  void applyLocked(const ServerChange &Change, UpdateOrigin Origin,
                   TimePoint Now);

  const GatewaySettings &Values;
  mutable std::mutex Mutex;
  RouteDocumentPtr Document;
  ServerRegistry Registry;
  std::map<std::string, uint64_t> Revisions; // of each server's last change
  uint64_t ListRevision = 0;
  bool ListReceived = false;
  SharedRetryBudget Retries;
  std::map<std::string, OutputEstimator> Outputs;     // by service
  std::map<std::string, SizeAffinity> SizeAffinities; // by service
  struct StageStats {
    DemandMeter Meter;
    PrefillRateEstimator Rate;
  };
  std::map<std::string, StageStats> Stages;         // by service
  std::map<std::string, uint64_t> OrderFences;      // last known, by server
  std::map<std::string, Milliseconds> MaxTimesLeft; // callers gave, by route
  std::mt19937_64 Random;
  std::atomic<uint32_t> Instances{64}; // until members are known
  std::array<std::atomic<bool>, 2> StoreReachable{true, true}; // by kind
  TimePoint StoreStateChangedAt; // last change between reachable and not
};

} // namespace crocusspur::gateway

#endif
