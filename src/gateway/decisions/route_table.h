// Routes by host and path prefix, as the operators publish them, and the choice
// of a route and a service for a request.
#ifndef CROCUSSPUR_GATEWAY_ROUTE_TABLE_H
#define CROCUSSPUR_GATEWAY_ROUTE_TABLE_H

#include "crocusspur/types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocusspur::gateway {

// What may be repeated. Streams are treated as NonIdempotent unless the route
// says that they can be resumed.
enum class RouteKind : uint8_t { Idempotent, NonIdempotent, Stream };

struct WeightedService {
  std::string Service;
  uint32_t Weight = 1; // relative to the other shares of the route
};

struct PathRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix; // begins and ends with a slash
  RouteKind Kind = RouteKind::NonIdempotent;
  Milliseconds Timeout{0}; // longest time that a caller is kept waiting
  Milliseconds LatencyTarget{
      0}; // to the answer, for streams to the first event
  Milliseconds InterTokenTarget{
      0};                  // longest pause between events; 0: no target
  uint32_t Priority = 0;   // 0 is first
  uint32_t MaxServers = 1; // servers that one request may be sent to
  bool Resumable = false;  // a stream may continue on another server
  std::vector<WeightedService> Services; // at least one
};

// What a service whose servers run a model can do.
struct EngineTraits {
  uint64_t CapacityTokens = 0;    // memory of one server
  uint32_t TokensPerEvent = 1;    // most tokens in one event of a stream
  Milliseconds HandleLifetime{0}; // of a prompt's memory after its prefill
  Milliseconds MaxReservation{0}; // 0: servers take no reservations
};

struct ServiceConfig {
  std::string Name;
  std::optional<EngineTraits> Engine;
};

// What callers may send, and for how long they may take.
struct RequestLimits {
  uint32_t HeaderBytes = 32768;
  uint32_t BodyBytes = 4194304;
  Milliseconds HeaderTime{3000};
  Milliseconds IdleTime{15000};
};

struct RouteDocument {
  uint64_t Version = 0; // 0: nothing is known yet
  std::vector<PathRoute> Routes;
  std::map<std::string, ServiceConfig> Services;
  RequestLimits Limits;
  std::string Text; // as published, for peers that can't read it themselves
};

using RouteDocumentPtr = std::shared_ptr<const RouteDocument>;

// Returns the route of the host whose prefix is the longest that begins the
// path, or null. `Host` may carry a port; `Path` may carry a query.
const PathRoute *findRoute(const RouteDocument &Document, std::string_view Host,
                           std::string_view Path);

// Draws a service according to the weights. `Draw` is uniformly distributed.
const std::string &chooseService(const PathRoute &Route, uint64_t Draw);

} // namespace crocusspur::gateway

#endif
