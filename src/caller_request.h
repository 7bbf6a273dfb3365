// A validated caller request: what the core receives of it, and what a relay
// needs to execute it.
#ifndef CROCUSSPUR_CALLER_REQUEST_H
#define CROCUSSPUR_CALLER_REQUEST_H

#include "crocusspur/config_document.h"
#include "crocusspur/event.h"

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>

namespace crocusspur::internal {

enum class RouteKind : uint8_t { Completions, Chat, Service, Ticket };

struct Route {
  RouteKind Kind = RouteKind::Completions;
  std::string Service;     // name
  std::string ServicePath; // with the leading slash and the query
};

// Returns nothing if the path is unknown.
std::optional<Route> findRoute(const std::string &Target);

// A request as received, with its authenticated group.
struct RequestInput {
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::string Accept;
  std::string Group;
  std::string IdempotencyKey;
  std::string Body;
};

struct CallerRequest {
  RequestId Id;
  RequestSpec Spec;
  std::string ForwardedBy; // empty: received from the caller itself
  RequestInput Input;
  Route Path;
  bool Stream = false;
  std::string PromptJson; // the prompt as a JSON string, with quotes
};

// LEAF error object of a rejected request.
struct RequestError {
  ErrorKind Kind = ErrorKind::BadRequest;
  std::string Detail; // never quotes the request's content
};

// Validates everything that can be validated without a backend server.
boost::leaf::result<CallerRequest>
parseCallerRequest(RequestInput Input, const ConfigDocument &Config);

// At most 128 printable characters without spaces.
bool isIdempotencyKey(const std::string &Text);

// One token per four bytes, at least one.
uint32_t estimateTokens(const std::string &Prompt);

// One hash for each complete block of 256 estimated tokens, at most 16. Each
// hash is seeded with the previous one, so it identifies the whole prefix.
std::vector<uint64_t> prefixHashes(const std::string &Prompt);

} // namespace crocusspur::internal

#endif
