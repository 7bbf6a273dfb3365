#include "key_home.h"

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

namespace {

const Milliseconds Lease{2000};

std::string timedKey(Milliseconds Issued, uint64_t Number) {
  char buf[64];
  auto ms = static_cast<unsigned long long>(Issued.count());
  std::snprintf(buf, sizeof buf, "%08llx-%04llx-7000-8000-%012llx", ms >> 16,
                ms & 0xffff, static_cast<unsigned long long>(Number));
  return buf;
}

// Instances that share one clock and exchange messages without delay, unless
// one of them is down or partitioned.
struct Fleet {
  struct Node {
    CoreOptions Options;
    InstanceList List;
    ActionList Out;
    std::unique_ptr<KeyHome> Keys;
    bool Up = true;
    int Side = 0; // of a partition
  };

  std::vector<Node> Nodes;
  ConfigDocument Config;
  Milliseconds Now{1000000};
  uint64_t NextId = 1;
  uint64_t Sequence = 0; // of the latest published list

  explicit Fleet(int Count) {
    Config.Groups.resize(2);
    Config.Groups[0].Name = "g";
    Config.Groups[1].Name = "h";
    Nodes.resize(static_cast<size_t>(Count));
    std::vector<std::string> names;
    for (size_t i = 0; i < Nodes.size(); ++i) {
      Nodes[i].Options.Instance = "e" + std::to_string(i);
      Nodes[i].Options.FailureDomain = i == 0 ? "d0" : "d";
      Nodes[i].Options.TicketKey = 99;
      names.push_back(Nodes[i].Options.Instance);
      start(i);
    }
    publish(names);
  }

  void start(size_t Index) {
    Node &node = Nodes[Index];
    node.Options.Incarnation = 1000 + NextId++;
    node.Keys = std::make_unique<KeyHome>(node.Options);
    node.Up = true;
  }
  void publish(const std::vector<std::string> &Names) {
    ++Sequence;
    for (Node &it : Nodes)
      setList(it, Names);
  }
  void setList(Node &To, const std::vector<std::string> &Names) {
    To.List = {};
    To.List.Sequence = Sequence;
    for (const std::string &it : Names) {
      To.List.Digest = To.List.Digest * 31 + std::hash<std::string>()(it);
      To.List.Instances.push_back(
          {it, MemberState::Live, "r", it == "e0" ? "d0" : "d", ""});
    }
  }

  CoreContext context(Node &Of) {
    return {TimePoint(Now), WallTime(Now), Of.Options, Config, Of.List, Of.Out};
  }
  Node *find(const std::string &Name) {
    for (Node &it : Nodes)
      if (it.Options.Instance == Name)
        return &it;
    return nullptr;
  }
  bool isLinked(const Node &A, const Node &B) const {
    return A.Up && B.Up && A.Side == B.Side;
  }
  void deliver(Node &From, Node &To, const PeerMessage &Message) {
    CoreContext context = this->context(To);
    const std::string &name = From.Options.Instance;
    if (const auto *it = std::get_if<Heartbeat>(&Message))
      To.Keys->onHeartbeat(context, name, From.Options.Incarnation, *it);
    if (const auto *it = std::get_if<KeyQuery>(&Message))
      To.Keys->onKeyQuery(context, name, *it);
    if (const auto *it = std::get_if<KeyAnswer>(&Message))
      To.Keys->onKeyAnswer(context, name, *it);
  }
  void deliverQueued() {
    for (int round = 0; round < 2; ++round)
      for (Node &from : Nodes) {
        ActionList out;
        out.swap(from.Out);
        for (const Action &it : out)
          if (const auto *sent = std::get_if<SendToPeer>(&it)) {
            Node *to = find(sent->Instance);
            if (to && isLinked(from, *to))
              deliver(from, *to, sent->Message);
          }
      }
  }
  void exchangeHeartbeats() {
    for (Node &from : Nodes)
      for (Node &to : Nodes) {
        if (&from == &to || !isLinked(from, to))
          continue;
        CoreContext context = this->context(from);
        Heartbeat message;
        from.Keys->fillHeartbeat(context, to.Options.Instance, message);
        deliver(from, to, message);
      }
  }
  void run(Milliseconds Time) {
    for (Milliseconds end = Now + Time; Now < end; Now += Milliseconds(250)) {
      exchangeHeartbeats();
      for (Node &it : Nodes) {
        if (!it.Up)
          continue;
        CoreContext context = this->context(it);
        it.Keys->onTimer(context);
      }
    }
  }

