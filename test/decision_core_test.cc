#include "crocusspur/decision_core.h"

#include "core_samples.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace crocusspur;
using namespace crocusspur::test;

namespace {

// One core in virtual time. Keeps the actions of the last event.
struct CoreDriver {
  explicit CoreDriver(CoreOptions Options = sampleCoreOptions("e1", 7))
      : Core(std::move(Options)) {}

  ActionList &deliver(EventBody Body, Milliseconds After = Milliseconds{1}) {
    Now += After;
    Last.clear();
    Core.handle(Event{Now, WallTime(std::chrono::hours(1)), std::move(Body)},
                Last);
    AllActions.insert(AllActions.end(), Last.begin(), Last.end());
    return Last;
  }

  // Delivers timer events every 50 ms for this duration.
  void advance(Milliseconds Duration) {
    ActionList seen;
    for (Milliseconds it{0}; it < Duration; it += Milliseconds{50}) {
      deliver(TimerFired{}, Milliseconds{50});
      seen.insert(seen.end(), Last.begin(), Last.end());
    }
    Last = std::move(seen);
  }

  void start(int Instances = 1) {
    deliver(TimerFired{});
    deliver(ListPublished{parsedList(sampleListText(1, Instances))});
    deliver(ConfigPublished{parsedConfig(sampleConfigText())});
    reportLoad();
  }

  void reportLoad() {
    for (const char *it : {"p1", "p2", "d1", "d2", "s1", "s2"}) {
      LoadReported report;
      report.Server = it;
      report.Epoch = 1;
      report.Slots = 2;
      deliver(std::move(report));
    }
  }

  template <typename T> const T *last() const {
    for (auto it = Last.rbegin(); it != Last.rend(); ++it)
      if (auto *item = std::get_if<T>(&*it))
        return item;
    return nullptr;
  }

  // Returns the last message of the type, to the instance unless it is empty.
  template <typename T> const T *sent(const std::string &To = "") const {
    const T *found = nullptr;
    for (const Action &it : Last)
      if (auto *item = std::get_if<SendToPeer>(&it))
        if (To.empty() || item->Instance == To)
          if (auto *message = std::get_if<T>(&item->Message))
            found = message;
    return found;
  }

  void link(const std::string &Peer, bool Up = true) {
    deliver(PeerLinkChanged{Peer, 20, Up});
  }

  void receive(const std::string &Peer, PeerMessage Message = Heartbeat{}) {
    deliver(PeerReceived{Peer, 20, std::move(Message)});
  }

  // Delivers timer events, with a heartbeat of each peer every 200 ms.
  void advanceWithPeers(Milliseconds Duration,
                        const std::vector<std::string> &Peers) {
    ActionList seen;
    for (Milliseconds it{0}; it < Duration; it += Milliseconds{200}) {
      for (const std::string &peer : Peers) {
        receive(peer);
        seen.insert(seen.end(), Last.begin(), Last.end());
      }
      advance(Milliseconds{200});
      seen.insert(seen.end(), Last.begin(), Last.end());
    }
    Last = std::move(seen);
  }

  size_t countDecisions(DecisionKind Kind) const {
    return static_cast<size_t>(
        std::count_if(Last.begin(), Last.end(), [&](const Action &It) {
          auto *decision = std::get_if<DecisionRecord>(&It);
          return decision && decision->Kind == Kind;
        }));
  }

  // Number of the last heartbeat sent to the peer since the start.
  uint64_t lastHeartbeatNumber(const std::string &To) const {
    uint64_t number = 0;
    for (const Action &it : AllActions)
      if (auto *item = std::get_if<SendToPeer>(&it))
        if (auto *message = std::get_if<Heartbeat>(&item->Message);
            message && item->Instance == To)
          number = message->Number;
    return number;
  }

  // A heartbeat of the peer that responds to the last one sent to it.
  Heartbeat confirmation(const std::string &Peer) const {
    Heartbeat answer;
    answer.ListSequence = 1;
    answer.Echo = lastHeartbeatNumber(Peer);
    return answer;
  }

