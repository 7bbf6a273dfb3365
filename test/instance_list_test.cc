#include "crocusspur/instance_list.h"

#include "crocusspur/errors.h"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

using namespace crocusspur;

namespace {

std::string listText(const std::string &State) {
  return R"({"sequence":7,"instances":[{"name":"e1","state":"live",)"
         R"("region":"r","failure_domain":"d","peer_address":"127.0.0.1:1"}],)"
         R"("servers":[{"name":"p1","state":")" +
         State + R"("}]})";
}

InstanceListPtr parsed(const std::string &Text) {
  InstanceListPtr list;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_ASSIGN(list, parseInstanceList(Text));
        return {};
      },
      [] {});
  return list;
}

std::vector<Diagnostic> diagnosticsOf(const std::string &Text) {
  std::vector<Diagnostic> found;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(parseInstanceList(Text));
        return {};
      },
      [&](const DiagnosticList &List) { found = List.Diagnostics; }, [] {});
  return found;
}

} // namespace

// Guards against sending work to a server that is no longer listed.
TEST_CASE("InstanceList treats absent and leaving servers as not live") {
  InstanceListPtr live = parsed(listText("live"));
  REQUIRE(live);
  CHECK(live->serverIsLive("p1"));
  CHECK_FALSE(live->serverIsLive("p2"));
  InstanceListPtr leaving = parsed(listText("leaving"));
  REQUIRE(leaving);
  CHECK_FALSE(leaving->serverIsLive("p1"));
}

// Guards against a reader that stops at the first error.
TEST_CASE("InstanceList reports every error with its path") {
  auto found =
      diagnosticsOf(R"({"instances":[{"name":1,"state":"gone"}],"servers":5})");
  std::vector<std::string> keys;
  for (const Diagnostic &it : found)
    keys.push_back(it.Key);
  std::vector<std::string> expected = {"sequence",
                                       "instances[0].name",
                                       "instances[0].name",
                                       "instances[0].state",
                                       "instances[0].region",
                                       "instances[0].failure_domain",
                                       "instances[0].peer_address",
                                       "servers"};
  CHECK(keys == expected);
}

// An exception or an exhausted stack ended the processes that read the list, in
// other systems.
TEST_CASE("InstanceList reports odd entries instead of failing on them") {
  for (size_t depth : {100UL, 1000UL, 400000UL})
    for (const std::string &nested :
         {std::string(depth, '['),
          std::string(depth, '[') + std::string(depth, ']')}) {
      CAPTURE(depth);
      CHECK_FALSE(diagnosticsOf(nested).empty());
      CHECK_FALSE(diagnosticsOf(R"({"sequence":1,"instances":[],"servers":[)" +
                                nested + "]}")
                      .empty());
    }
  for (const char *it : {"99999999999999999999999", "1e400", "-1", "1.5"}) {
    CAPTURE(it);
    CHECK_FALSE(diagnosticsOf("{\"sequence\":" + std::string(it) +
                              ",\"instances\":[],\"servers\":[]}")
                    .empty());
  }
}

// Guards against keys that move although the instance they map to remains.
TEST_CASE("RankByRendezvous moves only the keys of a removed name") {
  std::vector<std::string> names = {"e1", "e2", "e3", "e4"};
  for (int i = 0; i < 200; ++i) {
    std::string key = "key-" + std::to_string(i);
    auto before = rankByRendezvous(key, names);
    auto after = rankByRendezvous(key, {"e1", "e2", "e3"});
    if (before.front() != "e4")
      CHECK(after.front() == before.front());
    else
      CHECK(after.front() == before[1]);
  }
}
