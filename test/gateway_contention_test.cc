// Replays bursts in virtual time: many instances compete for the memory of the
// decode servers, each with its own queue and without knowledge of the others.
#include "gateway/decisions/admission_control.h"
#include "gateway/decisions/reservation_queue.h"
#include "virtual_time.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;

namespace {

constexpr size_t InstanceCount = 61;
constexpr size_t ServerCount = 59;
constexpr int RequestsPerServer = 7; // that fit into a server's memory
constexpr size_t ServersPerAttempt = 14;
constexpr int64_t StepMs = 2; // a call to a server takes as long
constexpr int64_t WarmUpMs = 5000;
constexpr int64_t BurstMs = 5000;
// Requests per second whose output takes 3.5 s that fit into all memory.
constexpr double Capacity = ServerCount * RequestsPerServer / 3.5;

struct Stream {
  double Share;     // of all requests on a usual day
  int64_t OnTimeMs; // from the arrival to the latest grant
  uint32_t Priority;
};
// Targets of 800, 1,000 and 2,000 ms, less the time for a typical prompt.
constexpr std::array<Stream, 3> Streams{
    {{0.24, 527, 0}, {0.325, 727, 1}, {0.435, 1727, 2}}};

struct ReplayResult {
  std::array<int, 3> Arrived{}, OnTime{};
  int RefusedEarly = 0, RefusedLate = 0; // on arrival; after a wait
  int64_t Calls = 0;
  double share(size_t I) const {
    return static_cast<double>(OnTime[I]) / Arrived[I];
  }
};

struct Waiting {
  size_t Kind, Instance;
  uint64_t Ticket;
  int64_t LatestMs;
  bool InBurst;
  std::vector<size_t> ToAsk{}; // servers of the running attempt
};

struct Load {
  // Arrivals of each kind during the burst, in multiples of its share of the
  // capacity.
  std::array<double, 3> Arrivals{2.2, 2.2, 2.2};
  bool ByRank = true;     // whether the instances know that ranks differ
  size_t ServersGone = 0; // during the burst
  bool Admission = false;
};

ReplayResult replay(const Load &Burst, uint64_t Seed) {
  std::mt19937_64 random(Seed);
  auto draw = [&](int64_t Low, int64_t High) {
    return std::uniform_int_distribution<int64_t>(Low, High)(random);
  };
  std::vector<ReservationQueue> queues(InstanceCount, ReservationQueue(3));
  std::array<std::vector<int64_t>, ServerCount> busyUntil;
  std::vector<AdmissionControl> admissions(InstanceCount);
  std::vector<Waiting> all;
  ReplayResult result;
  for (int64_t ms = 0; ms < WarmUpMs + BurstMs + 2000; ms += StepMs) {
    bool burst = ms >= WarmUpMs && ms < WarmUpMs + BurstMs;
    for (size_t kind = 0; kind < Streams.size(); ++kind) {
      double rate =
          Capacity * Streams[kind].Share * (burst ? Burst.Arrivals[kind] : 0.9);
      if (!std::bernoulli_distribution(rate * StepMs / 1000)(random))
        continue;
      auto instance = static_cast<size_t>(draw(0, InstanceCount - 1));
      TimePoint latest = at(ms + Streams[kind].OnTimeMs);
      QueueEntry entry{Streams[kind].Priority, latest, latest};
      if (Burst.ByRank)
        entry.Rank = {static_cast<uint32_t>(kind),
                      static_cast<uint32_t>(Streams.size() - 1 - kind)};
      result.Arrived[kind] += burst ? 1 : 0;
      double chance = std::uniform_real_distribution<double>(0, 1)(random);
      if (queues[instance].wouldTimeOut(entry, at(ms)) ||
          (Burst.Admission && !admissions[instance]
                                   .decide(entry.Rank, latest, chance, at(ms))
                                   .Admitted))
        result.RefusedEarly += burst ? 1 : 0;
      else
        all.push_back({kind, instance, queues[instance].join(entry, at(ms)),
                       ms + Streams[kind].OnTimeMs, burst});
    }
    for (auto &it : busyUntil)
      std::erase_if(it, [ms](int64_t Until) { return Until <= ms; });
    std::shuffle(all.begin(), all.end(), random);
    std::erase_if(all, [&](Waiting &It) {
      ReservationQueue &queue = queues[It.Instance];
      if (It.ToAsk.empty() && ms >= It.LatestMs) {
        queue.leave(It.Ticket);
        result.RefusedLate += It.InBurst ? 1 : 0;
        return true;
      }
      if (It.ToAsk.empty() && queue.tryStartAttempt(It.Ticket, at(ms)))
        while (It.ToAsk.size() < ServersPerAttempt)
          It.ToAsk.push_back(static_cast<size_t>(draw(0, ServerCount - 1)));
      if (It.ToAsk.empty())
        return false;
      ++result.Calls;
      auto &server = busyUntil[It.ToAsk.back()];
      It.ToAsk.pop_back();
      bool gone = burst && &server < &busyUntil[Burst.ServersGone];
      bool granted = !gone && server.size() < RequestsPerServer;
      if (granted || It.ToAsk.empty())
        queue.onAttemptEnded(It.Ticket, at(ms));
      if (granted || It.ToAsk.empty())
        admissions[It.Instance].onAttempt(
            granted, Milliseconds(StepMs * ServersPerAttempt), at(ms));
      if (!granted && It.ToAsk.empty())
        queue.onAllFull(at(ms));
      if (!granted)
        return false;
      server.push_back(ms + draw(3000, 4000));
      queue.onGranted(at(ms));
      queue.leave(It.Ticket);
      result.OnTime[It.Kind] += It.InBurst && ms <= It.LatestMs ? 1 : 0;
      return true;
    });
  }
  return result;
}

} // namespace