  RequestId LastId;
  KeyDecision admit(size_t At, const std::string &Key, bool Forwarded = false,
                    uint64_t Fingerprint = 1, const char *Group = "g") {
    LastId = {7, NextId++};
    RequestSpec spec;
    spec.Group = Group;
    spec.IdempotencyKey = Key;
    spec.Fingerprint = Fingerprint;
    CoreContext context = this->context(Nodes[At]);
    return Nodes[At].Keys->admit(context, LastId, spec, Forwarded);
  }
  // Index of the home of the key; all listed instances must agree.
  size_t homeOf(const std::string &Key) {
    std::vector<std::string> homes;
    for (size_t i = 0; i < Nodes.size(); ++i) {
      if (!Nodes[0].List.isLive(Nodes[i].Options.Instance))
        continue; // decides by its own records
      KeyDecision decision = admit(i, Key);
      homes.push_back(decision.Action == KeyAction::Forward
                          ? decision.Home
                          : Nodes[i].Options.Instance);
      CoreContext context = this->context(Nodes[i]);
      Nodes[i].Keys->onNotRun(context, LastId);
    }
    CHECK(std::count(homes.begin(), homes.end(), homes[0]) ==
          static_cast<long>(homes.size()));
    return static_cast<size_t>(find(homes[0]) - Nodes.data());
  }
  std::string newKey(Milliseconds Before = Milliseconds(0)) {
    return timedKey(Now - Before, NextId++);
  }
  // A key issued now whose home is this node.
  std::string newKeyAt(size_t Home) {
    for (;;) {
      std::string key = newKey();
      if (homeOf(key) == Home)
        return key;
    }
  }
  void outcome(size_t At, const std::string &Body) {
    CoreContext context = this->context(Nodes[At]);
    Nodes[At].Keys->onDispatched(context, LastId);
    Nodes[At].Keys->onOutcome(context, LastId, 200, "text/plain", Body);
  }
  TimePoint limit(size_t At, const std::string &Key) {
    CoreContext context = this->context(Nodes[At]);
    return Nodes[At].Keys->dispatchLimit(context, Key);
  }
  uint64_t leasedListDigest(size_t At) {
    return Nodes[At].Keys->leasedListDigest(TimePoint(Now));
  }
  std::vector<std::pair<RequestId, KeyDecision>> resolved(size_t At) {
    CoreContext context = this->context(Nodes[At]);
    return Nodes[At].Keys->takeResolved(context);
  }
};

// Long enough for the first list to become active and for new timed keys to be
// past the clock margins.
const Milliseconds SettlingTime{20000};

bool executes(const KeyDecision &Decision) {
  return Decision.Action == KeyAction::Execute;
}

bool isRejectedAs(const KeyDecision &Decision, ErrorKind Kind) {
  return Decision.Action == KeyAction::Reject && Decision.Error == Kind;
}

} // namespace

// Guards against an instance that executes keys right after a restart, while a
// confirmation by its previous incarnation is still valid.
TEST_CASE("KeyHome confirms nothing for one lease after its start") {
  Fleet fleet(1);
  fleet.run(Lease - Milliseconds(250));
  CHECK(isRejectedAs(fleet.admit(0, "k"), ErrorKind::KeyLeaseMissing));
  fleet.run(SettlingTime);
  std::string key = fleet.newKey();
  KeyDecision decision = fleet.admit(0, key);
  REQUIRE(executes(decision));
  CHECK(decision.NotAfter > TimePoint(fleet.Now));
  CHECK(decision.NotAfter <= TimePoint(fleet.Now + Lease * 3 / 4));
  CHECK(fleet.limit(0, key) == decision.NotAfter);
  CHECK(fleet.limit(0, "other") < TimePoint(fleet.Now));
}

// Guards against a late call of a former home that passes the server's check.
TEST_CASE("KeyHome increases its fencing token with each active list") {
  Fleet fleet(3);
  fleet.run(SettlingTime);
  KeyDecision before = fleet.admit(0, fleet.newKeyAt(0));
  REQUIRE(executes(before));
  CHECK(before.Fence == 1);
  fleet.publish({"e0", "e1"});
  fleet.run(SettlingTime);
  KeyDecision after = fleet.admit(1, fleet.newKeyAt(1));
  REQUIRE(executes(after));
  CHECK(after.Fence == 2);
  // The same members with a higher sequence number, as when a server leaves.
  fleet.publish({"e0", "e1"});
  fleet.run(Milliseconds(1000));
  CHECK(fleet.admit(0, fleet.newKeyAt(0)).Fence == 3);
}

