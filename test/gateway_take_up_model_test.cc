// Random schedules, in virtual time, of streams that callers take up while the
// servers of their service are replaced by another software version, or one of
// another version comes for some seconds, instances are killed and started,
// stand still or are cut off from the others, and the route's time-out changes.
#include "gateway/decisions/stream_origin_table.h"
#include "gateway/decisions/stream_resumption.h"
#include "gateway/decisions/streams/record_keepers.h"
#include "gateway/decisions/version_history.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;

namespace {

constexpr size_t InstanceCount = 6;
constexpr size_t ServerCount = 3;
constexpr int MostTries = 4;
constexpr Milliseconds Day{120000};
// How much later than the store an instance knows a server's entry.
constexpr int64_t LatestNewsMs = 1500;
// How long servers serve on without an entry.
constexpr Milliseconds ServesOn{4000};

// A server with an entry from `Begin` to `End`.
struct Life {
  std::string Id;
  std::string Version;
  TimePoint Begin;
  TimePoint End;
};

// An instance stands still, or is cut off from the others.
struct Absence {
  TimePoint Begin;
  TimePoint End;
  bool Frozen = false;
};

struct Instance {
  TimePoint Started;
  uint64_t Writer = 0;
  StreamOriginTable Origins;
  VersionHistory Versions;
  std::vector<std::pair<TimePoint, size_t>> News; // of lives, in order
  size_t Read = 0;
  // Peers tell it the latest change of each server; else it reads all changes.
  bool LearnsFromPeers = false;
};

struct Tally {
  int TakenUp = 0;
  int WentOn = 0;
  int WithoutServer = 0; // none of the stream's version is left
  int Mixed = 0;
};

class Schedule {
public:
  Schedule(uint64_t Seed, bool HasAbsences) : Random(Seed) {
    Start = TimePoint() + std::chrono::hours(10);
    IsOldFleet = below(3) == 0;
    makeServers();
    if (HasAbsences)
      makeAbsences();
    Timeouts = {between(4000, 15000), between(4000, 15000)};
    TimeoutChange = Start + between(0, Day.count());
    for (size_t i = 0; i < InstanceCount; ++i)
      start(i, Start - (IsOldFleet ? between(2400000, 5000000)
                                   : between(0, 600000)));
  }

  void run(Tally &Counts) {
    for (TimePoint now = Start; now < Start + Day; now += between(500, 4000)) {
      if (startsAnew(10))
        start(below(InstanceCount), now);
      playStream(now, Counts);
    }
  }

private:
  uint64_t below(uint64_t Count) { return Random() % Count; }
  Milliseconds between(int64_t Least, int64_t Most) {
    return Milliseconds(Least + static_cast<int64_t>(below(
                                    static_cast<uint64_t>(Most - Least))));
  }
  bool chance(uint64_t Percent) { return below(100) < Percent; }

  // Rarely in an old fleet, so that some instances stay old.
  bool startsAnew(uint64_t Percent) {
    return chance(Percent) && (!IsOldFleet || chance(1));
  }

  // Each place has servers one after the other; a release replaces all of them
  // by the next version, some seconds apart.
  void makeServers() {
    TimePoint release = Start - Milliseconds(3600000);
    std::vector<TimePoint> since(ServerCount, release);
    int version = 1;
    while (release < Start + Day) {
      release += below(3) == 0 ? between(4000, 30000) : between(10000, 200000);
      if (release < Start - Milliseconds(600000) ||
          (IsOldFleet && release < Start))
        continue;
      TimePoint at = release;
      for (size_t i = 0; i < ServerCount; ++i) {
        at += between(0, 3000);
        Lives.push_back({std::to_string(Lives.size()),
                         "v" + std::to_string(version), since[i], at});
        since[i] = at - between(0, 1000); // the new one comes first
      }
      release = at;
      ++version;
    }
    // A server of another version that is taken back after some seconds.
    for (uint64_t n = below(IsOldFleet ? 12 : 4); n > 0; --n) {
      TimePoint begin = Start + between(0, Day.count());
      Lives.push_back({std::to_string(Lives.size()),
                       "canary" + std::to_string(n), begin,
                       begin + between(500, 8000)});
    }
  }

  void makeAbsences() {
    for (auto &it : Absences)
      for (uint64_t n = below(6); n > 0; --n) {
        TimePoint begin = Start + between(0, Day.count());
        it.push_back({begin, begin + between(500, 20000), chance(50)});
      }
  }

  const Absence *absenceAt(size_t Index, TimePoint Now) const {
    for (const Absence &it : Absences[Index])
      if (it.Begin <= Now && Now < it.End)
        return &it;
    return nullptr;
  }

  // When the instance learns what it would without absences learn at `At`.
  TimePoint learnsAt(size_t Index, TimePoint At) {
    while (const Absence *absence = absenceAt(Index, At))
      At = absence->End + between(0, LatestNewsMs);
    return At;
  }