  // Counts the decisions since the start.
  size_t countAllDecisions(DecisionKind Kind) const {
    return static_cast<size_t>(std::count_if(
        AllActions.begin(), AllActions.end(), [&](const Action &It) {
          auto *decision = std::get_if<DecisionRecord>(&It);
          return decision && decision->Kind == Kind;
        }));
  }

  template <typename T> size_t count() const {
    size_t n = 0;
    for (const Action &it : Last)
      n += std::holds_alternative<T>(it);
    return n;
  }

  DecisionCore Core;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  ActionList Last;
  ActionList AllActions;
};

std::string kindOf(const DecisionRecord *Entry) {
  return Entry ? toString(Entry->Kind) : "none";
}

StageFinished finished(const RequestId &Id, uint32_t Attempt, Stage At,
                       StageOutcome Outcome, const std::string &Server) {
  StageFinished body;
  body.Id = Id;
  body.Attempt = Attempt;
  body.FinishedStage = At;
  body.Outcome = Outcome;
  body.Server = Server;
  return body;
}

} // namespace

// Guards against components that don't reach each other within the core: a
// request at the instance that owns the shard must need no message on a link.
TEST_CASE("DecisionCore serves a model request through its own owner") {
  CoreDriver core;
  core.start();
  RequestId id{7, 1};
  core.deliver(RequestArrived{id, modelSpec(), ""});
  const StartPrefill *prefill = core.last<StartPrefill>();
  REQUIRE(prefill);
  CHECK(prefill->NotAfter - core.Now == Milliseconds{500});
  core.deliver(finished(id, prefill->Attempt, Stage::Prefill, StageOutcome::Ok,
                        prefill->Server));
  const StartDecode *decode = core.last<StartDecode>();
  REQUIRE(decode);
  core.deliver(StageProgress{id, decode->Attempt, 0});
  uint32_t attempt = decode->Attempt;
  core.deliver(finished(id, attempt, Stage::Decode, StageOutcome::Ok, "d1"));
  const DecisionRecord *decision = core.last<DecisionRecord>();
  REQUIRE(decision);
  CHECK(kindOf(decision) == "completed");
  CHECK(core.count<SendToPeer>() == 0);
  core.deliver(RequestClosed{id, true});
}

// Guards against service calls that wait for an owner.
TEST_CASE("DecisionCore serves a service call directly") {
  CoreDriver core;
  core.start();
  RequestId id{7, 1};
  core.deliver(RequestArrived{id, serviceSpec(false), ""});
  const StartService *call = core.last<StartService>();
  REQUIRE(call);
  StageFinished done = finished(id, call->Attempt, Stage::Service,
                                StageOutcome::Ok, call->Server);
  done.HttpStatus = 201;
  core.deliver(done);
  CHECK(core.count<AnswerError>() == 0);
  const DecisionRecord *decision = core.last<DecisionRecord>();
  REQUIRE(decision);
  CHECK(kindOf(decision) == "completed");
}

namespace {

// Returns the instances of a list of three in rendezvous order of the sample's
// shard.
std::vector<std::string> shardRank() {
  return rankByRendezvous("summary-0", {"e1", "e2", "e3"});
}

AcquireRequest acquireFromPeer() {
  AcquireRequest message;
  message.Id = {9, 1};
  message.Shard = "summary-0";
  message.Group = "drivers";
  message.PromptTokens = 400;
  message.MaxOutputTokens = 64;
  message.TimeLeft = std::chrono::seconds(2);
  return message;
}

CoreOptions optionsFor(const std::string &Instance) {
  CoreOptions options = sampleCoreOptions(Instance, 7);
  int index = Instance.back() - '1';
  options.FailureDomain = std::string("hall-") + "abc"[index];
  return options;
}

std::vector<std::string> others(const std::string &Instance) {
  std::vector<std::string> names = {"e1", "e2", "e3"};
  names.erase(std::find(names.begin(), names.end(), Instance));
  return names;
}

// A core in a list of three that has heard from both peers and is ready.
struct LinkedCore : CoreDriver {
  explicit LinkedCore(const std::string &Instance)
      : CoreDriver(optionsFor(Instance)), Peers(others(Instance)) {
    deliver(TimerFired{});
    for (const std::string &it : Peers) {
      link(it);
      receive(it);
    }
    start(3);
    advance(Milliseconds{100});
  }

