// Dispatch of prefills in virtual time: a fleet of instances, each with its own
// registry and the queues of the shards that it owns, and prefill servers that
// read prompts one after another.
#include "gateway/decisions/placement/prefill_dispatcher.h"
#include "gateway/decisions/server_registry.h"
#include "virtual_time.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <queue>
#include <random>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;

namespace {

constexpr size_t InstanceCount = 65;
constexpr uint64_t PromptTokens = 5200;
constexpr double UsualMs = 94;
constexpr double OneWayMs = 1.4;
constexpr double OwnerTimeoutMs = 15;

enum class Fault : uint8_t { None, OwnersFail, ResponsesLost };

struct Replay {
  size_t Servers = 17;
  double PerSecond = 110;
  bool Dispatched = true;
  Fault Failure = Fault::None;
  uint64_t Seed = 1;
};

double usualPace(size_t Server) {
  return Server % 3 == 0 ? 0.6 : Server % 3 == 1 ? 1.0 : 1.6;
}

// Five servers are slower from 8 to 14.5 s; 0.15 of them for 600 ms at a time.
double paceAt(size_t Server, double Ms) {
  auto phase = static_cast<uint64_t>(Ms / 600);
  bool isSlow = Server < 5 && Ms > 8000 && Ms < 14500;
  bool isShort = (Server * 7919 + phase * 104729) % 100 < 15;
  return usualPace(Server) * (isSlow ? 4 : isShort ? 2.5 : 1);
}

class Fleet {
public:
  explicit Fleet(const Replay &Values) : Values(Values), Random(Values.Seed) {
    for (size_t i = 0; i < InstanceCount; ++i) {
      Instances.emplace_back("hall-a", Values.Seed * 1000 + i);
      for (size_t k = 0; k < Values.Servers; ++k) {
        ServerEntry entry;
        entry.Id = "s" + std::to_string(k);
        entry.Service = "model";
        entry.Stage = ServerStage::Prefill;
        entry.FailureDomain = "hall-a";
        entry.StartedAt = 1;
        Instances.back().apply(entry, at(0));
      }
    }
    FreeAt.assign(Values.Servers, 0);
    Waiting.assign(Values.Servers, 0);
  }

  // Returns the durations of the prefills that began after `FromMs`, in order.
  std::vector<double> run(double FromMs, double EndMs) {
    double nextRound = 0;
    while (NowMs < EndMs) {
      NowMs += std::exponential_distribution<double>(Values.PerSecond /
                                                     1000)(Random);
      finishUntil(NowMs);
      for (; nextRound <= NowMs; nextRound += 1000.0 / InstanceCount)
        exchange();
      call(NowMs >= FromMs);
    }
    finishUntil(EndMs + 60000);
    std::ranges::sort(Durations);
    return Durations;
  }

private:
  struct OpenCall {
    double EndMs;
    double StartMs;
    size_t Instance;
    ServerChoice Server;
    bool Counts;
    bool operator<(const OpenCall &Right) const { return EndMs > Right.EndMs; }
  };
  struct Completed {
    PrefillReport Report;
    double EndMs;
  };

  size_t anInstance() {
    return std::uniform_int_distribution<size_t>(0, InstanceCount - 1)(Random);
  }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  void exchange() { // one instance's round, with two peers
    size_t own = NextInstance++ % InstanceCount;
    for (int i = 0; i < 2; ++i) {
      size_t peer = anInstance();
      pass(own, peer, false);
      pass(peer, own, false);
    }
  }

  void pass(size_t From, size_t To, bool OnlyChanges) {
    auto now = at(static_cast<int64_t>(NowMs));
    for (const PaceSummary &it : Instances[From].pacesChangedSince(
             now - Milliseconds(OnlyChanges ? 600 : 1500), now,
             OnlyChanges ? 8 : 32))
      if (it.IsChange || !OnlyChanges)
        Instances[To].mergePace(it, now);
    notifyPeers(To);
  }

  // Tells three peers of changes at once, at most twice a second.
  void notifyPeers(size_t From) {
    if (Instances[From]
            .takePaceChanges(at(static_cast<int64_t>(NowMs)))
            .empty() ||
        NowMs - NotifiedMs[From] < 500)
      return;
    NotifiedMs[From] = NowMs;
    for (int i = 0; i < 3; ++i)
      pass(From, anInstance(), true);
  }

  // Owners are killed, frozen or cut off for a second in three.
  bool isFailing(size_t Owner) const {
    return Values.Failure == Fault::OwnersFail &&
           (static_cast<size_t>(NowMs / 1000) + Owner) % 3 == 0;
  }

