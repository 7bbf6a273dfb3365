#include "gateway/decisions/stream_resumption.h"

#include "gateway/decisions/stream_origin_table.h"
#include "gateway/decisions/version_history.h"
#include "gateway/stream_origins.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr VersionKey V1 = 11;
constexpr VersionKey V2 = 22;

TimePoint at(int Seconds) {
  return TimePoint() + std::chrono::seconds(1000 + Seconds);
}

crocusspur::gateway::ServerEntry entry(const std::string &Id,
                                       const std::string &Version) {
  crocusspur::gateway::ServerEntry item;
  item.Id = Id;
  item.Service = "llm";
  item.Version = Version;
  return item;
}

StreamOrigin record(VersionKey Version, uint64_t Writer, uint64_t Sequence) {
  return {7, Version, Writer, Sequence, Milliseconds(5000)};
}

const ServerProcess Began{"d1", 1000, "10.0.0.1:80", "v1"};

StreamOrigin unproven(VersionKey Version, uint64_t Writer, uint64_t Sequence) {
  StreamOrigin item = record(UncertainVersion, Writer, Sequence);
  item.Server = Began;
  item.Age = Milliseconds(2000);
  item.UnprovenVersion = Version;
  return item;
}

} // namespace

TEST_CASE("A recorded version decides, whoever has the record") {
  CHECK(decideResumption({V1}, {}).Version == V1);
  CHECK(decideResumption({}, {{}, {V2}}, V1).Version == V2);
  CHECK(decideResumption({V1}, {{V1}}, V2).Version == V1);
}

TEST_CASE("Contradictory records refuse a stream") {
  CHECK_FALSE(decideResumption({V1}, {{V2}}, V1).Version);
  CHECK_FALSE(decideResumption({VersionKey(0)}, {}, V1).Version);
}

TEST_CASE(
    "Without a record a stream goes on only at a service's sole version") {
  CHECK(decideResumption({}, {}, V1).Version == V1);
  CHECK(decideResumption({}, {{}}, V1).Version == V1);
  // This instance hasn't seen the service for long enough up to now, or not
  // with one version.
  CHECK_FALSE(decideResumption({}, {}).Version);
  CHECK_FALSE(decideResumption({}, {{}}).Version);
}

// The record of a stream that its route's time-out had ended was gone when its
// caller came back.
TEST_CASE("A record lives as long as its caller can come back") {
  CHECK(originLifetime(Milliseconds(24000)) >= Milliseconds(24000));
  CHECK(originLifetime(Milliseconds(24000)) <= Milliseconds(30000));
  CHECK(originLifetime(Milliseconds(-5)) > Milliseconds(0));
  CHECK(originLifetime(std::nullopt) == MaxStreamAge);
  CHECK(originLifetime(Milliseconds::max()) <=
        MaxStreamAge + Milliseconds(5000));
}

// What an instance had seen for some seconds was taken for all that there was.
TEST_CASE("Only what covers any age of a stream tells its version") {
  VersionHistory history;
  history.onListRead(at(0));
  history.onServer(entry("a", "v1"), at(0));
  TimePoint covered = at(0) + MaxStreamAge;
  auto soleVersion = [&](TimePoint Now) {
    return history.soleVersion("llm", Now - MaxStreamAge);
  };
  CHECK_FALSE(soleVersion(covered - Milliseconds(1)));
  CHECK(soleVersion(covered) == versionKeyOf("v1"));
  history.onServer(entry("b", "v2"), covered);
  history.onServerGone("a", covered);
  CHECK_FALSE(soleVersion(covered + MaxStreamAge));
  CHECK(soleVersion(covered + MaxStreamAge + Milliseconds(5000)) ==
        versionKeyOf("v2"));
}

TEST_CASE("The only version matters only where nobody has a record") {
  CHECK_FALSE(isRecorded({}, {}));
  CHECK_FALSE(isRecorded({}, {{}}));
  CHECK(isRecorded({V1}, {}));
  CHECK(isRecorded({}, {{}, {V2}}));
  CHECK(isRecorded({V1}, {{V2}}));
}