// Guards against retries that run again or get another request's response.
TEST_CASE("KeyHome records the state and outcome of a key by group") {
  Fleet fleet(1);
  fleet.run(SettlingTime);
  std::string key = fleet.newKey();
  REQUIRE(executes(fleet.admit(0, key)));
  RequestId first = fleet.LastId;
  CHECK(isRejectedAs(fleet.admit(0, key), ErrorKind::KeyInProgress));
  CHECK(isRejectedAs(fleet.admit(0, key, false, 2), ErrorKind::KeyReused));
  CHECK(executes(fleet.admit(0, key, false, 1, "h")));
  fleet.LastId = first;
  fleet.outcome(0, "answer");
  KeyDecision repeat = fleet.admit(0, key);
  CHECK(repeat.Action == KeyAction::Replay);
  CHECK(repeat.HttpStatus == 200);
  CHECK(repeat.Body == "answer");
  CHECK(isRejectedAs(fleet.admit(0, key, false, 2), ErrorKind::KeyReused));
}

// Guards against not running a retry of a request that wasn't run, and against
// running a retry of a request whose outcome is unknown.
TEST_CASE("KeyHome keeps records only of requests that may have run") {
  Fleet fleet(1);
  fleet.run(SettlingTime);
  std::string key = fleet.newKey();
  CoreContext context = fleet.context(fleet.Nodes[0]);
  REQUIRE(executes(fleet.admit(0, key)));
  fleet.Nodes[0].Keys->onNotRun(context, fleet.LastId);
  REQUIRE(executes(fleet.admit(0, key)));
  fleet.Nodes[0].Keys->onDispatched(context, fleet.LastId);
  fleet.Nodes[0].Keys->onOutcomeUnknown(context, fleet.LastId);
  CHECK(isRejectedAs(fleet.admit(0, key), ErrorKind::OutcomeUnknown));
}

// Guards against running a key whose record may have expired.
TEST_CASE("KeyHome reports timed keys older than the retention as unknown") {
  Fleet fleet(1);
  fleet.Nodes[0].Options.KeyRetention = Milliseconds(30000);
  fleet.start(0);
  fleet.run(SettlingTime);
  std::string key = fleet.newKey();
  REQUIRE(executes(fleet.admit(0, key)));
  fleet.outcome(0, "x");
  CHECK(isRejectedAs(fleet.admit(0, "untimed"), ErrorKind::OutcomeUnknown));
  fleet.run(Milliseconds(31000));
  CHECK(isRejectedAs(fleet.admit(0, key), ErrorKind::OutcomeUnknown));
  CHECK(executes(fleet.admit(0, "untimed")));
  CHECK(
      isRejectedAs(fleet.admit(0, timedKey(fleet.Now + Milliseconds(6000), 1)),
                   ErrorKind::BadRequest));
}

// Guards against an unbounded table, and against evicting records to make room,
// which would let keys run again.
TEST_CASE("KeyHome rejects new keys as not run when its table is full") {
  Fleet fleet(1);
  fleet.Nodes[0].Options.MaxRememberedKeys = 2;
  fleet.start(0);
  fleet.run(SettlingTime);
  std::string first = fleet.newKey();
  CHECK(executes(fleet.admit(0, first)));
  fleet.outcome(0, std::string(70000, 'x'));
  CHECK(executes(fleet.admit(0, fleet.newKey())));
  KeyDecision full = fleet.admit(0, fleet.newKey());
  CHECK(isRejectedAs(full, ErrorKind::Overloaded));
  CHECK(std::string(toString(full.Run)) == "no");
  KeyDecision tooLong = fleet.admit(0, first);
  CHECK(isRejectedAs(tooLong, ErrorKind::OutcomeUnknown));
  CHECK(std::string(toString(tooLong.Run)) == "yes");
}

