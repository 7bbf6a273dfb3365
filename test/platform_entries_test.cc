#include "platform/published_entries.h"

#include "heap_meter.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using namespace crocusspur::platform;

namespace {

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  size_t n = Text.find(From);
  REQUIRE(n != std::string::npos);
  return Text.replace(n, From.size(), To);
}

const std::string GoodServer =
    R"({"service":"bays","address":"10.128.0.9:8080","zone":"hall-a",)"
    R"("version":"v1","slots":64,"state":"ready","cold-left-ms":0,)"
    R"("phase":"decode","models":[{"name":"m"}],"sequence":4,)"
    R"("born":1764000000123})";

const std::string GoodRoutes =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
    R"("path-prefix":"/x/","type":"streaming","timeout-ms":14000,)"
    R"("latency-target-ms":900,"priority":1,"split":[)"
    R"({"service":"s1","weight":90},{"service":"s2","weight":10}],)"
    R"("max-attempts":2,"resumable":true,"itl-target-ms":300}],)"
    R"("services":[{"name":"s1","health-path":"/healthz","max-conns":370,)"
    R"("runtime":{"slots":64,"kv-capacity":66998,"stride":11,)"
    R"("kv-ttl-s":0.5,"hold-ms":2000.0}},)"
    R"({"name":"s2","health-path":"/h","max-conns":110}],)"
    R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
    R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";

} // namespace

TEST_CASE("parseServerEntry converts a valid entry") {
  auto entry = parseServerEntry("i-1", GoodServer);
  REQUIRE(entry.has_value());
  CHECK(entry->Id == "i-1");
  CHECK(entry->Service == "bays");
  CHECK(entry->FailureDomain == "hall-a");
  CHECK(entry->Version == "v1");
  CHECK(entry->Stage == ServerStage::Decode);
  CHECK(entry->StartedAt == 1764000000123);
  CHECK_FALSE(entry->Leaving);
}

TEST_CASE("parseServerEntry rejects invalid entries") {
  const std::pair<const char *, const char *> invalidFields[] = {
      {"\"state\":\"ready\"", "\"state\":\"resting\""},
      {"\"state\":\"ready\"", "\"state\":3"},
      {"\"service\":\"bays\"", "\"service\":[\"bays\"]"},
      {"\"service\":\"bays\",", ""},
      {"10.128.0.9:8080", "server.example:8080"},
      {"\"slots\":64", "\"slots\":\"64\""},
      {"\"slots\":64", "\"slots\":-1"},
      {"\"phase\":\"decode\"", "\"phase\":\"dreaming\""},
      {"\"born\":1764000000123", "\"born\":\"now\""},
      {"\"born\":1764000000123", "\"born\":12.5"},
      {"\"version\":\"v1\"", "\"version\":1"},
      {"\"version\":\"v1\",", ""},
      {"\"zone\":\"hall-a\"", "\"zone\":null"}};
  for (const auto &it : invalidFields) {
    const char *from = it.first;
    const char *to = it.second;
    CAPTURE(to);
    CHECK_FALSE(
        parseServerEntry("i-1", replaced(GoodServer, from, to)).has_value());
  }
  CHECK_FALSE(parseServerEntry("i-1", "").has_value());
  CHECK_FALSE(parseServerEntry("i-1", "\xff\xfe{").has_value());
  CHECK_FALSE(parseServerEntry("i-1", "[]").has_value());
}

