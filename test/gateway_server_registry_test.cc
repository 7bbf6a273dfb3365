#include "gateway/decisions/server_registry.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

namespace {

ServerEntry entryOf(const std::string &Id, int64_t StartedAt = 1) {
  ServerEntry entry;
  entry.Id = Id;
  entry.Service = "bays";
  entry.Address = "10.0.0.1:80";
  entry.FailureDomain = "hall-a";
  entry.Slots = 6;
  entry.StartedAt = StartedAt;
  return entry;
}

ServerRegistry registryOf(const std::vector<std::string> &Ids) {
  ServerRegistry registry("hall-a", 7);
  for (const std::string &it : Ids)
    registry.apply(entryOf(it), Start);
  return registry;
}

ServerChoice choiceOf(const std::string &Id, int64_t StartedAt) {
  ServerChoice choice;
  choice.Id = Id;
  choice.StartedAt = StartedAt;
  return choice;
}

std::string chosen(ServerRegistry &Registry, TimePoint Now) {
  auto choice = Registry.choose({"bays", ServerStage::Whole, {}}, Now);
  return choice ? choice->Id : "none";
}

} // namespace

TEST_CASE("A leaving server gets no new requests") {
  ServerRegistry registry = registryOf({"s1"});
  REQUIRE(chosen(registry, Start) == "s1");
  ServerEntry leaving = entryOf("s1");
  leaving.Leaving = true;
  registry.apply(leaving, Start);
  CHECK(chosen(registry, Start) == "none");
  CHECK_FALSE(registry.usable(choiceOf("s1", 1), Start));
}

TEST_CASE("An expired entry is a last resort until its grace time ends") {
  ServerRegistry registry = registryOf({"s1", "s2"});
  registry.remove("s1", at(1500));
  for (int i = 0; i < 20; ++i)
    CHECK(chosen(registry, at(i)) == "s2");
  ServerEntry leaving = entryOf("s2");
  leaving.Leaving = true;
  registry.apply(leaving, at(100));
  CHECK(chosen(registry, at(1500)) == "s1");
  CHECK(chosen(registry, at(1501)) == "none");
  registry.expire(at(1501));
  CHECK(registry.find("s1") == nullptr);
}

TEST_CASE("A server that announced its leaving is removed with its entry") {
  ServerRegistry registry = registryOf({"s1"});
  ServerEntry leaving = entryOf("s1");
  leaving.Leaving = true;
  registry.apply(leaving, Start);
  registry.remove("s1", at(1500));
  CHECK(registry.find("s1") == nullptr);
}

TEST_CASE("A restart under the same id is a new server") {
  ServerRegistry registry = registryOf({"s1", "s2"});
  for (int i = 0; i < 5; ++i) {
    registry.callStarted("s1", 1);
    registry.callEnded("s1", 1, CallResult::TimedOut, at(i));
  }
  REQUIRE(chosen(registry, at(10)) == "s2");
  registry.apply(entryOf("s1", 2), at(10));
  CHECK_FALSE(registry.usable(choiceOf("s1", 1), at(10)));
  CHECK(registry.usable(choiceOf("s1", 2), at(10)));
  registry.callStarted("s2", 1);
  CHECK(chosen(registry, at(10)) == "s1");
}

TEST_CASE("An unreachable server is retried with increasing backoff") {
  ServerRegistry registry = registryOf({"s1"});
  registry.apply(entryOf("s2"), Start);
  registry.callEnded("s1", 0, CallResult::Unreachable, Start);
  for (int i = 0; i < 3; ++i)
    registry.callStarted("s2", 1);
  CHECK(chosen(registry, at(249)) == "s2");
  CHECK(chosen(registry, at(251)) == "s1");
  registry.callEnded("s1", 0, CallResult::Unreachable, at(251));
  CHECK(chosen(registry, at(251 + 499)) == "s2");
}

TEST_CASE("A successful call ends the backoff") {
  ServerRegistry registry = registryOf({"s1"});
  registry.callEnded("s1", 0, CallResult::Unreachable, Start);
  registry.callEnded("s1", 0, CallResult::Succeeded, at(1));
  registry.apply(entryOf("s2"), Start);
  for (int i = 0; i < 3; ++i)
    registry.callStarted("s2", 1);
  CHECK(chosen(registry, at(2)) == "s1");
}

TEST_CASE("A server that fails some of its calls gets fewer calls") {
  ServerRegistry registry = registryOf({"bad", "good"});
  int bad = 0;
  for (int i = 0; i < 200; ++i) {
    std::string id = chosen(registry, at(i));
    bad += id == "bad" ? 1 : 0;
    registry.callStarted(id, 1);
    registry.callEnded(id, 1,
                       id == "bad" && i % 2 == 0 ? CallResult::Failed
                                                 : CallResult::Succeeded,
                       at(i));
  }
  CHECK(bad < 40);
}

