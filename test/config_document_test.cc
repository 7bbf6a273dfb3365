#include "crocusspur/config_document.h"

#include "heap_meter.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace crocusspur;

namespace {

const std::string DigestA(64, 'a');

std::string documentText(const std::string &Groups, const std::string &Models,
                         const std::string &Services,
                         const std::string &Servers) {
  return R"({"version":8,"base":7,"groups":[)" + Groups + R"(],"models":[)" +
         Models + R"(],"services":[)" + Services + R"(],"servers":[)" +
         Servers + "]}";
}

std::string serverText(const std::string &Name, const std::string &Role,
                       const std::string &More = "") {
  return R"({"name":")" + Name + R"(","role":")" + Role +
         R"(","address":"127.0.0.1:9101")" + More + "}";
}

ConfigPtr parsed(const std::string &Text, std::vector<std::string> *Keys) {
  ConfigPtr document;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(document, parseConfigDocument(Text));
        return {};
      },
      [&](const DiagnosticList &List) {
        for (const Diagnostic &it : List.Diagnostics)
          Keys->push_back(it.Key);
      },
      [] {});
  std::sort(Keys->begin(), Keys->end());
  return document;
}

std::vector<std::string> diagnosticKeys(const std::string &Text) {
  std::vector<std::string> keys;
  CHECK_FALSE(parsed(Text, &keys));
  return keys;
}

} // namespace

// Guards against a field that is read under the wrong name or ignored.
TEST_CASE("ConfigDocument reads every field of a published document") {
  std::vector<std::string> keys;
  ConfigPtr config = parsed(
      documentText(
          R"({"name":"drivers","share":3,"class":"interactive",)"
          R"("first_output_ms":800,"pace_ms":60,"may_wait":true,)"
          R"("max_queued":9,"regions":["ie-west"],"token_digests":[")" +
              std::string(64, 'A') + R"("]})",
          R"({"name":"summary","kv_bytes_per_token":7,"eviction_ms":801,)"
          R"("shards":[{"name":"summary-0","servers":["p1","d1"]}]})",
          R"({"name":"bays","servers":["s1"],"idempotent_methods":["GET"]})",
          serverText("p1", "prefill", R"(,"slots":5,"checks_fencing":true)") +
              "," + serverText("d1", "decode", R"(,"token_interval_ms":26)") +
              "," + serverText("s1", "service")),
      &keys);
  CHECK(keys == std::vector<std::string>());
  REQUIRE(config);
  CHECK(config->Version == 8);
  CHECK(config->Base == 7);
  const GroupConfig *group = config->findGroupByTokenDigest(DigestA);
  REQUIRE(group);
  CHECK(group->Share == 3);
  CHECK(std::string(toString(group->Class)) == "interactive");
  CHECK(group->FirstOutputTarget == Milliseconds(800));
  CHECK(group->MayWait);
  CHECK(group->MaxQueued == 9);
  CHECK(isAllowedIn(*group, "ie-west", "hall-a"));
  CHECK_FALSE(isAllowedIn(*group, "kr-central", "hall-a"));
  CHECK(config->findModelOfShard("summary-0") == config->findModel("summary"));
  CHECK(config->findServer("p1")->Slots == 5);
  CHECK(config->findServer("p1")->ChecksFencing);
  CHECK(config->findServer("d1")->TokenInterval == Milliseconds(26));
  CHECK(config->findService("bays")->IdempotentMethods.front() == "GET");
}