// Guards the replay against a load that doesn't show the fault: with the same
// interval between attempts for all ranks, the request that waits longest finds
// memory most often, and this is the one of the least urgent rank.
TEST_CASE("Contention: with equal intervals the most urgent rank gets least") {
  Load load;
  load.ByRank = false;
  ReplayResult all = replay(load, 1);
  CHECK(all.share(0) < 0.6 * all.share(2));
  CHECK(all.share(1) < 0.7 * all.share(2));
  load.Arrivals = {0.9, 0.9, 2.4};
  ReplayResult lowest = replay(load, 1);
  CHECK(lowest.share(0) < 0.7 * lowest.share(2));
}

// Guards against less urgent requests that take the memory from more urgent
// ones of other instances, against a lowest rank that gets nothing, and against
// precedence that costs more calls to servers than equal intervals.
TEST_CASE("Contention: no rank gets a smaller share than a less urgent one") {
  for (const Load &load : {Load{}, Load{{0.9, 0.9, 2.4}}, Load{{2.4, 0.9, 0.9}},
                           Load{{0.9, 2.4, 0.9}}, Load{{1.3, 1.3, 1.3}},
                           Load{{0.9, 0.9, 0.9}, true, ServerCount / 4}}) {
    Load equal = load;
    equal.ByRank = false;
    ReplayResult sum;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      ReplayResult result = replay(load, seed);
      for (size_t kind = 0; kind < Streams.size(); ++kind) {
        sum.Arrived[kind] += result.Arrived[kind];
        sum.OnTime[kind] += result.OnTime[kind];
      }
      CHECK(result.Calls < replay(equal, seed).Calls);
    }
    CAPTURE(load.Arrivals[0]);
    CAPTURE(load.Arrivals[2]);
    CHECK(sum.share(0) >= sum.share(1));
    CHECK(sum.share(1) >= sum.share(2));
    CHECK(sum.share(0) >= 0.7);
    CHECK(sum.share(2) >= 0.3);
  }
}

// Guards against requests beyond the capacity that wait until they are late
// before they are refused, and against rejections that cost the urgent ranks
// their share or that leave memory unused.
TEST_CASE("Contention: requests without a chance are refused on arrival") {
  for (const Load &load : {Load{}, Load{{1.3, 1.3, 1.3}}}) {
    Load admission = load;
    admission.Admission = true;
    ReplayResult without, with;
    auto add = [](ReplayResult &Sum, const ReplayResult &Item) {
      for (size_t kind = 0; kind < Streams.size(); ++kind) {
        Sum.Arrived[kind] += Item.Arrived[kind];
        Sum.OnTime[kind] += Item.OnTime[kind];
      }
      Sum.RefusedEarly += Item.RefusedEarly;
      Sum.RefusedLate += Item.RefusedLate;
    };
    for (uint64_t seed = 1; seed <= 4; ++seed) {
      add(without, replay(load, seed));
      add(with, replay(admission, seed));
    }
    CAPTURE(load.Arrivals[0]);
    CHECK(with.RefusedEarly > without.RefusedEarly);
    CHECK(with.RefusedLate < without.RefusedLate);
    CHECK(with.share(0) >= without.share(0) - 0.01);
    CHECK(with.share(0) >= with.share(1));
    CHECK(with.share(1) >= with.share(2));
  }
}

// Guards against rejections on old evidence and while memory is free.
TEST_CASE("Admission needs recent refusals") {
  AdmissionControl admission;
  RankPosition lowest{2, 0};
  auto admitted = [&](int64_t Ms) {
    return admission.decide(lowest, at(Ms + 300), 0.99, at(Ms)).Admitted;
  };
  CHECK(admitted(0));
  for (int64_t ms = 0; ms < 1000; ms += 100)
    admission.onAttempt(false, Milliseconds(30), at(ms));
  CHECK_FALSE(admitted(1000));
  CHECK(admitted(1500)); // the latest refusal is too old
  admission.onAttempt(false, Milliseconds(30), at(1600));
  CHECK_FALSE(admitted(1610));
  admission.onAttempt(true, Milliseconds(30), at(1620));
  CHECK(admitted(1630));
}

// Guards deployments with one rank against a change of the order of attempts.
TEST_CASE("Contention: with one rank all requests ask at the former interval") {
  CHECK(attemptInterval({}, at(900), at(0)) == Milliseconds(40));
  CHECK(attemptInterval({}, at(900), at(899)) == Milliseconds(40));
  CHECK(attemptInterval({}, at(900), at(901)) == Milliseconds(160));
  CHECK(firstAttemptDelay({}, at(900), at(0)) == Milliseconds(0));
}