TEST_CASE("Reported load of other instances counts and expires") {
  ServerRegistry registry = registryOf({"s1", "s2"});
  registry.onLoadReport("s1", {5, 2, 6}, Start);
  for (int i = 0; i < 10; ++i)
    CHECK(chosen(registry, at(10)) == "s2");
  registry.callStarted("s2", 1);
  CHECK(chosen(registry, at(1000)) == "s1");
}

TEST_CASE("The own failure domain is preferred among equal servers") {
  ServerRegistry registry = registryOf({"near"});
  ServerEntry far = entryOf("far");
  far.FailureDomain = "hall-b";
  registry.apply(far, Start);
  for (int i = 0; i < 20; ++i)
    CHECK(chosen(registry, at(i)) == "near");
}

TEST_CASE("Servers of another stage aren't selected") {
  ServerRegistry registry = registryOf({"s1"});
  auto choice = registry.choose({"bays", ServerStage::Prefill, {}}, Start);
  CHECK_FALSE(choice.has_value());
}

TEST_CASE("An excluded server isn't selected even if it is the only one") {
  ServerRegistry registry = registryOf({"s1"});
  registry.exclude("s1", at(8000));
  CHECK(chosen(registry, at(7999)) == "none");
  CHECK(chosen(registry, at(8001)) == "s1");
}

TEST_CASE("A server that registers another stage is no longer excluded") {
  ServerRegistry registry = registryOf({"s1"});
  registry.exclude("s1", at(8000));
  ServerEntry changed = entryOf("s1");
  changed.Stage = ServerStage::Decode;
  registry.apply(changed, at(6000));
  CHECK(
      registry.choose({"bays", ServerStage::Decode, {}}, at(6000)).has_value());
}

// After a restart of all instances nobody knows which servers change their
// stage, and while the store is away each refusal would cost a request.
TEST_CASE("A server that isn't in its registered stage gets no requests") {
  ServerRegistry registry = registryOf({"s1", "s2"});
  registry.onStageRefused("s1", /*Misdirected=*/true, Start);
  for (int i = 0; i < 20; ++i)
    CHECK(chosen(registry, at(9999)) == "s2");
  registry.remove("s2", Start);
  CHECK(chosen(registry, at(9999)) == "none");
  ServerEntry changed = entryOf("s1");
  changed.Stage = ServerStage::Decode;
  registry.apply(changed, at(100));
  changed.Stage = ServerStage::Whole;
  registry.apply(changed, at(200));
  CHECK(chosen(registry, at(200)) == "s1");
}

TEST_CASE("A server that may be changing its stage is a last resort") {
  ServerRegistry registry = registryOf({"s1", "s2"});
  registry.onStageRefused("s1", /*Misdirected=*/false, Start);
  for (int i = 0; i < 20; ++i)
    CHECK(chosen(registry, at(999)) == "s2");
  registry.onStageRefused("s2", /*Misdirected=*/false, Start);
  CHECK(chosen(registry, at(999)) != "none");
}

TEST_CASE("A query for a software version finds only its servers") {
  ServerRegistry registry("hall-a", 7);
  for (const char *version : {"", "v1", "v1.1"}) {
    ServerEntry entry = entryOf(std::string("s") + version);
    entry.Version = version;
    registry.apply(entry, Start);
  }
  ServerQuery query{"bays", ServerStage::Whole, {}, versionKeyOf("v1")};
  REQUIRE(registry.rank(query, Start).size() == 1);
  CHECK(registry.rank(query, Start)[0].Id == "sv1");
  query.Version = versionKeyOf("");
  REQUIRE(registry.rank(query, Start).size() == 1);
  CHECK(registry.rank(query, Start)[0].Id == "s");
  query.Version = versionKeyOf("v2");
  CHECK(registry.rank(query, Start).empty());
}

// Between its choice and the call a server may start again at another version.
TEST_CASE("A chosen server isn't usable once its version has changed") {
  ServerRegistry registry("hall-a", 7);
  ServerEntry entry = entryOf("s1");
  entry.Version = "v1";
  registry.apply(entry, Start);
  ServerChoice choice =
      *registry.choose({"bays", ServerStage::Whole, {}}, Start);
  CHECK(registry.usable(choice, Start));
  entry.Version = "v1.1";
  registry.apply(entry, at(10));
  CHECK_FALSE(registry.usable(choice, at(10)));
}
