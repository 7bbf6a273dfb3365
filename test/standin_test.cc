// Tests of the stand-ins themselves: a bug in them would make the process tests
// pass or fail for the wrong reason.
#include "process_fixture.h"

#include <Poco/JSON/Array.h>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

FleetOptions withoutRouters() {
  FleetOptions options;
  options.Routers = 0;
  options.PrefillServers = 1;
  options.DecodeServers = 1;
  options.ServiceServers = 1;
  options.ReportLagMs = 0;
  options.Slots = 2;
  return options;
}

HttpRequest post(const std::string &Address, const std::string &Path,
                 const std::string &Body) {
  return {Address, "POST", Path, Body, {}};
}

std::string prefillBody(const std::string &Id, const std::string &Prompt,
                        uint64_t Fence = 1) {
  return R"({"request":")" + Id + R"(","model":"summary","prompt":")" + Prompt +
         R"(","prompt_tokens":100,"fence":)" + std::to_string(Fence) + "}";
}

std::string decodeBody(const std::string &Id, const std::string &Source,
                       uint32_t MaxTokens, const std::string &More = "") {
  return R"({"request":")" + Id +
         R"(","model":"summary","fence":1,"source":")" + Source +
         R"(","max_tokens":)" + std::to_string(MaxTokens) + More + "}";
}

std::string refused(const HttpResponse &Response) {
  return parseJson(Response.Body)->optValue<std::string>("refused", "");
}

// Reads a decode stream to its end and returns the text of its tokens.
std::string readTokens(EventStream &Stream) {
  std::string text;
  StreamEvent event;
  while (Stream.next(event))
    text += parseJson(event.Data)->optValue<std::string>("token", "");
  return text;
}

} // namespace

// Guards against an engine that loses or changes tokens in the transfer, or
// that keeps the result after the import.
TEST_CASE("StandinEngine decodes an imported result and releases its memory") {
  ProcessFixture fleet(withoutRouters());
  std::string source = fleet.server("p1").Address;
  REQUIRE(
      send(post(source, "/v1/prefill", prefillBody("a-1", "hello"))).Status ==
      200);
  CHECK(fleet.heldRequests() == std::vector<std::string>{"p1:result:a-1"});
  EventStream stream(post(fleet.server("d1").Address, "/v1/decode",
                          decodeBody("a-1", source, 5)));
  REQUIRE(stream.status() == 200);
  CHECK(readTokens(stream) == expectedTokens("hello", 5));
  CHECK(eventually([&] { return fleet.heldRequests().empty(); }, WaitTimeout));
  CHECK(fleet.countRuns("prefill", "imported") == 1);
  CHECK(fleet.countRuns("decode", "done") == 1);
}

// Guards against results that are kept after their eviction time, which would
// hide wasted prefills.
TEST_CASE("StandinEngine evicts a result that is never imported") {
  FleetOptions options = withoutRouters();
  options.EvictionMs = 50;
  ProcessFixture fleet(options);
  std::string source = fleet.server("p1").Address;
  send(post(source, "/v1/prefill", prefillBody("a-1", "hello")));
  CHECK(eventually([&] { return fleet.heldRequests().empty(); }, WaitTimeout));
  CHECK(fleet.countRuns("prefill", "evicted") == 1);
  HttpResponse response = send(post(fleet.server("d1").Address, "/v1/decode",
                                    decodeBody("a-1", source, 5)));
  CHECK(response.Status == 409);
  CHECK(refused(response) == "evicted");
}

// Guards against a resume that repeats or changes tokens.
TEST_CASE("StandinEngine resumes with the same tokens as the first run") {
  ProcessFixture fleet(withoutRouters());
  EventStream stream(
      post(fleet.server("d1").Address, "/v1/decode",
           decodeBody("a-1", "", 6, R"(,"first_index":4,"prompt":"hello")")));
  std::string complete = expectedTokens("hello", 6);
  std::string head = expectedTokens("hello", 4);
  CHECK(readTokens(stream) == complete.substr(head.size()));
}

// Guards against a stand-in that releases memory when its client disconnects:
// tests would then pass without the router's cancel.
TEST_CASE("StandinEngine holds memory after a close until it is cancelled") {
  ProcessFixture fleet(withoutRouters());
  std::string address = fleet.server("d1").Address;
  EventStream stream(post(address, "/v1/decode",
                          decodeBody("a-1", "", 5000, R"(,"prompt":"x")")));
  StreamEvent event;
  REQUIRE(stream.next(event));
  stream.close();
  CHECK_FALSE(eventually([&] { return fleet.heldRequests().empty(); },
                         Milliseconds(500)));
  HttpResponse response =
      send(post(address, "/v1/cancel", R"({"request":"a-1"})"));
  CHECK(response.Body == R"({"cancelled":true})");
  CHECK(fleet.heldRequests().empty());
}

