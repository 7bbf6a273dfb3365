#include "gateway/decisions/reader_election.h"

#include "gateway/decisions/member_table.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <set>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

TimePoint at(int Ms) { return TimePoint() + Milliseconds(1000000 + Ms); }

constexpr PublishedKind Routes = PublishedKind::Routes;

std::string nameOf(int Domain, int Instance) {
  return "d" + std::to_string(Domain) + "-" + std::to_string(Instance);
}

// A fleet in virtual time. Members know each other; what readers confirm
// reaches the others after `GossipDelay`.
class Fleet {
public:
  static constexpr Milliseconds Step{100};
  static constexpr Milliseconds GossipDelay{400};

  Fleet(int Domains, int PerDomain) : Domains(Domains) {
    for (int domain = 0; domain < Domains; ++domain)
      for (int i = 0; i < PerDomain; ++i)
        All.push_back(
            {nameOf(domain, i), domain,
             std::make_unique<ReaderElection>(
                 nameOf(domain, i), "d" + std::to_string(domain),
                 /*IsSeed=*/false, All.size() + 1, PropagationBounds(), Now)});
  }

  PropagationBudget budget() const {
    return propagationBudget(PropagationBounds(), All.size(), true);
  }

  struct Instance {
    std::string Name;
    int Domain = 0;
    std::unique_ptr<ReaderElection> Election;
    bool Alive = true;
    bool ReachesStore = true;
    bool ReachesPeers = true;
    bool Reading = false;
    TimePoint ReadsAt;
    TimePoint AnsweredAt; // by the store, latest
  };

  void run(Milliseconds Time) {
    for (TimePoint until = Now + Time; Now < until; Now += Step)
      step();
  }

  std::vector<Instance *> readers() {
    std::vector<Instance *> found;
    for (Instance &it : All)
      if (it.Alive && it.Reading)
        found.push_back(&it);
    return found;
  }

  // The longest time for which an instance that lives and reaches peers has
  // heard nothing of the store.
  Milliseconds oldest() const {
    Milliseconds oldest{0};
    for (const Instance &it : All)
      if (it.Alive)
        oldest = std::max(
            oldest, std::chrono::duration_cast<Milliseconds>(
                        Now - it.Election->confirmedAt().value_or(at(0))));
    return oldest;
  }

  std::vector<Instance> All;
  TimePoint Now = at(0);
  int Calls = 0; // to the store

private:
  void step() {
    std::optional<TimePoint> newest;
    for (Instance &it : All)
      if (it.Alive && it.ReachesPeers && it.AnsweredAt != TimePoint())
        newest = std::max(newest.value_or(it.AnsweredAt), it.AnsweredAt);
    for (Instance &it : All) {
      if (!it.Alive)
        continue;
      if (it.ReachesPeers) {
        it.Election->onPeerHeard(Now);
        if (newest)
          for (PublishedKind kind : {PublishedKind::Servers, Routes})
            it.Election->onPeerConfirmed(kind, *newest - GossipDelay);
      }
      it.Reading = it.Election->shouldRead(viewOf(it), Routes, Now);
      if (!it.Reading || Now < it.ReadsAt)
        continue;
      it.ReadsAt =
          Now + budget().MinWatchWait +
          Milliseconds(Random() %
                       (budget().MaxWatchWait - budget().MinWatchWait).count());
      ++Calls;
      if (!it.ReachesStore) {
        it.Election->onReadFailed(All.size(), Now);
        continue;
      }
      it.AnsweredAt = Now;
      it.Election->onReadSucceeded(PublishedKind::Servers, Now);
      it.Election->onReadSucceeded(Routes, Now);
    }
  }

  // Instances that ended stay known for some seconds, as in a real fleet.
  ReaderView viewOf(const Instance &Of) {
    ReaderView view;
    view.Complete = Of.Election->confirmedAt().has_value();
    view.Domains = static_cast<size_t>(Domains);
    for (const Instance &it : All) {
      if (&it == &Of)
        continue;
      ++view.FleetSize;
      if (it.Domain == Of.Domain)
        view.Others.push_back({it.Name, it.Election->isStoreFailing(Now)});
    }
    return view;
  }

