// Placement by pace in virtual time: a fleet of instances, each with its own
// registry, and prefill servers that read prompts one after another.
#include "gateway/decisions/server_registry.h"
#include "virtual_time.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <random>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;

namespace {

constexpr size_t ServerCount = 32;
constexpr size_t InstanceCount = 61;
constexpr double PromptTokens = 5200;
constexpr double UsualMs = 94;
constexpr size_t MaxSummaries = 32;

struct Fleet {
  explicit Fleet(uint64_t Seed, double CallsPerMs = 0.08)
      : CallsPerMs(CallsPerMs), Random(Seed) {
    for (size_t i = 0; i < InstanceCount; ++i) {
      Instances.emplace_back("hall-a", Seed * 1000 + i);
      for (size_t k = 0; k < ServerCount; ++k)
        Instances.back().apply(entryOf(k), at(0));
    }
    FreeAt.assign(ServerCount, 0);
    Waiting.assign(ServerCount, 0);
  }

  static ServerEntry entryOf(size_t Server, int64_t StartedAt = 1) {
    ServerEntry entry;
    entry.Id = "s" + std::to_string(Server);
    entry.Service = "model";
    entry.Stage = ServerStage::Prefill;
    entry.FailureDomain = "hall-a";
    entry.StartedAt = StartedAt;
    return entry;
  }

  // Runs until `EndMs` and returns the calls by server since the last run.
  std::vector<double> run(double EndMs) {
    Calls.assign(ServerCount, 0);
    while (NowMs < EndMs) {
      NowMs += std::exponential_distribution<double>(CallsPerMs)(Random);
      finishUntil(NowMs);
      for (; NextRoundMs <= NowMs; NextRoundMs += 1000.0 / InstanceCount)
        exchange();
      call();
    }
    return Calls;
  }

  size_t anInstance() {
    return std::uniform_int_distribution<size_t>(0, InstanceCount - 1)(Random);
  }

  void exchange() { // one instance's round, with two peers
    size_t own = NextInstance++ % InstanceCount;
    for (int i = 0; i < 2; ++i) {
      size_t peer = anInstance();
      if (std::bernoulli_distribution(LostExchanges)(Random))
        continue;
      pass(own, peer);
      pass(peer, own);
    }
  }

  void pass(size_t From, size_t To) {
    auto now = at(static_cast<int64_t>(NowMs));
    for (const PaceSummary &it : Instances[From].pacesChangedSince(
             now - Milliseconds(1500), now, MaxSummaries))
      Instances[To].mergePace(it, now);
    notifyPeers(To, 0);
  }

  // Tells some peers of changes at once, at most twice a second.
  void notifyPeers(size_t From, int Hops) {
    auto now = at(static_cast<int64_t>(NowMs));
    if (Instances[From].takePaceChanges(now).empty() ||
        NowMs - NotifiedMs[From] < 500 || Hops > 8)
      return;
    NotifiedMs[From] = NowMs;
    for (int i = 0; i < 3; ++i) {
      size_t peer = anInstance();
      if (std::bernoulli_distribution(LostExchanges)(Random))
        continue;
      for (const PaceSummary &it :
           Instances[From].pacesChangedSince(now - Milliseconds(600), now, 8))
        if (it.IsChange)
          Instances[peer].mergePace(it, now);
      notifyPeers(peer, Hops + 1);
    }
  }

  void call() {
    size_t instance = anInstance();
    auto choice =
        Instances[instance].choose({"model", ServerStage::Prefill, {}, {}},
                                   at(static_cast<int64_t>(NowMs)));
    size_t server = std::stoul(choice->Id.substr(1));
    ++Calls[server];
    ++Waiting[server];
    double noise = std::uniform_real_distribution<double>(0.8, 1.2)(Random);
    double end = std::max(FreeAt[server], NowMs) +
                 UsualMs * noise * PaceAt(server, NowMs);
    FreeAt[server] = end;
    Instances[instance].callStarted(choice->Id, 1);
    Open.push({end, NowMs, instance, *choice});
  }

