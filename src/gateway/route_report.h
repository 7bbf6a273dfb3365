// Explanations of where requests would be routed, for operators.
#ifndef CROCUSSPUR_GATEWAY_ROUTE_REPORT_H
#define CROCUSSPUR_GATEWAY_ROUTE_REPORT_H

#include "gateway/decisions/routing/route_explanation.h"

#include <string>

namespace crocusspur::gateway {

struct GatewayRuntime;

// Returns copies of what decides on requests at this instance. Changes nothing.
RoutingState copyRoutingState(GatewayRuntime &Runtime,
                              const std::string &Account);

// As JSON. Shows no key. `Instance`: that explains.
std::string formatExplanation(const RouteExplanation &Explanation,
                              const std::string &Instance);

// Parses the query of a request for an explanation: `host`, `path`, `account`,
// `prompt_tokens` and `output_tokens`. Returns nothing if a field is missing,
// unknown or not a number.
std::optional<RouteQuestion> parseRouteQuestion(const std::string &Target);

} // namespace crocusspur::gateway

#endif