  int Domains;
  std::mt19937_64 Random{1};
};

} // namespace

// Guards against calls to the store that grow with the fleet.
TEST_CASE("A large fleet has one reader of the store in each failure domain") {
  for (int perDomain : {12, 59}) {
    Fleet fleet(5, perDomain);
    fleet.run(Milliseconds(8000));
    CHECK(fleet.readers().size() == 5);
    std::set<int> domains;
    for (auto *it : fleet.readers())
      domains.insert(it->Domain);
    CHECK(domains.size() == 5);
    fleet.Calls = 0;
    fleet.run(Milliseconds(10000));
    // Five readers, each of which waits at least this long.
    CHECK(fleet.Calls <=
          5 * (Milliseconds(10000) / fleet.budget().MinWatchWait + 1));
    CHECK(fleet.oldest() < Milliseconds(3000));
  }
}

TEST_CASE("A fleet in few failure domains has several readers in each") {
  Fleet fleet(1, 40);
  fleet.run(Milliseconds(8000));
  CHECK(fleet.readers().size() == 4);
}

TEST_CASE("All instances of a small fleet read the store") {
  Fleet fleet(3, 3);
  fleet.run(Milliseconds(6000));
  CHECK(fleet.readers().size() == 9);
}

// Guards against instances that learn nothing new, as their readers have ended
// and are still taken for alive.
TEST_CASE("An instance that hears nothing of the store reads for itself") {
  Fleet fleet(5, 20);
  fleet.run(Milliseconds(8000));
  for (auto *it : fleet.readers())
    it->Alive = false;
  TimePoint ended = fleet.Now;
  fleet.run(Milliseconds(4500));
  CHECK(std::ranges::any_of(fleet.All, [&](const Fleet::Instance &It) {
    return It.AnsweredAt > ended;
  }));
  CHECK(fleet.oldest() < Milliseconds(2500));
}

TEST_CASE(
    "An instance that hears no peer reads for itself within two seconds") {
  Fleet fleet(5, 20);
  fleet.run(Milliseconds(8000));
  auto it = std::ranges::find(fleet.All, false, &Fleet::Instance::Reading);
  it->ReachesPeers = false;
  TimePoint lost = fleet.Now;
  fleet.run(Milliseconds(2000));
  CHECK(it->AnsweredAt > lost);
}

// A store may reject some instances and serve the others.
TEST_CASE("The next in rank takes over from a reader that the store rejects") {
  Fleet fleet(5, 20);
  fleet.run(Milliseconds(8000));
  auto *rejected = fleet.readers().front();
  rejected->ReachesStore = false;
  fleet.run(Milliseconds(3000));
  auto serves = [&](Fleet::Instance *It) {
    return It->Domain == rejected->Domain && It->ReachesStore;
  };
  std::vector<Fleet::Instance *> now = fleet.readers();
  CHECK(std::ranges::any_of(now, serves));
  CHECK(now.size() <= 7);
  CHECK(fleet.oldest() < Milliseconds(3000));
}

// Guards against a storm of calls while the store is down, and against nobody
// noticing its return.
TEST_CASE("A store that is down is tried by few instances at a time") {
  Fleet fleet(5, 59);
  fleet.run(Milliseconds(8000));
  for (auto &it : fleet.All)
    it.ReachesStore = false;
  fleet.Calls = 0;
  fleet.run(Milliseconds(10000));
  CHECK(fleet.Calls < 295 * 3); // five tries of each would be 1,475
  for (auto &it : fleet.All)
    it.ReachesStore = true;
  fleet.run(Milliseconds(3000));
  CHECK(fleet.oldest() < Milliseconds(3000));
  fleet.run(Milliseconds(6000));
  CHECK(fleet.readers().size() <= 10);
}