// Guards against refusals that don't follow the protocol.
TEST_CASE("StandinEngine refuses when full, by model and by fencing token") {
  ProcessFixture fleet(withoutRouters());
  std::string address = fleet.server("d1").Address;
  std::string more = R"(,"prompt":"x")";
  EventStream first(
      post(address, "/v1/decode", decodeBody("a-1", "", 5000, more)));
  EventStream second(
      post(address, "/v1/decode", decodeBody("a-2", "", 5000, more)));
  HttpResponse full =
      send(post(address, "/v1/decode", decodeBody("a-3", "", 5, more)));
  CHECK(full.Status == 503);
  CHECK(refused(full) == "full");
  std::string source = fleet.server("p1").Address;
  send(post(source, "/v1/prefill", prefillBody("b-1", "x", 7)));
  HttpResponse fence =
      send(post(source, "/v1/prefill", prefillBody("b-2", "x", 6)));
  CHECK(fence.Status == 409);
  CHECK(refused(fence) == "fence");
  HttpResponse model = send(post(
      source, "/v1/prefill", R"({"request":"b-3","model":"other","fence":7})"));
  CHECK(refused(model) == "model");
}

// Guards against a silence that also affects new connections or that closes the
// old ones.
TEST_CASE("StandinEngine silences only open connections") {
  ProcessFixture fleet(withoutRouters());
  std::string address = fleet.server("d1").Address;
  HttpRequest request = post(address, "/v1/decode",
                             decodeBody("a-1", "", 5000, R"(,"prompt":"x")"));
  request.Timeout = Milliseconds(300);
  EventStream stream(request);
  StreamEvent event;
  REQUIRE(stream.next(event));
  fleet.control("d1", "silence");
  while (stream.next(event)) {
    // Skips tokens that were written before the fault.
  }
  CHECK(fleet.heldRequests() == std::vector<std::string>{"d1:decode:a-1"});
  CHECK(send({address, "GET", "/v1/load", "", {}}).Status == 200);
}

// Guards against a watch that skips a document or returns the newest instead of
// the next one.
TEST_CASE("StandinPlatform returns the lowest number above the given one") {
  ProcessFixture fleet(withoutRouters());
  std::string address = fleet.platform().Address;
  fleet.publishConfigText(R"({"version":2,"base":1})");
  fleet.publishConfigText(R"({"version":3,"base":2})");
  HttpResponse next =
      send({address, "GET", "/v1/config?after=1&wait_ms=10", "", {}});
  CHECK(next.Body == R"({"version":2,"base":1})");
  CHECK(send({address, "GET", "/v1/config", "", {}}).Body ==
        R"({"version":3,"base":2})");
  CHECK(
      send({address, "GET", "/v1/config?after=3&wait_ms=10", "", {}}).Status ==
      304);
  CHECK(fleet.publishConfigText(R"({"version":9})", "?strict=1").Status == 409);
}

// Guards against a limit that also affects other readers, and against counts
// that aren't kept per reader.
TEST_CASE("StandinPlatform serves old documents to selected readers") {
  ProcessFixture fleet(withoutRouters());
  fleet.publishConfigText(R"({"version":2,"base":1})");
  fleet.control("platform", "stale?reader=e1&config=1&list=1");
  auto versionFor = [&](const std::string &Reader) {
    HttpResponse response = send({fleet.platform().Address,
                                  "GET",
                                  "/v1/config",
                                  "",
                                  {{"Crocusspur-Instance", Reader}}});
    return parseJson(response.Body)->getValue<int>("version");
  };
  CHECK(versionFor("e1") == 1);
  CHECK(versionFor("e2") == 2);
  auto counts = parseJson(fleet.control("platform", "counts").Body);
  auto reader = counts->getObject("readers")->getObject("e1");
  CHECK(reader->getValue<int>("config") == 1);
}

// Guards against a call that is counted although it wasn't executed, or
// executed but not counted.
TEST_CASE("StandinService closes before or after executing as configured") {
  ProcessFixture fleet(withoutRouters());
  std::string address = fleet.server("s1").Address;
  auto executed = [&] {
    return fleet.executionLog("s1")->getArray("calls")->size();
  };
  fleet.control("s1", "close?when=before");
  CHECK(send(post(address, "/bay", "a")).Status == 0);
  CHECK(executed() == 0);
  fleet.control("s1", "close?when=after");
  CHECK(send(post(address, "/bay", "b")).Status == 0);
  CHECK(executed() == 1);
  CHECK(send(post(address, "/bay", "c")).Status == 200);
  CHECK(executed() == 2);
}
