#include "caller_request.h"

#include "heap_meter.h"

#include <boost/leaf.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

ConfigDocument config() {
  ConfigDocument document;
  document.Version = 1;
  document.Models.push_back({"m", 1, Milliseconds(800), {}});
  document.Services.push_back({"bays", {}, {"GET"}});
  return document;
}

struct Outcome {
  std::optional<CallerRequest> Request;
  RequestError Error;
};

Outcome parsed(RequestInput Input) {
  Outcome outcome;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(outcome.Request,
                          parseCallerRequest(std::move(Input), config()));
        return {};
      },
      [&](const RequestError &Error) { outcome.Error = Error; },
      [] { FAIL("the error has no RequestError"); });
  return outcome;
}

Outcome completion(const std::string &Body) {
  RequestInput input;
  input.Method = "POST";
  input.Target = "/v1/completions";
  input.Group = "g";
  input.Body = Body;
  return parsed(input);
}

Outcome chat(const std::string &Body) {
  RequestInput input;
  input.Method = "POST";
  input.Target = "/v1/chat/completions";
  input.Body = Body;
  return parsed(input);
}

} // namespace

TEST_CASE("A completion request has defaults for what it leaves out") {
  Outcome outcome = completion(R"({"model":"m","prompt":"a \"b\"","x":1})");
  REQUIRE(outcome.Request);
  const CallerRequest &request = *outcome.Request;
  CHECK(request.Spec.Group == "g");
  CHECK((request.Spec.Kind == RequestKind::Model));
  CHECK(request.Spec.Target == "m");
  CHECK(request.Spec.Idempotent);
  CHECK(request.Spec.MaxOutputTokens == 256);
  CHECK(request.Spec.PromptTokens == 1);
  CHECK(request.Spec.PrefixHashes.empty());
  CHECK_FALSE(request.Stream);
  CHECK(request.PromptJson == "\"a \\\"b\\\"\"");
}

TEST_CASE("Chat messages become one prompt") {
  Outcome outcome = chat(
      R"({"model":"m","stream":true,"messages":[{"role":"system","content":"s"},
          {"role":"user","content":[{"type":"text","text":"a"},
          {"type":"text","text":"b"}]}]})");
  REQUIRE(outcome.Request);
  CHECK(outcome.Request->PromptJson == "\"system: s\\nuser: ab\\n\"");
  CHECK(outcome.Request->Stream);
}

TEST_CASE("Invalid bodies are rejected as bad requests") {
  for (const char *it :
       {"", "[]", "{", "null", "\"x\"", R"({"prompt":"a"})", R"({"model":"m"})",
        R"({"model":5,"prompt":"a"})", R"({"model":"m","prompt":["a"]})",
        R"({"model":"m","prompt":"a","max_tokens":0})",
        R"({"model":"m","prompt":"a","max_tokens":-1})",
        R"({"model":"m","prompt":"a","max_tokens":32769})",
        R"({"model":"m","prompt":"a","max_tokens":1.5})",
        R"({"model":"m","prompt":"a","max_tokens":true})",
        R"({"model":"m","prompt":"a","max_tokens":99999999999999999999})",
        R"({"model":"m","prompt":"a","stream":"yes"})",
        R"({"model":"m","prompt":"a","prompt_tokens":0})"}) {
    Outcome outcome = completion(it);
    CHECK_MESSAGE(!outcome.Request, it);
    CHECK_MESSAGE(outcome.Error.Kind == ErrorKind::BadRequest, it);
  }
  for (
      const char *it :
      {R"({"model":"m","messages":[]})", R"({"model":"m","messages":"a"})",
       R"({"model":"m","messages":[1]})",
       R"({"model":"m","messages":[{"role":"user"}]})",
       R"({"model":"m","messages":[{"content":"a"}]})",
       R"({"model":"m","messages":[{"role":"u","content":[{"type":"image"}]}]})"})
    CHECK_MESSAGE(!chat(it).Request, it);
}

TEST_CASE("A deeply nested body is rejected without exhausting the stack") {
  // Guards against a crash on a thread with a small stack.
  std::string deep(400000, '[');
  CHECK_FALSE(completion(deep).Request);
  CHECK_FALSE(completion("{\"model\":\"m\",\"prompt\":" + deep).Request);
}

TEST_CASE("The detail of a rejection never contains the prompt") {
  Outcome outcome = completion(R"({"model":"m","prompt":"secret",)");
  CHECK(outcome.Error.Detail.find("secret") == std::string::npos);
}

