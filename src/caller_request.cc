#include "caller_request.h"

#include "json_document.h"
#include "json_text.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <string_view>
#include <utility>
#include <xxhash.h>

namespace crocusspur::internal {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Object;

constexpr uint32_t DefaultMaxTokens = 256;
constexpr uint32_t MaxOutputTokensLimit = 32768;
constexpr uint32_t MaxPromptTokens = 16777216;
constexpr size_t BytesPerToken = 4;
constexpr size_t BlockBytes = 256 * BytesPerToken;
constexpr size_t MaxBlocks = 16;
// Requests need five levels; the destructor of a deeply nested document would
// exhaust the small stack of a connection's thread.
constexpr size_t MaxJsonDepth = 16;
// Members that are read, at any depth; others are skipped.
constexpr std::string_view RequestNames[] = {
    "model",    "stream", "max_tokens", "prompt", "prompt_tokens",
    "messages", "role",   "content",    "type",   "text"};
// Of the values of a request's body as they take memory. A message takes 2 KiB
// and its text.
constexpr size_t MaxJsonBytes = 8388608;

boost::leaf::result<Object::Ptr> parseBody(const std::string &Body) {
  JsonDocument document = parseJson(Body, {.Kept = RequestNames,
                                           .MaxBytes = MaxJsonBytes,
                                           .MaxDepth = MaxJsonDepth});
  if (document.Root)
    return document.Root;
  if (document.Fault == JsonFault::TooLarge)
    return boost::leaf::new_error(
        RequestError{ErrorKind::BadRequest, "the body holds too many values"});
  return boost::leaf::new_error(
      RequestError{ErrorKind::BadRequest, "the body must be a JSON object"});
}

boost::leaf::error_id invalidField(const std::string &Expected) {
  return boost::leaf::new_error(RequestError{ErrorKind::BadRequest, Expected});
}

boost::leaf::result<uint32_t> readNumber(const Object &Body,
                                         const std::string &Key,
                                         uint32_t Default, uint32_t Max) {
  if (!Body.has(Key) || Body.isNull(Key))
    return Default;
  Var value = Body.get(Key);
  try {
    if (value.isInteger() && !value.isBoolean()) {
      auto n = value.convert<Poco::Int64>();
      if (n >= 1 && n <= Max)
        return static_cast<uint32_t>(n);
    }
  } catch (const Poco::Exception &) {
    // Out of range of a 64-bit integer.
  }
  return invalidField(Key + " must be a whole number from 1 to " +
                      std::to_string(Max));
}

boost::leaf::result<std::string> readText(const Object &Body,
                                          const std::string &Key) {
  Var value = Body.get(Key);
  if (value.isEmpty() || !value.isString())
    return invalidField(Key + " must be a string");
  return value.convert<std::string>();
}

boost::leaf::result<bool> readFlag(const Object &Body, const std::string &Key) {
  if (!Body.has(Key) || Body.isNull(Key))
    return false;
  Var value = Body.get(Key);
  if (!value.isBoolean())
    return invalidField(Key + " must be true or false");
  return value.convert<bool>();
}

// Content of a message: a string, or an array of text parts, which are joined.
boost::leaf::result<std::string> readContent(const Object &Message) {
  Var value = Message.get("content");
  if (!value.isEmpty() && value.isString())
    return value.convert<std::string>();
  Poco::JSON::Array::Ptr parts = Message.getArray("content");
  if (!parts)
    return invalidField("content of each message must be a string or an array");
  std::string text;
  for (unsigned i = 0; i < parts->size(); ++i) {
    Object::Ptr part = parts->getObject(i);
    if (!part)
      return invalidField("parts of a message's content must be objects");
    if (part->optValue<std::string>("type", "") != "text")
      return invalidField("parts of a message's content must have type text");
    BOOST_LEAF_AUTO(piece, readText(*part, "text"));
    text += piece;
  }
  return text;
}

boost::leaf::result<std::string> readMessages(const Object &Body) {
  Poco::JSON::Array::Ptr messages = Body.getArray("messages");
  if (!messages || messages->size() == 0)
    return invalidField("messages must be an array that isn't empty");
  std::string prompt;
  for (unsigned i = 0; i < messages->size(); ++i) {
    Object::Ptr message = messages->getObject(i);
    if (!message)
      return invalidField("messages must be objects");
    BOOST_LEAF_AUTO(role, readText(*message, "role"));
    BOOST_LEAF_AUTO(content, readContent(*message));
    prompt += role + ": " + content + "\n";
  }
  return prompt;
}

boost::leaf::result<void> readModelRequest(CallerRequest &Request,
                                           const ConfigDocument &Config) {
  if (Request.Input.Method != "POST")
    return invalidField("this path takes POST");
  BOOST_LEAF_AUTO(body, parseBody(Request.Input.Body));
  RequestSpec &spec = Request.Spec;
  spec.Kind = RequestKind::Model;
  BOOST_LEAF_ASSIGN(spec.Target, readText(*body, "model"));
  BOOST_LEAF_ASSIGN(Request.Stream, readFlag(*body, "stream"));
  BOOST_LEAF_ASSIGN(
      spec.MaxOutputTokens,
      readNumber(*body, "max_tokens", DefaultMaxTokens, MaxOutputTokensLimit));
  std::string prompt;
  if (Request.Path.Kind == RouteKind::Chat) {
    BOOST_LEAF_ASSIGN(prompt, readMessages(*body));
  } else {
    BOOST_LEAF_ASSIGN(prompt, readText(*body, "prompt"));
  }
  BOOST_LEAF_ASSIGN(spec.PromptTokens,
                    readNumber(*body, "prompt_tokens", estimateTokens(prompt),
                               MaxPromptTokens));
  if (!Config.findModel(spec.Target))
    return boost::leaf::new_error(
        RequestError{ErrorKind::NotFound, "there is no model of this name"});
  spec.PrefixHashes = prefixHashes(prompt);
  Request.PromptJson = jsonString(prompt);
  return {};
}

boost::leaf::result<void> readServiceRequest(CallerRequest &Request,
                                             const ConfigDocument &Config) {
  const ServiceConfig *service = Config.findService(Request.Path.Service);
  if (!service)
    return boost::leaf::new_error(
        RequestError{ErrorKind::NotFound, "there is no service of this name"});
  Request.Spec.Kind = RequestKind::Service;
  Request.Spec.Target = service->Name;
  const auto &methods = service->IdempotentMethods;
  Request.Spec.Idempotent = std::find(methods.begin(), methods.end(),
                                      Request.Input.Method) != methods.end();
  return {};
}

uint64_t fingerprint(const CallerRequest &Request) {
  const std::string parts[] = {Request.Spec.Group, Request.Spec.Target,
                               Request.Input.Method, Request.Input.Target,
                               Request.Input.Body};
  uint64_t hash = 0;
  for (const std::string &it : parts)
    hash = XXH64(it.data(), it.size(), hash);
  return hash;
}

} // namespace