// Guards against a ticket that runs on another instance, twice, or after its
// executor's restart.
TEST_CASE("KeyHome executes a ticket once, at its incarnation only") {
  Fleet fleet(3);
  fleet.Nodes[1].Options.KeyRetention = Milliseconds(5000);
  fleet.start(1);
  fleet.run(SettlingTime);
  std::string ticket = fleet.Nodes[1].Keys->makeTicket(1);
  std::string later = fleet.Nodes[1].Keys->makeTicket(2);
  KeyDecision forward = fleet.admit(0, ticket);
  CHECK(forward.Action == KeyAction::Forward);
  CHECK(forward.Home == "e1");
  CHECK(isRejectedAs(fleet.admit(0, ticket, true), ErrorKind::OutcomeUnknown));
  CHECK(isRejectedAs(fleet.admit(0, ticket + "0"), ErrorKind::BadRequest));
  KeyDecision decision = fleet.admit(1, ticket, true);
  REQUIRE(executes(decision));
  CHECK(decision.NotAfter == TimePoint::max());
  CHECK(fleet.limit(1, ticket) == TimePoint::max());
  fleet.outcome(1, "x");
  CHECK(fleet.admit(1, ticket).Action == KeyAction::Replay);
  fleet.run(Milliseconds(6000));
  CHECK(isRejectedAs(fleet.admit(1, ticket), ErrorKind::OutcomeUnknown));
  CHECK(executes(fleet.admit(1, later)));
  fleet.start(1);
  CHECK(isRejectedAs(fleet.admit(1, later), ErrorKind::OutcomeUnknown));
  fleet.Nodes[1].Up = false;
  fleet.run(Lease);
  CHECK(isRejectedAs(fleet.admit(0, ticket), ErrorKind::OutcomeUnknown));
}

// Guards against prompts and responses that leave their group's domains.
TEST_CASE("KeyHome chooses homes only in the group's failure domains") {
  Fleet fleet(4);
  fleet.Config.Groups[0].FailureDomains = {"d"};
  fleet.run(SettlingTime);
  for (int i = 0; i < 50; ++i) {
    KeyDecision decision = fleet.admit(1, fleet.newKey());
    if (decision.Action == KeyAction::Forward)
      CHECK(decision.Home != "e0");
    else
      CHECK(executes(decision));
  }
  CHECK(isRejectedAs(fleet.admit(0, fleet.newKey()),
                     ErrorKind::ResidencyViolation));
  CoreContext context = fleet.context(fleet.Nodes[1]);
  fleet.Nodes[1].Out.clear();
  fleet.Nodes[1].Keys->onKeyQuery(context, "e0", {{1, 1}, "g", "k"});
  const auto &sent = std::get<SendToPeer>(fleet.Nodes[1].Out.at(0));
  CHECK(std::get<KeyAnswer>(sent.Message).Status == KeyStatus::Unknown);
}

// Guards against the same key running on both sides of a partition.
TEST_CASE("KeyHome runs keys only on the majority side of a partition") {
  Fleet fleet(5);
  fleet.run(SettlingTime);
  std::string small = fleet.newKeyAt(0), large = fleet.newKeyAt(4);
  REQUIRE(executes(fleet.admit(0, small)));
  TimePoint limit = fleet.limit(0, small);
  for (size_t i : {2, 3, 4})
    fleet.Nodes[i].Side = 1;
  fleet.run(Lease);
  CHECK(limit < TimePoint(fleet.Now));
  CHECK(fleet.limit(0, small) < TimePoint(fleet.Now));
  CHECK(isRejectedAs(fleet.admit(0, fleet.newKey(), true),
                     ErrorKind::KeyLeaseMissing));
  CHECK(isRejectedAs(fleet.admit(2, small), ErrorKind::HomeUnreachable));
  CHECK(executes(fleet.admit(4, large)));
}

// Guards against keys that become unknown whenever the list changes.
TEST_CASE("KeyHome remains home of a key when the list changes") {
  Fleet fleet(5);
  fleet.run(SettlingTime);
  std::string kept = fleet.newKeyAt(1), moved = fleet.newKeyAt(4);
  REQUIRE(executes(fleet.admit(1, kept)));
  REQUIRE(executes(fleet.admit(4, moved)));
  std::string unused = fleet.newKeyAt(1);
  fleet.publish({"e0", "e1", "e2", "e3"});
  fleet.run(Lease / 2);
  CHECK(isRejectedAs(fleet.admit(1, unused), ErrorKind::KeyLeaseMissing));
  fleet.run(2 * Lease);
  CHECK(fleet.limit(1, kept) > TimePoint(fleet.Now));
  CHECK(executes(fleet.admit(1, unused)));
  // e4 still runs but is no longer listed, so it's no longer home.
  CHECK(fleet.limit(4, moved) < TimePoint(fleet.Now));
  CHECK(isRejectedAs(fleet.admit(4, unused, true), ErrorKind::KeyLeaseMissing));
  fleet.publish({"e0", "e1", "e2", "e3", "e4"});
  fleet.run(3 * Lease);
  CHECK(fleet.limit(1, kept) > TimePoint(fleet.Now));
  // e4 is home again, but another instance was home in between.
  CHECK(fleet.limit(4, moved) < TimePoint(fleet.Now));
}

