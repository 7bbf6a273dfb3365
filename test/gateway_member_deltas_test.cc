// Replays in virtual time how instances learn of each other in exchanges that
// name only what changed, with the code that decides what a frame tells.
#include "gateway/decisions/fleet/member_deltas.h"
#include "virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <numeric>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

namespace {

// Bytes as measured on encoded frames with figures of three services.
constexpr size_t FrameBytes = 700;
constexpr size_t StateBytes = 350;
constexpr size_t HeardBytes = 6;
constexpr int StepMs = 100;
constexpr int RoundMs = 1000;
constexpr int Domains = 3;

struct Node {
  Node(int Number, uint64_t Seed)
      : Table("n" + std::to_string(1000 + Number), address(Number), Seed),
        Random(Seed), Phase(static_cast<int>(Seed % (RoundMs / StepMs))) {
    Own.Name = "n" + std::to_string(1000 + Number);
    Own.Address = address(Number);
    Own.Incarnation = Seed;
    Own.FailureDomain = "d" + std::to_string(Number % Domains);
    Own.Stats = {{"chat", {1000, 10, 0}, 55}};
    Own.Reached = {{"chat", Milliseconds(100)}};
    Table.setFailureDomain(Own.FailureDomain);
  }
  static std::string address(int Number) {
    return std::to_string(Number) + ":1";
  }
  MemberNews request() {
    Own.StateVersion = Version.versionOf(Own, Table.alive(Now).size(), Now);
    return newsForRequest(Table.alive(Now), Own, false);
  }

  MemberTable Table;
  StateAllowance Allowance;
  StateVersion Version;
  std::mt19937_64 Random;
  int Phase;
  Member Own;
  TimePoint Now = Start;
  bool IsAlive = true;
  bool IsFrozen = false;
  bool IsCutOff = false; // with its domain, from the others
  size_t Bytes = 0;      // sent since the count began
};

size_t bytesOf(const MemberNews &News) {
  return FrameBytes + News.Members.size() * StateBytes +
         News.Heard.size() * HeardBytes;
}

class Fleet {
public:
  Fleet(int Count, uint64_t Seed) : Random(Seed) {
    for (int i = 0; i < Count; ++i) {
      All.push_back(std::make_unique<Node>(i, Random()));
      All.back()->Table.setSeeds(
          {Node::address(0), Node::address(1), Node::address(2)});
    }
  }

  // As after some time of running.
  void introduceAll() {
    for (auto &it : All) {
      it->Own.StateVersion =
          it->Version.versionOf(it->Own, All.size() - 1, at(0));
      for (auto &other : All)
        if (other != it)
          other->Table.onMemberSeen(it->Own, at(0));
    }
  }

  void run(int Ms) {
    for (int until = NowMs + Ms; NowMs < until; NowMs += StepMs)
      for (auto &it : All)
        if (it->IsAlive && !it->IsFrozen &&
            NowMs / StepMs % (RoundMs / StepMs) == it->Phase)
          runRound(*it);
  }

  bool reach(const Node &From, const Node &To) const {
    return To.IsAlive && !To.IsFrozen &&
           (From.IsCutOff == To.IsCutOff ||
            From.Own.FailureDomain == To.Own.FailureDomain);
  }

  // Whether all that run know what `Holds` says of the member.
  bool allKnow(const std::string &Name,
               const std::function<bool(const Member *)> &Holds) const {
    return std::ranges::all_of(All, [&](const auto &It) {
      if (!It->IsAlive || It->IsFrozen || It->Own.Name == Name)
        return true;
      std::vector<Member> known = It->Table.alive(at(NowMs));
      auto found = std::ranges::find(known, Name, &Member::Name);
      return Holds(found == known.end() ? nullptr : &*found);
    });
  }
  bool allAreKnown() const {
    size_t running = static_cast<size_t>(
        std::ranges::count_if(All, [](const auto &It) { return It->IsAlive; }));
    return std::ranges::all_of(All, [&](const auto &It) {
      return !It->IsAlive || It->Table.alive(at(NowMs)).size() == running - 1;
    });
  }