// Servers came and went while an instance was out of step, and their streams
// went on at the version before.
TEST_CASE("A gap in what is known of servers begins the history anew") {
  VersionHistory history;
  history.onGap(at(0)); // no list was read
  CHECK_FALSE(history.soleVersion("llm", at(0)));
  history.onListRead(at(0));
  history.onServer(entry("a", "v1"), at(0));
  CHECK(history.soleVersion("llm", at(5)) == versionKeyOf("v1"));
  history.onGap(at(10));
  CHECK_FALSE(history.soleVersion("llm", at(5)));
  CHECK(history.soleVersion("llm", at(10)) == versionKeyOf("v1"));
}

TEST_CASE("VersionHistory tells a service's version since a time") {
  VersionHistory history;
  history.onServer(entry("a", "v1"), at(0));
  CHECK_FALSE(history.soleVersion("llm", at(0))); // before the list was read
  history.onListRead(at(0));
  CHECK(history.soleVersion("llm", at(0)) == versionKeyOf("v1"));
  CHECK_FALSE(history.soleVersion("llm", at(-1)));
  CHECK_FALSE(history.soleVersion("other", at(0)));
  history.onServer(entry("b", "v2"), at(10));
  CHECK_FALSE(history.soleVersion("llm", at(10)));
  history.onServerGone("a", at(20));
  CHECK_FALSE(history.soleVersion("llm", at(19)));
  // Other instances may have used the server for some seconds more.
  CHECK_FALSE(history.soleVersion("llm", at(21)));
  CHECK(history.soleVersion("llm", at(30)) == versionKeyOf("v2"));
  history.onServerGone("b", at(40));
  CHECK_FALSE(history.soleVersion("llm", at(50)));
}

// An id that starts again at another version, and one that moves.
TEST_CASE("VersionHistory keeps the former version of a server") {
  VersionHistory history;
  history.onListRead(at(0));
  history.onServer(entry("a", "v1"), at(0));
  history.onServer(entry("a", ""), at(10));
  CHECK_FALSE(history.soleVersion("llm", at(5)));
  CHECK(history.soleVersion("llm", at(20)) == versionKeyOf(""));
}

TEST_CASE("StreamOriginTable keeps the latest record of a writer") {
  StreamOriginTable table;
  table.add(record(V1, 1, 1), at(0));
  CHECK(table.find(7, at(1)) == V1);
  CHECK_FALSE(table.find(8, at(1)));
  table.add(record(V2, 1, 3), at(1));
  table.add(record(V1, 1, 2), at(2)); // overtaken on its way
  CHECK(table.find(7, at(2)) == V2);
  CHECK_FALSE(table.find(7, at(7)));
}

TEST_CASE("StreamOriginTable refuses to choose between two writers") {
  StreamOriginTable table;
  table.add(record(V1, 1, 1), at(0));
  table.add(record(V1, 2, 1), at(0));
  CHECK(table.find(7, at(1)) == V1);
  table.add(record(V2, 3, 1), at(0));
  CHECK(table.find(7, at(1)) == VersionKey(0));
}

// A run that broke off while the store was down was recorded for good as one
// that nobody may go on with, though its process could be shown later.
TEST_CASE("An unproven record keeps its process until it is shown") {
  StreamOriginTable table;
  table.add(record(V1, 1, 1), at(0));
  table.add(unproven(V1, 1, 2), at(2));
  CHECK(table.find(7, at(2)) == UncertainVersion);
  auto found = table.findRecord(7, at(3));
  REQUIRE(found);
  CHECK(found->UnprovenVersion == V1);
  CHECK(found->Server == Began);
  CHECK(found->Age == Milliseconds(3000));
  SUBCASE("an older record doesn't show it") {
    table.add(record(V1, 1, 1), at(3));
    CHECK(table.findRecord(7, at(3))->UnprovenVersion == V1);
  }
  SUBCASE("whoever has shown it records the version") {
    table.add(record(V1, 2, 1), at(3));
    CHECK(table.find(7, at(3)) == V1);
  }
  SUBCASE("another version is a contradiction") {
    table.add(record(V2, 2, 1), at(3));
    CHECK(table.findRecord(7, at(3))->UnprovenVersion == 0);
    CHECK(table.find(7, at(3)) == UncertainVersion);
  }
  SUBCASE("that nobody may go on is final") {
    table.add(record(UncertainVersion, 2, 1), at(3));
    table.add(unproven(V1, 1, 3), at(3));
    table.add(record(V1, 1, 4), at(3));
    CHECK(table.findRecord(7, at(3))->UnprovenVersion == 0);
    CHECK(table.find(7, at(3)) == UncertainVersion);
  }
  SUBCASE("it is handed over as such") {
    StreamOriginTable receiver;
    for (const StreamOrigin &it : table.takeForHandOver(at(3)))
      receiver.add(it, at(3));
    CHECK(receiver.findRecord(7, at(4))->UnprovenVersion == V1);
    CHECK(receiver.findRecord(7, at(4))->Age == Milliseconds(4000));
  }
}

