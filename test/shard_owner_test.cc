#include "shard_owner.h"

#include "shard_driver.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::internal;

// Guards against an owner that never grants a slot, or leaks it.
TEST_CASE("ShardOwner grants a prefill, then a decode, then frees the slot") {
  ShardDriver driver(1, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.begin();
  RequestId id = driver.submit("g", 1000, 100, 10, 5);
  driver.runUntil(3);
  CHECK(driver.Requests[id].Completed);
  CHECK(driver.count(DecisionKind::PrefillStarted) == 1);
  CHECK(driver.count(DecisionKind::DecodeStarted) == 1);
  CHECK(driver.count(DecisionKind::PrefillWasted) == 0);
  Poco::JSON::Parser parser;
  auto root = parser.parse(driver.Owner.dump(driver.time()))
                  .extract<Poco::JSON::Object::Ptr>();
  CHECK(root->getArray("leases")->size() == 0);
}

namespace {

// Arrivals of one group: a Poisson process with exponential output lengths.
struct Stream {
  std::string Group;
  double Rate;
  uint32_t Prompt;
  double MeanOutput;
  uint32_t MaxOutput;
  double TimeLeft;
  bool MayWait;
};

void feed(ShardDriver &Driver, const Stream &Arrivals, std::mt19937_64 &Random,
          double From, double End) {
  for (double now = From;;) {
    now += std::exponential_distribution<>(Arrivals.Rate)(Random);
    if (now >= End)
      return;
    double length =
        std::exponential_distribution<>(1 / Arrivals.MeanOutput)(Random);
    auto output = static_cast<uint32_t>(
        std::clamp(length, 1.0, static_cast<double>(Arrivals.MaxOutput)));
    double spread = std::uniform_real_distribution<>(0.5, 1.5)(Random);
    auto prompt = static_cast<uint32_t>(Arrivals.Prompt * spread);
    Driver.at(now, [&Driver, Arrivals, output, prompt] {
      Driver.submit(Arrivals.Group, prompt, Arrivals.MaxOutput, output,
                    Arrivals.TimeLeft, Arrivals.MayWait);
    });
  }
}

// Slot seconds of a group's decodes in a time window.
double slotSeconds(const ShardDriver &Driver, const std::string &Group,
                   double From, double To) {
  double sum = 0;
  for (const auto &[id, it] : Driver.Requests) {
    if (it.DecodeFrom < 0 || (!Group.empty() && it.Acquire.Group != Group))
      continue;
    double end = it.Ended < 0 ? To : std::min(To, it.Ended);
    sum += std::max(0.0, end - std::max(From, it.DecodeFrom));
  }
  return sum;
}

double ratio(const ShardDriver &Driver, DecisionKind Kind, DecisionKind Of) {
  return Driver.count(Kind) / std::max(1.0, Driver.count(Of));
}

} // namespace

// Guards against a start rule that wastes prefills, or that leaves slots empty.
TEST_CASE("ShardOwner wastes at most 1% of prefills at twice the capacity") {
  for (uint32_t decodes : {3, 9})
    for (uint64_t seed : {1, 2, 3}) {
      CAPTURE(decodes);
      CAPTURE(seed);
      ShardDriver driver(decodes, decodes);
      driver.addGroup("a", 1, RequestClass::Normal);
      driver.begin();
      std::mt19937_64 random(seed);
      feed(driver, {"a", decodes * 8 / 3.0, 3000, 120, 1024, 5, true}, random,
           0, 120);
      driver.runUntil(120);
      CHECK(ratio(driver, DecisionKind::PrefillWasted,
                  DecisionKind::PrefillStarted) <= 0.01);
      CHECK(slotSeconds(driver, "", 20, 120) / (decodes * 4 * 100) >=
            (decodes == 9 ? 0.95 : 0.85));
    }
}

// Guards against long requests that starve short interactive ones.
TEST_CASE("ShardOwner keeps 99% of interactive requests in time at overload") {
  for (uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    ShardDriver driver(9, 9);
    driver.addGroup("long", 3, RequestClass::Normal, true);
    driver.addGroup("short", 1, RequestClass::Interactive);
    driver.begin();
    std::mt19937_64 random(seed);
    feed(driver, {"long", 24, 3000, 120, 1024, 5, true}, random, 0, 140);
    feed(driver, {"short", 7.2, 500, 20, 128, 0.8, false}, random, 0, 138);
    driver.runUntil(140);
    std::vector<double> longGrants;
    for (const auto &[id, it] : driver.Requests)
      if (it.Acquire.Group == "long" && it.Granted >= 0)
        longGrants.push_back(it.Granted);
    std::sort(longGrants.begin(), longGrants.end());
    double good = 0, all = 0;
    for (const auto &[id, it] : driver.Requests) {
      if (it.Acquire.Group != "short" || it.Arrived < 20)
        continue;
      ++all;
      // No long request starts before an interactive one that has waited for
      // the bound.
      auto next = std::upper_bound(longGrants.begin(), longGrants.end(),
                                   it.Arrived + 0.25);
      double served = it.Granted >= 0 ? it.Granted : it.Ended;
      CHECK((next == longGrants.end() || *next >= served));
      good += it.FirstOutput >= 0 && it.FirstOutput <= it.Arrived + 0.8;
    }
    CHECK(good / all >= 0.99);
    CHECK(ratio(driver, DecisionKind::PrefillWasted,
                DecisionKind::PrefillStarted) <= 0.01);
  }
}

// Guards against a group that gets more or less than its share, and against an
// idle group that later gets credit for its unused share.
TEST_CASE("ShardOwner gives each waiting group its share over ten seconds") {
  for (double output : {20.0, 120.0}) {
    ShardDriver driver(9, 9);
    std::map<std::string, double> shares{{"a", 1}, {"b", 2}, {"c", 1}};
    for (const auto &[name, share] : shares)
      driver.addGroup(name, share, RequestClass::Normal, true, 100000);
    driver.begin();
    std::mt19937_64 random(1);
    double rate = 1600 / output;
    feed(driver, {"a", rate, 200, output, 1000, 5, true}, random, 0, 60);
    feed(driver, {"b", 2 * rate, 200, output, 1000, 5, true}, random, 0, 60);
    feed(driver, {"c", rate, 200, output, 1000, 5, true}, random, 30, 60);
    driver.runUntil(60);
    for (double from = 5; from + 10 <= 60; from += 2.5) {
      if (from > 20 && from < 35)
        continue; // group c starts to send requests
      double all = slotSeconds(driver, "", from, from + 10);
      for (const auto &it : shares) {
        const std::string &name = it.first;
        if (name == "c" && from <= 20)
          continue;
        CAPTURE(output);
        CAPTURE(from);
        CAPTURE(name);
        double part = it.second / (from <= 20 ? 3 : 4);
        CHECK(slotSeconds(driver, name, from, from + 10) / all / part ==
              doctest::Approx(1).epsilon(0.05));
      }
    }
  }
}

// Guards against a refusal that is delayed until the deadline, and against one
// without a retry time.
TEST_CASE(
    "ShardOwner refuses a request at once if it can't meet its deadline") {
  ShardDriver driver(1, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.begin();
  for (int i = 0; i < 4; ++i)
    driver.submit("g", 100, 400, 400, 20);
  driver.runUntil(1);
  RequestId late = driver.submit("g", 100, 400, 400, 0.3);
  REQUIRE(driver.Requests[late].Refusals.size() == 1);
  const Refusal &refusal = driver.Requests[late].Refusals[0];
  CHECK(refusal.Kind == ErrorKind::DeadlineUnreachable);
  CHECK(refusal.Attempt == 1);
  CHECK(refusal.RetryAfter > Milliseconds(0));
  RequestId waiting = driver.submit("g", 100, 400, 400, 0.3, true);
  driver.runUntil(30);
  CHECK(driver.Requests[waiting].Completed);
}

// Guards against a queued request that is refused only at its deadline although
// its servers have left.
TEST_CASE("ShardOwner refuses a queued request once its servers are leaving") {
  ShardDriver driver(1, 2);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.begin();
  for (int i = 0; i < 8; ++i)
    driver.submit("g", 100, 400, 400, 60);
  driver.runUntil(1);
  RequestId queued = driver.submit("g", 100, 400, 400, 15);
  driver.runUntil(1.1);
  REQUIRE(driver.Requests[queued].Refusals.empty());
  driver.setState("d0", MemberState::Leaving);
  driver.setState("d1", MemberState::Leaving);
  driver.runUntil(1.3);
  REQUIRE(driver.Requests[queued].Refusals.size() == 1);
  CHECK(driver.Requests[queued].Refusals[0].RetryAfter > Milliseconds(0));
}

// Guards against an unbounded queue.
TEST_CASE("ShardOwner bounds the queue of a group and sends a retry time") {
  ShardDriver driver(1, 1);
  driver.addGroup("g", 1, RequestClass::Batch, true, 5);
  driver.begin();
  for (int i = 0; i < 4; ++i)
    driver.submit("g", 100, 400, 400, 20, true);
  driver.runUntil(1);
  RequestId last;
  for (int i = 0; i < 6; ++i)
    last = driver.submit("g", 100, 400, 400, 20, true);
  CHECK(driver.Owner.queueLength() == 5);
  REQUIRE(driver.Requests[last].Refusals.size() == 1);
  const Refusal &refusal = driver.Requests[last].Refusals[0];
  CHECK(refusal.Kind == ErrorKind::GroupQueueFull);
  // Five requests of about 5 s each on four slots.
  CHECK(refusal.RetryAfter.count() > 3000);
  CHECK(refusal.RetryAfter.count() < 13000);
}

// Guards against engine memory that isn't freed after an entry instance has
// crashed.
TEST_CASE("ShardOwner cancels on all servers when an entry's leases expire") {
  ShardDriver driver(1, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.begin();
  RequestId id = driver.submit("g", 1000, 1000, 1000, 20);
  driver.runUntil(1);
  REQUIRE(driver.Engines["d0"].Running.count(id) == 1);
  driver.Requests[id].EntryStopped = true;
  driver.runUntil(2.4);
  CHECK(driver.Cancels.empty());
  driver.runUntil(3.2);
  std::set<std::string> servers;
  for (const CancelAtServer &it : driver.Cancels)
    servers.insert(it.Server);
  CHECK(servers == std::set<std::string>{"d0", "p0"});
  CHECK(driver.count(DecisionKind::LeaseLapsed) == 1);
  CHECK(driver.Engines["d0"].Running.empty());
}

// Guards against a new owner that overloads servers or cancels live requests.
TEST_CASE("ShardOwner after a takeover respects reports and cancels orphans") {
  ShardDriver driver(1, 1, 2);
  driver.addGroup("g", 1, RequestClass::Normal, true);
  RequestId orphan{9, 1}, kept{9, 2};
  driver.Engines["d0"].Running = {orphan, kept};
  driver.ReportAge = 0;
  driver.begin(true);
  RequestId waiting = driver.submit("g", 100, 100, 10, 20, true);
  CHECK(driver.Requests[waiting].PrefillServer.empty());
  LeaseList list;
  list.Shard = "s0";
  list.Leases.push_back(
      {kept, 1, LeaseStage::Decoding, "g", "p0", "d0", 100, 100});
  driver.call([&](CoreContext &Context) {
    driver.Owner.onLeaseList(Context, "e1", list);
  });
  driver.runUntil(1.9);
  CHECK(driver.Cancels.empty());
  CHECK(driver.Requests[waiting].PrefillServer.empty());
  driver.runUntil(2.2);
  REQUIRE(driver.Cancels.size() == 1);
  CHECK(driver.Cancels[0].Id == orphan);
  CHECK(driver.count(DecisionKind::OrphanCancelled) == 1);
  driver.runUntil(6);
  CHECK(driver.Requests[waiting].Completed);
}

// Guards against losing a prefill's result when its decode server is full.
TEST_CASE("ShardOwner places a result again at once when a server is full") {
  ShardDriver driver(1, 2, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.begin();
  // The owner doesn't know of this request yet, since load reports are delayed.
  driver.Engines["d0"].Running = {{9, 1}};
  RequestId id = driver.submit("g", 1000, 100, 10, 5);
  driver.runUntil(0.2);
  CHECK(driver.Engines["d1"].Running.count(id) == 1);
  CHECK(driver.count(DecisionKind::Replaced) == 1);
  CHECK(driver.count(DecisionKind::PrefillStarted) == 1);
  CHECK(driver.count(DecisionKind::PrefillWasted) == 0);
}

// Guards against requests that are lost with a prefill server.
TEST_CASE("ShardOwner starts a lost prefill again on another server") {
  ShardDriver driver(2, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.begin();
  driver.Engines["p0"].Failed = driver.Engines["p1"].Failed = true;
  RequestId id = driver.submit("g", 1000, 100, 10, 5);
  std::string first = driver.Requests[id].PrefillServer;
  driver.runUntil(0.01);
  for (auto &[name, engine] : driver.Engines)
    engine.Failed = false;
  driver.runUntil(4);
  CHECK(driver.Requests[id].Completed);
  CHECK(driver.count(DecisionKind::Replaced) >= 1);
}

// Guards against a grant that the entry instance attributes to an older
// placement, and against choosing a failed server again.
TEST_CASE("ShardOwner answers a lost decode with the attempt of the message") {
  for (bool resultAlive : {false, true}) {
    CAPTURE(resultAlive);
    ShardDriver driver(1, 2);
    driver.addGroup("g", 1, RequestClass::Normal);
    driver.KeepSent = true;
    driver.begin();
    RequestId id = driver.submit("g", 1000, 1000, 1000, 5);
    driver.runUntil(0.3);
    auto decode = std::get<DecodeGrant>(driver.Sent.back().second.Message);
    DecodeLost lost{id, "s0", 2, decode.DecodeServer, resultAlive, false, 0};
    auto send = [&] {
      driver.call([&](CoreContext &Context) {
        driver.Owner.onDecodeLost(Context, "e2", lost);
      });
    };
    send();
    size_t count = driver.Sent.size();
    if (resultAlive) {
      auto again = std::get<DecodeGrant>(driver.Sent.back().second.Message);
      CHECK(again.Attempt == 2);
      CHECK(again.DecodeServer != decode.DecodeServer);
    } else {
      auto again = std::get<PrefillGrant>(driver.Sent.back().second.Message);
      CHECK(again.Attempt == 2);
      CHECK(driver.count(DecisionKind::PrefillStarted) == 2);
    }
    lost.Attempt = 1;
    send(); // older than the current placement
    CHECK(driver.Sent.size() == count);
    CHECK(driver.count(DecisionKind::Replaced) == 1);
  }
}

// Guards against new requests on a leaving server (P5).
TEST_CASE("ShardOwner grants no slots on servers that aren't listed as live") {
  ShardDriver driver(2, 2);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.setState("p0", MemberState::Leaving);
  driver.setState("d1", MemberState::Leaving);
  driver.KeepSent = true;
  driver.begin();
  for (int i = 0; i < 4; ++i)
    driver.submit("g", 1000, 100, 10, 5);
  driver.runUntil(3);
  for (const auto &[when, it] : driver.Sent) {
    if (auto *prefill = std::get_if<PrefillGrant>(&it.Message))
      CHECK(prefill->PrefillServer == "p1");
    if (auto *decode = std::get_if<DecodeGrant>(&it.Message))
      CHECK(decode->DecodeServer == "d0");
  }
  CHECK(driver.count(DecisionKind::DecodeStarted) == 4);
}

// Guards against requests that are placed outside the regions of their group.
TEST_CASE("ShardOwner keeps a restricted group on the servers of its regions") {
  ShardDriver driver(2, 2);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.Config.Groups[0].Regions = {"home"};
  driver.Config.Servers[1].Region = "home"; // p1
  driver.Config.Servers[2].Region = "home"; // d0
  driver.KeepSent = true;
  driver.begin();
  for (int i = 0; i < 6; ++i)
    driver.submit("g", 1000, 100, 10, 5);
  driver.runUntil(3);
  for (const auto &[when, it] : driver.Sent) {
    if (auto *prefill = std::get_if<PrefillGrant>(&it.Message))
      CHECK(prefill->PrefillServer == "p1");
    if (auto *decode = std::get_if<DecodeGrant>(&it.Message))
      CHECK(decode->DecodeServer == "d0");
  }
  CHECK(driver.count(DecisionKind::DecodeStarted) == 6);
}

// Guards against a suspected request that crashes a server with other requests
// on it, and against draining every server.
TEST_CASE("ShardOwner runs a suspected request alone on a drained server") {
  ShardDriver driver(2, 2);
  driver.addGroup("g", 1, RequestClass::Normal, true);
  driver.begin();
  std::mt19937_64 random(1);
  feed(driver, {"g", 20, 500, 20, 100, 5, true}, random, 0, 20);
  RequestId alone{7, 0};
  driver.at(5,
            [&] { alone = driver.submit("g", 500, 100, 40, 60, true, true); });
  uint32_t together = 0;
  for (double when = 5; when < 20; when += 0.01)
    driver.at(when, [&] {
      for (const auto &[name, it] : driver.Engines)
        together += it.Running.count(alone) > 0 && it.Running.size() > 1;
    });
  driver.runUntil(20);
  CHECK(driver.Requests[alone].Completed);
  CHECK(together == 0);
  CHECK(slotSeconds(driver, "", 5, 20) > 0.5 * 15 * 8);
}

// Guards against granting a slot twice when a message is delivered twice.
TEST_CASE("ShardOwner answers a repeated request with the same grant") {
  ShardDriver driver(1, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.KeepSent = true;
  driver.begin();
  RequestId id = driver.submit("g", 1000, 100, 10, 5);
  driver.acquire(driver.Requests[id]);
  CHECK(driver.Sent.size() == 2);
  CHECK(driver.count(DecisionKind::PrefillStarted) == 1);
}

// Guards against transfers that take longer than a prefill on the decode
// server.
TEST_CASE("ShardOwner prefills on the decode server when that is cheaper") {
  for (bool noPrefillServer : {false, true}) {
    ShardDriver driver(noPrefillServer ? 0 : 1, 1);
    driver.addGroup("g", 1, RequestClass::Normal);
    if (!noPrefillServer)
      for (ServerConfig &it : driver.Config.Servers)
        it.LinkBytesPerSecond = 1e6;
    driver.KeepSent = true;
    driver.begin();
    RequestId id = driver.submit("g", 100, 100, 10, 5);
    REQUIRE(driver.Sent.size() == 1);
    auto &grant = std::get<PrefillGrant>(driver.Sent[0].second.Message);
    CHECK(grant.PrefillServer == "d0");
    CHECK(grant.DecodeServer == "d0");
    driver.runUntil(2);
    CHECK(driver.Requests[id].Completed);
  }
}

// Guards against a permanent difference between the leases of both sides.
TEST_CASE("ShardOwner asks for the lease list after two mismatches in a row") {
  ShardDriver driver(1, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.call([&](CoreContext &Context) {
    driver.Owner.startOwnership(Context, false);
  });
  LeaseSummary wrong{"s0", 3, 5};
  auto beat = [&](const LeaseSummary &Summary) {
    driver.call([&](CoreContext &Context) {
      driver.Owner.onHeartbeat(Context, "e2", Summary);
    });
  };
  beat(wrong);
  CHECK(driver.RequestedLeaseLists.empty());
  beat({"s0", 0, 0});
  beat(wrong);
  CHECK(driver.RequestedLeaseLists.empty());
  beat(wrong);
  CHECK(driver.RequestedLeaseLists.count("e2") == 1);
}

// Guards against comparison policies that behave differently from their
// description.
TEST_CASE("ShardOwner follows the comparison policies") {
  auto wasted = [](PlacementPolicy Policy) {
    ShardDriver driver(3, 3);
    driver.Options.Policy = Policy;
    driver.addGroup("g", 1, RequestClass::Normal, true);
    driver.begin();
    std::mt19937_64 random(1);
    feed(driver, {"g", 8, 3000, 120, 1024, 5, true}, random, 0, 25);
    driver.runUntil(25);
    double lost = driver.count(DecisionKind::PrefillWasted);
    double used = 0;
    for (const auto &[id, it] : driver.Requests)
      used += it.DecodeFrom >= 0;
    CHECK(used > 20);
    return lost / (lost + used);
  };
  CHECK(wasted(PlacementPolicy::HoldSlot) == 0);
  CHECK(wasted(PlacementPolicy::SplitSlots) == 0);
  CHECK(wasted(PlacementPolicy::RoundRobin) > 0.05);
  CHECK(wasted(PlacementPolicy::LeastLoad) > 0.05);
}

// Guards against parts of the slots that don't add up to all slots.
TEST_CASE("ShardOwner with split slots uses each slot on one instance") {
  uint32_t started = 0;
  for (const char *name : {"e1", "e2", "e3"}) {
    ShardDriver driver(3, 2);
    driver.Options.Policy = PlacementPolicy::SplitSlots;
    driver.Options.Instance = name;
    driver.addGroup("g", 1, RequestClass::Normal, true);
    driver.begin();
    for (int i = 0; i < 20; ++i)
      driver.submit("g", 100, 1000, 1000, 60, true);
    driver.runUntil(2);
    started += static_cast<uint32_t>(driver.count(DecisionKind::DecodeStarted));
  }
  CHECK(started == 8);
}

// Guards against slots that seem to stay occupied: the start rule estimates the
// remaining time of decodes only, not of prefills.
TEST_CASE("ShardOwner counts a local decode from its first output") {
  ShardDriver driver(0, 1);
  driver.addGroup("g", 1, RequestClass::Normal);
  driver.KeepSent = true;
  driver.begin();
  RequestId id = driver.submit("g", 100, 100, 100, 5);
  driver.runUntil(1);
  CHECK(driver.Owner.dump(driver.time()).find("\"decoding\"") !=
        std::string::npos);
  for (const auto &[when, it] : driver.Sent)
    CHECK_FALSE(std::holds_alternative<DecodeGrant>(it.Message));
  driver.runUntil(5);
  CHECK(driver.Requests[id].Completed);
}