  std::vector<std::unique_ptr<Node>> All;
  std::mt19937_64 Random;
  int NowMs = 0;

private:
  void runRound(Node &Of) {
    Of.Now = at(NowMs);
    // Figures change all the time.
    Of.Own.Stats[0].Demand.PromptTokenRate =
        static_cast<double>(500 + Of.Random() % 1000);
    for (const std::string &address : Of.Table.selectContacts(2, Of.Now)) {
      Node &peer = *All[static_cast<size_t>(std::stoi(address))];
      MemberNews request = Of.request();
      Of.Bytes += bytesOf(request);
      bool lost = Of.Random() % 50 == 0;
      if (!reach(Of, peer) || lost) {
        Of.Table.onContactFailed(address, Of.Now);
        continue;
      }
      peer.Now = Of.Now;
      peer.Own.StateVersion = peer.Version.versionOf(
          peer.Own, peer.Table.alive(peer.Now).size(), peer.Now);
      MemberNews response =
          newsForResponse(peer.Table.alive(peer.Now), peer.Own, request, Of.Own,
                          peer.Allowance, peer.Random, peer.Now);
      peer.Bytes += bytesOf(response);
      apply(peer, request, Of.Own);
      apply(Of, response, peer.Own);
    }
  }

  void apply(Node &To, const MemberNews &News, const Member &Sender) const {
    To.Table.onMemberSeen(Sender, at(NowMs));
    for (const Member &it : News.Members)
      To.Table.onMemberSeen(it, at(NowMs));
    To.Table.onMembersHeard(unpackHeard(packHeard(News.Heard)), at(NowMs));
  }
};

enum class Trouble : uint8_t { Killed, Frozen, CutOff };

struct Outcome {
  int KnownMs = 0;   // until all know a change made during the trouble
  bool Lost = false; // a member that lives was taken for stopped
  bool Kept = false; // one that was killed is still known after 14 s
};

// `Trouble` hits a fifth of the fleet, or a domain, for 7 s.
Outcome runTrouble(int Count, uint64_t Seed, Trouble Kind) {
  Fleet fleet(Count, Seed);
  fleet.introduceAll();
  fleet.run(11000);
  Outcome outcome;
  outcome.Lost = !fleet.allAreKnown();
  int changed = 1 + static_cast<int>(fleet.Random() % (Count - 1));
  std::vector<Node *> hit;
  for (int i = 0; i < Count; ++i) {
    Node &node = *fleet.All[static_cast<size_t>(i)];
    bool isHit =
        Kind == Trouble::CutOff ? i % Domains == 0 : fleet.Random() % 5 == 0;
    if (!isHit || (i == changed && Kind != Trouble::CutOff))
      continue;
    hit.push_back(&node);
    node.IsAlive = Kind != Trouble::Killed;
    node.IsFrozen = Kind == Trouble::Frozen;
    node.IsCutOff = Kind == Trouble::CutOff;
  }
  fleet.run(1000);
  Node &source = *fleet.All[static_cast<size_t>(changed)];
  source.Own.Leaving = true;
  int changedAt = fleet.NowMs;
  auto known = [&] {
    return fleet.allKnow(source.Own.Name,
                         [](const Member *It) { return It && It->Leaving; });
  };
  if (Kind != Trouble::Killed) {
    fleet.run(6000);
    for (Node *it : hit)
      it->IsFrozen = it->IsCutOff = false;
    changedAt = fleet.NowMs;
  }
  while (!known() && fleet.NowMs < changedAt + 20000)
    fleet.run(5 * StepMs);
  outcome.KnownMs = fleet.NowMs - changedAt;
  fleet.run(std::max(14000 - outcome.KnownMs, 0));
  if (Kind == Trouble::Killed)
    for (Node *it : hit)
      outcome.Kept =
          outcome.Kept ||
          !fleet.allKnow(it->Own.Name, [](const Member *M) { return !M; });
  outcome.Lost = outcome.Lost || !fleet.allAreKnown();
  return outcome;
}

} // namespace

// Guards against changes that stay unknown to some, against members that are
// taken for stopped since full lists are rare, and against ones that stopped
// and are kept alive by peers that repeat each other.
TEST_CASE("All instances know a change within seconds of members' failures") {
  int longest = 0;
  int lost = 0;
  int kept = 0;
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    Outcome outcome = runTrouble(24, seed, static_cast<Trouble>(seed % 3));
    longest = std::max(longest, outcome.KnownMs);
    lost += outcome.Lost;
    kept += outcome.Kept;
  }
  MESSAGE("known after " << longest << " ms at most");
  CHECK(longest <= 9000);
  CHECK(lost == 0);
  CHECK(kept == 0);
}