  std::vector<std::string> Peers;
};

} // namespace

// Guards against an instance that serves before it has a configuration and
// list.
TEST_CASE("DecisionCore refuses requests before it is ready") {
  CoreDriver core;
  core.deliver(RequestArrived{{7, 1}, modelSpec(), ""});
  const AnswerError *answer = core.last<AnswerError>();
  REQUIRE(answer);
  CHECK(std::string(errorResponse(answer->Kind).Name) == "not_ready");
  CHECK(answer->RetryAfter > Milliseconds{0});
}

// Guards against a new instance that serves an old version from a stale
// platform although its peers have a newer one (P7).
TEST_CASE("DecisionCore hears from its peers before it is ready") {
  CoreDriver core(optionsFor("e1"));
  core.start(3);
  CHECK_FALSE(core.last<SetReadiness>());
  SUBCASE("ready once every peer was heard from") {
    core.link("e2");
    core.link("e3");
    core.receive("e2");
    CHECK_FALSE(core.last<SetReadiness>());
    core.receive("e3");
    REQUIRE(core.last<SetReadiness>());
    CHECK(core.last<SetReadiness>()->Ready);
  }
  SUBCASE("waits for a newer version of a peer") {
    Heartbeat newer;
    newer.ConfigVersion = 5;
    core.link("e2");
    core.link("e3");
    core.receive("e3");
    core.receive("e2", newer);
    REQUIRE(core.sent<ConfigRequest>("e2"));
    CHECK(core.sent<ConfigRequest>("e2")->HaveVersion == 0);
    CHECK_FALSE(core.last<SetReadiness>());
    SampleOptions sample;
    sample.Version = 5;
    sample.Base = 4;
    core.receive("e2", ConfigOffer{sampleConfigText(sample)});
    REQUIRE(core.last<UseConfig>());
    CHECK(core.last<UseConfig>()->Document->Version == 5);
    CHECK(core.last<SetReadiness>());
  }
  SUBCASE("ready after a second without them") {
    core.advance(Milliseconds{900});
    CHECK_FALSE(core.last<SetReadiness>());
    core.advance(Milliseconds{150});
    CHECK(core.last<SetReadiness>());
  }
}

// Guards against a configuration that reverts to an older version from a stale
// reader.
TEST_CASE("DecisionCore never reverts the active version") {
  CoreDriver core;
  core.start();
  SampleOptions sample;
  sample.Version = 5;
  sample.Base = 4;
  core.receive("e2", ConfigOffer{sampleConfigText(sample)});
  CHECK(core.last<UseConfig>());
  sample.Version = 2;
  sample.Base = 1;
  core.deliver(ConfigPublished{parsedConfig(sampleConfigText(sample))});
  CHECK_FALSE(core.last<UseConfig>());
  core.receive("e2", ConfigOffer{sampleConfigText(sample)});
  CHECK_FALSE(core.last<UseConfig>());
  core.receive("e2", ConfigOffer{"{"});
  CHECK(core.Last.empty());
}

// Guards against a reader that skips a document, so that a later document is
// evaluated without it.
TEST_CASE("DecisionCore sends the reader back after a gap") {
  CoreDriver core;
  core.start();
  SampleOptions sample;
  sample.Version = 3;
  sample.Base = 2;
  core.deliver(ConfigPublished{parsedConfig(sampleConfigText(sample))});
  CHECK_FALSE(core.last<UseConfig>());
  REQUIRE(core.last<SetPlatformReading>());
  CHECK(core.last<SetPlatformReading>()->AfterVersion == 1);
  sample.Version = 2;
  sample.Base = 0;
  core.deliver(ConfigPublished{parsedConfig(sampleConfigText(sample))});
  CHECK(core.countDecisions(DecisionKind::ConfigRefused) == 1);
}

