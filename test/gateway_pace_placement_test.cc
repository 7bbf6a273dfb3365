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
constexpr double CallsPerMs = 0.08;
constexpr size_t MaxSummaries = 32;

struct Fleet {
  explicit Fleet(uint64_t Seed) : Random(Seed) {
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

  std::mt19937_64 Random;
  std::function<double(size_t, double)> PaceAt = [](size_t, double) {
    return 1.0;
  };
  double LostExchanges = 0; // fraction
  bool Reports = false;     // whether servers state their slowdown
  std::vector<ServerRegistry> Instances;
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

// Instances kept sending to a slow server, or left it for good. An instance
// that misses half of its exchanges learns later.
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
      CHECK(during < (lost > 0 ? 0.6 : 0.4) * before);
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