// Guards against a confirmation that is valid for longer because it was delayed
// in transit or in the queue of a paused process.
TEST_CASE("KeyHome does not count a confirmation's age from its receipt") {
  Fleet fleet(3);
  fleet.run(SettlingTime);
  Fleet::Node &from = fleet.Nodes[1], &to = fleet.Nodes[0];
  CoreContext context = fleet.context(from);
  Heartbeat late;
  from.Keys->fillHeartbeat(context, "e0", late);
  fleet.Nodes[0].Side = 1;
  fleet.run(Lease * 3 / 4);
  REQUIRE(fleet.leasedListDigest(0) == 0);
  fleet.deliver(from, to, late);
  fleet.Now += Milliseconds(100);
  CoreContext later = fleet.context(to);
  to.Keys->onTimer(later);
  CHECK(fleet.leasedListDigest(0) == 0);
}

// Guards against heartbeat numbers that restart when a peer returns: its old
// echoes would then count as new, or its heartbeats as outdated.
TEST_CASE("KeyHome counts confirmations of a long unlisted instance") {
  Fleet fleet(3);
  fleet.run(SettlingTime);
  fleet.Nodes[2].Side = 1;
  fleet.publish({"e0", "e1"});
  fleet.run(4 * Lease);
  fleet.publish({"e1", "e0"});
  fleet.run(4 * Lease);
  fleet.Nodes[2].Side = 0;
  fleet.publish({"e0", "e1", "e2"});
  fleet.run(3 * Lease);
  for (size_t i : {0, 1, 2})
    CHECK(fleet.leasedListDigest(i) != 0);
  // e2's confirmation counts: without e1, e0 and e2 are the majority.
  fleet.Nodes[1].Up = false;
  fleet.run(2 * Lease);
  CHECK(fleet.leasedListDigest(0) != 0);
  CHECK(fleet.leasedListDigest(2) != 0);
}

// Guards against wall clocks that differ by one margin between the caller and
// the former home, and by another between the former and the new home.
TEST_CASE("KeyHome waits two clock margins after a takeover") {
  Fleet fleet(1);
  while (!fleet.leasedListDigest(0))
    fleet.run(Milliseconds(250));
  fleet.run(Milliseconds(9500));
  CHECK(
      isRejectedAs(fleet.admit(0, fleet.newKey()), ErrorKind::OutcomeUnknown));
  fleet.run(Milliseconds(1000));
  CHECK(executes(fleet.admit(0, fleet.newKey())));
}

// Guards against running a request again that the former home has executed.
TEST_CASE("KeyHome uses records of former homes or reports unknown outcomes") {
  Fleet fleet(5);
  fleet.run(SettlingTime);
  std::string done = fleet.newKeyAt(4), never = fleet.newKeyAt(4);
  REQUIRE(executes(fleet.admit(4, done)));
  fleet.outcome(4, "done at e4");
  std::string running = fleet.newKeyAt(4);
  REQUIRE(executes(fleet.admit(4, running)));
  // e4 stays listed as leaving, so that it can be queried.
  fleet.publish({"e0", "e1", "e2", "e3"});
  for (Fleet::Node &it : fleet.Nodes)
    it.List.Instances.push_back({"e4", MemberState::Leaving, "r", "d", ""});
  fleet.run(3 * Lease);
  for (const std::string &key : {done, never, running}) {
    size_t home = fleet.homeOf(key);
    fleet.deliverQueued();
    fleet.resolved(home);
    KeyDecision decision = fleet.admit(home, key);
    if (decision.Action == KeyAction::Wait) {
      fleet.deliverQueued();
      auto resolved = fleet.resolved(home);
      REQUIRE(resolved.size() == 1);
      decision = resolved[0].second;
    }
    CAPTURE(key);
    if (key == done) {
      CHECK(decision.Action == KeyAction::Replay);
      CHECK(decision.Body == "done at e4");
    } else {
      CHECK(isRejectedAs(decision, key == never ? ErrorKind::OutcomeUnknown
                                                : ErrorKind::KeyInProgress));
    }
  }
  fleet.run(SettlingTime);
  std::string fresh = fleet.newKey();
  CHECK(executes(fleet.admit(fleet.homeOf(fresh), fresh)));
}