  void start(size_t Index, TimePoint At) {
    Instance &item = Instances[Index];
    item = {};
    item.Started = At;
    item.Writer = ++LastWriter;
    item.LearnsFromPeers = below(2) == 0;
    for (size_t i = 0; i < Lives.size(); ++i) {
      if (Lives[i].End < At)
        continue;
      if (Lives[i].Begin <= At)
        item.News.emplace_back(At, 2 * i);
      else
        item.News.emplace_back(
            learnsAt(Index, Lives[i].Begin + between(0, LatestNewsMs)), 2 * i);
      TimePoint known = item.News.back().first;
      item.News.emplace_back(
          std::max(known, learnsAt(Index, Lives[i].End +
                                              between(0, 2 * LatestNewsMs))),
          2 * i + 1);
    }
    std::ranges::sort(item.News);
    item.Versions.onListRead(At);
  }

  void readNews(Instance &Item, TimePoint Now) {
    for (; Item.Read < Item.News.size() && Item.News[Item.Read].first <= Now;
         ++Item.Read) {
      auto [at, news] = Item.News[Item.Read];
      const Life &life = Lives[news / 2];
      if (Item.LearnsFromPeers && at > Item.Started)
        Item.Versions.onGap(at);
      if (news % 2 == 1)
        Item.Versions.onServerGone(life.Id, at);
      // Peers tell only that the server is gone.
      else if (!Item.LearnsFromPeers || life.End > at)
        Item.Versions.onServer(entryOf(life), at);
    }
  }

  static gateway::ServerEntry entryOf(const Life &Server) {
    gateway::ServerEntry entry;
    entry.Id = Server.Id;
    entry.Service = "llm";
    entry.Version = Server.Version;
    return entry;
  }

  Milliseconds timeout(TimePoint Now) const {
    return Timeouts[Now < TimeoutChange ? 0 : 1];
  }

  // The version of a server that runs at that time, or "" if the required one
  // has none any more.
  std::string versionAt(TimePoint Now, std::optional<VersionKey> Required) {
    std::vector<std::string> all;
    for (const Life &it : Lives)
      if (it.Begin <= Now && Now < it.End + ServesOn &&
          (!Required || versionKeyOf(it.Version) == *Required))
        all.push_back(it.Version);
    return all.empty() ? "" : all[below(all.size())];
  }

  // Instances that keep the stream's record, in order; a part of the fleet may
  // know fewer of them.
  std::vector<size_t> keepers(StreamKey Stream, size_t Self, TimePoint Now) {
    std::vector<std::pair<uint64_t, size_t>> ranked;
    for (size_t i = 0; i < InstanceCount; ++i)
      if (i != Self && !chance(5) && !absenceAt(i, Now) &&
          !absenceAt(Self, Now))
        ranked.emplace_back(Stream * 31 % (i + 7) * 1000 + i, i);
    std::ranges::sort(ranked);
    std::vector<size_t> all;
    for (const auto &it : ranked)
      all.push_back(it.second);
    return all;
  }

  void record(size_t Index, StreamKey Stream, const std::string &Version,
              Milliseconds Left, TimePoint Now) {
    Instance &writer = Instances[Index];
    StreamOrigin record{Stream, versionKeyOf(Version), writer.Writer,
                        ++LastSequence, originLifetime(Left)};
    writer.Origins.add(record, Now);
    std::vector<size_t> all = keepers(Stream, Index, Now);
    RecordKeepers sent(all.size());
    while (true) {
      auto [begin, end] = sent.next();
      if (begin == end)
        break;
      for (size_t i = begin; i < end; ++i) {
        if (chance(10))
          continue;
        Instances[all[i]].Origins.add(record, Now);
        if (!chance(5)) // the confirmation is lost
          sent.onConfirmed();
      }
    }
  }

  std::optional<VersionKey> takeUp(size_t Index, StreamKey Stream,
                                   TimePoint Now) {
    auto knowledge = [&](Instance &Item) {
      readNews(Item, Now);
      return OriginKnowledge{Item.Origins.find(Stream, Now)};
    };
    std::vector<size_t> asked = keepers(Stream, Index, Now);
    std::vector<OriginKnowledge> peers =
        collectKnowledge(std::min(asked.size(), MaxKeepersAsked),
                         [&](size_t Keeper) -> std::optional<OriginKnowledge> {
                           if (chance(10))
                             return std::nullopt;
                           return knowledge(Instances[asked[Keeper]]);
                         });
    OriginKnowledge own = knowledge(Instances[Index]);
    const VersionHistory &versions = Instances[Index].Versions;
    std::optional<VersionKey> only =
        versions.soleVersion("llm", Now - MaxStreamAge);
    if (!only || chance(10))
      return decideResumption(own, peers).Version;
    catchUp(Instances[Index], Now);
    only = versions.soleVersion("llm", Now - MaxStreamAge);
    return decideResumption(own, peers, only).Version;
  }