// Guards against lists that revert to older ones, and against peers that keep
// old ones.
TEST_CASE("DecisionCore uses the newest list and passes it on") {
  CoreDriver core;
  core.start();
  core.receive("e2", ListOffer{sampleListText(4, 2)});
  REQUIRE(core.last<UseList>());
  CHECK(core.last<UseList>()->List->Sequence == 4);
  core.deliver(ListPublished{parsedList(sampleListText(3, 2))});
  CHECK_FALSE(core.last<UseList>());
  core.receive("e2", ListRequest{3});
  CHECK(core.sent<ListOffer>("e2"));
  core.receive("e2", ListRequest{4});
  CHECK_FALSE(core.sent<ListOffer>());
  core.receive("e2", ConfigRequest{0});
  CHECK(core.sent<ConfigOffer>("e2"));
  core.receive("e2", ConfigRequest{1});
  CHECK_FALSE(core.sent<ConfigOffer>());
  Heartbeat newer;
  newer.ListSequence = 9;
  core.advance(Milliseconds{500});
  core.receive("e2", newer);
  REQUIRE(core.sent<ListRequest>("e2"));
  CHECK(core.sent<ListRequest>("e2")->HaveSequence == 4);
}

// Guards against heartbeats that aren't sent to each peer in each period.
TEST_CASE("DecisionCore sends a heartbeat to each linked peer") {
  LinkedCore core("e1");
  core.advanceWithPeers(Milliseconds{2000}, core.Peers);
  size_t n = 0;
  for (const Action &it : core.Last)
    if (auto *item = std::get_if<SendToPeer>(&it))
      n += item->Instance == "e2" &&
           std::holds_alternative<Heartbeat>(item->Message);
  CHECK(n == 4);
  REQUIRE(core.sent<Heartbeat>("e2"));
  CHECK(core.sent<Heartbeat>("e2")->ConfigVersion == 1);
  CHECK(core.sent<Heartbeat>("e2")->ListSequence == 1);
}

// Guards against shards without an owner after an instance dies.
TEST_CASE("DecisionCore takes over a shard from a silent owner") {
  std::string first = shardRank()[0];
  std::string second = shardRank()[1];
  LinkedCore core(second);
  auto owns = [&] {
    core.receive(shardRank()[2], acquireFromPeer());
    const Refusal *refusal = core.sent<Refusal>();
    return !refusal || refusal->Kind != ErrorKind::NotReady;
  };
  CHECK_FALSE(owns());
  SUBCASE("after 1.5 s of silence") {
    core.advanceWithPeers(Milliseconds{1200}, {shardRank()[2]});
    CHECK(core.countDecisions(DecisionKind::OwnershipGained) == 0);
    core.advanceWithPeers(Milliseconds{600}, {shardRank()[2]});
    CHECK(core.countDecisions(DecisionKind::OwnershipGained) == 1);
  }
  SUBCASE("immediately when its link goes down") {
    core.link(first, false);
    CHECK(core.countDecisions(DecisionKind::OwnershipGained) == 1);
  }
  SUBCASE("immediately when it sends Goodbye") {
    core.receive(first, Goodbye{});
    CHECK(core.countDecisions(DecisionKind::OwnershipGained) == 1);
  }
  SUBCASE("immediately when the list marks it as leaving") {
    core.deliver(ListPublished{parsedList(sampleListText(2, 3, {}, {first}))});
    CHECK(core.countDecisions(DecisionKind::OwnershipGained) == 1);
  }
  CHECK(owns());
}

// Guards against instances that cancel each other's work under policies without
// shard owners.
TEST_CASE("DecisionCore owns every shard for itself without shared owners") {
  CoreOptions options = optionsFor(shardRank()[2]);
  options.Policy = PlacementPolicy::RoundRobin;
  CoreDriver core(options);
  core.deliver(TimerFired{});
  for (const std::string &it : others(options.Instance)) {
    core.link(it);
    core.receive(it);
  }
  core.start(3);
  core.deliver(RequestArrived{{7, 1}, modelSpec(), ""});
  CHECK(core.count<SendToPeer>() == 0);
  CHECK(core.last<StartPrefill>());
}