// Guards against a storm of calls after all instances were killed at once.
TEST_CASE("Instances that start together wait for peers before they read") {
  ReaderView alone;
  ReaderElection seed("d0-0", "d0", /*IsSeed=*/true, 1, PropagationBounds(),
                      at(0));
  CHECK(seed.shouldRead(alone, Routes, at(0)));
  int early = 0;
  for (uint64_t i = 1; i <= 100; ++i) {
    ReaderElection other(nameOf(0, static_cast<int>(i)), "d0",
                         /*IsSeed=*/false, i, PropagationBounds(), at(0));
    CHECK_FALSE(other.shouldRead(alone, Routes, at(400)));
    early += other.shouldRead(alone, Routes, at(1000));
    CHECK(other.shouldRead(alone, Routes, at(2000)));
  }
  CHECK(early < 50);
}

// Guards against instances of a small fleet that learn of a change late, since
// all depend on the seed for the first 5 s and the seed has lost the store.
TEST_CASE("Instances of a small fleet read the store soon after the start") {
  ReaderElection other("d0-1", "d0", /*IsSeed=*/false, 1, PropagationBounds(),
                       at(0));
  ReaderView view;
  view.FleetSize = 4;
  view.Others = {{"d0-0"}, {"d0-2"}, {"d0-3"}};
  other.onPeerHeard(at(300));
  view.Complete = true;
  for (PublishedKind it : {PublishedKind::Servers, Routes})
    other.onPeerConfirmed(it, at(300));
  CHECK_FALSE(other.shouldRead(view, Routes, at(1000)));
  other.onPeerHeard(at(1800));
  CHECK(other.shouldRead(view, Routes, at(1800)));
  view.FleetSize = 17;
  for (PublishedKind it : {PublishedKind::Servers, Routes})
    other.onPeerConfirmed(it, at(1800));
  CHECK_FALSE(other.shouldRead(view, Routes, at(1800)));
}

// Guards against a fleet all of whose instances read from a store that rejects
// them, again and again, so that it serves nobody.
TEST_CASE("An instance that the store has rejected waits longer each time") {
  ReaderElection other("d0-1", "d0", /*IsSeed=*/false, 1, PropagationBounds(),
                       at(0));
  ReaderView alone;
  int now = 2500;
  std::vector<int> pauses;
  for (int i = 0; i < 6; ++i) {
    REQUIRE(other.shouldRead(alone, Routes, at(now)));
    other.onReadFailed(1, at(now));
    other.onReadFailed(1, at(now)); // of the other kind
    int begin = now;
    while (!other.shouldRead(alone, Routes, at(now)))
      now += 10;
    pauses.push_back(now - begin);
  }
  CHECK(pauses.front() <= 400);
  CHECK(pauses.back() >= 1000);
  CHECK(pauses.back() <= 2010);
}

// Instances of former builds state no failure domain and read for themselves.
TEST_CASE("Instances without a failure domain are no candidates") {
  MemberTable table("e1", "10.0.0.1:1", 1);
  Member old;
  old.Name = "e2";
  old.Address = "10.0.0.2:1";
  old.Incarnation = 2;
  table.onMemberSeen(old, at(0));
  Member other = old;
  other.Name = "e3";
  other.Address = "10.0.0.3:1";
  other.FailureDomain = "d1";
  other.StoreFailing = true;
  table.onMemberSeen(other, at(0));
  ReaderView view = table.readerView("d1", at(10));
  CHECK(view.FleetSize == 3);
  CHECK(view.Domains == 1);
  REQUIRE(view.Others.size() == 1);
  CHECK(view.Others[0].Name == "e3");
  CHECK(view.Others[0].StoreFailing);
  CHECK(table.readerView("d2", at(10)).Domains == 2);
  CHECK(table.readerView("d2", at(10)).Others.empty());
}
