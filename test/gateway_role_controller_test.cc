#include "gateway/decisions/role_controller.h"
#include "virtual_time.h"

#include <doctest/doctest.h>

using namespace crocusspur;
using namespace crocusspur::gateway;
using test::at;
using test::Start;

namespace {

// Four prefill and five decode servers in a burst of 22 prompts of 5,200 tokens
// a second; a prefill server reads 55,000 tokens a second.
PoolView burst() {
  PoolView pool;
  pool.PrefillServers = 4;
  pool.DecodeServers = 5;
  pool.Demand.PromptTokenRate = 22 * 5200;
  pool.Demand.ReservationRate = 22;
  pool.Demand.StarvedReservationRate = 9;
  pool.PrefillRate = 55000;
  return pool;
}

// Decides each half second and returns the first order.
std::optional<ServerStage> firstOrder(RoleController &Controller,
                                      const PoolView &Pool, int64_t FromMs,
                                      int64_t ToMs) {
  for (int64_t ms = FromMs; ms <= ToMs; ms += 500)
    if (auto change = Controller.decide(Pool, std::nullopt, at(ms)))
      return change->To;
  return std::nullopt;
}

} // namespace

TEST_CASE("A spare prefill server turns to decode while memory is short") {
  RoleController controller;
  CHECK(firstOrder(controller, burst(), 0, 3000) == ServerStage::Decode);
}

TEST_CASE("The edge of a burst alone is no reason") {
  RoleController controller;
  CHECK_FALSE(firstOrder(controller, burst(), 0, 1000).has_value());
  PoolView steady = burst();
  steady.Demand.StarvedReservationRate = 0;
  CHECK_FALSE(controller.decide(steady, std::nullopt, at(1500)).has_value());
  CHECK_FALSE(firstOrder(controller, burst(), 2000, 3000).has_value());
}

TEST_CASE("Prefill servers that the burst needs stay") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 3;
  CHECK_FALSE(firstOrder(controller, pool, 0, 10000).has_value());
}

TEST_CASE("A spare prefill server is kept however little is read") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 2;
  pool.Demand.PromptTokenRate = 100;
  CHECK_FALSE(firstOrder(controller, pool, 0, 10000).has_value());
}

TEST_CASE("Orders keep their distance") {
  RoleController controller;
  REQUIRE(firstOrder(controller, burst(), 0, 3000).has_value());
  for (int64_t ms = 3500; ms < 11500; ms += 500)
    CHECK_FALSE(controller.decide(burst(), at(1500), at(ms)).has_value());
  CHECK(controller.decide(burst(), at(1500), at(11500)).has_value());
}

TEST_CASE("A decode server turns to prefill when prompts can't be read") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 1;
  pool.DecodeServers = 8;
  pool.Demand.StarvedReservationRate = 0;
  auto change = controller.decide(pool, std::nullopt, Start);
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Prefill);
}

TEST_CASE("Nothing is ordered before a server's rate is known") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillRate = 0;
  CHECK_FALSE(firstOrder(controller, pool, 0, 10000).has_value());
}

TEST_CASE("Demand counts the most of the last half minute") {
  DemandMeter meter;
  for (int64_t ms = 0; ms < 4000; ms += 100)
    meter.onPrompt(5200, at(ms));
  CHECK(meter.rates(at(3999)).PromptTokenRate == doctest::Approx(52000));
  CHECK(meter.rates(at(20000)).PromptTokenRate == doctest::Approx(52000));
  CHECK(meter.rates(at(60000)).PromptTokenRate == doctest::Approx(0));
}

TEST_CASE("Long waits for memory and waits in vain count as starved") {
  DemandMeter meter;
  meter.onReservationEnded(Milliseconds(1), true, Start);
  meter.onReservationEnded(Milliseconds(200), true, Start);
  meter.onReservationEnded(Milliseconds(1), false, Start);
  StageDemand demand = meter.rates(Start);
  CHECK(demand.ReservationRate == doctest::Approx(0.75));
  CHECK(demand.StarvedReservationRate == doctest::Approx(0.5));
}

