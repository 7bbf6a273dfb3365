// Replays in virtual time how knowledge of crashes spreads over a fleet, with
// the contacts that instances choose and the time that exchanges take.
#include "gateway/decisions/crash_history.h"
#include "gateway/decisions/member_table.h"
#include "virtual_time.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

using namespace crocusspur;
using namespace crocusspur::gateway;
using crocusspur::test::at;

namespace {

constexpr uint64_t Content = 7;
constexpr int64_t ContactMs = 3000; // the platform's bound
// As in member_links.cc.
constexpr size_t ContactsPerRound = 2;
constexpr size_t CrashContacts = 3;
constexpr int64_t RoundMs = 1000;
constexpr int64_t BatchMs = 20;
constexpr int64_t ExchangeTimeoutMs = 400;
constexpr int64_t CrashTimeoutMs = 150;
constexpr int64_t ExchangeMs = 8; // of an exchange that succeeds

struct Node {
  Node(const std::string &Name, uint64_t Seed)
      : Name(Name), Table(Name, Name, Seed) {}
  std::string Name;
  MemberTable Table;
  CrashHistory History;
  uint64_t SentChange = 0;
  bool SendScheduled = false;
  bool Unreachable = false;
  bool InTouch = true; // has to refuse in time
};

class FleetModel {
public:
  FleetModel(size_t Count, uint64_t Seed) {
    std::mt19937_64 random(Seed);
    for (size_t i = 0; i < Count; ++i) {
      Names.push_back("n" + std::to_string(1000 + i));
      Nodes[Names[i]] = std::make_unique<Node>(Names[i], random());
    }
    for (auto &[name, node] : Nodes) {
      node->Table.setSeeds({Names[0], Names[1], Names[2]});
      for (const std::string &it : Names)
        node->Table.onMemberSeen({it, it, 1, Milliseconds(0), false, {}, {}},
                                 at(0));
      schedule(static_cast<int64_t>(random() % RoundMs),
               [this, n = node.get()] { runRound(*n); });
    }
  }

  // Exchanges need both directions, so a link that is cut one way carries none.
  void cutLink(size_t One, size_t Other) {
    CutLinks.insert({Names[One], Names[Other]});
    CutLinks.insert({Names[Other], Names[One]});
  }

  Node &node(size_t Index) { return *Nodes[Names[Index]]; }

  void crashAt(int64_t Ms, size_t Witness, const std::string &Server) {
    schedule(Ms, [this, Witness, Server] {
      node(Witness).History.addCrash(
          {Content, Server, Names[Witness], Milliseconds(0)}, at(Now));
      scheduleSend(node(Witness));
    });
  }

  // Runs until every node in touch refuses the content and returns that time,
  // or the limit.
  int64_t runUntilRefused(int64_t Limit) {
    while (!Events.empty() && Now < Limit) {
      auto first = Events.begin();
      Now = first->first;
      auto run = std::move(first->second);
      Events.erase(first);
      run();
      bool all = true;
      for (const auto &[name, node] : Nodes)
        all = all && (!node->InTouch ||
                      node->History.refusedFor(Content, at(Now)).has_value());
      if (all)
        return Now;
    }
    return Limit;
  }

  void schedule(int64_t Ms, std::function<void()> Run) {
    Events.emplace(Ms, std::move(Run));
  }

private:
  void scheduleSend(Node &From) {
    if (From.SendScheduled)
      return;
    From.SendScheduled = true;
    schedule(Now + BatchMs, [this, &From] { sendCrashes(From); });
  }

  void apply(Node &To, const CrashHistory::Update &Update) {
    uint64_t former = To.History.lastChange();
    for (const CrashRecord &it : Update.Crashes)
      To.History.addCrash(it, at(Now));
    if (To.History.lastChange() != former)
      scheduleSend(To);
  }

  bool reaches(const Node &From, const std::string &To) {
    return !From.Unreachable && !Nodes[To]->Unreachable &&
           !CutLinks.contains({From.Name, To});
  }

  void sendCrashes(Node &From) {
    From.SendScheduled = false;
    CrashHistory::Update update =
        From.History.changesAfter(From.SentChange, at(Now));
    From.SentChange = From.History.lastChange();
    int64_t time = Now;
    for (const std::string &it :
         From.Table.selectContacts(CrashContacts, at(Now))) {
      bool ok = reaches(From, it);
      time += ok ? ExchangeMs : CrashTimeoutMs;
      if (ok)
        schedule(time, [this, it, update] { apply(*Nodes[it], update); });
    }
  }

  void runRound(Node &From) {
    int64_t time = Now;
    for (const std::string &it :
         From.Table.selectContacts(ContactsPerRound, at(Now))) {
      bool ok = reaches(From, it);
      time += ok ? ExchangeMs : ExchangeTimeoutMs;
      if (!ok)
        From.Table.onContactFailed(it, at(Now));
      else
        schedule(time, [this, it, &From, known = From.History.digest()] {
          apply(From, Nodes[it]->History.updateFor(known, at(Now)));
        });
    }
    schedule(time + RoundMs, [this, &From] { runRound(From); });
  }

  int64_t Now = 0;
  std::set<std::pair<std::string, std::string>> CutLinks;
  std::vector<std::string> Names;
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::multimap<int64_t, std::function<void()>> Events;
};

// Crashes seen by three instances within 100 ms, the third at 1,000 ms. Returns
// the longest time from it until all instances refuse the content, over 20
// seeds. `Disturb` changes the fleet before it runs.
int64_t slowestSpread(size_t Count,
                      const std::function<void(FleetModel &)> &Disturb) {
  int64_t slowest = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FleetModel fleet(Count, seed);
    Disturb(fleet);
    for (size_t i = 0; i < 3; ++i)
      fleet.crashAt(900 + 50 * static_cast<int64_t>(i), 2 * i,
                    "s" + std::to_string(i));
    slowest = std::max(slowest, fleet.runUntilRefused(20000) - 1000);
  }
  return slowest;
}

void checkSpread(size_t Count) {
  CAPTURE(Count);
  int64_t calm = slowestSpread(Count, [](FleetModel &) {});
  // A silent or cut instance costs its peers their timeouts.
  int64_t cut = slowestSpread(Count, [](FleetModel &Fleet) {
    for (size_t i : {1, 5}) {
      Fleet.node(i).Unreachable = true;
      Fleet.node(i).InTouch = false;
    }
  });
  // The witness of one crash reaches neither of its neighbours by name.
  int64_t links = slowestSpread(Count, [](FleetModel &Fleet) {
    Fleet.cutLink(2, 3);
    Fleet.cutLink(2, 1);
  });
  // It knows nothing of what was told while it was frozen or before it started.
  int64_t absent = slowestSpread(Count, [](FleetModel &Fleet) {
    Fleet.node(3).Unreachable = true;
    Fleet.schedule(1500, [&Fleet] { Fleet.node(3).Unreachable = false; });
  });
  MESSAGE(Count << " instances refuse after " << calm
                << " ms, with two cut off " << cut << " ms, with two links cut "
                << links << " ms, one back 500 ms after the crash " << absent
                << " ms");
  CHECK(calm < ContactMs);
  CHECK(cut < ContactMs);
  CHECK(links < ContactMs);
  CHECK(absent < 500 + ContactMs);
}

} // namespace

TEST_CASE("Knowledge of crashes reaches a small fleet in time") {
  checkSpread(8);
}

TEST_CASE("Knowledge of crashes reaches a fleet of 68 instances in time") {
  checkSpread(68);
}
