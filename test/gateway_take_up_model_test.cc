// Random schedules, in virtual time, of streams that callers take up while the
// servers of their service are replaced by another software version, instances
// are killed and started, and the route's time-out changes.
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

struct Instance {
  TimePoint Started;
  uint64_t Writer = 0;
  StreamOriginTable Origins;
  VersionHistory Versions;
  std::vector<std::pair<TimePoint, size_t>> News; // of lives, in order
  size_t Read = 0;
};

struct Tally {
  int TakenUp = 0;
  int WentOn = 0;
  int WithoutServer = 0; // none of the stream's version is left
  int Mixed = 0;
};

class Schedule {
public:
  explicit Schedule(uint64_t Seed) : Random(Seed) {
    Start = TimePoint() + std::chrono::hours(10);
    makeServers();
    Timeouts = {between(4000, 15000), between(4000, 15000)};
    TimeoutChange = Start + between(0, Day.count());
    for (size_t i = 0; i < InstanceCount; ++i)
      start(i, Start - between(0, 600000));
  }

  void run(Tally &Counts) {
    for (TimePoint now = Start; now < Start + Day; now += between(500, 4000)) {
      if (below(10) == 0)
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

  // Each place has servers one after the other; a release replaces all of them
  // by the next version, some seconds apart.
  void makeServers() {
    TimePoint release = Start - Milliseconds(3600000);
    std::vector<TimePoint> since(ServerCount, release);
    int version = 1;
    while (release < Start + Day) {
      release += below(3) == 0 ? between(4000, 30000) : between(10000, 200000);
      if (release < Start - Milliseconds(600000))
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
  }

  void start(size_t Index, TimePoint At) {
    Instance &item = Instances[Index];
    item = {};
    item.Started = At;
    item.Writer = ++LastWriter;
    for (size_t i = 0; i < Lives.size(); ++i) {
      if (Lives[i].End < At)
        continue;
      item.News.emplace_back(
          std::max(At, Lives[i].Begin + between(0, LatestNewsMs)), 2 * i);
      item.News.emplace_back(
          std::max(At, Lives[i].End + between(LatestNewsMs, 2 * LatestNewsMs)),
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
      if (news % 2 == 1) {
        Item.Versions.onServerGone(life.Id, at);
        continue;
      }
      gateway::ServerEntry entry;
      entry.Id = life.Id;
      entry.Service = "llm";
      entry.Version = life.Version;
      Item.Versions.onServer(entry, at);
    }
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
  std::vector<size_t> keepers(StreamKey Stream, size_t Self) {
    std::vector<std::pair<uint64_t, size_t>> ranked;
    for (size_t i = 0; i < InstanceCount; ++i)
      if (i != Self && !chance(5))
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
    std::vector<size_t> all = keepers(Stream, Index);
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
      return OriginKnowledge{
          Item.Origins.find(Stream, Now),
          Item.Versions.soleVersion("llm", Now - MaxStreamAge)};
    };
    std::vector<OriginKnowledge> peers;
    std::vector<size_t> asked = keepers(Stream, Index);
    asked.resize(std::min(asked.size(), MaxKeepersAsked));
    for (size_t it : asked) {
      if (chance(10))
        continue;
      peers.push_back(knowledge(Instances[it]));
      if (peers.back().Recorded)
        break;
    }
    OriginKnowledge own = knowledge(Instances[Index]);
    std::optional<VersionKey> current;
    if (mayBeOnlyVersion(own, peers) && !chance(10))
      current = Instances[Index].Versions.soleVersion("llm", Now);
    return decideResumption(own, peers, current).Version;
  }

  void playStream(TimePoint Begun, Tally &Counts) {
    StreamKey stream = Random();
    size_t at = below(InstanceCount);
    TimePoint deadline = Begun + between(3000, 60000);
    std::string version = versionAt(Begun, std::nullopt);
    if (version.empty())
      return;
    TimePoint now = Begun;
    record(at, stream, version, left(deadline, now), now);
    for (int i = 0; i < MostTries; ++i) {
      bool isKilled = chance(20);
      Milliseconds ran = chance(50)
                             ? timeout(now)
                             : std::min(timeout(now), between(100, 12000));
      now += ran;
      if (isKilled)
        start(at, now);
      now += between(0, 4000);
      if (below(6) == 0)
        start(below(InstanceCount), now);
      if (now >= deadline)
        return;
      at = below(InstanceCount);
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
  std::vector<Life> Lives;
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
  Tally counts;
  for (uint64_t seed = 1; seed <= schedules; ++seed)
    Schedule(seed).run(counts);
  MESSAGE(counts.TakenUp << " taken up, " << counts.WentOn << " went on, "
                         << counts.Mixed << " at another version; "
                         << counts.WithoutServer
                         << " had no server of their version left");
  CHECK(counts.Mixed == 0);
  // Of those that a server of their version could go on with.
  CHECK(counts.WentOn >= 0.95 * (counts.TakenUp - counts.WithoutServer));
}