TEST_CASE(
    "A take-up has to show the process if one of the records demands it") {
  const OriginKnowledge version{V1, Began, Milliseconds(90)};
  const OriginKnowledge asked{UncertainVersion, Began, Milliseconds(70), V1};
  for (const auto &[own, peer] :
       {std::pair(version, asked), std::pair(asked, version),
        std::pair(asked, OriginKnowledge{}),
        std::pair(OriginKnowledge{V1}, asked)}) {
    ResumptionDecision decision = decideResumption(own, {peer});
    CHECK(decision.Version == V1);
    CHECK(decision.IsUnproven);
    CHECK(decision.Server == Began);
    CHECK(decision.RecordedAgo == Milliseconds(70));
  }
  CHECK_FALSE(decideResumption(version, {version}).IsUnproven);
  CHECK_FALSE(decideResumption(asked, {{V2}}).Version);
  CHECK_FALSE(decideResumption(asked, {{UncertainVersion}}).Version);
  CHECK(collectKnowledge(2, [&](size_t) { return asked; }).size() == 2);
}

// An instance that stops hands its records over. A receiver that has one of two
// contradictory records let the stream go on at that one's version.
TEST_CASE("A record that is handed over says all that its keeper knew") {
  StreamOriginTable former;
  former.add(record(V1, 1, 1), at(0));
  StreamOriginTable receiver;
  std::vector<StreamOrigin> handedOver = former.takeForHandOver(at(3));
  REQUIRE(handedOver.size() == 1);
  CHECK(handedOver.front().Lifetime == Milliseconds(2000));
  receiver.add(handedOver.front(), at(3));
  REQUIRE(receiver.findRecord(7, at(4)));
  CHECK(receiver.findRecord(7, at(4))->Version == V1);
  CHECK(receiver.findRecord(7, at(4))->Age == Milliseconds(4000));
  CHECK_FALSE(receiver.find(7, at(6)));
  // Only what has changed since is handed over again.
  CHECK(former.takeForHandOver(at(3)).empty());
  // An instance that stops as well may have sent it here meanwhile.
  former.add(record(V1, 1, 1), at(3));
  CHECK(former.takeForHandOver(at(3)).size() == 1);
  former.add(record(V2, 2, 1), at(3));
  handedOver = former.takeForHandOver(at(4));
  REQUIRE(handedOver.size() == 1);
  SUBCASE("to one without a record") {}
  SUBCASE("to one with the first of two") {
    receiver.add(record(V1, 1, 1), at(4));
  }
  SUBCASE("to one with the second of two") {
    receiver = StreamOriginTable();
    receiver.add(record(V2, 2, 1), at(4));
  }
  receiver.add(handedOver.front(), at(4));
  CHECK(receiver.find(7, at(5)) == UncertainVersion);
  receiver.add(record(V2, 2, 2), at(5));
  CHECK(receiver.find(7, at(5)) == UncertainVersion);
}

TEST_CASE("StreamOrigins hands records over once more at its stop") {
  StreamOrigins origins(1);
  origins.record(7, V1, Milliseconds(60000));
  std::optional<StreamOrigins::Unsent> taken = origins.takeUnsent();
  REQUIRE(taken);
  CHECK(taken->Records.size() == 1);
  CHECK_FALSE(taken->IsHandOver);
  origins.add({8, V2, 2, 1, Milliseconds(60000)}); // of another instance
  origins.handOver();
  taken = origins.takeUnsent();
  REQUIRE(taken);
  CHECK(taken->IsHandOver);
  CHECK(taken->Records.size() == 2);
  origins.recordUncertain(7, Milliseconds(60000));
  origins.stop();
  taken = origins.takeUnsent();
  REQUIRE(taken);
  CHECK(taken->IsLast);
  REQUIRE(taken->Records.size() == 1);
  CHECK(taken->Records.front().Stream == 7);
  CHECK(taken->Records.front().Version == UncertainVersion);
  CHECK_FALSE(origins.takeUnsent());
}