// Guards against operators having to publish once per error.
TEST_CASE("ConfigDocument reports all errors in all sections at once") {
  std::vector<std::string> keys = diagnosticKeys(documentText(
      R"({"name":"a","share":0,"class":"fast","token_digests":["12"]},)"
      R"({"name":"a","class":"batch","token_digests":[")" +
          DigestA + R"(",")" + DigestA + R"("]})",
      R"({"name":"m","shards":[{"name":"x","servers":["p1","s1","no"]},)"
      R"({"name":"x","servers":["p1","d1"]}]})",
      R"({"name":"v","servers":["d1","s1","s1"]})",
      serverText("p1", "prefill", R"(,"slots":0)") + "," +
          serverText("d1", "decode") + "," + serverText("s1", "service") +
          R"(,{"name":"s1","role":"cook","address":"host:80"})"));
  std::vector<std::string> expected = {"groups[0].class",
                                       "groups[0].share",
                                       "groups[0].token_digests[0]",
                                       "groups[1].name",
                                       "groups[1].token_digests[1]",
                                       "models[0].shards[0].servers",
                                       "models[0].shards[0].servers[1]",
                                       "models[0].shards[0].servers[2]",
                                       "models[0].shards[1].name",
                                       "models[0].shards[1].servers[0]",
                                       "servers[0].slots",
                                       "servers[3].address",
                                       "servers[3].name",
                                       "servers[3].role",
                                       "services[0].servers[0]",
                                       "services[0].servers[2]"};
  CHECK(keys == expected);
}

// Guards against addresses that the backend client can't connect to.
TEST_CASE("ConfigDocument accepts only addresses of the form IP:port") {
  auto problems = [](const std::string &Address) {
    return diagnosticKeys(documentText("", "", "",
                                       R"({"name":"s","role":"service",)"
                                       R"("address":")" +
                                           Address + R"("},5)"))
        .size();
  };
  for (const char *good : {"10.0.0.1:1", "[::1]:65535"})
    CHECK_MESSAGE(problems(good) == 1, good);
  for (const char *bad : {"10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", ":80",
                          "10.0.0.1:8x", "::1:80", "[10.0.0.1]:80", "a.b:80"})
    CHECK_MESSAGE(problems(bad) == 2, bad);
}

// Guards against a crash or silent defaults on input that isn't a document.
TEST_CASE("ConfigDocument reports the required fields of an empty object") {
  std::vector<std::string> expected = {"groups", "models", "servers",
                                       "services", "version"};
  CHECK(diagnosticKeys("{}") == expected);
  expected.insert(expected.begin(), "(document)");
  CHECK(diagnosticKeys("[1") == expected);
}

// Guards against an index that finds an adjacent entry, or nothing, in a
// document with many groups, or that is invalid in a copy of the document.
TEST_CASE("ConfigDocument finds groups and servers among many and in copies") {
  ConfigDocument original;
  for (int i = 0; i < 100; ++i) {
    GroupConfig group;
    group.Name = "g" + std::to_string(i * 37 % 100);
    for (const char *it : {"x", "a"})
      group.TokenDigests.push_back(it + group.Name);
    original.Groups.push_back(group);
    ServerConfig server;
    server.Name = "s" + std::to_string(i * 37 % 100);
    original.Servers.push_back(server);
  }
  for (bool indexed : {false, true}) {
    if (indexed)
      original.buildIndex();
    ConfigDocument copy = original;
    for (int i = 0; i < 100; ++i) {
      std::string name = "g" + std::to_string(i);
      REQUIRE(copy.findGroup(name));
      CHECK(copy.findGroup(name)->Name == name);
      REQUIRE(copy.findGroupByTokenDigest("a" + name));
      CHECK(copy.findGroupByTokenDigest("a" + name)->Name == name);
      REQUIRE(copy.findServer("s" + std::to_string(i)));
      CHECK(copy.findServer("s" + std::to_string(i))->Name ==
            "s" + std::to_string(i));
    }
    for (const char *it : {"", "g100", "h"}) {
      CHECK_FALSE(copy.findGroup(it));
      CHECK_FALSE(copy.findServer(it));
      CHECK_FALSE(copy.findGroupByTokenDigest(it));
    }
  }
}

TEST_CASE("A document of too many values is refused within its memory") {
  std::string list = "{}";
  while (list.size() < 1000000)
    list += ",{}";
  std::string text = documentText(list, "", "", "");
  test::HeapMeter meter;
  std::vector<std::string> keys;
  CHECK_FALSE(parsed(text, &keys));
  CHECK(meter.peak() < 64 * 1048576);
  REQUIRE_FALSE(keys.empty());
  CHECK(keys.front() == "(document)");
}