std::optional<Route> findRoute(const std::string &Target) {
  std::string path = Target.substr(0, Target.find('?'));
  if (path == "/v1/completions")
    return Route{RouteKind::Completions, "", ""};
  if (path == "/v1/chat/completions")
    return Route{RouteKind::Chat, "", ""};
  if (path == "/v1/tickets")
    return Route{RouteKind::Ticket, "", ""};
  const std::string prefix = "/services/";
  if (path.compare(0, prefix.size(), prefix) != 0)
    return std::nullopt;
  size_t end = Target.find_first_of("/?", prefix.size());
  if (end == std::string::npos)
    end = Target.size();
  std::string name = Target.substr(prefix.size(), end - prefix.size());
  if (name.empty())
    return std::nullopt;
  std::string rest = Target.substr(end);
  if (rest.empty() || rest.front() != '/')
    rest.insert(0, "/");
  return Route{RouteKind::Service, name, rest};
}

bool isIdempotencyKey(const std::string &Text) {
  constexpr size_t MaxLength = 128;
  return !Text.empty() && Text.size() <= MaxLength &&
         std::all_of(Text.begin(), Text.end(),
                     [](char It) { return It > 0x20 && It < 0x7f; });
}

uint32_t estimateTokens(const std::string &Prompt) {
  return static_cast<uint32_t>(
      std::max<size_t>(Prompt.size() / BytesPerToken, 1));
}

std::vector<uint64_t> prefixHashes(const std::string &Prompt) {
  std::vector<uint64_t> hashes;
  uint64_t hash = 0;
  size_t n = std::min(Prompt.size() / BlockBytes, MaxBlocks);
  for (size_t i = 0; i < n; ++i) {
    hash = XXH64(Prompt.data() + i * BlockBytes, BlockBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

boost::leaf::result<CallerRequest>
parseCallerRequest(RequestInput Input, const ConfigDocument &Config) {
  std::optional<Route> route = findRoute(Input.Target);
  if (!route || route->Kind == RouteKind::Ticket)
    return boost::leaf::new_error(
        RequestError{ErrorKind::NotFound, "there is nothing at this path"});
  if (!Input.IdempotencyKey.empty() && !isIdempotencyKey(Input.IdempotencyKey))
    return invalidField(
        "Idempotency-Key must be at most 128 printable characters "
        "without spaces");
  CallerRequest request;
  request.Path = std::move(*route);
  request.Spec.Group = Input.Group;
  request.Spec.IdempotencyKey = Input.IdempotencyKey;
  request.Input = std::move(Input);
  if (request.Path.Kind == RouteKind::Service)
    BOOST_LEAF_CHECK(readServiceRequest(request, Config));
  else
    BOOST_LEAF_CHECK(readModelRequest(request, Config));
  request.Spec.Fingerprint = fingerprint(request);
  return request;
}

} // namespace crocusspur::internal
