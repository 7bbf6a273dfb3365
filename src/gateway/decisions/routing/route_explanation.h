// Tells where a request would be routed now, and why, without sending it. Works
// on copies of the state that live requests are decided by, with the same
// functions, so that it changes nothing and can't differ from them but for
// random draws. Does no I/O; callers pass the time.
#ifndef CROCUSSPUR_GATEWAY_ROUTE_EXPLANATION_H
#define CROCUSSPUR_GATEWAY_ROUTE_EXPLANATION_H

#include "gateway/decisions/admission_control.h"
#include "gateway/decisions/output_estimator.h"
#include "gateway/decisions/plain_queue.h"
#include "gateway/decisions/reservation_queue.h"
#include "gateway/decisions/route_table.h"
#include "gateway/decisions/server_registry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusspur::gateway {

struct RouteQuestion {
  std::string Host;
  std::string Path;    // may include a query
  std::string Account; // name; empty: none
  std::optional<GenerationSize> Size;
};

// What waits for servers of one service, and how it has fared.
struct ServiceQueues {
  ReservationQueue Streams;
  AdmissionControl Admission;
  PlainQueue Plain;
};

// What an instance knows of an account's quota.
struct QuotaView {
  uint64_t LeasedTokens = 0;
  std::string Home; // name of the instance that holds the account's tokens
  std::optional<Milliseconds> HomeHeardAgo;
  std::optional<double> BucketLevel; // tokens, if this instance is the home
  bool UsesLocalShare = false;
};

// Copies of what decides on requests at one instance.
struct RoutingState {
  RouteDocumentPtr Document;
  ServerRegistry Servers;
  std::map<std::string, OutputEstimator> Outputs; // by service
  std::map<std::string, ServiceQueues> Queues;    // the same
  std::optional<QuotaView> Quota;                 // of the question's account
  std::map<std::string, double> LimitsPerSecond;  // that servers state, by id
  std::set<std::string> CutOffFrom; // services of which no server is reached
};

struct StageExplanation {
  ServerStage Stage = ServerStage::Whole;
  std::vector<ServerCandidate>
      Candidates; // in order of choice, barred ones last
};

// For one service that the route may choose.
struct ServiceExplanation {
  std::string Service;
  uint32_t Weight = 1; // among the route's services
  std::vector<StageExplanation> Stages;
  RankPosition Rank;           // of the request among those of the service
  size_t Waiting = 0;          // requests in the queue that it would join
  bool Contended = false;      // servers were full lately
  uint64_t ReservedTokens = 0; // for a stream; 0: none
  // Of requests of this rank that may join or be sent, from 0 to 1.
  double AdmittedShare = 1;
  bool PassedOn = false; // to an instance that reaches the service's servers
  // Why it would be refused now, and when to come back; empty: it wouldn't.
  std::string Refusal;
  Milliseconds RetryAfter{0};
};

struct RouteExplanation {
  uint64_t ConfigVersion = 0;
  std::optional<PathRoute> Route; // nothing: 404
  // Why the request would be refused whatever the servers do; empty: it
  // wouldn't.
  std::string Refusal;
  uint64_t QuotaTokens = 0; // what it counts towards its account's quota
  std::optional<double> QuotaPerSecond; // nothing: no limit
  std::optional<QuotaView> Quota;
  std::vector<ServiceExplanation> Services;
};

// Whether a request would be refused now, by whichever service.
bool isRefused(const RouteExplanation &Explanation);

// `State` is changed: it is a copy.
RouteExplanation explainRoute(const RouteQuestion &Question, RoutingState State,
                              TimePoint Now);

} // namespace crocusspur::gateway

#endif