// Guards against waiting without limit for a former home that doesn't respond.
TEST_CASE("KeyHome reports an unknown outcome if former homes don't respond") {
  Fleet fleet(3);
  fleet.run(Lease * 3);
  std::string key = fleet.newKey(Milliseconds(60000));
  size_t home = fleet.homeOf(key);
  fleet.run(Lease);
  fleet.resolved(home);
  REQUIRE(fleet.admit(home, key).Action == KeyAction::Wait);
  CHECK(fleet.resolved(home).empty());
  fleet.run(Lease / 2);
  auto resolved = fleet.resolved(home);
  REQUIRE(resolved.size() == 1);
  CHECK(isRejectedAs(resolved[0].second, ErrorKind::OutcomeUnknown));
}

// Guards against a fleet that never executes keys again after losing a
// majority, and against executing them before operators raise the membership
// epoch.
TEST_CASE("KeyHome needs a new membership epoch after losing a majority") {
  Fleet fleet(5);
  fleet.run(SettlingTime);
  for (size_t i : {2, 3, 4})
    fleet.Nodes[i].Up = false;
  fleet.publish({"e0", "e1"});
  fleet.run(SettlingTime);
  CHECK(fleet.leasedListDigest(0) == 0);
  CHECK(isRejectedAs(fleet.admit(0, fleet.newKey(), true),
                     ErrorKind::KeyLeaseMissing));
  fleet.Config.MembershipEpoch = 1;
  fleet.run(Lease);
  CHECK(fleet.leasedListDigest(0) == 0);
  fleet.run(SettlingTime);
  std::string key = fleet.newKey();
  KeyDecision decision = fleet.admit(0, key);
  CHECK(executes(decision.Action == KeyAction::Forward
                     ? fleet.admit(1, key, true)
                     : decision));
}

// Guards against a list that never became active hiding the active list before
// it: only a majority of the former would then be required.
TEST_CASE("KeyHome reports every list since the last active one") {
  Fleet fleet(7);
  fleet.publish({"e0", "e1", "e2", "e3", "e4"});
  fleet.run(SettlingTime);
  std::string key = fleet.newKeyAt(4);
  for (size_t i : {0, 5, 6}) {
    fleet.Nodes[i].Side = 1;
    fleet.setList(fleet.Nodes[i], {"e0", "e5", "e6"});
  }
  fleet.run(3 * Lease);
  for (size_t i : {0, 5, 6})
    fleet.setList(fleet.Nodes[i], {"e0", "e5"});
  fleet.run(3 * Lease);
  CHECK(fleet.leasedListDigest(4) != 0);
  CHECK(fleet.leasedListDigest(0) == 0);
  CHECK(fleet.leasedListDigest(5) == 0);
  CHECK(executes(fleet.admit(4, key)));
}

// Guards against two restarted instances that give an abandoned list its
// majority back while a newer list is active on other instances.
TEST_CASE("KeyHome does not reactivate an abandoned list after restarts") {
  Fleet fleet(5);
  fleet.run(SettlingTime);
  std::vector<std::string> smaller = {"e0", "e1", "e2"};
  fleet.publish(smaller);
  fleet.run(3 * Lease);
  fleet.publish({"e0", "e1", "e2", "e3", "e4"});
  fleet.run(3 * Lease);
  // e1 and e2, a majority of the old list, restart with it and are cut off.
  for (size_t i : {1, 2}) {
    fleet.start(i);
    fleet.setList(fleet.Nodes[i], smaller);
    fleet.Nodes[i].Side = 1;
  }
  fleet.run(SettlingTime);
  for (size_t i : {1, 2})
    CHECK(fleet.leasedListDigest(i) == 0);
  for (size_t i : {0, 3, 4})
    CHECK(fleet.leasedListDigest(i) != 0);
}