// Entries of other writers. An exception or an exhausted stack ended the
// processes that read the list, in other systems.
TEST_CASE("parseServerEntry survives odd entries") {
  for (size_t depth : {100UL, 1000UL, 400000UL}) {
    std::string arrays(depth, '[');
    std::string objects;
    for (size_t i = 0; i < depth; ++i)
      objects += "{\"a\":";
    for (const std::string &nested :
         {arrays, arrays + std::string(depth, ']'), objects,
          objects + "1" + std::string(depth, '}')}) {
      CAPTURE(depth);
      CHECK_FALSE(parseServerEntry("i-1", nested).has_value());
      // Also as an unknown field, which a server may have if it can be read.
      parseServerEntry("i-1",
                       replaced(GoodServer, "{", "{\"x\":" + nested + ","));
    }
  }
  const std::pair<std::string, std::string> odd[] = {
      {"\"slots\":64", "\"slots\":4294967296"},
      {"\"slots\":64", "\"slots\":18446744073709551615"},
      {"\"slots\":64", "\"slots\":99999999999999999999999"},
      {"\"slots\":64", "\"slots\":1e400"},
      {"\"slots\":64", "\"slots\":64.5"},
      {"\"born\":1764000000123", "\"born\":9223372036854775808"},
      {"\"born\":1764000000123", "\"born\":-1"},
      {"\"born\":1764000000123", "\"born\":1e400"},
      {"10.128.0.9:8080", "10.128.0.9:65536"},
      {"10.128.0.9:8080", "10.128.0.9:0"},
      {"10.128.0.9:8080", "10.128.0.9:-1"},
      {"10.128.0.9:8080", "10.128.0.9:99999999999999999999"},
      {"10.128.0.9:8080", "10.128.0.256:8080"},
      {"10.128.0.9:8080", ":8080"},
      {"10.128.0.9:8080", "10.128.0.9"}};
  for (const auto &it : odd) {
    CAPTURE(it.second);
    CHECK_FALSE(
        parseServerEntry("i-1", replaced(GoodServer, it.first, it.second))
            .has_value());
  }
}

TEST_CASE("parseServerEntry accepts any text as a software version") {
  for (const std::string &version : {"", "v1.2-rc 3"}) {
    auto entry = parseServerEntry(
        "i-1", replaced(GoodServer, "\"v1\"", "\"" + version + "\""));
    REQUIRE(entry.has_value());
    CHECK(entry->Version == version);
  }
  const std::string longest(400, 'v');
  CHECK(parseServerEntry("i-1", replaced(GoodServer, "v1", longest))->Version ==
        longest);
}

TEST_CASE("parseServerEntry ignores unknown fields") {
  CHECK(parseServerEntry("i-1", replaced(GoodServer, "{", "{\"new-field\":{},"))
            .has_value());
}

TEST_CASE("parseRouteDocument converts routes, services and limits") {
  RouteDocumentPtr document = parseRouteDocument(GoodRoutes);
  REQUIRE(document);
  CHECK(document->Version == 7);
  REQUIRE(document->Routes.size() == 1);
  const PathRoute &route = document->Routes[0];
  CHECK(route.Kind == RouteKind::Stream);
  CHECK(route.Timeout == Milliseconds(14000));
  CHECK(route.LatencyTarget == Milliseconds(900));
  CHECK(route.InterTokenTarget == Milliseconds(300));
  CHECK(route.MaxServers == 2);
  CHECK(route.Resumable);
  REQUIRE(route.Services.size() == 2);
  CHECK(route.Services[1].Weight == 10);
  const ServiceConfig &service = document->Services.at("s1");
  REQUIRE(service.Engine.has_value());
  CHECK(service.Engine->CapacityTokens == 66998);
  CHECK(service.Engine->TokensPerEvent == 11);
  CHECK(service.Engine->HandleLifetime == Milliseconds(500));
  CHECK(service.Engine->MaxReservation == Milliseconds(2000));
  CHECK_FALSE(document->Services.at("s2").Engine.has_value());
  CHECK(document->Limits.MaxHeaderBytes == 16384);
  CHECK(document->Limits.IdleTimeout == Milliseconds(15000));
}

TEST_CASE("parseRouteDocument rejects a damaged configuration as a whole") {
  CHECK_FALSE(parseRouteDocument("{}"));
  CHECK_FALSE(parseRouteDocument(
      replaced(GoodRoutes, "\"version\":7", "\"version\":0")));
  CHECK_FALSE(parseRouteDocument(replaced(GoodRoutes, "\"streaming\"", "3")));
  CHECK_FALSE(
      parseRouteDocument(replaced(GoodRoutes, "[{\"name\"", "[3,{\"name\"")));
}