// Guards against too many readers of the platform, and against none.
TEST_CASE("DecisionCore reads the platform if elected or without a reader") {
  std::vector<std::string> names;
  for (int i = 1; i <= 12; i += 3)
    names.push_back("e" + std::to_string(i)); // those in hall-a
  auto rank = rankByRendezvous("platform:hall-a", names);
  CoreOptions options = sampleCoreOptions(rank[3], 7);
  CoreDriver core(options);
  core.deliver(TimerFired{});
  REQUIRE(core.last<SetPlatformReading>());
  CHECK(core.last<SetPlatformReading>()->Watch);
  Heartbeat reading;
  reading.ReadsPlatform = true;
  core.link(rank[0]);
  core.receive(rank[0], reading);
  core.start(12);
  core.advance(Milliseconds{50});
  core.deliver(TimerFired{});
  CHECK(core.Core.dumpState(core.Now).find("\"reads_platform\":false") !=
        std::string::npos);
  core.advance(Milliseconds{1300});
  CHECK_FALSE(core.last<SetPlatformReading>());
  core.advance(Milliseconds{1800});
  REQUIRE(core.last<SetPlatformReading>());
  CHECK(core.last<SetPlatformReading>()->Watch);
  CHECK(core.last<SetPlatformReading>()->AfterVersion == 1);
  core.receive(rank[0], reading);
  core.advance(Milliseconds{50});
  REQUIRE(core.last<SetPlatformReading>());
  CHECK_FALSE(core.last<SetPlatformReading>()->Watch);
}

// Guards against a process that resumes after a pause and dispatches by its old
// view. Frames and lists that waited in its sockets say nothing about now.
TEST_CASE("DecisionCore dispatches nothing after a pause until its view is "
          "confirmed") {
  LinkedCore core("e1");
  uint64_t before = core.lastHeartbeatNumber("e2");
  core.deliver(TimerFired{}, Milliseconds{1001});
  CHECK(core.countDecisions(DecisionKind::PauseDetected) == 1);
  Heartbeat answer = core.confirmation("e2");
  REQUIRE(answer.Echo > before);
  core.deliver(RequestArrived{{7, 1}, serviceSpec(false), ""});
  CHECK_FALSE(core.last<StartService>());
  SUBCASE("a peer responds to a heartbeat sent after the pause") {
    core.receive("e2", answer);
    CHECK(core.last<StartService>());
  }
  SUBCASE("a peer's heartbeat waited since before") {
    core.receive("e2");
    CHECK_FALSE(core.last<StartService>());
    answer.Echo = before;
    core.receive("e2", answer);
    CHECK_FALSE(core.last<StartService>());
  }
  SUBCASE("the peer has a newer list") {
    answer.ListSequence = 2;
    core.receive("e2", answer);
    CHECK_FALSE(core.last<StartService>());
    core.deliver(ListPublished{parsedList(sampleListText(2, 3))});
    CHECK(core.last<StartService>());
  }
  SUBCASE("a list may have waited since before") {
    core.deliver(ListPublished{parsedList(sampleListText(2, 3))});
    CHECK_FALSE(core.last<StartService>());
    answer.ListSequence = 2;
    core.receive("e3", answer);
    CHECK(core.last<StartService>());
  }
  SUBCASE("no peer is left") {
    core.link("e2", false);
    CHECK_FALSE(core.last<StartService>());
    core.link("e3", false);
    CHECK_FALSE(core.last<StartService>());
    core.deliver(TimerFired{}, Milliseconds{900});
    CHECK_FALSE(core.last<StartService>());
    core.deliver(TimerFired{}, Milliseconds{200});
    CHECK(core.last<StartService>());
  }
  // The resumed instance owned their shards with a higher fence for a moment,
  // and engines refused the true owner from then on.
  SUBCASE("its peers closed their links in the pause and return") {
    size_t gained = core.countDecisions(DecisionKind::OwnershipGained);
    core.link("e2", false);
    core.link("e3", false);
    core.deliver(TimerFired{}, Milliseconds{50});
    core.link("e2");
    CHECK_FALSE(core.last<StartService>());
    CHECK(core.countDecisions(DecisionKind::OwnershipGained) == gained);
    core.receive("e2", core.confirmation("e2"));
    CHECK(core.last<StartService>());
  }
  SUBCASE("cancelled in the meantime") {
    core.deliver(RequestCancelled{{7, 1}});
    core.receive("e2", answer);
    CHECK_FALSE(core.last<StartService>());
  }
}