  // Applies what has changed in the store.
  void catchUp(Instance &Item, TimePoint Now) {
    for (size_t i = Item.Read; i < Item.News.size(); ++i) {
      const auto &[at, news] = Item.News[i];
      const Life &life = Lives[news / 2];
      if (news % 2 == 0 && life.Begin <= Now)
        Item.Versions.onServer(entryOf(life), Now);
    }
    for (size_t i = Item.Read; i < Item.News.size(); ++i) {
      const auto &[at, news] = Item.News[i];
      const Life &life = Lives[news / 2];
      if (news % 2 == 1 && life.End <= Now)
        Item.Versions.onServerGone(life.Id, Now);
    }
  }

  // An instance that stands still responds once it goes on.
  TimePoint respondsAt(size_t Index, TimePoint Now) const {
    const Absence *absence = absenceAt(Index, Now);
    return absence && absence->Frozen ? absence->End : Now;
  }

  // The version of the run that gives the first event. Runs without one come
  // before: at this instance, which keeps to the version that it has recorded,
  // or at others that it passes the request on to, which record nothing.
  std::string firstVersion(size_t Index, StreamKey Stream, TimePoint Deadline,
                           TimePoint &Now) {
    std::string version = versionAt(Now, std::nullopt);
    if (version.empty() || respondsAt(Index, Now) != Now)
      return "";
    bool isPassedOn = chance(30);
    if (!isPassedOn)
      record(Index, Stream, version, left(Deadline, Now), Now);
    while (!version.empty() && chance(30)) {
      Now += between(100, 3000);
      version =
          versionAt(Now, isPassedOn ? std::nullopt
                                    : std::optional(versionKeyOf(version)));
    }
    if (version.empty() || respondsAt(Index, Now) != Now)
      return "";
    if (isPassedOn)
      record(Index, Stream, version, left(Deadline, Now), Now);
    return version;
  }

  void playStream(TimePoint Begun, Tally &Counts) {
    StreamKey stream = Random();
    size_t at = below(InstanceCount);
    TimePoint deadline = Begun + between(3000, 60000);
    TimePoint now = Begun;
    std::string version = firstVersion(at, stream, deadline, now);
    if (version.empty())
      return;
    for (int i = 0; i < MostTries; ++i) {
      bool isKilled = startsAnew(20);
      Milliseconds ran =
          chance(50)
              ? timeout(now)
              : std::min(timeout(now), between(100, chance(50) ? 1500 : 12000));
      now += ran;
      if (isKilled)
        start(at, now);
      now += between(0, 4000);
      if (startsAnew(17))
        start(below(InstanceCount), now);
      at = below(InstanceCount);
      now = respondsAt(at, now);
      if (now >= deadline)
        return;
      ++Counts.TakenUp;
      if (versionAt(now, versionKeyOf(version)).empty())
        ++Counts.WithoutServer;
      std::optional<VersionKey> required = takeUp(at, stream, now);
      if (!required)
        continue;
      std::string next = versionAt(now, required);
      if (next.empty())
        continue; // no server of that version is left
      ++Counts.WentOn;
      Counts.Mixed += next != version ? 1 : 0;
      // A caller may state another deadline as it comes back.
      if (chance(20))
        deadline = now + between(3000, 60000);
      record(at, stream, next, left(deadline, now), now);
    }
  }

  static Milliseconds left(TimePoint Deadline, TimePoint Now) {
    return std::chrono::duration_cast<Milliseconds>(Deadline - Now);
  }

  std::mt19937_64 Random;
  TimePoint Start;
  bool IsOldFleet = false; // with one version for longer than a stream's age
  std::vector<Life> Lives;
  std::vector<Absence> Absences[InstanceCount];
  std::vector<Milliseconds> Timeouts;
  TimePoint TimeoutChange;
  std::vector<Instance> Instances{InstanceCount};
  uint64_t LastWriter = 0;
  uint64_t LastSequence = 0;
};

} // namespace

// With a record that ends with the route's time, or statements about less than
// a stream's age, streams are taken up at another version. CROCUSSPUR_SCHEDULES
// sets the number of schedules.
TEST_CASE("No stream is taken up at another version in random schedules") {
  const char *text = std::getenv("CROCUSSPUR_SCHEDULES");
  uint64_t schedules = text ? std::strtoull(text, nullptr, 10) : 2000;
  for (bool hasAbsences : {false, true}) {
    CAPTURE(hasAbsences);
    Tally counts;
    for (uint64_t seed = 1; seed <= schedules; ++seed)
      Schedule(seed, hasAbsences).run(counts);
    MESSAGE(counts.TakenUp << " taken up, " << counts.WentOn << " went on, "
                           << counts.Mixed << " at another version; "
                           << counts.WithoutServer
                           << " had no server of their version left");
    CHECK(counts.Mixed == 0);
    // Of those that a server of their version could go on with. An instance
    // that is cut off from the others can't learn the version.
    if (!hasAbsences)
      CHECK(counts.WentOn >= 0.95 * (counts.TakenUp - counts.WithoutServer));
  }
}