  void finishUntil(double Ms) {
    while (!Open.empty() && Open.top().EndMs <= Ms) {
      OpenCall it = Open.top();
      Open.pop();
      auto now = at(static_cast<int64_t>(it.EndMs));
      auto server = std::stoul(it.Server.Id.substr(1));
      --Waiting[server];
      ServerRegistry &registry = Instances[it.Instance];
      ServerLoad load{Waiting[server], 0, 64};
      if (Reports)
        registry.onReportedSlowdown(processOf(it.Server),
                                    PaceAt(server, it.EndMs), now);
      registry.onLoadReport(it.Server.Id, load, now);
      auto taken = static_cast<int64_t>(it.EndMs - it.StartMs);
      registry.onCallTimed(it.Server, PromptTokens, Milliseconds(taken), now);
      registry.callEnded(it.Server.Id, 1, CallResult::Succeeded, now);
      notifyPeers(it.Instance, 0);
      Durations.push_back(it.EndMs - it.StartMs);
    }
  }

  struct OpenCall {
    double EndMs;
    double StartMs;
    size_t Instance;
    ServerChoice Server;
    bool operator<(const OpenCall &Right) const { return EndMs > Right.EndMs; }
  };

  double CallsPerMs;
  std::mt19937_64 Random;
  std::function<double(size_t, double)> PaceAt = [](size_t, double) {
    return 1.0;
  };
  double LostExchanges = 0; // fraction
  bool Reports = false;     // whether servers state their slowdown
  std::vector<ServerRegistry> Instances;
  std::vector<double> NotifiedMs = std::vector<double>(InstanceCount, 0);
  std::vector<double> FreeAt;
  std::vector<uint32_t> Waiting;
  std::priority_queue<OpenCall> Open;
  std::vector<double> Calls;
  std::vector<double> Durations;
  double NowMs = 0;
  double NextRoundMs = 0;
  size_t NextInstance = 0;
};

double sum(const std::vector<double> &Calls, size_t From, size_t To) {
  double n = 0;
  for (size_t i = From; i < To; ++i)
    n += Calls[i];
  return n;
}

double usualPace(size_t Server) {
  return Server % 3 == 0 ? 0.6 : Server % 3 == 1 ? 1.0 : 1.6;
}

} // namespace

// Slow and fast servers got equally many calls.
TEST_CASE("The share of prefill calls follows the pace of the servers") {
  double fast = 0;
  double slow = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(seed);
    fleet.PaceAt = [](size_t Server, double) { return usualPace(Server); };
    fleet.run(5000);
    std::vector<double> calls = fleet.run(15000);
    for (size_t i = 0; i < ServerCount; ++i)
      (i % 3 == 0   ? fast
       : i % 3 == 2 ? slow
                    : slow) += i % 3 == 1 ? 0 : calls[i];
  }
  CHECK(slow / 10 < 0.6 * fast / 11);
}

// Instances kept sending to a slow server, or left it for good.
TEST_CASE("A server that becomes five times slower loses its calls in 2 s") {
  for (double lost : {0.0, 0.5}) {
    for (bool reports : {false, true}) {
      double before = 0;
      double during = 0;
      double after = 0;
      for (uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(seed);
        fleet.LostExchanges = lost;
        fleet.Reports = reports;
        fleet.PaceAt = [](size_t Server, double Ms) {
          return Server < 5 && Ms > 10000 && Ms < 16500 ? 5.0 : 1.0;
        };
        fleet.run(7000);
        before += sum(fleet.run(10000), 0, 5) / 3;
        fleet.run(12000);
        during += sum(fleet.run(16500), 0, 5) / 4.5;
        fleet.run(21500);
        after += sum(fleet.run(25500), 0, 5) / 4;
      }
      CAPTURE(lost);
      CAPTURE(reports);
      CHECK(during < 0.4 * before);
      CHECK(after > 0.6 * before);
    }
  }
}

// All instances would leave and return to servers together.
TEST_CASE("Short slowdowns of some servers leave the shares steady") {
  Fleet fleet(3);
  fleet.PaceAt = [](size_t Server, double Ms) {
    auto phase = static_cast<uint64_t>(Ms / 600);
    return (Server * 7919 + phase * 104729) % 100 < 15 ? 2.5 : 1.0;
  };
  fleet.run(5000);
  std::vector<double> calls = fleet.run(45000);
  double mean = sum(calls, 0, ServerCount) / ServerCount;
  CHECK(*std::ranges::min_element(calls) > 0.7 * mean);
  CHECK(*std::ranges::max_element(calls) < 1.3 * mean);
}