// Guards against an instance that takes its silent peers for gone because it
// did not run itself: it would own their shards with a higher fence for a
// moment, and decode servers would refuse the true owner from then on.
TEST_CASE("DecisionCore takes over no shard on the first event after a pause") {
  constexpr Milliseconds Pause{2500}; // peers count as gone after 1500 ms
  for (const char *name : {"e1", "e2", "e3"}) {
    CAPTURE(name);
    LinkedCore core(name);
    size_t owned = core.countAllDecisions(DecisionKind::OwnershipGained);
    SUBCASE("a list") {
      core.deliver(ListPublished{parsedList(sampleListText(2, 3))}, Pause);
    }
    SUBCASE("a configuration") {
      SampleOptions newer;
      newer.Version = 2;
      newer.Base = 1;
      core.deliver(ConfigPublished{parsedConfig(sampleConfigText(newer))},
                   Pause);
    }
    SUBCASE("a frame of one peer") {
      core.Now += Pause;
      core.receive(core.Peers.front());
    }
    SUBCASE("a timer") { core.deliver(TimerFired{}, Pause); }
    core.deliver(TimerFired{}, Milliseconds{500}); // sends heartbeats
    core.receive(core.Peers.front(), core.confirmation(core.Peers.front()));
    CHECK(core.countAllDecisions(DecisionKind::PauseDetected) == 1);
    // Its own shards begin again with a new fence.
    CHECK(core.countAllDecisions(DecisionKind::OwnershipGained) == 2 * owned);
  }
}

// Guards against a paused instance for which a peer that died meanwhile stays
// reachable for good.
TEST_CASE("DecisionCore takes over from a peer that is silent after a pause") {
  size_t shards = 0;
  for (const char *name : {"e1", "e2", "e3"}) {
    LinkedCore core(name);
    core.deliver(TimerFired{}, Milliseconds{2500});
    core.receive(core.Peers.front(), core.confirmation(core.Peers.front()));
    core.advance(Milliseconds{1600}); // none of the peers sends a frame
    CHECK(core.countAllDecisions(DecisionKind::PauseDetected) == 1);
    shards += core.countAllDecisions(DecisionKind::OwnershipGained) -
              core.countAllDecisions(DecisionKind::OwnershipLost);
  }
  CHECK(shards == 3); // each alone owns the only shard
}

// Guards against requests that stay with a former owner because the owner
// changed during a pause.
TEST_CASE("DecisionCore moves requests of owners that changed in a pause") {
  std::string first = shardRank()[0];
  LinkedCore core(shardRank()[2]);
  core.deliver(RequestArrived{{7, 1}, modelSpec(), ""});
  CHECK(core.sent<AcquireRequest>(first));
  core.link(first, false);
  CHECK(core.sent<AcquireRequest>(shardRank()[1]));
  core.deliver(TimerFired{}, Milliseconds{1200});
  core.deliver(PeerLinkChanged{first, 21, true});
  core.deliver(PeerReceived{first, 21, core.confirmation(first)});
  CHECK(core.sent<AcquireRequest>(first));
}

// Guards against an owner that resumes after a pause and treats every lease as
// expired.
TEST_CASE("DecisionCore releases its shards when it was paused") {
  LinkedCore core(shardRank()[0]);
  core.receive(core.Peers[0], acquireFromPeer());
  REQUIRE(core.sent<PrefillGrant>());
  core.deliver(TimerFired{}, Milliseconds{3000});
  CHECK(core.countDecisions(DecisionKind::OwnershipLost) == 1);
  CHECK(core.count<CancelAtServer>() == 0);
  core.receive(core.Peers[0], core.confirmation(core.Peers[0]));
  CHECK(core.countDecisions(DecisionKind::OwnershipGained) == 1);
  CHECK(core.sent<LeaseListRequest>(core.Peers[0]));
  CHECK(core.count<CancelAtServer>() == 0);
}