TEST_CASE("Usual demand that fills the decode memory is acted on in time") {
  RoleController controller;
  PoolView steady = burst();
  steady.Demand.PromptTokenRate = 10 * 5200;
  steady.Demand.StarvedReservationRate = 0;
  steady.DecodeUtilization = 0.6;
  CHECK_FALSE(firstOrder(controller, steady, 0, 2500).has_value());
  auto change = controller.decide(steady, std::nullopt, at(3000));
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Decode);
}

TEST_CASE("Prefill servers that a burst will need stay in calm times") {
  RoleController controller;
  PoolView steady = burst();
  steady.PrefillServers = 3;
  steady.Demand.PromptTokenRate = 10 * 5200;
  steady.Demand.StarvedReservationRate = 0;
  steady.DecodeUtilization = 0.6;
  CHECK_FALSE(firstOrder(controller, steady, 0, 10000).has_value());
}

// 21 prefill and 39 decode servers with memory for some six requests each.
TEST_CASE("In a large pool several spare servers turn at once") {
  RoleController controller;
  PoolView pool = burst();
  pool.PrefillServers = 21;
  pool.DecodeServers = 39;
  pool.Demand.PromptTokenRate = 63 * 5200;
  pool.Demand.ReservationRate = 63;
  pool.Demand.StarvedReservationRate = 25;
  for (int64_t ms = 0; ms < 1500; ms += 500)
    CHECK_FALSE(controller.decide(pool, std::nullopt, at(ms)).has_value());
  auto change = controller.decide(pool, std::nullopt, at(1500));
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Decode);
  CHECK(change->Servers == 5);
  CHECK_FALSE(controller.decide(pool, at(1500), at(4000)).has_value());
  CHECK(controller.decide(pool, at(1500), at(4500)).has_value());
}

// The usual demand of 90 servers: 82 prompts a second, which need 12 servers to
// read and the memory of 41 to decode.
TEST_CASE("Spare servers turn until a burst fills both stages alike") {
  RoleController controller;
  PoolView pool;
  pool.PrefillServers = 31;
  pool.DecodeServers = 59;
  pool.Demand.PromptTokenRate = 82 * 5200;
  pool.Demand.ReservationRate = 82;
  pool.PrefillRate = 40000;
  pool.DecodeUtilization = 0.69;
  for (int64_t ms = 0; ms < 3000; ms += 500)
    CHECK_FALSE(controller.decide(pool, std::nullopt, at(ms)).has_value());
  auto change = controller.decide(pool, std::nullopt, at(3000));
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Decode);
  CHECK(change->Servers == 7);
  pool.PrefillServers = 20;
  pool.DecodeServers = 70;
  pool.DecodeUtilization = 0.58;
  for (int64_t ms = 6000; ms < 20000; ms += 500)
    CHECK_FALSE(controller.decide(pool, at(3000), at(ms)).has_value());
}

// Usual demand that takes the memory of 63 of 70 decode servers, and 12 of 20
// prefill servers. Room for a burst of twice the usual in the prefill servers
// alone is of no use.
TEST_CASE("Servers turn while decode is the fuller stage") {
  RoleController controller;
  PoolView pool;
  pool.PrefillServers = 20;
  pool.DecodeServers = 70;
  pool.Demand.PromptTokenRate = 82 * 5200;
  pool.Demand.ReservationRate = 82;
  pool.PrefillRate = 40000;
  pool.DecodeUtilization = 0.9;
  CHECK(firstOrder(controller, pool, 0, 5000) == ServerStage::Decode);
}

// Five prefill servers are left for a demand that needs 20. Prompts hold their
// decode memory while they wait, so that it is short as well.
TEST_CASE("Prefill servers come back although decode memory is short") {
  RoleController controller;
  PoolView pool;
  pool.PrefillServers = 5;
  pool.DecodeServers = 85;
  pool.Demand.PromptTokenRate = 150 * 5200;
  pool.Demand.ReservationRate = 150;
  pool.Demand.StarvedReservationRate = 75;
  pool.PrefillRate = 40000;
  pool.DecodeUtilization = 0.97;
  auto change = controller.decide(pool, std::nullopt, Start);
  REQUIRE(change.has_value());
  CHECK(change->To == ServerStage::Prefill);
  CHECK(change->Servers == 7);
}