// Deployments with servers of one pace must not change.
TEST_CASE("Among servers of one pace the least loaded is chosen") {
  ServerRegistry registry("hall-a", 5);
  for (size_t i = 0; i < 4; ++i) {
    registry.apply(Fleet::entryOf(i), at(0));
    ServerChoice server;
    server.Id = "s" + std::to_string(i);
    server.StartedAt = 1;
    for (int k = 0; k < 10; ++k)
      registry.onCallTimed(server, PromptTokens,
                           Milliseconds(i == 0 ? 110 : 95), at(k * 50));
    if (i != 2)
      registry.callStarted(server.Id, 1);
  }
  for (int i = 0; i < 50; ++i)
    CHECK(
        registry.choose({"model", ServerStage::Prefill, {}, {}}, at(500))->Id ==
        "s2");
}

// Queued prompts look like slow servers. If instances believed that, they would
// leave and fill equal servers together.
TEST_CASE("Equal servers near their capacity serve as without paces") {
  std::vector<double> all[2];
  for (bool enabled : {false, true})
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed, 0.28);
      for (ServerRegistry &it : fleet.Instances)
        it.setPaceSettings({enabled, 1.3, 10});
      fleet.run(20000);
      all[enabled ? 1 : 0].insert(all[enabled ? 1 : 0].end(),
                                  fleet.Durations.begin(),
                                  fleet.Durations.end());
    }
  for (std::vector<double> &it : all)
    std::ranges::sort(it);
  for (size_t percent : {50, 95, 99}) {
    CAPTURE(percent);
    CHECK(all[1][all[1].size() * percent / 100] <
          1.15 * all[0][all[0].size() * percent / 100]);
  }
}

// Guards against a pool that keeps its slow prefill servers, since the best
// ranked ones are taken to change their stage: streams start late then.
TEST_CASE("The slowest prefill server is the first to change its stage") {
  ServerRegistry registry("hall-a", 5);
  for (size_t i = 0; i < 6; ++i) {
    ServerEntry entry = Fleet::entryOf(i);
    entry.Stage = ServerStage::Prefill;
    registry.apply(entry, at(0));
    ServerChoice server;
    server.Id = entry.Id;
    server.StartedAt = 1;
    for (int k = 0; k < 10; ++k)
      registry.onCallTimed(server, 5000, Milliseconds(i == 2 ? 500 : 100),
                           at(k * 500));
    registry.callStarted(entry.Id, 1);
  }
  ServerQuery query{"model", ServerStage::Prefill, {}, {}};
  CHECK(registry.rankSlowestFirst(query, at(5000)).front().Id == "s2");
  CHECK(registry.rank(query, at(5000)).back().Id == "s2");
}

// An event gap makes a stream late, so streams must avoid slow servers.
TEST_CASE("A slow decode server is asked for memory last") {
  ServerRegistry registry("hall-a", 5);
  for (size_t i = 0; i < 6; ++i) {
    ServerEntry entry = Fleet::entryOf(i);
    entry.Stage = ServerStage::Decode;
    registry.apply(entry, at(0));
    ServerChoice server;
    server.Id = entry.Id;
    server.StartedAt = 1;
    for (int k = 0; k < 10; ++k)
      registry.onCallTimed(server, 10, Milliseconds(i == 2 ? 2500 : 500),
                           at(k * 500));
    if (i != 2)
      registry.callStarted(entry.Id, 1);
  }
  for (int i = 0; i < 20; ++i)
    CHECK(registry.rank({"model", ServerStage::Decode, {}, {}}, at(5000))
              .back()
              .Id == "s2");
}

// Some servers slow down long before they are full, and prompts queued there.
TEST_CASE("Prefills are faster with paces where servers differ") {
  std::vector<double> means;
  for (bool enabled : {false, true}) {
    Fleet fleet(9);
    for (ServerRegistry &it : fleet.Instances)
      it.setPaceSettings({enabled, 1.3, 10});
    fleet.PaceAt = [&fleet](size_t Server, double Ms) {
      double knee = Server % 4 == 0 && fleet.Waiting[Server] > 2 ? 2 : 1;
      bool isSlow = Server < 5 && Ms > 8000 && Ms < 14500;
      return usualPace(Server) * knee * (isSlow ? 4 : 1);
    };
    fleet.run(20000);
    std::ranges::sort(fleet.Durations);
    means.push_back(fleet.Durations[fleet.Durations.size() * 19 / 20]);
  }
  CHECK(means[1] < 0.6 * means[0]);
}
