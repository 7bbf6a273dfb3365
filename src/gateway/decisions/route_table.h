// Routes by host and path prefix, as the operators publish them, and the choice
// of a route and a service for a request.
#ifndef CROCUSSPUR_GATEWAY_ROUTE_TABLE_H
#define CROCUSSPUR_GATEWAY_ROUTE_TABLE_H

#include "crocusspur/errors.h"
#include "crocusspur/types.h"
#include "gateway/decisions/accounts/account_table.h"
#include "gateway/decisions/attempt_interval.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusspur::gateway {

// Whether requests may be retried. Streams are treated as NonIdempotent unless
// the route is resumable.
enum class RouteKind : uint8_t { Idempotent, NonIdempotent, Stream };

struct WeightedService {
  std::string Service;
  uint32_t Weight = 1; // relative to the other services of the route
};

struct PathRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix; // begins and ends with a slash
  RouteKind Kind = RouteKind::NonIdempotent;
  Milliseconds Timeout{0};          // longest time that a caller waits
  Milliseconds LatencyTarget{0};    // to the response or a stream's first event
  Milliseconds InterTokenTarget{0}; // longest pause between events; 0: none
  uint32_t Priority = 0;            // 0 is the highest
  uint32_t MaxServers = 1;          // maximum servers tried for one request
  bool Resumable = false;           // a stream may continue on another server
  bool Public = false;              // callers need no key
  // Whether this build knows its type. Requests to other routes are refused; a
  // shorter prefix doesn't get them.
  bool Supported = true;
  std::vector<WeightedService> Services; // at least one if it is supported
};

// Properties of the servers of a service that runs a model.
struct EngineTraits {
  uint64_t CapacityTokens = 0;    // memory of one server
  uint32_t TokensPerEvent = 1;    // maximum in one event of a stream
  Milliseconds HandleLifetime{0}; // of a prompt's KV cache after its prefill
  Milliseconds MaxReservation{0}; // 0: servers accept no reservations
};

struct ServiceConfig {
  std::string Name;
  std::optional<EngineTraits> Engine;
};

// Limits on the size of requests and the time to receive them.
struct RequestLimits {
  uint32_t MaxHeaderBytes = 32768;
  uint32_t MaxBodyBytes = 4194304;
  Milliseconds HeaderTimeout{3000};
  Milliseconds IdleTimeout{15000};
};

struct RouteDocument {
  uint64_t Version = 0; // 0: no document yet
  std::vector<PathRoute> Routes;
  std::map<std::string, ServiceConfig> Services;
  RequestLimits Limits;
  AccountTable Accounts; // empty: callers need no keys
  // Entries that this build doesn't support, by their place in the document.
  std::vector<Diagnostic> Unsupported;
  // As published, for peers that can't read it themselves. It holds the keys of
  // accounts, so nothing else may show it.
  std::string Text;
};

using RouteDocumentPtr = std::shared_ptr<const RouteDocument>;

// Returns the host's route with the longest prefix of the path, or null. `Host`
// may include a port, and `Path` a query.
const PathRoute *findRoute(const RouteDocument &Document, std::string_view Host,
                           std::string_view Path);

// Returns where a rank is among the ranks that requests to the service may
// have, by the ranks of its routes and of the accounts.
RankPosition rankAmong(const RouteDocument &Document,
                       const std::string &Service, const RequestRank &Rank);

// Selects a service at random by weight. `Draw` is a uniformly distributed
// random number.
const std::string &chooseService(const PathRoute &Route, uint64_t Draw);

} // namespace crocusspur::gateway

#endif