// Guards against servers that no instance polls, or that every instance polls.
TEST_CASE("DecisionCore polls the servers of its shards and services") {
  std::string serviceFirst =
      rankByRendezvous("service:bays", {"e1", "e2", "e3"})[0];
  for (const char *name : {"e1", "e2", "e3"}) {
    LinkedCore core(name);
    std::vector<std::string> expected;
    if (name == shardRank()[0])
      expected = {"d1", "d2", "p1", "p2"};
    if (name == serviceFirst)
      expected.insert(expected.end(), {"s1", "s2"});
    const SetPolledServers *polled = nullptr;
    for (const Action &it : core.AllActions)
      if (auto *item = std::get_if<SetPolledServers>(&it))
        polled = item;
    REQUIRE(polled);
    CAPTURE(name);
    CHECK(polled->Servers == expected);
  }
}

// Guards against a crash that is missed, or reported once per poll.
TEST_CASE("DecisionCore reports each crash of a server once") {
  LinkedCore core(shardRank()[0]);
  auto load = [&](bool Reachable, uint64_t Epoch) {
    LoadReported report;
    report.Server = "d1";
    report.Reachable = Reachable;
    report.Epoch = Epoch;
    core.deliver(report);
    return core.sent<CrashReport>();
  };
  REQUIRE(load(false, 0));
  CHECK(core.sent<CrashReport>()->ServerEpoch == 1);
  CHECK_FALSE(load(false, 0));
  CHECK_FALSE(load(true, 2));
  CHECK_FALSE(load(true, 2));
  REQUIRE(load(true, 3));
  CHECK(core.sent<CrashReport>()->ServerEpoch == 2);
}

// Guards against a shutdown that cuts off requests (P6) or never ends.
TEST_CASE("DecisionCore drains before it stops") {
  LinkedCore core("e1");
  RequestId id{7, 1};
  core.deliver(RequestArrived{id, serviceSpec(true), ""});
  const StartService *call = core.last<StartService>();
  REQUIRE(call);
  StageFinished done = finished(id, call->Attempt, Stage::Service,
                                StageOutcome::Ok, call->Server);
  core.deliver(ShutdownRequested{Milliseconds{3000}});
  REQUIRE(std::holds_alternative<SetReadiness>(core.Last.front()));
  CHECK_FALSE(std::get<SetReadiness>(core.Last.front()).Ready);
  core.deliver(RequestArrived{{7, 2}, serviceSpec(true), ""});
  REQUIRE(core.last<AnswerError>());
  CHECK(std::string(errorResponse(core.last<AnswerError>()->Kind).Name) ==
        "shutting_down");
  core.deliver(RequestClosed{{7, 2}, true});
  core.advanceWithPeers(Milliseconds{1000}, core.Peers);
  CHECK_FALSE(core.last<ShutdownComplete>());
  REQUIRE(core.sent<Heartbeat>());
  CHECK(core.sent<Heartbeat>()->Draining);
  SUBCASE("complete when the last request is closed") {
    core.deliver(done);
    CHECK_FALSE(core.last<ShutdownComplete>());
    core.deliver(RequestClosed{id, true});
    REQUIRE(core.last<ShutdownComplete>());
    CHECK(core.last<ShutdownComplete>()->Abandoned == 0);
  }
  SUBCASE("abandons at the limit") {
    core.advanceWithPeers(Milliseconds{2200}, core.Peers);
    REQUIRE(core.last<ShutdownComplete>());
    CHECK(core.last<ShutdownComplete>()->Abandoned == 1);
    CHECK(core.last<AnswerError>());
    CHECK(core.count<CancelAtServer>() == 1);
  }
  CHECK(core.sent<Goodbye>("e2"));
  CHECK(core.sent<Goodbye>("e3"));
  core.deliver(TimerFired{});
  CHECK(core.Last.empty());
}

// Guards against frames of a replaced process that arrive late.
TEST_CASE("DecisionCore ignores frames of a previous incarnation") {
  LinkedCore core("e1");
  core.deliver(PeerLinkChanged{"e2", 21, true});
  Heartbeat newer;
  newer.ListSequence = 9;
  core.deliver(PeerReceived{"e2", 20, newer});
  CHECK(core.Last.empty());
  core.deliver(PeerReceived{"e2", 21, newer});
  CHECK(core.sent<ListRequest>("e2"));
}