TEST_CASE("Unknown models and services are not found") {
  CHECK(completion(R"({"model":"x","prompt":"a"})").Error.Kind ==
        ErrorKind::NotFound);
  RequestInput input;
  input.Method = "GET";
  input.Target = "/services/none/x";
  CHECK(parsed(input).Error.Kind == ErrorKind::NotFound);
}

TEST_CASE(
    "Service requests keep path and query, and the method decides whether "
    "they may be retried") {
  RequestInput input;
  input.Method = "POST";
  input.Target = "/services/bays/slots/7?from=1";
  Outcome outcome = parsed(input);
  REQUIRE(outcome.Request);
  CHECK(outcome.Request->Path.ServicePath == "/slots/7?from=1");
  CHECK_FALSE(outcome.Request->Spec.Idempotent);
  input.Method = "GET";
  input.Target = "/services/bays?from=1";
  outcome = parsed(input);
  REQUIRE(outcome.Request);
  CHECK(outcome.Request->Path.ServicePath == "/?from=1");
  CHECK(outcome.Request->Spec.Idempotent);
}

TEST_CASE("Routes are found by the whole path") {
  CHECK(findRoute("/v1/completions?x=1"));
  CHECK(findRoute("/v1/tickets")->Kind == RouteKind::Ticket);
  for (const char *it : {"/", "/v1/completionsx", "/v1", "/services/",
                         "/services//x", "/services"})
    CHECK_MESSAGE(!findRoute(it), it);
}

TEST_CASE("Idempotency keys are printable, without spaces and bounded") {
  CHECK(isIdempotencyKey("a"));
  CHECK(isIdempotencyKey(std::string(128, '~')));
  CHECK_FALSE(isIdempotencyKey(""));
  CHECK_FALSE(isIdempotencyKey(std::string(129, 'a')));
  CHECK_FALSE(isIdempotencyKey("a b"));
  CHECK_FALSE(isIdempotencyKey("a\x7f"));
  CHECK_FALSE(isIdempotencyKey("\xc3\xa9"));
}

TEST_CASE(
    "Prefix hashes cover complete blocks and depend on all preceding text") {
  std::string text(1024 * 3 + 100, 'a');
  std::vector<uint64_t> hashes = prefixHashes(text);
  REQUIRE(hashes.size() == 3);
  CHECK(hashes[0] != hashes[1]);
  std::string other = text;
  other[0] = 'b';
  CHECK(prefixHashes(other)[2] != hashes[2]);
  other = text;
  other[2048] = 'b';
  CHECK(prefixHashes(other)[1] == hashes[1]);
  CHECK(prefixHashes(std::string(1024 * 40, 'a')).size() == 16);
  CHECK(prefixHashes(std::string(1023, 'a')).empty());
}

TEST_CASE("Fingerprints distinguish groups, targets and bodies") {
  // Guards against rejecting one group's request because another group's
  // request crashed servers.
  RequestInput input;
  input.Method = "POST";
  input.Target = "/v1/completions";
  input.Group = "g";
  input.Body = R"({"model":"m","prompt":"a"})";
  uint64_t first = parsed(input).Request->Spec.Fingerprint;
  CHECK(parsed(input).Request->Spec.Fingerprint == first);
  input.Group = "h";
  CHECK(parsed(input).Request->Spec.Fingerprint != first);
  input.Group = "g";
  input.Body = R"({"model":"m","prompt":"b"})";
  CHECK(parsed(input).Request->Spec.Fingerprint != first);
}

TEST_CASE("Tokens are estimated from bytes, at least one") {
  CHECK(estimateTokens("") == 1);
  CHECK(estimateTokens("abcdefgh") == 2);
}

// A tree of all values took 300 times the body's size, for each caller.
TEST_CASE("A body of many small values doesn't take the router's memory") {
  std::string list = "[{}";
  while (list.size() < 1000000)
    list += ",{}";
  list += "]";
  std::string unread = R"({"model":"m","prompt":"p","x":)" + list + "}";
  std::string read = R"({"model":"m","messages":)" + list + "}";
  constexpr size_t MaxCopies = 4 * 1048576; // of the body
  {
    test::HeapMeter meter;
    Outcome outcome = completion(unread);
    CHECK(meter.peak() < MaxCopies);
    REQUIRE(outcome.Request);
    CHECK(outcome.Request->PromptJson == R"("p")");
  }
  test::HeapMeter meter;
  Outcome outcome = chat(read);
  CHECK(meter.peak() < MaxCopies + 8388608);
  REQUIRE_FALSE(outcome.Request);
  CHECK(outcome.Error.Kind == ErrorKind::BadRequest);
}