// Guards against a type of a later contract that keeps a whole version, with
// its removed keys, from coming into force, and against requests to it that a
// shorter prefix gets.
TEST_CASE("A route of an unknown type is known and not supported") {
  RouteDocumentPtr document =
      parseRouteDocument(replaced(GoodRoutes, "\"streaming\"", "\"dreaming\""));
  REQUIRE(document);
  REQUIRE(document->Routes.size() == 1);
  CHECK_FALSE(document->Routes[0].Supported);
  REQUIRE(document->Unsupported.size() == 1);
  CHECK(document->Unsupported[0].Key == "routes[0].type");
  CHECK(findRoute(*document, document->Routes[0].Host,
                  document->Routes[0].PathPrefix) == &document->Routes[0]);
}

// Guards against figures that are cut to 32 bits: 2^32 bytes became a limit of
// 0, which refuses every request.
TEST_CASE("Figures of a configuration beyond their range mean the largest") {
  RouteDocumentPtr document = parseRouteDocument(
      replaced(replaced(GoodRoutes, "\"max-header-bytes\":16384",
                        "\"max-header-bytes\":4294967296"),
               "\"timeout-ms\":14000", "\"timeout-ms\":14000.0"));
  REQUIRE(document);
  CHECK(document->Limits.MaxHeaderBytes == UINT32_MAX);
  CHECK(document->Routes[0].Timeout == Milliseconds(14000));
  document = parseRouteDocument(
      replaced(GoodRoutes, "\"timeout-ms\":14000", "\"timeout-ms\":9e18"));
  CHECK_FALSE(document); // not a whole number that can be told exactly
  document =
      parseRouteDocument(replaced(GoodRoutes, "\"timeout-ms\":14000",
                                  "\"timeout-ms\":18446744073709551615"));
  REQUIRE(document);
  CHECK(document->Routes[0].Timeout > std::chrono::hours(24));
  CHECK(document->Routes[0].Timeout < std::chrono::hours(1000000));
}

// The entry of a live server with one more field took 300 MB, and was kept and
// passed on to peers whole.
TEST_CASE("A field of an entry that isn't read costs no memory") {
  std::string list = "[{}";
  while (list.size() < 1000000)
    list += ",{}";
  std::string text = replaced(GoodServer, "{", "{\"inventory\":" + list + "],");
  crocusspur::test::HeapMeter meter;
  auto entry = parseServerEntry("i-1", text);
  CHECK(meter.peak() < 65536);
  REQUIRE(entry.has_value());
  CHECK(entry->Text.size() < 300);
  auto passedOn = parseServerEntry("i-1", entry->Text);
  REQUIRE(passedOn.has_value());
  CHECK(passedOn->Address == "10.128.0.9:8080");
  CHECK(passedOn->Stage == ServerStage::Decode);
  CHECK(passedOn->StartedAt == 1764000000123);
  CHECK(passedOn->Slots == 64);
}

TEST_CASE("An entry or a configuration of too many values names nothing") {
  std::string list = "[{}";
  while (list.size() < 1000000)
    list += ",{}";
  list += "]";
  std::string server = replaced(GoodServer, "\"bays\"", list);
  std::string config =
      "{\"version\":1,\"services\":[],\"routes\":" + list + "}";
  crocusspur::test::HeapMeter meter;
  CHECK_FALSE(parseServerEntry("i-1", server).has_value());
  CHECK(meter.peak() < 131072);
  std::vector<Diagnostic> faults;
  CHECK_FALSE(readRouteDocument(config, faults));
  REQUIRE(faults.size() == 1);
  CHECK(faults[0].Expected == "values of at most 24 MiB in memory");
  CHECK(meter.peak() < 33554432);
}