TEST_CASE("StreamOriginTable is bounded") {
  StreamOriginTable table;
  for (uint64_t i = 0; i < 70000; ++i)
    table.add({i, V1, 1, i + 1, Milliseconds(5000)}, at(0));
  CHECK(table.size() <= 65536);
  table.add({99999, V1, 1, 70001, Milliseconds(5000)}, at(60));
  CHECK(table.size() == 1);
}

TEST_CASE("A stream's key tells requests for other things apart") {
  CHECK(streamKeyOf("a", "/x", "1") == streamKeyOf("a", "/x", "1"));
  CHECK(streamKeyOf("a", "/x", "1") != streamKeyOf("a", "/y", "1"));
  CHECK(streamKeyOf("a", "/x", "1") != streamKeyOf("b", "/x", "1"));
  CHECK(streamKeyOf("a", "/x1", "") != streamKeyOf("a", "/x", "1"));
}

// A stream began at a process whose entry wasn't known yet, its caller left at
// once, and it went on at the version of the process before.
TEST_CASE("A stream may have begun at the successor of its recorded process") {
  const ServerProcess first{"d1", 1000, "10.0.0.1:80", "v1"};
  const ServerProcess second{"d1", 2000, "10.0.0.1:80", "v2"};
  const ServerProcess restarted{"d1", 2000, "10.0.0.1:80", "v1"};
  Milliseconds ago(3000);
  CHECK(doubtOrigin(first, ago, {first, Milliseconds(60000)}) ==
        OriginDoubt::AskServer);
  // The entry changed soon after the stream's begin, or before it.
  CHECK(doubtOrigin(first, ago, {second, Milliseconds(1501)}) ==
        OriginDoubt::Wrong);
  CHECK(doubtOrigin(first, ago, {second, Milliseconds(5000)}) ==
        OriginDoubt::Wrong);
  CHECK(doubtOrigin(first, ago, {second, Milliseconds(1500)}) ==
        OriginDoubt::None);
  // A crash, or an entry that is gone.
  CHECK(doubtOrigin(first, ago, {restarted, Milliseconds(2000)}) ==
        OriginDoubt::None);
  CHECK(doubtOrigin(first, ago, {}) == OriginDoubt::None);
  CHECK(doubtOrigin({}, ago, {second, Milliseconds(2000)}) ==
        OriginDoubt::None);
}

TEST_CASE("A record that names its server counts before one that doesn't") {
  const ServerProcess server{"d1", 1000, "10.0.0.1:80", "v1"};
  const OriginKnowledge certain{VersionKey(5)};
  const OriginKnowledge named{VersionKey(5), server, Milliseconds(70)};
  for (const auto &[own, peer] :
       {std::pair(certain, named), std::pair(named, certain)}) {
    ResumptionDecision decision = decideResumption(own, {peer});
    CHECK(decision.Version == VersionKey(5));
    CHECK(decision.Server == server);
    CHECK(decision.RecordedAgo == Milliseconds(70));
  }
}

// A keeper that was out of step while the others learned that nobody may go on
// let a stream go on, if it was the first one asked.
TEST_CASE("A keeper's record of a version doesn't hide that nobody may go on") {
  const std::vector<std::optional<OriginKnowledge>> keepers = {
      OriginKnowledge{versionKeyOf("v1")}, std::nullopt, OriginKnowledge{},
      OriginKnowledge{UncertainVersion}, OriginKnowledge{versionKeyOf("v1")}};
  size_t asked = 0;
  std::vector<OriginKnowledge> known =
      collectKnowledge(keepers.size(), [&](size_t Keeper) {
        ++asked;
        return keepers[Keeper];
      });
  CHECK_FALSE(decideResumption({}, known).Version.has_value());
  CHECK(asked == 4); // the last one can't change it
}