TEST_CASE("All of 150 instances know a change within seconds of failures") {
  for (Trouble kind : {Trouble::Killed, Trouble::Frozen, Trouble::CutOff}) {
    Outcome outcome = runTrouble(150, 7, kind);
    MESSAGE("known after " << outcome.KnownMs << " ms");
    CHECK(outcome.KnownMs <= 12000);
    CHECK_FALSE(outcome.Lost);
    CHECK_FALSE(outcome.Kept);
  }
}

// Guards against an instance that knows a part of a large fleet for long.
TEST_CASE("400 instances that start together know each other within 15 s") {
  Fleet fleet(400, 5);
  while (!fleet.allAreKnown() && fleet.NowMs < 30000)
    fleet.run(1000);
  MESSAGE("all know all after " << fleet.NowMs << " ms");
  CHECK(fleet.NowMs <= 15000);
}

// Guards against exchanges that name every member with its figures: 400 of them
// are 140 kB in each frame.
TEST_CASE("Exchanges of 400 instances stay within 22 kB a second") {
  Fleet fleet(400, 3);
  fleet.introduceAll();
  fleet.run(11000);
  for (auto &it : fleet.All)
    it->Bytes = 0;
  fleet.run(10000);
  std::vector<size_t> bytes;
  for (auto &it : fleet.All)
    bytes.push_back(it->Bytes / 10);
  std::ranges::sort(bytes);
  size_t mean =
      std::accumulate(bytes.begin(), bytes.end(), size_t(0)) / bytes.size();
  MESSAGE("bytes sent a second: median " << bytes[200] << ", mean " << mean
                                         << ", most " << bytes.back());
  CHECK(mean <= 22000);
  CHECK(bytes.back() <= 3 * bytes[200]);
}

TEST_CASE("A change of figures is told once in some seconds") {
  StateVersion version;
  Member own;
  own.Stats = {{"chat", {1000, 10, 0}, 55}};
  uint64_t first = version.versionOf(own, 10, at(0));
  own.Stats[0].Demand.PromptTokenRate = 1100;
  CHECK(version.versionOf(own, 10, at(9000)) == first);
  own.Stats[0].Demand.PromptTokenRate = 2000;
  CHECK(version.versionOf(own, 10, at(4900)) == first);
  CHECK(version.versionOf(own, 10, at(9000)) == first + 1);
  own.Leaving = true;
  CHECK(version.versionOf(own, 10, at(9001)) == first + 2);
}

// Guards against instances of earlier builds that lose sight of the fleet.
TEST_CASE("A peer that states no digest gets all members with their state") {
  std::vector<Member> known;
  for (int i = 0; i < 40; ++i) {
    known.push_back({});
    known.back().Name = "n" + std::to_string(i);
    known.back().StateVersion = 3;
  }
  Member own;
  own.Name = "own";
  std::mt19937_64 random(1);
  StateAllowance allowance;
  MemberNews response =
      newsForResponse(known, own, MemberNews(), own, allowance, random, at(0));
  CHECK(response.Members.size() == 40);
  CHECK(response.Heard.empty());
  CHECK(newsForRequest(known, own, true).Members.size() == 40);
  MemberNews request = newsForRequest(known, own, false);
  CHECK(request.Members.empty());
  CHECK(request.Heard.size() == 40);
}

// Guards against orders and reports that look as if they had been made when
// their member was heard last.
TEST_CASE("Ages in a member's state grow while only its signs of life come") {
  MemberTable table("own", "own:1", 1);
  Member member;
  member.Name = "n1";
  member.Address = "n1:1";
  member.Incarnation = 5;
  member.StateVersion = 2;
  member.Orders = {{"chat", "s1", 1, Milliseconds(100), true}};
  member.Reached = {{"chat", Milliseconds(100)}};
  table.onMemberSeen(member, at(0));
  uint32_t key = memberKey("n1", 5);
  table.onMembersHeard({{key, 2, Milliseconds(0)}}, at(5000));
  Member known = table.alive(at(6000)).front();
  CHECK(known.LastSeenAgo == Milliseconds(1000));
  CHECK(known.Orders[0].Age == Milliseconds(5100));
  // A sign of life with the same version says that the state still holds.
  CHECK(known.Reached[0].Age == Milliseconds(100));
  table.onMembersHeard({{key, 3, Milliseconds(0)}}, at(9000));
  CHECK(table.alive(at(9000)).front().Reached[0].Age == Milliseconds(4100));
}