  std::optional<ServerChoice> dispatch(size_t Instance, double &DelayMs) {
    auto now = at(static_cast<int64_t>(NowMs));
    DispatchServers own = Instances[Instance].dispatchServers("model", now);
    if (!own.Differ)
      return std::nullopt;
    std::vector<std::vector<size_t>> shards = shardsOf(own.All);
    std::optional<size_t> shard = drawShard(own.All, shards, {}, draw());
    if (!shard)
      return std::nullopt;
    size_t owner = 7 + 11 * *shard;
    if (isFailing(owner)) {
      if (NowMs < AskAgainMs[Instance])
        return std::nullopt;
      AskAgainMs[Instance] = NowMs + 400;
      DelayMs += OwnerTimeoutMs;
      return std::nullopt;
    }
    PrefillAsk ask;
    ask.Service = "model";
    ask.Shard = static_cast<uint32_t>(*shard);
    ask.Tokens = PromptTokens;
    std::erase_if(Unsent[Instance], [&](Completed &It) {
      bool isOfShard = std::ranges::any_of(shards[*shard], [&](size_t Server) {
        return own.All[Server].Id == It.Report.ServerId;
      });
      if (isOfShard) {
        It.Report.Age = Milliseconds(static_cast<int64_t>(NowMs - It.EndMs));
        ask.Reports.push_back(It.Report);
      }
      return isOfShard;
    });
    DispatchServers known = Instances[owner].dispatchServers("model", now);
    std::vector<std::vector<size_t>> division = shardsOf(known.All);
    std::vector<DispatchServer> candidates;
    for (size_t i : division[*shard])
      candidates.push_back(known.All[i]);
    PrefillAssignment assigned = Owners[owner].assign(
        ask, candidates,
        now + Milliseconds(static_cast<int64_t>(2 * OneWayMs)));
    if (Values.Failure == Fault::ResponsesLost && draw() < 1.0 / 3) {
      DelayMs += OwnerTimeoutMs;
      return std::nullopt;
    }
    DelayMs += 4 * OneWayMs; // connect and exchange
    return Instances[Instance].chosen({"model", ServerStage::Prefill, {}, {}},
                                      assigned.ServerId, assigned.StartedAt,
                                      now);
  }

  void call(bool Counts) {
    size_t instance = anInstance();
    double delay = 0;
    std::optional<ServerChoice> choice;
    if (Values.Dispatched)
      choice = dispatch(instance, delay);
    if (!choice)
      choice =
          Instances[instance].choose({"model", ServerStage::Prefill, {}, {}},
                                     at(static_cast<int64_t>(NowMs)));
    size_t server = std::stoul(choice->Id.substr(1));
    ++Waiting[server];
    double noise = std::uniform_real_distribution<double>(0.8, 1.2)(Random);
    double begin = std::max(FreeAt[server], NowMs + delay + OneWayMs);
    FreeAt[server] = begin + UsualMs * noise * paceAt(server, begin);
    Instances[instance].callStarted(choice->Id, 1);
    Open.push({FreeAt[server] + OneWayMs, NowMs, instance, *choice, Counts});
  }

  void finishUntil(double Ms) {
    while (!Open.empty() && Open.top().EndMs <= Ms) {
      OpenCall it = Open.top();
      Open.pop();
      auto now = at(static_cast<int64_t>(it.EndMs));
      size_t server = std::stoul(it.Server.Id.substr(1));
      --Waiting[server];
      ServerRegistry &registry = Instances[it.Instance];
      registry.onLoadReport(it.Server.Id, {Waiting[server], 0, 64}, now);
      Milliseconds taken(static_cast<int64_t>(it.EndMs - it.StartMs));
      registry.onCallTimed(it.Server, PromptTokens, taken, now);
      registry.callEnded(it.Server.Id, 1, CallResult::Succeeded, now);
      Unsent[it.Instance].push_back(
          {{it.Server.Id, 1, PromptTokens, taken, {}, Waiting[server]},
           it.EndMs});
      notifyPeers(it.Instance);
      if (it.Counts)
        Durations.push_back(it.EndMs - it.StartMs);
    }
  }

  const Replay Values;
  std::mt19937_64 Random;
  std::vector<ServerRegistry> Instances;
  std::array<PrefillDispatcher, InstanceCount> Owners;
  std::array<std::vector<Completed>, InstanceCount> Unsent;
  std::array<double, InstanceCount> NotifiedMs{};
  std::array<double, InstanceCount> AskAgainMs{};
  std::vector<double> FreeAt;
  std::vector<uint32_t> Waiting;
  std::priority_queue<OpenCall> Open;
  std::vector<double> Durations;
  double NowMs = 0;
  size_t NextInstance = 0;
};

struct Percentiles {
  double Median = 0;
  double P90 = 0;
  double P95 = 0;
  double P99 = 0;
};

Percentiles replay(Replay Values) {
  std::vector<double> all;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    Values.Seed = seed;
    std::vector<double> some = Fleet(Values).run(3000, 20000);
    all.insert(all.end(), some.begin(), some.end());
  }
  std::ranges::sort(all);
  auto of = [&](size_t Percent) { return all[all.size() * Percent / 100]; };
  Percentiles found{of(50), of(90), of(95), of(99)};
  MESSAGE("servers " << Values.Servers << ", per second " << Values.PerSecond
                     << ", dispatched " << Values.Dispatched << ", fault "
                     << static_cast<int>(Values.Failure) << ": median "
                     << found.Median << ", p90 " << found.P90 << ", p95 "
                     << found.P95 << ", p99 " << found.P99);
  return found;
}

} // namespace