// Guards against a dump that isn't JSON or contains a key.
TEST_CASE("DecisionCore dumps its state as one JSON object") {
  LinkedCore core("e1");
  RequestSpec spec = serviceSpec(false);
  spec.IdempotencyKey = "private-key-1";
  core.deliver(RequestArrived{{7, 1}, spec, ""});
  core.deliver(RequestArrived{{7, 2}, modelSpec(), ""});
  std::string text = core.Core.dumpState(core.Now);
  auto root = Poco::JSON::Parser().parse(text);
  auto object = root.extract<Poco::JSON::Object::Ptr>();
  CHECK(object->getValue<std::string>("instance") == "e1");
  CHECK(object->getObject("requests")->getValue<int>("open") == 2);
  CHECK(object->getObject("peers")->size() == 2);
  CHECK(text.find("private-key") == std::string::npos);
}

// Guards against a new instance that activates a document which all its peers
// have refused, and announces it to them (P7).
TEST_CASE("DecisionCore drops a first document that its peers have refused") {
  CoreDriver core;
  core.deliver(TimerFired{});
  core.deliver(ListPublished{parsedList(sampleListText(1, 2))});
  SampleOptions refused;
  refused.Version = 3;
  refused.Base = 1;
  core.deliver(ConfigPublished{parsedConfig(sampleConfigText(refused))});
  core.link("e2");
  REQUIRE(core.sent<Heartbeat>());
  CHECK(core.sent<Heartbeat>()->ConfigVersion == 0);
  Heartbeat heartbeat;
  heartbeat.ConfigVersion = 2;
  core.receive("e2", heartbeat);
  REQUIRE(core.sent<ConfigRequest>());
  CHECK(core.sent<ConfigRequest>()->HaveVersion == 0);
  SampleOptions accepted;
  accepted.Version = 2;
  accepted.Base = 1;
  core.receive("e2", ConfigOffer{sampleConfigText(accepted)});
  REQUIRE(core.last<UseConfig>());
  CHECK(core.last<UseConfig>()->Document->Version == 2);
  REQUIRE(core.last<SetPlatformReading>());
  CHECK(core.last<SetPlatformReading>()->AfterVersion == 2);
}

// Guards against a new instance that loads one copy of the configuration from
// every peer of a large fleet.
TEST_CASE("DecisionCore without a configuration asks one peer at a time") {
  CoreDriver core;
  core.deliver(TimerFired{});
  core.link("e2");
  CHECK(core.sent<ConfigRequest>("e2"));
  CHECK(core.sent<ListRequest>("e2"));
  core.link("e3");
  CHECK_FALSE(core.sent<ConfigRequest>("e3"));
  CHECK_FALSE(core.sent<ListRequest>("e3"));
  core.advance(Milliseconds{400});
  Heartbeat newer;
  newer.ConfigVersion = 1;
  newer.ListSequence = 1;
  core.receive("e3", newer);
  CHECK(core.sent<ConfigRequest>("e3"));
  CHECK(core.sent<ListRequest>("e3"));
}

// Guards against a fleet that loads one copy of a document for each peer that
// has it, and against waiting forever for a peer that doesn't respond.
TEST_CASE("DecisionCore asks one peer at a time for a newer version") {
  CoreDriver core;
  core.start(4);
  Heartbeat newer;
  newer.ConfigVersion = 2;
  newer.ListSequence = 9;
  for (const char *it : {"e2", "e3", "e4"})
    core.link(it);
  core.AllActions.clear();
  auto asked = [&] {
    size_t configs = 0, lists = 0;
    for (const Action &it : core.AllActions)
      if (auto *send = std::get_if<SendToPeer>(&it)) {
        configs += std::holds_alternative<ConfigRequest>(send->Message);
        lists += std::holds_alternative<ListRequest>(send->Message);
      }
    return std::make_pair(configs, lists);
  };
  for (const char *it : {"e2", "e3", "e4"})
    core.receive(it, newer);
  CHECK(asked() == std::make_pair<size_t, size_t>(1, 1));
  core.advance(Milliseconds{400});
  core.receive("e3", newer);
  CHECK(asked() == std::make_pair<size_t, size_t>(2, 2));
}
