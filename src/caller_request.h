// A caller's request after its checks: what the core is told of it, and what a
// relay needs to carry it out.
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

// A request as it was received, with a group that has been authenticated.
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
  std::string ForwardedBy; // empty: a caller's own connection
  RequestInput Input;
  Route Path;
  bool Stream = false;
  std::string PromptJson; // the prompt as a JSON string, with quotes
};

// LEAF error object of a request that is refused.
struct RequestError {
  ErrorKind Kind = ErrorKind::BadRequest;
  std::string Detail; // never quotes the request's content
};

// Checks everything that can be checked without a backend server.
boost::leaf::result<CallerRequest>
parseCallerRequest(RequestInput Input, const ConfigDocument &Config);

// At most 128 printable characters without spaces.
bool isIdempotencyKey(const std::string &Text);

// One token for four bytes, at least one.
uint32_t estimateTokens(const std::string &Prompt);

// One hash for each whole block of 256 estimated tokens, at most 16. Each hash
// has the one before as its seed, so it stands for the whole prefix.
std::vector<uint64_t> prefixHashes(const std::string &Prompt);

} // namespace crocusspur::internal

#endif