// Calls queued at some servers while others were idle.
TEST_CASE("Dispatched prefills wait less than those placed by each instance") {
  for (auto [servers, rate] :
       {std::pair<size_t, double>{17, 110}, {32, 110}, {32, 180}, {32, 250}}) {
    Percentiles before = replay({servers, rate, false});
    Percentiles after = replay({servers, rate, true});
    CHECK(after.Median < 0.9 * before.Median);
    CHECK(after.P95 < 0.9 * before.P95);
    CHECK(after.P99 < 0.9 * before.P99);
  }
}

// Requests would wait for owners that don't respond, or queues would grow by
// assignments that nobody uses.
TEST_CASE("Failing owners and lost responses are no worse than no owners") {
  Percentiles before = replay({17, 110, false});
  for (Fault it : {Fault::OwnersFail, Fault::ResponsesLost}) {
    Percentiles after = replay({17, 110, true, it});
    CHECK(after.Median < before.Median);
    CHECK(after.P95 < before.P95);
  }
}

// Guards against shards above the bound and against instances that disagree on
// most of them after a server has come.
TEST_CASE("Shards are bounded and a further server moves few others") {
  std::vector<DispatchServer> servers;
  for (int i = 0; i < 31; ++i)
    servers.push_back({"s" + std::to_string(i), 1, 0.02, true});
  auto shardOf = [](const std::vector<DispatchServer> &All) {
    std::map<std::string, size_t> found;
    std::vector<std::vector<size_t>> shards = shardsOf(All);
    for (size_t k = 0; k < shards.size(); ++k) {
      CHECK(shards[k].size() <= MaxServersPerShard);
      for (size_t i : shards[k])
        found[All[i].Id] = k;
    }
    return found;
  };
  std::map<std::string, size_t> before = shardOf(servers);
  servers.push_back({"t", 1, 0.02, true});
  size_t moved = 0;
  for (auto [id, shard] : shardOf(servers))
    moved += id != "t" && before.at(id) != shard ? 1 : 0;
  CHECK(moved <= 4);
}

// A restarted or excluded server would get prompts, or one whose assignments
// have ended would get none.
TEST_CASE("An owner assigns only usable servers and forgets ended work") {
  std::vector<DispatchServer> servers{
      {"a", 1, 0.02, true}, {"b", 1, 0.03, true}, {"c", 1, 0.01, false}};
  PrefillDispatcher owner;
  PrefillAsk ask{"model", 0, PromptTokens, {}, {}};
  CHECK(owner.assign(ask, servers, at(0)).ServerId == "a");
  PrefillAssignment second = owner.assign(ask, servers, at(1));
  CHECK(second.ServerId == "b");
  CHECK(second.Wait == Milliseconds(0));
  CHECK(second.Duration == Milliseconds(156));
  ask.Excluded = {"a"};
  CHECK(owner.assign(ask, servers, at(1000)).ServerId == "b");
  ask.Excluded = {"a", "b"};
  CHECK(owner.assign(ask, servers, at(1000)).ServerId.empty());
  ask.Excluded = {};
  CHECK(owner.assign(ask, servers, at(1001)).ServerId == "a");
  servers[0].StartedAt = 2;
  CHECK(owner.assign(ask, servers, at(1002)).StartedAt == 2);
}

// An owner that misses assignments or completions would fill a busy server.
TEST_CASE("A report of waiting requests moves prefills to another server") {
  std::vector<DispatchServer> servers{{"a", 1, 0.02, true},
                                      {"b", 1, 0.03, true}};
  PrefillDispatcher owner;
  PrefillAsk ask{"model", 0, PromptTokens, {}, {}};
  ask.Reports = {{"a", 1, PromptTokens, Milliseconds(104), Milliseconds(5), 4}};
  CHECK(owner.assign(ask, servers, at(0)).ServerId == "b");
  ask.Reports = {{"a", 1, PromptTokens, Milliseconds(104), Milliseconds(2), 0}};
  CHECK(owner.assign(ask, servers, at(10)).ServerId == "a");
}
